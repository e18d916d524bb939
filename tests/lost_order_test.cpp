#include "core/fleet/run_scheduler.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// A leader with one worker, whose answers the test gives one by one.
class lost_order : public testing::Test
{
protected:
    lost_order()
    {
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_contract queue;
        queue.name = queue_name{"q"};
        queue.pool = pool_name{"pool"};
        queue.timeout = milliseconds{3000};
        set.queues.push_back(queue);
        apply(apply_contract_set{set});
        announce();
        for (auto const& it : take<poll_order>())
        {
            scheduler.on_answer(it, lists({}, {}), now);
        }
    }

    auto apply(command const& it) -> void
    {
        state.apply(it, state.applied() + log_index{1});
        scheduler.on_applied(it, now);
    }

    auto announce() -> void
    {
        worker_announcement it;
        it.instance = worker;
        it.address = url{"http://w"};
        it.pool = pool_name{"pool"};
        it.capacity = {millicores{16'000}, byte_count{64'000}, {}};
        it.number = sequence{++announcements};
        it.clock = clock();
        scheduler.on_announcement(it, now);
    }

    [[nodiscard]] auto clock() const -> worker_clock
    {
        return worker_clock{
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
                .count()};
    }

    /// The start order of the one task of a new workflow.
    auto start(std::string const& id) -> start_order
    {
        workflow_spec spec;
        spec.id = workflow_id{id};
        step_spec step;
        step.tasks = task_count{1};
        step.each = {millicores{1000}, byte_count{1000}, {}};
        spec.steps.push_back(step);
        apply(
            submit_workflow{spec, state.contract_sets().current()->queues[0]});
        scheduler.plan(now, wall_time{});
        for (auto& it : scheduler.take_actions())
        {
            if (auto* const starts = std::get_if<propose_starts>(&it))
            {
                apply(start_runs{starts->value});
            }
        }
        return take<start_order>().at(0);
    }

    template <class Action>
    auto take() -> std::vector<Action>
    {
        std::vector<Action> out;
        for (auto& it : scheduler.take_actions())
        {
            if (auto* const found = std::get_if<Action>(&it))
            {
                out.push_back(std::move(*found));
            }
        }
        return out;
    }

    auto lists(end_number ended, task_run const& run) const -> poll_answer
    {
        poll_answer out;
        out.outcome = order_outcome::done;
        out.lists.incarnation = worker.incarnation;
        out.lists.clock = clock();
        if (ended != end_number{})
        {
            out.lists.ended.push_back({ended, {run, run_end::finished, {}}});
        }
        return out;
    }

    worker_instance const worker{worker_id{"w"}, worker_incarnation{1}};
    time_point now{seconds{100}};
    state_machine state;
    run_scheduler scheduler{state, term{1}, now, fleet_policy{}};
    std::uint64_t announcements{0};
};

// A rejected start of which another try may still be carried out was recorded
// as never started, and the task ran a second time elsewhere.
TEST_F(lost_order, stops_a_rejected_run_that_another_try_may_start)
{
    auto const order = start("a");
    order_answer rejected{order_outcome::insufficient_capacity, clock()};
    rejected.unanswered_tries = try_count{1};
    scheduler.on_answer(order, rejected, now);
    auto actions = scheduler.take_actions();
    auto const is_stop = [](fleet_action const& it)
    { return std::holds_alternative<stop_order>(it); };
    auto const is_end = [](fleet_action const& it)
    { return std::holds_alternative<propose_ends>(it); };
    EXPECT_EQ(std::ranges::count_if(actions, is_stop), 1);
    EXPECT_EQ(std::ranges::count_if(actions, is_end), 0);
}

TEST_F(lost_order, ends_a_rejected_run_that_no_other_try_can_start)
{
    auto const order = start("a");
    scheduler.on_answer(
        order, order_answer{order_outcome::insufficient_capacity, clock()},
        now);
    EXPECT_EQ(take<propose_ends>().size(), 1U);
}

// Polls that waited for an end after a lost one told the leader seconds later
// that runs had lapsed.
TEST_F(lost_order, asks_for_the_lists_at_once_after_a_lost_poll)
{
    auto const first = start("a");
    scheduler.on_answer(first, order_answer{order_outcome::done, clock()}, now);
    auto polls = take<poll_order>();
    ASSERT_EQ(polls.size(), 1U);
    auto const second = start("b");
    now += milliseconds{100};
    scheduler.on_answer(polls[0], poll_answer{}, now);
    scheduler.on_answer(second, order_answer{order_outcome::done, clock()},
                        now);
    now += config::poll_retry_delay;
    scheduler.tick(now);
    polls = take<poll_order>();
    ASSERT_EQ(polls.size(), 1U);
    poll_answer not_sent;
    not_sent.outcome = order_outcome::not_sent;
    scheduler.on_answer(polls[0], not_sent, now);
    now += config::poll_retry_delay;
    scheduler.tick(now);
    polls = take<poll_order>();
    ASSERT_EQ(polls.size(), 1U);
    EXPECT_EQ(polls[0].wait, milliseconds{0});
    scheduler.on_answer(polls[0], lists({}, {}), now);
    now += config::min_poll_interval;
    scheduler.tick(now);
    polls = take<poll_order>();
    ASSERT_EQ(polls.size(), 1U);
    EXPECT_GT(polls[0].wait, milliseconds{0});
}

// A repeated poll acknowledges no ends. They would have been listed for ever.
TEST_F(lost_order, acknowledges_ends_again_that_are_still_listed)
{
    auto const order = start("a");
    scheduler.on_answer(order, order_answer{order_outcome::done, clock()}, now);
    auto polls = take<poll_order>();
    ASSERT_EQ(polls.size(), 1U);
    auto const ended = lists(end_number{1}, order.run);
    scheduler.on_answer(polls[0], ended, now);
    auto const ends = take<propose_ends>();
    ASSERT_EQ(ends.size(), 1U);
    apply(end_runs{ends[0].runs, {}});
    scheduler.on_recorded(ends[0], now);
    now += config::min_poll_interval;
    scheduler.tick(now);
    polls = take<poll_order>();
    ASSERT_EQ(polls.size(), 1U);
    ASSERT_EQ(polls[0].recorded, end_number{1});
    scheduler.on_answer(polls[0], ended, now);
    now += config::min_poll_interval;
    scheduler.tick(now);
    polls = take<poll_order>();
    ASSERT_EQ(polls.size(), 1U);
    EXPECT_EQ(polls[0].recorded, end_number{1});
    scheduler.on_answer(polls[0], lists({}, {}), now);
    now += seconds{1};
    scheduler.tick(now);
    EXPECT_TRUE(take<poll_order>().empty());
}

} // namespace
} // namespace apricotlb
