/// Measures one pass of run_scheduler::plan() over 2,000 ready tasks, by number
/// of workers and kind of tasks. Processor time is that of this thread; the
/// smallest and the median of several passes are printed.
#include "core/fleet/run_scheduler.hpp"
#include "slope_fit.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

constexpr std::size_t passes = 7;
constexpr std::size_t ready_tasks = 2000;
constexpr std::size_t images = 8;
constexpr time_point now{seconds{100}};

/// A leader whose workers each run four serving tasks of different images.
class plan_world
{
public:
    explicit plan_world(std::size_t workers)
        : scheduler_(state_, term{1}, now, fleet_policy{})
    {
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_contract queue;
        queue.name = queue_name{"q"};
        queue.pool = pool_name{"pool"};
        queue.timeout = milliseconds{3000};
        set.queues.push_back(queue);
        apply(apply_contract_set{set});
        for (std::size_t n = 0; n < workers; ++n)
        {
            worker_announcement it;
            auto const name = "w" + std::to_string(n);
            it.instance = {worker_id{name}, worker_incarnation{1}};
            it.address = url{"http://" + name};
            it.pool = pool_name{"pool"};
            it.rack = rack_id{"r" + std::to_string(n % 20)};
            it.capacity = {millicores{16'000}, byte_count{64'000}, {}};
            it.number = sequence{1};
            scheduler_.on_announcement(it, now);
        }
        for (std::size_t n = 0; n < images; ++n)
        {
            step_spec step;
            step.tasks =
                task_count{static_cast<std::int64_t>(4 * workers / images)};
            step.each = {millicores{1000}, byte_count{1000}, {}};
            step.image = image_name{"serving-" + std::to_string(n)};
            step.latency_target = milliseconds{100};
            step.permanent = true;
            step.max_per_worker = task_count{1};
            submit(step);
        }
        while (!state_.workflows().ready().empty())
        {
            auto const before = state_.workflows().ready_count();
            scheduler_.tick(now);
            scheduler_.plan(now, wall_time{});
            carry_out();
            if (state_.workflows().ready_count() == before)
            {
                std::printf("no room for the serving tasks\n");
                std::exit(1);
            }
        }
        // Runs of this age show in the measured latency.
        scheduler_.tick(later);
        (void)scheduler_.take_actions();
    }

    auto submit(step_spec const& step) -> void
    {
        workflow_spec spec;
        spec.id = workflow_id{"f" + std::to_string(++last_id_)};
        spec.steps.push_back(step);
        apply(
            submit_workflow{spec, state_.contract_sets().current()->queues[0]});
    }

    struct pass_cost
    {
        double micros{0};
        std::size_t placed{0};
    };
    auto measure() -> pass_cost
    {
        auto const start = bench::processor_micros();
        scheduler_.plan(later, wall_time{});
        pass_cost out{bench::processor_micros() - start, 0};
        for (auto const& it : scheduler_.take_actions())
        {
            if (auto const* const starts = std::get_if<propose_starts>(&it))
            {
                out.placed += starts->value.runs.size();
            }
        }
        return out;
    }

private:
    static constexpr time_point later = now + seconds{1};

    auto apply(command const& it) -> void
    {
        state_.apply(it, state_.applied() + log_index{1});
        scheduler_.on_applied(it, now);
    }

    /// Commits the proposed starts and confirms the orders.
    auto carry_out() -> void
    {
        for (auto const& it : scheduler_.take_actions())
        {
            if (auto const* const starts = std::get_if<propose_starts>(&it))
            {
                apply(start_runs{starts->value});
            }
        }
        for (auto const& it : scheduler_.take_actions())
        {
            if (auto const* const order = std::get_if<start_order>(&it))
            {
                scheduler_.on_answer(*order, {order_outcome::done, {}}, now);
            }
        }
    }

    state_machine state_;
    run_scheduler scheduler_;
    std::size_t last_id_{0};
};

auto plain(std::size_t /*n*/) -> step_spec
{
    step_spec step;
    step.each = {millicores{1000}, byte_count{1000}, {}};
    return step;
}

struct plan_case
{
    char const* name;
    std::size_t tasks_per_workflow;
    std::function<step_spec(std::size_t)> step;
};

auto cases() -> std::array<plan_case, 5>
{
    return {{
        {"room", 50, plain},
        {"room, scavenging, 8 images", 50,
         [](std::size_t n)
         {
             auto step = plain(n);
             step.scavenges = true;
             step.image = image_name{"scav-" + std::to_string(n % images)};
             return step;
         }},
        {"no room, one size", 50,
         [](std::size_t n)
         {
             auto step = plain(n);
             step.each.cores = millicores{64'000};
             return step;
         }},
        {"no room, a size per workflow", 1,
         [](std::size_t n)
         {
             auto step = plain(n);
             step.each.cores =
                 millicores{64'000 + static_cast<std::int64_t>(n)};
             return step;
         }},
        {"no room, scavenging, an image per workflow", 1,
         [](std::size_t n)
         {
             auto step = plain(n);
             step.scavenges = true;
             step.each.cores = millicores{64'000};
             step.image = image_name{"scav-" + std::to_string(n)};
             return step;
         }},
    }};
}

auto run_case(plan_case const& it, std::size_t workers) -> void
{
    std::vector<double> costs;
    std::size_t placed{0};
    for (std::size_t pass = 0; pass < passes; ++pass)
    {
        plan_world world{workers};
        for (std::size_t n = 0; n < ready_tasks / it.tasks_per_workflow; ++n)
        {
            auto step = it.step(n);
            step.tasks =
                task_count{static_cast<std::int64_t>(it.tasks_per_workflow)};
            world.submit(step);
        }
        auto const cost = world.measure();
        costs.push_back(cost.micros / 1000);
        placed = cost.placed;
    }
    std::ranges::sort(costs);
    std::printf("%5zu workers, %-44s %5zu placed, %8.2f ms, median %8.2f ms\n",
                workers, it.name, placed, costs.front(), costs[passes / 2]);
}

} // namespace
} // namespace apricotlb

auto main() -> int
{
    for (std::size_t const workers : {350U, 1000U, 1800U, 6000U})
    {
        for (auto const& it : apricotlb::cases())
        {
            apricotlb::run_case(it, workers);
        }
    }
    return 0;
}
