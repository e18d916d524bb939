/// Work that waits for a run: restarts of permanent tasks, steps of which
/// nothing runs, and starts and stops without an answer.
#ifndef APRICOTLB_CORE_FLEET_RUN_WAITS_HPP
#define APRICOTLB_CORE_FLEET_RUN_WAITS_HPP

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// The first reason, in this order, for which a worker cannot take a task.
enum class placement_obstacle : std::uint8_t
{
    none,
    unusable, ///< silent, draining, paused after a rejection or without lease
    cores,
    memory,
    accels,
    label,
    worker_limit, ///< step_spec::max_per_worker is reached
    /// A permanent task: the lease of the worker may last longer than one that
    /// is granted now.
    lease,
    suspect, ///< as the task, another one there may crash its worker
    /// A scavenging task: latency of the serving tasks, or processor use.
    latency,
};

/// Numbers of workers by placement_obstacle.
class obstacle_counts
{
public:
    auto add(placement_obstacle it, std::int64_t n = 1) -> void
    {
        counts_[static_cast<std::size_t>(it)] += n;
    }
    [[nodiscard]] auto operator[](placement_obstacle it) const -> std::int64_t
    {
        return counts_[static_cast<std::size_t>(it)];
    }

private:
    std::array<std::int64_t,
               static_cast<std::size_t>(placement_obstacle::latency) + 1>
        counts_{};
};

/// What the last pass of the planner did with a waiting task.
enum class pass_result : std::uint8_t
{
    none,      ///< there was no pass yet
    paused,    ///< the pass placed nothing, as too many starts are unconfirmed
    unreached, ///< the pass ended before the task
    no_worker, ///< a worker was sought and not found
    placed,    ///< a start is proposed, or ordered and not confirmed
};

[[nodiscard]] auto name_of(pass_result it) -> std::string_view;

/// A wait for the next run of a task.
struct restart_wait
{
    time_point since{}; ///< when the end of the last run was recorded
    pass_result last_pass{pass_result::none};
    std::int64_t passes{0};   ///< of the planner, since then
    std::int64_t searches{0}; ///< for a worker, since then
};

/// Follows the waits from the recorded end of a run to the confirmed start of
/// the next one.
class restart_waits
{
public:
    /// Keeps the time of a task that waits already: a run that did not start
    /// ends no wait.
    auto add(workflow_task const& task, time_point now) -> void;
    auto remove(workflow_task const& task) -> void { waits_.erase(task); }
    /// Sets the result of a new pass for all tasks that are not placed.
    auto begin_pass(pass_result initial) -> void;
    /// Has no effect for a task that does not wait.
    auto record(workflow_task const& task, pass_result result) -> void;
    /// Removes the waits for which is_over(task) holds.
    template <class Predicate>
    auto prune(Predicate is_over) -> void
    {
        std::erase_if(waits_, [&is_over](auto const& each)
                      { return is_over(each.first); });
    }

    [[nodiscard]] auto all() const
        -> std::map<workflow_task, restart_wait> const&
    {
        return waits_;
    }

private:
    std::map<workflow_task, restart_wait> waits_;
};

/// A long wait, with the workers of the task's pool by the reason for which
/// they cannot take it.
struct wait_report
{
    workflow_task task;
    restart_wait wait;
    duration waited{};
    millicores required_cores;
    millicores largest_free_cores; ///< on a worker that may get new runs
    obstacle_counts workers;
};

/// What holds back a step of which nothing runs.
enum class stall_cause : std::uint8_t
{
    proposed,    ///< the start of its first task is proposed
    paused,      ///< too many starts are unconfirmed
    gang_active, ///< a member of the gang still counts as active
    no_worker,   ///< no worker takes its first task now
    /// A worker would take it. An earlier search has found none, and no event
    /// since has ended that finding.
    failed_search,
    unreached, ///< a worker would take it, and no failed search is kept
};

[[nodiscard]] auto name_of(stall_cause it) -> std::string_view;

/// True if the planner holds back what a worker would take.
[[nodiscard]] constexpr auto is_contradiction(stall_cause it) -> bool
{
    return it == stall_cause::failed_search || it == stall_cause::unreached;
}

/// A step with ready tasks of which nothing runs, with the workers of its pool
/// by the reason for which they cannot take its first waiting task.
struct stalled_step
{
    workflow_task task; ///< the first one that waits
    task_count waiting;
    duration waited{}; ///< since a report has first found the step stalled
    stall_cause cause{stall_cause::unreached};
    bool scavenges{false};
    millicores required_cores;
    millicores largest_free_cores; ///< on a worker that may get new runs
    obstacle_counts workers;
};

/// A run whose start is ordered and not confirmed. It keeps its task from other
/// workers until its start cannot be carried out any more.
struct unanswered_start
{
    task_run run;
    worker_instance worker;
    duration waited{};           ///< since the first order of this leader
    std::int64_t orders{0};      ///< of the start, sent by this leader
    bool order_in_flight{false}; ///< one of them waits for its answer
    /// For how long the worker has answered no order and no poll; none if it
    /// answers.
    std::optional<duration> worker_unanswered;
    duration contact_age{}; ///< since the last contact of the worker
};

/// A run that has to stop and whose stop is not confirmed. It may go on.
struct unanswered_stop
{
    task_run run;
    worker_instance worker;
    duration waited{};           ///< since it was decided to stop it
    std::int64_t orders{0};      ///< of the stop, since then
    bool order_in_flight{false}; ///< one of them waits for its answer
    /// As in unanswered_start.
    std::optional<duration> worker_unanswered;
    duration contact_age{}; ///< since the last contact of the worker
    bool is_recorded{true}; ///< the log has the run
};

/// A worker with runs of an earlier leader that this leader has got neither an
/// announcement nor a list of. Its tasks wait until its lease is over.
struct uncontacted_worker
{
    worker_instance worker;
    std::int64_t runs{0};
    bool is_place_known{false}; ///< it is asked for its lists
    duration waited{};          ///< since this leader was elected
};

/// What has waited for longest, as of one report.
struct waiting_work
{
    std::vector<wait_report> restarts;
    std::vector<stalled_step> steps;
    std::vector<unanswered_start> unanswered;
    std::vector<unanswered_stop> unstopped;
    std::vector<uncontacted_worker>
        uncontacted; ///< those with the most runs first
};

} // namespace apricotlb

#endif
