/// Chooses a backend server for a request.
#ifndef APRICOTLB_CORE_ENTRY_ROUTER_HPP
#define APRICOTLB_CORE_ENTRY_ROUTER_HPP

#include "core/entry/backend_health.hpp"
#include "core/entry/entry_view.hpp"
#include "core/random.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// What a request asks of the router.
struct route_query
{
    customer_id customer;
    service_name service;
    permille vm_share{1000};       ///< of the contract
    duration urgent_latency{};     ///< of the contract
    bool is_long{false};           ///< must leave a worker's last free slot
    std::vector<backend_id> avoid; ///< tried before
};

/// Requests that run and that could run on a service's servers.
struct service_capacity
{
    slot_count usable;
    slot_count free;
    std::size_t servers{0};
};

/// Tracks requests per backend server and picks one with a free slot.
class router
{
public:
    /// Takes a slot on the best server; no_backend when none is free and
    /// unknown_service when none is announced.
    [[nodiscard]] auto choose_backend(entry_view const& view,
                                      route_query const& query, time_point now,
                                      random_bits bits) -> result<backend_id>;

    [[nodiscard]] auto capacity(entry_view const& view,
                                route_query const& query, time_point now)
        -> service_capacity;

    /// Records the time to the first byte of an answer.
    auto record_latency(backend_id const& id, duration latency, time_point now)
        -> void;
    /// Gives the slot back. Ejects a server that fails while fewer than half
    /// of its service's servers are ejected.
    auto call_ended(entry_view const& view, backend_id const& id,
                    attempt_result status, time_point now) -> void;

    [[nodiscard]] auto running(backend_id const& id) const -> slot_count;
    [[nodiscard]] auto is_ejected(backend_id const& id, time_point now) const
        -> bool;

    /// Slots and connections in use, for the heartbeat.
    [[nodiscard]] auto in_use() const -> std::vector<share>;

    /// Forgets servers that are gone and run nothing.
    auto remove_departed(entry_view const& view) -> void;

private:
    struct server
    {
        backend_health health;
        slot_count running;
    };

    struct candidate
    {
        backend_info const* info;
        server* state;
        slot_count free;
        bool is_local;
    };

    auto server_of(backend_id const& id, time_point now) -> server&;
    auto add_new_servers(std::vector<backend_info const*> const& servers,
                         time_point now) -> void;
    auto usable_slots(entry_view const& view, backend_info const& it,
                      route_query const& query, time_point now) -> slot_count;
    [[nodiscard]] static auto cost(candidate const& it, time_point now)
        -> std::int64_t;
    [[nodiscard]] static auto best_of(std::vector<candidate> const& from,
                                      bool is_local, time_point now,
                                      random_bits bits) -> candidate const*;

    std::unordered_map<backend_id, server> servers_;
};

} // namespace apricotlb

#endif
