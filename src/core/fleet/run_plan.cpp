#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace apricotlb
{

namespace
{

/// Lower is better; compared from left to right.
using preference = std::tuple<int, std::int64_t, std::int64_t>;

auto has_label(worker_announcement const& it, worker_label const& label) -> bool
{
    return label.value().empty() ||
           std::ranges::find(it.labels, label) != it.labels.end();
}

auto same_step(workflow_task const& a, workflow_task const& b) -> bool
{
    return a.workflow == b.workflow && a.occurrence == b.occurrence &&
           a.step == b.step;
}

auto count_step(worker_entry const& at, workflow_task const& task)
    -> std::int64_t
{
    return std::ranges::count_if(at.runs, [&task](auto const& each)
                                 { return same_step(each.first.task, task); });
}

/// Processors that tasks on a worker are thought to use: half of what is
/// reserved for tasks that serve, and all that scavenging tasks ask for.
auto load_of(worker_entry const& at, state_machine const& state) -> std::int64_t
{
    auto load = at.held.cores.value() / 2;
    for (auto const& [run, it] : at.runs)
    {
        auto const* const record = state.workflows().find(run.task.workflow);
        if (it.scavenges && record != nullptr)
        {
            load += record->step(run.task).each.cores.value();
        }
    }
    return load;
}

/// A serving task there is slower than its target allows.
auto is_strained(worker_entry const& at) -> bool
{
    return std::ranges::any_of(
        at.runs, [](auto const& each)
        { return each.second.strain > config::pace_cut_above; });
}

auto serves_beside(worker_entry const& at) -> bool
{
    return std::ranges::any_of(
        at.runs, [](auto const& each)
        { return each.second.latency_target > milliseconds{0}; });
}

/// What decides whether a task finds a worker. Tasks that differ in none of it
/// share the answer of one search. A limit on tasks of a step for each worker
/// is that of its workflow.
using refused_size = std::tuple<pool_name, worker_label, image_name, bool,
                                std::int64_t, std::int64_t, workflow_id>;

auto size_of(workflow_record const& record, step_spec const& step)
    -> refused_size
{
    return {record.terms.pool,
            step.requires_label,
            step.scavenges ? step.image : image_name{},
            step.scavenges,
            step.each.cores.value(),
            step.each.memory.value(),
            step.most_per_worker > task_count{0} ? record.spec.id
                                                 : workflow_id{}};
}

/// May get new runs as far as its state goes.
auto is_usable(worker_entry const& at, time_point now) -> bool
{
    return at.info && !at.gone && at.info->phase == worker_phase::ready &&
           now - at.heard < config::fleet_silence && now >= at.paused_until &&
           at.lease.is_sampled();
}

} // namespace

auto run_scheduler::may_take(entry_ref const& at, wanted_run const& want,
                             time_point now) const -> bool
{
    auto const& entry = at.second;
    auto const& step = want.record->step(want.task);
    auto const* const queue =
        state_.contract_sets().queue(want.record->terms.name);
    auto const& pool = queue != nullptr ? queue->pool : want.record->terms.pool;
    if (!is_usable(entry, now) || entry.info->pool != pool ||
        !has_label(*entry.info, step.requires_label))
    {
        return false;
    }
    auto room = step.each;
    if (step.scavenges)
    {
        room.cores = millicores{0};
        if (!may_scavenge(at, step, now))
        {
            return false;
        }
    }
    return room.fits_into(entry.free()) &&
           (step.most_per_worker == task_count{0} ||
            count_step(entry, want.task) < step.most_per_worker.value());
}

/// Leaves the serving tasks of a worker within their latency targets.
auto run_scheduler::may_scavenge(entry_ref const& at, step_spec const& step,
                                 time_point now) const -> bool
{
    auto const& entry = at.second;
    if (load_of(entry, state_) + step.each.cores.value() >
        entry.info->capacity.cores.value())
    {
        return false;
    }
    return std::ranges::all_of(
        entry.runs,
        [&](auto const& each)
        {
            auto const& it = each.second;
            return it.latency_target <= milliseconds{0} ||
                   (it.strain <= config::pace_cut_above &&
                    disturbance_.expected(at.first, it.image, it.latency_target,
                                          step.image,
                                          now) <= config::disturbance_headroom);
        });
}

auto run_scheduler::choose(wanted_run const& want, time_point now) -> entry_ref*
{
    auto const& step = want.record->step(want.task);
    entry_ref* best{nullptr};
    preference best_score{};
    for (auto& at : workers_)
    {
        if (!may_take(at, want, now))
        {
            continue;
        }
        auto const& entry = at.second;
        auto const is_near = step.data_rack.value().empty() ||
                             step.data_rack == entry.info->rack;
        auto const free = entry.free().cores.value();
        preference score;
        if (step.scavenges)
        {
            score = {serves_beside(entry) ? 1 : 0, load_of(entry, state_), 0};
        }
        else if (step.permanent)
        {
            // Together, so that other workers stay free for scavenging tasks,
            // which would disturb them.
            score = {is_near ? 0 : 1, serves_beside(entry) ? 0 : 1, free};
        }
        else
        {
            // Best fit leaves the large gaps for large tasks.
            score = {is_near ? 0 : 1, free, 0};
        }
        if (best == nullptr || score < best_score)
        {
            best = &at;
            best_score = score;
        }
    }
    return best;
}

auto run_scheduler::place_one(ready_task const& it, time_point now,
                              std::vector<placed_run>& out) -> void
{
    auto const* const record = state_.workflows().find(it.task.workflow);
    auto const last = record->find(it.task)->last;
    wanted_run const want{record, it.task, last + run_number{1}};
    if (auto* const at = choose(want, now); at != nullptr)
    {
        hold(*at, want);
        out.push_back({{want.task, want.number}, {at->first, at->second.born}});
    }
}

/// All members or none; they share the number of the run.
auto run_scheduler::place_gang(ready_task const& it, time_point now,
                               std::vector<placed_run>& out) -> void
{
    auto const* const record = state_.workflows().find(it.task.workflow);
    auto const& tasks = record->occurrences[it.task.occurrence.value()]
                            .steps[it.task.step.value()]
                            .tasks;
    run_number last;
    for (auto const& each : tasks)
    {
        last = std::max(last, each.last);
        if (!each.active.empty())
        {
            return;
        }
    }
    std::vector<placed_run> placed;
    for (std::uint32_t n = 0; n < tasks.size(); ++n)
    {
        auto task = it.task;
        task.index = task_index{n};
        wanted_run const want{record, task, last + run_number{1}};
        auto* const at = choose(want, now);
        if (at == nullptr)
        {
            for (auto const& each : placed)
            {
                proposed_.erase(each.run.task);
                release(each.run, now);
            }
            return;
        }
        hold(*at, want);
        placed.push_back({{task, want.number}, {at->first, at->second.born}});
    }
    out.insert(out.end(), placed.begin(), placed.end());
}

auto run_scheduler::summary(time_point now) const -> fleet_summary
{
    fleet_summary out;
    out.ready = static_cast<std::int64_t>(state_.workflows().ready().size());
    for (auto const& [id, it] : workers_)
    {
        out.workers += is_usable(it, now) ? 1 : 0;
        out.serving += serves_beside(it) ? 1 : 0;
        out.strained += is_strained(it) ? 1 : 0;
        out.free_cores += it.free().cores.value() / 1000;
        for (auto const& [run, held] : it.runs)
        {
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

auto run_scheduler::plan(time_point now, wall_time wall) -> void
{
    wants_plan_ = false;
    if (fenced_)
    {
        return;
    }
    using ranked = std::pair<queue_priority, ready_task const*>;
    std::vector<ranked> order;
    for (auto const& it : state_.workflows().ready())
    {
        if (order.size() >= config::plan_visits)
        {
            break;
        }
        auto const* const record = state_.workflows().find(it.task.workflow);
        auto const& repeats = record->spec.repeats;
        auto const due =
            repeats.first + repeats.interval * it.task.occurrence.value();
        if (proposed_.contains(it.task) ||
            (repeats.times.value() > 0 && wall.time_since_epoch() < due))
        {
            continue;
        }
        auto const* const queue =
            state_.contract_sets().queue(record->terms.name);
        order.emplace_back(
            queue != nullptr ? queue->priority : record->terms.priority, &it);
    }
    std::ranges::stable_sort(order, {}, &ranked::first);
    std::vector<placed_run> placed;
    std::set<refused_size> refused;
    for (auto const& [priority, it] : order)
    {
        if (proposed_.contains(it->task))
        {
            continue;
        }
        auto const* const record = state_.workflows().find(it->task.workflow);
        if (record->step(it->task).gang)
        {
            place_gang(*it, now, placed);
        }
        else if (auto const size = size_of(*record, record->step(it->task));
                 !refused.contains(size))
        {
            auto const before = placed.size();
            place_one(*it, now, placed);
            if (placed.size() == before)
            {
                refused.insert(size);
            }
        }
        if (placed.size() >= config::runs_per_command)
        {
            actions_.emplace_back(propose_starts{{std::exchange(placed, {})}});
        }
    }
    if (!placed.empty())
    {
        actions_.emplace_back(propose_starts{{std::move(placed)}});
    }
}

} // namespace apricotlb
