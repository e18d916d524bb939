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
    // Slow start spares a server that joins others. When none is known yet,
    // the entry itself is new and the servers are not.
    auto const known = std::ranges::any_of(
        servers, [this](auto const* it) { return servers_.contains(it->id); });
    auto const since = known ? now : now - config::slow_start;
    for (auto const* const it : servers)
    {
        servers_.try_emplace(it->id, server{backend_health{since}, {}});
    }
}

auto router::usable_slots(entry_view const& view, backend_info const& it,
                          route_query const& query, time_point now)
    -> slot_count
{
    // The contract's part of the worker's slots, at least one.
    auto const part =
        std::max(1, it.slots.value() * query.vm_share.value() / 1000);
    auto const granted =
        std::min(view.share_of(it.id, now).slots, slot_count{part});
    return server_of(it.id, now).health.usable(granted, now);
}

auto router::cost(candidate const& it, time_point now) -> std::int64_t
{
    // An unmeasured server costs next to nothing, so it is tried soon; slow
    // start bounds how much it gets.
    constexpr std::int64_t floor_us = 100;
    auto const latency = it.state->health.latency(now).count() + floor_us;
    return latency * (it.state->running.value() + 1);
}

auto router::best_of(std::vector<candidate> const& from, bool is_local,
                     time_point now, random_bits bits) -> candidate const*
{
    candidate const* best{nullptr};
    std::int64_t least{0};
    auto const n = from.size();
    for (std::size_t at = 0; at < n; ++at)
    {
        // The random start keeps entries from all choosing the same server
        // among equals.
        auto const& it = from[(at + bits.value() % n) % n];
        if (it.is_local != is_local)
        {
            continue;
        }
        auto const c = cost(it, now);
        if (best == nullptr || c < least)
        {
            best = &it;
            least = c;
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
    std::vector<candidate> open;
    auto const collect = [&](bool again)
    {
        for (auto const* const info : servers)
        {
            auto& it = server_of(info->id, now);
            auto const tried =
                std::ranges::find(query.avoid, info->id) != query.avoid.end();
            if (it.health.is_ejected(now) || tried != again)
            {
                continue;
            }
            auto const usable = usable_slots(view, *info, query, now);
            auto const free = usable - it.running;
            // A long request leaves one slot for short ones, except where
            // there is only one.
            auto const need =
                slot_count{query.is_long && usable > slot_count{1} ? 2 : 1};
            if (free >= need)
            {
                open.push_back({info, &it, free, info->zone == view.zone()});
            }
        }
    };
    collect(false);
    if (open.empty() && !query.avoid.empty())
    {
        // A service with a single server is tried again there.
        collect(true);
    }
    if (open.empty())
    {
        return fail(error_kind::no_backend, "no free slot for " +
                                                query.service.value() +
                                                " on this entry");
    }
    auto const* best = best_of(open, true, now, bits);
    auto const* const far = best_of(open, false, now, bits);
    if (best == nullptr ||
        (far != nullptr &&
         best->state->health.latency(now) > query.urgent_latency &&
         cost(*far, now) < cost(*best, now)))
    {
        best = far;
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
        auto const& it = server_of(info->id, now);
        if (it.health.is_ejected(now))
        {
            continue;
        }
        auto const usable = usable_slots(view, *info, query, now);
        out.usable += usable;
        out.free += std::max(usable - it.running, slot_count{0});
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
    auto& it = server_of(id, now);
    it.running = std::max(it.running - slot_count{1}, slot_count{0});
    if (!it.health.call_ended(status) || it.health.is_ejected(now))
    {
        return;
    }
    auto const* const info = view.backend(id);
    if (info == nullptr)
    {
        return;
    }
    auto const all = view.backends_of(info->customer, info->service);
    auto const ejected = static_cast<std::size_t>(std::ranges::count_if(
        all, [&](auto const* b) { return is_ejected(b->id, now); }));
    if (2 * (ejected + 1) <= all.size())
    {
        it.health.eject(now);
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
    for (auto const& [id, it] : servers_)
    {
        if (it.running > slot_count{0})
        {
            out.push_back(
                {id, it.running, connection_count{it.running.value()}});
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
