#include "core/entry/drain.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace apricotlb
{
namespace
{

constexpr time_point start{};
constexpr drain_load none{};
constexpr auto term = stop_signal::terminate;
/// 5 s until the end of listening, and no end by force.
constexpr drain_times unbounded{seconds{5}, seconds{6}, std::nullopt};

auto requests(std::int64_t n) -> drain_load
{
    return {request_count{n}, connection_count{static_cast<std::int32_t>(n)}};
}

// An entry that stops listening before the load balancer has moved callers
// refuses their connections.
TEST(drain, keeps_listening_while_the_load_balancer_reacts)
{
    drain it{unbounded};
    EXPECT_EQ(it.signal(term, start, none).wake_after, seconds{5});
    EXPECT_TRUE(it.is_draining());
    auto const early = it.step(start + seconds{4}, none);
    EXPECT_FALSE(early.stop_listening);
    EXPECT_FALSE(early.exit);
    EXPECT_EQ(early.wake_after, seconds{1});
    auto const due = it.step(start + seconds{5}, none);
    EXPECT_TRUE(due.stop_listening);
    EXPECT_TRUE(due.exit);
    EXPECT_EQ(due.interrupted, request_count{0});
}

// An exit with requests in flight would interrupt their callers.
TEST(drain, exits_once_with_the_last_request)
{
    drain it{unbounded};
    static_cast<void>(it.signal(term, start, requests(2)));
    auto const late = start + seconds{5};
    EXPECT_FALSE(it.step(late, requests(2)).exit);
    EXPECT_EQ(it.phase(), drain_phase::finishing);
    auto const one_left = it.step(late, requests(1));
    EXPECT_FALSE(one_left.exit);
    EXPECT_FALSE(one_left.stop_listening);
    EXPECT_TRUE(it.step(late, none).exit);
    EXPECT_FALSE(it.step(late, none).exit);
}

// An exit while connections are open cuts the requests that are on their way.
TEST(drain, waits_for_open_connections_and_closes_idle_ones_at_the_end)
{
    drain it{unbounded};
    constexpr drain_load idle{request_count{0}, connection_count{3}};
    EXPECT_TRUE(it.signal(term, start, idle).close_after_answers);
    auto const due = it.step(start + seconds{5}, idle);
    EXPECT_TRUE(due.stop_listening);
    EXPECT_FALSE(due.exit || due.close_idle);
    EXPECT_EQ(due.wake_after, config::drain_check_interval);
    auto const late = it.step(start + seconds{6}, idle);
    EXPECT_TRUE(late.close_idle);
    EXPECT_FALSE(late.exit);
    EXPECT_TRUE(it.step(start + seconds{6}, none).exit);
}

// A process that outlasts its grace is killed, with what it could still say.
TEST(drain, ends_before_it_is_killed)
{
    drain it{drain_times::within(seconds{2}, seconds{6})};
    static_cast<void>(it.signal(term, start, requests(1)));
    EXPECT_EQ(it.time_left(start + seconds{1}), seconds{4});
    EXPECT_TRUE(it.step(start + seconds{4}, requests(1)).close_idle);
    auto const end = it.step(start + seconds{5}, requests(1));
    EXPECT_TRUE(end.exit);
    EXPECT_EQ(end.interrupted, request_count{1});
}

// A wait for the load balancer that is longer than the grace would leave no
// time to finish requests.
TEST(drain, fits_all_its_times_into_the_grace)
{
    auto const it = drain_times::within(seconds{20}, seconds{6});
    EXPECT_LT(it.stop_listening, it.close_idle);
    EXPECT_LT(it.close_idle, it.end);
    EXPECT_LT(it.end, seconds{6});
    EXPECT_FALSE(drain_times::within(seconds{20}, {}).end.has_value());
}

// A platform that repeats its signal must not cut what is in flight.
TEST(drain, goes_on_when_a_termination_signal_is_repeated)
{
    drain it{unbounded};
    auto const busy = requests(3);
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
        drain it{unbounded};
        static_cast<void>(it.signal(first, start, requests(3)));
        auto const second =
            it.signal(stop_signal::interrupt, start, requests(3));
        EXPECT_TRUE(second.exit);
        EXPECT_TRUE(second.stop_listening);
        EXPECT_EQ(second.interrupted, request_count{3});
        EXPECT_FALSE(
            it.signal(stop_signal::interrupt, start, requests(3)).exit);
    }
}

} // namespace
} // namespace apricotlb
