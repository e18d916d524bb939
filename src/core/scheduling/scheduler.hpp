/// The leader's scheduler: takes events and reports, returns actions.
#ifndef APRICOTLB_CORE_SCHEDULING_SCHEDULER_HPP
#define APRICOTLB_CORE_SCHEDULING_SCHEDULER_HPP

#include "core/messages.hpp"
#include "core/scheduling/commitments.hpp"
#include "core/scheduling/explain.hpp"
#include "core/scheduling/guard.hpp"
#include "core/scheduling/interference.hpp"
#include "core/scheduling/placement.hpp"
#include "core/scheduling/policy.hpp"
#include "core/scheduling/scheduler_state.hpp"
#include "core/scheduling/task_leases.hpp"
#include "core/scheduling/task_queue.hpp"
#include "core/scheduling/work_model.hpp"
#include "core/scheduling/worker_health.hpp"

#include <apricotlb/config.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace apricotlb
{

/// Counters for metrics and benchmarks.
struct scheduler_counters
{
    std::uint64_t placements{0};
    std::uint64_t failed_searches{0}; ///< searches without a suitable worker
    std::uint64_t evictions{0};       ///< by the guard
    std::uint64_t demotions{0};       ///< running stragglers requeued
    std::uint64_t throttles{0};       ///< throttled workers
    std::uint64_t releases{0};        ///< workers whose throttling was lifted
    std::uint64_t lost{0};            ///< attempts whose lease expired
    std::uint64_t quarantines{0};
    std::uint64_t given_up{0}; ///< tasks that failed too often
};

/// Decides where and when tasks run. The caller passes in the events applied
/// from the log, in order, and the reports on workers and latencies;
/// take_actions() returns the actions to execute. A new leader constructs a new
/// scheduler and passes in the current contracts, workers, jobs, tasks and
/// placed attempts, in this order.
class scheduler
{
public:
    class builder;

    // Applied events.
    auto contract_set(contract const& it, time_point now) -> void;
    auto contract_removed(customer_id const& it, time_point now) -> void;
    auto worker_registered(worker_info const& it, time_point now) -> void;
    auto worker_retired(worker_id const& it, time_point now) -> void;
    /// No attempts are placed on the workers of an evacuated zone.
    auto zone_evacuated(zone_id const& zone, time_point now) -> void;
    auto zone_returned(zone_id const& zone, time_point now) -> void;
    auto job_submitted(job_spec const& it, time_point now) -> void;
    auto job_cancelled(customer_id const& customer, job_id const& job,
                       time_point now) -> void;
    auto attempt_placed(place_task const& it, time_point now) -> void;
    auto attempt_ended(end_attempt const& it, time_point now) -> void;

    // Events that only a new leader passes in.
    auto task_restored(restored_task const& it, time_point now) -> void;
    auto interference_restored(std::span<interference_entry const> entries,
                               time_point now) -> void;

    /// Undoes the effects of a proposal that the log did not accept or that was
    /// refused when it was applied.
    auto proposal_refused(command const& it, time_point now) -> void;

    /// Renews leases and proposes the reported ends. Duplicate and late reports
    /// are accepted.
    [[nodiscard]] auto on_report(worker_report const& it, time_point now)
        -> worker_report_answer;

    auto on_latency(latency_report const& it, backend_info const& backend,
                    time_point now) -> void;

    /// Places waiting tasks, repeats commands, ends expired attempts and runs
    /// the guard. Expected to be called every 20 to 100 ms.
    auto tick(time_point now, random_bits random) -> void;

    /// Returns the actions to execute, in order, and clears the list.
    [[nodiscard]] auto take_actions() -> std::vector<scheduler_action>;

    /// Why a task waits, runs on its worker or was moved; not_found for a task
    /// that is unknown, or whose job is no longer among the last
    /// max_explained_jobs ended ones.
    [[nodiscard]] auto explain(customer_id const& customer,
                               task_id const& task) const
        -> result<explanation>;

    [[nodiscard]] auto counters() const -> scheduler_counters const&
    {
        return counters_;
    }

    /// Free resources of a worker; nullopt for an unknown worker.
    [[nodiscard]] auto free_on(worker_id const& it) const
        -> std::optional<resources>;

    /// Expected slowdown of a service by one task of a kind of work.
    [[nodiscard]] auto slowdown(work_kind const& kind,
                                service_name const& service,
                                time_point now) const -> pair_estimate;

private:
    using attempt_entry = scheduler_detail::attempt_entry;
    using attempt_slot = scheduler_detail::attempt_slot;
    using job_entry = scheduler_detail::job_entry;
    using task_entry = scheduler_detail::task_entry;
    using worker_entry = scheduler_detail::worker_entry;

    explicit scheduler(scheduler_policy policy);

    // Look-ups.
    [[nodiscard]] auto find_job(customer_id const& customer,
                                job_id const& job) const
        -> std::optional<job_ref>;
    [[nodiscard]] auto find_task(customer_id const& customer,
                                 task_id const& task) const
        -> std::optional<task_ref>;
    auto job_of(task_ref it) -> job_entry& { return jobs_[pos(it.job)]; }
    auto task_of(task_ref it) -> task_entry&
    {
        return jobs_[pos(it.job)].tasks[it.index.value()];
    }
    auto attempt_at(attempt_slot it) -> attempt_entry&
    {
        return attempts_[pos(it)];
    }
    [[nodiscard]] auto id_of(attempt_entry const& it) const -> attempt_id;
    [[nodiscard]] auto customer_of(attempt_entry const& it) const
        -> customer_id const&;

    // Tasks.
    auto make_waiting(task_ref task, time_point now) -> void;
    auto make_final(task_ref task, task_state state) -> void;
    auto requeue(job_ref job, bool demoted, time_point now) -> void;
    [[nodiscard]] auto level_for(job_entry const& job, bool demoted) const
        -> queue_level;
    auto retire_job(job_ref job) -> void;

    // Attempts.
    auto add_attempt(attempt_entry entry, time_point now) -> attempt_slot;
    auto remove_attempt(attempt_slot slot, time_point now) -> void;
    auto propose_end(attempt_entry& it, attempt_end end,
                     std::optional<checkpoint_id> checkpoint, bool give_up)
        -> void;
    auto request_end(attempt_slot slot,
                     scheduler_detail::end_request requested_end,
                     move_reason reason, time_point now) -> void;
    auto send_pending_command(attempt_slot slot, time_point now) -> void;
    auto send_start(attempt_entry& it, time_point now) -> void;
    auto schedule_repeat(attempt_slot slot, time_point now) -> void;

    // Reports.
    auto on_running(worker_ref worker, attempt_report const& it, time_point now,
                    worker_report_answer& answer) -> void;
    auto on_ended(worker_ref worker, ended_report const& it, time_point now,
                  worker_report_answer& answer) -> void;
    auto consider_demotion(attempt_slot slot, time_point now) -> void;

    // Workers.
    auto refresh_worker(worker_ref worker, time_point now) -> void;
    auto refresh_workers(time_point now) -> void;
    auto check_workers(time_point now) -> void;
    auto run_guard(time_point now) -> void;
    [[nodiscard]] auto is_harmful(worker_ref worker, kind_ref kind,
                                  time_point now) const -> bool;
    auto set_throttle(worker_ref worker, permille to, time_point now) -> void;
    auto evict_most_harmful(worker_ref worker, time_point now) -> void;

    // Placement.
    auto dispatch(time_point now, random_bits random) -> void;
    auto try_place(queue_pick const& pick, time_point now, random_bits random)
        -> task_reason;
    [[nodiscard]] auto cost_on(worker_ref worker, kind_ref kind, bool forced,
                               time_point now) const -> interference_cost;
    auto hold_worker(queue_pick const& pick, resources const& need,
                     permille share, time_point now, random_bits random)
        -> void;
    auto release_hold(queue_item item) -> void;

    scheduler_policy policy_;
    scheduler_counters counters_;
    std::vector<scheduler_action> actions_;

    interner<customer_id, customer_ref> customer_ids_;
    interner<worker_id, worker_ref> worker_ids_;
    interner<rack_id, rack_ref> rack_ids_;
    interner<zone_id, zone_ref> zone_ids_;
    interner<work_kind, kind_ref> kind_ids_;
    interner<service_name, service_ref> service_ids_;

    std::vector<scheduler_detail::customer_entry> customers_;
    std::vector<worker_entry> workers_;
    std::vector<job_entry> jobs_;
    std::vector<job_ref> free_jobs_;
    std::deque<job_ref> ended_jobs_; ///< kept for explain()
    std::vector<attempt_entry> attempts_;
    std::vector<attempt_slot> free_attempts_;
    std::uint64_t next_order_{0};

    struct repeat_entry
    {
        time_point due;
        attempt_slot slot;
        task_ref task;
        attempt_number number;
    };
    std::deque<repeat_entry> repeats_; ///< sorted by due time

    commitments commitments_;
    task_queue queue_;
    placement placement_;
    service_interference interference_;
    guard guard_;
    worker_health health_;
    std::set<zone_id> evacuated_;
    task_leases leases_;
    work_model work_;
    std::map<queue_item, scheduler_detail::hold_entry> holds_;
    std::vector<resources> failed_needs_; ///< that found no worker in this tick
    bool capacity_freed_{false};          ///< since the last resume_deferred()
    bool is_capacity_short_{false};       ///< batch work found no capacity
    bool is_round_cut_{false};            ///< by max_failed_tries_per_tick
    time_point last_resume_;
    time_point last_check_;
    time_point last_save_;
};

class scheduler::builder
{
public:
    auto policy(scheduler_policy it) -> builder&
    {
        policy_ = it;
        return *this;
    }
    [[nodiscard]] auto build() const -> scheduler { return scheduler{policy_}; }

private:
    scheduler_policy policy_;
};

} // namespace apricotlb

#endif
