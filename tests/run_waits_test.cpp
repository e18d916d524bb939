#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

auto task_of(std::string const& workflow, std::uint32_t n) -> workflow_task
{
    return {workflow_id{workflow}, {}, {}, task_index{n}};
}

/// Workflow "a" with permanent tasks that have run on worker "last"; of the
/// first `ended` ones the end is recorded.
class run_waits : public testing::Test
{
protected:
    auto submit(step_spec step, std::uint32_t ended) -> void
    {
        step.permanent = true;
        auto const tasks = static_cast<std::uint32_t>(step.tasks.value());
        fleet.submit("a", {step});
        start_runs starts;
        end_runs ends;
        for (std::uint32_t n = 0; n < tasks; ++n)
        {
            task_run const run{task_of("a", n), run_number{1}};
            starts.runs.push_back({run, last});
            if (n < ended)
            {
                ends.runs.push_back({run, run_end::lost, {}});
            }
        }
        fleet.apply(starts);
        fleet.apply(ends);
        fleet.lead();
    }

    auto announcement_of(std::string const& name, std::int64_t cpu)
        -> worker_announcement
    {
        fleet.add_worker(name, cpu);
        return fleet.announcement_of(name);
    }
    /// The worker announces itself and lists the runs that it has by the log.
    auto announce(worker_announcement const& it) -> void
    {
        fleet.leader->on_announcement(it, fleet.now);
        poll_answer answer;
        answer.outcome = order_outcome::done;
        answer.lists.incarnation = it.instance.incarnation;
        answer.lists.clock = it.clock;
        for (auto const& [run, held] :
             fleet.leader->workers().at(it.instance.id).runs)
        {
            answer.lists.running.push_back({run, {}, 0, 0});
        }
        poll_order order;
        order.to.instance = it.instance;
        order.to.fence =
            make_fence(fleet.leading_in(),
                       fleet.leader->workers().at(it.instance.id).life);
        fleet.leader->on_answer(order, answer, fleet.now);
    }
    auto plan() -> void { fleet.leader->plan(fleet.now, wall_time{}); }
    auto waits() -> std::vector<wait_report>
    {
        return fleet.leader->longest_waiting(fleet.now, wall_time{}).restarts;
    }

    fake_fleet fleet{1};
    worker_instance const last{worker_id{"last"}, worker_incarnation{1}};
};

// Without the reasons, a full fleet, a limit of a step and a planner that
// leaves a task out look the same in the log.
TEST_F(run_waits, counts_workers_by_the_reason_why_they_do_not_take_a_task)
{
    worker_label const label{"b"};
    auto step = fake_fleet::step(2);
    step.each.cores = millicores{3000};
    step.each.memory = byte_count{1'000};
    step.requires_label = label;
    step.max_per_worker = task_count{1};
    submit(step, 1);
    fleet.now += milliseconds{1100};

    announce(announcement_of("unlabelled", 8000));
    auto with_label = [&](std::string const& name, std::int64_t cpu)
    {
        auto it = announcement_of(name, cpu);
        it.labels.push_back(label);
        return it;
    };
    announce(with_label("last", 8000));
    announce(with_label("small", 2000));
    announce(with_label("smaller", 1000));
    auto without_memory = with_label("without_memory", 8000);
    without_memory.capacity.memory = byte_count{999};
    announce(without_memory);
    fleet.draining.insert("draining");
    announce(with_label("draining", 8000));
    plan();

    auto const before = waits();
    ASSERT_EQ(before.size(), 1U);
    auto const& it = before.front();
    EXPECT_EQ(it.task, task_of("a", 0));
    EXPECT_EQ(it.waited, milliseconds{1100});
    EXPECT_EQ(it.wait.last_pass, pass_result::no_worker);
    EXPECT_EQ(it.wait.passes, 1);
    EXPECT_EQ(it.wait.searches, 1);
    EXPECT_EQ(it.required_cores, millicores{3000});
    EXPECT_EQ(it.largest_free_cores, millicores{8000});
    EXPECT_EQ(it.workers[placement_obstacle::none], 0);
    EXPECT_EQ(it.workers[placement_obstacle::unusable], 1);
    EXPECT_EQ(it.workers[placement_obstacle::cores], 2);
    EXPECT_EQ(it.workers[placement_obstacle::memory], 1);
    EXPECT_EQ(it.workers[placement_obstacle::accels], 0);
    EXPECT_EQ(it.workers[placement_obstacle::label], 1);
    EXPECT_EQ(it.workers[placement_obstacle::worker_limit], 1);
    EXPECT_EQ(it.workers[placement_obstacle::latency], 0);

    announce(with_label("free", 8000));
    auto const after = waits();
    ASSERT_EQ(after.size(), 1U);
    EXPECT_EQ(after.front().workers[placement_obstacle::none], 1);
}

// A scavenging task needs no free processors, so that a busy worker would
// count as one that takes it.
TEST_F(run_waits, counts_busy_workers_apart_for_a_scavenging_task)
{
    auto step = fake_fleet::step(1);
    step.each.cores = millicores{3000};
    step.scavenges = true;
    submit(step, 1);
    fleet.now += milliseconds{1100};
    announce(announcement_of("small", 2000));
    auto const all = waits();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all.front().wait.last_pass, pass_result::none);
    EXPECT_EQ(all.front().workers[placement_obstacle::latency], 1);
}

// A rack that fails leaves hundreds of waits, whose lines would use up the
// log's limit per event.
TEST_F(run_waits, reports_a_bounded_number_of_the_longest_waits)
{
    submit(fake_fleet::step(9), 6);
    fleet.now += milliseconds{500};
    fleet.apply(
        end_runs{{{{task_of("a", 7), run_number{1}}, run_end::lost, {}}}, {}});
    fleet.now += milliseconds{500};
    EXPECT_TRUE(waits().empty());
    fleet.now += milliseconds{600};
    auto const all = waits();
    ASSERT_EQ(all.size(), config::max_reported_waits);
    EXPECT_EQ(all.back().waited, milliseconds{1600});
    fleet.apply(cancel_workflow{workflow_id{"a"}, {}});
    EXPECT_TRUE(waits().empty());
}

// A start that is ordered again and again would look like a short wait.
TEST_F(run_waits, lasts_until_a_start_is_confirmed)
{
    fleet.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{30}}, "done", 1000};
    };
    submit(fake_fleet::step(1), 1);
    fleet.add_worker("w1", 4000);
    fleet.announce_now();
    ASSERT_TRUE(fleet.run_until_listed("w1"));
    fleet.cut.insert("w1");
    fleet.run(milliseconds{1200});
    auto const all = waits();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all.front().wait.last_pass, pass_result::placed);
    fleet.cut.clear();
    ASSERT_TRUE(fleet.run_until_known("w1"));
    fleet.run(seconds{2});
    ASSERT_EQ(fleet.workers["w1"]->running().size(), 1U);
    EXPECT_TRUE(waits().empty());
}

// A run that was recorded and did not start would begin the wait anew.
TEST(restart_waits, keeps_the_time_of_a_task_that_waits_already)
{
    restart_waits it;
    auto const task = task_of("a", 0);
    it.add(task, time_point{seconds{1}});
    it.begin_pass(pass_result::unreached);
    EXPECT_EQ(it.all().at(task).last_pass, pass_result::unreached);
    it.record(task, pass_result::placed);
    it.begin_pass(pass_result::unreached);
    EXPECT_EQ(it.all().at(task).last_pass, pass_result::placed);
    it.add(task, time_point{seconds{3}});
    EXPECT_EQ(it.all().at(task).since, time_point{seconds{1}});
    EXPECT_EQ(it.all().at(task).last_pass, pass_result::none);
    EXPECT_EQ(it.all().at(task).passes, 1);
    EXPECT_EQ(it.all().at(task).searches, 1);
}

} // namespace
} // namespace apricotlb
