#include "core/fleet/run_scheduler.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// A leader whose workers run serving tasks of different images, and the tasks
/// that one pass of its planner places.
class serving_fleet
{
public:
    explicit serving_fleet(std::size_t workers)
        : scheduler_(state_, term{1}, now_, fleet_policy{})
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
            announce(n);
        }
        constexpr std::size_t images = 16;
        for (std::size_t n = 0; n < images; ++n)
        {
            step_spec step;
            step.tasks =
                task_count{static_cast<std::int64_t>(3 * workers / images)};
            step.each = {millicores{3000}, byte_count{6000}, {}};
            step.image = image_name{"serving-" + std::to_string(n)};
            step.latency_target = milliseconds{100};
            step.permanent = true;
            submit(step);
        }
        while (!state_.workflows().ready().empty())
        {
            auto const before = state_.workflows().ready_count();
            plan_once();
            EXPECT_LT(state_.workflows().ready_count(), before);
            if (state_.workflows().ready_count() == before)
            {
                return;
            }
        }
    }

    auto submit(step_spec const& step) -> void
    {
        workflow_spec spec;
        spec.id = workflow_id{"f" + std::to_string(++last_id_)};
        spec.steps.push_back(step);
        apply(
            submit_workflow{spec, state_.contract_sets().current()->queues[0]});
    }

    /// One pass, whose starts are committed and confirmed; returns them.
    auto plan_once() -> std::vector<placed_run>
    {
        now_ += milliseconds{50};
        scheduler_.tick(now_);
        (void)scheduler_.take_actions();
        scheduler_.plan(now_, wall_time{});
        std::vector<placed_run> out;
        for (auto const& it : scheduler_.take_actions())
        {
            if (auto const* const starts = std::get_if<propose_starts>(&it))
            {
                out.insert(out.end(), starts->value.runs.begin(),
                           starts->value.runs.end());
                apply(start_runs{starts->value});
            }
        }
        for (auto const& it : scheduler_.take_actions())
        {
            if (auto const* const order = std::get_if<start_order>(&it))
            {
                scheduler_.on_answer(*order, {order_outcome::done, {}}, now_);
            }
        }
        return out;
    }

    [[nodiscard]] auto scheduler() const -> run_scheduler const&
    {
        return scheduler_;
    }

private:
    auto announce(std::size_t n) -> void
    {
        worker_announcement it;
        auto const name = "w" + std::to_string(n);
        it.instance = {worker_id{name}, worker_incarnation{1}};
        it.address = url{"http://" + name};
        it.pool = pool_name{"pool"};
        it.capacity = {millicores{16'000}, byte_count{64'000}, {}};
        it.number = sequence{1};
        scheduler_.on_announcement(it, now_);
        for (auto const& action : scheduler_.take_actions())
        {
            poll_answer answer;
            answer.outcome = order_outcome::done;
            answer.lists.incarnation = it.instance.incarnation;
            scheduler_.on_answer(std::get<poll_order>(action), answer, now_);
        }
    }

    auto apply(command const& it) -> void
    {
        state_.apply(it, state_.applied() + log_index{1});
        scheduler_.on_applied(it, now_);
    }

    time_point now_{seconds{100}};
    state_machine state_;
    run_scheduler scheduler_;
    std::size_t last_id_{0};
};

auto wide_step(std::size_t image) -> step_spec
{
    step_spec step;
    step.tasks = task_count{40};
    step.each = {millicores{1800}, byte_count{3200}, {}};
    step.image = image_name{"scavenging-" + std::to_string(image)};
    step.scavenges = true;
    return step;
}

// The load of the large survey office: 80 steps of 40 scavenging tasks a
// second over 1,800 workers. A pass that looked at every worker for each task
// reached its bound after some 50 tasks, and 17,739 of 132,844 were done.
TEST(wide_steps, are_placed_by_one_pass_on_a_large_fleet)
{
    serving_fleet it{1800};
    for (std::size_t n = 0; n < 25; ++n)
    {
        it.submit(wide_step(n));
    }
    EXPECT_EQ(it.plan_once().size(), 25U * 40U);
}

// Tasks of one step that pile up on the worker that was best at first work
// slowly there while others are idle.
TEST(wide_steps, are_spread_over_workers_that_are_alike)
{
    serving_fleet it{16};
    it.submit(wide_step(0));
    std::map<worker_id, int> tasks;
    for (auto const& run : it.plan_once())
    {
        ++tasks[run.worker.id];
    }
    std::vector<millicores> loads;
    for (auto const& [id, worker] : it.scheduler().workers())
    {
        loads.push_back(millicores{worker.reserved.cores.value() / 2} +
                        worker.scavenged_cores);
    }
    auto const [least, most] = std::ranges::minmax(loads);
    EXPECT_LE((most - least).value(), 1800 + 1500);
    EXPECT_GE(tasks.size(), 14U);
}

// A worker on which a task of the step does not fit any more must not get
// another one, and its room must not be exceeded.
TEST(wide_steps, stay_within_the_room_of_each_worker)
{
    serving_fleet it{8};
    for (std::size_t n = 0; n < 8; ++n)
    {
        it.submit(wide_step(n));
    }
    it.plan_once();
    it.plan_once();
    for (auto const& [id, worker] : it.scheduler().workers())
    {
        EXPECT_GE(worker.free().memory, byte_count{0}) << id.value();
        EXPECT_LE(worker.reserved.cores.value() / 2 +
                      worker.scavenged_cores.value(),
                  worker.info->capacity.cores.value())
            << id.value();
    }
}

} // namespace
} // namespace apricotlb
