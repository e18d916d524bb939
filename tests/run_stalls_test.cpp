#include "measured_fleet.hpp"

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

// Without the reasons, a step that no worker is expected to bear looks like
// one that the planner has forgotten.
TEST(run_stalls, name_the_reason_why_a_new_step_has_not_started)
{
    measured_fleet fleet{4};
    fleet.idle_latency = 95;
    auto serving = measured_fleet::serving_step(4);
    serving.each.cores = millicores{9000};
    fleet.submit("serving", {serving});
    fleet.run(seconds{3});
    ASSERT_EQ(fleet.running("serving"), 4U);
    EXPECT_TRUE(fleet.stalls().empty());

    fleet.submit("scavenging", {measured_fleet::scavenging_step("s", 3)});
    fleet.run(milliseconds{50});
    EXPECT_TRUE(fleet.stalls().empty());
    fleet.run(seconds{1});
    auto const all = fleet.stalls();
    ASSERT_EQ(all.size(), 1U);
    auto const& it = all.front();
    EXPECT_EQ(it.task.workflow, workflow_id{"scavenging"});
    EXPECT_EQ(it.waiting, task_count{3});
    EXPECT_EQ(it.waited, milliseconds{1000});
    EXPECT_EQ(it.cause, stall_cause::no_worker);
    EXPECT_TRUE(it.scavenges);
    EXPECT_EQ(it.workers[placement_obstacle::latency], 4);
    EXPECT_EQ(it.workers[placement_obstacle::none], 0);
    EXPECT_EQ(it.largest_free_cores, millicores{7'000});
}

// A planner that leaves out what would fit has to be seen by itself.
TEST(run_stalls, name_a_step_that_a_worker_would_take)
{
    measured_fleet fleet{1};
    fleet.submit("a", {measured_fleet::scavenging_step("s", 1)});
    EXPECT_TRUE(fleet.stalls().empty());
    fleet.now += milliseconds{1100};
    auto const all = fleet.stalls();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all.front().cause, stall_cause::unreached);
    EXPECT_TRUE(is_contradiction(all.front().cause));
    EXPECT_EQ(all.front().workers[placement_obstacle::none], 1);
}

// A long backlog would make the report as long as a pass.
TEST(run_stalls, are_bounded_in_number)
{
    measured_fleet fleet{1};
    for (std::size_t n = 0; n < 2 * config::max_reported_waits; ++n)
    {
        fleet.submit("a" + std::to_string(n),
                     {measured_fleet::scavenging_step("s", 1)});
    }
    EXPECT_TRUE(fleet.stalls().empty());
    fleet.now += milliseconds{1100};
    EXPECT_EQ(fleet.stalls().size(), config::max_reported_waits);
}

// A wide step of which some tasks run makes progress.
TEST(run_stalls, leave_out_steps_that_make_progress)
{
    measured_fleet fleet{1};
    auto step = measured_fleet::scavenging_step("s", 3);
    step.each.memory = byte_count{30'000};
    fleet.submit("wide", {step});
    fleet.run(milliseconds{50});
    ASSERT_EQ(fleet.running("wide"), 2U);
    EXPECT_TRUE(fleet.stalls().empty());
    fleet.run(milliseconds{1100});
    EXPECT_TRUE(fleet.stalls().empty());
}

} // namespace
} // namespace apricotlb
