#include "core/fleet/urgency.hpp"
#include "fake_fleet.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

/// Two steps of one second each; allowed are twice that and one second.
auto record() -> workflow_record
{
    workflow_record it;
    step_spec first;
    first.estimate = milliseconds{1000};
    auto second = first;
    second.prerequisites = {step_index{0}};
    it.spec.steps = {first, second};
    it.terms.stretch = permille{2000};
    it.terms.target = milliseconds{1000};
    it.occurrences.resize(1);
    it.occurrences[0].steps.resize(2);
    it.occurrences[0].steps[0].tasks.resize(1);
    it.occurrences[0].steps[1].tasks.resize(1);
    return it;
}

auto worth_at(workflow_record const& it, duration age) -> worth_left
{
    return urgency_of(it, {}, time_point{}, time_point{age}).worth;
}

// Under overload, work that is late already would make the work behind it late
// as well if the oldest always came first.
TEST(urgency, tells_work_that_can_be_in_time_from_work_that_cannot)
{
    auto it = record();
    EXPECT_EQ(remaining_critical_path(it, {}), milliseconds{2000});
    EXPECT_EQ(worth_at(it, milliseconds{3900}), worth_left::full);
    EXPECT_EQ(worth_at(it, milliseconds{4100}), worth_left::reduced);
    EXPECT_EQ(worth_at(it, milliseconds{13'900}), worth_left::reduced);
    EXPECT_EQ(worth_at(it, milliseconds{14'100}), worth_left::none);
    it.occurrences[0].steps[0].tasks[0].finished = true;
    EXPECT_EQ(remaining_critical_path(it, {}), milliseconds{1000});
    EXPECT_EQ(worth_at(it, milliseconds{4400}), worth_left::full);
}

// Steps that run beside each other do not add up.
TEST(urgency, counts_the_longest_chain)
{
    auto it = record();
    it.spec.steps[1].prerequisites = {};
    it.spec.steps[1].estimate = milliseconds{700};
    EXPECT_EQ(remaining_critical_path(it, {}), milliseconds{1000});
}

/// Submits a workflow of one step and waits until it is waiting.
auto submit(fake_fleet& to, std::string const& id, step_spec const& step)
    -> void
{
    to.submit(id, {step});
    to.run(milliseconds{50});
}

// On the co-operative's crowded days, tasks that stay for minutes took every
// processor that came free, and two thirds of the short perusal copies came
// late or never.
TEST(run_plan, gives_free_room_to_short_work_before_permanent_tasks)
{
    fake_fleet it{21};
    it.add_worker("w1", 2000);
    submit(it, "busy", fake_fleet::step(2));
    it.run(milliseconds{200});
    auto lasting = fake_fleet::step(2);
    lasting.permanent = true;
    submit(it, "lasting", lasting);
    submit(it, "short", fake_fleet::step(2));
    it.run(milliseconds{1200});
    EXPECT_EQ(it.workers["w1"]->running().count("short.0.0.0"), 1U);
    EXPECT_EQ(it.workers["w1"]->running().count("lasting.0.0.0"), 0U);
    it.run(seconds{2});
    EXPECT_EQ(it.workers["w1"]->running().count("lasting.0.0.0"), 1U);
}

// A crest of the survey office's reports: with the oldest first, all of them
// were late; those that are late already have to wait for the others.
TEST(run_plan, places_work_that_can_be_in_time_before_late_work)
{
    fake_fleet it{22};
    it.add_worker("w1", 1000);
    auto slow = fake_fleet::step(1);
    slow.estimate = milliseconds{1000};
    for (auto n = 0; n < 4; ++n)
    {
        it.submit("old" + std::to_string(n), {slow});
    }
    // The queue allows as long as the chain takes and no more.
    it.run(milliseconds{2500});
    submit(it, "fresh", slow);
    it.run(milliseconds{1600});
    EXPECT_EQ(it.state_of("fresh"), workflow_state::running);
    EXPECT_EQ(it.state_of("old3"), workflow_state::queued);
    it.run(seconds{5});
    EXPECT_EQ(it.state_of("old3"), workflow_state::completed);
}

} // namespace
} // namespace apricotlb
