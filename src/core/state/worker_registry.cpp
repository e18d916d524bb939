#include "core/state/worker_registry.hpp"

#include <algorithm>
#include <string>

namespace apricotlb
{

worker_registry::worker_registry(std::vector<worker_info> const& from)
{
    for (auto const& it : from)
    {
        workers_[it.id].info = it;
    }
}

auto worker_registry::apply(register_worker const& it, revision at)
    -> apply_result
{
    workers_[it.info.id].info = it.info;
    apply_result answer;
    answer.at = at;
    return answer;
}

auto worker_registry::apply(retire_worker const& it, revision at)
    -> apply_result
{
    auto const found = workers_.find(it.id);
    if (found == workers_.end())
    {
        return apply_result::refuse(error_kind::unknown_worker,
                                    "no worker " + it.id.value());
    }
    if (auto const n = found->second.attempts.size(); n > 0)
    {
        return apply_result::refuse(error_kind::worker_busy,
                                    std::to_string(n) +
                                        " attempts are placed on worker " +
                                        it.id.value());
    }
    workers_.erase(found);
    apply_result answer;
    answer.at = at;
    return answer;
}

auto worker_registry::has_capacity(worker_id const& id,
                                   resources const& requested) const -> bool
{
    auto const* it = find(id);
    if (it == nullptr)
    {
        return false;
    }
    auto sum = it->committed;
    sum += requested;
    return sum.fits_into(it->info.capacity);
}

auto worker_registry::can_hold(resources const& each, permille share) const
    -> bool
{
    return workers_.empty() ||
           std::ranges::any_of(workers_,
                               [&](auto const& it) {
                                   return each.fits_into(share_of(
                                       it.second.info.capacity, share));
                               });
}

auto worker_registry::commit(worker_id const& id, customer_attempt const& it,
                             resources const& amount) -> void
{
    auto& worker = workers_[id];
    worker.committed += amount;
    worker.attempts.insert(it);
}

auto worker_registry::release(worker_id const& id, customer_attempt const& it,
                              resources const& amount) -> void
{
    auto& worker = workers_[id];
    worker.committed -= amount;
    worker.attempts.erase(it);
}

auto worker_registry::find(worker_id const& id) const -> worker_record const*
{
    auto const it = workers_.find(id);
    return it == workers_.end() ? nullptr : &it->second;
}

auto worker_registry::snapshot() const -> std::vector<worker_info>
{
    std::vector<worker_info> taken;
    taken.reserve(workers_.size());
    for (auto const& [id, it] : workers_)
    {
        taken.push_back(it.info);
    }
    return taken;
}

} // namespace apricotlb
