/// Places runs of workflow tasks on workers that take pushed orders, and
/// follows each run to its recorded end.
///
/// A run is recorded before its start is sent and holds its room until its end
/// is recorded. The worker's lists are the only proof of what runs there; an
/// order without an answer may still be carried out. run_scheduler.cpp holds
/// the log's events and time, run_reports.cpp what workers say, and
/// run_plan.cpp the choice of tasks and workers.
#ifndef APRICOTLB_CORE_FLEET_RUN_SCHEDULER_HPP
#define APRICOTLB_CORE_FLEET_RUN_SCHEDULER_HPP

#include "core/fleet/disturbance.hpp"
#include "core/fleet/urgency.hpp"
#include "core/fleet/worker_entry.hpp"
#include "core/fleet/worker_messages.hpp"
#include "core/state/state_machine.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Settings of the workers that take pushed orders.
struct fleet_policy
{
    /// Longest lease that workers grant; they shorten longer ones.
    duration lease{seconds{10}};
};

struct propose_starts
{
    start_runs value;
};

/// Ends to record. When they are on record, the worker may forget its ends up
/// to a number.
struct propose_ends
{
    std::vector<ended_run> runs;
    worker_id from; ///< empty unless a worker listed them
    end_number upto;
};

/// The fleet at one look, for logs and gauges.
struct fleet_summary
{
    std::int64_t workers{0}; ///< that may get new runs
    std::int64_t serving{0}; ///< workers with tasks that have a latency target
    std::int64_t strained{0};
    std::int64_t ready{0}; ///< tasks without a run
    std::int64_t running{0};
    std::int64_t permanent{0};  ///< of the running ones
    std::int64_t scavenging{0}; ///< of the running ones
    std::int64_t slowed{0};     ///< of the scavenging ones
    std::int64_t free_cores{0}; ///< not reserved
};

/// What the scheduler asks its driver to do.
using fleet_action = std::variant<propose_starts, propose_ends, start_order,
                                  stop_order, pace_order, poll_order>;

class run_scheduler
{
public:
    /// Takes over what is on record. Leases that an earlier leader granted may
    /// last for one lease length from now.
    run_scheduler(state_machine const& state, fence_token fence, time_point now,
                  fleet_policy policy);

    // What workers say (run_reports.cpp).
    auto on_announcement(worker_announcement const& it, time_point now) -> void;
    auto on_answer(start_order const& to, order_answer const& it,
                   time_point now) -> void;
    auto on_answer(stop_order const& to, order_answer const& it, time_point now)
        -> void;
    auto on_answer(pace_order const& to, order_answer const& it, time_point now)
        -> void;
    auto on_answer(poll_order const& to, poll_answer const& it, time_point now)
        -> void;

    // What became of proposals.
    auto on_applied(command const& it, time_point now) -> void;
    auto on_not_applied(propose_starts const& it, time_point now) -> void;
    auto on_recorded(propose_ends const& it, time_point now) -> void;
    auto on_not_recorded(propose_ends const& it) -> void;

    /// Repeats orders and polls that are due and ends runs whose leases are
    /// over.
    auto tick(time_point now) -> void;
    /// Chooses workers for ready tasks (run_plan.cpp).
    auto plan(time_point now, wall_time wall) -> void;

    [[nodiscard]] auto take_actions() -> std::vector<fleet_action>;

    /// A worker has seen a later leader: this one must give no more orders.
    [[nodiscard]] auto is_fenced() const -> bool { return fenced_; }
    [[nodiscard]] auto workers() const
        -> std::map<worker_id, worker_entry> const&
    {
        return workers_;
    }
    [[nodiscard]] auto summary(time_point now) const -> fleet_summary;
    /// True once something happened that may let a task start.
    [[nodiscard]] auto wants_plan() const -> bool { return wants_plan_; }
    /// True when the last plan left tasks that found no worker.
    [[nodiscard]] auto is_behind() const -> bool { return is_behind_; }

private:
    using entry_ref = std::pair<worker_id const, worker_entry>;

    // run_scheduler.cpp
    auto inherit(time_point now) -> void;
    auto find(task_run const& run) -> std::pair<entry_ref*, held_run*>;
    auto target(entry_ref const& at) const -> order_target;
    auto send_start(entry_ref& at, task_run const& run, held_run& it,
                    time_point now) -> void;
    auto send_stop(entry_ref& at, task_run const& run, held_run& it,
                   time_point now) -> void;
    auto send_poll(entry_ref& at, time_point now) -> void;
    auto repeat_orders(entry_ref& at, time_point now) -> void;
    auto want_stop(task_run const& run, time_point now) -> void;
    /// Stops runs of a workflow that no longer count.
    auto stop_excess(workflow_id const& id, time_point now) -> void;
    auto propose_end(task_run const& run, held_run& it, run_end outcome)
        -> void;
    auto release(task_run const& run, time_point now) -> void;
    auto lose_runs(entry_ref& at) -> void;

    // run_reports.cpp
    auto replace_life(entry_ref& at, worker_announcement const& it,
                      time_point now) -> void;
    auto take_life_end(entry_ref& at) -> void;
    auto note_clock(entry_ref& at, std::optional<worker_clock> const& clock,
                    time_point now) -> void;
    auto take_rejection(entry_ref& at, task_run const& run, held_run& it,
                        duration pause, time_point now) -> void;
    auto take_lists(entry_ref& at, worker_lists const& it, time_point now)
        -> void;
    auto take_running(entry_ref& at, running_row const& row, time_point now)
        -> void;
    auto take_absent(entry_ref& at, std::set<task_run> const& listed,
                     time_point sent, time_point now) -> void;
    auto take_ended(entry_ref& at, std::vector<ended_row> const& rows) -> void;
    auto note_running(entry_ref& at, task_run const& run, held_run& it,
                      time_point now) -> void;
    auto adjust_pace(entry_ref& at, time_point now) -> void;
    [[nodiscard]] auto must_move(worker_entry const& at, held_run const& it,
                                 time_point now) const -> bool;

    // run_plan.cpp
    struct wanted_run
    {
        workflow_record const* record;
        step_spec const* step;
        workflow_task task;
        run_number number;
    };
    /// What one pass of the plan knows of the workers that may get runs.
    struct plan_pass
    {
        time_point now;
        std::map<pool_name, std::vector<entry_ref*>> pools;
        std::vector<placed_run> placed;
        /// Workers on which an image may scavenge, by worker and image.
        std::map<std::pair<worker_id, image_name>, bool> tolerated;
    };
    /// A task that may start, and what places it before others.
    struct ranked_task
    {
        queue_priority priority;
        bool permanent;
        urgency need;
        ready_task const* task;
        workflow_record const* record;
    };
    auto ranked_tasks(time_point now, wall_time wall)
        -> std::vector<ranked_task>;
    auto start_pass(time_point now) -> plan_pass;
    auto choose(wanted_run const& want, plan_pass& pass) -> entry_ref*;
    auto hold(entry_ref& at, wanted_run const& want) -> void;
    auto place_one(ready_task const& it, workflow_record const& record,
                   plan_pass& pass) -> bool;
    auto place_gang(ready_task const& it, workflow_record const& record,
                    plan_pass& pass) -> void;
    auto may_take(entry_ref const& it, wanted_run const& want,
                  plan_pass& pass) const -> bool;
    auto may_scavenge(entry_ref const& it, step_spec const& step,
                      plan_pass& pass) const -> bool;
    [[nodiscard]] auto leaves_targets(worker_entry const& at,
                                      image_name const& image,
                                      time_point now) const -> bool;
    [[nodiscard]] auto pool_of(workflow_record const& it) const
        -> pool_name const&;

    state_machine const& state_;
    fence_token fence_;
    fleet_policy policy_;
    std::map<worker_id, worker_entry> workers_;
    std::map<task_run, worker_id> where_; ///< of each held run
    std::map<url, worker_id> addresses_;
    std::set<workflow_task> proposed_; ///< tasks with a start not on record
    /// When each occurrence was first seen with a task that may start. A new
    /// leader counts from its election.
    std::map<std::pair<revision, occurrence_index>, time_point> since_;
    time_point since_cleared_{};
    disturbance disturbance_;
    std::vector<fleet_action> actions_;
    std::vector<ended_run> ends_; ///< to be proposed together
    bool fenced_{false};
    bool wants_plan_{true};
    bool is_behind_{false};  ///< the last plan left tasks over
    bool was_behind_{false}; ///< the plan before it did
};

} // namespace apricotlb

#endif
