#include "adapters/delayed_files.hpp"
#include "crash_files.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace apricotlb
{
namespace
{

using slow_files = delayed_files<paused_clock, crash_files>;

static_assert(file_system_port<slow_files>);

constexpr auto mean = milliseconds{60};

/// Starts an append and returns how long it takes until it calls back.
auto time_of_append(paused_clock& clock, slow_files& files, file_handle file)
    -> duration
{
    auto ended = false;
    auto const begin = clock.now();
    files.start_append(file, "x",
                       [&ended](result<void> const& it)
                       {
                           EXPECT_TRUE(it);
                           ended = true;
                       });
    files.turn();
    while (!ended && clock.now() - begin < seconds{1})
    {
        clock.advance(milliseconds{1});
    }
    EXPECT_TRUE(ended);
    return clock.now() - begin;
}

// Delays that differ from the setting would make figures of runs worthless.
TEST(delayed_files, delays_appends_around_the_mean_without_blocking)
{
    paused_clock clock;
    slow_files files{clock, mean, random_bits{1}};
    auto const file = files.create(file_path{"d/x"}).value();
    duration sum{};
    duration longest{};
    constexpr auto count = 500;
    for (auto n = 0; n < count; ++n)
    {
        auto const it = time_of_append(clock, files, file);
        sum += it;
        longest = std::max(longest, it);
    }
    EXPECT_GT(sum / count, mean * 9 / 10);
    EXPECT_LT(sum / count, mean * 11 / 10);
    EXPECT_LE(longest, 2 * mean + milliseconds{1});
}

TEST(delayed_files, delays_nothing_without_a_mean)
{
    paused_clock clock;
    slow_files files{clock, {}, random_bits{1}};
    auto const file = files.create(file_path{"d/x"}).value();
    EXPECT_EQ(time_of_append(clock, files, file), duration{});
}

// A log that is gone during the delay must not be called back.
TEST(delayed_files, calls_nobody_back_after_close)
{
    paused_clock clock;
    slow_files files{clock, mean, random_bits{1}};
    auto const file = files.create(file_path{"d/x"}).value();
    auto called = false;
    files.start_append(file, "x",
                       [&called](result<void> const&) { called = true; });
    files.turn();
    files.close(file);
    clock.advance(seconds{1});
    EXPECT_FALSE(called);
}

} // namespace
} // namespace apricotlb
