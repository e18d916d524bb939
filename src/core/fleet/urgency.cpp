#include "core/fleet/urgency.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cstddef>

namespace apricotlb
{

namespace
{

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

auto allowed_time(workflow_spec const& spec, queue_contract const& terms)
    -> duration
{
    auto const path = longest_path(spec, [&spec](std::size_t n)
                                   { return spec.steps[n].estimate; });
    return duration{path} * terms.stretch.value() / 1000 + terms.target;
}

auto remaining_critical_path(workflow_record const& record,
                             occurrence_index occurrence) -> milliseconds
{
    auto const& steps = record.occurrences[occurrence.value()].steps;
    return longest_path(record.spec,
                        [&](std::size_t n)
                        {
                            return steps[n].is_finished()
                                       ? milliseconds{0}
                                       : record.spec.steps[n].estimate;
                        });
}

auto urgency_of(workflow_record const& record, occurrence_index occurrence,
                time_point since, time_point now) -> urgency
{
    auto const allowed = allowed_time(record.spec, record.terms);
    duration const path = remaining_critical_path(record, occurrence);
    auto const latest = latest_in_time(since, allowed, path);
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
