/// Order of waiting work by the value that its completion still has for its
/// caller.
#ifndef APRICOTLB_CORE_FLEET_URGENCY_HPP
#define APRICOTLB_CORE_FLEET_URGENCY_HPP

#include "core/state/workflow_table.hpp"

#include <apricotlb/time.hpp>

#include <compare>
#include <cstdint>

namespace apricotlb
{

/// Value of a workflow's completion, by its contract and its age.
enum class worth_left : std::uint8_t
{
    full,    ///< can still end within the allowed time
    reduced, ///< will be late, and still has some value
    none, ///< will end after config::max_lateness_factor times the allowed time
};

/// Sort key of waiting tasks; lower values are placed first.
struct urgency
{
    worth_left worth{worth_left::full};
    /// Latest start of the remaining critical path that still meets the allowed
    /// time. Late workflows have the time since which they wait here instead,
    /// so that they are placed oldest first.
    time_point latest_start{};

    auto operator<=>(urgency const&) const = default;
};

/// Sum of the declared run times along the critical path of the steps that have
/// not finished.
[[nodiscard]] auto remaining_critical_path(workflow_record const& record,
                                           occurrence_index occurrence)
    -> milliseconds;

/// Urgency of the waiting tasks of one occurrence. `since` is when the leader
/// first had one of them ready: when the occurrence was accepted or became due,
/// or at the earliest when the leader was elected.
[[nodiscard]] auto urgency_of(workflow_record const& record,
                              occurrence_index occurrence, time_point since,
                              time_point now) -> urgency;

} // namespace apricotlb

#endif
