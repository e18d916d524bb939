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
    // Declared run times are off by up to a factor of two in either direction.
    // A workflow therefore counts as late only if it is late with half of them.
    auto const remaining =
        duration{remaining_critical_path(record, occurrence)} / 2;
    auto const latest = since + allowed - remaining;
    if (now <= latest)
    {
        return {worth_left::full, latest};
    }
    if (now <= since + allowed * config::max_lateness_factor - remaining)
    {
        return {worth_left::reduced, since};
    }
    return {worth_left::none, since};
}

} // namespace apricotlb
