#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace apricotlb
{

namespace
{

auto is_running_scavenger(held_run const& it) -> bool
{
    return it.scavenges && it.phase == run_phase::running;
}

/// True if no list has shown the latencies of serving tasks beside scavenging
/// runs for longer than they may be over their targets.
auto is_unmeasured(worker_entry const& worker, time_point now) -> bool
{
    return worker.is_serving() &&
           now - worker.listed_at > config::max_time_over_target &&
           std::ranges::any_of(worker.runs, [](auto const& each)
                               { return is_running_scavenger(each.second); });
}

} // namespace

auto run_scheduler::neighbors_of(worker_entry const& worker,
                                 held_run const& serving, time_point now) const
    -> std::vector<scavenging_neighbor>
{
    std::vector<scavenging_neighbor> out;
    for (auto const& [run, held] : worker.runs)
    {
        if (is_running_scavenger(held))
        {
            out.push_back(
                {run, held.pace, held.possible_pace,
                 interference_.interference_state_of(held.image, serving.image,
                                                     now),
                 now - std::max(held.pace_changed_at, held.settled_at),
                 held.order_in_flight ? std::optional{now - held.sent}
                                      : std::nullopt});
        }
    }
    std::ranges::stable_sort(out, std::greater{}, &scavenging_neighbor::pace);
    return out;
}

auto run_scheduler::tasks_over_target(time_point now) const
    -> std::vector<target_report>
{
    std::vector<target_report> out;
    for (auto const& [id, worker] : workers_)
    {
        for (auto const& [run, held] : worker.runs)
        {
            auto const over = held.over_target_since
                                  ? now - *held.over_target_since
                                  : duration{};
            if (held.phase != run_phase::running || !held.is_over_target() ||
                over <= config::max_time_over_target)
            {
                continue;
            }
            auto neighbors = neighbors_of(worker, held, now);
            if (neighbors.empty())
            {
                continue;
            }
            target_report it{run,
                             {id, worker.incarnation},
                             over,
                             held.latency_target,
                             milliseconds{held.load},
                             held.latency_ratio,
                             now - worker.listed_at,
                             std::nullopt,
                             std::ssize(neighbors),
                             std::move(neighbors)};
            if (worker.poll_in_flight)
            {
                it.poll_age = now - worker.poll_sent_at;
            }
            it.neighbors.resize(
                std::min(it.neighbors.size(), target_report::max_neighbors));
            out.push_back(std::move(it));
        }
    }
    // Beside neighbors that are all paused there is nothing left to do.
    std::ranges::stable_sort(out, std::greater{},
                             [](target_report const& it) {
                                 return std::pair{it.neighbors.front().pace >
                                                      permille{0},
                                                  it.over_target};
                             });
    out.resize(std::min(out.size(), target_report::max_reports));
    return out;
}

auto run_scheduler::count_unmeasured(time_point now) const -> std::int64_t
{
    return std::ranges::count_if(workers_, [now](auto const& each)
                                 { return is_unmeasured(each.second, now); });
}

} // namespace apricotlb
