/// Leases the slots and connections of backend servers to entries.
#ifndef APRICOTLB_CORE_LEADER_SHARE_LEDGER_HPP
#define APRICOTLB_CORE_LEADER_SHARE_LEDGER_HPP

#include "core/leader/replaced_lives.hpp"
#include "core/messages.hpp"

#include <apricotlb/job.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Grants shares whose sum never exceeds the slots of a backend server, even if
/// messages are lost, repeated or reordered or the leader changes.
///
/// The slots counted for an entry are the larger of what it reported as held
/// and the largest grant that it may still apply. After a grant was lowered,
/// the higher one counts until the entry has applied that answer or a later
/// one, or until its lease with clock drift has ended.
///
/// Entries follow these rules:
/// - Shares end config::entry_lease after the entry sent the heartbeat that was
///   answered.
/// - An answer is applied only if its leader and number are newer than those of
///   the last one. Answers that were not requested carry no shares.
/// - `held` reports the shares under a live lease and, of revoked shares, the
///   part that requests still use.
/// - The answer to a heartbeat that did not name this leader in `applied_term`
///   changes neither shares nor their lease: the heartbeat may have been sent
///   before the election, and the former leader may have granted the slots to
///   others since. A heartbeat that names the leader was sent after the
///   election, so its answer renews the lease.
///
/// For one lease with clock drift after the election an answer grants only what
/// the entry reported as held.
class share_ledger
{
public:
    share_ledger(term leader_term, time_point elected);

    /// Adds a backend server or updates its capacity, zone and service.
    auto set_backend(backend_info const& info) -> void;

    /// Stops granting slots on a backend server; held slots still count.
    auto remove_backend(backend_id const& id) -> void;

    /// Shares for the answer, which must be sent at `now` or earlier; none if
    /// the heartbeat is a duplicate, out of order or of an incarnation that
    /// another one has replaced.
    [[nodiscard]] auto on_heartbeat(entry_heartbeat const& heartbeat,
                                    time_point now)
        -> std::optional<std::vector<share>>;

    /// Removes the holdings of entries whose lease with clock drift has ended.
    auto expire(time_point now) -> void;

    /// Slots of a backend server that entries may hold.
    [[nodiscard]] auto committed(backend_id const& id) const -> slot_count;

    /// Slots of a service in the last answer to an entry.
    [[nodiscard]] auto granted(node_id const& entry,
                               customer_id const& customer,
                               service_name const& service) const -> slot_count;

private:
    using index = std::uint32_t;
    using slots = std::int32_t;
    using service_key = std::pair<customer_id, service_name>;

    struct backend_row
    {
        backend_id id;
        index zone{0};
        slots capacity{0}; // 0 unless present
        std::int32_t connections{0};
        bool present{false};
        std::optional<index> service; // none unless present
        slots counted{0};        // sum of holding::counted() of all entries
        std::uint32_t listed{0}; // entries with a holding
    };

    // Slots of one backend server at one entry.
    struct holding
    {
        slots held{0};    // as last reported
        slots granted{0}; // in the last answer
        slots ceiling{0}; // largest grant that may still be applied
        std::int32_t connections{0};
        sequence lowered_by;         // the answer that last lowered the grant
        std::uint64_t last_round{0}; // value of round_ when last reported
        bool listed{false};          // in entry_row::listed

        [[nodiscard]] auto counted() const -> slots
        {
            return held > ceiling ? held : ceiling;
        }
    };

    struct entry_row
    {
        node_id id; ///< empty after a replacement by a lower incarnation
        incarnation run;
        sequence number;
        index zone{0};
        time_point expires_at;       // end of the lease with clock drift
        time_point peaks_decayed_at; // when the peaks of demand last decayed
        bool live{false};
        bool draining{false};
        replaced_lives replaced;
        std::vector<holding> holdings; // by backend
        std::vector<index> listed;     // backends with a holding
        std::vector<index> demanded;   // services with a peak above 0
    };

    // Demand and slots of one entry for one service.
    struct entry_demand
    {
        slots demand{0}; // running and queued requests, as last reported
        slots peak{0};   // of the demand, with decay
        slots granted{0};
        slots counted{0};
        slots target{0};
        slots unmet{0}; // slots that other entries should return for this one
    };

    // A service with sums over its backend servers and entries.
    struct service_row
    {
        std::vector<index> backends;
        std::vector<entry_demand> entries;
        slots capacity{0};
        slots counted{0};
        slots granted{0};
        slots unmet{0};
        bool targets_outdated{true};
    };

    auto backend_index(backend_id const& id) -> index;
    auto release_if_unused(index backend) -> void;
    auto join_service(index backend, service_key const& key) -> void;
    auto leave_service(index backend) -> void;
    // Adds the sums of a backend server to a service (sign 1) or subtracts them
    // (sign -1).
    auto move_sums(index backend, index service, slots sign) -> void;
    auto zone_index(zone_id const& zone) -> index;
    // Index of a reported backend server; `position` is where the search in
    // entry_row::listed starts, and is moved on.
    auto reported_index(index entry, backend_id const& id,
                        std::size_t& position) -> index;
    auto add_counted(index entry, index backend, slots delta) -> void;
    auto entry_index(entry_heartbeat const& heartbeat, time_point now)
        -> std::optional<index>;
    auto drop_entry(index entry) -> void;
    auto holding_of(index entry, index backend) -> holding&;
    auto demand_of(index entry, index service) -> entry_demand&;
    auto update_held(index entry, entry_heartbeat const& heartbeat) -> void;
    auto update_demand(index entry, entry_heartbeat const& heartbeat,
                       time_point now) -> void;
    // Slots of a backend server that are not counted for other entries.
    [[nodiscard]] auto available_slots(index entry, index backend) const
        -> slots;
    [[nodiscard]] auto granted_on(index entry, index backend) const -> slots;
    auto grant(index entry, index backend, slots amount) -> void;
    auto renew_held_shares(index entry) -> void;
    auto limit_grants(index entry) -> void;
    auto adjust_to_demand(index entry) -> void;
    auto set_targets(service_row& service) -> void;
    // Grants up to `remaining` more slots; returns the number granted.
    auto add_grants(index entry, service_row const& service, slots remaining)
        -> slots;
    auto remove_grants(index entry, service_row const& service, slots remaining)
        -> void;
    auto make_shares(index entry) -> std::vector<share>;

    term term_;
    // From then on all leases granted by a former leader have ended.
    time_point former_leases_end_;
    std::uint64_t round_{0}; // number of the current heartbeat
    std::map<zone_id, index> zones_;
    std::vector<backend_row> backends_;
    std::vector<index> unused_backends_;
    std::unordered_map<backend_id, index> backend_by_id_;
    std::vector<entry_row> entries_;
    std::vector<service_row> services_;
    std::map<service_key, index> service_by_name_;
};

} // namespace apricotlb

#endif
