/// Places runs of workflow tasks on workers that take pushed orders, and
/// follows each run to its recorded end.
///
/// A run is recorded in the log before its start order is sent, and keeps its
/// reservation until its end is recorded. Only the lists of a worker prove what
/// runs there; an order without an answer may still be executed.
/// run_scheduler.cpp handles committed commands and timers, run_reports.cpp the
/// messages of workers, run_contacts.cpp their repeated announcements, and
/// run_plan.cpp the choice of tasks and workers, run_copies.cpp the copies of
/// straggling runs, run_late_ends.cpp the ends of runs that were written off,
/// run_relocation.cpp moves permanent tasks, and run_waits.cpp says why a task
/// is not placed, and run_targets.cpp which serving tasks stay over their
/// latency targets.
#ifndef APRICOTLB_CORE_FLEET_RUN_SCHEDULER_HPP
#define APRICOTLB_CORE_FLEET_RUN_SCHEDULER_HPP

#include "core/fleet/admission_forecast.hpp"
#include "core/fleet/contact_messages.hpp"
#include "core/fleet/disturbance.hpp"
#include "core/fleet/effect_table.hpp"
#include "core/fleet/ended_lives.hpp"
#include "core/fleet/lease_halts.hpp"
#include "core/fleet/relocation.hpp"
#include "core/fleet/run_events.hpp"
#include "core/fleet/run_waits.hpp"
#include "core/fleet/straggler_watch.hpp"
#include "core/fleet/submission_times.hpp"
#include "core/fleet/target_report.hpp"
#include "core/fleet/urgency.hpp"
#include "core/fleet/worker_entry.hpp"
#include "core/fleet/worker_messages.hpp"
#include "core/state/state_machine.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Settings of the workers that take pushed orders.
struct fleet_policy
{
    /// Longest lease that is granted, whatever workers accept. A worker that is
    /// gone without a trace holds its tasks for so long after a change of
    /// leader. Without a lost poll the last renewal is 1.8 s old at most, so
    /// that runs outlast 3 s without a leader.
    static constexpr duration max_granted_lease{seconds{6}};

    /// Longest lease that workers accept; they shorten longer ones. Earlier
    /// versions grant it whole.
    duration lease{seconds{10}};
    /// Submissions that cannot end in time are refused.
    bool refuses_late_work{false};

    [[nodiscard]] auto granted_lease() const -> duration
    {
        return std::min(lease, max_granted_lease);
    }
};

/// Proposes the start of placed runs, or places alone, to the log.
struct propose_starts
{
    start_runs value;
};

/// The ends that a worker has listed, up to `last_number`.
struct listed_ends
{
    worker_instance from;
    end_number last_number;
};

/// Proposes the ends of runs to the log. Once they are recorded, the workers
/// that listed them may discard theirs.
struct propose_ends
{
    std::vector<ended_run> runs;
    std::vector<listed_ends> lists; ///< of which all ends are proposed here
    /// Ends as finished of runs that were written off; see end_runs.
    std::vector<ended_run> listed_late{};

    [[nodiscard]] auto size() const -> std::size_t
    {
        return runs.size() + listed_late.size();
    }
    [[nodiscard]] auto to_command(wall_time at) const -> end_runs
    {
        return {runs, at,
                listed_late.empty() ? std::nullopt
                                    : std::optional{listed_late}};
    }
};

/// Counts over the fleet, for logs and gauges.
struct fleet_summary
{
    std::int64_t workers{0}; ///< that may get new runs
    std::int64_t serving{0}; ///< workers with tasks that have a latency target
    /// Workers with a serving task whose latency is over its target.
    std::int64_t over_target{0};
    /// Workers with both serving and scavenging tasks whose last lists are
    /// older than config::max_time_over_target.
    std::int64_t unmeasured{0};
    std::int64_t ready{0}; ///< tasks without a run
    /// Of these, as of the last pass that ranked them, by worth_left.
    std::int64_t ready_in_time{0};
    std::int64_t ready_late{0};
    std::int64_t ready_without_worth{0};
    std::int64_t running{0};
    std::int64_t permanent{0};  ///< of the running ones
    std::int64_t scavenging{0}; ///< of the running ones
    std::int64_t slowed{0};     ///< of the scavenging ones
    std::int64_t copies{0};     ///< second runs of tasks, in any phase
    std::int64_t stragglers{0}; ///< runs, as of the last check
    std::int64_t free_cores{0}; ///< not reserved
    std::int64_t held{0}; ///< workers held for restarts of permanent tasks
    /// Workers with runs whose last contact is too old for new runs.
    std::int64_t silent{0};
    std::int64_t fenced{0};      ///< workers that refuse the leader's token
    std::int64_t inherited{0};   ///< runs not yet seen under this leader
    std::int64_t unconfirmed{0}; ///< starts without an answer so far
    /// Of these, first ordered longer than config::reported_wait ago.
    std::int64_t starts_unanswered{0};
    /// Runs whose stop has not been confirmed for config::reported_wait.
    std::int64_t stops_unanswered{0};
    std::int64_t unrecorded{0}; ///< runs that workers list and the log has not
    std::int64_t polls{0};      ///< that wait for their answers
    std::int64_t evacuated{0};  ///< data centres
    std::int64_t evacuated_runs{0}; ///< left on their workers
    std::int64_t relocating{0}; ///< tasks stopped for a move a short time ago
    std::int64_t cold{0};       ///< workers
    std::vector<expected_wait> expected_waits; ///< of new work
    /// Serving tasks that stay over their targets, those beside which
    /// scavenging runs work on and the longest ones first.
    std::vector<target_report> targets_missed;
};

/// An action that the caller of run_scheduler executes.
using fleet_action = std::variant<propose_starts, propose_ends, start_order,
                                  stop_order, pace_order, poll_order>;

/// Scheduler of workflow tasks, on the leader only.
class run_scheduler
{
public:
    /// Takes over the runs that the log records. Leases granted by an earlier
    /// leader may last for one more lease length, as the workers' clocks count
    /// it.
    run_scheduler(state_machine const& state, term leading_in, time_point now,
                  fleet_policy policy, submission_times const& submitted = {},
                  wall_time wall = {}, lease_halts const& halts = {});

    // Messages of workers (run_reports.cpp).
    /// `age` is the time since the announcement was received. Returns false
    /// for the departure of another life than the current one.
    auto on_announcement(worker_announcement const& announcement,
                         time_point now, duration age = {}) -> bool;
    /// Returns false if the full announcement of the worker is needed
    /// (run_contacts.cpp).
    auto on_contact(worker_contact const& contact, time_point now) -> bool;
    auto on_answer(start_order const& order, order_answer const& answer,
                   time_point now) -> void;
    auto on_answer(stop_order const& order, order_answer const& answer,
                   time_point now) -> void;
    auto on_answer(pace_order const& order, order_answer const& answer,
                   time_point now) -> void;
    auto on_answer(poll_order const& order, poll_answer const& answer,
                   time_point now) -> void;

    // Submissions (run_admission.cpp).
    /// Decides whether a new workflow is accepted.
    [[nodiscard]] auto admit(workflow_spec const& spec,
                             queue_contract const& terms, time_point now)
        -> admission_decision;
    /// An admitted workflow is proposed to the log, or was not recorded.
    auto on_submission_proposed(workflow_spec const& spec,
                                queue_contract const& terms,
                                admission_decision const& decided,
                                time_point now) -> void;
    auto on_submission_dropped(workflow_id const& id, time_point now) -> void;
    /// By how much workflows have ended later than forecast, since the last
    /// call; negative for those that ended earlier.
    [[nodiscard]] auto take_forecast_errors() -> std::vector<duration>;

    // Outcomes of proposals.
    auto on_applied(command const& applied, time_point now) -> void;
    auto on_not_applied(propose_starts const& proposal, time_point now) -> void;
    auto on_recorded(propose_ends const& proposal, time_point now) -> void;
    auto on_not_recorded(propose_ends const& proposal) -> void;

    /// Repeats orders and polls that are due, and proposes as lost the runs of
    /// workers whose leases have ended.
    auto tick(time_point now) -> void;
    /// Places ready tasks on workers (run_plan.cpp), while fewer than
    /// config::max_unconfirmed_starts runs wait for a sign of their workers.
    auto plan(time_point now, wall_time wall) -> void;

    [[nodiscard]] auto take_actions() -> std::vector<fleet_action>;
    /// What has happened to runs since the last call, for logs and counters.
    [[nodiscard]] auto take_events() -> std::vector<run_event>;

    /// True if so many workers in contact refuse the fencing token of this
    /// leader that its term must have been exceeded, as of the last tick.
    [[nodiscard]] auto is_fenced() const -> bool { return is_fenced_; }
    [[nodiscard]] auto workers() const
        -> std::map<worker_id, worker_entry> const&
    {
        return workers_;
    }
    [[nodiscard]] auto summary(time_point now) -> fleet_summary;
    /// Permanent tasks that have waited for another run for longer than
    /// config::reported_wait, steps of which nothing has run for as long,
    /// started runs whose first order is older and not confirmed, and stops
    /// that have not been confirmed for as long; the longest waits first, and
    /// config::max_reported_waits of each at most.
    /// To be called at regular intervals (run_waits.cpp).
    [[nodiscard]] auto longest_waiting(time_point now, wall_time wall)
        -> waiting_work;
    /// True if an event since the last plan may allow a task to start.
    [[nodiscard]] auto needs_plan() const -> bool { return needs_plan_; }
    /// True if the last plan found no worker for some ready task, members of
    /// gangs left out.
    [[nodiscard]] auto is_behind() const -> bool { return is_behind_; }

private:
    using identified_worker = std::pair<worker_id const, worker_entry>;

    // run_scheduler.cpp
    auto inherit_runs(lease_halts const& halts, time_point now) -> void;
    auto inherit_run(workflow_record const& record, task_run const& name,
                     task_progress const& progress, active_run const& run,
                     lease_halts const& halts, time_point now) -> void;
    /// Until when a lease of an earlier leader may last.
    [[nodiscard]] auto inherited_lease_end(worker_place const* place,
                                           lease_halts const& halts,
                                           time_point now) const -> time_point;
    auto inherit_place(worker_place const& place) -> void;
    /// True if the log keeps the place of the worker whatever is proposed now.
    [[nodiscard]] auto keeps_place(worker_entry const& worker) const -> bool;
    /// Places of the workers of new runs that are missing from the log or
    /// differ there.
    [[nodiscard]] auto unrecorded_places(std::vector<placed_run> const& runs,
                                         time_point now) const
        -> std::optional<std::vector<worker_place>>;
    /// Records that long leases of workers with runs are over.
    auto shorten_recorded_leases(time_point now) -> void;
    /// Records which workers get no leases, for the leaders that follow, and
    /// which get them again.
    auto review_lease_halts(time_point now) -> void;
    /// True if the log should say that the worker gets no leases.
    [[nodiscard]] auto should_halt(worker_entry const& worker,
                                   time_point now) const -> bool;
    auto apply_place(worker_entry& worker, worker_place const& place,
                     time_point now) -> void;
    /// Length of the leases that the worker is granted.
    [[nodiscard]] auto granted_lease(worker_entry const& worker) const
        -> duration;
    /// Longest time, on the leader's clock, for which an order to a former life
    /// may prolong the lease of a worker that carries it out.
    [[nodiscard]] auto longest_lease() const -> duration
    {
        return worker_lease::max_duration(policy_.lease);
    }
    /// True if the worker's lease may last longer than one that is granted now.
    [[nodiscard]] auto has_long_lease(worker_entry const& worker,
                                      time_point now) const -> bool;
    /// Holds a run that is recorded although its proposal had been given up.
    auto inherit_unexpected(task_run const& run, time_point now) -> void;
    auto inherit_ages(submission_times const& submitted, time_point now,
                      wall_time wall) -> void;
    auto find(task_run const& run) -> std::pair<identified_worker*, held_run*>;
    auto find(worker_instance const& it) -> worker_entry*;
    auto target_of(identified_worker const& worker, time_point now) const
        -> order_target;
    /// True while the log asks for the run: its end is not recorded, its
    /// workflow is open, and no other run has finished its task. A workflow
    /// without attempts left is not open.
    [[nodiscard]] auto is_wanted(task_run const& run) const -> bool;
    /// Decides for every send of a start order whether the run may start on
    /// the worker.
    [[nodiscard]] auto may_start(identified_worker const& worker,
                                 task_run const& run) const -> bool;
    /// Age up to which a new leader relies on an announcement from before its
    /// election. Workers announce themselves about once a second, and nothing
    /// may start 2 s after the acknowledgement that a worker drains.
    static constexpr duration announcement_validity = milliseconds{1500};
    /// False while an earlier leader may have acknowledged that the worker
    /// drains.
    [[nodiscard]] auto has_current_phase(worker_entry const& worker,
                                         time_point now) const -> bool;
    [[nodiscard]] auto is_evacuated(worker_entry const& worker) const -> bool
    {
        return worker.info && state_.evacuations().contains(worker.info->zone);
    }
    /// True if the planner may place runs on the worker. An announcement that
    /// another process kept may be all that is left of it; its lists prove that
    /// it is up, and that it refuses the orders of earlier leaders.
    [[nodiscard]] auto takes_new_runs(worker_entry const& worker,
                                      time_point now) const -> bool
    {
        return worker.is_usable(now) && worker.is_listed &&
               has_current_phase(worker, now) && !is_evacuated(worker);
    }
    /// Sends the start order of a recorded run if it may start, and otherwise
    /// withdraws the run.
    auto start_or_withdraw(identified_worker& worker, task_run const& run,
                           held_run& held, time_point now) -> void;
    /// Ends a run of which no start order can be executed any more; stops it
    /// if one can.
    auto withdraw(identified_worker& worker, task_run const& run,
                  held_run& held, time_point now) -> void;
    /// Called by start_or_withdraw() only.
    auto send_start(identified_worker& worker, task_run const& run,
                    held_run& held, time_point now) -> void;
    auto send_stop(identified_worker& worker, task_run const& run,
                   held_run& held, time_point now) -> void;
    /// Sends the stop of a run that the log has not.
    auto send_pending_stop(identified_worker& worker, task_run const& run,
                           pending_stop& stop, time_point now) -> void;
    auto send_poll(identified_worker& worker, time_point now) -> void;
    /// Repeats an open poll if the lease of the worker may be about to end.
    /// Returns true if it was sent.
    auto repeat_poll(identified_worker& worker, time_point now) -> bool;
    auto review_orders(identified_worker& worker, time_point now) -> void;
    auto request_stop(task_run const& run, time_point now) -> void;
    /// Stops the runs of a workflow that are not wanted any more.
    auto stop_unneeded_runs(workflow_id const& id, time_point now) -> void;
    auto stop_unneeded_after(workflow_task const& task, time_point now) -> void;
    /// After the end of a run, stops the other members of its gang unless the
    /// gang has finished.
    auto stop_incomplete_gang(ended_run const& ended, time_point now) -> void;
    auto propose_end(identified_worker& worker, task_run const& run,
                     held_run& held, run_end outcome, run_event_kind why,
                     std::optional<lease_report> const& lease = {}) -> void;
    auto release(task_run const& run, time_point now) -> void;
    /// Records that the worker may take runs that it could not take before, so
    /// that failed searches do not hold for it any more.
    auto gain_room(worker_entry& worker) -> void;
    /// Takes back a reservation that is not proposed yet.
    auto cancel_reservation(task_run const& run) -> void;
    /// True if a start order of the run may be on its way still, and would be
    /// carried out by the next life of its worker.
    [[nodiscard]] auto may_start_late(held_run const& held,
                                      time_point now) const -> bool;
    /// When the last start order of the run was given, at the latest.
    [[nodiscard]] auto start_given_at(held_run const& held) const -> time_point;
    /// True while the worker may carry out a start order whose run has ended
    /// in the log, or runs what this leader has not heard of.
    [[nodiscard]] auto may_run_unrecorded(identified_worker const& worker,
                                          time_point now) const -> bool;
    /// Leaves out runs that may start late; they are ended by a later call.
    auto end_runs_as_lost(identified_worker& worker, run_event_kind why,
                          time_point now) -> void;
    /// Ends the runs of a silent worker as lost, and keeps which of them are to
    /// blame if it has crashed.
    auto end_runs_of_silent(identified_worker& worker, time_point now) -> void;

    // run_admission.cpp
    auto inherit_forecast(time_point now) -> void;
    auto update_forecast(command const& applied, time_point now) -> void;
    auto update_forecast(workflow_task const& task, time_point now) -> void;
    auto end_forecast(workflow_id const& id, time_point now) -> void;
    /// Contract in force of the queue of a workflow.
    [[nodiscard]] auto terms_of(workflow_record const& record) const
        -> queue_contract const&;
    /// Processors of the usable workers of a pool that are not reserved.
    [[nodiscard]] auto free_cores(pool_name const& pool, time_point now)
        -> millicores;

    // run_contacts.cpp
    /// True if another life than the known one may be taken for the living one
    /// without asking: it has answered, or its number is higher and its
    /// announcement is newer than the last sign of the known one.
    [[nodiscard]] static auto may_follow(worker_entry const& known,
                                         worker_incarnation life,
                                         time_point heard_at) -> bool;
    /// Keeps the announcement of another life until the answer to a poll shows
    /// which of the two lives.
    auto contest(identified_worker& worker,
                 worker_announcement const& announcement, time_point now,
                 duration age) -> void;
    /// Asks at the address of the life that claims to live, or gives it up.
    auto send_claim_poll(identified_worker& worker, time_point now) -> void;
    /// Returns false if the poll was not sent by send_claim_poll().
    auto on_claim_answer(identified_worker& worker, poll_order const& order,
                         poll_answer const& answer, time_point now) -> bool;
    /// A poll that was sent at `asked_at` was answered by this life: all others
    /// that were known by then have ended.
    auto on_living_life(identified_worker& worker, worker_incarnation living,
                        time_point asked_at, time_point now) -> void;
    /// Another life than the known one has answered.
    auto on_other_life(identified_worker& worker, worker_incarnation living,
                       time_point now) -> void;
    /// True if the log has the run on this life of the worker.
    [[nodiscard]] auto is_recorded_for(task_run const& run,
                                       worker_incarnation life) const -> bool;

    // run_reports.cpp
    auto take_announcement(worker_announcement const& announcement,
                           time_point now, duration age) -> void;
    /// Returns false if another life than the current one has left.
    auto on_departure(worker_instance const& left, time_point now) -> bool;
    auto replace_incarnation(identified_worker& worker,
                             worker_announcement const& announcement,
                             time_point now) -> void;
    /// The worker has left in order.
    auto on_leave(identified_worker& worker, time_point now) -> void;
    /// False for an order to another life of the worker, or to an earlier spell
    /// of a life that has come back.
    [[nodiscard]] auto is_for_present_life(worker_entry const& worker,
                                           order_target const& to) const
        -> bool;
    /// The worker has refused the leader's fencing token.
    auto on_fenced(identified_worker& worker, order_target const& to,
                   task_run const& run) -> void;
    /// Another worker or incarnation took the place of this one.
    auto on_incarnation_end(identified_worker& worker, time_point now) -> void;
    /// The runs that may have caused the crash of their worker.
    [[nodiscard]] auto runs_to_blame(worker_entry const& worker)
        -> std::set<task_run>;
    /// Records the crashes of runs that ended as lost before the crash of
    /// their worker was known.
    auto report_late_crashes(worker_entry& worker) -> void;
    /// Records that a worker has answered an order or poll, or has not.
    /// Returns false if the answer is of another incarnation.
    auto record_answer(identified_worker& worker, order_target const& to,
                       order_answer const& answer, time_point now) -> bool;
    auto record_contact(identified_worker& worker, order_target const& to,
                        std::optional<worker_clock> const& clock,
                        time_point now) -> void;
    auto take_start_answer(identified_worker& worker, start_order const& order,
                           held_run& held, order_outcome outcome,
                           time_point now) -> void;
    auto record_release(worker_entry& worker, poll_order const& order,
                        std::vector<ended_row> const& rows, time_point now)
        -> void;
    auto on_order_rejected(identified_worker& worker, task_run const& run,
                           held_run& held, duration pause, time_point now)
        -> void;
    auto process_lists(identified_worker& worker, worker_lists const& lists,
                       time_point now) -> void;
    /// Reports the runs that go on although they were ended as lease_over.
    auto report_alive_after_lease(identified_worker& worker,
                                  std::vector<running_row> const& rows,
                                  time_point poll_sent_at) -> void;
    auto accept_first_lists(worker_entry& worker, time_point now) -> void;
    auto process_running(identified_worker& worker, running_row const& row,
                         time_point now) -> void;
    /// A run that is not recorded: a late order, of an earlier leader or for
    /// the former life of the worker.
    auto process_unrecorded(identified_worker& worker, task_run const& run,
                            time_point now) -> void;
    auto on_pending_stop(identified_worker& worker, pending_stop& stop,
                         order_outcome outcome, time_point now) -> void;
    auto process_absent(identified_worker& worker, time_point sent,
                        time_point now) -> void;
    /// `list_age` is the age of the lists before; none if there were none.
    auto process_ended(identified_worker& worker,
                       std::vector<ended_row> const& rows,
                       std::optional<duration> list_age, time_point now)
        -> void;
    auto set_running(identified_worker& worker, task_run const& run,
                     held_run& held, time_point now) -> void;
    auto adjust_pace(identified_worker& worker, time_point now) -> void;
    auto adjust_pace(identified_worker& worker, task_run const& run,
                     held_run& held, time_point now) -> void;

    // run_plan.cpp
    /// A task for which a worker is sought, with the number of its next run.
    struct candidate_run
    {
        workflow_record const* record;
        step_spec const* step;
        workflow_task task;
        run_number number;
        bool is_restart; ///< of a permanent task
        bool is_suspect; ///< workers have crashed under earlier runs
        image_ref image;
    };
    /// Properties that decide whether some worker can take a task. The step is
    /// part of the key only if it limits its tasks per worker. Restarts have
    /// keys of their own, since held workers are open to them.
    using placement_key =
        std::tuple<pool_name, worker_label, image_name, bool, bool, bool, bool,
                   std::int64_t, std::int64_t, std::int32_t,
                   std::optional<workflow_task>>;
    auto placement_key_of(candidate_run const& candidate) const
        -> placement_key;
    /// A search that found no worker. Until it is repeated, only workers that
    /// have gained room since are searched for tasks with the same key.
    struct failed_search
    {
        room_change seen;         ///< the last one when the search was made
        time_point searched_at{}; ///< when all workers were searched last
        time_point used_at{};
    };
    /// Sort key of the workers for a task; lower is better.
    using preference = std::tuple<int, std::int64_t, std::int64_t>;
    /// A search for workers for the tasks of one step that are alike.
    struct worker_search
    {
        struct option
        {
            preference score;
            identified_worker* worker;
        };
        placement_key key;
        std::vector<option> options; ///< a heap with the best one in front
        bool is_suspect{false};
        bool scavenges{false};
        bool was_known{false}; ///< an earlier search with this key has failed
        bool repeats{false};   ///< that search
        bool has_failed{false};
    };
    /// State of one pass of plan().
    struct plan_pass
    {
        plan_pass(image_interference const& model, time_point at)
            : now(at), effects(model, at)
        {
        }

        /// Workers and serving images that one pass looks at. The loop has to
        /// send heartbeats before the next pass.
        static constexpr std::size_t max_visits = 500'000;
        /// Visits by which failed searches are repeated, so that the other
        /// half is left for tasks that follow.
        static constexpr std::size_t max_repeat_visits = max_visits / 2;
        /// Visits to choose workers to hold: restarts that fit nowhere leave
        /// the others for new tasks.
        static constexpr std::size_t max_hold_visits = max_visits / 4;

        time_point now;
        /// Workers that may get new runs, the last one that gained room first.
        std::map<pool_name, std::vector<identified_worker*>> pools;
        /// Processors of the workers of a pool that are up and not evacuated.
        /// Callers count the room of a service by its whole capacity, with the
        /// workers that take no new runs for a while.
        struct pool_use
        {
            millicores reserved;
            millicores capacity;
        };
        std::map<pool_name, pool_use> uses;
        std::vector<placed_run> placed;
        std::set<worker_id> held; ///< for restarts
        std::size_t visits{0};    ///< of workers and of their serving images
        std::size_t repeat_visits{0}; ///< of them, to repeat failed searches
        std::size_t hold_visits{0};   ///< of them, to choose workers to hold
        /// The newest failed search for which no visits were left.
        std::optional<time_point> newest_put_off;
        bool is_behind{false}; ///< some task found no worker
        /// Pools in which tasks wait for reserved processors.
        std::set<pool_name> behind;
        bool is_cut{false}; ///< ended at its limit of visits
        effect_table effects;
        std::size_t latency_wait_searches{config::max_latency_wait_searches};
        /// Rooms of which some task found too little.
        std::map<pool_room, room_shortage> short_of;
    };
    /// Ready tasks of one step, with their sort keys.
    struct ranked_step
    {
        bool is_new; ///< false for permanent tasks that have run before
        queue_priority priority;
        bool permanent;
        urgency urgency_rank;
        workflow_task first; ///< of all its tasks, ready or not
        ready_tasks const* ready;
        workflow_record const* record;
    };
    [[nodiscard]] auto ranked_steps(time_point now, wall_time wall)
        -> std::vector<ranked_step>;
    /// Places tasks of a step; returns false at a limit of the pass.
    auto place_step(ranked_step const& step, plan_pass& pass) -> bool;
    /// Drops the failed searches, gangs and waits that no pass uses any more.
    /// Steps that a pass has not reached may still use theirs.
    auto drop_unused_searches(bool is_complete, time_point now) -> void;
    /// Records that a task of the step found no worker.
    auto note_shortage(ranked_step const& step, plan_pass& pass) const -> void;
    auto make_pass(time_point now) -> plan_pass;
    /// True if most processors of the workers of a pool that are up are not
    /// reserved.
    [[nodiscard]] static auto is_mostly_idle(plan_pass const& pass,
                                             pool_name const& pool) -> bool;
    /// The best worker for a member of a gang.
    auto choose_worker(candidate_run const& candidate, plan_pass& pass)
        -> identified_worker*;
    /// True if the pass may search all workers again for a task that found
    /// none at `searched_at`. Otherwise the next pass does so before it repeats
    /// any later search.
    [[nodiscard]] auto may_repeat_search(time_point searched_at,
                                         plan_pass& pass) const -> bool;
    auto score_of(identified_worker const& worker,
                  candidate_run const& candidate, plan_pass& pass) const
        -> preference;
    /// True if `a` comes before `b`; ids decide between equal scores.
    [[nodiscard]] static auto is_better(worker_search::option const& a,
                                        worker_search::option const& b) -> bool;
    [[nodiscard]] static auto is_worse(worker_search::option const& a,
                                       worker_search::option const& b) -> bool;
    /// Looks at all workers, or, if an earlier search has failed, at those
    /// that have gained room since.
    auto begin_search(candidate_run const& candidate, plan_pass& pass)
        -> worker_search;
    /// The best worker that can take the task; null if there is none. One that
    /// cannot take it takes no other task of the search either.
    auto next_worker(worker_search& search, candidate_run const& candidate,
                     plan_pass& pass) -> identified_worker*;
    auto end_failed_search(worker_search& search, plan_pass& pass) -> void;
    /// Holds a worker on which a restart that found no room will fit once runs
    /// there have ended; only restarts are placed there in this pass.
    auto hold_worker(candidate_run const& candidate, plan_pass& pass) -> void;
    /// Opens the workers that this pass has not held again to other tasks.
    auto end_holds(plan_pass& pass) -> void;
    auto reserve(identified_worker& worker, candidate_run const& candidate)
        -> void;
    [[nodiscard]] auto make_candidate(workflow_record const& record,
                                      workflow_task const& task,
                                      run_number number) -> candidate_run;
    auto place_single(worker_search& search, candidate_run const& candidate,
                      plan_pass& pass) -> bool;
    /// Places a scavenging task that found no worker, if its step has waited
    /// for config::max_latency_wait and nothing of it runs.
    auto place_after_latency_wait(ranked_step const& step,
                                  candidate_run const& candidate,
                                  plan_pass& pass) -> bool;
    /// True if a scavenging task may start on the worker although its serving
    /// tasks are expected above their headroom: the worker has room and
    /// processors left, none of them is over its target unless by its own load,
    /// and the latencies show the effect of those that started so before.
    [[nodiscard]] static auto
    may_exceed_headroom(worker_entry const& worker,
                        candidate_run const& candidate, time_point now) -> bool;
    /// Of these workers, the one on which serving tasks are expected to come
    /// least close to their targets.
    auto choose_above_headroom(candidate_run const& candidate, plan_pass& pass)
        -> identified_worker*;
    /// Returns false if some member found no worker.
    auto place_gang(workflow_task const& first, workflow_record const& record,
                    plan_pass& pass) -> bool;
    auto try_gang(workflow_task const& gang, workflow_record const& record,
                  plan_pass& pass) -> void;
    auto obstacle_to(identified_worker const& worker,
                     candidate_run const& candidate, plan_pass& pass) const
        -> placement_obstacle;
    auto can_place(identified_worker const& worker,
                   candidate_run const& candidate, plan_pass& pass) const
        -> bool;
    /// can_place(), which also asks a worker for a contact if the task lacks a
    /// recent one there.
    auto can_place_or_ask(identified_worker& worker,
                          candidate_run const& candidate, plan_pass& pass) const
        -> bool;
    static auto lacks_contact(worker_entry const& worker,
                              candidate_run const& candidate, time_point now)
        -> bool;
    auto may_scavenge(worker_entry const& worker,
                      candidate_run const& candidate, plan_pass& pass) const
        -> bool;
    /// The largest tail latency of the serving tasks of a worker, as a share of
    /// its target, that is expected with one more scavenging task.
    [[nodiscard]] auto expected_share(worker_entry const& worker,
                                      image_ref image, plan_pass& pass) const
        -> double;
    /// True if one more scavenging task of an image keeps the serving tasks of
    /// a worker within their latency targets.
    [[nodiscard]] auto keeps_latency_targets(worker_entry const& worker,
                                             image_ref image,
                                             plan_pass& pass) const -> bool;
    /// Brings worker_entry::serving_shares up to date.
    auto update_shares(worker_entry& worker, time_point now) const -> void;
    /// True if two suspects would share the worker: its next crash could not be
    /// assigned to one of them.
    static auto has_other_suspect(worker_entry const& worker,
                                  candidate_run const& candidate,
                                  time_point now) -> bool;
    [[nodiscard]] auto pool_of(workflow_record const& record) const
        -> pool_name const&;

    // run_late_ends.cpp
    /// Takes a listed end of a run that is on record as ended or about to be.
    /// Returns false if it must not be acknowledged: its run has finished, and
    /// a later one of the task may have started.
    auto take_late_end(identified_worker& worker, ended_run const& listed,
                       propose_ends& proposal) -> bool;
    /// True if an end as finished of a run of the task, or of its gang, is
    /// proposed that was listed late. No run of it starts meanwhile.
    [[nodiscard]] auto is_finishing_late(workflow_record const& record,
                                         workflow_task const& task) const
        -> bool;
    auto end_late_proposals(propose_ends const& proposal) -> void;
    static auto withhold_ends(worker_entry& worker, bool is_withheld,
                              time_point now) -> void;
    /// Forgets the runs that were written off and have not run, by lists that
    /// show all ends.
    static auto prune_written_off(worker_entry& worker,
                                  std::vector<ended_row> const& rows) -> void;

    // run_copies.cpp
    /// Watches a run that was seen on its worker if it may be copied.
    auto watch_run(task_run const& run, held_run const& held, time_point now)
        -> void;
    /// Learns the run time of a run that has ended.
    auto learn_run_time(ended_run const& ended, held_run const& held,
                        time_point now) -> void;
    /// The stragglers, if a check is due.
    auto check_stragglers(time_point now) -> std::vector<straggler>;
    /// Starts copies in room for which no task of the same pool waits.
    /// `is_complete` says whether the pass has reached all waiting tasks.
    auto place_copies(std::vector<straggler> const& stragglers,
                      bool is_complete, plan_pass& pass) -> void;
    /// Says why a straggler gets no copy whatever room there is; none if it
    /// may get one or needs none.
    [[nodiscard]] auto refusal_of_copy(straggler const& it,
                                       workflow_record const& record) const
        -> std::optional<run_event_kind>;
    auto choose_copy_worker(identified_worker const& first,
                            candidate_run const& candidate, plan_pass& pass)
        -> identified_worker*;
    /// True for an active run under way whose task has no other run and is no
    /// suspect.
    [[nodiscard]] auto needs_copy(task_run const& run) const -> bool;
    /// Reports a reason once for each run.
    auto report_no_copy(run_event_kind reason, task_run const& run) -> void;
    /// Reports which of two runs of a task has finished first.
    auto report_winner(ended_run const& ended) -> void;

    // run_relocation.cpp
    /// Stops permanent tasks on workers that take no new runs, and scavenging
    /// tasks that stay paused, so that they start on other workers.
    auto relocate(time_point now) -> void;
    auto relocate_from(identified_worker& worker, plan_pass& pass) -> void;
    auto move_paused(identified_worker& worker, plan_pass& pass) -> void;
    [[nodiscard]] auto must_move(worker_entry const& worker,
                                 held_run const& held, time_point now) const
        -> bool;
    /// The tasks of the step of `first` as choose_relocation() needs them.
    auto step_tasks(workflow_record const& record, workflow_task const& first,
                    time_point now) -> std::vector<step_task>;

    // run_targets.cpp
    [[nodiscard]] auto tasks_over_target(time_point now) const
        -> std::vector<target_report>;
    [[nodiscard]] auto neighbors_of(worker_entry const& worker,
                                    held_run const& serving,
                                    time_point now) const
        -> std::vector<scavenging_neighbor>;
    [[nodiscard]] auto count_unmeasured(time_point now) const -> std::int64_t;

    // run_waits.cpp
    auto begin_wait(workflow_task const& task, time_point now) -> void;
    auto inherit_waits(time_point now) -> void;
    [[nodiscard]] auto longest_waits(time_point now)
        -> std::vector<wait_report>;
    [[nodiscard]] auto longest_stalls(time_point now, wall_time wall)
        -> std::vector<stalled_step>;
    [[nodiscard]] auto longest_unanswered(time_point now) const
        -> std::vector<unanswered_start>;
    [[nodiscard]] auto longest_unstopped(time_point now) const
        -> std::vector<unanswered_stop>;
    [[nodiscard]] auto uncontacted_workers(time_point now) const
        -> std::vector<uncontacted_worker>;
    auto count_obstacles(candidate_run const& candidate, plan_pass& pass,
                         obstacle_counts& counts,
                         millicores& largest_free) const -> void;
    [[nodiscard]] auto stall_cause_of(candidate_run const& candidate,
                                      bool has_worker) const -> stall_cause;

    state_machine const& state_;
    term leading_in_;
    life_number last_life_;
    time_point leading_since_;
    fleet_policy policy_;
    std::map<worker_id, worker_entry> workers_;
    /// Runs with a reservation. An entry of workers_ with runs is not erased.
    std::unordered_map<task_run, identified_worker*, task_run_hash>
        worker_of_run_;
    std::map<url, worker_id> addresses_;
    /// Until when start orders may be carried out whose runs have ended.
    std::map<worker_id, time_point> late_starts_until_;
    /// Tasks under which a worker has crashed, and which have lasted since.
    std::set<workflow_task> lasting_suspects_;
    ended_lives ended_lives_;
    /// Lives at whose addresses other workers answer or have started. They may
    /// have moved, but do not take such an address back by their numbers.
    ended_lives displaced_lives_;
    /// Tasks with a proposed start.
    std::unordered_set<workflow_task, workflow_task_hash> proposed_;
    /// Tasks, the first one for a gang, of which an end as finished is proposed
    /// that was listed late.
    std::unordered_set<workflow_task, workflow_task_hash> finishing_late_;
    /// When each occurrence first had a ready task, by the revision at which
    /// its workflow was accepted. A new leader counts from when it has applied
    /// the submission as a follower, or else from its election.
    std::map<std::pair<revision, occurrence_index>, time_point> ready_since_;
    time_point ready_since_pruned_at_{};
    time_point recorded_leases_reviewed_at_{};
    sequence last_halt_; ///< number of the last one that was proposed
    interner<image_name, image_ref> images_;
    image_interference interference_;
    std::vector<fleet_action> actions_;
    std::vector<run_event> events_;
    std::vector<ended_run> pending_ends_; ///< proposed by take_actions()
    std::set<worker_id> held_;            ///< by the last pass
    std::array<std::int64_t, 3> ready_by_worth_{}; ///< by worth_left
    /// Processors that ready tasks in time need which end by themselves.
    std::map<pool_name, millicores> ready_cores_;
    admission_forecast forecast_;
    std::vector<duration> forecast_errors_;
    std::map<pool_name, millicores> free_cores_;
    std::optional<time_point> free_cores_at_;
    room_change last_room_change_;
    std::map<placement_key, failed_search> failed_searches_;
    /// When gangs that found no workers were tried, by their first task.
    std::map<workflow_task, time_point> failed_gangs_;
    /// Steps of scavenging tasks of which nothing runs and that no worker
    /// takes, with the time since when.
    struct latency_wait
    {
        time_point since{};
        time_point seen_at{}; ///< the last pass that found them so
    };
    std::map<ready_step, latency_wait> latency_waits_;
    restart_waits waits_;
    /// Ready steps of which nothing ran at the last report, and since when.
    std::map<ready_step, time_point> stalled_since_;
    straggler_watch watch_;
    time_point stragglers_checked_at_{};
    time_point watch_pruned_at_{};
    std::int64_t stragglers_{0}; ///< as of the last check
    /// Reasons for no copy that were reported for runs with a reservation.
    std::set<std::pair<task_run, run_event_kind>> reported_no_copy_;
    relocation_table relocations_;
    time_point relocated_at_{}; ///< last call of relocate()
    /// Runs without a sign of their workers at the last tick, and those placed
    /// since.
    std::size_t unconfirmed_{0};
    bool is_fenced_{false};
    bool needs_plan_{true};
    bool is_behind_{false};
    bool was_behind_{false}; ///< is_behind() before the current plan
    bool was_cut_{false};    ///< the last pass ended at its limit of visits
    /// Failed searches made after this are not repeated, since the last pass
    /// has put off earlier ones.
    time_point repeats_until_{time_point::max()};
};

} // namespace apricotlb

#endif
