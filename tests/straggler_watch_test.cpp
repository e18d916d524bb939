#include "core/fleet/straggler_watch.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace apricotlb
{
namespace
{

constexpr image_ref image{0};
constexpr milliseconds estimate{1000};
constexpr time_point start{seconds{100}};

auto run_of(std::string const& workflow, std::uint32_t index) -> task_run
{
    return {{workflow_id{workflow}, {}, {}, task_index{index}}, run_number{1}};
}

/// A step of which two tasks have ended after `usual`, with one more run.
auto watch_with_step(duration usual) -> straggler_watch
{
    straggler_watch it;
    for (std::uint32_t n = 0; n < 2; ++n)
    {
        it.learn(run_of("a", n).task, image, estimate, usual, true, start);
    }
    it.add(run_of("a", 2), image, estimate, start);
    return it;
}

// Tasks of one step differ by some tens of percent; a copy of each slow one
// would double the work.
TEST(straggler_watch, reports_a_run_after_twice_the_usual_time_of_its_step)
{
    auto const it = watch_with_step(seconds{4});
    EXPECT_TRUE(it.stragglers(start + seconds{8}).empty());
    auto const found = it.stragglers(start + seconds{8} + milliseconds{4});
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].run, run_of("a", 2));
    EXPECT_EQ(found[0].worth, copy_worth::likely);
    EXPECT_EQ(found[0].excess, permille{2001});
}

// A copy of a task of some milliseconds costs more than it saves.
TEST(straggler_watch, reports_no_run_below_the_least_time)
{
    auto const it = watch_with_step(milliseconds{10});
    EXPECT_TRUE(it.stragglers(start + config::min_straggler_time).empty());
}

// A straggler that is nearly done would end before its copy.
TEST(straggler_watch, expects_a_straggler_to_end_after_its_usual_length)
{
    auto const it = watch_with_step(seconds{1});
    auto const worth_at = [&it](duration lasted)
    { return it.stragglers(start + lasted).at(0).worth; };
    EXPECT_EQ(worth_at(milliseconds{5900}), copy_worth::likely);
    EXPECT_EQ(worth_at(milliseconds{6100}), copy_worth::ends_soon);
    EXPECT_EQ(worth_at(milliseconds{10'400}), copy_worth::ends_soon);
    // It has exceeded the length of any straggler of the step.
    EXPECT_EQ(worth_at(milliseconds{10'600}), copy_worth::likely);
}

// Declared run times are off by up to a factor of two: without evidence, whole
// steps would be copied.
TEST(straggler_watch, takes_the_ratio_of_the_image_for_a_step_without_ends)
{
    straggler_watch it;
    it.add(run_of("b", 0), image, estimate, start);
    it.add(run_of("b", 1), image, estimate, start);
    auto const at = start + milliseconds{3900};
    // One run stands for all of the step.
    ASSERT_EQ(it.stragglers(at).size(), 1U);
    EXPECT_EQ(it.stragglers(at)[0].worth, copy_worth::no_evidence);
    for (std::uint32_t n = 0; n < config::min_image_run_times; ++n)
    {
        it.learn(run_of("a", n).task, image, milliseconds{100},
                 milliseconds{n == 0 ? 700 : 190}, false, start);
    }
    EXPECT_EQ(it.usual_time(run_of("b", 0).task, image, estimate),
              milliseconds{1900});
    EXPECT_EQ(it.known_steps(), 0U);
    EXPECT_EQ(it.stragglers(at).size(), 2U);
    EXPECT_EQ(it.stragglers(at)[0].worth, copy_worth::likely);
    EXPECT_TRUE(it.stragglers(start + milliseconds{3800}).empty());
    // What its own tasks took counts more.
    it.learn(run_of("b", 2).task, image, estimate, seconds{2}, true, start);
    it.learn(run_of("b", 3).task, image, estimate, seconds{2}, true, start);
    EXPECT_TRUE(it.stragglers(at).empty());
}

// A run that has ended must get no copy, and the memory must not grow with the
// number of steps that the leader has seen.
TEST(straggler_watch, forgets_ended_runs_and_steps)
{
    auto it = watch_with_step(seconds{1});
    auto const later = start + config::worker_removal_delay;
    it.prune(later);
    EXPECT_EQ(it.known_steps(), 1U);
    it.remove(run_of("a", 2));
    it.remove(run_of("a", 2));
    EXPECT_EQ(it.watched_runs(), 0U);
    EXPECT_TRUE(it.stragglers(later).empty());
    it.prune(later - milliseconds{1});
    EXPECT_EQ(it.known_steps(), 1U);
    it.prune(later);
    EXPECT_EQ(it.known_steps(), 0U);
}

// Only some copies start in one pass: they must be those that save most.
TEST(straggler_watch, reports_the_longest_over_its_usual_time_first)
{
    auto it = watch_with_step(seconds{2});
    it.learn(run_of("b", 0).task, image, estimate, seconds{1}, true, start);
    it.learn(run_of("b", 1).task, image, estimate, seconds{1}, true, start);
    it.add(run_of("b", 2), image, estimate, start + seconds{1});
    auto const found = it.stragglers(start + seconds{5});
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].run, run_of("b", 2));
    EXPECT_EQ(found[1].run, run_of("a", 2));
}

} // namespace
} // namespace apricotlb
