#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <optional>
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

/// True if label and limit per worker of a step allow one more of its tasks.
auto is_allowed(worker_entry const& worker, step_spec const& step,
                workflow_task const& task) -> bool
{
    return has_label(*worker.info, step.requires_label) &&
           (step.max_per_worker == task_count{0} ||
            count_step_runs(worker, task) < step.max_per_worker.value());
}

/// The first resource of which less is free than needed.
auto missing_resource(resources const& needed, resources const& free)
    -> placement_obstacle
{
    if (needed.cores > free.cores)
    {
        return placement_obstacle::cores;
    }
    return needed.memory > free.memory ? placement_obstacle::memory
                                       : placement_obstacle::accels;
}

/// Estimated processor use on a worker: half of what is reserved, as serving
/// tasks are seldom busy, and all that scavenging tasks request.
auto estimated_load(worker_entry const& worker) -> millicores
{
    return millicores{worker.reserved.cores.value() / 2} +
           worker.scavenged_cores;
}

/// Visits by which one effect of a scavenging image on a serving one counts.
constexpr std::size_t effect_visits = 2;

} // namespace

auto run_scheduler::placement_key_of(candidate_run const& candidate) const
    -> placement_key
{
    auto const& step = *candidate.step;
    std::optional<workflow_task> limited;
    if (step.max_per_worker > task_count{0})
    {
        limited = candidate.task;
        limited->index = {};
    }
    return {pool_of(*candidate.record),
            step.requires_label,
            step.scavenges ? step.image : image_name{},
            step.scavenges,
            candidate.is_restart,
            candidate.is_suspect,
            step.each.cores.value(),
            step.each.memory.value(),
            step.each.accels.value(),
            std::move(limited)};
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
        auto& entry = worker.second;
        auto const usable =
            entry.is_usable(now) && has_current_phase(entry, now);
        if (usable)
        {
            if (!entry.was_usable)
            {
                gain_room(entry);
            }
            pass.pools[entry.info->pool].push_back(&worker);
        }
        entry.was_usable = usable;
        entry.held_for_restart = false;
    }
    for (auto& [name, pool] : pass.pools)
    {
        std::ranges::stable_sort(pool, std::ranges::greater{},
                                 [](identified_worker const* worker)
                                 { return worker->second.gained_room; });
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

auto run_scheduler::obstacle_to(identified_worker const& worker,
                                candidate_run const& candidate,
                                plan_pass& pass) const -> placement_obstacle
{
    auto const& entry = worker.second;
    auto const& step = *candidate.step;
    if (!reservation_of(step).fits_into(entry.free()))
    {
        return missing_resource(reservation_of(step), entry.free());
    }
    if (!has_label(*entry.info, step.requires_label))
    {
        return placement_obstacle::label;
    }
    if (step.max_per_worker > task_count{0} &&
        count_step_runs(entry, candidate.task) >= step.max_per_worker.value())
    {
        return placement_obstacle::worker_limit;
    }
    if (has_other_suspect(entry, candidate, pass.now))
    {
        return placement_obstacle::suspect;
    }
    return step.scavenges && !may_scavenge(worker, step, pass)
               ? placement_obstacle::latency
               : placement_obstacle::none;
}

auto run_scheduler::has_other_suspect(worker_entry const& worker,
                                      candidate_run const& candidate,
                                      time_point now) -> bool
{
    return candidate.is_suspect &&
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
    return (candidate.is_restart || !worker.second.held_for_restart) &&
           obstacle_to(worker, candidate, pass) == placement_obstacle::none;
}

auto run_scheduler::choose_worker(candidate_run const& candidate,
                                  room_change since, plan_pass& pass)
    -> identified_worker*
{
    auto const& step = *candidate.step;
    identified_worker* best{nullptr};
    preference best_score{};
    for (auto* const worker : pass.pools[pool_of(*candidate.record)])
    {
        auto const& entry = worker->second;
        if (entry.gained_room <= since)
        {
            break;
        }
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
        auto const is_better =
            best == nullptr || score < best_score ||
            (score == best_score && worker->first < best->first);
        if (is_better && can_place(*worker, candidate, pass))
        {
            best = worker;
            best_score = score;
        }
    }
    return best;
}

auto run_scheduler::may_repeat_search(time_point searched_at,
                                      plan_pass const& pass) const -> bool
{
    // A pass that was cut leaves the tasks behind it to the next ones.
    return pass.repeat_visits < plan_pass::max_repeat_visits &&
           (!was_cut_ ||
            pass.now - searched_at >= config::failed_search_validity);
}

auto run_scheduler::find_worker(candidate_run const& candidate, plan_pass& pass)
    -> identified_worker*
{
    auto const [known, added] =
        failed_searches_.try_emplace(placement_key_of(candidate));
    auto& search = known->second;
    // Measurements decide on scavenging tasks, and time clears suspects.
    auto const changes = candidate.step->scavenges || candidate.is_suspect;
    auto const repeats = !added && changes && search.used_at != pass.now &&
                         may_repeat_search(search.searched_at, pass);
    auto const visits_before = pass.visits;
    auto const since = repeats ? room_change{} : search.seen;
    auto* const worker = choose_worker(candidate, since, pass);
    if (repeats)
    {
        pass.repeat_visits += pass.visits - visits_before;
    }
    if (worker != nullptr)
    {
        if (added)
        {
            failed_searches_.erase(known);
        }
        return worker;
    }
    search.searched_at = added || repeats ? pass.now : search.searched_at;
    search.used_at = pass.now;
    search.seen = last_room_change_;
    pass.is_behind = true;
    return nullptr;
}

auto run_scheduler::hold_worker(candidate_run const& candidate, plan_pass& pass)
    -> void
{
    auto const& step = *candidate.step;
    auto const& pool = pass.pools[pool_of(*candidate.record)];
    if (step.scavenges || pass.hold_visits >= plan_pass::max_hold_visits)
    {
        return;
    }
    identified_worker* best{nullptr};
    std::size_t held{0};
    for (auto* const worker : pool)
    {
        auto& entry = worker->second;
        auto expected = entry.free();
        expected += entry.finite_reserved;
        held += entry.held_for_restart ? 1 : 0;
        // The one with most room is the first on which the task will fit.
        if (!entry.held_for_restart &&
            reservation_of(step).fits_into(expected) &&
            is_allowed(entry, step, candidate.task) &&
            !has_other_suspect(entry, candidate, pass.now) &&
            (best == nullptr || entry.free().cores > best->second.free().cores))
        {
            best = worker;
        }
    }
    pass.visits += pool.size();
    pass.hold_visits += pool.size();
    auto const share =
        static_cast<std::size_t>(config::max_workers_held_for_restarts.value());
    auto const max_held = std::max<std::size_t>(1, pool.size() * share / 1000);
    if (best != nullptr && held < max_held)
    {
        best->second.held_for_restart = true;
        pass.held.insert(best->first);
    }
}

auto run_scheduler::end_holds(plan_pass& pass) -> void
{
    for (auto const& id : std::exchange(held_, std::move(pass.held)))
    {
        auto const found = workers_.find(id);
        if (found != workers_.end() && !held_.contains(id))
        {
            gain_room(found->second);
        }
    }
}

} // namespace apricotlb
