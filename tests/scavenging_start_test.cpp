#include "measured_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace apricotlb
{
namespace
{

/// Four workers of which each has a serving task, and scavenging work of the
/// image "harmful" that the leader has measured to raise its latency.
class scavenging_start : public testing::Test
{
protected:
    scavenging_start()
    {
        fleet.effect = [](std::string const& image)
        { return image == "harmful" ? 1.5 : 0.0; };
        fleet.submit("serving", {measured_fleet::serving_step(4)});
        fleet.run(seconds{3});
        fleet.submit("first", {measured_fleet::scavenging_step("harmful", 4)});
        fleet.run(seconds{8});
        fleet.finish("first");
        fleet.run(seconds{4});
    }

    measured_fleet fleet{4};
};

// The effect of an image is only measured while it runs, so that nothing would
// ever lower the estimate by which it is kept out.
TEST_F(scavenging_start, is_not_put_off_for_good_by_a_learned_effect)
{
    fleet.submit("second", {measured_fleet::scavenging_step("harmful", 4)});
    fleet.run(seconds{3});
    EXPECT_GT(fleet.running("second"), 0U);
}

// A serving task may be near its target by its own load for as long as its
// users want.
TEST_F(scavenging_start, is_not_put_off_for_good_by_the_load_of_serving_tasks)
{
    fleet.idle_latency = 70;
    fleet.run(seconds{3});
    fleet.submit("second", {measured_fleet::scavenging_step("harmless", 4)});
    fleet.run(seconds{3});
    EXPECT_GT(fleet.running("second"), 0U);
}

// Stopped without another place, a task lost the one that it had, and waited.
TEST_F(scavenging_start, leaves_paused_work_where_no_other_worker_takes_it)
{
    fleet.submit("second", {measured_fleet::scavenging_step("harmful", 4)});
    fleet.run(seconds{3});
    auto const running = fleet.running("second");
    ASSERT_GT(running, 0U);
    fleet.idle_latency = 120;
    fleet.run(seconds{10});
    EXPECT_EQ(fleet.stops, 0U);
    EXPECT_EQ(fleet.running("second"), running);
}

// Paused for good, a task would never end although another worker is free.
TEST_F(scavenging_start, moves_paused_work_to_a_worker_that_takes_it)
{
    fleet.submit("second", {measured_fleet::scavenging_step("harmful", 1)});
    fleet.run(seconds{3});
    ASSERT_EQ(fleet.running("second"), 1U);
    fleet.idle_latency = 120;
    fleet.run(seconds{5});
    ASSERT_EQ(fleet.stops, 0U);
    fleet.add_worker("free");
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.stops, 1U);
    EXPECT_EQ(fleet.running("second"), 1U);
    EXPECT_EQ(fleet.running_on("free"), 1U);
}

// A serving task that is over its target by its own load kept all work beside
// it paused, so that the work never ended.
TEST_F(scavenging_start, goes_on_beside_serving_tasks_that_miss_by_themselves)
{
    fleet.submit("second", {measured_fleet::scavenging_step("harmless", 4)});
    fleet.run(seconds{2});
    ASSERT_EQ(fleet.running("second"), 4U);
    fleet.idle_latency = 120;
    fleet.run(seconds{6});
    auto const before = fleet.work["second"];
    fleet.run(seconds{20});
    EXPECT_GT(fleet.work["second"] - before, milliseconds{1000});
}

// The steps that work gets beside a strained serving task must not hide that
// the work is what keeps it over its target.
TEST_F(scavenging_start, stays_paused_beside_a_serving_task_that_it_slows_down)
{
    fleet.submit("second", {measured_fleet::scavenging_step("harmful", 1)});
    fleet.run(seconds{3});
    ASSERT_EQ(fleet.running("second"), 1U);
    fleet.idle_latency = 60;
    duration over{};
    for (auto n = 0; n < 600; ++n)
    {
        fleet.run(milliseconds{50});
        auto const is_over =
            std::ranges::any_of(fleet.names(), [&](std::string const& name)
                                { return fleet.latency_on(name) > 100; });
        over = is_over ? over + milliseconds{50} : duration{};
        ASSERT_LT(over, seconds{4});
    }
}

class strained_fleet : public testing::Test
{
protected:
    auto strain(std::size_t workers) -> measured_fleet&
    {
        auto& it = fleet.emplace(workers);
        it.idle_latency = 95;
        it.submit("serving", {measured_fleet::serving_step(
                                 static_cast<std::int64_t>(workers))});
        it.run(seconds{3});
        return it;
    }

    static auto reserved_step() -> step_spec
    {
        auto step = measured_fleet::serving_step(4);
        step.latency_target = {};
        step.each.cores = millicores{6000};
        return step;
    }

    /// As many tasks without reservations as one pass may start.
    auto submit_bulk(std::string const& id, queue_priority priority) -> void
    {
        workflow_spec spec;
        spec.id = workflow_id{id};
        spec.steps.emplace_back();
        spec.steps[0].tasks = task_count{
            static_cast<std::int64_t>(config::max_unconfirmed_starts)};
        auto terms = fleet->state.contract_sets().current()->queues[0];
        terms.name = queue_name{id};
        terms.priority = priority;
        fleet->apply(submit_workflow{std::move(spec), std::move(terms)});
    }

    std::optional<measured_fleet> fleet;
};

// Passes that ended before they reached the step began its wait anew.
TEST_F(strained_fleet, starts_work_behind_urgent_work_that_ends_passes_early)
{
    auto& it = strain(4);
    it.submit("a", {measured_fleet::scavenging_step("harmless", 1)});
    for (auto n = 0; n < 8; ++n)
    {
        auto const id = "urgent" + std::to_string(n);
        submit_bulk(id, queue_priority{0});
        it.run(milliseconds{400});
        ASSERT_EQ(it.running(id), config::max_unconfirmed_starts);
        it.finish(id);
    }
    EXPECT_EQ(it.running("a"), 1U);
}

// A wait that is over, kept while passes end early, would count for the next.
TEST_F(strained_fleet, counts_the_wait_anew_after_work_has_run)
{
    auto& it = strain(4);
    it.submit("a", {measured_fleet::scavenging_step("harmless", 1)});
    it.run(milliseconds{300});
    ASSERT_EQ(it.running("a"), 0U);
    it.add_worker("free");
    for (auto n = 0; n < 12 && it.running("a") == 0; ++n)
    {
        auto const id = "later" + std::to_string(n);
        submit_bulk(id, queue_priority{2});
        it.run(milliseconds{50});
        it.apply(cancel_workflow{workflow_id{id}, wall_time{}});
    }
    ASSERT_EQ(it.running("a"), 1U);
    it.phases["free"] = worker_phase::draining;
    it.run(seconds{1});
    it.finish("a", run_end::lost);
    it.run(milliseconds{500});
    EXPECT_EQ(it.running("a"), 0U);
}

// Steps that no worker can take used up all searches of each pass.
TEST_F(strained_fleet, starts_work_behind_steps_that_no_worker_can_take)
{
    auto& it = strain(4);
    auto step = measured_fleet::scavenging_step("harmless", 1);
    step.requires_label = worker_label{"absent"};
    for (std::size_t n = 0; n < 2 * config::max_latency_wait_searches; ++n)
    {
        it.submit("a" + std::to_string(n), {step});
    }
    it.submit("b", {measured_fleet::scavenging_step("harmless", 1)});
    it.run(seconds{3});
    EXPECT_EQ(it.running("b"), 1U);
}

// Work that lasts kept all other work from its worker.
TEST_F(strained_fleet, starts_more_work_than_it_has_workers)
{
    auto& it = strain(4);
    for (auto n = 0; n < 8; ++n)
    {
        it.submit("a" + std::to_string(n),
                  {measured_fleet::scavenging_step("harmless", 1)});
    }
    it.run(seconds{8});
    for (auto n = 0; n < 8; ++n)
    {
        EXPECT_EQ(it.running("a" + std::to_string(n)), 1U) << n;
    }
}

// The tasks of a permanent step do not wait for each other.
TEST_F(strained_fleet, starts_each_task_of_a_permanent_scavenging_step)
{
    auto& it = strain(4);
    auto step = measured_fleet::scavenging_step("harmless", 4);
    step.permanent = true;
    it.submit("a", {step});
    it.run(seconds{8});
    EXPECT_EQ(it.running("a"), 4U);
}

// On a fleet that is in use, latencies come before the waits of other work.
TEST_F(strained_fleet, keeps_the_headroom_while_most_of_the_pool_is_reserved)
{
    auto& it = strain(4);
    auto other = reserved_step();
    it.submit("other", {other});
    it.run(seconds{1});
    ASSERT_EQ(it.running("other"), 4U);
    it.submit("a", {measured_fleet::scavenging_step("harmless", 1)});
    it.run(seconds{5});
    EXPECT_EQ(it.running("a"), 0U);
}

/// Six workers of which two take no new runs. The other four are reserved to
/// over half, all six to under half.
class partly_closed_fleet : public strained_fleet
{
protected:
    static constexpr std::array<char const*, 2> closed{"w4", "w5"};

    auto announce_closed_as(worker_phase phase) -> void
    {
        for (auto const* const name : closed)
        {
            it.phases[name] = phase;
        }
    }

    /// Runs of a scavenging step 3 s after it was submitted.
    auto started() -> std::size_t
    {
        it.idle_latency = 95;
        it.run(seconds{3});
        it.submit("serving", {measured_fleet::serving_step(4)});
        it.submit("other", {reserved_step()});
        it.run(seconds{3});
        EXPECT_EQ(it.running("serving"), 4U);
        EXPECT_EQ(it.running("other"), 4U);
        for (auto const* const name : closed)
        {
            EXPECT_EQ(it.running_on(name), 0U);
        }
        it.submit("a", {measured_fleet::scavenging_step("harmless", 1)});
        it.run(seconds{3});
        return it.running("a");
    }

    measured_fleet& it{fleet.emplace(6)};
};

// Workers that drain are in use until they have left.
TEST_F(partly_closed_fleet, starts_work_while_workers_drain)
{
    announce_closed_as(worker_phase::draining);
    EXPECT_EQ(started(), 1U);
}

// Workers that answer no orders for a while still are part of the service.
TEST_F(partly_closed_fleet, starts_work_while_workers_answer_no_orders)
{
    for (auto const* const name : closed)
    {
        poll_order order;
        order.to.instance = {worker_id{name}, worker_incarnation{1}};
        order.to.fence = make_fence(
            term{1}, it.scheduler().workers().at(worker_id{name}).life);
        it.scheduler().on_answer(order, poll_answer{}, it.now);
    }
    EXPECT_EQ(started(), 1U);
}

// What has left is no room; the workers that remain are in use.
TEST_F(partly_closed_fleet, keeps_the_headroom_once_workers_have_left)
{
    announce_closed_as(worker_phase::left);
    EXPECT_EQ(started(), 0U);
}

// Work beyond the processors would slow down all work of the worker.
TEST(scavenging_fleet, starts_nothing_beyond_its_processors)
{
    measured_fleet fleet{2};
    auto step = measured_fleet::scavenging_step("harmless", 32);
    fleet.submit("first", {step});
    fleet.run(seconds{1});
    ASSERT_EQ(fleet.running("first"), 32U);
    fleet.submit("second", {measured_fleet::scavenging_step("harmless", 1)});
    fleet.run(seconds{5});
    EXPECT_EQ(fleet.running("second"), 0U);
}

// A latency just below the target neither resumed paused work nor showed that
// the pause was in vain.
TEST(scavenging_fleet, goes_on_beside_serving_tasks_just_below_their_targets)
{
    for (auto phase = milliseconds{0}; phase < seconds{4};
         phase += milliseconds{250})
    {
        measured_fleet fleet{4};
        fleet.submit("serving", {measured_fleet::serving_step(4)});
        fleet.run(seconds{3});
        fleet.submit("a", {measured_fleet::scavenging_step("harmless", 4)});
        fleet.run(seconds{2});
        fleet.idle_latency = 120;
        fleet.run(seconds{4} + phase);
        fleet.idle_latency = 95;
        fleet.run(seconds{4});
        auto const before = fleet.work["a"];
        fleet.run(seconds{20});
        EXPECT_GT(fleet.work["a"] - before, seconds{4}) << phase.count();
    }
}

} // namespace
} // namespace apricotlb
