#include "fake_fleet.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace apricotlb
{
namespace
{

/// A fleet in which a worker crashes once a task of a workflow named
/// "deadly..." has run there for `crash_delay`, and comes back under its id.
struct crashing_fleet : fake_fleet
{
    explicit crashing_fleet(std::uint64_t seed) : fake_fleet(seed)
    {
        behaviour = [this](std::string const& task)
        {
            auto const lasts =
                task.starts_with("deadly") ? seconds{600} : task_time;
            return platform_worker::run{0, time_point{lasts}, "done", 1000};
        };
        for (auto n = 0; n < 4; ++n)
        {
            add_worker("w" + std::to_string(n), 4000);
        }
    }

    auto crash(std::string const& name) -> void
    {
        workers[name]->restart(++incarnation_number, now);
        cut.insert(name);
        back_at[name] = now + down_time;
        deadly_since.erase(name);
        ++crashes;
    }

    auto run_with_crashes(duration d) -> void
    {
        for (auto const end = now + d; now < end;)
        {
            faults.unanswered = loses_answers && !is_on_record() ? 100 : 0;
            run(milliseconds{20});
            for (auto const& [name, it] : workers)
            {
                if (back_at.contains(name) && back_at[name] <= now)
                {
                    back_at.erase(name);
                    cut.erase(name);
                    announce_now();
                }
                auto const is_deadly = std::ranges::any_of(
                    it->running(), [](auto const& each)
                    { return each.first.starts_with("deadly"); });
                if (!is_deadly)
                {
                    deadly_since.erase(name);
                }
                else if (now - deadly_since.try_emplace(name, now)
                                   .first->second >=
                         crash_delay)
                {
                    crash(name);
                }
            }
        }
    }

    /// True while the log has a run of the guilty task.
    [[nodiscard]] auto is_on_record() const -> bool
    {
        auto const* const it = state.workflows().find(workflow_id{"deadly"});
        return it != nullptr &&
               !it->occurrences[0].steps[0].tasks[0].active.empty();
    }

    /// Start orders of the guilty task get no answer.
    bool loses_answers{false};
    duration crash_delay{milliseconds{200}};
    duration down_time{seconds{3}};
    seconds task_time{1};
    std::uint32_t crashes{0};
    std::int64_t incarnation_number{1};
    std::map<std::string, time_point> back_at;
    std::map<std::string, time_point> deadly_since;
};

// A task that crashes its worker was started again without end, and took the
// runs beside it away each time.
TEST(worker_crash, gives_up_a_task_under_which_workers_crash)
{
    crashing_fleet it{1};
    it.submit("deadly", {fake_fleet::step(1)});
    it.submit("other", {fake_fleet::step(8)});
    it.run_with_crashes(seconds{40});
    EXPECT_EQ(it.state_of("deadly"), workflow_state::failed);
    EXPECT_EQ(it.state_of("other"), workflow_state::completed);
    EXPECT_EQ(it.crashes, config::max_task_crashes);
    EXPECT_TRUE(it.violations.empty()) << it.violations.front();
}

// The worker crashes before it has answered the start order.
TEST(worker_crash, counts_starts_that_the_worker_did_not_answer)
{
    crashing_fleet it{2};
    it.crash_delay = {};
    it.loses_answers = true;
    it.submit("deadly", {fake_fleet::step(1)});
    it.run_with_crashes(seconds{60});
    EXPECT_EQ(it.state_of("deadly"), workflow_state::failed);
    EXPECT_LE(it.crashes, config::max_task_crashes + 1);
}

// The runs of a worker that is down for longer than its lease have ended as
// lost before its crash is known.
TEST(worker_crash, counts_a_crash_that_is_known_after_the_end_of_the_lease)
{
    crashing_fleet it{3};
    it.down_time = seconds{12};
    it.submit("deadly", {fake_fleet::step(1)});
    it.run_with_crashes(seconds{90});
    EXPECT_EQ(it.state_of("deadly"), workflow_state::failed);
    EXPECT_LE(it.crashes, config::max_task_crashes + 2);
}

// A new leader must not start to count anew.
TEST(worker_crash, keeps_the_count_over_a_change_of_leader)
{
    crashing_fleet it{4};
    it.submit("deadly", {fake_fleet::step(1)});
    it.run_with_crashes(seconds{5});
    ASSERT_GE(it.crashes, 2U);
    it.lead();
    it.run_with_crashes(seconds{40});
    EXPECT_EQ(it.state_of("deadly"), workflow_state::failed);
    EXPECT_LE(it.crashes, config::max_task_crashes + 1);
}

TEST(worker_crash, gives_up_a_permanent_task)
{
    crashing_fleet it{5};
    auto step = fake_fleet::step(2);
    step.permanent = true;
    it.submit("deadly", {step});
    it.run_with_crashes(seconds{60});
    EXPECT_EQ(it.state_of("deadly"), workflow_state::failed);
    EXPECT_EQ(it.live_workflows(), 0U);
}

TEST(worker_crash, gives_up_a_gang_with_one_guilty_member)
{
    crashing_fleet it{6};
    auto step = fake_fleet::step(6);
    step.gang = true;
    it.submit("deadly", {step});
    it.run_with_crashes(seconds{60});
    EXPECT_EQ(it.state_of("deadly"), workflow_state::failed);
    EXPECT_EQ(it.live_workflows(), 0U);
}

// Tasks beside a guilty one are suspects too, until they have run without it.
TEST(worker_crash, completes_the_neighbours_of_a_guilty_task)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        crashing_fleet it{seed};
        it.task_time = seconds{3};
        it.submit("a", {fake_fleet::step(3)});
        it.submit("deadly", {fake_fleet::step(2)});
        it.submit("b", {fake_fleet::step(6)});
        it.run_with_crashes(seconds{90});
        EXPECT_EQ(it.state_of("deadly"), workflow_state::failed) << seed;
        EXPECT_EQ(it.state_of("a"), workflow_state::completed) << seed;
        EXPECT_EQ(it.state_of("b"), workflow_state::completed) << seed;
    }
}

// Two suspects on one worker would both be blamed for its next crash.
TEST(worker_crash, keeps_suspects_on_different_workers)
{
    crashing_fleet it{7};
    it.task_time = seconds{60};
    it.submit("a", {fake_fleet::step(4)});
    it.run(milliseconds{400});
    auto const first =
        std::ranges::find_if(it.workers, [](auto const& each)
                             { return each.second->running().size() == 4; });
    ASSERT_NE(first, it.workers.end());
    it.crash(first->first);
    it.run_with_crashes(seconds{4});
    for (auto const& [name, worker] : it.workers)
    {
        EXPECT_EQ(worker->running().size(), 1U) << name;
    }
}

TEST(worker_crash, blames_no_run_of_a_worker_that_was_unreachable)
{
    crashing_fleet it{8};
    it.task_time = seconds{600};
    it.submit("a", {fake_fleet::step(1)});
    for (auto n = 0; n < 6; ++n)
    {
        it.run(seconds{2});
        for (auto const& [name, worker] : it.workers)
        {
            it.cut.insert(name);
        }
        it.run(seconds{12});
        it.cut.clear();
    }
    it.run(seconds{2});
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
    EXPECT_EQ(it.state.workflows()
                  .find(workflow_id{"a"})
                  ->occurrences[0]
                  .steps[0]
                  .tasks[0]
                  .crashes,
              0U);
}

TEST(worker_crash, blames_no_run_of_a_worker_that_left)
{
    crashing_fleet it{9};
    it.task_time = seconds{600};
    it.submit("a", {fake_fleet::step(4)});
    for (auto n = 0; n < 6; ++n)
    {
        it.run(seconds{2});
        for (auto const& [name, worker] : it.workers)
        {
            auto left = it.announcement_of(name);
            left.phase = worker_phase::left;
            it.leader->on_announcement(left, it.now);
            worker->restart(++it.incarnation_number, it.now);
        }
    }
    it.run(seconds{2});
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
}

// A permanent task meets many ordinary crashes over months.
TEST(worker_crash, blames_no_run_that_has_lasted)
{
    crashing_fleet it{10};
    auto step = fake_fleet::step(4);
    step.permanent = true;
    it.task_time = seconds{6000};
    it.submit("a", {step});
    for (auto n = 0; n < 8; ++n)
    {
        it.run_with_crashes(config::crash_blame_time + seconds{6});
        for (auto const& [name, worker] : it.workers)
        {
            it.crash(name);
        }
    }
    it.run_with_crashes(seconds{6});
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
}

// Each of many ordinary crashes meets tasks that were just started. Counted
// against them, they made accepted workflows fail, although no run had failed.
TEST(worker_crash, ordinary_crashes_fail_no_workflow)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        crashing_fleet it{seed};
        it.down_time = milliseconds{1100};
        it.behaviour = [](std::string const& task)
        {
            auto const lasts =
                task.starts_with("permanent") ? seconds{600} : seconds{2};
            return platform_worker::run{0, time_point{lasts}, "done", 1000};
        };
        for (auto n = 4; n < 8; ++n)
        {
            it.add_worker("w" + std::to_string(n), 4000);
        }
        auto permanent = fake_fleet::step(4);
        permanent.permanent = true;
        it.submit("permanent", {permanent});
        std::uint64_t random{seed};
        std::set<std::string> submitted{"permanent"};
        for (auto n = 0; n < 40; ++n)
        {
            auto const id = "job" + std::to_string(n);
            it.submit(id, {fake_fleet::step(4)});
            submitted.insert(id);
            it.crash("w" + std::to_string(next_random(random) % 8));
            it.run_with_crashes(milliseconds{800 + next_random(random) % 1600});
        }
        it.run_with_crashes(seconds{30});
        for (auto const& id : submitted)
        {
            EXPECT_EQ(it.state_of(id), id == "permanent"
                                           ? workflow_state::running
                                           : workflow_state::completed)
                << id;
        }
    }
}

// Over months a permanent task meets many crashes soon after a restart. Those
// between which it goes on for long must not add up.
TEST(worker_crash, crashes_between_which_a_task_lasts_do_not_add_up)
{
    crashing_fleet it{12};
    auto step = fake_fleet::step(1);
    step.permanent = true;
    it.task_time = seconds{6000};
    it.submit("a", {step});
    it.run_with_crashes(milliseconds{500});
    for (auto n = 0; n < 12; ++n)
    {
        for (auto const& [name, worker] : it.workers)
        {
            if (!worker->running().empty())
            {
                it.crash(name);
            }
        }
        it.run_with_crashes(seconds{n % 2 == 0 ? 4 : 8});
    }
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
}

// Only the former leader knew when these runs had started.
TEST(worker_crash, blames_no_run_that_it_took_over)
{
    crashing_fleet it{11};
    it.task_time = seconds{600};
    it.submit("a", {fake_fleet::step(4)});
    for (auto n = 0; n < 6; ++n)
    {
        it.run_with_crashes(seconds{5});
        it.lead();
        it.run_with_crashes(seconds{1});
        for (auto const& [name, worker] : it.workers)
        {
            it.crash(name);
        }
    }
    it.run_with_crashes(seconds{6});
    EXPECT_EQ(it.state_of("a"), workflow_state::running);
}

// A run that was stopped, or never ran, counted as the cause of a later crash.
TEST(worker_crash, blames_no_run_that_is_closed)
{
    worker_entry worker;
    worker.last_contact = time_point{seconds{10}};
    held_run run;
    run.phase = run_phase::running;
    run.ordered_at = worker.last_contact;
    EXPECT_TRUE(worker.may_blame(run));
    run.phase = run_phase::closed;
    EXPECT_FALSE(worker.may_blame(run));
}

// An announcement from before the crash, delivered late, erased what was known
// of the crash.
TEST(worker_crash, keeps_possible_crashes_at_an_old_sign_of_life)
{
    worker_entry worker;
    worker.last_contact = time_point{seconds{10}};
    worker.possible_crashes.emplace_back();
    worker.record_life_sign(time_point{seconds{9}});
    EXPECT_EQ(worker.possible_crashes.size(), 1U);
    worker.record_life_sign(time_point{seconds{11}});
    EXPECT_TRUE(worker.possible_crashes.empty());
}

} // namespace
} // namespace apricotlb
