#include "core/entry/router.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <string>

namespace apricotlb
{

auto router::server_of(backend_id const& id, time_point now) -> server&
{
    return servers_.try_emplace(id, server{backend_health{now}, {}})
        .first->second;
}

auto router::add_new_servers(std::vector<backend_info const*> const& servers,
                             time_point now) -> void
{
    // Slow start limits the load of a server that joins a running service. If
    // this entry has recorded none of the servers, the entry itself has just
    // started, and the servers are treated as running for some time already.
    auto const any_recorded = std::ranges::any_of(
        servers, [this](auto const* it) { return servers_.contains(it->id); });
    auto const first_seen = any_recorded ? now : now - config::slow_start;
    for (auto const* const it : servers)
    {
        servers_.try_emplace(it->id, server{backend_health{first_seen}, {}});
    }
}

auto router::usable_slots(entry_view const& view, backend_info const& it,
                          route_query const& query, time_point now)
    -> slot_count
{
    // The contract's share of the server's slots, at least one.
    auto const contract_slots =
        std::max(1, it.slots.value() * query.vm_share.value() / 1000);
    auto const granted =
        std::min(view.share_of(it.id, now).slots, slot_count{contract_slots});
    return server_of(it.id, now).health.usable(granted, now);
}

auto router::cost(candidate const& it, time_point now) -> std::int64_t
{
    // A server without a measured latency has the lowest cost, so it receives
    // requests soon; slow start limits their number.
    constexpr std::int64_t floor_us = 100;
    auto const latency = it.state->health.latency(now).count() + floor_us;
    return latency * (it.state->running.value() + 1);
}

auto router::best_of(std::vector<candidate> const& candidates, bool is_local,
                     time_point now, random_bits bits) -> candidate const*
{
    candidate const* best{nullptr};
    std::int64_t lowest_cost{0};
    auto const count = candidates.size();
    for (std::size_t index = 0; index < count; ++index)
    {
        // The random start index keeps entries from all choosing the same one
        // of several servers with equal cost.
        auto const& it = candidates[(index + bits.value() % count) % count];
        if (it.is_local != is_local)
        {
            continue;
        }
        auto const current_cost = cost(it, now);
        if (best == nullptr || current_cost < lowest_cost)
        {
            best = &it;
            lowest_cost = current_cost;
        }
    }
    return best;
}

auto router::choose_backend(entry_view const& view, route_query const& query,
                            time_point now, random_bits bits)
    -> result<backend_id>
{
    auto const servers = view.backends_of(query.customer, query.service);
    if (servers.empty())
    {
        return fail(error_kind::unknown_service,
                    "no backend server announces " + query.service.value());
    }
    add_new_servers(servers, now);
    std::vector<candidate> candidates;
    auto const collect = [&](bool tried_before)
    {
        for (auto const* const info : servers)
        {
            auto& state = server_of(info->id, now);
            auto const was_tried =
                std::ranges::find(query.avoid, info->id) != query.avoid.end();
            if (state.health.is_ejected(now) || was_tried != tried_before)
            {
                continue;
            }
            auto const usable = usable_slots(view, *info, query, now);
            auto const free = usable - state.running;
            // A long request leaves one slot to short requests, unless the
            // server has only one usable slot.
            auto const needed =
                slot_count{query.is_long && usable > slot_count{1} ? 2 : 1};
            if (free >= needed)
            {
                candidates.push_back(
                    {info, &state, free, info->zone == view.zone()});
            }
        }
    };
    collect(false);
    if (candidates.empty() && !query.avoid.empty())
    {
        // No other server has a free slot, as in a service with one server:
        // the request may return to a server that was tried before.
        collect(true);
    }
    if (candidates.empty())
    {
        return fail(error_kind::no_backend, "no free backend server slot for " +
                                                query.service.value() +
                                                " on this entry");
    }
    auto const* best = best_of(candidates, true, now, bits);
    auto const* const best_remote = best_of(candidates, false, now, bits);
    if (best == nullptr ||
        (best_remote != nullptr &&
         best->state->health.latency(now) > query.urgent_latency &&
         cost(*best_remote, now) < cost(*best, now)))
    {
        best = best_remote;
    }
    ++best->state->running;
    return best->info->id;
}

auto router::capacity(entry_view const& view, route_query const& query,
                      time_point now) -> service_capacity
{
    service_capacity out;
    auto const servers = view.backends_of(query.customer, query.service);
    add_new_servers(servers, now);
    for (auto const* const info : servers)
    {
        ++out.servers;
        auto const& state = server_of(info->id, now);
        if (state.health.is_ejected(now))
        {
            continue;
        }
        auto const usable = usable_slots(view, *info, query, now);
        out.usable += usable;
        out.free += std::max(usable - state.running, slot_count{0});
    }
    return out;
}

auto router::record_latency(backend_id const& id, duration latency,
                            time_point now) -> void
{
    server_of(id, now).health.record_latency(latency, now);
}

auto router::call_ended(entry_view const& view, backend_id const& id,
                        attempt_result status, time_point now) -> void
{
    auto& state = server_of(id, now);
    state.running = std::max(state.running - slot_count{1}, slot_count{0});
    if (!state.health.call_ended(status) || state.health.is_ejected(now))
    {
        return;
    }
    auto const* const info = view.backend(id);
    if (info == nullptr)
    {
        return;
    }
    auto const servers = view.backends_of(info->customer, info->service);
    auto const ejected = static_cast<std::size_t>(std::ranges::count_if(
        servers, [&](auto const* it) { return is_ejected(it->id, now); }));
    if (2 * (ejected + 1) <= servers.size())
    {
        state.health.eject(now);
    }
}

auto router::running(backend_id const& id) const -> slot_count
{
    auto const it = servers_.find(id);
    return it == servers_.end() ? slot_count{0} : it->second.running;
}

auto router::is_ejected(backend_id const& id, time_point now) const -> bool
{
    auto const it = servers_.find(id);
    return it != servers_.end() && it->second.health.is_ejected(now);
}

auto router::in_use() const -> std::vector<share>
{
    std::vector<share> out;
    for (auto const& [id, state] : servers_)
    {
        if (state.running > slot_count{0})
        {
            out.push_back(
                {id, state.running, connection_count{state.running.value()}});
        }
    }
    return out;
}

auto router::remove_departed(entry_view const& view) -> void
{
    std::erase_if(servers_,
                  [&view](auto const& it)
                  {
                      return it.second.running == slot_count{0} &&
                             view.backend(it.first) == nullptr;
                  });
}

} // namespace apricotlb
