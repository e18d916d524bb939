#include "core/fleet/urgency.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <vector>

namespace apricotlb
{

namespace
{

/// Length of the longest path through the steps; a step for which
/// counts(index) is false adds nothing.
template <class Counts>
auto critical_path(workflow_spec const& spec, Counts counts) -> milliseconds
{
    // A step depends only on steps with a lower index.
    std::vector<milliseconds> ends;
    milliseconds longest{0};
    for (auto const& step : spec.steps)
    {
        milliseconds begin{0};
        for (auto const before : step.prerequisites)
        {
            begin = std::max(begin, ends[before.value()]);
        }
        ends.push_back(begin +
                       (counts(ends.size()) ? step.estimate : milliseconds{0}));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

/// True if a task of the occurrence has run.
auto has_begun(workflow_record const& record, occurrence_index occurrence)
    -> bool
{
    if (!record.started || record.occurrences.size() == 1)
    {
        return record.started;
    }
    return std::ranges::any_of(record.occurrences[occurrence.value()].steps,
                               [](step_progress const& step)
                               {
                                   return std::ranges::any_of(
                                       step.tasks, [](task_progress const& task)
                                       { return task.last > run_number{}; });
                               });
}

} // namespace

auto remaining_critical_path(workflow_record const& record,
                             occurrence_index occurrence) -> milliseconds
{
    auto const& steps = record.occurrences[occurrence.value()].steps;
    return critical_path(record.spec, [&steps](std::size_t n)
                         { return !steps[n].is_finished(); });
}

auto urgency_of(workflow_record const& record, occurrence_index occurrence,
                time_point since, time_point now) -> urgency
{
    auto const full_path =
        critical_path(record.spec, [](std::size_t) { return true; });
    duration const allowed =
        duration{full_path} * record.terms.stretch.value() / 1000 +
        record.terms.target;
    duration const path = remaining_critical_path(record, occurrence);
    // Declared run times are off by up to a factor of two in either direction.
    // A workflow therefore counts as late only if it is late with half of them.
    auto const latest = since + allowed - path / 2;
    auto const age = now - since;
    auto const begun = has_begun(record, occurrence);
    if (now <= latest)
    {
        if (begun || age <= (latest - since) / 3)
        {
            return {worth_left::full,
                    begun ? wait_stage::begun : wait_stage::early,
                    latest.time_since_epoch()};
        }
        return {worth_left::full, wait_stage::delayed, age};
    }
    if (age <= allowed * config::max_lateness_factor - path / 2)
    {
        return {worth_left::reduced,
                begun ? wait_stage::begun : wait_stage::delayed, age};
    }
    return {worth_left::none, wait_stage::delayed, since.time_since_epoch()};
}

} // namespace apricotlb
