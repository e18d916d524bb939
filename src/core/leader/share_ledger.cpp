#include "core/leader/share_ledger.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr duration lease_with_drift = config::with_drift(config::entry_lease);

/// The recorded peak of demand decays by 1/8 per heartbeat interval, so that a
/// short pause of requests does not move slots away and back.
constexpr std::int32_t peak_decay_divisor = 8;

/// Bound on numbers from messages, so that their sums cannot overflow.
constexpr std::int64_t max_count = 1'000'000;

auto clamp_count(std::int64_t n) -> std::int32_t
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(n, 0, max_count));
}

} // namespace

share_ledger::share_ledger(term leader_term, time_point elected)
    : term_(leader_term), former_leases_end_(elected + lease_with_drift)
{
}

auto share_ledger::set_backend(backend_info const& info) -> void
{
    auto const backend = backend_index(info.id);
    join_service(backend, {info.customer, info.service});
    auto& row = backends_[backend];
    auto& service = services_[*row.service];
    auto const capacity = clamp_count(info.slots.value());
    if (capacity != row.capacity)
    {
        service.capacity += capacity - row.capacity;
        service.targets_outdated = true;
    }
    row.capacity = capacity;
    row.zone = zone_index(info.zone);
    row.connections = clamp_count(info.connections.value());
    row.present = true;
}

auto share_ledger::remove_backend(backend_id const& id) -> void
{
    auto const found = backend_by_id_.find(id);
    if (found == backend_by_id_.end() || !backends_[found->second].present)
    {
        return;
    }
    auto& row = backends_[found->second];
    leave_service(found->second);
    row.capacity = 0;
    row.present = false;
    release_if_unused(found->second);
}

auto share_ledger::on_heartbeat(entry_heartbeat const& heartbeat,
                                time_point now)
    -> std::optional<std::vector<share>>
{
    expire(now);
    auto const entry = entry_index(heartbeat, now);
    if (!entry)
    {
        return std::nullopt;
    }
    auto& row = entries_[*entry];
    row.number = heartbeat.number;
    row.zone = zone_index(heartbeat.zone);
    row.expires_at = now + lease_with_drift;
    if (row.draining != heartbeat.draining)
    {
        row.draining = heartbeat.draining;
        for (auto& service : services_)
        {
            service.targets_outdated = true;
        }
    }
    update_held(*entry, heartbeat);
    update_demand(*entry, heartbeat, now);
    if (now < former_leases_end_ || heartbeat.applied_term != term_)
    {
        renew_held_shares(*entry);
    }
    else
    {
        limit_grants(*entry);
        adjust_to_demand(*entry);
    }
    return make_shares(*entry);
}

auto share_ledger::expire(time_point now) -> void
{
    for (index entry = 0; entry < entries_.size(); ++entry)
    {
        if (entries_[entry].live && entries_[entry].expires_at <= now)
        {
            drop_entry(entry);
        }
    }
}

auto share_ledger::committed(backend_id const& id) const -> slot_count
{
    auto const found = backend_by_id_.find(id);
    return slot_count{
        found == backend_by_id_.end() ? 0 : backends_[found->second].counted};
}

auto share_ledger::granted(node_id const& entry, customer_id const& customer,
                           service_name const& service) const -> slot_count
{
    auto const found = service_by_name_.find({customer, service});
    auto const row = std::ranges::find(entries_, entry, &entry_row::id);
    if (found == service_by_name_.end() || row == entries_.end())
    {
        return slot_count{0};
    }
    auto const index_of_entry =
        static_cast<std::size_t>(row - entries_.begin());
    auto const& demands = services_[found->second].entries;
    return slot_count{
        index_of_entry < demands.size() ? demands[index_of_entry].granted : 0};
}

auto share_ledger::backend_index(backend_id const& id) -> index
{
    auto const [found, added] = backend_by_id_.try_emplace(id, index{0});
    if (added)
    {
        if (unused_backends_.empty())
        {
            found->second = static_cast<index>(backends_.size());
            backends_.emplace_back();
        }
        else
        {
            found->second = unused_backends_.back();
            unused_backends_.pop_back();
        }
        backends_[found->second].id = id;
    }
    return found->second;
}

auto share_ledger::release_if_unused(index backend) -> void
{
    auto& row = backends_[backend];
    if (row.present || row.listed > 0)
    {
        return;
    }
    leave_service(backend);
    backend_by_id_.erase(row.id);
    row = {};
    unused_backends_.push_back(backend);
}

auto share_ledger::join_service(index backend, service_key const& key) -> void
{
    auto const [found, added] =
        service_by_name_.try_emplace(key, static_cast<index>(services_.size()));
    if (added)
    {
        services_.emplace_back();
    }
    auto& row = backends_[backend];
    if (row.service == found->second)
    {
        return;
    }
    leave_service(backend);
    row.service = found->second;
    auto& service = services_[found->second];
    service.backends.push_back(backend);
    move_sums(backend, found->second, 1);
}

auto share_ledger::leave_service(index backend) -> void
{
    auto& row = backends_[backend];
    if (!row.service)
    {
        return;
    }
    auto& service = services_[*row.service];
    std::erase(service.backends, backend);
    move_sums(backend, *row.service, -1);
    row.service.reset();
}

auto share_ledger::move_sums(index backend, index service, slots sign) -> void
{
    auto const& row = backends_[backend];
    auto& sums = services_[service];
    sums.capacity += sign * row.capacity;
    sums.counted += sign * row.counted;
    sums.targets_outdated = true;
    for (index entry = 0; entry < entries_.size(); ++entry)
    {
        auto const& holdings = entries_[entry].holdings;
        if (backend < holdings.size() && holdings[backend].listed)
        {
            auto const& own_share = holdings[backend];
            auto& own = demand_of(entry, service);
            sums.granted += sign * own_share.granted;
            own.granted += sign * own_share.granted;
            own.counted += sign * own_share.counted();
        }
    }
}

auto share_ledger::zone_index(zone_id const& zone) -> index
{
    return zones_.try_emplace(zone, static_cast<index>(zones_.size()))
        .first->second;
}

auto share_ledger::add_counted(index entry, index backend, slots delta) -> void
{
    auto& row = backends_[backend];
    row.counted += delta;
    if (delta != 0 && row.service)
    {
        services_[*row.service].counted += delta;
        demand_of(entry, *row.service).counted += delta;
    }
}

auto share_ledger::entry_index(entry_heartbeat const& heartbeat, time_point now)
    -> std::optional<index>
{
    auto found =
        std::ranges::find(entries_, heartbeat.session.entry, &entry_row::id);
    replaced_lives replaced;
    if (found != entries_.end() && found->run != heartbeat.session.run)
    {
        if (found->live && found->replaced.contains(heartbeat.session.run))
        {
            return std::nullopt;
        }
        replaced = found->replaced;
        replaced.replace(found->run, heartbeat.session.run);
        if (found->live && heartbeat.session.run < found->run)
        {
            // The lower number may be of an earlier life, whose message is
            // late: what the recorded one holds counts until its lease ends.
            found->id = {};
            found = entries_.end();
        }
    }
    if (found == entries_.end())
    {
        // The row of an entry that ended long ago is reused; none of its
        // messages can still be in transit.
        found = std::ranges::find_if(entries_,
                                     [now](auto const& row) {
                                         return !row.live &&
                                                now - row.expires_at >
                                                    16 * lease_with_drift;
                                     });
        if (found == entries_.end())
        {
            found = entries_.insert(entries_.end(), entry_row{});
        }
        *found = {};
    }
    else if (found->run == heartbeat.session.run)
    {
        if (heartbeat.number <= found->number)
        {
            return std::nullopt;
        }
    }
    else if (found->live)
    {
        // The former incarnation has ended: a node id belongs to one process.
        drop_entry(static_cast<index>(found - entries_.begin()));
    }
    auto const entry = static_cast<index>(found - entries_.begin());
    if (!found->live)
    {
        found->live = true;
        found->peaks_decayed_at = now;
        for (index service = 0; service < services_.size(); ++service)
        {
            demand_of(entry, service) = {};
            services_[service].targets_outdated = true;
        }
    }
    if (found->run != heartbeat.session.run)
    {
        found->replaced = std::move(replaced);
    }
    found->id = heartbeat.session.entry;
    found->run = heartbeat.session.run;
    return entry;
}

auto share_ledger::drop_entry(index entry) -> void
{
    auto& row = entries_[entry];
    row.live = false;
    for (auto const backend : row.listed)
    {
        auto& own_share = row.holdings[backend];
        grant(entry, backend, 0);
        add_counted(entry, backend, -own_share.counted());
        --backends_[backend].listed;
        own_share = {};
        release_if_unused(backend);
    }
    row.listed.clear();
    row.holdings.clear();
    row.demanded.clear();
    for (auto& service : services_)
    {
        if (entry < service.entries.size())
        {
            service.unmet -= service.entries[entry].unmet;
            service.entries[entry] = {};
        }
        service.targets_outdated = true;
    }
}

auto share_ledger::holding_of(index entry, index backend) -> holding&
{
    auto& row = entries_[entry];
    if (backend >= row.holdings.size())
    {
        row.holdings.resize(backends_.size());
    }
    auto& own_share = row.holdings[backend];
    if (!own_share.listed)
    {
        own_share = {};
        own_share.listed = true;
        row.listed.push_back(backend);
        ++backends_[backend].listed;
    }
    return own_share;
}

auto share_ledger::demand_of(index entry, index service) -> entry_demand&
{
    auto& demands = services_[service].entries;
    if (entry >= demands.size())
    {
        demands.resize(entry + 1);
    }
    return demands[entry];
}

auto share_ledger::reported_index(index entry, backend_id const& id,
                                  std::size_t& position) -> index
{
    // Entries mostly report shares in the order of the last answer. Comparing
    // the next few positions costs less than a hash look-up.
    constexpr std::size_t compared = 3;
    auto const& listed = entries_[entry].listed;
    for (auto next = position;
         next < std::min(position + compared, listed.size()); ++next)
    {
        if (backends_[listed[next]].id == id)
        {
            position = next + 1;
            return listed[next];
        }
    }
    return backend_index(id);
}

auto share_ledger::update_held(index entry, entry_heartbeat const& heartbeat)
    -> void
{
    ++round_;
    std::size_t position{0};
    for (auto const& reported : heartbeat.held)
    {
        auto const backend = reported_index(entry, reported.backend, position);
        auto& own_share = holding_of(entry, backend);
        auto const before = own_share.counted();
        own_share.held = clamp_count(reported.slots.value());
        own_share.connections = clamp_count(reported.connections.value());
        own_share.last_round = round_;
        add_counted(entry, backend, own_share.counted() - before);
    }
    auto const is_own_answer = heartbeat.applied_term == term_;
    for (auto const backend : entries_[entry].listed)
    {
        auto& own_share = entries_[entry].holdings[backend];
        auto const before = own_share.counted();
        if (own_share.last_round != round_)
        {
            own_share.held = 0;
        }
        if (is_own_answer && heartbeat.applied >= own_share.lowered_by)
        {
            own_share.ceiling = own_share.granted;
        }
        add_counted(entry, backend, own_share.counted() - before);
    }
}

auto share_ledger::update_demand(index entry, entry_heartbeat const& heartbeat,
                                 time_point now) -> void
{
    auto& row = entries_[entry];
    for (auto const service : row.demanded)
    {
        demand_of(entry, service).demand = 0;
    }
    for (auto const& reported : heartbeat.demand)
    {
        auto const found =
            service_by_name_.find({reported.customer, reported.service});
        if (found == service_by_name_.end())
        {
            continue;
        }
        auto& own = demand_of(entry, found->second);
        own.demand =
            clamp_count(reported.running.value() + reported.queued.value());
        if (own.peak == 0 && own.demand > 0)
        {
            row.demanded.push_back(found->second);
        }
        if (own.demand > own.peak)
        {
            own.peak = own.demand;
            services_[found->second].targets_outdated = true;
        }
    }
    if (now - row.peaks_decayed_at < config::heartbeat_interval)
    {
        return;
    }
    row.peaks_decayed_at = now;
    for (auto const service : row.demanded)
    {
        auto& own = demand_of(entry, service);
        if (own.peak > own.demand)
        {
            own.peak =
                std::max(own.demand,
                         own.peak - std::max(1, own.peak / peak_decay_divisor));
            services_[service].targets_outdated = true;
        }
    }
    std::erase_if(row.demanded, [&](index service)
                  { return demand_of(entry, service).peak == 0; });
}

} // namespace apricotlb
