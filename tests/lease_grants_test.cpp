/// What prolongs the lease of a worker, and with it the time for which its
/// tasks are held if orders do not reach it any more.
#include "fake_fleet.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// Worker "w1", which announces itself whether orders reach it or not. Tasks
/// run for as long as they may.
struct one_worker
{
    one_worker()
    {
        fleet.behaviour = [](std::string const& /*task*/)
        {
            return platform_worker::run{0, time_point{std::chrono::hours{1}},
                                        "done", 1000};
        };
        fleet.polls_wait = true;
        fleet.policy.lease = seconds{10};
        fleet.lead();
        fleet.add_worker("w1", 200'000);
        EXPECT_TRUE(fleet.run_until_listed("w1"));
    }

    auto submit_lasting() -> void
    {
        auto lasting = fake_fleet::step(1);
        lasting.permanent = true;
        fleet.submit("a", {lasting});
    }
    /// A task that no other worker has room for.
    auto submit_large() -> void
    {
        auto large = fake_fleet::step(1);
        large.each.cores = millicores{2000};
        fleet.submit("large" + std::to_string(++submitted_large), {large});
    }
    [[nodiscard]] auto is_on(std::string const& worker) const -> bool
    {
        return fleet.workers.at(worker)->running().contains("a.0.0.0");
    }
    [[nodiscard]] auto entry() const -> worker_entry const&
    {
        return fleet.leader->workers().at(worker_id{"w1"});
    }
    auto add_second_worker() -> void
    {
        fleet.add_worker("w2", 1000);
        ASSERT_TRUE(fleet.run_until_listed("w2"));
    }
    /// Time from the last order that reaches "w1" until "w2" runs the task,
    /// while other tasks are submitted for "w1"; none if the interval is 0.
    auto time_until_replaced(duration start_interval) -> duration
    {
        fleet.deaf.insert("w1");
        auto const lost_at = fleet.now;
        auto next_start = lost_at + start_interval;
        while (!is_on("w2") && fleet.now - lost_at < seconds{20})
        {
            if (start_interval > duration{} && fleet.now >= next_start)
            {
                submit_large();
                next_start += start_interval;
            }
            fleet.run(milliseconds{5});
        }
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
        return fleet.now - lost_at;
    }
    /// The polls that are due now.
    auto next_polls() -> std::vector<poll_order>
    {
        fleet.leader->tick(fleet.now);
        std::vector<poll_order> out;
        for (auto const& it : fleet.leader->take_actions())
        {
            if (auto const* const poll = std::get_if<poll_order>(&it))
            {
                out.push_back(*poll);
            }
        }
        return out;
    }

    fake_fleet fleet{61};
    int submitted_large{0}; ///< their number
};

/// The rule's time for a task that lasts: its last lease and a moment more.
constexpr duration allowed = seconds{7};

struct lease_grants : testing::Test, one_worker
{
};

/// By the time between other starts on "w1"; 0 for none.
class unreached_worker : public testing::TestWithParam<milliseconds>
{
};

// Announcements prolonged the leader's bound on a lease whose polls and starts
// did not arrive: the task stood for seconds on a worker that had ended it.
TEST_P(unreached_worker, holds_its_tasks_for_its_last_lease_only)
{
    for (auto after = milliseconds{}; after < seconds{2};
         after += milliseconds{100})
    {
        SCOPED_TRACE(after.count());
        one_worker it;
        it.submit_lasting();
        it.fleet.run(seconds{4});
        ASSERT_TRUE(it.is_on("w1"));
        it.add_second_worker();
        it.fleet.run(after);
        EXPECT_LE(it.time_until_replaced(GetParam()), allowed);
    }
}

INSTANTIATE_TEST_SUITE_P(starts, unreached_worker,
                         testing::Values(milliseconds{0}, milliseconds{100},
                                         milliseconds{1000}),
                         [](auto const& it) {
                             return "each_" + std::to_string(it.param.count());
                         });

// The start is repeated, and each repetition prolonged the bound.
TEST_F(lease_grants, a_first_start_without_an_answer_holds_its_task_as_long)
{
    fleet.run(seconds{20});
    fleet.deaf.insert("w1");
    submit_lasting();
    fleet.run(milliseconds{500});
    ASSERT_TRUE(entry().has_open_orders);
    add_second_worker();
    EXPECT_LE(time_until_replaced({}) + milliseconds{600}, allowed);
}

// A worker without runs is not polled: a lease that counts from its last answer
// would be over when its first start arrives.
TEST_F(lease_grants, a_first_start_gives_an_idle_worker_a_whole_lease)
{
    fleet.run(seconds{20});
    submit_lasting();
    auto const submitted = fleet.now;
    while (fleet.starts == 0 && fleet.now - submitted < seconds{1})
    {
        fleet.run(milliseconds{5});
    }
    EXPECT_GE(entry().lease.latest_end(), fleet.now + seconds{5});
    fleet.run(seconds{10});
    EXPECT_TRUE(is_on("w1"));
    EXPECT_EQ(fleet.starts, 1U);
}

// The lease of an answered poll has to outlast the polls that get no answer.
TEST_F(lease_grants, keep_the_runs_of_a_worker_that_answers_in_part)
{
    submit_lasting();
    fleet.run(seconds{1});
    ASSERT_TRUE(is_on("w1"));
    auto const starts = fleet.starts;
    fleet.faults.unanswered = 60;
    for (auto const end = fleet.now + seconds{60}; fleet.now < end;)
    {
        fleet.lost_polls = entry().has_lost_poll ? 0 : 1;
        fleet.run(milliseconds{5});
    }
    EXPECT_TRUE(is_on("w1"));
    EXPECT_EQ(fleet.starts, starts);
}

// A poll that waits would outlast a lease that counts from an old answer.
TEST_F(lease_grants, a_poll_long_after_the_last_answer_does_not_wait)
{
    submit_lasting();
    fleet.run(seconds{1});
    ASSERT_TRUE(is_on("w1"));
    while (entry().poll_in_flight)
    {
        fleet.run(milliseconds{5});
    }
    fleet.now += config::min_poll_interval;
    auto const usual = next_polls();
    ASSERT_EQ(usual.size(), 1U);
    EXPECT_GT(usual[0].wait, milliseconds{});
    poll_answer busy;
    busy.outcome = order_outcome::not_sent;
    fleet.leader->on_answer(usual[0], busy, fleet.now);
    fleet.now += config::lease_extension_timeout;
    fleet.leader->on_announcement(fleet.announcement_of("w1"), fleet.now);
    auto const next = next_polls();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_TRUE(next[0].lease_end);
    EXPECT_EQ(next[0].wait, milliseconds{});
}

// Polls that a busy relay does not send got no answer, and were not lost
// either: the tasks stood for as long as the worker announced itself.
TEST_F(lease_grants, end_with_the_bound_if_polls_are_not_sent)
{
    submit_lasting();
    fleet.run(seconds{2});
    ASSERT_TRUE(is_on("w1"));
    add_second_worker();
    fleet.unsent.insert("w1");
    auto const end = fleet.now + seconds{20};
    while (is_on("w1") && fleet.now < end)
    {
        fleet.run(milliseconds{50});
    }
    ASSERT_FALSE(is_on("w1"));
    // A task that could run may have nothing running for 3 s.
    fleet.run(seconds{3});
    EXPECT_TRUE(is_on("w2"));
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
}

} // namespace
} // namespace apricotlb
