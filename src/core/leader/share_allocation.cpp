#include "core/leader/fair_targets.hpp"
#include "core/leader/share_ledger.hpp"

#include <algorithm>

namespace apricotlb
{

namespace
{

/// Slots beyond the peak that an entry is given when there are enough, as a
/// part of the peak; demand then grows without a round trip.
constexpr std::int32_t headroom = 4;

/// An entry that lacks at most this part of its target does not take slots
/// from others: small changes of demand move nothing.
constexpr std::int32_t tolerance = 8;

} // namespace

auto share_ledger::room(index entry, index backend) const -> slots
{
    auto const& row = backends_[backend];
    auto const& holdings = entries_[entry].holdings;
    auto const own =
        backend < holdings.size() ? holdings[backend].counted() : 0;
    return std::max(0, row.capacity - (row.counted - own));
}

auto share_ledger::granted_on(index entry, index backend) const -> slots
{
    auto const& holdings = entries_[entry].holdings;
    return backend < holdings.size() ? holdings[backend].granted : 0;
}

auto share_ledger::grant(index entry, index backend, slots n) -> void
{
    auto& it = holding_of(entry, backend);
    if (n == it.granted)
    {
        return;
    }
    auto& row = backends_[backend];
    if (row.service)
    {
        services_[*row.service].granted += n - it.granted;
        demand_of(entry, *row.service).granted += n - it.granted;
    }
    if (n < it.granted)
    {
        it.lowered = entries_[entry].number;
    }
    auto const before = it.counted();
    it.granted = n;
    it.ceiling = std::max(it.ceiling, n);
    add_counted(entry, backend, it.counted() - before);
}

auto share_ledger::renew_held(index entry) -> void
{
    for (auto const backend : entries_[entry].listed)
    {
        auto const held = entries_[entry].holdings[backend].held;
        // A new leader has not heard of every backend server yet.
        auto const known = backends_[backend].present;
        grant(entry, backend,
              known ? std::min(held, room(entry, backend)) : held);
    }
}

auto share_ledger::cut_excess(index entry) -> void
{
    auto const& row = entries_[entry];
    for (auto const backend : row.listed)
    {
        auto const most_here = row.draining ? 0 : room(entry, backend);
        grant(entry, backend,
              std::min(row.holdings[backend].granted, most_here));
    }
}

auto share_ledger::follow_demand(index entry) -> void
{
    for (index n = 0; n < services_.size(); ++n)
    {
        auto& service = services_[n];
        if (service.changed)
        {
            set_targets(service);
        }
        auto& own = demand_of(entry, n);
        auto short_of = std::max(0, own.target - own.granted);
        // Without this bound an entry would visit every backend server of a
        // full service at each heartbeat.
        auto const space =
            service.capacity - service.counted + own.counted - own.granted;
        if (auto const more = std::min(short_of, space); more > 0)
        {
            short_of -= grow(entry, service, more);
        }
        auto const pressing = short_of > own.target / tolerance ? short_of : 0;
        service.unmet += pressing - own.unmet;
        own.unmet = pressing;
        if (own.granted > own.target && service.unmet > 0)
        {
            // Slots that are free or on their way back serve the others too.
            auto const coming = service.capacity - service.granted;
            auto const lacking = service.unmet - std::max(0, coming);
            shrink(entry, service, std::min(own.granted - own.target, lacking));
        }
    }
}

auto share_ledger::set_targets(service_row& it) -> void
{
    it.entries.resize(entries_.size());
    std::vector<slot_demand> wanted(entries_.size());
    for (std::size_t n = 0; n < entries_.size(); ++n)
    {
        if (entries_[n].live && !entries_[n].draining)
        {
            auto const peak = it.entries[n].peak;
            auto const spare = peak > 0 ? 1 + peak / headroom : 1;
            wanted[n] = {slot_count{peak + spare}, peak > 0};
        }
    }
    auto const targets = fair_targets(wanted, slot_count{it.capacity});
    for (std::size_t n = 0; n < targets.size(); ++n)
    {
        it.entries[n].target = targets[n].value();
    }
    it.changed = false;
}

auto share_ledger::grow(index entry, service_row const& it, slots n) -> slots
{
    auto const wanted = n;
    auto const size = it.backends.size();
    // Entries start at different places, so that they do not all take the
    // first backend servers of the list.
    auto const start = size == 0 ? 0 : entry * std::size_t{7} % size;
    // Half of a backend server at first, so that an entry holds several and
    // can retry elsewhere; the own zone before the others.
    for (auto const own_zone : {true, false})
    {
        for (auto const divisor : {2, 1})
        {
            for (std::size_t k = 0; k < size && n > 0; ++k)
            {
                auto const backend = it.backends[(start + k) % size];
                auto const& row = backends_[backend];
                auto const space = room(entry, backend);
                if (space == 0 ||
                    (row.zone == entries_[entry].zone) != own_zone)
                {
                    continue;
                }
                auto const& holdings = entries_[entry].holdings;
                auto const before =
                    backend < holdings.size() ? holdings[backend].granted : 0;
                auto const part = std::max(1, row.capacity / divisor) - before;
                auto const more = std::min({n, space - before, part});
                if (more > 0)
                {
                    grant(entry, backend, before + more);
                    n -= more;
                }
            }
        }
    }
    return wanted - n;
}

auto share_ledger::shrink(index entry, service_row const& it, slots n) -> void
{
    auto const& row = entries_[entry];
    for (auto const own_zone : {false, true})
    {
        for (auto k = it.backends.size(); k-- > 0 && n > 0;)
        {
            auto const backend = it.backends[k];
            if (backend >= row.holdings.size() ||
                (backends_[backend].zone == row.zone) != own_zone)
            {
                continue;
            }
            auto const less = std::min(n, row.holdings[backend].granted);
            if (less > 0)
            {
                grant(entry, backend, row.holdings[backend].granted - less);
                n -= less;
            }
        }
    }
}

auto share_ledger::answer(index entry) -> std::vector<share>
{
    auto& row = entries_[entry];
    std::vector<share> shares;
    shares.reserve(row.listed.size());
    std::erase_if(
        row.listed,
        [&](index backend)
        {
            auto& it = row.holdings[backend];
            auto const& server = backends_[backend];
            if (it.counted() == 0)
            {
                it = {};
                --backends_[backend].listed;
                recycle(backend);
                return true;
            }
            if (it.granted > 0)
            {
                auto const part =
                    server.present ? std::max<std::int64_t>(
                                         1, std::int64_t{server.connections} *
                                                it.granted / server.capacity)
                                   : it.connections;
                shares.push_back(
                    {server.id, slot_count{it.granted},
                     connection_count{static_cast<std::int32_t>(part)}});
            }
            return false;
        });
    return shares;
}

} // namespace apricotlb
