#include "core/fleet/disturbance.hpp"
#include "core/fleet/pace_control.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

constexpr milliseconds target{50};
worker_id const at{"w"};
constexpr image_ref serving_image{0};
constexpr image_ref heavy_image{1};
constexpr image_ref light_image{2};
constexpr image_ref unknown_image{3};

auto run(std::uint32_t n) -> task_run
{
    return {{workflow_id{"a"}, {}, {}, task_index{n}}, run_number{1}};
}

/// Half a minute of figures, scattered by a half: 20 ms, and 150 ms beside the
/// image `heavy`.
auto learned() -> image_interference
{
    image_interference it;
    time_point now{seconds{1}};
    for (std::uint32_t n = 0; n < 60; ++n)
    {
        auto const heavy = n % 3 == 0;
        auto const light = n % 3 == 1;
        if (heavy || light)
        {
            it.started(at, run(n), heavy ? heavy_image : light_image, now);
        }
        now += milliseconds{500};
        auto const scatter = 10 + static_cast<int>(n % 5) * 5;
        it.learn(at, serving_image, milliseconds{scatter + (heavy ? 130 : 0)},
                 now);
        it.ended(at, run(n), now);
    }
    return it;
}

constexpr time_point later{seconds{32}};

// Without the distinction, either every pair is kept apart and idle
// processors are lost, or serving tasks are harmed again and again.
TEST(image_interference, tells_the_image_that_harms_from_the_one_that_does_not)
{
    auto const it = learned();
    auto const serving = serving_image;
    EXPECT_TRUE(it.is_harmful(heavy_image, serving, target, later));
    EXPECT_FALSE(it.is_harmful(light_image, serving, target, later));
    EXPECT_EQ(it.interference_state_of(heavy_image, serving, later),
              interference_state::known);
    EXPECT_GT(
        it.expected_ratio(serving, target, permille{300}, {heavy_image}, later),
        permille{1000});
}

// Ten tasks that disturb nobody must not add up to a full worker.
TEST(image_interference, does_not_add_up_the_scatter_of_the_figures)
{
    auto const it = learned();
    std::vector<image_ref> const many(10, light_image);
    EXPECT_LT(
        it.expected_ratio(serving_image, target, permille{400}, many, later),
        permille{900});
}

// Figures that swing by a factor of two with a load that nobody reports were
// once charged to the tasks beside, which kept half of the free processors
// closed on a quiet day of the co-operative.
TEST(image_interference,
     does_not_charge_the_swing_of_a_load_to_the_tasks_beside)
{
    image_interference it;
    time_point now{seconds{1}};
    constexpr auto workers = 12U;
    constexpr auto images = 3U;
    for (std::uint32_t n = 0; n < 80; ++n)
    {
        now += milliseconds{500};
        for (std::uint32_t w = 0; w < workers; ++w)
        {
            worker_id const on{"w" + std::to_string(w)};
            if (n % 4 == 0)
            {
                it.ended(on, run(n), now);
                it.started(on, run(n + 4), image_ref{1 + (n / 4 + w) % images},
                           now);
            }
            auto const phase = static_cast<double>(n) / 40.0 +
                               static_cast<double>(w) / workers;
            auto const swing = std::sin(phase * 6.283);
            it.learn(on, serving_image,
                     milliseconds{static_cast<int>(20 + 10 * swing)}, now);
        }
    }
    auto const serving = serving_image;
    for (std::uint32_t n = 0; n < images; ++n)
    {
        image_ref const light{1 + n};
        EXPECT_EQ(it.interference_state_of(light, serving, now),
                  interference_state::none);
        EXPECT_LT(it.expected_ratio(serving, target, permille{400},
                                    std::vector<image_ref>(10, light), now),
                  config::harmless_headroom);
    }
}

// A pace that follows single figures swings with their scatter; one that is
// not cut harms the serving task for seconds.
TEST(pace_control, follows_the_smoothed_latency)
{
    auto const known = learned();
    worker_entry entry;
    held_run serving;
    serving.phase = run_phase::running;
    serving.image = serving_image;
    serving.latency_target = target;
    entry.add(run(0), serving);
    held_run scavenging;
    scavenging.scavenges = true;
    scavenging.image = unknown_image;
    auto& seen = entry.runs.at(run(0));
    auto now = later;
    auto const asked = [&](std::int64_t tail)
    {
        now += config::poll_wait_shared;
        seen.record_measurement(tail, now);
        return next_pace_step(entry, scavenging, known, now);
    };
    EXPECT_EQ(asked(20), pace_step::raise);
    EXPECT_EQ(asked(60), pace_step::raise);
    EXPECT_EQ(asked(80), pace_step::cut);
    EXPECT_EQ(apply_pace_step(permille{1000}, pace_step::cut), permille{500});
    EXPECT_EQ(apply_pace_step(permille{250}, pace_step::cut), permille{0});
    EXPECT_EQ(apply_pace_step(permille{0}, pace_step::raise), permille{250});
    EXPECT_EQ(apply_pace_step(permille{900}, pace_step::raise), permille{1000});
    EXPECT_EQ(apply_pace_step(permille{900}, pace_step::stop), permille{0});
}

// A known disturber that is slowed in steps keeps the serving task over its
// target for a second and a half longer than needed.
TEST(pace_control, stops_a_known_disturber_at_once)
{
    auto const known = learned();
    worker_entry entry;
    held_run serving;
    serving.phase = run_phase::running;
    serving.image = serving_image;
    serving.latency_target = target;
    entry.add(run(0), serving);
    auto& seen = entry.runs.at(run(0));
    held_run heavy;
    heavy.image = heavy_image;
    held_run light;
    light.image = light_image;
    seen.record_measurement(150, later);
    EXPECT_EQ(next_pace_step(entry, heavy, known, later), pace_step::stop);
    EXPECT_NE(next_pace_step(entry, light, known, later), pace_step::stop);
    // Effects too small to be noticed can add up: nothing may work on beside a
    // task that stays over its target.
    auto const long_after = later + config::max_time_over_target;
    EXPECT_EQ(next_pace_step(entry, light, known, long_after), pace_step::stop);
    seen.record_measurement(5, long_after);
    seen.record_measurement(5, long_after);
    EXPECT_EQ(next_pace_step(entry, heavy, known, long_after),
              pace_step::raise);
}

/// A serving task beside one of an image that is known to have no effect.
class harmless_neighbor : public testing::Test
{
protected:
    harmless_neighbor()
    {
        held_run serving;
        serving.phase = run_phase::running;
        serving.image = serving_image;
        serving.latency_target = target;
        entry.add(run(0), serving);
        light.image = light_image;
        for (auto n = 0; n < 10; ++n)
        {
            read(20);
        }
        begin = now;
    }

    /// Reads a figure from `lists` lists within one interval between polls.
    auto read(std::int64_t tail, int lists = 1) -> void
    {
        for (auto n = 0; n < lists; ++n)
        {
            now += duration{config::poll_wait_shared} / lists;
            entry.runs.at(run(0)).record_measurement(tail, now);
            step = next_pace_step(entry, light, known, now);
            if (step == pace_step::stop && !stopped_at)
            {
                stopped_at = now;
            }
        }
    }

    /// Time that is left for figures once the worker's window of half a second
    /// and the way of the order are taken off.
    static constexpr duration max_time = seconds{4} - milliseconds{700};

    image_interference known{learned()};
    worker_entry entry;
    held_run light;
    time_point now{later};
    time_point begin;
    pace_step step{pace_step::keep};
    std::optional<time_point> stopped_at;
};

// One low figure ended the time over the target, so nothing was ever paused.
TEST_F(harmless_neighbor, is_paused_in_spite_of_a_low_figure)
{
    for (auto n = 0; n < 8; ++n)
    {
        read(n % 3 == 2 ? 39 : 62);
    }
    ASSERT_TRUE(stopped_at);
    EXPECT_LE(*stopped_at - begin, max_time);
}

// A run that was paused for lasting effects was raised close to the target.
TEST_F(harmless_neighbor, is_not_raised_close_to_the_target)
{
    for (auto n = 0; n < 8; ++n)
    {
        read(60);
    }
    ASSERT_TRUE(stopped_at);
    read(30);
    EXPECT_EQ(step, pace_step::keep);
    read(20);
    read(20);
    EXPECT_EQ(step, pace_step::raise);
}

// A low figure counted once for each list that repeated it.
TEST_F(harmless_neighbor, is_paused_when_lists_repeat_a_low_figure)
{
    for (auto n = 0; n < 8; ++n)
    {
        read(n % 3 == 2 ? 39 : 62, 5);
    }
    ASSERT_TRUE(stopped_at);
    EXPECT_LE(*stopped_at - begin, max_time);
}

// Half of the first figure after 1.8 s counted, which delayed the pause.
TEST_F(harmless_neighbor, counts_most_of_a_figure_after_a_long_gap)
{
    now += config::poll_wait - config::poll_wait_shared;
    read(60);
    EXPECT_TRUE(entry.runs.at(run(0)).over_target_since);
}

} // namespace
} // namespace apricotlb
