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

/// Three workers and a workflow of four tasks of one second, the last of which
/// takes seven seconds in its first run.
class copies_fleet : public fake_fleet
{
public:
    explicit copies_fleet(std::uint64_t seed) : fake_fleet(seed)
    {
        for (auto const* const name : {"w1", "w2", "w3"})
        {
            add_worker(name, 4000);
        }
        behaviour = [this](std::string const& task)
        {
            auto const n = runs[task]++;
            auto const& ways = task == "a.0.0.3" ? of_last : of_others;
            return ways.at(std::min(n, ways.size() - 1));
        };
        run(milliseconds{100});
    }

    static auto way(duration lasts, std::string how = "done")
        -> platform_worker::run
    {
        return {0, time_point{lasts}, std::move(how), 1000};
    }

    auto submit_step(bool allows_copies) -> void
    {
        auto it = step(4);
        it.estimate = milliseconds{1000};
        it.allows_copies = allows_copies;
        submit("a", {it});
    }

    /// Workers with a run of the last task.
    [[nodiscard]] auto workers_of_last() const -> std::vector<std::string>
    {
        std::vector<std::string> out;
        for (auto const& [name, it] : workers)
        {
            if (it->running().contains("a.0.0.3"))
            {
                out.push_back(name);
            }
        }
        return out;
    }

    /// Events of the leader since the last call, by kind.
    auto count_events() -> std::map<run_event_kind, std::size_t>
    {
        std::map<run_event_kind, std::size_t> out;
        for (auto const& it : leader->take_events())
        {
            ++out[it.kind];
        }
        return out;
    }

    std::vector<platform_worker::run> of_last{way(seconds{7}), way(seconds{1})};
    std::vector<platform_worker::run> of_others{way(seconds{1})};
    std::map<std::string, std::size_t> runs;
};

// A workflow waited seven times as long for its one slow task.
TEST(run_copies, ends_a_workflow_with_the_copy_of_its_straggler)
{
    copies_fleet it{1};
    it.submit_step(true);
    it.run(milliseconds{2400});
    EXPECT_EQ(it.starts, 5U);
    EXPECT_EQ(it.workers_of_last().size(), 2U);
    EXPECT_EQ(it.leader->summary(it.now).copies, 1);
    it.run(milliseconds{1200});
    // The loser is stopped and its end recorded, at once.
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_TRUE(it.workers_of_last().empty());
    EXPECT_EQ(it.live_workflows(), 0U);
    auto const events = it.count_events();
    EXPECT_EQ(events.at(run_event_kind::copied), 1U);
    EXPECT_EQ(events.at(run_event_kind::copy_won), 1U);
    it.run(seconds{5});
    EXPECT_EQ(it.starts, 5U);
    EXPECT_EQ(it.violations, std::vector<std::string>{});
}

// The rack may be what slows the first run down.
TEST(run_copies, prefers_another_rack)
{
    copies_fleet it{2};
    it.workers["w3"]->rack = "r2";
    it.run(seconds{1});
    // Best fit would choose one of the others, which are in use.
    it.submit("b", {fake_fleet::step(1)});
    it.submit_step(true);
    it.run(milliseconds{2500});
    auto const on = it.workers_of_last();
    ASSERT_EQ(on.size(), 2U);
    EXPECT_NE(it.workers[on[0]]->rack, it.workers[on[1]]->rack);
}

// Without leave, two runs of one task do its work twice.
TEST(run_copies, makes_none_without_leave)
{
    copies_fleet it{3};
    it.submit_step(false);
    it.run(seconds{6});
    EXPECT_EQ(it.starts, 4U);
    EXPECT_TRUE(it.count_events().empty());
}

// A copy takes room from callers who have nothing yet.
TEST(run_copies, makes_none_while_others_wait)
{
    copies_fleet it{4};
    it.submit_step(true);
    auto wide = fake_fleet::step(1);
    wide.each.cores = millicores{64'000};
    it.submit("b", {wide});
    it.run(seconds{4});
    EXPECT_EQ(it.starts, 4U);
    EXPECT_EQ(it.count_events().at(run_event_kind::copy_others_wait), 1U);
    it.apply(cancel_workflow{workflow_id{"b"}, {}});
    it.run(milliseconds{500});
    EXPECT_EQ(it.workers_of_last().size(), 2U);
}

// Two runs that both fail would exceed the limit, or end the workflow where a
// single run had one more try.
TEST(run_copies, makes_none_if_its_failure_could_exceed_the_limit)
{
    copies_fleet it{5};
    it.of_last = {copies_fleet::way(milliseconds{100}, "failed"),
                  copies_fleet::way(seconds{7})};
    it.submit_step(true);
    it.run(seconds{7});
    EXPECT_EQ(it.starts, 5U);
    EXPECT_EQ(it.workers_of_last().size(), 1U);
    EXPECT_EQ(it.count_events().at(run_event_kind::copy_failures), 1U);
    it.run(seconds{2});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
}

// The end of a copy does not make its task ready again while the first run goes
// on, and does not fail the workflow.
TEST(run_copies, goes_on_with_the_first_run_after_the_copy_has_failed)
{
    copies_fleet it{6};
    it.of_last = {copies_fleet::way(seconds{7}),
                  copies_fleet::way(milliseconds{100}, "failed")};
    it.submit_step(true);
    it.run(seconds{6});
    EXPECT_EQ(it.starts, 5U);
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
    EXPECT_EQ(it.workers_of_last().size(), 1U);
    it.run(seconds{2});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_EQ(it.starts, 5U);
    EXPECT_EQ(it.live_workflows(), 0U);
}

// A copy that ends last was kept running after its task had finished.
TEST(run_copies, stops_a_copy_that_loses)
{
    copies_fleet it{7};
    it.of_last = {copies_fleet::way(seconds{3}), copies_fleet::way(seconds{9})};
    it.submit_step(true);
    it.run(milliseconds{2500});
    ASSERT_EQ(it.workers_of_last().size(), 2U);
    it.run(seconds{1});
    EXPECT_TRUE(it.workers_of_last().empty());
    EXPECT_EQ(it.live_workflows(), 0U);
    EXPECT_EQ(it.count_events().at(run_event_kind::copy_lost), 1U);
}

// A worker that is lost takes one of two runs with it. The other one counts,
// and the task must not start a third time meanwhile.
TEST(run_copies, keeps_the_copy_when_the_worker_of_the_first_run_is_lost)
{
    copies_fleet it{8};
    it.of_last = {copies_fleet::way(seconds{20}),
                  copies_fleet::way(seconds{12})};
    it.submit_step(true);
    it.run(seconds{2});
    auto const first = it.workers_of_last();
    ASSERT_EQ(first.size(), 1U);
    it.run(milliseconds{500});
    ASSERT_EQ(it.workers_of_last().size(), 2U);
    // The copy has run for so long by the end of the lease that it needs none.
    it.run(seconds{3});
    it.cut.insert(first[0]);
    it.run(seconds{6});
    EXPECT_EQ(it.workers_of_last().size(), 1U);
    auto const& active = it.state.workflows()
                             .find(workflow_id{"a"})
                             ->occurrences[0]
                             .steps[0]
                             .tasks[3]
                             .active;
    EXPECT_EQ(active.size(), 1U);
    EXPECT_EQ(it.runs["a.0.0.3"], 2U);
    it.run(seconds{4});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_EQ(it.live_workflows(), 0U);
}

// The one that is left may be a straggler itself. A third run beside the lost
// one would be one too many.
TEST(run_copies, makes_no_further_copy_before_the_end_of_a_lost_run_is_recorded)
{
    copies_fleet it{8};
    it.of_last = {copies_fleet::way(seconds{20}),
                  copies_fleet::way(seconds{12})};
    it.submit_step(true);
    it.run(seconds{2});
    auto const first = it.workers_of_last();
    ASSERT_EQ(first.size(), 1U);
    it.run(milliseconds{500});
    ASSERT_EQ(it.workers_of_last().size(), 2U);
    it.cut.insert(first[0]);
    auto const is_active = [&it](std::uint32_t number)
    {
        return it.state.workflows().is_active(
            {{workflow_id{"a"}, {}, {}, task_index{3}}, run_number{number}});
    };
    while (is_active(1) && it.now < time_point{seconds{12}})
    {
        EXPECT_EQ(it.runs["a.0.0.3"], 2U);
        it.run(milliseconds{5});
    }
    EXPECT_FALSE(is_active(1));
    while (it.now < time_point{seconds{16}})
    {
        EXPECT_LE(it.workers_of_last().size(), 2U);
        EXPECT_LE(it.runs["a.0.0.3"], 3U);
        it.run(milliseconds{5});
    }
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_EQ(it.live_workflows(), 0U);
}

// A leader that does not know that one run is a copy must neither start the
// task again nor forget to stop the loser.
TEST(run_copies, hands_both_runs_over_to_a_new_leader)
{
    copies_fleet it{9};
    it.submit_step(true);
    it.run(milliseconds{2500});
    ASSERT_EQ(it.workers_of_last().size(), 2U);
    it.lead();
    EXPECT_EQ(it.leader->summary(it.now).copies, 1);
    it.run(milliseconds{2500});
    EXPECT_EQ(it.runs["a.0.0.3"], 2U);
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_TRUE(it.workers_of_last().empty());
    EXPECT_EQ(it.live_workflows(), 0U);
    EXPECT_EQ(it.violations, std::vector<std::string>{});
}

// Members of a gang, permanent and scavenging tasks last longer for reasons
// that a copy does not cure.
TEST(run_copies, makes_none_of_gangs_permanent_and_scavenging_tasks)
{
    for (auto const kind : {0, 1, 2})
    {
        copies_fleet it{10};
        // Runs of the same image show what is usual.
        auto usual = fake_fleet::step(8);
        usual.estimate = milliseconds{1000};
        it.submit("b", {usual});
        it.run(milliseconds{1500});
        ASSERT_EQ(it.state_of("b"), workflow_state::completed);
        auto each = fake_fleet::step(4);
        each.estimate = milliseconds{1000};
        each.allows_copies = true;
        each.gang = kind == 0;
        each.permanent = kind == 1;
        each.scavenges = kind == 2;
        it.of_others = {copies_fleet::way(seconds{20})};
        it.of_last = it.of_others;
        it.submit("a", {each});
        it.run(seconds{6});
        EXPECT_EQ(it.starts, 12U) << kind;
    }
}

} // namespace
} // namespace apricotlb
