#include "core/leader/fair_targets.hpp"
#include "core/leader/share_ledger.hpp"

#include <algorithm>

namespace apricotlb
{

namespace
{

/// An entry gets 1/4 of its peak demand on top while there are enough slots, so
/// that its demand can grow without a round trip to the leader.
constexpr std::int32_t headroom_divisor = 4;

/// An entry that lacks at most 1/8 of its target takes no slots from others, so
/// that small changes of demand move no slots.
constexpr std::int32_t tolerance_divisor = 8;

} // namespace

auto share_ledger::available_slots(index entry, index backend) const -> slots
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

auto share_ledger::grant(index entry, index backend, slots amount) -> void
{
    auto& own_share = holding_of(entry, backend);
    if (amount == own_share.granted)
    {
        return;
    }
    auto& row = backends_[backend];
    if (row.service)
    {
        services_[*row.service].granted += amount - own_share.granted;
        demand_of(entry, *row.service).granted += amount - own_share.granted;
    }
    if (amount < own_share.granted)
    {
        own_share.lowered_by = entries_[entry].number;
    }
    auto const before = own_share.counted();
    own_share.granted = amount;
    own_share.ceiling = std::max(own_share.ceiling, amount);
    add_counted(entry, backend, own_share.counted() - before);
}

auto share_ledger::renew_held_shares(index entry) -> void
{
    for (auto const backend : entries_[entry].listed)
    {
        auto const held = entries_[entry].holdings[backend].held;
        // A new leader has not received the announcements of all backend
        // servers yet; their capacity is unknown to it.
        auto const is_present = backends_[backend].present;
        grant(entry, backend,
              is_present ? std::min(held, available_slots(entry, backend))
                         : held);
    }
}

auto share_ledger::limit_grants(index entry) -> void
{
    auto const& row = entries_[entry];
    for (auto const backend : row.listed)
    {
        auto const max_grant =
            row.draining ? 0 : available_slots(entry, backend);
        grant(entry, backend,
              std::min(row.holdings[backend].granted, max_grant));
    }
}

auto share_ledger::adjust_to_demand(index entry) -> void
{
    for (index index_of_service = 0; index_of_service < services_.size();
         ++index_of_service)
    {
        auto& service = services_[index_of_service];
        if (service.targets_outdated)
        {
            set_targets(service);
        }
        auto& own = demand_of(entry, index_of_service);
        auto shortage = std::max(0, own.target - own.granted);
        // Without this bound every heartbeat of an entry would search all
        // backend servers of a service that has no slots left.
        auto const space =
            service.capacity - service.counted + own.counted - own.granted;
        if (auto const available = std::min(shortage, space); available > 0)
        {
            shortage -= add_grants(entry, service, available);
        }
        auto const significant_shortage =
            shortage > own.target / tolerance_divisor ? shortage : 0;
        service.unmet += significant_shortage - own.unmet;
        own.unmet = significant_shortage;
        if (own.granted > own.target && service.unmet > 0)
        {
            // Slots that are free, or still held but no longer granted, cover a
            // part of the others' shortage.
            auto const ungranted = service.capacity - service.granted;
            auto const needed = service.unmet - std::max(0, ungranted);
            remove_grants(entry, service,
                          std::min(own.granted - own.target, needed));
        }
    }
}

auto share_ledger::set_targets(service_row& service) -> void
{
    service.entries.resize(entries_.size());
    std::vector<slot_demand> wanted(entries_.size());
    for (std::size_t entry = 0; entry < entries_.size(); ++entry)
    {
        if (entries_[entry].live && !entries_[entry].draining)
        {
            auto const peak = service.entries[entry].peak;
            auto const spare = peak > 0 ? 1 + peak / headroom_divisor : 1;
            wanted[entry] = {slot_count{peak + spare}, peak > 0};
        }
    }
    auto const targets = fair_targets(wanted, slot_count{service.capacity});
    for (std::size_t entry = 0; entry < targets.size(); ++entry)
    {
        service.entries[entry].target = targets[entry].value();
    }
    service.targets_outdated = false;
}

auto share_ledger::add_grants(index entry, service_row const& service,
                              slots remaining) -> slots
{
    auto const wanted = remaining;
    auto const size = service.backends.size();
    // Entries start at different places, so that they do not all take the
    // first backend servers of the list.
    auto const start = size == 0 ? 0 : entry * std::size_t{7} % size;
    // Backend servers in the own zone come before the others, and at most half
    // of each is granted at first: an entry that holds several can retry on
    // another one.
    for (auto const own_zone : {true, false})
    {
        for (auto const divisor : {2, 1})
        {
            for (std::size_t offset = 0; offset < size && remaining > 0;
                 ++offset)
            {
                auto const backend = service.backends[(start + offset) % size];
                auto const& row = backends_[backend];
                auto const space = available_slots(entry, backend);
                if (space == 0 ||
                    (row.zone == entries_[entry].zone) != own_zone)
                {
                    continue;
                }
                auto const& holdings = entries_[entry].holdings;
                auto const granted_before =
                    backend < holdings.size() ? holdings[backend].granted : 0;
                auto const backend_share =
                    std::max(1, row.capacity / divisor) - granted_before;
                auto const added = std::min(
                    {remaining, space - granted_before, backend_share});
                if (added > 0)
                {
                    grant(entry, backend, granted_before + added);
                    remaining -= added;
                }
            }
        }
    }
    return wanted - remaining;
}

auto share_ledger::remove_grants(index entry, service_row const& service,
                                 slots remaining) -> void
{
    auto const& row = entries_[entry];
    for (auto const own_zone : {false, true})
    {
        for (auto position = service.backends.size();
             position-- > 0 && remaining > 0;)
        {
            auto const backend = service.backends[position];
            if (backend >= row.holdings.size() ||
                (backends_[backend].zone == row.zone) != own_zone)
            {
                continue;
            }
            auto const removed =
                std::min(remaining, row.holdings[backend].granted);
            if (removed > 0)
            {
                grant(entry, backend, row.holdings[backend].granted - removed);
                remaining -= removed;
            }
        }
    }
}

auto share_ledger::make_shares(index entry) -> std::vector<share>
{
    auto& row = entries_[entry];
    std::vector<share> shares;
    shares.reserve(row.listed.size());
    std::erase_if(
        row.listed,
        [&](index backend)
        {
            auto& own_share = row.holdings[backend];
            auto const& server = backends_[backend];
            if (own_share.counted() == 0)
            {
                own_share = {};
                --backends_[backend].listed;
                release_if_unused(backend);
                return true;
            }
            if (own_share.granted > 0)
            {
                auto const connections =
                    server.present
                        ? std::max<std::int64_t>(
                              1, std::int64_t{server.connections} *
                                     own_share.granted / server.capacity)
                        : own_share.connections;
                shares.push_back(
                    {server.id, slot_count{own_share.granted},
                     connection_count{static_cast<std::int32_t>(connections)}});
            }
            return false;
        });
    return shares;
}

} // namespace apricotlb
