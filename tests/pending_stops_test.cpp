#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace apricotlb
{
namespace
{

/// Worker "w1" is known and idle; its tasks run for as long as they may.
class late_starts : public testing::Test
{
protected:
    late_starts()
    {
        fleet.behaviour = [this](std::string const&) {
            return platform_worker::run{0, time_point{lasts}, "done", 1000};
        };
        fleet.policy.lease = seconds{10};
        fleet.lead();
        fleet.add_worker("w1", 16'000);
        EXPECT_TRUE(fleet.run_until_known("w1"));
        fleet.run(seconds{1});
    }

    auto worker() -> platform_worker& { return *fleet.workers.at("w1"); }

    /// Worker "w1" carries out a held up start order of a leader.
    auto start_late(std::string const& workflow, fence_token fence,
                    duration lease = std::chrono::hours{1}) -> void
    {
        auto const until = std::chrono::duration_cast<milliseconds>(
            fleet.now.time_since_epoch() + lease);
        start_order const it{
            {{worker_id{"w1"}, worker_incarnation{1}},
             url{"w1:1"},
             zone_id{"z1"},
             fence,
             fleet.now},
            {{workflow_id{workflow}, {}, {}, {}}, run_number{1}},
            {},
            {},
            worker_clock{until.count()}};
        worker().serve(platform::run_codec::encode(it), fleet.now);
    }
    [[nodiscard]] auto runs(std::string const& workflow) -> bool
    {
        return worker().running().contains(workflow + ".0.0.0");
    }
    auto run_permanent(std::string const& workflow) -> void
    {
        auto step = fake_fleet::step(1);
        step.permanent = true;
        fleet.submit(workflow, {step});
        fleet.run(milliseconds{500});
        ASSERT_TRUE(runs(workflow));
    }

    duration lasts{std::chrono::hours{1}};
    fake_fleet fleet{71};
};

TEST_F(late_starts, are_stopped_by_a_new_leader_on_workers_without_runs)
{
    start_late("late", make_fence(term{2}, life_number{1}));
    fleet.lead();
    fleet.run(seconds{2});
    EXPECT_FALSE(runs("late"));
}

TEST_F(late_starts, of_an_earlier_leader_are_refused_by_workers_without_runs)
{
    fleet.lead();
    fleet.run(seconds{2});
    start_late("late", make_fence(term{2}, life_number{1}));
    EXPECT_FALSE(runs("late"));
}

TEST_F(late_starts, of_ended_runs_are_stopped_in_the_next_life_of_a_worker)
{
    lasts = milliseconds{1200};
    fleet.faults.unanswered = 100;
    fleet.submit("a", {fake_fleet::step(1)});
    fleet.run(milliseconds{1100});
    ASSERT_TRUE(runs("a"));
    fleet.faults.unanswered = 0;
    fleet.run(seconds{2});
    ASSERT_EQ(fleet.live_workflows(), 0U);
    lasts = std::chrono::hours{1};
    worker().restart(2, fleet.now);
    fleet.run(milliseconds{1500});
    start_late("a", make_fence(term{2}, life_number{2}));
    ASSERT_TRUE(runs("a"));
    fleet.run(seconds{2});
    EXPECT_FALSE(runs("a"));
}

TEST_F(late_starts, are_stopped_although_a_stop_is_lost)
{
    run_permanent("a");
    fleet.polls_wait = true;
    start_late("late", make_fence(term{2}, life_number{1}));
    fleet.lost_stops = 1;
    fleet.run(milliseconds{3400});
    EXPECT_FALSE(runs("late"));
    EXPECT_TRUE(runs("a"));
}

// Polls of a worker with nothing but such a run would keep its lease.
TEST_F(late_starts, end_with_their_lease_on_a_worker_that_gets_no_stops)
{
    start_late("late", make_fence(term{2}, life_number{1}), seconds{3});
    fleet.lead();
    fleet.lost_stops = 1000;
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.leader->summary(fleet.now).unrecorded, 1);
    fleet.run(seconds{2});
    EXPECT_FALSE(runs("late"));
}

TEST_F(late_starts, are_reported_once_until_they_are_gone)
{
    run_permanent("a");
    (void)fleet.leader->take_events();
    fleet.lost_stops = 3;
    start_late("late", make_fence(term{2}, life_number{1}));
    fleet.run(milliseconds{2500});
    auto const waiting = fleet.leader->longest_waiting(fleet.now, wall_time{});
    ASSERT_EQ(waiting.unstopped.size(), 1U);
    EXPECT_FALSE(waiting.unstopped.front().is_recorded);
    EXPECT_GT(waiting.unstopped.front().orders, 1);
    fleet.run(seconds{4});
    EXPECT_FALSE(runs("late"));
    EXPECT_EQ(fleet.leader->summary(fleet.now).unrecorded, 0);
    EXPECT_EQ(std::ranges::count(fleet.leader->take_events(),
                                 run_event_kind::unrecorded, &run_event::kind),
              1);
}

} // namespace
} // namespace apricotlb
