#include "core/state/worker_places.hpp"

#include <utility>

namespace apricotlb
{

auto worker_places::add_run(worker_instance const& worker) -> void
{
    ++entries_[worker].runs;
}

auto worker_places::remove_run(worker_instance const& worker) -> void
{
    auto const found = entries_.find(worker);
    if (found != entries_.end() && --found->second.runs == 0)
    {
        entries_.erase(found);
    }
}

auto worker_places::record(std::vector<worker_place> const& places) -> void
{
    for (auto const& it : places)
    {
        if (auto const found = entries_.find(it.worker);
            found != entries_.end())
        {
            found->second.place = it;
        }
    }
}

auto worker_places::find(worker_instance const& worker) const
    -> worker_place const*
{
    auto const found = entries_.find(worker);
    return found != entries_.end() && found->second.place
               ? &*found->second.place
               : nullptr;
}

auto worker_places::snapshot() const -> std::optional<std::vector<worker_place>>
{
    std::vector<worker_place> out;
    for (auto const& [worker, it] : entries_)
    {
        if (it.place)
        {
            out.push_back(*it.place);
        }
    }
    return out.empty() ? std::nullopt : std::optional{std::move(out)};
}

} // namespace apricotlb
