#include "core/fleet/run_waits.hpp"

#include "core/fleet/run_scheduler.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <vector>

namespace apricotlb
{

auto name_of(pass_result it) -> std::string_view
{
    switch (it)
    {
    case pass_result::none:
        return "none";
    case pass_result::paused:
        return "paused";
    case pass_result::unreached:
        return "unreached";
    case pass_result::no_worker:
        return "no_worker";
    case pass_result::placed:
        break;
    }
    return "placed";
}

auto restart_waits::add(workflow_task const& task, time_point now) -> void
{
    auto& wait = waits_.try_emplace(task, restart_wait{now}).first->second;
    wait.last_pass = pass_result::none;
}

auto restart_waits::begin_pass(pass_result initial) -> void
{
    for (auto& [task, wait] : waits_)
    {
        if (wait.last_pass != pass_result::placed)
        {
            ++wait.passes;
            wait.last_pass = initial;
        }
    }
}

auto restart_waits::record(workflow_task const& task, pass_result result)
    -> void
{
    auto const found = waits_.find(task);
    if (found == waits_.end())
    {
        return;
    }
    auto& wait = found->second;
    wait.last_pass = result;
    wait.searches +=
        result == pass_result::no_worker || result == pass_result::placed ? 1
                                                                          : 0;
}

/// Begins a wait if the task is permanent and has no run.
auto run_scheduler::begin_wait(workflow_task const& task, time_point now)
    -> void
{
    auto const* const record = state_.workflows().find(task.workflow);
    if (record != nullptr && record->step(task).permanent &&
        state_.workflows().is_ready(*record, task))
    {
        waits_.add(task, now);
    }
}

/// Counts the waits that an earlier leader has left from the election on.
auto run_scheduler::inherit_waits(time_point now) -> void
{
    for (auto const& [step, ready] : state_.workflows().ready())
    {
        auto const* const record = state_.workflows().find(ready.workflow);
        workflow_task task{ready.workflow, step.occurrence, step.step, {}};
        if (!record->step(task).permanent)
        {
            continue;
        }
        for (auto const index : ready.tasks)
        {
            task.index = index;
            if (record->find(task)->last > run_number{})
            {
                waits_.add(task, now);
            }
        }
    }
}

auto run_scheduler::count_obstacles(candidate_run const& candidate,
                                    plan_pass& pass, wait_report& out) const
    -> void
{
    auto const& pool = pool_of(*candidate.record);
    auto const& usable = pass.pools[pool];
    auto const in_pool = std::ranges::count_if(
        workers_, [&pool](auto const& worker)
        { return worker.second.info && worker.second.info->pool == pool; });
    out.workers.add(placement_obstacle::unusable, in_pool - std::ssize(usable));
    for (auto const* const worker : usable)
    {
        out.workers.add(obstacle_to(*worker, candidate, pass));
        out.largest_free_cores =
            std::max(out.largest_free_cores, worker->second.free().cores);
    }
}

auto run_scheduler::longest_waits(time_point now) -> std::vector<wait_report>
{
    waits_.prune(
        [this](workflow_task const& task)
        {
            auto const* const record = state_.workflows().find(task.workflow);
            return record == nullptr || !record->is_open();
        });
    std::vector<wait_report> out;
    for (auto const& [task, wait] : waits_.all())
    {
        auto const waited = now - wait.since;
        if (waited > config::reported_wait)
        {
            out.push_back({task, wait, waited, {}, {}, {}});
        }
    }
    std::ranges::stable_sort(out, std::greater{}, &wait_report::waited);
    out.resize(std::min(out.size(), config::max_reported_waits));
    if (!out.empty())
    {
        auto pass = make_pass(now);
        for (auto& it : out)
        {
            auto const& record = *state_.workflows().find(it.task.workflow);
            auto const candidate = make_candidate(record, it.task, {});
            it.required_cores = reservation_of(*candidate.step).cores;
            count_obstacles(candidate, pass, it);
        }
    }
    return out;
}

} // namespace apricotlb
