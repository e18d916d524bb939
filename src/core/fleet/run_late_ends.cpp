#include "core/fleet/run_scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

namespace
{

/// The members of a gang finish together.
auto finishing_task(workflow_record const& record, workflow_task task)
    -> workflow_task
{
    if (record.step(task).gang)
    {
        task.index = task_index{0};
    }
    return task;
}

} // namespace

/// Once a worker has been told to forget that a run has finished, nobody can
/// show it any more, so that the log must say so, and no run of the task may
/// start. A task that has started again all the same cannot keep that: its end
/// stays listed until the lease of the worker has ended.
auto run_scheduler::take_late_end(identified_worker& worker,
                                  ended_run const& listed,
                                  propose_ends& proposal) -> bool
{
    if (listed.outcome != run_end::finished)
    {
        return true;
    }
    auto const& run = listed.run;
    auto const* const record = state_.workflows().find(run.task.workflow);
    if (record == nullptr)
    {
        // Another run has finished the task.
        return !worker.second.written_off.contains(run);
    }
    auto const* const task = record->find(run.task);
    if (task == nullptr || run.number > task->last ||
        record->step(run.task).permanent)
    {
        return true;
    }
    // A start that is proposed and not on record yet is not sent any more.
    auto const has_restarted =
        !record->step(run.task).allows_copies && run.number < task->last;
    if (!task->finished)
    {
        finishing_late_.insert(finishing_task(*record, run.task));
        proposal.listed_late.push_back(listed);
        events_.push_back({run_event_kind::late_end,
                           run,
                           {worker.first, worker.second.incarnation}});
    }
    if (has_restarted)
    {
        // The workflow may be gone by the next lists.
        worker.second.written_off.insert(run);
    }
    if (has_restarted && !worker.second.withheld_since)
    {
        events_.push_back({run_event_kind::end_withheld,
                           run,
                           {worker.first, worker.second.incarnation}});
    }
    return !has_restarted;
}

auto run_scheduler::is_finishing_late(workflow_record const& record,
                                      workflow_task const& task) const -> bool
{
    return finishing_late_.contains(finishing_task(record, task));
}

auto run_scheduler::end_late_proposals(propose_ends const& proposal) -> void
{
    for (auto const& ended : proposal.listed_late)
    {
        auto task = ended.run.task;
        finishing_late_.erase(task);
        task.index = task_index{0};
        finishing_late_.erase(task);
    }
}

auto run_scheduler::withhold_ends(worker_entry& worker, bool is_withheld,
                                  time_point now) -> void
{
    if (!is_withheld)
    {
        worker.withheld_since.reset();
        return;
    }
    worker.withheld_since = worker.withheld_since.value_or(now);
    // It does not wait for an end, since it has one to list.
    worker.next_poll_at =
        std::max(worker.next_poll_at, now + config::poll_retry_delay);
}

auto run_scheduler::prune_written_off(worker_entry& worker,
                                      std::vector<ended_row> const& rows)
    -> void
{
    if (worker.written_off.empty() || rows.size() >= config::max_listed_ends)
    {
        return;
    }
    std::set<task_run> listed;
    for (auto const& row : rows)
    {
        listed.insert(row.run.run);
    }
    std::erase_if(worker.written_off,
                  [&](task_run const& run)
                  {
                      return !listed.contains(run) &&
                             !worker.unrecorded.contains(run) &&
                             !worker.runs.contains(run);
                  });
}

} // namespace apricotlb
