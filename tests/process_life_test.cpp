#include "adapters/glib_clock.hpp"
#include "app/process.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace apricotlb
{
namespace
{

constexpr std::chrono::hours hour{1};

// Without the offset a test cannot show what a clock that is set does to a
// process.
TEST(clock_offset, moves_the_time_of_day_and_the_first_life)
{
    glib_clock const plain;
    glib_clock const behind{wall_offset{-hour}};
    auto const difference = plain.exact_wall_now() - behind.exact_wall_now();
    EXPECT_LE(difference, hour + seconds{10});
    EXPECT_GE(difference, hour - seconds{10});
    EXPECT_LE(behind.wall_now(), behind.exact_wall_now());
    EXPECT_LT(new_incarnation(behind), new_incarnation(plain));
}

// A clock that is set while a process runs must not move its timers, and
// settings that are refused must not set it.
TEST(clock_offset, changes_by_a_reload_of_valid_settings)
{
    glib_clock clock;
    auto const before = clock.exact_wall_now();
    auto const loop_before = clock.now();
    settings reloaded;
    reloaded.clock_offset = wall_offset{-hour};
    apply_clock_offset(reloaded, clock);
    apply_clock_offset(fail(error_kind::bad_settings, "refused"), clock);
    EXPECT_LT(clock.exact_wall_now(), before);
    EXPECT_GE(clock.now(), loop_before);
    apply_clock_offset(settings{}, clock);
    EXPECT_GE(clock.exact_wall_now() + seconds{10}, before);
}

} // namespace
} // namespace apricotlb
