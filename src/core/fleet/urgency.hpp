/// Order of waiting work by what its callers still gain from it.
#ifndef APRICOTLB_CORE_FLEET_URGENCY_HPP
#define APRICOTLB_CORE_FLEET_URGENCY_HPP

#include "core/state/workflow_table.hpp"

#include <apricotlb/time.hpp>

#include <compare>
#include <cstdint>

namespace apricotlb
{

/// What a caller gains when a workflow ends, from its contract and its age.
enum class worth_left : std::uint8_t
{
    full,    ///< it can still end within its allowed time
    reduced, ///< it will be late, and is still wanted
    none,    ///< later than config::late_limit times its allowed time
};

/// Lower is placed first.
struct urgency
{
    worth_left worth{worth_left::full};
    time_point latest_start{}; ///< of the rest of its longest chain

    auto operator<=>(urgency const&) const = default;
};

/// Longest chain of declared run times over steps that have not finished.
[[nodiscard]] auto remaining_critical_path(workflow_record const& it,
                                           occurrence_index occurrence)
    -> milliseconds;

/// Urgency of the waiting tasks of one occurrence. `since` is when it was
/// accepted or became due.
[[nodiscard]] auto urgency_of(workflow_record const& it,
                              occurrence_index occurrence, time_point since,
                              time_point now) -> urgency;

} // namespace apricotlb

#endif
