#include "adapters/entropy.hpp"
#include "adapters/glib_clock.hpp"
#include "adapters/json_codec.hpp"
#include "adapters/msgpack_codec.hpp"
#include "app/member_identity.hpp"
#include "app/process.hpp"
#include "core/group/membership.hpp"
#include "core/state/commands.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>

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

constexpr exact_wall_time some_time{std::chrono::hours{496'000}};

// A member of the earlier version accepts growing numbers only, and its own
// life was the microsecond of its start.
TEST(incarnation, grows_with_the_time_of_day_and_over_earlier_versions)
{
    constexpr random_bits high{UINT64_MAX};
    auto const it = incarnation_at(some_time, high);
    EXPECT_GT(incarnation_at(some_time + microseconds{1}, random_bits{0}), it);
    auto const later = some_time + 100 * std::chrono::hours{24 * 365};
    EXPECT_GT(it.value(),
              static_cast<std::uint64_t>(later.time_since_epoch().count()));
    // The number must not overflow for as long as a deployment may last.
    EXPECT_GT(incarnation_at(later - std::chrono::hours{24 * 365 * 20}, high),
              it);
}

// Two starts at one instant, as after a clock was set back, took each other for
// the same life.
TEST(incarnation, differs_at_one_instant)
{
    EXPECT_NE(incarnation_at(some_time, random_bits{1}),
              incarnation_at(some_time, random_bits{2}));
}

// A life that a codec cut off would be taken for another one.
TEST(incarnation, passes_the_codecs_unchanged)
{
    entry_session const it{node_id{"e1"},
                           incarnation_at(some_time, random_bits{UINT64_MAX})};
    auto const packed =
        msgpack_codec::decode<entry_session>(msgpack_codec::encode(it));
    ASSERT_TRUE(packed);
    EXPECT_EQ(packed.value(), it);
    auto const text = json_codec::decode<entry_session>(json_codec::encode(it));
    ASSERT_TRUE(text);
    EXPECT_EQ(text.value(), it);
}

// Seeds were the microsecond of the start: two processes that started in the
// same one stood for election at the same times.
TEST(random_seed, differs_at_each_call)
{
    constexpr std::size_t calls = 1000;
    std::set<random_bits> seeds;
    for (std::size_t n = 0; n < calls; ++n)
    {
        seeds.insert(random_seed());
    }
    EXPECT_EQ(seeds.size(), calls);
}

// The id of a member without its disk holds all bits of the seed: with fewer,
// two disks could get one id.
TEST(member_identity, holds_the_whole_seed)
{
    settings own;
    own.http_at = endpoint{"127.0.0.1:7500"};
    auto const widest = first_identity(own, random_bits{UINT64_MAX});
    EXPECT_EQ(widest.id, member_id("127.0.0.1:7500", "ffffffffffffffff"));
    EXPECT_NE(first_identity(own, random_bits{UINT64_MAX - 1}).id, widest.id);
}

} // namespace
} // namespace apricotlb
