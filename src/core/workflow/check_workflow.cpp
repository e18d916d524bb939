#include "core/workflow/queue_place.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/workflow.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace apricotlb
{

namespace
{

auto refuse_step(std::size_t step, std::string_view problem)
    -> outcome::failure_type<error>
{
    return fail(error_kind::bad_request,
                "steps[" + std::to_string(step) + "]: " + std::string{problem});
}

auto check_step(step_spec const& step, std::size_t index) -> result<void>
{
    if (step.tasks < task_count{1} || step.tasks > config::max_tasks_per_job)
    {
        return refuse_step(index, "tasks must be 1 to 10000");
    }
    if (step.each.cores < millicores{0} || step.each.memory < byte_count{0} ||
        step.each.accels < accelerators{0} || step.estimate < milliseconds{0} ||
        step.latency_target < milliseconds{0} ||
        step.max_per_worker < task_count{0} ||
        step.max_unavailable < task_count{0})
    {
        return refuse_step(index,
                           "resources, times and limits must not be negative");
    }
    auto const is_earlier = [index](step_index dependency)
    { return dependency.value() < index; };
    if (!std::ranges::all_of(step.prerequisites, is_earlier))
    {
        return refuse_step(index, "must depend on earlier steps only");
    }
    return outcome::success();
}

auto refuse_set(std::string problem) -> outcome::failure_type<error>
{
    return fail(error_kind::bad_contract, std::move(problem));
}

} // namespace

auto check(workflow_spec const& it) -> result<void>
{
    if (it.id.value().empty() || it.id.value().size() > config::max_name_length)
    {
        return fail(error_kind::bad_request,
                    "id: must be 1 to 128 characters long");
    }
    if (it.payload.size() > config::max_payload_bytes)
    {
        return fail(error_kind::body_too_large,
                    "payload: must be at most 16 KiB");
    }
    if (it.steps.empty() || it.steps.size() > config::max_workflow_steps)
    {
        return fail(error_kind::bad_request, "steps: must be 1 to 64 steps");
    }
    std::int64_t tasks{0};
    for (std::size_t n = 0; n < it.steps.size(); ++n)
    {
        BOOST_OUTCOME_TRYV(check_step(it.steps[n], n));
        tasks += it.steps[n].tasks.value();
    }
    auto const occurrences =
        std::max<std::int64_t>(it.repeats.times.value(), 1);
    if (tasks > config::max_workflow_tasks / occurrences)
    {
        return fail(error_kind::job_too_large,
                    "steps: must be at most 100000 tasks over all occurrences");
    }
    if (it.repeats.interval < milliseconds{0})
    {
        return fail(error_kind::bad_request,
                    "repeats: the interval must not be negative");
    }
    return outcome::success();
}

auto check(contract_set const& it) -> result<void>
{
    std::set<pool_name> pools;
    for (auto const& pool : it.pools)
    {
        if (pool.name.value().empty() || !pools.insert(pool.name).second)
        {
            return refuse_set(
                "pools: each name must be unique and not empty, got: " +
                pool.name.value());
        }
    }
    std::set<queue_place> places;
    for (auto const& queue : it.queues)
    {
        if (!pools.contains(queue.pool))
        {
            return refuse_set(
                "queue " + queue.name.value() +
                " refers to an unknown pool: " + queue.pool.value());
        }
        if (!places.insert(queue_place_of(queue.host, queue.prefix)).second)
        {
            return refuse_set("two queues have the host " + queue.host.value() +
                              " and the prefix " + queue.prefix.value());
        }
        if (queue.timeout <= milliseconds{0})
        {
            return refuse_set("queue " + queue.name.value() +
                              " must have a timeout above 0 ms");
        }
        if (queue.max_failures == 0 || queue.stretch < permille{0} ||
            queue.target < milliseconds{0})
        {
            return refuse_set("queue " + queue.name.value() +
                              " must have a max_failures of at least 1 and a "
                              "stretch and target that are not negative");
        }
    }
    return outcome::success();
}

} // namespace apricotlb
