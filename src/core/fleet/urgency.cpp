#include "core/fleet/urgency.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <vector>

namespace apricotlb
{

namespace
{

/// Longest chain over the steps for which counts(index) holds.
template <class Counts>
auto longest_chain(workflow_spec const& spec, Counts counts) -> milliseconds
{
    // A step only depends on earlier ones.
    std::vector<milliseconds> ends;
    milliseconds longest{0};
    for (auto const& step : spec.steps)
    {
        milliseconds begin{0};
        for (auto const before : step.depends_on)
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

auto remaining_chain(workflow_record const& it, occurrence_index occurrence)
    -> milliseconds
{
    auto const& steps = it.occurrences[occurrence.value()].steps;
    return longest_chain(it.spec, [&steps](std::size_t n)
                         { return !steps[n].is_finished(); });
}

auto urgency_of(workflow_record const& it, occurrence_index occurrence,
                time_point since, time_point now) -> urgency
{
    auto const chain = longest_chain(it.spec, [](std::size_t) { return true; });
    duration const allowed =
        duration{chain} * it.terms.stretch.value() / 1000 + it.terms.target;
    // Declared run times are off by up to a factor of two either way, so a
    // workflow is taken for late only if it would be with half of them.
    auto const rest = duration{remaining_chain(it, occurrence)} / 2;
    auto const latest = since + allowed - rest;
    if (now <= latest)
    {
        return {worth_left::full, latest};
    }
    if (now <= since + allowed * config::max_lateness_factor - rest)
    {
        return {worth_left::reduced, since};
    }
    return {worth_left::none, since};
}

} // namespace apricotlb
