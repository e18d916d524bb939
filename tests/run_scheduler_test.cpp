#include "fake_fleet.hpp"
#include "property.hpp"

#include <gtest/gtest.h>

#include <string>
#include <variant>

namespace apricotlb
{
namespace
{

// A task that starts before the steps it depends on would work on data that
// is not there yet.
TEST(run_scheduler, starts_a_step_when_the_steps_before_it_have_finished)
{
    fake_fleet it{1};
    it.add_worker("w1", 8000);
    auto second = fake_fleet::step(2);
    second.prerequisites = {step_index{0}};
    it.submit("a", {fake_fleet::step(3), second});
    it.run(milliseconds{900});
    EXPECT_EQ(it.workers["w1"]->running().size(), 3U);
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
    it.run(milliseconds{600});
    EXPECT_EQ(it.workers["w1"]->running().count("a.0.1.0"), 1U);
    it.run(seconds{2});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_EQ(it.starts, 5U);
    EXPECT_EQ(it.workers["w1"]->unacknowledged(), 0U);
}

// A worker must never be given more than it has, also while the ends of
// earlier runs are not on record yet.
TEST(run_scheduler, keeps_within_the_capacity_of_a_worker)
{
    fake_fleet it{2};
    it.add_worker("w1", 4000);
    it.submit("a", {fake_fleet::step(20)});
    it.run(seconds{8});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_EQ(it.workers["w1"]->most_used(), 4000);
}

// A task that fails for good ends its workflow after as many failed runs as
// the contract allows, and not before.
TEST(run_scheduler, fails_a_workflow_after_the_allowed_failures)
{
    fake_fleet it{3};
    it.add_worker("w1", 4000);
    it.behaviour = [](std::string const&)
    {
        return platform_worker::run{0, time_point{milliseconds{100}}, "failed",
                                    1000};
    };
    it.submit("a", {fake_fleet::step(1)});
    it.run(seconds{3});
    EXPECT_EQ(it.state_of("a"), workflow_state::failed);
    EXPECT_EQ(it.starts, 2U);
}

// A lasting task has to come back however it ends.
TEST(run_scheduler, restarts_a_permanent_task_until_it_is_cancelled)
{
    fake_fleet it{4};
    it.add_worker("w1", 4000);
    auto lasting = fake_fleet::step(1);
    lasting.permanent = true;
    it.submit("a", {lasting});
    it.run(seconds{10});
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
    EXPECT_GT(it.starts, 5U);
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    it.run(milliseconds{300});
    EXPECT_EQ(it.state_of("a"), workflow_state::cancelled);
    EXPECT_TRUE(it.workers["w1"]->running().empty());
}

// A worker behind a cut runs on until its lease is over by its own clock;
// starting its tasks elsewhere before would run them twice.
TEST(run_scheduler, waits_for_the_lease_of_a_worker_that_is_cut_off)
{
    fake_fleet it{5};
    it.add_worker("w1", 4000);
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{30}}, "done", 1000};
    };
    it.submit("a", {fake_fleet::step(2)});
    it.run(seconds{1});
    ASSERT_EQ(it.workers["w1"]->running().size(), 2U);
    it.cut.insert("w1");
    it.add_worker("w2", 4000);
    it.run(seconds{4});
    EXPECT_TRUE(it.workers["w2"]->running().empty());
    it.run(seconds{5});
    EXPECT_EQ(it.workers["w2"]->running().size(), 2U);
    it.cut.clear();
    it.run(seconds{3});
    EXPECT_TRUE(it.violations.empty()) << it.violations.front();
}

// A new leader finds runs that the log names. Starting them again would run
// them twice, losing them would throw their work away.
TEST(run_scheduler, takes_over_runs_of_an_earlier_leader)
{
    fake_fleet it{6};
    it.add_worker("w1", 8000);
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{6}}, "done", 1000};
    };
    it.submit("a", {fake_fleet::step(4)});
    it.run(seconds{1});
    auto const before = it.starts;
    for (auto n = 0; n < 3; ++n)
    {
        it.lead();
        it.run(seconds{1});
    }
    EXPECT_EQ(it.starts, before);
    it.run(seconds{5});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_TRUE(it.violations.empty());
}

// A start on record whose order never arrived must not be sent by the next
// leader once its workflow is cancelled.
TEST(run_scheduler, starts_no_run_of_a_cancelled_workflow_after_a_leader_change)
{
    fake_fleet it{12};
    it.add_worker("w1", 4000);
    it.run(milliseconds{100});
    it.cut.insert("w1");
    it.submit("a", {fake_fleet::step(1)});
    it.run(milliseconds{100});
    ASSERT_EQ(it.starts, 1U);
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    it.lead();
    it.run(milliseconds{1200});
    ASSERT_TRUE(it.workers["w1"]->running().empty());
    it.cut.clear();
    it.run(seconds{2});
    EXPECT_EQ(it.starts, 1U);
    EXPECT_EQ(it.live_workflows(), 0U);
    EXPECT_EQ(it.state_of("a"), workflow_state::cancelled);
}

// A new leader that waits for lists lets cancelled work run on at each worker
// that is slow to list it.
TEST(run_scheduler, stops_cancelled_runs_once_a_new_leader_knows_the_worker)
{
    fake_fleet it{13};
    it.add_worker("w1", 4000);
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{30}}, "done", 1000};
    };
    it.submit("a", {fake_fleet::step(2)});
    it.run(milliseconds{500});
    ASSERT_EQ(it.workers["w1"]->running().size(), 2U);
    it.cut.insert("w1");
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    it.lead();
    it.run(milliseconds{1200});
    ASSERT_EQ(it.workers["w1"]->running().size(), 2U);
    it.cut.clear();
    ASSERT_TRUE(it.run_until_known("w1"));
    it.run(milliseconds{20});
    EXPECT_TRUE(it.workers["w1"]->running().empty());
    it.run(seconds{1});
    EXPECT_EQ(it.live_workflows(), 0U);
}

// A copy whose task another run has finished would be done twice.
TEST(run_scheduler, starts_no_copy_of_a_finished_task_after_a_leader_change)
{
    fake_fleet it{14};
    it.add_worker("w1", 4000);
    it.run(milliseconds{100});
    auto copied = fake_fleet::step(1);
    copied.allows_copies = true;
    it.submit("a", {copied});
    worker_instance const w1{worker_id{"w1"}, worker_incarnation{1}};
    workflow_task const task{workflow_id{"a"}, {}, {}, {}};
    task_run const first{task, run_number{1}};
    task_run const second{task, run_number{2}};
    it.apply(start_runs{{{first, w1}, {second, w1}}});
    it.apply(end_runs{{{first, run_end::finished, {}}}, {}});
    ASSERT_EQ(it.live_workflows(), 1U);
    it.lead();
    it.run(seconds{2});
    EXPECT_EQ(it.starts, 0U);
    EXPECT_EQ(it.live_workflows(), 0U);
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
}

// A run that is on record for an earlier life of a worker was lost with it. The
// next life must not get its start order.
TEST(run_scheduler, starts_no_run_of_an_earlier_life_after_a_leader_change)
{
    fake_fleet it{15};
    it.add_worker("w1", 4000);
    it.run(milliseconds{100});
    it.workers["w1"]->restart(2, it.now);
    it.submit("a", {fake_fleet::step(2)});
    worker_id const id{"w1"};
    task_run const lost{{workflow_id{"a"}, {}, {}, task_index{0}},
                        run_number{1}};
    task_run const current{{workflow_id{"a"}, {}, {}, task_index{1}},
                           run_number{1}};
    it.apply(start_runs{{{lost, {id, worker_incarnation{1}}},
                         {current, {id, worker_incarnation{2}}}}});
    it.lead();
    ASSERT_TRUE(it.run_until_known("w1"));
    it.run(milliseconds{500});
    auto const& running = it.workers["w1"]->running();
    ASSERT_TRUE(running.contains("a.0.0.0"));
    ASSERT_TRUE(running.contains("a.0.0.1"));
    EXPECT_EQ(running.at("a.0.0.0").number, 2);
    EXPECT_EQ(running.at("a.0.0.1").number, 1);
}

// A deposed leader applies the entries of its successor before it learns that
// it was deposed. It must not take the successor's run for its own proposal.
TEST(run_scheduler, starts_no_run_that_is_on_record_for_another_worker)
{
    fake_fleet it{20};
    it.add_worker("w1", 4000);
    it.add_worker("w2", 4000);
    it.run(milliseconds{100});
    it.submit("a", {fake_fleet::step(1)});
    it.run(milliseconds{5});
    auto const& known = it.leader->workers();
    auto const chose_w1 = !known.at(worker_id{"w1"}).runs.empty();
    worker_instance const other{worker_id{chose_w1 ? "w2" : "w1"},
                                worker_incarnation{1}};
    task_run const run{{workflow_id{"a"}, {}, {}, {}}, run_number{1}};
    it.apply(start_runs{{{run, other}}});
    it.run(milliseconds{5});
    EXPECT_EQ(it.starts, 0U);
    EXPECT_TRUE(it.state.workflows().is_active(run));
    it.lead();
    it.run(seconds{3});
    EXPECT_EQ(it.starts, 1U);
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
}

// A permanent task that waited behind a backlog of new work stayed away for as
// long as the backlog lasted.
TEST(run_scheduler, restarts_a_permanent_task_before_it_starts_waiting_work)
{
    fake_fleet it{30};
    it.add_worker("w1", 2000);
    it.run(milliseconds{20});
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{2}}, "failed", 1000};
    };
    auto lasting = fake_fleet::step(1);
    lasting.permanent = true;
    it.submit("a", {lasting});
    it.run(milliseconds{200});
    ASSERT_EQ(it.starts, 1U);
    it.behaviour = [](std::string const& task)
    {
        auto const takes = seconds{task.starts_with("a") ? 60 : 1};
        return platform_worker::run{0, time_point{takes}, "done", 1000};
    };
    it.submit("b", {fake_fleet::step(200)});
    it.run(seconds{4});
    EXPECT_TRUE(it.workers["w1"]->running().contains("a.0.0.0"));
}

// A leader that orders starts faster than their answers are handled falls
// behind for good and loses its leadership.
TEST(run_scheduler, holds_back_starts_until_earlier_ones_are_confirmed)
{
    auto const limit =
        static_cast<std::int64_t>(config::max_unconfirmed_starts);
    fake_fleet it{10};
    it.add_worker("w1", 2 * limit * 1000);
    ASSERT_TRUE(it.run_until_listed("w1"));
    it.cut.insert("w1");
    it.submit("a", {fake_fleet::step(limit + 100)});
    for (auto n = 0; n < 60; ++n)
    {
        it.run(milliseconds{5});
        EXPECT_LE(it.leader->summary(it.now).unconfirmed, limit);
    }
    EXPECT_EQ(it.leader->summary(it.now).unconfirmed, limit);
    EXPECT_EQ(it.leader->summary(it.now).ready, 100);
    // Stops are not held back.
    it.cut.clear();
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    it.run(milliseconds{20});
    EXPECT_EQ(it.leader->summary(it.now).unconfirmed, 0);
    it.submit("b", {fake_fleet::step(100)});
    it.run(milliseconds{200});
    EXPECT_EQ(it.leader->summary(it.now).running, 100);
    EXPECT_TRUE(it.violations.empty()) << it.violations.front();
}

auto count_placed(run_scheduler& it) -> std::size_t
{
    std::size_t placed{0};
    for (auto const& action : it.take_actions())
    {
        auto const* const starts = std::get_if<propose_starts>(&action);
        placed += starts != nullptr ? starts->value.runs.size() : 0;
    }
    return placed;
}

// A pass over all ready tasks and all workers holds up the heartbeats of the
// leader.
TEST(run_scheduler, divides_the_placing_of_many_tasks_into_short_passes)
{
    fake_fleet it{12};
    for (auto n = 0; n < 1000; ++n)
    {
        it.add_worker("w" + std::to_string(n), 4000);
    }
    ASSERT_TRUE(it.run_until_listed("w0"));
    // One search serves all tasks of a step, so that these need 900 searches.
    for (auto n = 0; n < 900; ++n)
    {
        it.submit("a" + std::to_string(n), {fake_fleet::step(1)});
    }
    it.leader->plan(it.now, wall_time{});
    auto placed = count_placed(*it.leader);
    EXPECT_GT(placed, 0);
    EXPECT_LE(placed, 500);
    for (auto n = 0; n < 3 && it.leader->needs_plan(); ++n)
    {
        it.leader->plan(it.now, wall_time{});
        placed += count_placed(*it.leader);
    }
    EXPECT_EQ(placed, 900);
    EXPECT_FALSE(it.leader->needs_plan());
}

// Tasks without room must not use up every pass before later tasks are
// considered.
TEST(run_scheduler, considers_tasks_behind_many_that_find_no_room)
{
    fake_fleet it{13};
    for (auto n = 0; n < 1000; ++n)
    {
        it.add_worker("w" + std::to_string(n), 4000);
    }
    ASSERT_TRUE(it.run_until_listed("w0"));
    for (auto n = 0; n < 600; ++n)
    {
        auto large = fake_fleet::step(1);
        large.each.cores = millicores{8000 + n};
        it.submit("a" + std::to_string(n), {large});
    }
    it.submit("b", {fake_fleet::step(1)});
    it.leader->plan(it.now, wall_time{});
    EXPECT_EQ(count_placed(*it.leader), 0);
    it.leader->plan(it.now, wall_time{});
    EXPECT_EQ(count_placed(*it.leader), 1);
    EXPECT_FALSE(it.leader->needs_plan());
    EXPECT_TRUE(it.leader->is_behind());
}

/// Submits a workflow with one permanent task whose last run ended elsewhere.
auto submit_interrupted(fake_fleet& it, std::string const& id,
                        std::int64_t cores) -> void
{
    auto lasting = fake_fleet::step(1);
    lasting.permanent = true;
    lasting.each.cores = millicores{cores};
    it.submit(id, {lasting});
    task_run const first{{workflow_id{id}, {}, {}, {}}, run_number{1}};
    it.apply(start_runs{{{first, {worker_id{"gone"}, {}}}}});
    it.apply(end_runs{{{first, run_end::lost, {}}}, {}});
}

/// Workers of which each has one core free beside a run of three cores.
auto add_busy_workers(fake_fleet& it, std::int64_t count) -> void
{
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{60}}, "done", 3000};
    };
    for (auto n = 0; n < count; ++n)
    {
        it.add_worker("w" + std::to_string(n), 4000);
    }
    it.run(milliseconds{5});
    auto busy = fake_fleet::step(count);
    busy.each.cores = millicores{3000};
    it.submit("busy", {busy});
    it.run(milliseconds{100});
}

auto end_first_run(fake_fleet& it, std::string const& id) -> void
{
    ended_run const ended{
        {{workflow_id{id}, {}, {}, {}}, run_number{1}}, run_end::finished, {}};
    it.apply(end_runs{{ended}, {}});
    it.leader->on_recorded(propose_ends{{ended}, {}}, it.now);
}

/// Submits 600 tasks that fit on no worker, of different sizes.
auto submit_unplaceable(fake_fleet& it, std::int64_t smallest) -> void
{
    for (auto cores = smallest; cores < smallest + 600; ++cores)
    {
        auto large = fake_fleet::step(1);
        large.each.cores = millicores{cores};
        large.estimate = seconds{60};
        it.submit("large" + std::to_string(cores), {large});
    }
}

// A task that found no room was left out while passes were cut, although room
// had fallen free meanwhile.
TEST(run_scheduler, places_a_task_on_room_that_falls_free_while_passes_are_cut)
{
    fake_fleet it{14};
    add_busy_workers(it, 1000);
    ASSERT_EQ(it.leader->summary(it.now).running, 1000);
    submit_interrupted(it, "a", 4000);
    submit_unplaceable(it, 8000);
    it.leader->plan(it.now, wall_time{});
    ASSERT_EQ(count_placed(*it.leader), 0);
    ASSERT_TRUE(it.leader->needs_plan());
    end_first_run(it, "busy");
    it.leader->plan(it.now, wall_time{});
    EXPECT_EQ(count_placed(*it.leader), 1);
}

// A pass ranked only the first 2,000 ready tasks in the order of acceptance, so
// that nothing accepted behind them was considered.
TEST(run_scheduler, restarts_a_task_behind_a_backlog_of_earlier_work)
{
    fake_fleet it{17};
    it.add_worker("w1", 4000);
    ASSERT_TRUE(it.run_until_listed("w1"));
    auto large = fake_fleet::step(3000);
    large.each.cores = millicores{8000};
    it.submit("large", {large});
    submit_interrupted(it, "a", 4000);
    it.leader->plan(it.now, wall_time{});
    EXPECT_EQ(count_placed(*it.leader), 1);
}

/// Runs of tasks whose names begin with `a` last, the others end after 0.7 to
/// 1.3 s, at different times.
auto staggered_run(std::string const& task) -> platform_worker::run
{
    auto const spread = std::hash<std::string>{}(task) % 600;
    auto const takes = task.starts_with("a") ? milliseconds{60'000}
                                             : milliseconds{700 + spread};
    return {0, time_point{takes}, "done", task.starts_with("a") ? 3000 : 1000};
}

// On full workers every piece of room that fell free was taken by smaller
// tasks, and a permanent task that had ended was not restarted.
TEST(run_scheduler, restarts_a_large_task_on_workers_full_of_small_ones)
{
    fake_fleet it{18};
    it.behaviour = staggered_run;
    for (auto n = 0; n < 4; ++n)
    {
        it.add_worker("w" + std::to_string(n), 4000);
    }
    it.submit("small", {fake_fleet::step(400)});
    it.run(seconds{2});
    ASSERT_EQ(it.leader->summary(it.now).running, 16);
    for (auto n = 0; n < 2; ++n)
    {
        submit_interrupted(it, "a" + std::to_string(n), 3000);
    }
    it.run(seconds{3});
    EXPECT_EQ(it.leader->summary(it.now).permanent, 2);
    EXPECT_EQ(it.leader->summary(it.now).held, 0);
}

// A worker held for a task that does not need it any more stayed empty.
TEST(run_scheduler, uses_a_held_worker_again_when_the_restart_is_cancelled)
{
    fake_fleet it{19};
    it.behaviour = staggered_run;
    it.add_worker("w1", 4000);
    it.submit("small", {fake_fleet::step(400)});
    it.run(seconds{2});
    submit_interrupted(it, "a", 4000);
    it.run(milliseconds{500});
    EXPECT_EQ(it.leader->summary(it.now).held, 1);
    EXPECT_LT(it.workers["w1"]->running().size(), 4U);
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    it.run(milliseconds{100});
    EXPECT_EQ(it.leader->summary(it.now).held, 0);
    EXPECT_EQ(it.workers["w1"]->running().size(), 4U);
}

// Restarts of many tasks at once must not take the fleet from all other work.
TEST(run_scheduler, holds_a_bounded_share_of_the_workers)
{
    fake_fleet it{20};
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{60}}, "done", 1000};
    };
    for (auto n = 0; n < 20; ++n)
    {
        it.add_worker("w" + std::to_string(n), 4000);
    }
    it.submit("small", {fake_fleet::step(80)});
    it.run(milliseconds{100});
    for (auto n = 0; n < 20; ++n)
    {
        submit_interrupted(it, "a" + std::to_string(n), 3000);
    }
    it.run(milliseconds{100});
    EXPECT_EQ(it.leader->summary(it.now).held, 5);
}

// Restarts for which no worker can be held used up every pass, so that no new
// task was placed.
TEST(run_scheduler, places_new_tasks_while_many_restarts_fit_nowhere)
{
    fake_fleet it{21};
    for (auto n = 0; n < 1000; ++n)
    {
        it.add_worker("w" + std::to_string(n), 4000);
    }
    ASSERT_TRUE(it.run_until_listed("w0"));
    for (auto n = 0; n < 600; ++n)
    {
        submit_interrupted(it, "a" + std::to_string(n), 8000);
    }
    it.submit("b", {fake_fleet::step(1)});
    it.leader->plan(it.now, wall_time{});
    EXPECT_EQ(count_placed(*it.leader), 1);
}

// A task that needs an accelerator made tasks of the same size that need none
// count as unplaceable.
TEST(run_scheduler, places_a_task_beside_one_that_needs_an_accelerator)
{
    fake_fleet it{22};
    it.add_worker("w1", 4000);
    ASSERT_TRUE(it.run_until_listed("w1"));
    auto accelerated = fake_fleet::step(1);
    accelerated.each.accels = accelerators{1};
    it.submit("a", {accelerated});
    it.submit("b", {fake_fleet::step(1)});
    it.leader->plan(it.now, wall_time{});
    EXPECT_EQ(count_placed(*it.leader), 1);
}

// A gang that found no room was left out for as long as passes were cut.
TEST(run_scheduler, places_a_gang_although_every_pass_is_cut)
{
    fake_fleet it{15};
    add_busy_workers(it, 1000);
    auto gang = fake_fleet::step(1);
    gang.gang = true;
    gang.each.cores = millicores{4000};
    gang.estimate = seconds{10};
    it.submit("gang", {gang});
    submit_unplaceable(it, 8000);
    it.leader->plan(it.now, wall_time{});
    ASSERT_EQ(count_placed(*it.leader), 0);
    end_first_run(it, "busy");
    std::size_t placed{0};
    for (auto n = 1; n <= 10 && placed == 0; ++n)
    {
        // New kinds of tasks keep every pass cut.
        submit_unplaceable(it, 8000 + 600 * n);
        it.now += milliseconds{100};
        it.leader->plan(it.now, wall_time{});
        placed = count_placed(*it.leader);
        EXPECT_TRUE(placed > 0 || it.leader->needs_plan());
    }
    EXPECT_EQ(placed, 1);
}

// Steps of one workflow with the same size and limit per worker shared one
// failed search, so that the step with room left was skipped.
TEST(run_scheduler, places_a_step_beside_one_that_has_reached_its_limit)
{
    fake_fleet it{16};
    it.add_worker("w1", 16'000);
    ASSERT_TRUE(it.run_until_listed("w1"));
    auto limited = fake_fleet::step(3);
    limited.max_per_worker = task_count{1};
    it.submit("a", {limited, limited});
    it.leader->plan(it.now, wall_time{});
    EXPECT_EQ(count_placed(*it.leader), 2);
}

// A new leader that places tasks before it knows what runs has no time left
// for the runs that it took over.
TEST(run_scheduler, learns_of_the_inherited_runs_before_it_places_more)
{
    auto const limit =
        static_cast<std::int64_t>(config::max_unconfirmed_starts);
    fake_fleet it{11};
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{60}}, "done", 1000};
    };
    it.add_worker("w1", 2 * limit * 1000);
    it.submit("a", {fake_fleet::step(limit)});
    it.run(milliseconds{200});
    ASSERT_EQ(it.leader->summary(it.now).running, limit);
    it.add_worker("w2", 4000);
    it.submit("b", {fake_fleet::step(1)});
    it.lead();
    it.cut.insert("w1");
    it.run(config::worker_contact_timeout - milliseconds{20});
    EXPECT_EQ(it.leader->summary(it.now).inherited, limit);
    EXPECT_TRUE(it.workers["w2"]->running().empty());
    // A worker that is gone does not hold the others back.
    it.run(milliseconds{100});
    EXPECT_EQ(it.workers["w2"]->running().size(), 1);

    it.submit("c", {fake_fleet::step(1)});
    it.lead();
    it.cut.clear();
    it.run(seconds{2});
    EXPECT_EQ(it.leader->summary(it.now).running, limit + 2);
    EXPECT_TRUE(it.violations.empty()) << it.violations.front();
}

// A start without an answer may arrive after the worker was restarted under
// the same id. It must be stopped there before the task runs elsewhere.
TEST(run_scheduler, closes_unanswered_starts_after_a_restart_of_the_worker)
{
    fake_fleet it{7};
    it.add_worker("w1", 4000);
    it.faults.late = 100;
    it.submit("a", {fake_fleet::step(1)});
    it.run(milliseconds{1200});
    it.faults.late = 0;
    it.workers["w1"]->restart(2, it.now);
    it.add_worker("w2", 4000);
    it.run(seconds{12});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_TRUE(it.violations.empty()) << it.violations.front();
}

// A start that is in flight when its workflow is cancelled may reach the next
// life of the worker, which has not seen the stop.
TEST(run_scheduler, stops_a_cancelled_start_in_flight_at_the_next_life_too)
{
    fake_fleet it{21};
    it.add_worker("w1", 4000);
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{60}}, "done", 1000};
    };
    it.run(seconds{20});
    it.faults.late = 100;
    it.submit("a", {fake_fleet::step(1)});
    it.run(milliseconds{50});
    ASSERT_EQ(it.starts, 1U);
    it.faults.late = 0;
    it.cut.insert("w1");
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    it.run(milliseconds{50});
    it.cut.clear();
    it.workers["w1"]->restart(2, it.now);
    it.announce_now();
    it.run(milliseconds{200});
    it.cut.insert("w1"); // the stop for the former life stays lost
    it.run(milliseconds{1200});
    it.cut.clear();
    it.run(seconds{7});
    EXPECT_TRUE(it.workers["w1"]->running().empty());
    EXPECT_EQ(it.live_workflows(), 0U);
}

// A start that reaches the next life of a worker before its announcement is
// answered like any other. Taking the run for lost would run it twice.
TEST(run_scheduler, finds_runs_that_a_new_life_was_sent)
{
    fake_fleet it{11};
    it.add_worker("w1", 4000);
    it.add_worker("w2", 4000);
    it.run(milliseconds{1100});
    it.workers["w1"]->restart(2, it.now);
    it.workers["w2"]->restart(2, it.now);
    it.submit("a", {fake_fleet::step(4)});
    it.run(seconds{8});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
    EXPECT_TRUE(it.violations.empty()) << it.violations.front();
    EXPECT_EQ(it.starts, 4U);
}

// Promised to the worker: nothing is started on it once it drains.
TEST(run_scheduler, starts_nothing_on_a_draining_worker)
{
    fake_fleet it{8};
    it.add_worker("w1", 4000);
    it.draining.insert("w1");
    it.run(seconds{2});
    it.submit("a", {fake_fleet::step(1)});
    it.run(seconds{2});
    EXPECT_EQ(it.starts, 0U);
    EXPECT_EQ(it.state_of("a"), workflow_state::queued);
}

// Promised to a worker that drains between the choice and its commit.
TEST(run_scheduler, starts_nothing_on_a_worker_that_drains_before_the_commit)
{
    fake_fleet it{16};
    it.add_worker("w1", 4000);
    it.run(milliseconds{900});
    it.submit("a", {fake_fleet::step(1)});
    // The announcement falls into the 15 ms until the start is committed.
    it.announce_now();
    it.run(milliseconds{5});
    ASSERT_EQ(it.leader->workers().at(worker_id{"w1"}).runs.size(), 1U);
    it.draining.insert("w1");
    it.announce_now();
    it.run(milliseconds{500});
    EXPECT_EQ(it.starts, 0U);
    it.add_worker("w2", 4000);
    it.run(seconds{4});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
}

// Repeating an unanswered start on a worker that drains would start the task
// there if the first order was lost.
TEST(run_scheduler, repeats_no_start_on_a_worker_that_drains)
{
    fake_fleet it{17};
    it.add_worker("w1", 4000);
    it.run(milliseconds{100});
    it.cut.insert("w1");
    it.submit("a", {fake_fleet::step(1)});
    it.run(milliseconds{1150});
    ASSERT_EQ(it.starts, 1U);
    it.cut.clear();
    it.draining.insert("w1");
    it.announce_now();
    it.run(seconds{1});
    EXPECT_EQ(it.starts, 1U);
    it.add_worker("w2", 4000);
    it.run(seconds{4});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
}

// The promise to a draining worker binds the next leader too.
TEST(run_scheduler, starts_no_inherited_run_on_a_draining_worker)
{
    fake_fleet it{18};
    it.add_worker("w1", 4000);
    it.run(milliseconds{100});
    it.cut.insert("w1");
    it.submit("a", {fake_fleet::step(1)});
    it.run(milliseconds{100});
    ASSERT_EQ(it.starts, 1U);
    it.lead();
    it.run(milliseconds{1200});
    it.cut.clear();
    it.draining.insert("w1");
    it.run(seconds{2});
    EXPECT_EQ(it.starts, 1U);
    it.add_worker("w2", 4000);
    it.run(seconds{4});
    EXPECT_EQ(it.state_of("a"), workflow_state::completed);
}

// A process may pass on an old announcement to a new leader, while the drain
// was acknowledged by the former one through another process.
TEST(run_scheduler, starts_nothing_on_an_old_announcement_after_a_leader_change)
{
    fake_fleet it{22};
    it.add_worker("w1", 4000);
    it.run(milliseconds{1100});
    auto const ready = it.announcement_of("w1");
    it.draining.insert("w1");
    it.run(seconds{2});
    it.submit("a", {fake_fleet::step(1)});
    it.lead();
    it.leader->on_announcement(ready, it.now, seconds{2});
    it.run(milliseconds{500});
    EXPECT_EQ(it.starts, 0U);
    it.run(seconds{2});
    EXPECT_EQ(it.starts, 0U);
}

// A new leader that waits for the next announcement of each worker would place
// nothing for a second.
TEST(run_scheduler, starts_on_a_recent_announcement_after_a_leader_change)
{
    fake_fleet it{23};
    it.add_worker("w1", 4000);
    it.run(milliseconds{1100});
    it.lead();
    it.leader->on_announcement(it.announcement_of("w1"), it.now, seconds{1});
    it.submit("a", {fake_fleet::step(1)});
    it.run(milliseconds{100});
    EXPECT_EQ(it.starts, 1U);
}

// The members of a gang work only together, so that a part of them would
// hold room for nothing.
TEST(run_scheduler, places_all_members_of_a_gang_or_none)
{
    fake_fleet it{9};
    it.add_worker("w1", 3000);
    auto gang = fake_fleet::step(4);
    gang.gang = true;
    it.submit("a", {gang});
    it.run(seconds{3});
    EXPECT_EQ(it.starts, 0U);
    it.add_worker("w2", 3000);
    it.run(seconds{2});
    EXPECT_EQ(it.starts, 4U);
}

// Members whose gang cannot become complete would hold room until their time
// limit.
TEST(run_scheduler, stops_a_gang_of_which_a_member_cannot_start)
{
    fake_fleet it{19};
    it.add_worker("w1", 3000);
    it.add_worker("w2", 3000);
    it.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{30}}, "done", 1000};
    };
    it.run(milliseconds{100});
    auto gang = fake_fleet::step(4);
    gang.gang = true;
    it.submit("a", {gang});
    it.announce_now();
    it.run(milliseconds{5});
    auto const& known = it.leader->workers();
    auto const w1_has_less = known.at(worker_id{"w1"}).runs.size() <
                             known.at(worker_id{"w2"}).runs.size();
    it.draining.insert(w1_has_less ? "w1" : "w2");
    it.announce_now();
    it.run(milliseconds{300});
    EXPECT_EQ(it.starts, 3U);
    EXPECT_TRUE(it.workers["w1"]->running().empty());
    EXPECT_TRUE(it.workers["w2"]->running().empty());
    it.add_worker("w3", 3000);
    it.run(seconds{2});
    EXPECT_EQ(it.starts, 7U);
}

// Two tasks of a step on one worker would be lost together.
TEST(run_scheduler, keeps_the_limit_of_tasks_of_a_step_per_worker)
{
    fake_fleet it{10};
    it.add_worker("w1", 8000);
    it.add_worker("w2", 8000);
    auto apart = fake_fleet::step(6);
    apart.max_per_worker = task_count{1};
    it.submit("a", {apart});
    it.run(milliseconds{800});
    EXPECT_EQ(it.workers["w1"]->running().size(), 1U);
    EXPECT_EQ(it.workers["w2"]->running().size(), 1U);
}

// Orders that are lost or carried out late, workers that are cut off or
// restarted and new leaders, all at random: no task may run twice, and all
// work ends once the faults are over.
TEST(run_scheduler, keeps_one_run_of_a_task_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        fake_fleet it{seed};
        it.faults = {10, 10};
        for (auto n = 0; n < 4; ++n)
        {
            it.add_worker("w" + std::to_string(n), 4000);
        }
        auto second = fake_fleet::step(3);
        second.prerequisites = {step_index{0}};
        std::uint64_t random{seed};
        std::int64_t incarnation_number{1};
        for (auto n = 0; n < 12; ++n)
        {
            it.submit("job" + std::to_string(n), {fake_fleet::step(4), second});
            auto const name = "w" + std::to_string(next_random(random) % 4);
            switch (next_random(random) % 5)
            {
            case 0:
                it.cut.insert(name);
                break;
            case 1:
                it.cut.clear();
                break;
            case 2:
                it.lead();
                break;
            case 3:
                it.workers[name]->restart(++incarnation_number, it.now);
                break;
            default:
                break;
            }
            it.run(milliseconds{700});
        }
        it.faults = {};
        it.cut.clear();
        it.run(seconds{30});
        EXPECT_TRUE(it.violations.empty())
            << "seed " << seed << ": " << it.violations.front();
        for (auto n = 0; n < 12; ++n)
        {
            EXPECT_EQ(it.state_of("job" + std::to_string(n)),
                      workflow_state::completed)
                << "seed " << seed << " job " << n;
        }
    }
}

// Cancellations, drains, restarts, cuts and new leaders at random: a start is
// sent only for what is still wanted, and every run ends on record.
TEST(run_scheduler, starts_only_what_is_wanted_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        fake_fleet it{seed};
        it.faults = {10, 10};
        for (auto n = 0; n < 4; ++n)
        {
            it.add_worker("w" + std::to_string(n), 4000);
        }
        std::uint64_t random{seed};
        std::int64_t incarnation_number{1};
        for (auto n = 0; n < 16; ++n)
        {
            it.submit("job" + std::to_string(n), {fake_fleet::step(4)});
            auto const name = "w" + std::to_string(next_random(random) % 4);
            switch (next_random(random) % 6)
            {
            case 0:
                it.cut.insert(name);
                break;
            case 1:
                it.cut.clear();
                break;
            case 2:
                it.draining.insert(name);
                break;
            case 3:
                it.workers[name]->restart(++incarnation_number, it.now);
                it.draining.erase(name);
                break;
            default:
                break;
            }
            it.run(milliseconds{10 + next_random(random) % 300});
            auto const cancelled = next_random(random) % 16;
            if (cancelled <= static_cast<std::uint64_t>(n))
            {
                it.apply(cancel_workflow{
                    workflow_id{"job" + std::to_string(cancelled)}, {}});
            }
            if (next_random(random) % 3 == 0)
            {
                it.lead();
            }
            it.run(milliseconds{next_random(random) % 600});
        }
        it.faults = {};
        it.cut.clear();
        it.draining.clear();
        it.run(seconds{30});
        EXPECT_TRUE(it.violations.empty())
            << "seed " << seed << ": " << it.violations.front();
        EXPECT_EQ(it.live_workflows(), 0U) << "seed " << seed;
    }
}

} // namespace
} // namespace apricotlb
