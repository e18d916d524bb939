/// The leader's in-memory table of leases of running attempts.
#ifndef APRICOTLB_CORE_SCHEDULING_TASK_LEASES_HPP
#define APRICOTLB_CORE_SCHEDULING_TASK_LEASES_HPP

#include "core/scheduling/refs.hpp"

#include <apricotlb/time.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// A worker counts a lease from the time at which it sent the report that the
/// leader answered. The leader counts from its answer and adds the clock drift,
/// so that a lease ends on the worker before it ends here. A new leader grants
/// every placed attempt a lease that begins with its election.
class task_leases
{
public:
    /// Grants or renews the lease of a task's attempt; a renewal never shortens
    /// it.
    auto grant(task_ref task, time_point now) -> void;
    auto end(task_ref task) -> void;

    /// Whether the worker may still be running the attempt.
    [[nodiscard]] auto is_held(task_ref task, time_point now) const -> bool;

    /// Returns the tasks whose lease has expired. A task that is not removed by
    /// end() is returned again after command_retry_interval.
    auto take_expired(time_point now) -> std::vector<task_ref>;

    [[nodiscard]] auto size() const -> std::size_t { return leases_.size(); }

private:
    struct lease_entry
    {
        time_point until;
        time_point check_due; ///< due time of the group that contains it
    };
    struct check_group
    {
        time_point due;
        std::vector<std::uint64_t> tasks;
    };

    auto schedule_check(std::uint64_t key, lease_entry& it,
                        time_point not_before) -> void;

    std::unordered_map<std::uint64_t, lease_entry> leases_;
    std::deque<check_group> checks_; ///< sorted by due time
};

} // namespace apricotlb

#endif
