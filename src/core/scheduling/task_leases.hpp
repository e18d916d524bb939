/// Leases of running attempts, in the memory of the leader.
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

/// A worker counts a lease from the moment it sent the report that was
/// answered; the leader counts from the answer, plus drift, so that its lease
/// always ends later. A new leader grants every placed attempt a lease from
/// its election.
class task_leases
{
public:
    /// Grants or renews the lease of a task's attempt; it never gets shorter.
    auto grant(task_ref task, time_point now) -> void;
    auto end(task_ref task) -> void;

    /// Whether the worker may still run the attempt.
    [[nodiscard]] auto is_held(task_ref task, time_point now) const -> bool;

    /// Tasks whose lease has passed since the last call. A task whose end has
    /// not been recorded is returned again later.
    auto take_expired(time_point now) -> std::vector<task_ref>;

    [[nodiscard]] auto size() const -> std::size_t { return leases_.size(); }

private:
    struct lease_entry
    {
        time_point until;
        time_point check_due; ///< the group that checks it
    };
    struct check_group
    {
        time_point due;
        std::vector<std::uint64_t> tasks;
    };

    auto schedule_check(std::uint64_t key, lease_entry& it,
                        time_point not_before) -> void;

    std::unordered_map<std::uint64_t, lease_entry> leases_;
    std::deque<check_group> checks_; ///< in order of time
};

} // namespace apricotlb

#endif
