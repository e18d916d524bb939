/// What the leader reports of runs that it ends when the lease of their worker
/// is over.
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

} // namespace
} // namespace apricotlb
