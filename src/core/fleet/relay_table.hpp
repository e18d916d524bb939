/// Which process passes the leader's orders on to which worker.
#ifndef APRICOTLB_CORE_FLEET_RELAY_TABLE_HPP
#define APRICOTLB_CORE_FLEET_RELAY_TABLE_HPP

#include "core/fleet/relay_clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace apricotlb
{

/// Assigns each worker to a live relay, in its own zone if there is one. A
/// worker keeps its relay while that is live, so that its connections last.
class relay_table
{
public:
    /// Records that a process which passes orders on is in contact, and where
    /// it takes the announcements of workers, if it does.
    auto on_contact(node_id const& relay, zone_id const& zone, time_point now,
                    std::optional<intake_address> intake = std::nullopt)
        -> void;
    /// Adds a reading of a relay's clock.
    auto on_clock(node_id const& relay, clock_reading const& it, time_point now)
        -> void;
    /// Until when the relay may pass on an order that is given at `given`; none
    /// without a reading of its clock.
    [[nodiscard]] auto deadline_for(node_id const& relay,
                                    time_point given) const
        -> std::optional<clock_reading>;
    /// Takes a relay out of use, until it is in contact again.
    auto remove(node_id const& relay) -> void;
    /// Takes a relay out of use for config::relay_suspension: it answers pings,
    /// but did not return the answer to an order in time.
    auto suspend(node_id const& relay, time_point now) -> void;
    /// Gives a worker that did not answer through a relay another one, if there
    /// is one: the network between the two may be cut.
    auto on_no_answer(worker_id const& worker, zone_id const& zone,
                      node_id const& relay, time_point now) -> void;
    /// The relay for a worker; none if no relay is live.
    [[nodiscard]] auto relay_for(worker_id const& worker, zone_id const& zone,
                                 time_point now) -> std::optional<node_id>;
    /// Where a worker should announce itself: at a live process of its zone,
    /// the same one as long as the processes of the zone are the same. None if
    /// no such process takes announcements.
    [[nodiscard]] auto intake_for(worker_id const& worker, zone_id const& zone,
                                  time_point now) const
        -> std::optional<intake_address>;
    /// True for a process that takes announcements itself.
    [[nodiscard]] auto is_intake(node_id const& relay) const -> bool;
    /// True for a relay without contact for config::relay_timeout. One that
    /// is not known has left in good order.
    [[nodiscard]] auto is_silent(node_id const& relay, time_point now) const
        -> bool;
    /// Forgets all relays and assignments.
    auto clear() -> void;

    [[nodiscard]] auto worker_count() const -> std::size_t
    {
        return assigned_.size();
    }
    [[nodiscard]] auto relay_count() const -> std::size_t
    {
        return relays_.size();
    }

private:
    struct relay_state
    {
        zone_id zone;
        std::optional<intake_address> intake;
        time_point last_contact{};
        time_point suspended_until{};
        std::set<worker_id> workers;

        [[nodiscard]] auto is_in_contact(time_point now) const -> bool
        {
            return now - last_contact < config::relay_timeout;
        }
        [[nodiscard]] auto is_live(time_point now) const -> bool
        {
            return now >= suspended_until && is_in_contact(now);
        }
    };

    struct assignment
    {
        node_id relay;
        time_point last_used{};
    };

    auto release_workers(relay_state& from) -> void;
    /// Forgets workers and relays that have not been seen for
    /// config::worker_removal_delay.
    auto prune(time_point now) -> void;
    auto assign(worker_id const& worker, node_id const& relay, time_point now)
        -> void;
    [[nodiscard]] auto
    choose(zone_id const& zone, time_point now,
           std::optional<node_id> const& except = std::nullopt) const
        -> std::optional<node_id>;

    std::map<node_id, relay_state> relays_;
    /// Of these, and of former ones.
    std::unordered_map<node_id, relay_clock> clocks_;
    std::unordered_map<worker_id, assignment> assigned_;
    time_point pruned_at_{};
};

} // namespace apricotlb

#endif
