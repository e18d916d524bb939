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

/// Lower is better; compared from left to right.
using preference = std::tuple<int, std::int64_t, std::int64_t>;

/// Order of the workers for a permanent task: first those that serve its image
/// alone, then free ones. A scavenging image disturbs few serving images, so a
/// worker with one serving image stays open to most of them.
auto company_rank(worker_entry const& at, step_spec const& step) -> std::int64_t
{
    if (step.latency_target <= milliseconds{0})
    {
        return 0;
    }
    if (!at.is_serving())
    {
        return 1;
    }
    auto const is_alone =
        at.serving.size() == 1 && at.serving.contains(step.image);
    return is_alone ? 0 : 2;
}

auto has_label(worker_announcement const& it, worker_label const& label) -> bool
{
    return label.value().empty() ||
           std::ranges::find(it.labels, label) != it.labels.end();
}

auto same_step(workflow_task const& a, workflow_task const& b) -> bool
{
    return a.step == b.step && a.occurrence == b.occurrence &&
           a.workflow == b.workflow;
}

auto count_step(worker_entry const& at, workflow_task const& task)
    -> std::int64_t
{
    return std::ranges::count_if(at.runs, [&task](auto const& each)
                                 { return same_step(each.first.task, task); });
}

/// Processors that tasks on a worker are thought to use: half of what is
/// reserved, as serving tasks are seldom busy, and all that scavenging tasks
/// ask for.
auto load_of(worker_entry const& at) -> millicores
{
    return millicores{at.held.cores.value() / 2} + at.scavenged;
}

/// A serving task there is slower than its target allows.
auto is_strained(worker_entry const& at) -> bool
{
    return std::ranges::any_of(
        at.runs, [](auto const& each)
        { return each.second.strain > config::pace_cut_above; });
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
            step.max_per_worker > task_count{0} ? record.spec.id
                                                : workflow_id{}};
}

/// May get new runs as far as its state goes.
auto is_usable(worker_entry const& at, time_point now) -> bool
{
    return at.info && !at.gone && at.info->phase == worker_phase::ready &&
           now - at.heard < config::worker_contact_timeout &&
           now >= at.paused_until && at.lease.is_sampled();
}

} // namespace

auto run_scheduler::pool_of(workflow_record const& it) const -> pool_name const&
{
    auto const* const queue = state_.contract_sets().queue(it.terms.name);
    return queue != nullptr ? queue->pool : it.terms.pool;
}

auto run_scheduler::start_pass(time_point now) -> plan_pass
{
    plan_pass pass;
    pass.now = now;
    for (auto& at : workers_)
    {
        if (is_usable(at.second, now))
        {
            pass.pools[at.second.info->pool].push_back(&at);
        }
    }
    return pass;
}

/// True if one more scavenging task of an image leaves the serving tasks of a
/// worker within their latency targets. Their figures do not show the tasks
/// that started last.
auto run_scheduler::leaves_targets(worker_entry const& at,
                                   image_name const& image,
                                   time_point now) const -> bool
{
    auto const extra = was_behind_ ? config::headroom_when_behind : permille{};
    std::vector<image_name> more{image};
    for (auto const& [run, held] : at.runs)
    {
        auto const is_shown = held.phase == run_phase::running &&
                              now - held.settled >= config::effect_delay;
        if (held.scavenges && !is_shown)
        {
            more.push_back(held.image);
        }
    }
    return std::ranges::all_of(
        at.runs,
        [&](auto const& each)
        {
            auto const& held = each.second;
            auto const is_harmless =
                disturbance_.suspects(image, held.image, now) ==
                suspicion::none;
            auto const most = is_harmless ? config::harmless_headroom
                                          : config::disturbance_headroom;
            return !held.is_serving() ||
                   disturbance_.expected(held.image, held.latency_target,
                                         held.strain, more,
                                         now) <= most + extra;
        });
}

auto run_scheduler::may_scavenge(entry_ref const& it, step_spec const& step,
                                 plan_pass& pass) const -> bool
{
    auto const& entry = it.second;
    if (load_of(entry) + step.each.cores > entry.info->capacity.cores)
    {
        return false;
    }
    if (!entry.is_serving())
    {
        return true;
    }
    auto const [known, added] =
        pass.tolerated.try_emplace({it.first, step.image}, true);
    if (added)
    {
        known->second = leaves_targets(entry, step.image, pass.now);
    }
    return known->second;
}

auto run_scheduler::may_take(entry_ref const& it, wanted_run const& want,
                             plan_pass& pass) const -> bool
{
    auto const& entry = it.second;
    auto const& step = *want.step;
    return room_of(step).fits_into(entry.free()) &&
           has_label(*entry.info, step.requires_label) &&
           (step.max_per_worker == task_count{0} ||
            count_step(entry, want.task) < step.max_per_worker.value()) &&
           (!step.scavenges || may_scavenge(it, step, pass));
}

auto run_scheduler::choose(wanted_run const& want, plan_pass& pass)
    -> entry_ref*
{
    auto const& step = *want.step;
    entry_ref* best{nullptr};
    preference best_score{};
    for (auto* const it : pass.pools[pool_of(*want.record)])
    {
        auto const& entry = it->second;
        auto const is_near = step.data_rack.value().empty() ||
                             step.data_rack == entry.info->rack;
        auto const free = entry.free().cores.value();
        preference score;
        if (step.scavenges)
        {
            // Where it disturbs least; effects apart by less than the step
            // are not told from each other.
            auto const effect = disturbance_.largest_effect(
                step.image, entry.serving, pass.now);
            score = {entry.is_serving() ? 1 : 0,
                     effect.value() / config::min_significant_effect.value(),
                     load_of(entry).value()};
        }
        else if (step.permanent)
        {
            // Together, so that other workers stay free for scavenging tasks,
            // which would disturb them.
            score = {is_near ? 0 : 1, company_rank(entry, step), free};
        }
        else
        {
            // Best fit leaves the large gaps for large tasks.
            score = {is_near ? 0 : 1, free, 0};
        }
        if ((best == nullptr || score < best_score) &&
            may_take(*it, want, pass))
        {
            best = it;
            best_score = score;
        }
    }
    return best;
}

auto run_scheduler::place_one(ready_task const& it,
                              workflow_record const& record, plan_pass& pass)
    -> bool
{
    auto const last = record.find(it.task)->last;
    wanted_run const want{&record, &record.step(it.task), it.task,
                          last + run_number{1}};
    auto* const at = choose(want, pass);
    if (at == nullptr)
    {
        return false;
    }
    hold(*at, want);
    if (want.step->scavenges)
    {
        std::erase_if(pass.tolerated, [at](auto const& each)
                      { return each.first.first == at->first; });
    }
    pass.placed.push_back(
        {{want.task, want.number}, {at->first, at->second.incarnation}});
    return true;
}

/// All members or none; they share the number of the run.
auto run_scheduler::place_gang(ready_task const& it,
                               workflow_record const& record, plan_pass& pass)
    -> void
{
    auto const& tasks = record.occurrences[it.task.occurrence.value()]
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
        wanted_run const want{&record, &record.step(task), task,
                              last + run_number{1}};
        auto* const at = choose(want, pass);
        if (at == nullptr)
        {
            for (auto const& each : placed)
            {
                proposed_.erase(each.run.task);
                release(each.run, pass.now);
            }
            return;
        }
        hold(*at, want);
        placed.push_back(
            {{task, want.number}, {at->first, at->second.incarnation}});
    }
    pass.placed.insert(pass.placed.end(), placed.begin(), placed.end());
}

auto run_scheduler::summary(time_point now) const -> fleet_summary
{
    fleet_summary out;
    out.ready = static_cast<std::int64_t>(state_.workflows().ready().size());
    for (auto const& [id, it] : workers_)
    {
        out.workers += is_usable(it, now) ? 1 : 0;
        out.serving += it.is_serving() ? 1 : 0;
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

/// Tasks that may start now, best first: by priority; short work before tasks
/// that stay for minutes and would take the room that it needs; then by what
/// the caller still gains.
auto run_scheduler::ranked_tasks(time_point now, wall_time wall)
    -> std::vector<ranked_task>
{
    std::vector<ranked_task> order;
    workflow_record const* record{nullptr};
    std::optional<occurrence_index> occurrence; ///< that `need` is of
    queue_priority priority;
    urgency need;
    for (auto const& it : state_.workflows().ready())
    {
        if (order.size() >= config::max_tasks_per_pass)
        {
            break;
        }
        auto const is_other =
            record == nullptr || record->accepted != it.accepted;
        if (is_other)
        {
            occurrence.reset();
            record = state_.workflows().find(it.task.workflow);
            auto const* const queue =
                state_.contract_sets().queue(record->terms.name);
            priority =
                queue != nullptr ? queue->priority : record->terms.priority;
        }
        auto const& repeats = record->spec.repeats;
        auto const due =
            repeats.first + repeats.interval * it.task.occurrence.value();
        auto const is_due =
            repeats.times.value() == 0 || wall.time_since_epoch() >= due;
        if (!is_due || proposed_.contains(it.task))
        {
            continue;
        }
        if (occurrence != it.task.occurrence)
        {
            occurrence = it.task.occurrence;
            auto const since =
                since_.try_emplace({it.accepted, it.task.occurrence}, now)
                    .first->second;
            need = urgency_of(*record, it.task.occurrence, since, now);
        }
        order.push_back(
            {priority, record->step(it.task).permanent, need, &it, record});
    }
    std::ranges::stable_sort(
        order, {},
        [](ranked_task const& it) {
            return std::tuple{it.priority, it.permanent, it.need};
        });
    return order;
}

auto run_scheduler::plan(time_point now, wall_time wall) -> void
{
    wants_plan_ = false;
    was_behind_ = std::exchange(is_behind_, false);
    if (fenced_ || state_.workflows().ready().empty())
    {
        return;
    }
    auto const order = ranked_tasks(now, wall);
    auto pass = start_pass(now);
    std::set<refused_size> refused;
    for (auto const& it : order)
    {
        auto const& step = it.record->step(it.task->task);
        if (step.gang)
        {
            if (!proposed_.contains(it.task->task))
            {
                place_gang(*it.task, *it.record, pass);
            }
            continue;
        }
        auto size = size_of(*it.record, step);
        if (!refused.contains(size) && !place_one(*it.task, *it.record, pass))
        {
            refused.insert(std::move(size));
        }
    }
    is_behind_ = !refused.empty();
    for (std::size_t n = 0; n < pass.placed.size();
         n += config::max_runs_per_command)
    {
        auto const end =
            std::min(n + config::max_runs_per_command, pass.placed.size());
        actions_.emplace_back(propose_starts{
            {{pass.placed.begin() + static_cast<std::ptrdiff_t>(n),
              pass.placed.begin() + static_cast<std::ptrdiff_t>(end)}}});
    }
}

} // namespace apricotlb
