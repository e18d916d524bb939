/// Max-min fair division of slots.
#ifndef APRICOTLB_CORE_LEADER_FAIR_TARGETS_HPP
#define APRICOTLB_CORE_LEADER_FAIR_TARGETS_HPP

#include <apricotlb/units.hpp>

#include <vector>

namespace apricotlb
{

/// Demand of one entry for the slots of a service.
struct slot_demand
{
    slot_count wanted;
    bool busy{false}; ///< has requests now; gets slots before idle entries
};

/// Divides the slots of a service: first one slot for each entry that wants
/// any, busy entries before idle ones, then max-min fair up to the wanted
/// number. Slots beyond the total demand stay unassigned.
[[nodiscard]] auto fair_targets(std::vector<slot_demand> const& demand,
                                slot_count total) -> std::vector<slot_count>;

} // namespace apricotlb

#endif
