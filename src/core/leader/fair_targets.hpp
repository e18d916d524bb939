/// Max-min fair division of slots.
#ifndef APRICOTLB_CORE_LEADER_FAIR_TARGETS_HPP
#define APRICOTLB_CORE_LEADER_FAIR_TARGETS_HPP

#include <apricotlb/units.hpp>

#include <vector>

namespace apricotlb
{

/// What one entry asks of a service.
struct slot_demand
{
    slot_count wanted;
    bool busy{false}; ///< has requests now; served before idle entries
};

/// Divides the slots of a service: one for each entry first, busy entries
/// before idle ones, then max-min fair up to what each wants. Slots that
/// nobody wants are left over.
[[nodiscard]] auto fair_targets(std::vector<slot_demand> const& demand,
                                slot_count total) -> std::vector<slot_count>;

} // namespace apricotlb

#endif
