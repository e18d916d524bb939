#include "core/fleet/disturbance.hpp"
#include "core/fleet/pace_control.hpp"

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

constexpr milliseconds target{50};
worker_id const at{"w"};

auto run(std::uint32_t n) -> task_run
{
    return {{workflow_id{"a"}, {}, {}, task_index{n}}, run_number{1}};
}

/// Half a minute of figures, scattered by a half: 20 ms, and 150 ms beside the
/// image `heavy`.
auto learned() -> disturbance
{
    disturbance it;
    time_point now{seconds{1}};
    for (std::uint32_t n = 0; n < 60; ++n)
    {
        auto const heavy = n % 3 == 0;
        auto const light = n % 3 == 1;
        if (heavy || light)
        {
            it.started(at, run(n), image_name{heavy ? "heavy" : "light"}, now);
        }
        now += milliseconds{500};
        auto const scatter = 10 + static_cast<int>(n % 5) * 5;
        it.learn(at, image_name{"serving"},
                 milliseconds{scatter + (heavy ? 130 : 0)}, now);
        it.ended(at, run(n), now);
    }
    return it;
}

constexpr time_point later{seconds{32}};

// Without the distinction, either every pair is kept apart and idle
// processors are lost, or serving tasks are harmed again and again.
TEST(disturbance, tells_the_image_that_harms_from_the_one_that_does_not)
{
    auto const it = learned();
    image_name const serving{"serving"};
    EXPECT_TRUE(it.is_harmful(image_name{"heavy"}, serving, target, later));
    EXPECT_FALSE(it.is_harmful(image_name{"light"}, serving, target, later));
    EXPECT_TRUE(it.may_disturb(image_name{"heavy"}, serving, later));
    EXPECT_GT(it.expected(serving, target, {image_name{"heavy"}}, later),
              permille{1000});
}

// Ten tasks that disturb nobody must not add up to a full worker.
TEST(disturbance, does_not_add_up_the_scatter_of_the_figures)
{
    auto const it = learned();
    std::vector<image_name> const many(10, image_name{"light"});
    EXPECT_LT(it.expected(image_name{"serving"}, target, many, later),
              permille{900});
}

// A pace that follows single figures swings with their scatter; one that is
// not cut harms the serving task for seconds.
TEST(pace_control, follows_the_smoothed_latency)
{
    disturbance const nothing;
    worker_entry entry;
    held_run serving;
    serving.phase = run_phase::running;
    serving.image = image_name{"serving"};
    serving.latency_target = target;
    entry.add(run(0), serving);
    held_run scavenging;
    scavenging.scavenges = true;
    scavenging.image = image_name{"x"};
    auto& seen = entry.runs.at(run(0));
    auto const asked = [&]
    { return pace_change(entry, scavenging, nothing, later); };
    seen.measure(20);
    EXPECT_EQ(asked(), pace_step::raise);
    seen.measure(60);
    EXPECT_EQ(asked(), pace_step::raise);
    seen.measure(80);
    EXPECT_EQ(asked(), pace_step::cut);
    EXPECT_EQ(paced(permille{1000}, pace_step::cut), permille{500});
    EXPECT_EQ(paced(permille{250}, pace_step::cut), permille{0});
    EXPECT_EQ(paced(permille{0}, pace_step::raise), permille{250});
    EXPECT_EQ(paced(permille{900}, pace_step::raise), permille{1000});
}

} // namespace
} // namespace apricotlb
