/// Switches of the scheduler's policies, for deployments and measurements.
#ifndef APRICOTLB_CORE_SCHEDULING_POLICY_HPP
#define APRICOTLB_CORE_SCHEDULING_POLICY_HPP

namespace apricotlb
{

/// Each switch turns one idea off without touching the invariants.
struct scheduler_policy
{
    bool guard{true};         ///< protect urgent work on each worker at all
    bool throttle{true};      ///< throttle before moving
    bool interference{true};  ///< place by learned interference
    bool short_first{true};   ///< short work before long
    bool learned_sizes{true}; ///< commit measured instead of declared sizes
    bool demotion{true};      ///< move stragglers behind other work
};

} // namespace apricotlb

#endif
