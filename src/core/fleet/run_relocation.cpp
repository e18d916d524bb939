#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <vector>

namespace apricotlb
{

auto run_scheduler::step_tasks(workflow_record const& record,
                               workflow_task const& first, time_point now)
    -> std::vector<step_task>
{
    auto const& tasks = record.occurrences[first.occurrence.value()]
                            .steps[first.step.value()]
                            .tasks;
    std::vector<step_task> out;
    auto task = first;
    for (std::uint32_t n = 0; n < tasks.size(); ++n)
    {
        task.index = task_index{n};
        step_task it{task.index};
        if (tasks[n].finished)
        {
            it.presence = task_presence::over;
        }
        else if (relocations_.is_moving(task))
        {
            it.presence = task_presence::moving;
        }
        for (auto const& run : tasks[n].active)
        {
            auto const [worker, held] = find(task_run{task, run.number});
            auto const is_at_work =
                held != nullptr && held->phase == run_phase::running &&
                now - held->settled_at >= config::relocation_start_time &&
                now - worker->second.last_contact <
                    config::worker_contact_timeout;
            if (is_at_work && it.presence == task_presence::away)
            {
                it.presence = task_presence::at_work;
                it.must_move =
                    is_evacuated(worker->second) || worker->second.is_leaving();
            }
        }
        out.push_back(it);
    }
    return out;
}

auto run_scheduler::relocate_from(identified_worker& worker, plan_pass& pass)
    -> void
{
    for (auto& [run, held] : worker.second.runs)
    {
        auto const* const record = state_.workflows().find(run.task.workflow);
        if (!held.permanent || held.phase != run_phase::running ||
            held.order_in_flight || record == nullptr || !record->is_open() ||
            record->step(run.task).gang)
        {
            continue;
        }
        auto first = run.task;
        first.index = {};
        auto const chosen =
            choose_relocation(step_tasks(*record, first, pass.now),
                              record->step(run.task).max_unavailable);
        if (chosen != run.task.index)
        {
            continue;
        }
        auto const candidate =
            make_candidate(*record, run.task, run.number + run_number{1});
        auto const& pool = pass.pools[pool_of(*record)];
        auto const target = std::ranges::find_if(
            pool,
            [&](identified_worker* const it)
            {
                ++pass.visits;
                return !relocations_.is_target(it->first, pass.now) &&
                       can_place(*it, candidate, pass);
            });
        if (target == pool.end())
        {
            continue;
        }
        relocations_.record(run.task, (*target)->first, pass.now);
        events_.push_back({run_event_kind::relocated,
                           run,
                           {worker.first, worker.second.incarnation}});
        send_stop(worker, run, held, pass.now);
    }
}

/// True if a scavenging task has been paused for config::max_paused_time
/// beside a serving task that it would harm, and has a checkpoint from which it
/// can continue on another worker.
auto run_scheduler::must_move(worker_entry const& worker, held_run const& held,
                              time_point now) const -> bool
{
    auto const is_harmed = [&](auto const& run)
    {
        auto const& serving = run.second;
        return serving.is_serving() &&
               interference_.is_harmful(held.image, serving.image,
                                        serving.latency_target, now);
    };
    return held.pace == permille{0} &&
           now - held.pace_changed_at >= config::max_paused_time &&
           !held.checkpoint.value().empty() &&
           std::ranges::any_of(worker.runs, is_harmed);
}

/// A task for which no other worker has room stays: it keeps what it has done,
/// and goes on as soon as the latencies allow.
auto run_scheduler::move_paused(identified_worker& worker, plan_pass& pass)
    -> void
{
    for (auto& [run, held] : worker.second.runs)
    {
        auto const* const record = state_.workflows().find(run.task.workflow);
        if (held.phase != run_phase::running || held.order_in_flight ||
            record == nullptr || !must_move(worker.second, held, pass.now))
        {
            continue;
        }
        auto const candidate =
            make_candidate(*record, run.task, run.number + run_number{1});
        auto& pool = pass.pools[pool_of(*record)];
        auto const target = std::ranges::find_if(
            pool,
            [&](identified_worker* const it)
            {
                ++pass.visits;
                return it != &worker && can_place(*it, candidate, pass);
            });
        if (target != pool.end())
        {
            // Each target takes one task until the next call.
            pool.erase(target);
            send_stop(worker, run, held, pass.now);
        }
    }
}

auto run_scheduler::relocate(time_point now) -> void
{
    relocations_.prune(now);
    if (now - relocated_at_ < config::relocation_interval)
    {
        return;
    }
    relocated_at_ = now;
    std::vector<identified_worker*> sources;
    std::vector<identified_worker*> paused;
    for (auto& worker : workers_)
    {
        auto const& entry = worker.second;
        auto const has_permanent =
            entry.info && !entry.incarnation_ended && !entry.is_fenced &&
            (entry.is_leaving() || is_evacuated(entry)) &&
            std::ranges::any_of(entry.runs, [](auto const& each)
                                { return each.second.permanent; });
        if (has_permanent)
        {
            sources.push_back(&worker);
        }
        if (std::ranges::any_of(entry.runs, [&](auto const& each)
                                { return must_move(entry, each.second, now); }))
        {
            paused.push_back(&worker);
        }
    }
    if (sources.empty() && paused.empty())
    {
        return;
    }
    auto pass = make_pass(now);
    for (auto* const worker : sources)
    {
        if (pass.visits < plan_pass::max_visits)
        {
            relocate_from(*worker, pass);
        }
    }
    for (auto* const worker : paused)
    {
        if (pass.visits < plan_pass::max_visits)
        {
            move_paused(*worker, pass);
        }
    }
}

} // namespace apricotlb
