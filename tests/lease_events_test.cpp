/// What the leader reports of runs that it ends when the lease of their worker
/// is over, and of those that go on after that.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

/// A worker with a run that lasts, and the events of the leader that follow.
struct lease_events : testing::Test
{
    lease_events()
    {
        fleet.behaviour = [](std::string const& /*task*/)
        {
            return platform_worker::run{0, time_point{std::chrono::hours{1}},
                                        "done", 1000};
        };
        fleet.add_worker("w1", 4000);
        fleet.submit("a", {fake_fleet::step(1)});
        fleet.run(seconds{2});
        EXPECT_EQ(fleet.workers.at("w1")->running().size(), 1U);
    }

    auto events(run_event_kind kind) -> std::vector<run_event>
    {
        auto out = fleet.leader->take_events();
        std::erase_if(out, [kind](auto const& it) { return it.kind != kind; });
        return out;
    }

    /// Of the end of the run, which comes before the time is over.
    auto lease_at_end() -> lease_report
    {
        fleet.run(seconds{14});
        auto const ended = events(run_event_kind::lease_over);
        EXPECT_EQ(ended.size(), 1U);
        return ended.at(0).lease.value();
    }

    /// Cuts the worker off for longer than its lease, while another one may
    /// take the task, and returns the reports of runs that went on.
    auto alive_after_cut() -> std::vector<run_event>
    {
        fleet.cut.insert("w1");
        fleet.add_worker("w2", 4000);
        fleet.run(seconds{8});
        fleet.cut.clear();
        fleet.lost_stops = 2; // so that a run would be listed several times
        fleet.run(seconds{8});
        EXPECT_TRUE(fleet.workers.at("w1")->running().empty());
        return events(run_event_kind::alive_after_lease);
    }

    fake_fleet fleet{61};
};

// Nothing told which bound had ended a run, so that a wrong one wasn't found.
TEST_F(lease_events, a_worker_that_is_gone_ends_with_its_granted_lease)
{
    fleet.workers.erase("w1");
    auto const lease = lease_at_end();
    EXPECT_EQ(lease.cause, lease_bound_cause::granted);
    EXPECT_LT(lease.bound_age.value(), config::scheduler_tick);
    EXPECT_GE(lease.list_age.value(), config::worker_contact_timeout);
    EXPECT_GE(lease.announced_age.value(), config::worker_contact_timeout);
}

// A worker that polls don't reach was taken for one that is gone.
TEST_F(lease_events, a_worker_that_polls_do_not_reach_is_told_from_others)
{
    fleet.deaf.insert("w1");
    auto const lease = lease_at_end();
    EXPECT_GE(lease.list_age.value(), config::lease_extension_timeout);
    EXPECT_LT(lease.announced_age.value(), config::worker_contact_timeout);
}

TEST_F(lease_events, a_later_leader_ends_the_runs_of_inherited_leases)
{
    fleet.workers.erase("w1");
    fleet.lead();
    auto const lease = lease_at_end();
    EXPECT_EQ(lease.cause, lease_bound_cause::inherited);
    EXPECT_FALSE(lease.list_age);
    EXPECT_FALSE(lease.announced_age);
}

// Two runs of a task at the same time were not counted.
TEST_F(lease_events, a_run_that_outlasts_the_bound_is_reported_once)
{
    poll_order poll;
    poll.to.instance = {worker_id{"w1"}, worker_incarnation{1}};
    poll.to.address = url{"w1:1"};
    poll.to.fence = make_fence(term{1}, life_number{1});
    poll.lease_end = worker_clock{60'000};
    auto const request = platform::run_codec::encode(poll);
    fleet.workers.at("w1")->longest_lease = std::chrono::hours{1};
    fleet.workers.at("w1")->serve(request, fleet.now);
    auto const alive = alive_after_cut();
    EXPECT_FALSE(fleet.violations.empty()); // the task runs twice
    ASSERT_EQ(alive.size(), 1U);
    EXPECT_EQ(alive.front().run.number, run_number{1});
    EXPECT_EQ(alive.front().worker.id, worker_id{"w1"});
}

TEST_F(lease_events, a_run_that_lapsed_is_not_reported_as_alive)
{
    EXPECT_TRUE(alive_after_cut().empty());
    EXPECT_TRUE(fleet.violations.empty());
}

} // namespace
} // namespace apricotlb
