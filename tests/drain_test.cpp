#include "core/entry/drain.hpp"

#include <gtest/gtest.h>

namespace apricotlb
{
namespace
{

constexpr time_point start{};
constexpr request_count none{0};

// An entry that stops listening before the load balancer has moved callers
// refuses their connections.
TEST(drain, keeps_listening_while_the_load_balancer_reacts)
{
    drain it{seconds{5}};
    EXPECT_EQ(it.signal(stop_signal::terminate, start, none).wake_after,
              seconds{5});
    EXPECT_TRUE(it.is_draining());
    auto const early = it.step(start + seconds{4}, none);
    EXPECT_FALSE(early.stop_listening);
    EXPECT_FALSE(early.exit);
    EXPECT_EQ(early.wake_after, seconds{1});
    auto const due = it.step(start + seconds{5}, none);
    EXPECT_TRUE(due.stop_listening);
    EXPECT_TRUE(due.exit);
    EXPECT_EQ(due.interrupted, none);
}

// An exit with requests in flight would interrupt their callers.
TEST(drain, exits_once_with_the_last_request)
{
    drain it{seconds{5}};
    static_cast<void>(
        it.signal(stop_signal::terminate, start, request_count{2}));
    auto const late = start + seconds{5};
    EXPECT_FALSE(it.step(late, request_count{2}).exit);
    EXPECT_EQ(it.phase(), drain_phase::finishing);
    auto const one_left = it.step(late, request_count{1});
    EXPECT_FALSE(one_left.exit);
    EXPECT_FALSE(one_left.stop_listening);
    EXPECT_TRUE(it.step(late, none).exit);
    EXPECT_FALSE(it.step(late, none).exit);
}

// A platform that repeats its signal must not cut what is in flight.
TEST(drain, goes_on_when_a_termination_signal_is_repeated)
{
    drain it{seconds{5}};
    constexpr request_count busy{3};
    constexpr auto term = stop_signal::terminate;
    static_cast<void>(it.signal(term, start, busy));
    for (auto const after : {seconds{0}, seconds{1}, seconds{4}})
    {
        auto const again = it.signal(term, start + after, busy);
        EXPECT_FALSE(again.exit || again.stop_listening);
        EXPECT_EQ(it.phase(), drain_phase::unhealthy);
    }
    EXPECT_TRUE(it.step(start + seconds{5}, busy).stop_listening);
    EXPECT_FALSE(it.signal(term, start + seconds{6}, busy).exit);
    EXPECT_TRUE(it.step(start + seconds{7}, none).exit);
}

// A second interrupt that waited, or hid what it cut, would leave a person at
// a terminal with no way to stop a process whose requests hang.
TEST(drain, ends_at_once_and_tells_the_interrupted_on_a_second_interrupt)
{
    for (auto const first : {stop_signal::interrupt, stop_signal::terminate})
    {
        drain it{seconds{5}};
        static_cast<void>(it.signal(first, start, request_count{3}));
        auto const second =
            it.signal(stop_signal::interrupt, start, request_count{3});
        EXPECT_TRUE(second.exit);
        EXPECT_TRUE(second.stop_listening);
        EXPECT_EQ(second.interrupted, request_count{3});
        EXPECT_FALSE(
            it.signal(stop_signal::interrupt, start, request_count{3}).exit);
    }
}

} // namespace
} // namespace apricotlb
