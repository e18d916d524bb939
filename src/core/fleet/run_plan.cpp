#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace apricotlb
{

namespace
{

/// True for a task that has run before.
auto is_restart(workflow_record const& record, workflow_task const& task)
    -> bool
{
    return record.find(task)->last > run_number{};
}

auto has_task_over_target(worker_entry const& worker) -> bool
{
    return std::ranges::any_of(
        worker.runs, [](auto const& each)
        { return each.second.latency_ratio > config::pace_cut_above; });
}

/// Visits by which one search counts, however few workers it looks at.
constexpr std::size_t search_visits = 20;

} // namespace

auto run_scheduler::make_candidate(workflow_record const& record,
                                   workflow_task const& task, run_number number)
    -> candidate_run
{
    auto const& step = record.step(task);
    auto const has_run = record.find(task)->last > run_number{};
    return {&record,
            &step,
            task,
            number,
            step.permanent && has_run,
            record.is_suspect(task),
            images_.ref(step.image)};
}

auto run_scheduler::place_single(worker_search& search,
                                 candidate_run const& candidate,
                                 plan_pass& pass) -> bool
{
    auto* const worker = next_worker(search, candidate, pass);
    if (worker == nullptr)
    {
        return false;
    }
    reserve(*worker, candidate);
    update_shares(worker->second, pass.now);
    search.options.push_back({score_of(*worker, candidate, pass), worker});
    std::ranges::push_heap(search.options, is_worse);
    pass.placed.push_back({{candidate.task, candidate.number},
                           {worker->first, worker->second.incarnation}});
    return true;
}

auto run_scheduler::place_after_latency_wait(ranked_step const& step,
                                             candidate_run const& candidate,
                                             plan_pass& pass) -> bool
{
    ready_step const key{step.record->accepted, step.first.occurrence,
                         step.first.step};
    // Each permanent task counts by itself.
    auto const has_run =
        !candidate.step->permanent && step.record->has_active_run(step.first);
    if (has_run || !is_mostly_idle(pass, pool_of(*step.record)))
    {
        latency_waits_.erase(key);
        return false;
    }
    auto& wait =
        latency_waits_.try_emplace(key, latency_wait{pass.now}).first->second;
    wait.seen_at = pass.now;
    if (pass.now - wait.since < config::max_latency_wait ||
        pass.latency_wait_searches == 0)
    {
        return false;
    }
    --pass.latency_wait_searches;
    auto* const worker = choose_above_headroom(candidate, pass);
    if (worker == nullptr)
    {
        // Steps that no worker can take leave the next searches to others.
        wait.since = pass.now;
        return false;
    }
    reserve(*worker, candidate);
    task_run const run{candidate.task, candidate.number};
    worker->second.runs.at(run).exceeds_headroom = true;
    update_shares(worker->second, pass.now);
    worker_instance const instance{worker->first, worker->second.incarnation};
    pass.placed.push_back({run, instance});
    events_.push_back({run_event_kind::exceeds_headroom, run, instance});
    latency_waits_.erase(key);
    return true;
}

/// Places all members of a gang or none; they share one run number.
auto run_scheduler::place_gang(workflow_task const& first,
                               workflow_record const& record, plan_pass& pass)
    -> bool
{
    auto const& tasks = record.occurrences[first.occurrence.value()]
                            .steps[first.step.value()]
                            .tasks;
    run_number last;
    for (auto const& each : tasks)
    {
        last = std::max(last, each.last);
        if (!each.active.empty())
        {
            return true;
        }
    }
    std::vector<placed_run> placed;
    for (std::uint32_t n = 0; n < tasks.size(); ++n)
    {
        auto task = first;
        task.index = task_index{n};
        auto const candidate =
            make_candidate(record, task, last + run_number{1});
        auto* const worker = choose_worker(candidate, pass);
        if (worker == nullptr)
        {
            for (auto const& each : placed)
            {
                cancel_reservation(each.run);
            }
            return false;
        }
        reserve(*worker, candidate);
        update_shares(worker->second, pass.now);
        placed.push_back({{task, candidate.number},
                          {worker->first, worker->second.incarnation}});
    }
    pass.placed.insert(pass.placed.end(), placed.begin(), placed.end());
    return true;
}

/// Places a gang unless it has found no workers a short time ago.
auto run_scheduler::try_gang(workflow_task const& gang,
                             workflow_record const& record, plan_pass& pass)
    -> void
{
    auto const known = failed_gangs_.find(gang);
    auto const was_tried = known != failed_gangs_.end();
    if (was_tried &&
        (known->second == pass.now || !may_repeat_search(known->second, pass)))
    {
        pass.behind.insert(pool_of(record));
        return;
    }
    auto const visits_before = pass.visits;
    auto const done = place_gang(gang, record, pass);
    if (was_tried)
    {
        pass.repeat_visits += pass.visits - visits_before;
    }
    if (done)
    {
        failed_gangs_.erase(gang);
    }
    else
    {
        failed_gangs_[gang] = pass.now;
        pass.behind.insert(pool_of(record));
    }
}

auto run_scheduler::summary(time_point now) -> fleet_summary
{
    fleet_summary out;
    out.ready = static_cast<std::int64_t>(state_.workflows().ready_count());
    out.ready_in_time = ready_by_worth_[0];
    out.ready_late = ready_by_worth_[1];
    out.ready_without_worth = ready_by_worth_[2];
    out.held = static_cast<std::int64_t>(held_.size());
    forecast_.advance(state_.workflows(), now);
    out.expected_waits = forecast_.expected_waits(now);
    out.stragglers = stragglers_;
    out.evacuated = static_cast<std::int64_t>(state_.evacuations().size());
    out.relocating = static_cast<std::int64_t>(relocations_.size());
    out.targets_missed = tasks_over_target(now);
    out.unmeasured = count_unmeasured(now);
    for (auto const& [id, worker] : workers_)
    {
        auto const is_left = is_evacuated(worker);
        out.workers += worker.is_usable(now) && !is_left ? 1 : 0;
        out.evacuated_runs += is_left ? std::ssize(worker.runs) : 0;
        out.cold += worker.warm_up.is_cold(now) ? 1 : 0;
        out.serving += worker.is_serving() ? 1 : 0;
        out.over_target += has_task_over_target(worker) ? 1 : 0;
        out.free_cores += worker.free().cores.value() / 1000;
        out.polls += worker.poll_in_flight ? 1 : 0;
        out.silent += !worker.runs.empty() && now - worker.last_contact >=
                                                  config::worker_contact_timeout
                          ? 1
                          : 0;
        out.fenced += worker.is_fenced && !worker.incarnation_ended ? 1 : 0;
        out.unrecorded += std::ssize(worker.unrecorded);
        out.stops_unanswered += std::ranges::count_if(
            worker.unrecorded, [now](auto const& each)
            { return now - each.second.since > config::reported_wait; });
        for (auto const& [run, held] : worker.runs)
        {
            out.inherited += held.phase == run_phase::inherited ? 1 : 0;
            out.unconfirmed += held.phase == run_phase::ordered ? 1 : 0;
            out.starts_unanswered += held.is_start_overdue(now) ? 1 : 0;
            out.stops_unanswered += held.is_stop_overdue(now) ? 1 : 0;
            out.copies += held.is_copy ? 1 : 0;
            if (held.phase == run_phase::running)
            {
                ++out.running;
                out.permanent += held.permanent ? 1 : 0;
                out.scavenging += held.scavenges ? 1 : 0;
                out.slowed +=
                    held.scavenges && held.pace < permille{1000} ? 1 : 0;
            }
        }
    }
    return out;
}

/// Steps with tasks that may start now, the first to be placed first: permanent
/// tasks that have run before, whose users wait for them; by priority; then
/// tasks that end before new permanent ones, which would keep the resources for
/// minutes; then by the value that completion still has for the caller.
auto run_scheduler::ranked_steps(time_point now, wall_time wall)
    -> std::vector<ranked_step>
{
    std::vector<ranked_step> order;
    workflow_record const* record{nullptr};
    occurrence_index occurrence;
    queue_priority priority;
    millicores* cores{nullptr};
    time_point since;
    urgency urgency_rank;
    auto occurrence_is_due = false;
    ready_by_worth_ = {};
    ready_cores_.clear();
    for (auto const& [step, ready] : state_.workflows().ready())
    {
        auto const is_next_workflow =
            record == nullptr || record->accepted != step.accepted;
        if (is_next_workflow)
        {
            record = state_.workflows().find(ready.workflow);
            auto const* const queue =
                state_.contract_sets().queue(record->terms.name);
            priority =
                queue != nullptr ? queue->priority : record->terms.priority;
            cores = &ready_cores_[queue != nullptr ? queue->pool
                                                   : record->terms.pool];
        }
        if (is_next_workflow || occurrence != step.occurrence)
        {
            occurrence = step.occurrence;
            occurrence_is_due = is_due(*record, occurrence, wall);
            if (occurrence_is_due)
            {
                since =
                    ready_since_.try_emplace({step.accepted, occurrence}, now)
                        .first->second;
                urgency_rank = urgency_of(*record, occurrence, since, now);
            }
        }
        if (!occurrence_is_due)
        {
            continue;
        }
        ready_by_worth_[static_cast<std::size_t>(urgency_rank.worth)] +=
            std::ssize(ready.tasks);
        workflow_task const first{ready.workflow, occurrence, step.step, {}};
        auto const& spec = record->step(first);
        auto const permanent = spec.permanent;
        if (!permanent && !spec.scavenges &&
            urgency_rank.worth == worth_left::full)
        {
            *cores +=
                millicores{std::ssize(ready.tasks) * spec.each.cores.value()};
        }
        auto const rank = permanent ? oldest_first(since) : urgency_rank;
        auto const restarts =
            permanent
                ? std::ranges::count_if(ready.tasks,
                                        [&](task_index index)
                                        {
                                            auto task = first;
                                            task.index = index;
                                            return is_restart(*record, task);
                                        })
                : 0;
        if (restarts > 0)
        {
            order.push_back(
                {false, priority, permanent, rank, first, &ready, record});
        }
        if (restarts < std::ssize(ready.tasks))
        {
            order.push_back(
                {true, priority, permanent, rank, first, &ready, record});
        }
    }
    std::ranges::stable_sort(order, {},
                             [](ranked_step const& step)
                             {
                                 return std::tuple{step.is_new, step.priority,
                                                   step.permanent,
                                                   step.urgency_rank};
                             });
    return order;
}

auto run_scheduler::place_step(ranked_step const& step, plan_pass& pass) -> bool
{
    auto const& record = *step.record;
    auto const& spec = record.step(step.first);
    std::optional<worker_search> search;
    auto task = step.first;
    for (auto const index : step.ready->tasks)
    {
        task.index = index;
        auto const restarts = spec.permanent && is_restart(record, task);
        if (restarts == step.is_new || proposed_.contains(task) ||
            is_finishing_late(record, task))
        {
            continue;
        }
        // A gang may exceed the limit, which may be less than its size.
        if (unconfirmed_ + pass.placed.size() >= config::max_unconfirmed_starts)
        {
            return false;
        }
        pass.is_cut = pass.visits >= plan_pass::max_visits;
        if (pass.is_cut)
        {
            return false;
        }
        pass.visits += search_visits;
        if (spec.gang)
        {
            try_gang(step.first, record, pass);
            if (failed_gangs_.contains(step.first))
            {
                note_shortage(step, pass);
            }
            return true;
        }
        auto const candidate = make_candidate(
            record, task, record.find(task)->last + run_number{1});
        if (!search || search->is_suspect != candidate.is_suspect)
        {
            search = begin_search(candidate, pass);
        }
        auto const placed =
            place_single(*search, candidate, pass) ||
            (spec.scavenges && place_after_latency_wait(step, candidate, pass));
        if (candidate.is_restart)
        {
            waits_.record(task, placed ? pass_result::placed
                                       : pass_result::no_worker);
        }
        if (!placed)
        {
            note_shortage(step, pass);
        }
        // No worker takes the other tasks of the step either.
        if (!placed && !candidate.is_restart && !candidate.is_suspect)
        {
            return true;
        }
        if (!placed && candidate.is_restart)
        {
            hold_worker(candidate, pass);
        }
    }
    return true;
}

auto run_scheduler::drop_unused_searches(bool is_complete, time_point now)
    -> void
{
    auto const oldest_use =
        is_complete ? now : now - config::unused_search_validity;
    std::erase_if(failed_searches_, [oldest_use](auto const& each)
                  { return each.second.used_at < oldest_use; });
    std::erase_if(failed_gangs_, [oldest_use](auto const& each)
                  { return each.second < oldest_use; });
    auto const& ready = state_.workflows().ready();
    std::erase_if(latency_waits_,
                  [&](auto const& each)
                  {
                      return (is_complete && each.second.seen_at < now) ||
                             !ready.contains(each.first);
                  });
}

auto run_scheduler::plan(time_point now, wall_time wall) -> void
{
    needs_plan_ = false;
    relocate(now);
    was_behind_ = std::exchange(is_behind_, false);
    if (state_.workflows().ready().empty())
    {
        held_.clear();
        failed_searches_.clear();
        failed_gangs_.clear();
        latency_waits_.clear();
        forecast_.on_pass({}, {}, now);
    }
    auto const stragglers = check_stragglers(now);
    auto const has_work =
        !state_.workflows().ready().empty() || !stragglers.empty();
    if (!has_work || unconfirmed_ >= config::max_unconfirmed_starts)
    {
        waits_.begin_pass(pass_result::paused);
        return;
    }
    waits_.begin_pass(pass_result::unreached);
    auto pass = make_pass(now);
    auto const steps = ranked_steps(now, wall);
    auto const is_complete = std::ranges::all_of(
        steps, [&](ranked_step const& step) { return place_step(step, pass); });
    if (is_complete)
    {
        forecast_.on_pass(pass.short_of, ready_cores_, now);
    }
    else
    {
        forecast_.on_cut_pass(pass.short_of, now);
    }
    place_copies(stragglers, is_complete, pass);
    end_holds(pass);
    is_behind_ = pass.is_behind || (pass.is_cut && was_behind_);
    was_cut_ = pass.is_cut;
    repeats_until_ = pass.newest_put_off.value_or(time_point::max());
    needs_plan_ = pass.is_cut;
    drop_unused_searches(is_complete, now);
    unconfirmed_ += pass.placed.size();
    for (std::size_t begin = 0; begin < pass.placed.size();
         begin += config::max_runs_per_command)
    {
        auto const end =
            std::min(begin + config::max_runs_per_command, pass.placed.size());
        start_runs starts{
            {pass.placed.begin() + static_cast<std::ptrdiff_t>(begin),
             pass.placed.begin() + static_cast<std::ptrdiff_t>(end)}};
        starts.places = unrecorded_places(starts.runs, now);
        actions_.emplace_back(propose_starts{std::move(starts)});
    }
}

} // namespace apricotlb
