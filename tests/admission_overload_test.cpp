#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

/// What callers of one class got.
struct class_result
{
    std::size_t submitted{0};
    std::size_t refused{0};
    std::size_t in_time{0};
};

/// Callers of two classes, of which the second waits for the first, and a
/// fleet of 48 cores. A workflow has steps of tasks of one second each.
/// Allowed are twice the chain and one second.
class two_classes
{
public:
    explicit two_classes(bool admits) : admits_(admits)
    {
        for (auto n = 0; n < 12; ++n)
        {
            fleet.add_worker("w" + std::to_string(n), 4000);
        }
        auto set = *fleet.state.contract_sets().current();
        set.version = contract_set_version{2};
        set.queues[0].stretch = permille{2000};
        set.queues[0].target = milliseconds{1000};
        auto later = set.queues[0];
        later.name = queue_name{"later"};
        later.prefix = queue_path{"/later"};
        later.priority = queue_priority{1};
        set.queues.push_back(later);
        fleet.apply(apply_contract_set{set});
        fleet.run(seconds{3});
    }

    /// Returns whether it was accepted.
    auto submit(std::size_t queue, std::int64_t tasks, std::size_t steps)
        -> bool
    {
        auto const& terms =
            fleet.state.contract_sets().current()->queues[queue];
        workflow_spec spec;
        spec.id = workflow_id{"f" + std::to_string(count_++)};
        for (std::size_t n = 0; n < steps; ++n)
        {
            auto& step = spec.steps.emplace_back(fake_fleet::step(tasks));
            step.estimate = milliseconds{1000};
            if (n > 0)
            {
                step.prerequisites = {
                    step_index{static_cast<std::uint32_t>(n - 1)}};
            }
        }
        auto& out = results[{queue, tasks}];
        ++out.submitted;
        if (admits_)
        {
            auto const decided = fleet.leader->admit(spec, terms, fleet.now);
            if (decided.is_refused())
            {
                ++out.refused;
                refused.push_back(spec.id);
                return false;
            }
            fleet.leader->on_submission_proposed(spec, terms, decided,
                                                 fleet.now);
        }
        duration const allowed =
            seconds{static_cast<std::int64_t>(2 * steps + 1)};
        open_[spec.id] = {&out, fleet.now + allowed};
        fleet.apply(submit_workflow{spec, terms});
        return true;
    }

    auto run(duration time) -> void
    {
        for (auto const end = fleet.now + time; fleet.now < end;)
        {
            fleet.run(milliseconds{50});
            std::erase_if(open_,
                          [this](auto const& each)
                          {
                              auto const& [of, until] = each.second;
                              auto const ended = fleet.state.workflows().find(
                                                     each.first) == nullptr;
                              of->in_time +=
                                  ended && fleet.now <= until ? 1 : 0;
                              return ended;
                          });
        }
    }

    /// 70 tasks a second, of which the fleet can run some 45.
    auto crest(duration time) -> void
    {
        for (auto n = 0; n * milliseconds{100} < time; ++n)
        {
            submit(0, 2, 1);
            if (n % 2 == 0)
            {
                submit(1, n % 4 == 0 ? 2 : 8, 2);
            }
            run(milliseconds{100});
        }
        run(seconds{10});
    }

    /// For 20 s the first class alone needs more than there is; the second
    /// needs little and goes on afterwards.
    auto crest_of_first(duration after) -> void
    {
        auto const end = fleet.now + seconds{20};
        for (auto n = 0; fleet.now < end + after; ++n)
        {
            if (fleet.now < end)
            {
                submit(0, 6, 1);
            }
            if (n % 4 == 0)
            {
                submit(1, n % 8 == 0 ? 1 : 3, 1);
            }
            run(milliseconds{100});
        }
        run(seconds{10});
    }

    [[nodiscard]] auto in_time() const -> std::size_t
    {
        std::size_t n{0};
        for (auto const& [key, it] : results)
        {
            n += it.in_time;
        }
        return n;
    }

    fake_fleet fleet{41};
    /// By queue and number of tasks of a step.
    std::map<std::pair<std::size_t, std::int64_t>, class_result> results;
    std::vector<workflow_id> refused;

private:
    struct open_workflow
    {
        class_result* of;
        time_point until;
    };

    bool admits_;
    std::size_t count_{0};
    std::map<workflow_id, open_workflow> open_;
};

// Everything was accepted, and what a crest had made late went on to make the
// work after it late, and that of less urgent classes.
TEST(admission_overload, lets_more_workflows_end_in_time)
{
    two_classes without{false};
    without.crest_of_first(seconds{20});
    two_classes with{true};
    with.crest_of_first(seconds{20});
    RecordProperty("in_time", std::to_string(with.in_time()) + ", without " +
                                  std::to_string(without.in_time()));
    EXPECT_GT(with.in_time(), without.in_time());
}

// Half of the accepted workflows ended late: their callers had waited for a
// result that came too late.
TEST(admission_overload, lets_most_accepted_workflows_end_in_time)
{
    two_classes it{true};
    it.crest(seconds{40});
    EXPECT_FALSE(it.refused.empty());
    for (auto const& [key, found] : it.results)
    {
        EXPECT_GE(found.in_time * 10, (found.submitted - found.refused) * 8)
            << "queue " << key.first << ", " << key.second << " tasks";
    }
}

// A bound on the size of the work would turn the largest workflows away for
// the whole crest.
TEST(admission_overload, refuses_large_workflows_little_more_than_others)
{
    two_classes it{true};
    it.crest(seconds{60});
    auto const& small = it.results[{1, 2}];
    auto const& large = it.results[{1, 8}];
    EXPECT_LE(large.refused * small.submitted,
              2 * small.refused * large.submitted);
}

// A refused submission that ran all the same would be done twice once its
// caller returns.
TEST(admission_overload, never_runs_what_was_refused)
{
    two_classes it{true};
    it.crest(seconds{20});
    ASSERT_FALSE(it.refused.empty());
    for (auto const& id : it.refused)
    {
        EXPECT_EQ(it.fleet.state.workflows().state(id), std::nullopt);
    }
    EXPECT_TRUE(it.fleet.violations.empty());
}

// A refusal costs its caller the result although there was room.
TEST(admission_overload, refuses_nothing_while_there_is_room)
{
    two_classes it{true};
    // 42 tasks a second, whose bursts wait for a moment.
    for (auto n = 0; n < 20; ++n)
    {
        for (auto k = 0; k < 3; ++k)
        {
            it.submit(0, 4, 1);
            it.submit(0, 4, 1);
            it.submit(1, 3, 2);
        }
        it.run(seconds{1});
    }
    EXPECT_TRUE(it.refused.empty());
}

// A submission that is applied after its cancelling has nothing to place, and
// must not count as work that others wait for.
TEST(admission_overload, forgets_a_submission_that_was_cancelled_before)
{
    fake_fleet fleet{1};
    fleet.add_worker("w", 4000);
    auto terms = fleet.state.contract_sets().current()->queues[0];
    terms.stretch = permille{2000};
    terms.target = seconds{500};
    auto const workflow = [](std::string const& id, std::int64_t tasks)
    {
        workflow_spec it;
        it.id = workflow_id{id};
        it.steps = {fake_fleet::step(tasks)};
        it.steps[0].estimate = milliseconds{1000};
        return it;
    };
    fleet.apply(submit_workflow{workflow("busy", 160), terms});
    fleet.run(seconds{20});
    auto const wait = [&] {
        return fleet.leader->admit(workflow("other", 1), terms, fleet.now).wait;
    };
    auto const before = wait();
    EXPECT_GT(before, seconds{10});
    auto const late = workflow("late", 80);
    fleet.apply(cancel_workflow{late.id, {}});
    fleet.leader->on_submission_proposed(late, terms, {}, fleet.now);
    EXPECT_GT(wait(), before + seconds{10});
    fleet.apply(submit_workflow{late, terms});
    EXPECT_EQ(wait(), before);
}

// After a burst the count of waiting work must return to zero: a remainder
// would refuse work for ever.
TEST(admission_overload, refuses_nothing_after_the_crest)
{
    two_classes it{true};
    it.crest(seconds{20});
    it.run(seconds{30});
    auto const before = it.refused.size();
    EXPECT_TRUE(it.fleet.leader->summary(it.fleet.now).expected_waits.empty());
    for (auto n = 0; n < 8; ++n)
    {
        it.submit(0, 2, 1);
    }
    EXPECT_EQ(it.refused.size(), before);
}

} // namespace
} // namespace apricotlb
