/// Switches that disable single policies of the scheduler.
#ifndef APRICOTLB_CORE_SCHEDULING_POLICY_HPP
#define APRICOTLB_CORE_SCHEDULING_POLICY_HPP

namespace apricotlb
{

/// Used by deployments and by benchmarks that compare policies. The invariants
/// of the scheduler hold with every combination.
struct scheduler_policy
{
    bool guard{true}; ///< throttle or move batch tasks that slow services down
    bool throttle{true};      ///< throttle before a task is moved
    bool interference{true};  ///< use learned interference for placement
    bool short_first{true};   ///< offer short work before long work
    bool learned_sizes{true}; ///< commit measured instead of declared resources
    bool demotion{
        true}; ///< requeue stragglers behind other work when capacity is short
};

} // namespace apricotlb

#endif
