#include "core/fleet/ended_lives.hpp"

#include <algorithm>

namespace apricotlb
{

auto ended_lives::record(worker_instance const& it, time_point now) -> void
{
    auto& of_worker = of_[it.id];
    std::erase(of_worker.ended, it.incarnation);
    of_worker.ended.push_back(it.incarnation);
    if (of_worker.ended.size() > max_per_worker)
    {
        of_worker.ended.pop_front();
    }
    of_worker.newest_at = now;
}

auto ended_lives::forget(worker_instance const& it) -> void
{
    if (auto const found = of_.find(it.id); found != of_.end())
    {
        std::erase(found->second.ended, it.incarnation);
    }
}

auto ended_lives::contains(worker_instance const& it) const -> bool
{
    auto const found = of_.find(it.id);
    return found != of_.end() &&
           std::ranges::find(found->second.ended, it.incarnation) !=
               found->second.ended.end();
}

auto ended_lives::knows(worker_id const& it) const -> bool
{
    return of_.contains(it);
}

auto ended_lives::prune(time_point until,
                        std::function<bool(worker_id const&)> const& is_kept)
    -> void
{
    std::erase_if(
        of_, [&](auto const& each)
        { return each.second.newest_at < until && !is_kept(each.first); });
}

} // namespace apricotlb
