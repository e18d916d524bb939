#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace apricotlb
{
namespace
{

/// Worker "w1" with a long run, and tasks of 50 ms whose starts are counted.
/// Its next life announces itself late; until then it gets orders that were
/// sent to the former one, and knows no fencing token.
struct late_release : testing::Test
{
    late_release()
    {
        fleet.behaviour = [this](std::string const& task)
        {
            ++starts_of[task];
            auto const time = task == "long.0.0.0" ? milliseconds{3'600'000}
                                                   : milliseconds{50};
            return platform_worker::run{0, time_point{time}, "done", 1000};
        };
        fleet.add_worker("w1", 4000);
        EXPECT_TRUE(fleet.run_until_listed("w1"));
        submit("long");
        fleet.run(seconds{20});
    }

    auto submit(std::string const& id) -> void
    {
        fleet.submit(id, {fake_fleet::step(1)});
    }

    template <class Condition>
    auto run_until(Condition condition) -> bool
    {
        for (auto n = 0; n < 400 && !condition(); ++n)
        {
            fleet.run(milliseconds{5});
        }
        return condition();
    }

    [[nodiscard]] auto has_recorded_end() const -> bool
    {
        return fleet.leader->workers().at(worker_id{"w1"}).recorded >
               end_number{};
    }

    auto restart_unheard(milliseconds first_clock = {}) -> void
    {
        fleet.unheard.insert("w1");
        fleet.workers.at("w1")->restart(2, fleet.now, first_clock);
    }

    auto expect_one_start_of_each_task() -> void
    {
        fleet.late_starts.reset();
        fleet.late_releases.reset();
        fleet.unheard.clear();
        fleet.run(seconds{10});
        EXPECT_EQ(starts_of["a.0.0.0"], 1);
        EXPECT_EQ(starts_of["b.0.0.0"], 1);
        EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
        EXPECT_EQ(fleet.state_of("b"), workflow_state::completed);
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
    }

    std::map<std::string, int> starts_of;
    fake_fleet fleet{64};
};

// A start and an acknowledgement that were both open reached the next life in
// this order, which forgot an end that no leader had seen: the task ran again.
TEST_F(late_release, a_start_waits_for_an_open_acknowledgement)
{
    fleet.late_releases = milliseconds{1500};
    submit("a");
    ASSERT_TRUE(run_until([&] { return has_recorded_end(); }));
    fleet.run(milliseconds{100});
    fleet.late_starts = milliseconds{500};
    submit("b");
    fleet.run(milliseconds{100});
    restart_unheard();
    fleet.run(milliseconds{1700});
    expect_one_start_of_each_task();
}

// The same with the start sent first.
TEST_F(late_release, an_acknowledgement_waits_for_an_open_start)
{
    fleet.late_releases = milliseconds{1500};
    submit("a");
    ASSERT_TRUE(run_until([&] { return starts_of.contains("a.0.0.0"); }));
    fleet.late_starts = milliseconds{1000};
    submit("b");
    ASSERT_TRUE(run_until([&] { return has_recorded_end(); }));
    fleet.run(milliseconds{100});
    restart_unheard();
    fleet.run(milliseconds{1700});
    expect_one_start_of_each_task();
}

// An acknowledgement that came after it was sent to the same life, which was
// taken for the former one as its clock ran ahead.
TEST_F(late_release, a_clock_that_jumps_ahead_shows_another_life)
{
    submit("a");
    ASSERT_TRUE(run_until([&] { return starts_of.contains("a.0.0.0"); }));
    fleet.commit_time = milliseconds{300};
    submit("b");
    fleet.run(milliseconds{160});
    restart_unheard(milliseconds{24'000});
    ASSERT_TRUE(run_until([&] { return starts_of.contains("b.0.0.0"); }));
    ASSERT_FALSE(has_recorded_end());
    fleet.run(milliseconds{1500});
    expect_one_start_of_each_task();
}

} // namespace
} // namespace apricotlb
