/// Ends that a worker lists after the leader has written off their runs.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace apricotlb
{
namespace
{

/// Worker "w1" carries out orders, but its answers are lost for a while, in
/// which a run of 3 s ends there as done.
struct written_off_end : testing::Test
{
    written_off_end()
    {
        fleet.behaviour = [this](std::string const& task)
        {
            ++starts_of[task];
            return platform_worker::run{0, time_point{time}, "done", 1000};
        };
        fleet.add_worker("w1", 4000);
        EXPECT_TRUE(fleet.run_until_listed("w1"));
    }

    auto start_task() -> void
    {
        fleet.submit("a", {fake_fleet::step(1)});
        fleet.run(milliseconds{500});
        ASSERT_EQ(starts_of["a.0.0.0"], 1);
    }

    template <class Condition>
    auto run_until(Condition condition) -> bool
    {
        for (auto n = 0; n < 4000 && !condition(); ++n)
        {
            fleet.run(milliseconds{5});
        }
        return condition();
    }

    /// Loses the answers of the worker until it is on record that the run is
    /// lost.
    auto run_until_lost() -> void
    {
        fleet.unanswering.insert("w1");
        ASSERT_TRUE(run_until([this] { return !is_active(); }));
        ASSERT_EQ(fleet.workers.at("w1")->unacknowledged(), 1U);
    }

    /// The leader has proposed the end of the run.
    [[nodiscard]] auto is_ending() const -> bool
    {
        auto const& runs = fleet.leader->workers().at(worker_id{"w1"}).runs;
        return std::ranges::any_of(
            runs, [](auto const& each)
            { return each.second.phase == run_phase::ending; });
    }

    auto add_second_worker() -> void
    {
        fleet.add_worker("w2", 4000);
        ASSERT_TRUE(fleet.run_until_listed("w2"));
    }

    auto expect_one_start() -> void
    {
        fleet.run(seconds{10});
        EXPECT_EQ(starts_of["a.0.0.0"], 1);
        EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
        expect_later_work_to_end();
    }

    [[nodiscard]] auto is_active() const -> bool
    {
        return fleet.state.workflows().is_active(
            {{workflow_id{"a"}, {}, {}, {}}, run_number{1}});
    }

    auto expect_later_work_to_end() -> void
    {
        fleet.commit_time = milliseconds{15};
        fleet.submit("b", {fake_fleet::step(4)});
        fleet.run(seconds{30});
        EXPECT_EQ(fleet.state_of("b"), workflow_state::completed);
        EXPECT_EQ(fleet.workers.at("w1")->unacknowledged(), 0U);
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
        EXPECT_TRUE(fleet.broken_releases.empty())
            << fleet.broken_releases.front();
    }

    milliseconds time{3000};
    std::map<std::string, int> starts_of;
    fake_fleet fleet{67};
};

// The lists that show the end as done came between the proposal to end the run
// as lost and its commit. The end was acknowledged at once and the task placed
// again.
TEST_F(written_off_end, counts_while_its_run_is_about_to_end_as_lost)
{
    start_task();
    fleet.commit_time = seconds{3};
    fleet.unanswering.insert("w1");
    ASSERT_TRUE(run_until([this] { return is_ending(); }));
    fleet.unanswering.clear();
    ASSERT_TRUE(is_active());
    expect_one_start();
}

// The same after the commit.
TEST_F(written_off_end, counts_while_its_task_has_not_started_again)
{
    start_task();
    run_until_lost();
    fleet.run(seconds{5});
    fleet.unanswering.clear();
    expect_one_start();
}

// The same while the next run is proposed and not yet recorded.
TEST_F(written_off_end, counts_while_the_next_run_is_proposed)
{
    start_task();
    add_second_worker();
    fleet.commit_time = seconds{3};
    run_until_lost();
    fleet.run(milliseconds{50});
    fleet.unanswering.clear();
    expect_one_start();
}

// Another leader knows nothing of the run but that it has ended.
TEST_F(written_off_end, counts_for_the_next_leader)
{
    start_task();
    run_until_lost();
    fleet.lead();
    fleet.unanswering.clear();
    expect_one_start();
}

// An end that is listed after its task has started again must not be
// acknowledged while the worker's lease may have lasted since then.
TEST_F(written_off_end, is_withheld_once_its_task_has_started_again)
{
    start_task();
    add_second_worker();
    run_until_lost();
    ASSERT_TRUE(run_until([this] { return starts_of["a.0.0.0"] == 2; }));
    fleet.unanswering.clear();
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
    EXPECT_TRUE(std::ranges::any_of(
        fleet.leader->take_events(), [](run_event const& it)
        { return it.kind == run_event_kind::end_withheld; }));
    expect_later_work_to_end();
}

// The same under the next leader.
TEST_F(written_off_end, is_withheld_by_the_next_leader)
{
    start_task();
    add_second_worker();
    run_until_lost();
    ASSERT_TRUE(run_until([this] { return starts_of["a.0.0.0"] == 2; }));
    fleet.lead();
    fleet.unanswering.clear();
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.workers.at("w1")->unacknowledged(), 1U);
    expect_later_work_to_end();
}

// An end that stays listed for long must not hide the later ones: a worker
// lists config::max_listed_ends at a time.
TEST_F(written_off_end, does_not_crowd_out_later_ones)
{
    start_task();
    add_second_worker();
    run_until_lost();
    ASSERT_TRUE(run_until([this] { return starts_of["a.0.0.0"] == 2; }));
    fleet.unanswering.clear();
    time = milliseconds{200};
    for (auto n = 0; n < 40; ++n)
    {
        fleet.submit("c" + std::to_string(n), {fake_fleet::step(8)});
        fleet.run(seconds{1});
        EXPECT_LT(fleet.workers.at("w1")->unacknowledged(),
                  config::max_listed_ends);
    }
    expect_later_work_to_end();
    EXPECT_EQ(fleet.live_workflows(), 0U);
}

} // namespace
} // namespace apricotlb
