#include "core/leader/share_ledger.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr duration lease = config::with_drift(config::entry_lease);

/// A peak of demand decays by this part per heartbeat interval, so that a
/// short pause does not move slots away and back.
constexpr std::int32_t peak_decay = 8;

/// Caps numbers from messages well below the limits of the sums.
constexpr std::int64_t most = 1'000'000;

auto capped(std::int64_t n) -> std::int32_t
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(n, 0, most));
}

} // namespace

share_ledger::share_ledger(term leader_term, time_point elected)
    : term_(leader_term), settled_(elected + lease)
{
}

auto share_ledger::set_backend(backend_info const& it) -> void
{
    auto const n = backend_index(it.id);
    join_service(n, {it.customer, it.service});
    auto& row = backends_[n];
    auto& service = services_[*row.service];
    auto const capacity = capped(it.slots.value());
    if (capacity != row.capacity)
    {
        service.capacity += capacity - row.capacity;
        service.changed = true;
    }
    row.capacity = capacity;
    row.zone = zone_index(it.zone);
    row.connections = capped(it.connections.value());
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
    recycle(found->second);
}

auto share_ledger::on_heartbeat(entry_heartbeat const& it, time_point now)
    -> std::optional<std::vector<share>>
{
    expire(now);
    auto const entry = entry_index(it, now);
    if (!entry)
    {
        return std::nullopt;
    }
    auto& row = entries_[*entry];
    row.number = it.number;
    row.zone = zone_index(it.zone);
    row.ends = now + lease;
    if (row.draining != it.draining)
    {
        row.draining = it.draining;
        for (auto& service : services_)
        {
            service.changed = true;
        }
    }
    take_held(*entry, it);
    take_demand(*entry, it, now);
    if (now < settled_ || it.applied_term != term_)
    {
        renew_held(*entry);
    }
    else
    {
        cut_excess(*entry);
        follow_demand(*entry);
    }
    return answer(*entry);
}

auto share_ledger::expire(time_point now) -> void
{
    for (index n = 0; n < entries_.size(); ++n)
    {
        if (entries_[n].live && entries_[n].ends <= now)
        {
            drop(n);
        }
    }
}

auto share_ledger::committed(backend_id const& id) const -> slot_count
{
    auto const it = backend_by_id_.find(id);
    return slot_count{
        it == backend_by_id_.end() ? 0 : backends_[it->second].counted};
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
    auto const n = static_cast<std::size_t>(row - entries_.begin());
    auto const& known = services_[found->second].entries;
    return slot_count{n < known.size() ? known[n].granted : 0};
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

auto share_ledger::recycle(index backend) -> void
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
    sums.changed = true;
    for (index n = 0; n < entries_.size(); ++n)
    {
        auto const& holdings = entries_[n].holdings;
        if (backend < holdings.size() && holdings[backend].listed)
        {
            auto const& it = holdings[backend];
            auto& own = demand_of(n, service);
            sums.granted += sign * it.granted;
            own.granted += sign * it.granted;
            own.counted += sign * it.counted();
        }
    }
}

auto share_ledger::zone_index(zone_id const& zone) -> index
{
    return zones_.try_emplace(zone, static_cast<index>(zones_.size()))
        .first->second;
}

auto share_ledger::add_counted(index entry, index backend, slots n) -> void
{
    auto& row = backends_[backend];
    row.counted += n;
    if (n != 0 && row.service)
    {
        services_[*row.service].counted += n;
        demand_of(entry, *row.service).counted += n;
    }
}

auto share_ledger::entry_index(entry_heartbeat const& it, time_point now)
    -> std::optional<index>
{
    auto found = std::ranges::find(entries_, it.session.entry, &entry_row::id);
    if (found == entries_.end())
    {
        // A row whose entry ended long ago is used again; no message of that
        // entry is still under way.
        found = std::ranges::find_if(
            entries_, [now](auto const& row)
            { return !row.live && now - row.ends > 16 * lease; });
        if (found == entries_.end())
        {
            found = entries_.insert(entries_.end(), entry_row{});
        }
        *found = {};
    }
    else if (found->run == it.session.run)
    {
        if (it.number <= found->number)
        {
            return std::nullopt;
        }
    }
    else if (found->live)
    {
        if (it.session.run < found->run)
        {
            return std::nullopt;
        }
        // The former run is gone: a node id belongs to one process.
        drop(static_cast<index>(found - entries_.begin()));
    }
    auto const n = static_cast<index>(found - entries_.begin());
    if (!found->live)
    {
        found->live = true;
        found->decayed = now;
        for (index service = 0; service < services_.size(); ++service)
        {
            demand_of(n, service) = {};
            services_[service].changed = true;
        }
    }
    found->id = it.session.entry;
    found->run = it.session.run;
    return n;
}

auto share_ledger::drop(index entry) -> void
{
    auto& row = entries_[entry];
    row.live = false;
    for (auto const backend : row.listed)
    {
        auto& it = row.holdings[backend];
        grant(entry, backend, 0);
        add_counted(entry, backend, -it.counted());
        --backends_[backend].listed;
        it = {};
        recycle(backend);
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
        service.changed = true;
    }
}

auto share_ledger::holding_of(index entry, index backend) -> holding&
{
    auto& row = entries_[entry];
    if (backend >= row.holdings.size())
    {
        row.holdings.resize(backends_.size());
    }
    auto& it = row.holdings[backend];
    if (!it.listed)
    {
        it = {};
        it.listed = true;
        row.listed.push_back(backend);
        ++backends_[backend].listed;
    }
    return it;
}

auto share_ledger::demand_of(index entry, index service) -> entry_demand&
{
    auto& known = services_[service].entries;
    if (entry >= known.size())
    {
        known.resize(entry + 1);
    }
    return known[entry];
}

auto share_ledger::reported_index(index entry, backend_id const& id,
                                  std::size_t& at) -> index
{
    // Entries mostly report shares in the order of the last answer; the next
    // few places are cheaper to compare than a hash is to compute.
    constexpr std::size_t near = 3;
    auto const& listed = entries_[entry].listed;
    for (auto n = at; n < std::min(at + near, listed.size()); ++n)
    {
        if (backends_[listed[n]].id == id)
        {
            at = n + 1;
            return listed[n];
        }
    }
    return backend_index(id);
}

auto share_ledger::take_held(index entry, entry_heartbeat const& it) -> void
{
    ++round_;
    std::size_t at{0};
    for (auto const& reported : it.held)
    {
        auto const backend = reported_index(entry, reported.backend, at);
        auto& held = holding_of(entry, backend);
        auto const before = held.counted();
        held.held = capped(reported.slots.value());
        held.connections = capped(reported.connections.value());
        held.seen = round_;
        add_counted(entry, backend, held.counted() - before);
    }
    auto const own_answer = it.applied_term == term_;
    for (auto const backend : entries_[entry].listed)
    {
        auto& held = entries_[entry].holdings[backend];
        auto const before = held.counted();
        if (held.seen != round_)
        {
            held.held = 0;
        }
        if (own_answer && it.applied >= held.lowered)
        {
            held.ceiling = held.granted;
        }
        add_counted(entry, backend, held.counted() - before);
    }
}

auto share_ledger::take_demand(index entry, entry_heartbeat const& it,
                               time_point now) -> void
{
    auto& row = entries_[entry];
    for (auto const service : row.demanded)
    {
        demand_of(entry, service).demand = 0;
    }
    for (auto const& asked : it.demand)
    {
        auto const found =
            service_by_name_.find({asked.customer, asked.service});
        if (found == service_by_name_.end())
        {
            continue;
        }
        auto& known = demand_of(entry, found->second);
        known.demand = capped(asked.running.value() + asked.queued.value());
        if (known.peak == 0 && known.demand > 0)
        {
            row.demanded.push_back(found->second);
        }
        if (known.demand > known.peak)
        {
            known.peak = known.demand;
            services_[found->second].changed = true;
        }
    }
    if (now - row.decayed < config::heartbeat_interval)
    {
        return;
    }
    row.decayed = now;
    for (auto const service : row.demanded)
    {
        auto& known = demand_of(entry, service);
        if (known.peak > known.demand)
        {
            known.peak =
                std::max(known.demand,
                         known.peak - std::max(1, known.peak / peak_decay));
            services_[service].changed = true;
        }
    }
    std::erase_if(row.demanded, [&](index service)
                  { return demand_of(entry, service).peak == 0; });
}

} // namespace apricotlb
