#include "core/state/workflow_table.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <utility>

namespace apricotlb
{

namespace
{

auto answer_at(revision at) -> apply_result
{
    apply_result it;
    it.at = at;
    return it;
}

auto initial_progress(workflow_spec const& spec)
    -> std::vector<occurrence_progress>
{
    occurrence_progress occurrence;
    for (auto const& step : spec.steps)
    {
        occurrence.steps.emplace_back().tasks.resize(
            static_cast<std::size_t>(step.tasks.value()));
    }
    auto const times = std::max(spec.repeats.times.value(), 1U);
    return {times, occurrence};
}

auto has_active_run(workflow_record const& it) -> bool
{
    for (auto const& occurrence : it.occurrences)
    {
        for (auto const& step : occurrence.steps)
        {
            if (!std::ranges::all_of(step.tasks,
                                     &std::vector<active_run>::empty,
                                     &task_progress::active))
            {
                return true;
            }
        }
    }
    return false;
}

auto has_finished(workflow_record const& it) -> bool
{
    return std::ranges::all_of(it.occurrences,
                               [](occurrence_progress const& each) {
                                   return std::ranges::all_of(
                                       each.steps, &step_progress::is_finished);
                               });
}

/// Largest number of active runs of a task whose step allows duplicates.
constexpr std::size_t max_active_runs = 2;

auto may_start(workflow_record const& it, task_run const& run) -> bool
{
    auto const* const task = it.find(run.task);
    auto const max_runs = it.step(run.task).allows_copies ? max_active_runs : 1;
    return it.is_open() && !task->finished && run.number > task->last &&
           task->active.size() < max_runs;
}

} // namespace

auto step_progress::is_finished() const -> bool
{
    return std::ranges::all_of(tasks, &task_progress::finished);
}

auto workflow_record::state() const -> workflow_state
{
    if (failed)
    {
        return workflow_state::failed;
    }
    if (cancelled)
    {
        return workflow_state::cancelled;
    }
    if (has_finished(*this))
    {
        return workflow_state::completed;
    }
    return started ? workflow_state::running : workflow_state::queued;
}

auto workflow_record::is_open() const -> bool
{
    return !failed && !cancelled;
}

auto workflow_record::is_suspect(workflow_task const& task) const -> bool
{
    auto const& tasks =
        occurrences[task.occurrence.value()].steps[task.step.value()].tasks;
    auto const& counted =
        step(task).gang ? tasks.front() : tasks[task.index.value()];
    return counted.crashes > 0;
}

auto workflow_record::has_active_run(workflow_task const& task) const -> bool
{
    auto const& step =
        occurrences[task.occurrence.value()].steps[task.step.value()];
    return !std::ranges::all_of(step.tasks, &std::vector<active_run>::empty,
                                &task_progress::active);
}

auto workflow_record::find(workflow_task const& task) const
    -> task_progress const*
{
    if (task.occurrence.value() >= occurrences.size())
    {
        return nullptr;
    }
    auto const& steps = occurrences[task.occurrence.value()].steps;
    if (task.step.value() >= steps.size())
    {
        return nullptr;
    }
    auto const& tasks = steps[task.step.value()].tasks;
    return task.index.value() < tasks.size() ? &tasks[task.index.value()]
                                             : nullptr;
}

workflow_table::workflow_table(workflows_snapshot from)
{
    for (auto& it : from.live)
    {
        auto const& kept =
            live_.emplace(it.spec.id, std::move(it)).first->second;
        count_waiting(kept, 1);
        for (std::uint32_t n = 0; n < kept.occurrences.size(); ++n)
        {
            add_ready(kept, occurrence_index{n});
        }
        kept.for_each_active(
            [this](auto const&, auto const&, active_run const& run)
            { places_.add_run(run.worker); });
    }
    if (from.places)
    {
        places_.record(*from.places);
    }
    for (auto& it : from.ended)
    {
        auto const id = it.id;
        early_cancellations_ += it.is_submitted() ? 0 : 1;
        ended_.emplace(id, std::move(it));
    }
}

auto workflow_table::apply(submit_workflow const& it, revision at)
    -> apply_result
{
    if (state(it.spec.id))
    {
        return answer_at(at);
    }
    if (auto const early = ended_.find(it.spec.id); early != ended_.end())
    {
        auto& cancelled = early->second;
        cancelled.submitted.reset();
        --early_cancellations_;
        cancelled.queue = it.terms.name;
        cancelled.at = std::max(cancelled.at, it.submitted);
        return answer_at(at);
    }
    workflow_record record;
    record.spec = it.spec;
    record.terms = it.terms;
    record.accepted = at;
    record.submitted = it.submitted;
    record.occurrences = initial_progress(it.spec);
    auto const& kept =
        live_.emplace(it.spec.id, std::move(record)).first->second;
    count_waiting(kept, 1);
    for (std::uint32_t n = 0; n < kept.occurrences.size(); ++n)
    {
        add_ready(kept, occurrence_index{n});
    }
    return answer_at(at);
}

auto workflow_table::apply(cancel_workflow const& it, revision at)
    -> apply_result
{
    auto const found = live_.find(it.id);
    if (found == live_.end())
    {
        return cancel_unknown(it, at);
    }
    if (found->second.is_open())
    {
        count_waiting(found->second, -1);
        remove_ready(found->second);
        found->second.cancelled = true;
        retire_if_ended(found->second, it.at);
    }
    return answer_at(at);
}

/// Keeps the cancelling of a workflow that is not live: its submission may
/// still be under way.
auto workflow_table::cancel_unknown(cancel_workflow const& it, revision at)
    -> apply_result
{
    if (auto const known = ended_.find(it.id); known != ended_.end())
    {
        if (!known->second.is_submitted())
        {
            known->second.at = std::max(known->second.at, it.at);
        }
        return answer_at(at);
    }
    if (early_cancellations_ >= config::max_early_cancellations)
    {
        return apply_result::refuse(
            error_kind::queue_full,
            "too many workflows were cancelled before they arrived");
    }
    ++early_cancellations_;
    ended_.emplace(
        it.id,
        ended_workflow{it.id, {}, workflow_state::cancelled, it.at, false});
    return answer_at(at);
}

auto workflow_table::apply(start_runs const& it, revision at) -> apply_result
{
    for (auto const& placed : it.runs)
    {
        auto const& task = placed.run.task;
        auto const found = live_.find(task.workflow);
        if (found == live_.end() || found->second.find(task) == nullptr ||
            !may_start(found->second, placed.run))
        {
            continue;
        }
        auto& record = found->second;
        if (!record.started)
        {
            count_waiting(record, -1);
            record.started = true;
        }
        auto& progress = record.occurrences[task.occurrence.value()]
                             .steps[task.step.value()]
                             .tasks[task.index.value()];
        progress.last = placed.run.number;
        progress.active.push_back({placed.run.number, placed.worker});
        places_.add_run(placed.worker);
        erase_ready(record, task);
    }
    if (it.places)
    {
        places_.record(*it.places);
    }
    return answer_at(at);
}

auto workflow_table::apply(end_runs const& it, revision at,
                           contract_set_registry const& contracts)
    -> apply_result
{
    for (auto const& ended : it.runs)
    {
        auto const found = live_.find(ended.run.task.workflow);
        if (found == live_.end() ||
            found->second.find(ended.run.task) == nullptr)
        {
            continue;
        }
        if (is_active(ended.run))
        {
            record_end(found->second, ended, contracts);
            retire_if_ended(found->second, it.at);
        }
        else if (ended.outcome == run_end::crashed)
        {
            record_crash(found->second, ended.run);
            retire_if_ended(found->second, it.at);
        }
    }
    for (auto const& ended : it.listed_late.value_or(std::vector<ended_run>{}))
    {
        auto const found = live_.find(ended.run.task.workflow);
        if (found == live_.end() ||
            found->second.find(ended.run.task) == nullptr)
        {
            continue;
        }
        if (is_active(ended.run))
        {
            record_end(found->second, ended, contracts);
        }
        else
        {
            record_late_end(found->second, ended);
        }
        retire_if_ended(found->second, it.at);
    }
    return answer_at(at);
}

auto workflow_table::apply(expire_workflows const& it, revision at)
    -> apply_result
{
    std::erase_if(ended_,
                  [&](auto const& each)
                  {
                      auto const is_over = each.second.at < it.before;
                      if (is_over && !each.second.is_submitted())
                      {
                          --early_cancellations_;
                      }
                      return is_over;
                  });
    return answer_at(at);
}

auto workflow_table::record_end(workflow_record& record, ended_run const& ended,
                                contract_set_registry const& contracts) -> void
{
    auto const& task = ended.run.task;
    auto const& step = record.step(task);
    auto& tasks = record.occurrences[task.occurrence.value()]
                      .steps[task.step.value()]
                      .tasks;
    auto& progress = tasks[task.index.value()];
    auto const active = std::ranges::find(progress.active, ended.run.number,
                                          &active_run::number);
    places_.remove_run(active->worker);
    progress.active.erase(active);
    if (!ended.checkpoint.value().empty())
    {
        // A checkpoint of one task is valid for all tasks of its gang.
        for (auto& each : tasks)
        {
            if (step.gang || &each == &progress)
            {
                each.checkpoint = ended.checkpoint;
            }
        }
    }
    if (ended.outcome == run_end::finished && !step.permanent)
    {
        progress.finished = true;
        if (step.gang)
        {
            finish_gang(record, task);
        }
    }
    // All tasks of a gang fail together, and one of them reports the failure.
    auto& counted = step.gang ? tasks.front() : progress;
    if (ended.outcome == run_end::finished || ended.outcome == run_end::failed)
    {
        // The run has ended by itself, so that the task crashes no workers.
        counted.crashes = 0;
    }
    if (ended.outcome == run_end::crashed)
    {
        record_crash(record, ended.run);
    }
    if (ended.outcome == run_end::failed && !step.permanent)
    {
        ++counted.failures;
        auto const* const queue = contracts.queue(record.terms.name);
        auto const max_failures =
            queue != nullptr ? queue->max_failures : record.terms.max_failures;
        if (!counted.finished && counted.failures >= max_failures)
        {
            set_failed(record);
        }
    }
    add_ready_after(record, task);
}

/// A run that has ended as finished ends its task, even if it counted as lost
/// before. A later run of the task that is still active is of no use any more.
auto workflow_table::record_late_end(workflow_record& record,
                                     ended_run const& ended) -> void
{
    auto const& task = ended.run.task;
    auto const& step = record.step(task);
    auto& progress = record.occurrences[task.occurrence.value()]
                         .steps[task.step.value()]
                         .tasks[task.index.value()];
    if (ended.outcome != run_end::finished || step.permanent ||
        progress.finished || ended.run.number > progress.last)
    {
        return;
    }
    progress.finished = true;
    erase_ready(record, task);
    if (step.gang)
    {
        finish_gang(record, task);
    }
    add_ready_after(record, task);
}

/// The members of a gang finish together. One whose own run had ended before
/// waits for another one, which it does not need any more.
auto workflow_table::finish_gang(workflow_record& record,
                                 workflow_task const& member) -> void
{
    auto& tasks = record.occurrences[member.occurrence.value()]
                      .steps[member.step.value()]
                      .tasks;
    auto task = member;
    for (std::uint32_t n = 0; n < tasks.size(); ++n)
    {
        tasks[n].finished = true;
        task.index = task_index{n};
        erase_ready(record, task);
    }
}

/// Adds what may be started after the end of a run. A scan of all tasks of the
/// workflow after each of them would grow with the square of their number.
auto workflow_table::add_ready_after(workflow_record const& it,
                                     workflow_task const& task) -> void
{
    if (!it.is_open())
    {
        return;
    }
    auto const& step =
        it.occurrences[task.occurrence.value()].steps[task.step.value()];
    auto const& progress = step.tasks[task.index.value()];
    if (it.step(task).gang || step.is_finished())
    {
        add_ready(it, task.occurrence);
    }
    else if (!progress.finished && progress.active.empty())
    {
        insert_ready(it, task);
    }
}

/// Counts a crash once for a gang: its members share the number of their run.
auto workflow_table::record_crash(workflow_record& record, task_run const& run)
    -> void
{
    auto& tasks = record.occurrences[run.task.occurrence.value()]
                      .steps[run.task.step.value()]
                      .tasks;
    auto& counted = record.step(run.task).gang ? tasks.front()
                                               : tasks[run.task.index.value()];
    if (run.number <= counted.last_crashed || run.number > counted.last)
    {
        return;
    }
    counted.last_crashed = run.number;
    ++counted.crashes;
    if (!counted.finished && counted.crashes >= config::max_task_crashes)
    {
        set_failed(record);
    }
}

auto workflow_table::set_failed(workflow_record& record) -> void
{
    if (record.is_open())
    {
        count_waiting(record, -1);
        remove_ready(record);
        record.failed = true;
    }
}

/// Adds each task of an occurrence that may be started.
auto workflow_table::add_ready(workflow_record const& it,
                               occurrence_index occurrence) -> void
{
    if (!it.is_open())
    {
        return;
    }
    auto const& steps = it.occurrences[occurrence.value()].steps;
    for (std::uint32_t n = 0; n < steps.size(); ++n)
    {
        auto const is_done = [&steps](step_index of)
        { return steps[of.value()].is_finished(); };
        if (steps[n].is_finished() ||
            !std::ranges::all_of(it.spec.steps[n].prerequisites, is_done))
        {
            continue;
        }
        for (std::uint32_t k = 0; k < steps[n].tasks.size(); ++k)
        {
            auto const& task = steps[n].tasks[k];
            if (!task.finished && task.active.empty())
            {
                insert_ready(
                    it, {it.spec.id, occurrence, step_index{n}, task_index{k}});
            }
        }
    }
}

auto workflow_table::insert_ready(workflow_record const& it,
                                  workflow_task const& task) -> void
{
    auto& step = ready_[{it.accepted, task.occurrence, task.step}];
    if (step.tasks.empty())
    {
        step.workflow = it.spec.id;
    }
    ready_count_ += step.tasks.insert(task.index).second ? 1 : 0;
}

auto workflow_table::erase_ready(workflow_record const& it,
                                 workflow_task const& task) -> void
{
    auto const step = ready_.find({it.accepted, task.occurrence, task.step});
    if (step == ready_.end())
    {
        return;
    }
    ready_count_ -= step->second.tasks.erase(task.index);
    if (step->second.tasks.empty())
    {
        ready_.erase(step);
    }
}

auto workflow_table::remove_ready(workflow_record const& it) -> void
{
    auto const first = ready_.lower_bound({it.accepted, {}, {}});
    auto last = first;
    while (last != ready_.end() && last->first.accepted == it.accepted)
    {
        ready_count_ -= last->second.tasks.size();
        ++last;
    }
    ready_.erase(first, last);
}

auto workflow_table::is_ready(workflow_record const& record,
                              workflow_task const& task) const -> bool
{
    auto const step =
        ready_.find({record.accepted, task.occurrence, task.step});
    return step != ready_.end() && step->second.tasks.contains(task.index);
}

auto workflow_table::count_waiting(workflow_record const& it, int sign) -> void
{
    if (!it.started && it.is_open())
    {
        waiting_[it.terms.name] += static_cast<std::size_t>(sign);
    }
}

auto workflow_table::retire_if_ended(workflow_record const& it, wall_time at)
    -> void
{
    auto const is_over = !it.is_open() || has_finished(it);
    if (is_over && !has_active_run(it))
    {
        ended_[it.spec.id] = {it.spec.id, it.terms.name, it.state(), at};
        live_.erase(live_.find(it.spec.id));
    }
}

auto workflow_table::find(workflow_id const& id) const -> workflow_record const*
{
    auto const it = live_.find(id);
    return it == live_.end() ? nullptr : &it->second;
}

auto workflow_table::state(workflow_id const& id) const
    -> std::optional<workflow_state>
{
    if (auto const* const it = find(id); it != nullptr)
    {
        return it->state();
    }
    auto const it = ended_.find(id);
    if (it == ended_.end() || !it->second.is_submitted())
    {
        return std::nullopt;
    }
    return it->second.state;
}

auto workflow_table::is_active(task_run const& run) const -> bool
{
    auto const* const it = find(run.task.workflow);
    auto const* const task = it == nullptr ? nullptr : it->find(run.task);
    return task != nullptr &&
           std::ranges::find(task->active, run.number, &active_run::number) !=
               task->active.end();
}

auto workflow_table::waiting_count(queue_name const& queue) const -> std::size_t
{
    auto const it = waiting_.find(queue);
    return it == waiting_.end() ? 0 : it->second;
}

auto workflow_table::snapshot() const -> workflows_snapshot
{
    workflows_snapshot out;
    for (auto const& [id, it] : live_)
    {
        out.live.push_back(it);
    }
    // All members write the same bytes for the same state.
    std::ranges::sort(out.live, {},
                      [](workflow_record const& it) -> workflow_id const&
                      { return it.spec.id; });
    for (auto const& [id, it] : ended_)
    {
        out.ended.push_back(it);
    }
    out.places = places_.snapshot();
    return out;
}

} // namespace apricotlb
