#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

/// A queue whose contract moves it to another pool.
class queue_change : public testing::Test
{
protected:
    auto move_to(std::string const& pool) -> void
    {
        auto set = *fleet.state.contract_sets().current();
        set.version = contract_set_version{set.version.value() + 1};
        set.queues[0].pool = pool_name{pool};
        fleet.apply(apply_contract_set{set});
    }

    fake_fleet fleet{41};
};

TEST_F(queue_change, withdraws_starts_that_are_being_committed)
{
    fleet.add_worker("w1", 4000);
    fleet.announce_now();
    ASSERT_TRUE(fleet.run_until_listed("w1"));
    fleet.submit("a", {fake_fleet::step(2)});
    fleet.run(milliseconds{5});
    move_to("other");
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.starts, 0U);
    move_to("pool");
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
}

// The record names runs that the worker never got.
TEST_F(queue_change, withdraws_recorded_runs_under_a_new_leader)
{
    fleet.add_worker("w1", 4000);
    fleet.announce_now();
    ASSERT_TRUE(fleet.run_until_listed("w1"));
    fleet.faults.lost = 100;
    fleet.submit("a", {fake_fleet::step(2)});
    fleet.run(milliseconds{100});
    ASSERT_EQ(fleet.starts, 2U);
    move_to("other");
    fleet.faults.lost = 0;
    fleet.lead();
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.starts, 2U);
    EXPECT_TRUE(fleet.workers["w1"]->running().empty());
}

} // namespace
} // namespace apricotlb
