#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace apricotlb
{

namespace
{

/// Order of the workers for a permanent task with a latency target: first those
/// that serve only its image, then those that serve none, then the others. A
/// scavenging image slows few serving images down, so a worker with a single
/// serving image can still take most scavenging tasks.
auto colocation_rank(worker_entry const& worker, step_spec const& step,
                     image_ref image) -> std::int64_t
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
        worker.serving.size() == 1 && worker.serving.contains(image);
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

/// True unless the estimated processor use leaves too little for a scavenging
/// task.
auto has_cycles(worker_entry const& worker, step_spec const& step,
                time_point now) -> bool
{
    auto const cores = worker.runs.empty() ? worker.info->capacity.cores
                                           : worker.usable_cores(now);
    return !step.scavenges || estimated_load(worker) + step.each.cores <= cores;
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
            step.permanent,
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

auto run_scheduler::has_long_lease(worker_entry const& worker,
                                   time_point now) const -> bool
{
    return worker.lease.latest_end() >
           now + worker_lease::max_duration(policy_.granted_lease());
}

auto run_scheduler::make_pass(time_point now) -> plan_pass
{
    plan_pass pass{interference_, now};
    for (auto& worker : workers_)
    {
        auto& entry = worker.second;
        auto const usable = takes_new_runs(entry, now);
        if (usable)
        {
            auto const had_long_lease =
                std::exchange(entry.has_long_lease, has_long_lease(entry, now));
            auto const has_short_lease_again =
                had_long_lease && !entry.has_long_lease;
            if (entry.warm_up.take_step(now) || !entry.was_usable ||
                has_short_lease_again)
            {
                gain_room(entry);
            }
            pass.pools[entry.info->pool].push_back(&worker);
            if (entry.are_shares_stale || now >= entry.shares_valid_until)
            {
                update_shares(entry, now);
            }
        }
        if (entry.is_up(now) && !is_evacuated(entry))
        {
            auto& use = pass.uses[entry.info->pool];
            use.reserved += entry.reserved.cores;
            use.capacity += entry.info->capacity.cores;
        }
        entry.was_usable = usable;
        entry.held_for_restart = relocations_.is_target(worker.first, now);
        if (entry.held_for_restart)
        {
            pass.held.insert(worker.first);
        }
    }
    for (auto& [name, pool] : pass.pools)
    {
        std::ranges::stable_sort(pool, std::ranges::greater{},
                                 [](identified_worker const* worker)
                                 { return worker->second.gained_room; });
    }
    return pass;
}

/// The effect of scavenging tasks that started within config::effect_delay is
/// added, since the reported latencies do not include it yet.
auto run_scheduler::update_shares(worker_entry& worker, time_point now) const
    -> void
{
    worker.are_shares_stale = false;
    worker.shares_valid_until = time_point::max();
    worker.serving_shares.clear();
    if (!worker.is_serving())
    {
        return;
    }
    std::vector<image_ref> added_images;
    for (auto const& [run, held] : worker.runs)
    {
        auto const shown_at = held.settled_at + config::effect_delay;
        auto const is_running = held.phase == run_phase::running;
        if (!held.scavenges || (is_running && now >= shown_at))
        {
            continue;
        }
        added_images.push_back(held.image);
        if (is_running)
        {
            worker.shares_valid_until =
                std::min(worker.shares_valid_until, shown_at);
        }
    }
    for (auto const& [run, held] : worker.runs)
    {
        if (!held.is_serving())
        {
            continue;
        }
        auto const expected =
            interference_.expected_ratio(held.image, held.latency_target,
                                         held.latency_ratio, added_images, now);
        auto const known = std::ranges::find(worker.serving_shares, held.image,
                                             &serving_share::image);
        if (known == worker.serving_shares.end())
        {
            worker.serving_shares.push_back({held.image, expected});
        }
        else
        {
            known->expected = std::max(known->expected, expected);
        }
    }
}

auto run_scheduler::keeps_latency_targets(worker_entry const& worker,
                                          image_ref image,
                                          plan_pass& pass) const -> bool
{
    auto const extra = was_behind_ ? config::headroom_when_behind : permille{};
    return std::ranges::all_of(
        worker.serving_shares,
        [&](serving_share const& it)
        {
            auto const& effect = pass.effects.effect(image, it.image);
            auto const headroom = effect.harmless
                                      ? config::harmless_headroom
                                      : config::disturbance_headroom;
            auto const share =
                static_cast<double>(it.expected.value()) * effect.factor;
            return share <= static_cast<double>((headroom + extra).value());
        });
}

auto run_scheduler::expected_share(worker_entry const& worker, image_ref image,
                                   plan_pass& pass) const -> double
{
    double out{0};
    for (auto const& it : worker.serving_shares)
    {
        auto const& effect = pass.effects.effect(image, it.image);
        out = std::max(out, static_cast<double>(it.expected.value()) *
                                effect.factor);
    }
    return out;
}

auto run_scheduler::is_mostly_idle(plan_pass const& pass, pool_name const& pool)
    -> bool
{
    auto const found = pass.uses.find(pool);
    return found != pass.uses.end() &&
           found->second.reserved.value() * 1000 <=
               found->second.capacity.value() *
                   config::mostly_idle_share.value();
}

auto run_scheduler::may_exceed_headroom(worker_entry const& worker,
                                        candidate_run const& candidate,
                                        time_point now) -> bool
{
    auto const& needed = candidate.step->each;
    auto load = millicores{worker.reserved.cores.value() / 2} + needed.cores;
    std::int64_t exceptions{0};
    for (auto const& [run, held] : worker.runs)
    {
        // The latencies show the effect of a run that has lasted for this long.
        auto const is_measured =
            held.is_paused() ||
            (held.phase == run_phase::running &&
             now - held.settled_at >= config::pause_evaluation_time);
        if (held.exceeds_headroom && !is_measured)
        {
            return false;
        }
        exceptions += held.exceeds_headroom ? 1 : 0;
        load += held.is_paused() ? millicores{} : held.scavenged_cores;
    }
    return !worker.held_for_restart &&
           needed.fits_into(worker.free_for_new(now)) &&
           load <= worker.usable_cores(now) &&
           (!worker.is_strained() || worker.is_strained_by_itself(now)) &&
           exceptions < config::max_latency_wait_runs;
}

auto run_scheduler::choose_above_headroom(candidate_run const& candidate,
                                          plan_pass& pass) -> identified_worker*
{
    // Workers that are not strained come first.
    using rank = std::tuple<bool, double, worker_id>;
    identified_worker* best{nullptr};
    rank least;
    for (auto* const worker : pass.pools[pool_of(*candidate.record)])
    {
        auto const& entry = worker->second;
        pass.visits += 1 + effect_visits * entry.serving.size();
        if (!may_exceed_headroom(entry, candidate, pass.now) ||
            obstacle_to(*worker, candidate, pass) !=
                placement_obstacle::latency)
        {
            continue;
        }
        rank own{entry.is_strained(),
                 expected_share(entry, candidate.image, pass), worker->first};
        if (best == nullptr || own < least)
        {
            best = worker;
            least = std::move(own);
        }
    }
    return best;
}

auto run_scheduler::may_scavenge(worker_entry const& worker,
                                 candidate_run const& candidate,
                                 plan_pass& pass) const -> bool
{
    return has_cycles(worker, *candidate.step, pass.now) &&
           keeps_latency_targets(worker, candidate.image, pass);
}

auto run_scheduler::obstacle_to(identified_worker const& worker,
                                candidate_run const& candidate,
                                plan_pass& pass) const -> placement_obstacle
{
    auto const& entry = worker.second;
    auto const& step = *candidate.step;
    auto const room = entry.free_for_new(pass.now);
    if (!reservation_of(step).fits_into(room))
    {
        return missing_resource(reservation_of(step), room);
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
    // A loss of the worker would hold the task for as long, which has to be
    // available again soon.
    if (step.permanent && entry.has_long_lease)
    {
        return placement_obstacle::lease;
    }
    if (lacks_contact(entry, candidate, pass.now) ||
        has_other_suspect(entry, candidate, pass.now))
    {
        return placement_obstacle::suspect;
    }
    return step.scavenges && !may_scavenge(entry, candidate, pass)
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

auto run_scheduler::lacks_contact(worker_entry const& worker,
                                  candidate_run const& candidate,
                                  time_point now) -> bool
{
    return candidate.is_suspect &&
           now - worker.last_contact >= config::recent_contact;
}

auto run_scheduler::can_place(identified_worker const& worker,
                              candidate_run const& candidate,
                              plan_pass& pass) const -> bool
{
    return (candidate.is_restart || !worker.second.held_for_restart) &&
           obstacle_to(worker, candidate, pass) == placement_obstacle::none;
}

auto run_scheduler::can_place_or_ask(identified_worker& worker,
                                     candidate_run const& candidate,
                                     plan_pass& pass) const -> bool
{
    auto const placeable = can_place(worker, candidate, pass);
    auto& entry = worker.second;
    if (!placeable && lacks_contact(entry, candidate, pass.now) &&
        obstacle_to(worker, candidate, pass) == placement_obstacle::suspect)
    {
        entry.contact_wanted_until = pass.now + config::contact_request_time;
    }
    return placeable;
}

auto run_scheduler::score_of(identified_worker const& worker,
                             candidate_run const& candidate,
                             plan_pass& pass) const -> preference
{
    auto const& entry = worker.second;
    auto const& step = *candidate.step;
    if (step.scavenges)
    {
        // Workers without serving tasks first, then those with the smallest
        // effect. Differences below config::min_significant_effect are not
        // significant and do not count.
        permille most;
        for (auto const& [image, tasks] : entry.serving)
        {
            most = std::max(
                most, pass.effects.effect(candidate.image, image).slowdown);
        }
        return {entry.is_serving() ? 1 : 0,
                most.value() / config::min_significant_effect.value(),
                estimated_load(entry).value()};
    }
    auto const is_near =
        step.data_rack.value().empty() || step.data_rack == entry.info->rack;
    auto const free = entry.free().cores.value();
    if (step.permanent)
    {
        // Serving tasks are packed onto few workers, so that the others stay
        // free for scavenging tasks, which would slow them down.
        return {is_near ? 0 : 1, colocation_rank(entry, step, candidate.image),
                free};
    }
    // Best fit leaves the large gaps for large tasks.
    return {is_near ? 0 : 1, free, 0};
}

auto run_scheduler::is_better(worker_search::option const& a,
                              worker_search::option const& b) -> bool
{
    return a.score < b.score ||
           (a.score == b.score && a.worker->first < b.worker->first);
}

auto run_scheduler::is_worse(worker_search::option const& a,
                             worker_search::option const& b) -> bool
{
    return is_better(b, a);
}

auto run_scheduler::choose_worker(candidate_run const& candidate,
                                  plan_pass& pass) -> identified_worker*
{
    std::optional<worker_search::option> best;
    for (auto* const worker : pass.pools[pool_of(*candidate.record)])
    {
        ++pass.visits;
        worker_search::option const option{score_of(*worker, candidate, pass),
                                           worker};
        if ((!best || is_better(option, *best)) &&
            can_place_or_ask(*worker, candidate, pass))
        {
            best = option;
        }
    }
    return best ? best->worker : nullptr;
}

auto run_scheduler::may_repeat_search(time_point searched_at,
                                      plan_pass& pass) const -> bool
{
    // A pass that was cut leaves the tasks behind it to the next ones.
    auto const is_due =
        searched_at <= repeats_until_ &&
        (!was_cut_ || pass.now - searched_at >= config::failed_search_validity);
    auto const has_visits = pass.repeat_visits < plan_pass::max_repeat_visits;
    if (is_due && !has_visits)
    {
        pass.newest_put_off =
            std::max(pass.newest_put_off.value_or(searched_at), searched_at);
    }
    return is_due && has_visits;
}

auto run_scheduler::begin_search(candidate_run const& candidate,
                                 plan_pass& pass) -> worker_search
{
    worker_search out;
    out.key = placement_key_of(candidate);
    out.is_suspect = candidate.is_suspect;
    out.scavenges = candidate.step->scavenges;
    auto const known = failed_searches_.find(out.key);
    out.was_known = known != failed_searches_.end();
    // Measurements decide on scavenging tasks, and time clears suspects.
    auto const changes = candidate.step->scavenges || candidate.is_suspect;
    out.repeats = out.was_known && changes &&
                  known->second.used_at != pass.now &&
                  may_repeat_search(known->second.searched_at, pass);
    auto const since =
        out.was_known && !out.repeats ? known->second.seen : room_change{};
    auto const visits_before = pass.visits;
    auto const& step = *candidate.step;
    auto const needed = reservation_of(step);
    for (auto* const worker : pass.pools[pool_of(*candidate.record)])
    {
        auto const& entry = worker->second;
        if (entry.gained_room <= since)
        {
            break;
        }
        ++pass.visits;
        if (needed.fits_into(entry.free()) && has_cycles(entry, step, pass.now))
        {
            pass.visits +=
                step.scavenges ? effect_visits * entry.serving.size() : 0;
            out.options.push_back({score_of(*worker, candidate, pass), worker});
        }
    }
    std::ranges::make_heap(out.options, is_worse);
    if (out.repeats)
    {
        pass.repeat_visits += pass.visits - visits_before;
    }
    return out;
}

auto run_scheduler::next_worker(worker_search& search,
                                candidate_run const& candidate, plan_pass& pass)
    -> identified_worker*
{
    while (!search.options.empty())
    {
        ++pass.visits;
        pass.repeat_visits += search.repeats ? 1 : 0;
        std::ranges::pop_heap(search.options, is_worse);
        auto* const worker = search.options.back().worker;
        search.options.pop_back();
        if (can_place_or_ask(*worker, candidate, pass))
        {
            return worker;
        }
    }
    end_failed_search(search, pass);
    return nullptr;
}

auto run_scheduler::end_failed_search(worker_search& search, plan_pass& pass)
    -> void
{
    pass.is_behind = true;
    // Scavenging tasks wait for idle processors, not for reserved ones.
    if (!search.scavenges)
    {
        pass.behind.insert(std::get<pool_name>(search.key));
    }
    if (std::exchange(search.has_failed, true))
    {
        return;
    }
    auto& failed = failed_searches_[search.key];
    if (!search.was_known || search.repeats)
    {
        failed.searched_at = pass.now;
    }
    failed.used_at = pass.now;
    failed.seen = last_room_change_;
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
