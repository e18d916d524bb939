/// Leases the slots and connections of backend servers to entries.
#ifndef APRICOTLB_CORE_LEADER_SHARE_LEDGER_HPP
#define APRICOTLB_CORE_LEADER_SHARE_LEDGER_HPP

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

/// Grants shares that never exceed the slots of a backend server, whatever
/// messages are lost, repeated or reordered, and whoever leads.
///
/// What an entry may hold is counted as the larger of what it reported and
/// the largest grant that it may still apply. A grant that was lowered stops
/// counting when the entry has applied that answer or a later one, or when
/// the entry's lease with drift has ended.
///
/// The entry keeps these rules. Shares end config::entry_lease after it sent
/// the heartbeat that was answered. It applies an answer only if its leader
/// and number are newer than those of the last one. Unasked answers carry no
/// shares. It reports in `held` the shares under a live lease and, of those
/// taken back, what its requests still use. The answer to a heartbeat that
/// did not name this leader in `applied_of` changes neither shares nor their
/// lease: the heartbeat may have been sent before the election, and the former
/// leader may have given the slots away since. A heartbeat that names the
/// leader was sent after the election, so its answer renews.
///
/// For one lease with drift after the election an answer grants what was
/// reported as held and nothing else.
class share_ledger
{
public:
    share_ledger(term leader_term, time_point elected);

    /// Adds a backend server or updates what it announced.
    auto set_backend(backend_info const& it) -> void;

    /// Grants nothing more on a backend server; what is held still counts.
    auto remove_backend(backend_id const& id) -> void;

    /// Shares for the answer, which must be sent at `now` or earlier; none
    /// if the heartbeat is a duplicate, out of order or of a former run.
    [[nodiscard]] auto on_heartbeat(entry_heartbeat const& it, time_point now)
        -> std::optional<std::vector<share>>;

    /// Drops what entries held whose lease with drift has ended.
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
        slots counted{0};             // over all entries
        std::uint32_t listed{0};      // entries that list it
    };

    struct holding
    {
        slots held{0};
        slots granted{0}; // in the last answer
        slots ceiling{0}; // largest grant that may still be applied
        std::int32_t connections{0};
        sequence lowered; // the answer that last lowered the grant
        std::uint64_t seen{0};
        bool listed{false};

        [[nodiscard]] auto counted() const -> slots
        {
            return held > ceiling ? held : ceiling;
        }
    };

    struct entry_row
    {
        node_id id;
        incarnation run;
        sequence number;
        index zone{0};
        time_point ends;
        time_point decayed; // when the peaks of demand last decayed
        bool live{false};
        bool draining{false};
        std::vector<holding> holdings; // by backend
        std::vector<index> listed;     // backends with something to count
        std::vector<index> demanded;   // services with a peak above 0
    };

    struct entry_demand
    {
        slots demand{0};
        slots peak{0};
        slots granted{0};
        slots counted{0};
        slots target{0};
        slots unmet{0};
    };

    struct service_row
    {
        std::vector<index> backends;
        std::vector<entry_demand> entries;
        slots capacity{0};
        slots counted{0};
        slots granted{0};
        slots unmet{0};
        bool changed{true}; // targets are out of date
    };

    auto backend_index(backend_id const& id) -> index;
    auto recycle(index backend) -> void;
    auto join_service(index backend, service_key const& key) -> void;
    auto leave_service(index backend) -> void;
    auto move_sums(index backend, index service, slots sign) -> void;
    auto zone_index(zone_id const& zone) -> index;
    auto reported_index(index entry, backend_id const& id, std::size_t& at)
        -> index;
    auto add_counted(index entry, index backend, slots n) -> void;
    auto entry_index(entry_heartbeat const& it, time_point now)
        -> std::optional<index>;
    auto drop(index entry) -> void;
    auto holding_of(index entry, index backend) -> holding&;
    auto demand_of(index entry, index service) -> entry_demand&;
    auto take_held(index entry, entry_heartbeat const& it) -> void;
    auto take_demand(index entry, entry_heartbeat const& it, time_point now)
        -> void;
    [[nodiscard]] auto room(index entry, index backend) const -> slots;
    [[nodiscard]] auto granted_on(index entry, index backend) const -> slots;
    auto grant(index entry, index backend, slots n) -> void;
    auto renew_held(index entry) -> void;
    auto cut_excess(index entry) -> void;
    auto follow_demand(index entry) -> void;
    auto set_targets(service_row& it) -> void;
    auto grow(index entry, service_row const& it, slots n) -> slots;
    auto shrink(index entry, service_row const& it, slots n) -> void;
    auto answer(index entry) -> std::vector<share>;

    term term_;
    time_point settled_; // shares of a former leader have ended by then
    std::uint64_t round_{0};
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
