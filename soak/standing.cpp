/// Work that could run and stands still, although there is room for it.
#include "soak/ledger.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace apricotlb::soak
{

auto is_half_free(std::vector<worker_room> const& rooms) -> bool
{
    std::int64_t all{0};
    std::int64_t free{0};
    for (auto const& it : rooms)
    {
        all += it.cpu;
        free += it.takes_starts ? it.cpu_free : 0;
    }
    return free * 2 > all;
}

auto ledger::time_of(time_point it) const -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              it - origin_)
                              .count()) +
           " ms";
}

/// Ended for callers, done, or out of attempts.
auto ledger::is_over(workflow const& it) const -> bool
{
    if (it.over || it.cancel_sent || is_shown_as_ended(it.plan.id))
    {
        return true;
    }
    return std::ranges::any_of(
        it.tasks,
        [&](auto const& each)
        {
            auto const name = task_name::parse(each.first);
            return !it.plan.steps[static_cast<std::size_t>(name->step)]
                        .permanent &&
                   each.second.failures >= limits_.attempts;
        });
}

auto ledger::is_turn_of(workflow const& it, int step) const -> bool
{
    return std::ranges::all_of(
        it.plan.steps[static_cast<std::size_t>(step)].prerequisites,
        [&](int before) { return is_step_done(it, 0, before); });
}

auto ledger::standing_of(workflow const& it) const -> std::vector<standing_task>
{
    std::vector<standing_task> out;
    for (std::size_t step = 0; step < it.plan.steps.size(); ++step)
    {
        auto const& plan = it.plan.steps[step];
        auto const is_held_up = plan.permanent || it.at_work == 0;
        if (!is_held_up || !is_turn_of(it, static_cast<int>(step)))
        {
            continue;
        }
        for (auto n = 0; n < plan.tasks; ++n)
        {
            auto name = it.plan.id + ".0." + std::to_string(step) + "." +
                        std::to_string(n);
            auto const found = it.tasks.find(name);
            auto const is_new = found == it.tasks.end();
            if (!is_new && (found->second.at_work > 0 || found->second.done))
            {
                continue;
            }
            auto const last_end =
                plan.permanent
                    ? (is_new ? time_point{} : found->second.last_end)
                    : it.last_run_end;
            out.push_back({std::move(name), static_cast<int>(step),
                           std::max(*it.accepted_at, last_end),
                           plan.permanent});
            if (!plan.permanent)
            {
                // One task stands for the whole workflow.
                return out;
            }
        }
    }
    return out;
}

/// Reserved processors of scavenging tasks don't count.
auto ledger::fits_twice(workflow const& it, int step,
                        std::vector<worker_room> const& rooms) const -> bool
{
    auto const& plan = it.plan.steps[static_cast<std::size_t>(step)];
    std::map<std::string, int> beside;
    if (plan.anti_affinity > 0)
    {
        for (auto const& [name, all] : it.tasks)
        {
            if (task_name::parse(name)->step != step)
            {
                continue;
            }
            for (auto const& each : all.runs)
            {
                beside[each.key.worker] += each.at_work ? 1 : 0;
            }
        }
    }
    std::int64_t places{0};
    for (auto const& room : rooms)
    {
        if (!room.takes_starts)
        {
            continue;
        }
        auto n = room.mem_free_mb / std::max<std::int64_t>(1, plan.mem_mb);
        if (!plan.scavenges)
        {
            n = std::min(n,
                         room.cpu_free / std::max<std::int64_t>(1, plan.cpu));
        }
        if (plan.anti_affinity > 0)
        {
            n = std::min<std::int64_t>(n, plan.anti_affinity -
                                              beside[room.worker]);
        }
        places += std::max<std::int64_t>(0, n);
    }
    return places >= 2;
}

/// Without a leader work stands that became due a little later, too.
auto ledger::recovery_of(std::string const& name, stand const& it,
                         time_point now) const -> std::optional<named_time>
{
    auto const is_counted =
        it.could_since &&
        (it.is_lost ||
         !disturbed_.are_undisturbed('c', *it.could_since - limits_.contact));
    return is_counted ? std::optional{named_time{now - *it.could_since,
                                                 name + " from " +
                                                     time_of(*it.could_since)}}
                      : std::nullopt;
}

auto ledger::recovery(time_point now) const -> std::string
{
    auto all = recoveries_;
    for (auto const& [id, it] : workflows_)
    {
        for (auto const& [name, each] : it.tasks)
        {
            if (auto const time = recovery_of(name, each.standing, now);
                time && !is_over(it))
            {
                all.push_back(*time);
            }
        }
    }
    return percentiles("recovery", std::move(all));
}

auto ledger::cancel_times(time_point now) const -> std::string
{
    std::vector<named_time> all;
    for (auto const& [id, it] : workflows_)
    {
        if (it.cancel_sent)
        {
            all.emplace_back(it.cancel_answered.value_or(now) - *it.cancel_sent,
                             id + " from " + time_of(*it.cancel_sent));
        }
    }
    return percentiles("cancel", std::move(all));
}

auto ledger::percentiles(std::string name, std::vector<named_time> all)
    -> std::string
{
    std::ranges::sort(all);
    for (auto const& [percent, title] :
         {std::pair{50U, " p50 "}, {99U, " p99 "}, {100U, " longest "}})
    {
        constexpr std::size_t whole = 100;
        auto const n = (all.size() * percent + whole - 1) / whole;
        auto const time = n == 0 ? duration{} : all[n - 1].first;
        name += title +
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(time)
                        .count());
    }
    return name + " of " + std::to_string(all.size()) +
           (all.empty() ? "" : ": " + all.back().second);
}

auto ledger::check_standing(time_point now,
                            std::vector<worker_room> const& rooms,
                            std::optional<time_point> traffic_end) -> void
{
    half_free_since_ = is_half_free(rooms)
                           ? std::optional{half_free_since_.value_or(now)}
                           : std::nullopt;
    auto const calm_since = now - limits_.stand - limits_.calm_before;
    auto const is_all_calm =
        is_calm(calm_since) && disturbed_.are_undisturbed('w', calm_since);
    std::vector<std::pair<standing_task, time_point>> found;
    std::set<std::string> standing;
    std::size_t moving{0};
    for (auto& [id, it] : workflows_)
    {
        if (!it.accepted_at || is_over(it))
        {
            continue;
        }
        moving += it.at_work > 0 ? 1U : 0U;
        if (it.at_work > 0 && !is_permanent(id))
        {
            continue;
        }
        auto const tasks = standing_of(it);
        // Whatever runs nothing and has no task left is done.
        it.over = it.at_work == 0 && tasks.empty();
        for (auto const& each : tasks)
        {
            auto& state = it.tasks[each.name].standing;
            state.fits_since =
                fits_twice(it, each.step, rooms)
                    ? std::optional{state.fits_since.value_or(now)}
                    : std::nullopt;
            // By day, lasting work has its place however full the service is.
            auto const needs_half = !each.is_permanent || traffic_end;
            if (!state.fits_since || (needs_half && !half_free_since_))
            {
                state.could_since = std::nullopt;
                continue;
            }
            auto from = std::max(each.since, *state.fits_since);
            from = needs_half ? std::max(from, *half_free_since_) : from;
            // What fits when it is first seen has fitted all along.
            constexpr auto seen_late = std::chrono::milliseconds{200};
            state.could_since = state.could_since.value_or(
                from - each.since < seen_late ? each.since : from);
            state.is_lost = it.tasks[each.name].is_lost ||
                            (it.is_lost && !each.is_permanent);
            auto const by_day = is_all_calm && now - from >= limits_.stand;
            auto const at_end =
                traffic_end && disturbed_.are_disks_good(calm_since) &&
                now - std::max(from, *traffic_end) >= limits_.stand &&
                (!each.is_permanent ||
                 now - each.since >= limits_.after_last_run);
            if (by_day || at_end)
            {
                standing.insert(id);
                found.emplace_back(each, from);
            }
        }
    }
    for (auto const& [each, from] : found)
    {
        auto& it = workflows_.at(task_name::parse(each.name)->workflow);
        auto& seen = it.tasks[each.name];
        if (std::exchange(seen.standing.reported, true))
        {
            continue;
        }
        report(promise::lost,
               each.name + " could run, " +
                   (each.is_permanent ? "it has no run"
                                      : "its workflow has nothing running") +
                   " from " + time_of(each.since) + " to " + time_of(now) +
                   " (" + std::to_string(seen.runs.size()) + " runs so far; " +
                   std::to_string(standing.size() - 1) + " more stand so, " +
                   std::to_string(moving) + " move)",
               now);
    }
}

} // namespace apricotlb::soak
