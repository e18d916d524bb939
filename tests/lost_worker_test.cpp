/// Time from the loss of a worker until its tasks run elsewhere, while the
/// leader stays in office.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>

namespace apricotlb
{
namespace
{

/// Work that goes on starting on the lost worker while the leader takes it for
/// usable.
struct later_starts
{
    char const* name;
    milliseconds first;    ///< after the loss
    milliseconds interval; ///< 0 for a single one
};

auto operator<<(std::ostream& out, later_starts const& it) -> std::ostream&
{
    return out << it.name;
}

/// A task on worker "w1" that lasts, for which "w2" has room, and tasks that
/// fit "w1" alone.
class lost_worker : public testing::TestWithParam<later_starts>
{
protected:
    /// How long the task stands when the machine of "w1" is lost some time
    /// after an announcement.
    static auto time_without_run(later_starts const& starts, duration after)
        -> duration
    {
        fake_fleet fleet{62};
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
        auto lasting = fake_fleet::step(1);
        lasting.permanent = true;
        fleet.submit("a", {lasting});
        fleet.run(seconds{4});
        EXPECT_TRUE(fleet.workers.at("w1")->running().contains("a.0.0.0"));
        fleet.add_worker("w2", 1000);
        fleet.announce_now();
        fleet.run(after);

        fleet.cut.insert("w1");
        auto const lost_at = fleet.now;
        auto next_start = lost_at + starts.first;
        auto const is_elsewhere = [&fleet]
        { return fleet.workers.at("w2")->running().contains("a.0.0.0"); };
        while (!is_elsewhere() && fleet.now - lost_at < seconds{20})
        {
            if (fleet.now >= next_start)
            {
                submit_large(fleet);
                next_start = starts.interval > milliseconds{}
                                 ? next_start + starts.interval
                                 : time_point::max();
            }
            fleet.run(milliseconds{5});
        }
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
        return fleet.now - lost_at;
    }

private:
    static auto submit_large(fake_fleet& fleet) -> void
    {
        auto large = fake_fleet::step(1);
        large.each.cores = millicores{2000};
        fleet.submit("large" + std::to_string(fleet.now.time_since_epoch() /
                                              milliseconds{1}),
                     {large});
    }
};

// Orders to a worker that is gone prolonged its lease, and held its tasks for
// longer than the 7 s that may pass by day.
TEST_P(lost_worker, frees_its_tasks_within_the_time_allowed_by_day)
{
    constexpr duration allowed = seconds{7};
    for (auto after = milliseconds{}; after < seconds{2};
         after += milliseconds{100})
    {
        EXPECT_LE(time_without_run(GetParam(), after), allowed)
            << after.count();
    }
}

INSTANTIATE_TEST_SUITE_P(
    starts, lost_worker,
    testing::Values(later_starts{"none", milliseconds{60'000}, {}},
                    later_starts{"many", milliseconds{50}, milliseconds{100}},
                    later_starts{"one_at_once", milliseconds{50}, {}},
                    later_starts{"one_after_1s", milliseconds{1000}, {}},
                    later_starts{"one_after_2s", milliseconds{2000}, {}},
                    later_starts{"one_after_3s", milliseconds{3000}, {}}),
    [](auto const& it) { return std::string{it.param.name}; });

} // namespace
} // namespace apricotlb
