#include "fake_fleet.hpp"
#include "property.hpp"

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

/// Workers whose capacity changes, and which start whatever they are told to.
class worker_capacity : public testing::Test
{
protected:
    auto add_worker(std::string const& name, std::int64_t cpu) -> void
    {
        fleet.add_worker(name, cpu);
        fleet.workers[name]->accepts_everything = true;
    }
    auto add_known_worker(std::string const& name, std::int64_t cpu) -> void
    {
        add_worker(name, cpu);
        fleet.announce_now();
        ASSERT_TRUE(fleet.run_until_listed(name));
    }
    auto resize(std::string const& name, std::int64_t cpu) -> void
    {
        fleet.workers[name]->resize(cpu);
        fleet.announce_now();
    }
    auto running_on(std::string const& name) -> std::size_t
    {
        return fleet.workers[name]->running().size();
    }
    auto expect_no_start_over_capacity() -> void
    {
        for (auto const& [name, it] : fleet.workers)
        {
            EXPECT_EQ(it->starts_over_capacity(), 0U) << name;
        }
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
    }
    auto runs_take(duration time) -> void
    {
        fleet.behaviour = [time](std::string const&) {
            return platform_worker::run{0, time_point{time}, "done", 1000};
        };
    }

    fake_fleet fleet{31};
};

TEST_F(worker_capacity, shrinks_while_starts_are_committed)
{
    add_known_worker("w1", 4000);
    fleet.submit("a", {fake_fleet::step(4)});
    fleet.run(milliseconds{5});
    resize("w1", 2000);
    fleet.run(milliseconds{100});
    EXPECT_EQ(running_on("w1"), 2U);
    expect_no_start_over_capacity();
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
    expect_no_start_over_capacity();
}

TEST_F(worker_capacity, shrinks_to_nothing_while_starts_are_committed)
{
    add_known_worker("w1", 4000);
    fleet.submit("a", {fake_fleet::step(4)});
    fleet.run(milliseconds{5});
    resize("w1", 0);
    add_worker("w2", 4000);
    fleet.run(milliseconds{100});
    EXPECT_EQ(running_on("w1"), 0U);
    EXPECT_EQ(running_on("w2"), 4U);
    expect_no_start_over_capacity();
}

// The first send was lost; the worker shrinks before the next.
TEST_F(worker_capacity, shrinks_before_a_start_order_is_repeated)
{
    runs_take(seconds{20});
    add_known_worker("w1", 4000);
    fleet.submit("a", {fake_fleet::step(2)});
    fleet.run(milliseconds{100});
    ASSERT_EQ(running_on("w1"), 2U);
    fleet.faults.lost = 100;
    fleet.submit("b", {fake_fleet::step(2)});
    fleet.run(milliseconds{300});
    ASSERT_EQ(fleet.starts, 4U);
    fleet.faults.lost = 0;
    add_worker("w2", 4000);
    resize("w1", 3000);
    fleet.run(seconds{4});
    expect_no_start_over_capacity();
    EXPECT_EQ(running_on("w1") + running_on("w2"), 4U);
}

// The record names runs that the worker never got.
TEST_F(worker_capacity, shrinks_before_a_new_leader_starts_recorded_runs)
{
    runs_take(seconds{20});
    add_known_worker("w1", 4000);
    fleet.faults.lost = 100;
    fleet.submit("a", {fake_fleet::step(4)});
    fleet.run(milliseconds{100});
    ASSERT_EQ(fleet.starts, 4U);
    fleet.faults.lost = 0;
    fleet.lead();
    resize("w1", 1000);
    add_worker("w2", 4000);
    fleet.run(seconds{3});
    expect_no_start_over_capacity();
    EXPECT_EQ(running_on("w1") + running_on("w2"), 4U);
}

// The other members would wait for one that never starts.
TEST_F(worker_capacity, places_a_gang_again_when_a_member_no_longer_fits)
{
    runs_take(seconds{2});
    add_known_worker("w1", 1000);
    add_known_worker("w2", 1000);
    auto gang = fake_fleet::step(2);
    gang.gang = true;
    fleet.submit("a", {gang});
    fleet.run(milliseconds{5});
    resize("w1", 0);
    add_worker("w3", 1000);
    fleet.run(milliseconds{500});
    EXPECT_EQ(running_on("w1"), 0U);
    ASSERT_EQ(running_on("w2"), 1U);
    ASSERT_EQ(running_on("w3"), 1U);
    auto const& on_w2 = *fleet.workers["w2"]->running().begin();
    auto const& on_w3 = *fleet.workers["w3"]->running().begin();
    EXPECT_NE(on_w2.first, on_w3.first);
    EXPECT_EQ(on_w2.second.number, on_w3.second.number);
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
    expect_no_start_over_capacity();
}

// A stop would throw the work away; the worker only slows down.
TEST_F(worker_capacity, keeps_confirmed_runs_of_a_worker_that_shrinks)
{
    add_known_worker("w1", 4000);
    fleet.run(milliseconds{100});
    fleet.submit("a", {fake_fleet::step(6)});
    fleet.run(milliseconds{300});
    ASSERT_EQ(running_on("w1"), 4U);
    resize("w1", 1000);
    fleet.run(milliseconds{500});
    EXPECT_EQ(running_on("w1"), 4U);
    fleet.run(milliseconds{500});
    EXPECT_EQ(running_on("w1"), 1U);
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
    EXPECT_EQ(fleet.starts, 6U);
    expect_no_start_over_capacity();
}

TEST_F(worker_capacity, is_used_at_once_when_it_grows_again)
{
    add_known_worker("w1", 4000);
    resize("w1", 0);
    fleet.run(milliseconds{5});
    fleet.submit("a", {fake_fleet::step(4)});
    fleet.run(milliseconds{200});
    ASSERT_EQ(running_on("w1"), 0U);
    resize("w1", 4000);
    fleet.run(milliseconds{40});
    EXPECT_EQ(running_on("w1"), 4U);
    expect_no_start_over_capacity();
}

TEST_F(worker_capacity, limits_scavenging_tasks_when_it_shrinks)
{
    runs_take(seconds{20});
    add_known_worker("w1", 4000);
    auto filling = fake_fleet::step(1);
    filling.scavenges = true;
    fleet.submit("a", {filling});
    fleet.run(milliseconds{100});
    ASSERT_EQ(running_on("w1"), 1U);
    resize("w1", 1000);
    fleet.run(milliseconds{5});
    fleet.submit("b", {filling});
    fleet.run(seconds{1});
    EXPECT_EQ(running_on("w1"), 1U);
    resize("w1", 2000);
    fleet.run(milliseconds{100});
    EXPECT_EQ(running_on("w1"), 2U);
}

// Two processes forward the announcements of one worker in turn.
TEST_F(worker_capacity, is_not_hidden_by_the_contact_of_another_process)
{
    add_known_worker("w1", 4000);
    auto const& entry = fleet.leader->workers().at(worker_id{"w1"});
    auto const first = entry.described;
    fleet.run(milliseconds{1200});
    fleet.workers["w1"]->resize(1000);
    auto const shrunk = fleet.announcement_of("w1");
    fleet.leader->on_announcement(shrunk, fleet.now);
    worker_contact const contact{
        shrunk.instance, shrunk.number + sequence{1}, first, shrunk.clock, {}};
    EXPECT_FALSE(fleet.leader->on_contact(contact, fleet.now));
    EXPECT_EQ(entry.info->capacity.cores, millicores{1000});
}

// Whatever the moment of a change, no later send starts more than fits.
TEST(worker_capacity_history, never_starts_over_the_announced_capacity)
{
    check_property(33, 60, 24,
                   [](steps const& drawn)
                   {
                       fake_fleet it{drawn.empty() ? 1U : drawn.front()};
                       it.behaviour = [](std::string const&)
                       {
                           return platform_worker::run{
                               0, time_point{milliseconds{700}}, "done", 1000};
                       };
                       for (auto const* const name : {"w1", "w2", "w3"})
                       {
                           it.add_worker(name, 4000);
                           it.workers[name]->accepts_everything = true;
                       }
                       it.run(milliseconds{50});
                       auto submitted = 0;
                       for (auto const random : drawn)
                       {
                           choices pick{random};
                           auto const name =
                               "w" + std::to_string(1 + pick.below(3));
                           switch (pick.below(5))
                           {
                           case 0:
                               it.submit("j" + std::to_string(++submitted),
                                         {fake_fleet::step(1 + pick.below(6))});
                               break;
                           case 1:
                               it.workers[name]->resize(std::int64_t{1000} *
                                                        pick.below(5));
                               it.announce_now();
                               break;
                           case 2:
                               it.faults.lost = 50;
                               break;
                           case 3:
                               it.faults.lost = 0;
                               break;
                           default:
                               it.lead();
                               break;
                           }
                           it.run(milliseconds{5 * (1 + pick.below(60))});
                       }
                       it.faults.lost = 0;
                       it.run(seconds{6});
                       for (auto const& [name, worker] : it.workers)
                       {
                           RC_ASSERT(worker->starts_over_capacity() == 0U);
                       }
                       RC_ASSERT(it.violations.empty());
                   });
}

} // namespace
} // namespace apricotlb
