#include "core/leader/entry_leases.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr duration lease = config::with_drift(config::entry_lease);

} // namespace

entry_leases::entry_leases(time_point elected) : settled_(elected + lease) {}

auto entry_leases::on_heartbeat(entry_heartbeat const& it, time_point now)
    -> bool
{
    auto const [found, added] = entries_.try_emplace(it.session.entry);
    auto& entry = found->second;
    if (!added && it.session.run == entry.run)
    {
        if (it.number <= entry.number)
        {
            return false;
        }
    }
    else if (!added && it.session.run < entry.run && now < entry.ends)
    {
        return false;
    }
    entry.run = it.session.run;
    entry.number = it.number;
    entry.confirmed = it.contracts;
    entry.ends = now + lease;
    entry.draining = it.draining;
    return true;
}

auto entry_leases::in_force(revision at, time_point now) -> bool
{
    if (at <= in_force_)
    {
        return true;
    }
    if (now < settled_)
    {
        return false;
    }
    auto const follows = [&](auto const& it)
    { return it.second.ends <= now || it.second.confirmed >= at; };
    if (!std::ranges::all_of(entries_, follows))
    {
        return false;
    }
    in_force_ = at;
    return true;
}

auto entry_leases::next_end(time_point now) const -> time_point
{
    auto next = time_point::max();
    if (now < settled_)
    {
        next = settled_;
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
    for (auto const& it : open)
    {
        auto const found = entries_.find(it.entry);
        auto const known =
            found != entries_.end() && found->second.run == it.run;
        auto const replaced =
            found != entries_.end() && found->second.run > it.run;
        auto const end = known ? found->second.ends : settled_;
        if (replaced || now >= end + lease)
        {
            ended.push_back({it});
        }
    }
    return ended;
}

auto entry_leases::prune(time_point now) -> void
{
    std::erase_if(entries_, [now](auto const& it)
                  { return now >= it.second.ends + lease; });
}

} // namespace apricotlb
