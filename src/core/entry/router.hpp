/// Chooses the backend server for each attempt of a request.
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

/// Properties of a request that decide where it may run.
struct route_query
{
    customer_id customer;
    service_name service;
    permille vm_share{1000};   ///< of the contract
    duration urgent_latency{}; ///< of the contract
    bool is_long{false};       ///< may not take the last free slot of a server
    std::vector<backend_id> avoid; ///< servers tried before
};

/// Capacity of all backend servers of a service that this entry may use.
struct service_capacity
{
    slot_count usable; ///< free or in use
    slot_count free;
    std::size_t servers{0};
};

/// Counts the running requests of each backend server and assigns requests to
/// servers with a free slot.
class router
{
public:
    /// Takes a slot on the server with the lowest cost. Fails with no_backend
    /// if no slot is free and with unknown_service if no server is announced.
    [[nodiscard]] auto choose_backend(entry_view const& view,
                                      route_query const& query, time_point now,
                                      random_bits bits) -> result<backend_id>;

    [[nodiscard]] auto capacity(entry_view const& view,
                                route_query const& query, time_point now)
        -> service_capacity;

    /// Records the time from sending a request to the first byte of its answer.
    auto record_latency(backend_id const& id, duration latency, time_point now)
        -> void;
    /// Frees the slot of a call. Ejects a server that fails repeatedly, unless
    /// more than half of the service's servers would then be ejected.
    auto call_ended(entry_view const& view, backend_id const& id,
                    attempt_result status, time_point now) -> void;

    [[nodiscard]] auto running(backend_id const& id) const -> slot_count;
    [[nodiscard]] auto is_ejected(backend_id const& id, time_point now) const
        -> bool;

    /// Slots and connections in use per backend server, for the heartbeat.
    [[nodiscard]] auto in_use() const -> std::vector<share>;

    /// Removes servers that have left the view and run no request.
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
        bool is_local; ///< in the zone of this entry
    };

    auto server_of(backend_id const& id, time_point now) -> server&;
    auto add_new_servers(std::vector<backend_info const*> const& servers,
                         time_point now) -> void;
    auto usable_slots(entry_view const& view, backend_info const& it,
                      route_query const& query, time_point now) -> slot_count;
    [[nodiscard]] static auto cost(candidate const& it, time_point now)
        -> std::int64_t;
    [[nodiscard]] static auto best_of(std::vector<candidate> const& candidates,
                                      bool is_local, time_point now,
                                      random_bits bits) -> candidate const*;

    std::unordered_map<backend_id, server> servers_;
};

} // namespace apricotlb

#endif
