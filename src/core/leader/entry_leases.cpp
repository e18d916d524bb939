#include "core/leader/entry_leases.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr duration lease_with_drift = config::with_drift(config::entry_lease);

} // namespace

entry_leases::entry_leases(time_point elected)
    : former_leases_end_(elected + lease_with_drift)
{
}

auto entry_leases::on_heartbeat(entry_heartbeat const& heartbeat,
                                time_point now) -> bool
{
    auto const [found, added] = entries_.try_emplace(heartbeat.session.entry);
    auto& entry = found->second;
    if (!added && heartbeat.session.run == entry.run)
    {
        if (heartbeat.number <= entry.number)
        {
            return false;
        }
    }
    else if (!added)
    {
        if (now < entry.ends && entry.replaced.contains(heartbeat.session.run))
        {
            return false;
        }
        entry.replaced.replace(entry.run, heartbeat.session.run);
    }
    entry.run = heartbeat.session.run;
    entry.number = heartbeat.number;
    entry.confirmed = heartbeat.contracts;
    entry.ends = now + lease_with_drift;
    entry.draining = heartbeat.draining;
    return true;
}

auto entry_leases::in_force(revision at, time_point now) -> bool
{
    if (at <= in_force_)
    {
        return true;
    }
    if (now < former_leases_end_)
    {
        return false;
    }
    auto const has_ended_or_confirmed = [&](auto const& it)
    { return it.second.ends <= now || it.second.confirmed >= at; };
    if (!std::ranges::all_of(entries_, has_ended_or_confirmed))
    {
        return false;
    }
    in_force_ = at;
    return true;
}

auto entry_leases::next_end(time_point now) const -> time_point
{
    auto next = time_point::max();
    if (now < former_leases_end_)
    {
        next = former_leases_end_;
    }
    for (auto const& [id, it] : entries_)
    {
        if (now < it.ends)
        {
            next = std::min(next, it.ends);
        }
    }
    return next;
}

auto entry_leases::is_live(entry_session const& it, time_point now) const
    -> bool
{
    auto const found = entries_.find(it.entry);
    return found != entries_.end() && found->second.run == it.run &&
           now < found->second.ends;
}

auto entry_leases::sessions_to_end(std::vector<entry_session> const& open,
                                   time_point now) const
    -> std::vector<end_session>
{
    std::vector<end_session> ended;
    for (auto const& session : open)
    {
        auto const found = entries_.find(session.entry);
        auto const is_recorded =
            found != entries_.end() && found->second.run == session.run;
        auto const is_replaced = found != entries_.end() &&
                                 found->second.replaced.contains(session.run);
        auto const end = is_recorded ? found->second.ends : former_leases_end_;
        if (is_replaced || now >= end + lease_with_drift)
        {
            ended.push_back({session});
        }
    }
    return ended;
}

auto entry_leases::prune(time_point now) -> void
{
    std::erase_if(entries_, [now](auto const& it)
                  { return now >= it.second.ends + lease_with_drift; });
}

} // namespace apricotlb
