/// Order of waiting work by the value that its completion still has for its
/// caller.
#ifndef APRICOTLB_CORE_FLEET_URGENCY_HPP
#define APRICOTLB_CORE_FLEET_URGENCY_HPP

#include "core/state/workflow_table.hpp"

#include <apricotlb/time.hpp>

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace apricotlb
{

/// Value of a workflow's completion, by its contract and its age.
enum class worth_left : std::uint8_t
{
    full,    ///< can still end within the allowed time
    reduced, ///< will be late, and still has some value
    none, ///< will end after config::max_lateness_factor times the allowed time
};

/// Place of waiting work among other work of the same worth.
enum class wait_stage : std::uint8_t
{
    begun,   ///< some of its tasks have run
    early,   ///< has used less than a third of its slack
    delayed, ///< has used a third or more
};

/// Sort key of waiting tasks; lower values are placed first.
///
/// Under a backlog that does not clear, work in the order of its least slack is
/// placed when its slack has just ended, so that all of it ends late. So work
/// that has begun is finished first; new work goes by its latest start only
/// while most of its slack is left for stragglers and later steps, and newest
/// first after that.
struct urgency
{
    worth_left worth{worth_left::full};
    wait_stage stage{wait_stage::early};
    /// In full worth, before `delayed`: latest start of the remaining critical
    /// path that still meets the allowed time. Without worth: the time since
    /// which it waits here, so that the oldest comes first. Otherwise its age,
    /// so that the newest comes first.
    duration order{};

    auto operator<=>(urgency const&) const = default;
};

/// The key of permanent tasks, which are worth as much however late they start.
[[nodiscard]] inline auto oldest_first(time_point since) -> urgency
{
    return {worth_left::full, wait_stage::early, since.time_since_epoch()};
}

/// True if the tasks of an occurrence may start. Occurrences of a workflow that
/// repeats have times of their own.
[[nodiscard]] inline auto is_due(workflow_record const& record,
                                 occurrence_index occurrence, wall_time wall)
    -> bool
{
    auto const& repeats = record.spec.repeats;
    return repeats.times.value() == 0 ||
           wall.time_since_epoch() >=
               repeats.first + repeats.interval * occurrence.value();
}

/// Length of the longest path through the steps; length_of(step index) is the
/// one of a step.
template <class LengthOf>
[[nodiscard]] auto longest_path(workflow_spec const& spec, LengthOf length_of)
    -> milliseconds
{
    // A step depends only on steps with a lower index.
    std::vector<milliseconds> ends;
    ends.reserve(spec.steps.size());
    milliseconds longest{0};
    for (auto const& step : spec.steps)
    {
        milliseconds begin{0};
        for (auto const before : step.prerequisites)
        {
            begin = std::max(begin, ends[before.value()]);
        }
        ends.push_back(begin + length_of(ends.size()));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

/// Time from its submission in which a workflow has to end, by its contract.
[[nodiscard]] auto allowed_time(workflow_spec const& spec,
                                queue_contract const& terms) -> duration;

/// Until when the rest of a critical path may begin to end within the allowed
/// time. Declared run times are off by up to a factor of two in either
/// direction. A workflow therefore counts as late only if it is late with half
/// of them.
[[nodiscard]] inline auto latest_in_time(time_point since, duration allowed,
                                         duration path) -> time_point
{
    return since + allowed - path / 2;
}

/// Sum of the declared run times along the critical path of the steps that have
/// not finished.
[[nodiscard]] auto remaining_critical_path(workflow_record const& record,
                                           occurrence_index occurrence)
    -> milliseconds;

/// Urgency of the waiting tasks of one occurrence. `since` is when the leader
/// first had one of them ready: when the occurrence was accepted or became due,
/// or at the earliest when the leader was elected.
[[nodiscard]] auto urgency_of(workflow_record const& record,
                              occurrence_index occurrence, time_point since,
                              time_point now) -> urgency;

} // namespace apricotlb

#endif
