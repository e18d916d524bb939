/// Workflows, their steps and the runs of each task.
#ifndef APRICOTLB_CORE_STATE_WORKFLOW_TABLE_HPP
#define APRICOTLB_CORE_STATE_WORKFLOW_TABLE_HPP

#include "core/state/commands.hpp"
#include "core/state/contract_set_registry.hpp"
#include "core/state/worker_places.hpp"

#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// A recorded run whose end is not recorded yet.
struct active_run
{
    run_number number;
    worker_instance worker;

    static constexpr auto fields()
    {
        return field_list(field("number", &active_run::number),
                          field("where", &active_run::worker));
    }
};

struct task_progress
{
    run_number last;           ///< highest number of a run, 0 if none
    std::uint32_t failures{0}; ///< runs that ended as failed
    bool finished{false};
    checkpoint_id checkpoint;
    std::vector<active_run>
        active; ///< more than one with step_spec::allows_copies
    /// Runs that ended as crashed; those of a gang count for its first task.
    std::uint32_t crashes{0};
    run_number last_crashed; ///< highest number of such a run

    static constexpr auto fields()
    {
        return field_list(field("last", &task_progress::last),
                          field("failures", &task_progress::failures),
                          field("finished", &task_progress::finished),
                          field("checkpoint", &task_progress::checkpoint),
                          field("active", &task_progress::active),
                          field("crashes", &task_progress::crashes),
                          field("last_crashed", &task_progress::last_crashed));
    }
};

template <>
inline constexpr std::size_t optional_fields<task_progress> = 2;

struct step_progress
{
    std::vector<task_progress> tasks;

    [[nodiscard]] auto is_finished() const -> bool;

    static constexpr auto fields()
    {
        return field_list(field("tasks", &step_progress::tasks));
    }
};

struct occurrence_progress
{
    std::vector<step_progress> steps;

    static constexpr auto fields()
    {
        return field_list(field("steps", &occurrence_progress::steps));
    }
};

/// A workflow that has unfinished tasks or active runs.
struct workflow_record
{
    workflow_spec spec;
    queue_contract terms; ///< contract of its queue when it was accepted
    revision accepted;
    bool started{false};
    bool cancelled{false};
    bool failed{false};
    std::vector<occurrence_progress> occurrences;
    wall_time submitted{}; ///< by the clock of the leader; 0 if not known

    [[nodiscard]] auto state() const -> workflow_state;
    /// True while runs of its tasks may start.
    [[nodiscard]] auto is_open() const -> bool;
    [[nodiscard]] auto step(workflow_task const& task) const -> step_spec const&
    {
        return spec.steps[task.step.value()];
    }
    /// True if a worker has crashed under a run of the task, or of its gang.
    [[nodiscard]] auto is_suspect(workflow_task const& task) const -> bool;
    /// Calls f(workflow_task, task_progress, active_run) for each active run.
    template <class F>
    auto for_each_active(F f) const -> void
    {
        for (std::uint32_t k = 0; k < occurrences.size(); ++k)
        {
            auto const& all_steps = occurrences[k].steps;
            for (std::uint32_t n = 0; n < all_steps.size(); ++n)
            {
                for (std::uint32_t i = 0; i < all_steps[n].tasks.size(); ++i)
                {
                    for (auto const& run : all_steps[n].tasks[i].active)
                    {
                        f(workflow_task{spec.id, occurrence_index{k},
                                        step_index{n}, task_index{i}},
                          all_steps[n].tasks[i], run);
                    }
                }
            }
        }
    }
    /// True if a task of the step of `task` has a run that has not ended.
    [[nodiscard]] auto has_active_run(workflow_task const& task) const -> bool;
    /// Null if the workflow has no such task.
    [[nodiscard]] auto find(workflow_task const& task) const
        -> task_progress const*;

    static constexpr auto fields()
    {
        return field_list(field("spec", &workflow_record::spec),
                          field("terms", &workflow_record::terms),
                          field("accepted", &workflow_record::accepted),
                          field("started", &workflow_record::started),
                          field("cancelled", &workflow_record::cancelled),
                          field("failed", &workflow_record::failed),
                          field("occurrences", &workflow_record::occurrences),
                          field("submitted", &workflow_record::submitted));
    }
};

/// Snapshots of earlier versions have no times of submission.
template <>
inline constexpr std::size_t optional_fields<workflow_record> = 1;

/// Record of a workflow after its end, or of a cancelling that arrived before
/// the submission.
struct ended_workflow
{
    workflow_id id;
    queue_name queue;
    workflow_state state{workflow_state::completed};
    wall_time at;
    /// False until the submission arrives. Empty otherwise, so that members of
    /// earlier versions read the records that they know.
    std::optional<bool> submitted{};

    [[nodiscard]] auto is_submitted() const -> bool
    {
        return submitted.value_or(true);
    }

    static constexpr auto fields()
    {
        return field_list(field("id", &ended_workflow::id),
                          field("queue", &ended_workflow::queue),
                          field("state", &ended_workflow::state),
                          field("at", &ended_workflow::at),
                          field("submitted", &ended_workflow::submitted));
    }
};

/// Snapshots of earlier versions hold submitted workflows only.
template <>
inline constexpr std::size_t optional_fields<ended_workflow> = 1;

struct workflows_snapshot
{
    std::vector<workflow_record> live;
    std::vector<ended_workflow> ended;
    std::optional<std::vector<worker_place>> places{};

    static constexpr auto fields()
    {
        return field_list(field("live", &workflows_snapshot::live),
                          field("ended", &workflows_snapshot::ended),
                          field("places", &workflows_snapshot::places));
    }
};

/// Snapshots of earlier versions have no places.
template <>
inline constexpr std::size_t optional_fields<workflows_snapshot> = 1;

/// A step with tasks that may be started. Ordered by the acceptance of
/// workflows.
struct ready_step
{
    revision accepted;
    occurrence_index occurrence;
    step_index step;

    auto operator<=>(ready_step const&) const = default;
};

/// The tasks of a step that may be started: the steps that it depends on have
/// finished, and they have no active run.
struct ready_tasks
{
    workflow_id workflow;
    std::set<task_index> tasks;

    auto operator==(ready_tasks const&) const -> bool = default;
};

/// Applies commands on workflows.
class workflow_table
{
public:
    workflow_table() = default;
    explicit workflow_table(workflows_snapshot from);

    /// Succeeds without a change for an id that is already recorded. Starts
    /// nothing of a workflow that was cancelled before.
    auto apply(submit_workflow const& it, revision at) -> apply_result;
    /// Succeeds without a change for an ended workflow. The cancelling of an
    /// unknown one is kept, as its submission may still be under way.
    auto apply(cancel_workflow const& it, revision at) -> apply_result;
    /// Records each run that may start and ignores the others.
    auto apply(start_runs const& it, revision at) -> apply_result;
    /// Ends each run that is active. An end as crashed also counts for a run
    /// that has ended as lost before, and a late end as finished finishes the
    /// task of one that has ended otherwise; other ends are ignored.
    auto apply(end_runs const& it, revision at,
               contract_set_registry const& contracts) -> apply_result;
    auto apply(expire_workflows const& it, revision at) -> apply_result;

    /// Null for an unknown or ended workflow.
    [[nodiscard]] auto find(workflow_id const& id) const
        -> workflow_record const*;
    /// State of a live or ended workflow; none if it was not submitted.
    [[nodiscard]] auto state(workflow_id const& id) const
        -> std::optional<workflow_state>;
    /// True if the run is recorded and its end is not.
    [[nodiscard]] auto is_active(task_run const& run) const -> bool;
    [[nodiscard]] auto live() const
        -> std::unordered_map<workflow_id, workflow_record> const&
    {
        return live_;
    }
    /// By step, so that a reader need not pass each of thousands of tasks.
    [[nodiscard]] auto ready() const -> std::map<ready_step, ready_tasks> const&
    {
        return ready_;
    }
    /// Number of tasks that may be started.
    [[nodiscard]] auto ready_count() const -> std::size_t
    {
        return ready_count_;
    }
    [[nodiscard]] auto is_ready(workflow_record const& record,
                                workflow_task const& task) const -> bool;
    /// Number of accepted workflows of a queue of which no task has started.
    [[nodiscard]] auto waiting_count(queue_name const& queue) const
        -> std::size_t;
    [[nodiscard]] auto ended_count() const -> std::size_t
    {
        return ended_.size();
    }

    /// Places of the workers that have active runs.
    [[nodiscard]] auto places() const -> worker_places const&
    {
        return places_;
    }

    [[nodiscard]] auto snapshot() const -> workflows_snapshot;

private:
    auto add_ready(workflow_record const& it, occurrence_index occurrence)
        -> void;
    auto add_ready_after(workflow_record const& it, workflow_task const& task)
        -> void;
    auto insert_ready(workflow_record const& it, workflow_task const& task)
        -> void;
    auto erase_ready(workflow_record const& it, workflow_task const& task)
        -> void;
    auto remove_ready(workflow_record const& it) -> void;
    auto record_end(workflow_record& record, ended_run const& ended,
                    contract_set_registry const& contracts) -> void;
    auto record_late_end(workflow_record& record, ended_run const& ended)
        -> void;
    auto finish_gang(workflow_record& record, workflow_task const& member)
        -> void;
    auto record_crash(workflow_record& record, task_run const& run) -> void;
    auto set_failed(workflow_record& record) -> void;
    auto cancel_unknown(cancel_workflow const& it, revision at) -> apply_result;
    auto count_waiting(workflow_record const& it, int sign) -> void;
    /// Moves a workflow to the ended ones if it has no tasks left to run and no
    /// active runs.
    auto retire_if_ended(workflow_record const& it, wall_time at) -> void;

    std::unordered_map<workflow_id, workflow_record> live_;
    std::map<workflow_id, ended_workflow> ended_;
    std::size_t early_cancellations_{0}; ///< in ended_, not submitted yet
    std::map<ready_step, ready_tasks> ready_;
    std::size_t ready_count_{0};
    std::map<queue_name, std::size_t> waiting_;
    worker_places places_;
};

} // namespace apricotlb

#endif
