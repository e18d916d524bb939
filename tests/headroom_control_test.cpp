#include "core/fleet/headroom_control.hpp"

#include <gtest/gtest.h>

namespace apricotlb
{
namespace
{

constexpr auto start = time_point{seconds{100}};
constexpr strain_count calm{400, 0};
constexpr strain_count strained{400, 160};

auto play(headroom_control& it, strain_count const& count, time_point from,
          int intervals) -> time_point
{
    for (; intervals > 0; --intervals)
    {
        from += config::headroom_interval;
        it.update(count, from);
    }
    return from;
}

// With a fixed headroom, four of ten workers stayed strained after a crest,
// and a third of the scavenging tasks were slowed and ended late.
TEST(headroom_control, places_less_while_many_workers_are_strained)
{
    headroom_control it;
    EXPECT_EQ(it.headroom(false), config::disturbance_headroom);
    EXPECT_EQ(it.headroom(true), config::harmless_headroom);
    auto const now = play(it, strained, start, 2);
    EXPECT_EQ(it.headroom(false), config::disturbance_headroom -
                                      config::headroom_cut -
                                      config::headroom_cut);
    EXPECT_EQ(it.headroom(true), config::harmless_headroom -
                                     config::headroom_cut -
                                     config::headroom_cut);
    play(it, strained, now, 100);
    EXPECT_EQ(it.headroom(false),
              config::disturbance_headroom - config::max_headroom_reduction);
    EXPECT_GT(it.headroom(false), permille{});
}

// A headroom that stayed low after a crest would keep scavenging work waiting
// beside idle processors.
TEST(headroom_control, returns_to_the_full_headroom_after_a_crest)
{
    headroom_control it;
    auto const now = play(it, strained, start, 100);
    play(it, calm, now, 100);
    EXPECT_EQ(it.headroom(false), config::disturbance_headroom);
}

// Between the bounds each small change of the strain would move the headroom.
TEST(headroom_control, keeps_the_headroom_at_a_moderate_strain)
{
    headroom_control it;
    auto const now = play(it, strained, start, 3);
    auto const kept = it.headroom(false);
    play(it, {400, 30}, now, 20);
    EXPECT_EQ(it.headroom(false), kept);
}

// Passes come every few milliseconds, and measurements twice a second: the
// same measurements must not lower the headroom more than once.
TEST(headroom_control, counts_once_per_interval)
{
    headroom_control it;
    for (auto n = 1; n <= 100; ++n)
    {
        it.update(strained, start + n * milliseconds{5});
    }
    EXPECT_EQ(it.headroom(false),
              config::disturbance_headroom - config::headroom_cut);
    // Without serving tasks there is nothing to learn.
    play(it, {0, 0}, start, 10);
    EXPECT_EQ(it.headroom(false),
              config::disturbance_headroom - config::headroom_cut);
}

} // namespace
} // namespace apricotlb
