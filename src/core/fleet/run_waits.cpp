#include "core/fleet/run_waits.hpp"

#include "core/fleet/run_scheduler.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <map>
#include <ranges>
#include <utility>
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

auto name_of(stall_cause it) -> std::string_view
{
    constexpr std::array<std::string_view, 6> names{
        "proposed",  "paused",        "gang_active",
        "no_worker", "failed_search", "unreached"};
    return names.at(static_cast<std::size_t>(it));
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
                                    plan_pass& pass, obstacle_counts& counts,
                                    millicores& largest_free) const -> void
{
    auto const& pool = pool_of(*candidate.record);
    auto const& usable = pass.pools[pool];
    auto const in_pool = std::ranges::count_if(
        workers_, [&pool](auto const& worker)
        { return worker.second.info && worker.second.info->pool == pool; });
    counts.add(placement_obstacle::unusable, in_pool - std::ssize(usable));
    for (auto const* const worker : usable)
    {
        counts.add(obstacle_to(*worker, candidate, pass));
        largest_free = std::max(largest_free, worker->second.free().cores);
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
    return out;
}

/// Only the steps that were accepted first are looked at: a walk over all of a
/// long backlog would take the time of a pass.
auto run_scheduler::longest_stalls(time_point now, wall_time wall)
    -> std::vector<stalled_step>
{
    std::map<ready_step, time_point> stalled;
    std::vector<stalled_step> out;
    for (auto const& [step, ready] :
         state_.workflows().ready() |
             std::views::take(config::max_followed_steps))
    {
        auto const& record = *state_.workflows().find(ready.workflow);
        workflow_task const task{ready.workflow, step.occurrence, step.step,
                                 *ready.tasks.begin()};
        auto const& spec = record.step(task);
        // Other tasks of a permanent step or of a gang are no progress.
        auto const stands_still =
            spec.permanent || spec.gang || !record.has_active_run(task);
        if (!stands_still || !is_due(record, step.occurrence, wall))
        {
            continue;
        }
        auto const known = stalled_since_.find(step);
        auto const since = known == stalled_since_.end() ? now : known->second;
        stalled.emplace(step, since);
        if (now - since >= config::reported_wait)
        {
            stalled_step found;
            found.task = task;
            found.waiting = task_count{std::ssize(ready.tasks)};
            found.waited = now - since;
            out.push_back(std::move(found));
        }
    }
    stalled_since_ = std::move(stalled);
    std::ranges::stable_sort(out, std::greater{}, &stalled_step::waited);
    out.resize(std::min(out.size(), config::max_reported_waits));
    return out;
}

auto run_scheduler::longest_unanswered(time_point now) const
    -> std::vector<unanswered_start>
{
    std::vector<unanswered_start> out;
    for (auto const& [id, worker] : workers_)
    {
        for (auto const& [run, held] : worker.runs)
        {
            if (!held.is_start_overdue(now))
            {
                continue;
            }
            unanswered_start found;
            found.run = run;
            found.worker = {id, worker.incarnation};
            found.waited = now - *held.ordered_at;
            found.orders = held.starts_sent;
            found.order_in_flight = held.order_in_flight;
            if (worker.unanswered_since)
            {
                found.worker_unanswered = now - *worker.unanswered_since;
            }
            found.contact_age = now - worker.last_contact;
            out.push_back(std::move(found));
        }
    }
    std::ranges::stable_sort(out, std::greater{}, &unanswered_start::waited);
    out.resize(std::min(out.size(), config::max_reported_waits));
    return out;
}

auto run_scheduler::longest_unstopped(time_point now) const
    -> std::vector<unanswered_stop>
{
    std::vector<unanswered_stop> out;
    for (auto const& [id, worker] : workers_)
    {
        auto const silence = worker.unanswered_since
                                 ? std::optional{now - *worker.unanswered_since}
                                 : std::nullopt;
        for (auto const& [run, held] : worker.runs)
        {
            if (held.is_stop_overdue(now))
            {
                out.push_back({run,
                               {id, worker.incarnation},
                               now - held.stopping_since,
                               held.stops_sent,
                               held.order_in_flight,
                               silence,
                               now - worker.last_contact});
            }
        }
        for (auto const& [run, stop] : worker.unrecorded)
        {
            if (now - stop.since > config::reported_wait)
            {
                out.push_back({run,
                               {id, worker.incarnation},
                               now - stop.since,
                               stop.orders,
                               stop.order_in_flight,
                               silence,
                               now - worker.last_contact,
                               false});
            }
        }
    }
    std::ranges::stable_sort(out, std::greater{}, &unanswered_stop::waited);
    out.resize(std::min(out.size(), config::max_reported_waits));
    return out;
}

auto run_scheduler::uncontacted_workers(time_point now) const
    -> std::vector<uncontacted_worker>
{
    std::vector<uncontacted_worker> out;
    auto const waited = now - leading_since_;
    if (waited < config::reported_wait)
    {
        return out;
    }
    for (auto const& [id, it] : workers_)
    {
        if (!it.runs.empty() && !it.is_contacted())
        {
            out.push_back({{id, it.incarnation},
                           std::ssize(it.runs),
                           it.place.has_value(),
                           waited});
        }
    }
    std::ranges::stable_sort(out, std::greater{}, &uncontacted_worker::runs);
    out.resize(std::min(out.size(), config::max_reported_waits));
    return out;
}

auto run_scheduler::stall_cause_of(candidate_run const& candidate,
                                   bool has_worker) const -> stall_cause
{
    auto const& task = candidate.task;
    if (proposed_.contains(task))
    {
        return stall_cause::proposed;
    }
    if (unconfirmed_ >= config::max_unconfirmed_starts)
    {
        return stall_cause::paused;
    }
    if (candidate.step->gang && candidate.record->has_active_run(task))
    {
        return stall_cause::gang_active;
    }
    if (!has_worker)
    {
        return stall_cause::no_worker;
    }
    auto first = task;
    first.index = {};
    auto const is_known =
        candidate.step->gang
            ? failed_gangs_.contains(first)
            : failed_searches_.contains(placement_key_of(candidate));
    return is_known ? stall_cause::failed_search : stall_cause::unreached;
}

auto run_scheduler::longest_waiting(time_point now, wall_time wall)
    -> waiting_work
{
    waiting_work out{longest_waits(now), longest_stalls(now, wall),
                     longest_unanswered(now), longest_unstopped(now),
                     uncontacted_workers(now)};
    if (out.restarts.empty() && out.steps.empty())
    {
        return out;
    }
    auto pass = make_pass(now);
    for (auto& it : out.restarts)
    {
        auto const& record = *state_.workflows().find(it.task.workflow);
        auto const candidate = make_candidate(record, it.task, {});
        it.required_cores = reservation_of(*candidate.step).cores;
        count_obstacles(candidate, pass, it.workers, it.largest_free_cores);
    }
    for (auto& it : out.steps)
    {
        auto const& record = *state_.workflows().find(it.task.workflow);
        auto const candidate = make_candidate(record, it.task, {});
        it.scavenges = candidate.step->scavenges;
        it.required_cores = candidate.step->each.cores;
        count_obstacles(candidate, pass, it.workers, it.largest_free_cores);
        it.cause =
            stall_cause_of(candidate, it.workers[placement_obstacle::none] > 0);
    }
    return out;
}

} // namespace apricotlb
