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

/// Sort key of the workers for a task; lower is better.
using preference = std::tuple<int, std::int64_t, std::int64_t>;

/// Order of the workers for a permanent task with a latency target: first those
/// that serve only its image, then those that serve none, then the others. A
/// scavenging image slows few serving images down, so a worker with a single
/// serving image can still take most scavenging tasks.
auto colocation_rank(worker_entry const& worker, step_spec const& step)
    -> std::int64_t
{
    if (step.latency_target <= milliseconds{0})
    {
        return 0;
    }
    if (!worker.is_serving())
    {
        return 1;
    }
    auto const is_alone =
        worker.serving.size() == 1 && worker.serving.contains(step.image);
    return is_alone ? 0 : 2;
}

auto has_label(worker_announcement const& announcement,
               worker_label const& label) -> bool
{
    return label.value().empty() ||
           std::ranges::find(announcement.labels, label) !=
               announcement.labels.end();
}

auto is_same_step(workflow_task const& a, workflow_task const& b) -> bool
{
    return a.step == b.step && a.occurrence == b.occurrence &&
           a.workflow == b.workflow;
}

auto count_step_runs(worker_entry const& worker, workflow_task const& task)
    -> std::int64_t
{
    return std::ranges::count_if(worker.runs,
                                 [&task](auto const& run) {
                                     return is_same_step(run.first.task, task);
                                 });
}

/// Estimated processor use on a worker: half of what is reserved, as serving
/// tasks are seldom busy, and all that scavenging tasks request.
auto estimated_load(worker_entry const& worker) -> millicores
{
    return millicores{worker.reserved.cores.value() / 2} +
           worker.scavenged_cores;
}

auto has_task_over_target(worker_entry const& worker) -> bool
{
    return std::ranges::any_of(
        worker.runs, [](auto const& each)
        { return each.second.latency_ratio > config::pace_cut_above; });
}

/// Workers and serving images that one pass looks at, after which the next pass
/// goes on. The loop has to send heartbeats in between.
constexpr std::size_t max_visits_per_pass = 500'000;
/// Visits by which one effect of a scavenging image on a serving one counts.
constexpr std::size_t effect_visits = 2;

/// True if the state of a worker allows new runs.
auto is_usable(worker_entry const& worker, time_point now) -> bool
{
    return worker.info && !worker.incarnation_ended &&
           worker.info->phase == worker_phase::ready &&
           now - worker.last_contact < config::worker_contact_timeout &&
           now >= worker.paused_until && worker.lease.is_sampled();
}

} // namespace

auto run_scheduler::placement_key_of(workflow_record const& record,
                                     step_spec const& step, bool is_suspect)
    -> placement_key
{
    return {record.terms.pool,
            step.requires_label,
            step.scavenges ? step.image : image_name{},
            step.scavenges,
            is_suspect,
            step.each.cores.value(),
            step.each.memory.value(),
            step.max_per_worker > task_count{0} ? record.spec.id
                                                : workflow_id{}};
}

auto run_scheduler::pool_of(workflow_record const& record) const
    -> pool_name const&
{
    auto const* const queue = state_.contract_sets().queue(record.terms.name);
    return queue != nullptr ? queue->pool : record.terms.pool;
}

auto run_scheduler::make_pass(time_point now) -> plan_pass
{
    plan_pass pass;
    pass.now = now;
    for (auto& worker : workers_)
    {
        if (is_usable(worker.second, now) &&
            has_current_phase(worker.second, now))
        {
            pass.pools[worker.second.info->pool].push_back(&worker);
        }
    }
    return pass;
}

/// True if one more scavenging task of an image keeps the serving tasks of a
/// worker within their latency targets. The effect of scavenging tasks that
/// started within config::effect_delay is added, since the reported latencies
/// do not include it yet.
auto run_scheduler::keeps_latency_targets(worker_entry const& worker,
                                          image_name const& image,
                                          time_point now) const -> bool
{
    auto const extra = was_behind_ ? config::headroom_when_behind : permille{};
    std::vector<image_name> added_images{image};
    for (auto const& [run, held] : worker.runs)
    {
        auto const is_shown = held.phase == run_phase::running &&
                              now - held.settled_at >= config::effect_delay;
        if (held.scavenges && !is_shown)
        {
            added_images.push_back(held.image);
        }
    }
    return std::ranges::all_of(
        worker.runs,
        [&](auto const& each)
        {
            auto const& held = each.second;
            auto const is_harmless =
                interference_.interference_state_of(image, held.image, now) ==
                interference_state::none;
            auto const headroom = is_harmless ? config::harmless_headroom
                                              : config::disturbance_headroom;
            return !held.is_serving() ||
                   interference_.expected_ratio(
                       held.image, held.latency_target, held.latency_ratio,
                       added_images, now) <= headroom + extra;
        });
}

auto run_scheduler::may_scavenge(identified_worker const& worker,
                                 step_spec const& step, plan_pass& pass) const
    -> bool
{
    auto const& entry = worker.second;
    if (estimated_load(entry) + step.each.cores > entry.info->capacity.cores)
    {
        return false;
    }
    if (!entry.is_serving())
    {
        return true;
    }
    auto const [cached, added] =
        pass.scavenging_allowed.try_emplace({worker.first, step.image}, true);
    if (added)
    {
        cached->second = keeps_latency_targets(entry, step.image, pass.now);
    }
    return cached->second;
}

auto run_scheduler::has_other_suspect(worker_entry const& worker,
                                      candidate_run const& candidate,
                                      time_point now) -> bool
{
    return candidate.record->is_suspect(candidate.task) &&
           std::ranges::any_of(
               worker.runs,
               [&](auto const& each)
               {
                   // The members of a gang are one suspect.
                   auto const is_same =
                       candidate.step->gang &&
                       is_same_step(each.first.task, candidate.task);
                   return !is_same && each.second.is_unproven_suspect(now);
               });
}

auto run_scheduler::can_place(identified_worker const& worker,
                              candidate_run const& candidate,
                              plan_pass& pass) const -> bool
{
    auto const& entry = worker.second;
    auto const& step = *candidate.step;
    return reservation_of(step).fits_into(entry.free()) &&
           has_label(*entry.info, step.requires_label) &&
           (step.max_per_worker == task_count{0} ||
            count_step_runs(entry, candidate.task) <
                step.max_per_worker.value()) &&
           !has_other_suspect(entry, candidate, pass.now) &&
           (!step.scavenges || may_scavenge(worker, step, pass));
}

auto run_scheduler::choose_worker(candidate_run const& candidate,
                                  plan_pass& pass) -> identified_worker*
{
    auto const& step = *candidate.step;
    identified_worker* best{nullptr};
    preference best_score{};
    for (auto* const worker : pass.pools[pool_of(*candidate.record)])
    {
        auto const& entry = worker->second;
        auto const is_near = step.data_rack.value().empty() ||
                             step.data_rack == entry.info->rack;
        auto const free = entry.free().cores.value();
        preference score;
        ++pass.visits;
        if (step.scavenges)
        {
            pass.visits += effect_visits * entry.serving.size();
            // Workers without serving tasks first, then those with the smallest
            // effect. Differences below config::min_significant_effect are not
            // significant and do not count.
            auto const effect = interference_.largest_effect(
                step.image, entry.serving, pass.now);
            score = {entry.is_serving() ? 1 : 0,
                     effect.value() / config::min_significant_effect.value(),
                     estimated_load(entry).value()};
        }
        else if (step.permanent)
        {
            // Serving tasks are packed onto few workers, so that the others
            // stay free for scavenging tasks, which would slow them down.
            score = {is_near ? 0 : 1, colocation_rank(entry, step), free};
        }
        else
        {
            // Best fit leaves the large gaps for large tasks.
            score = {is_near ? 0 : 1, free, 0};
        }
        if ((best == nullptr || score < best_score) &&
            can_place(*worker, candidate, pass))
        {
            best = worker;
            best_score = score;
        }
    }
    return best;
}

auto run_scheduler::place_single(ready_task const& ready,
                                 workflow_record const& record, plan_pass& pass)
    -> bool
{
    auto const last = record.find(ready.task)->last;
    candidate_run const candidate{&record, &record.step(ready.task), ready.task,
                                  last + run_number{1}};
    auto* const worker = choose_worker(candidate, pass);
    if (worker == nullptr)
    {
        return false;
    }
    reserve(*worker, candidate);
    if (candidate.step->scavenges)
    {
        std::erase_if(pass.scavenging_allowed, [worker](auto const& cached)
                      { return cached.first.first == worker->first; });
    }
    pass.placed.push_back({{candidate.task, candidate.number},
                           {worker->first, worker->second.incarnation}});
    return true;
}

/// Places all members of a gang or none; they share one run number.
auto run_scheduler::place_gang(ready_task const& ready,
                               workflow_record const& record, plan_pass& pass)
    -> void
{
    auto const& tasks = record.occurrences[ready.task.occurrence.value()]
                            .steps[ready.task.step.value()]
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
        auto task = ready.task;
        task.index = task_index{n};
        candidate_run const candidate{&record, &record.step(task), task,
                                      last + run_number{1}};
        auto* const worker = choose_worker(candidate, pass);
        if (worker == nullptr)
        {
            for (auto const& each : placed)
            {
                proposed_.erase(each.run.task);
                release(each.run, pass.now);
            }
            return;
        }
        reserve(*worker, candidate);
        placed.push_back({{task, candidate.number},
                          {worker->first, worker->second.incarnation}});
    }
    pass.placed.insert(pass.placed.end(), placed.begin(), placed.end());
}

auto run_scheduler::summary(time_point now) const -> fleet_summary
{
    fleet_summary out;
    out.ready = static_cast<std::int64_t>(state_.workflows().ready().size());
    for (auto const& [id, worker] : workers_)
    {
        out.workers += is_usable(worker, now) ? 1 : 0;
        out.serving += worker.is_serving() ? 1 : 0;
        out.over_target += has_task_over_target(worker) ? 1 : 0;
        out.free_cores += worker.free().cores.value() / 1000;
        out.polls += worker.poll_in_flight ? 1 : 0;
        out.silent += !worker.runs.empty() && now - worker.last_contact >=
                                                  config::worker_contact_timeout
                          ? 1
                          : 0;
        for (auto const& [run, held] : worker.runs)
        {
            out.inherited += held.phase == run_phase::inherited ? 1 : 0;
            out.unconfirmed += held.phase == run_phase::ordered ? 1 : 0;
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

/// Tasks that may start now, the first to be placed first: permanent tasks that
/// have run before, whose users wait for them; by priority; then tasks that end
/// before new permanent ones, which would keep the resources for minutes; then
/// by the value that completion still has for the caller.
auto run_scheduler::ranked_tasks(time_point now, wall_time wall)
    -> std::vector<ranked_task>
{
    std::vector<ranked_task> order;
    workflow_record const* record{nullptr};
    std::optional<occurrence_index> occurrence; ///< of urgency_rank
    queue_priority priority;
    urgency urgency_rank;
    for (auto const& ready : state_.workflows().ready())
    {
        if (order.size() >= config::max_tasks_per_pass)
        {
            break;
        }
        auto const is_next_workflow =
            record == nullptr || record->accepted != ready.accepted;
        if (is_next_workflow)
        {
            occurrence.reset();
            record = state_.workflows().find(ready.task.workflow);
            auto const* const queue =
                state_.contract_sets().queue(record->terms.name);
            priority =
                queue != nullptr ? queue->priority : record->terms.priority;
        }
        auto const& repeats = record->spec.repeats;
        auto const due =
            repeats.first + repeats.interval * ready.task.occurrence.value();
        auto const is_due =
            repeats.times.value() == 0 || wall.time_since_epoch() >= due;
        if (!is_due || proposed_.contains(ready.task))
        {
            continue;
        }
        if (occurrence != ready.task.occurrence)
        {
            occurrence = ready.task.occurrence;
            auto const since =
                ready_since_
                    .try_emplace({ready.accepted, ready.task.occurrence}, now)
                    .first->second;
            urgency_rank =
                urgency_of(*record, ready.task.occurrence, since, now);
        }
        auto const permanent = record->step(ready.task).permanent;
        auto const has_run = record->find(ready.task)->last > run_number{};
        order.push_back({!(permanent && has_run), priority, permanent,
                         urgency_rank, &ready, record});
    }
    std::ranges::stable_sort(order, {},
                             [](ranked_task const& task)
                             {
                                 return std::tuple{task.is_new, task.priority,
                                                   task.permanent,
                                                   task.urgency_rank};
                             });
    return order;
}

auto run_scheduler::plan(time_point now, wall_time wall) -> void
{
    needs_plan_ = false;
    was_behind_ = std::exchange(is_behind_, false);
    auto tried = std::exchange(tried_, {});
    if (fenced_ || state_.workflows().ready().empty() ||
        unconfirmed_ >= config::max_unconfirmed_starts)
    {
        return;
    }
    auto const order = ranked_tasks(now, wall);
    auto pass = make_pass(now);
    auto is_cut = false;
    for (auto const& ranked : order)
    {
        // A gang may exceed the limit, which may be less than its size.
        if (unconfirmed_ + pass.placed.size() >= config::max_unconfirmed_starts)
        {
            break;
        }
        is_cut = pass.visits >= max_visits_per_pass;
        if (is_cut)
        {
            break;
        }
        auto const& step = ranked.record->step(ranked.task->task);
        if (step.gang)
        {
            auto gang = ranked.task->task;
            gang.index = {};
            if (!proposed_.contains(ranked.task->task) &&
                tried.gangs.insert(gang).second)
            {
                place_gang(*ranked.task, *ranked.record, pass);
            }
            continue;
        }
        auto key = placement_key_of(
            *ranked.record, step, ranked.record->is_suspect(ranked.task->task));
        if (!tried.unplaceable.contains(key) &&
            !place_single(*ranked.task, *ranked.record, pass))
        {
            tried.unplaceable.insert(std::move(key));
        }
    }
    is_behind_ = !tried.unplaceable.empty() || (is_cut && was_behind_);
    if (is_cut)
    {
        needs_plan_ = true;
        tried_ = std::move(tried);
    }
    unconfirmed_ += pass.placed.size();
    for (std::size_t begin = 0; begin < pass.placed.size();
         begin += config::max_runs_per_command)
    {
        auto const end =
            std::min(begin + config::max_runs_per_command, pass.placed.size());
        actions_.emplace_back(propose_starts{
            {{pass.placed.begin() + static_cast<std::ptrdiff_t>(begin),
              pass.placed.begin() + static_cast<std::ptrdiff_t>(end)}}});
    }
}

} // namespace apricotlb
