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
    EXPECT_EQ(it.signal(start, none).wake_after, seconds{5});
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
    static_cast<void>(it.signal(start, request_count{2}));
    auto const late = start + seconds{5};
    EXPECT_FALSE(it.step(late, request_count{2}).exit);
    EXPECT_EQ(it.phase(), drain_phase::finishing);
    auto const one_left = it.step(late, request_count{1});
    EXPECT_FALSE(one_left.exit);
    EXPECT_FALSE(one_left.stop_listening);
    EXPECT_TRUE(it.step(late, none).exit);
    EXPECT_FALSE(it.step(late, none).exit);
}

// A second signal that waited, or hid what it cut, would leave the operator
// with no way to stop a process whose requests hang.
TEST(drain, ends_at_once_and_tells_the_interrupted_on_a_second_signal)
{
    drain it{seconds{5}};
    static_cast<void>(it.signal(start, request_count{3}));
    auto const second = it.signal(start, request_count{3});
    EXPECT_TRUE(second.exit);
    EXPECT_TRUE(second.stop_listening);
    EXPECT_EQ(second.interrupted, request_count{3});
    EXPECT_FALSE(it.signal(start, request_count{3}).exit);
}

} // namespace
} // namespace apricotlb
