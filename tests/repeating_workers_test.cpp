#include "app/repeating_workers.hpp"
#include "paused_clock.hpp"
#include "relay_fixture.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

/// Keeps each try with its time limit, and answers when the test says so.
struct recorded_tries
{
    template <class Order>
    struct attempt
    {
        Order order;
        std::function<void(answer_to<Order>)> done;
        duration timeout{};
    };

    template <class Order>
    auto send(Order const& it, std::function<void(order_answer)> done,
              duration timeout = config::order_timeout) -> void
    {
        workers.push_back(it.to.instance.id);
        if constexpr (std::is_same_v<Order, start_order>)
        {
            starts.push_back({it, std::move(done), timeout});
        }
        else
        {
            others.push_back(std::move(done));
        }
    }
    auto send(poll_order const& it, std::function<void(poll_answer)> done,
              duration timeout = config::order_timeout) -> void
    {
        workers.push_back(it.to.instance.id);
        polls.push_back({it, std::move(done), timeout});
    }

    std::vector<worker_id> workers; ///< of each try
    std::vector<attempt<start_order>> starts;
    std::vector<attempt<poll_order>> polls;
    /// Of stops and paces.
    std::vector<std::function<void(order_answer)>> others;
};

static_assert(timed_run_worker_port<recorded_tries>);

class repeating_workers_test : public testing::Test
{
protected:
    using sender =
        repeating_workers<paused_clock, recorded_tries, counting_metrics>;
    static_assert(run_worker_port<sender>);
    static constexpr auto interval = sender::repeat_interval;

    auto start(std::string const& worker = "w0", std::uint64_t fence = 7)
        -> void
    {
        it->send(start_at(target(worker, "z0", fence)),
                 [this](order_answer got) { answers.push_back(got); });
    }
    auto poll(milliseconds wait) -> void
    {
        auto order = poll_of(target("w0"), wait);
        order.recorded = end_number{5};
        it->send(order, [this](poll_answer const& got)
                 { polled.push_back(got.outcome); });
    }

    paused_clock clock;
    recorded_tries tries;
    counting_metrics metrics;
    std::optional<sender> it{std::in_place, clock, tries, metrics};
    std::vector<order_answer> answers;
    std::vector<order_outcome> polled;
};

// A lost start order cost its whole time limit before the next try.
TEST_F(repeating_workers_test, repeats_an_order_beside_an_open_try)
{
    start();
    clock.advance(interval - milliseconds{1});
    EXPECT_EQ(tries.starts.size(), 1U);
    clock.advance(milliseconds{1});
    ASSERT_EQ(tries.starts.size(), 2U);
    tries.starts[1].done({order_outcome::done, worker_clock{9}});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome, order_outcome::done);
    EXPECT_EQ(metrics.routes("repeat_answered"), 1);
    clock.advance(config::order_timeout);
    tries.starts[0].done({});
    EXPECT_EQ(answers.size(), 1U);
    EXPECT_EQ(tries.starts.size(), 2U);
}

// A worker or link that takes longer than the interval has to be heard.
TEST_F(repeating_workers_test, takes_a_late_answer_to_the_first_try)
{
    start();
    clock.advance(3 * interval);
    ASSERT_EQ(tries.starts.size(), 4U);
    tries.starts[0].done({order_outcome::done, {}});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome, order_outcome::done);
}

// A start that is rejected while another try may still be carried out must not
// be taken for one that never runs: the task would run twice.
TEST_F(repeating_workers_test, tells_of_tries_that_may_still_be_carried_out)
{
    start();
    clock.advance(interval);
    tries.starts[1].done({order_outcome::insufficient_capacity, {}});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].unanswered_tries, try_count{1});
    start();
    clock.advance(interval);
    tries.starts[2].done({});
    tries.starts[3].done({order_outcome::unhealthy, {}});
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[1].unanswered_tries, try_count{1});
    start();
    tries.starts[4].done({order_outcome::insufficient_capacity, {}});
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_FALSE(answers[2].unanswered_tries);
}

// An order must not reach the next life of its worker.
TEST_F(repeating_workers_test, ends_all_tries_with_the_time_limit_of_the_order)
{
    start();
    clock.advance(config::order_timeout * 2);
    duration sent{};
    for (auto const& each : tries.starts)
    {
        EXPECT_EQ(sent + each.timeout, config::order_timeout);
        sent += interval;
    }
    EXPECT_GT(tries.starts.size(), 2U);
    EXPECT_TRUE(answers.empty());
    for (auto const& each : tries.starts)
    {
        each.done({});
    }
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome, order_outcome::no_answer);
}

// A refused connection would otherwise be reported only after the time limit.
TEST_F(repeating_workers_test, reports_a_failure_at_once_when_no_try_is_open)
{
    start();
    tries.starts[0].done({});
    ASSERT_EQ(answers.size(), 1U);
    clock.advance(config::order_timeout);
    EXPECT_EQ(tries.starts.size(), 1U);
}

// Polls wait at the worker; the ends that a repeated one acknowledges may be
// those of the worker's next life.
TEST_F(repeating_workers_test,
       repeats_a_poll_after_its_wait_without_its_effects)
{
    constexpr milliseconds wait{1800};
    poll(wait);
    EXPECT_EQ(tries.polls[0].timeout, config::order_timeout + wait);
    clock.advance(wait);
    EXPECT_EQ(tries.polls.size(), 1U);
    clock.advance(interval);
    ASSERT_EQ(tries.polls.size(), 2U);
    EXPECT_EQ(tries.polls[0].order.recorded, end_number{5});
    EXPECT_EQ(tries.polls[1].order.recorded, end_number{});
    EXPECT_EQ(tries.polls[1].order.wait, milliseconds{0});
    EXPECT_EQ(tries.polls[1].order.lease_end, tries.polls[0].order.lease_end);
    poll_answer lists;
    lists.outcome = order_outcome::done;
    tries.polls[1].done(lists);
    EXPECT_EQ(polled, std::vector{order_outcome::done});
}

// A try of a pace that arrives after a later pace would undo it.
TEST_F(repeating_workers_test, sends_a_pace_once)
{
    it->send(pace_order{target("w0"), run_of("a"), permille{1000}},
             [this](order_answer got) { answers.push_back(got); });
    clock.advance(config::order_timeout);
    EXPECT_EQ(tries.workers.size(), 1U);
    tries.others[0]({order_outcome::done, {}});
    EXPECT_EQ(answers.size(), 1U);
}

// A run was started after its stop had been sent.
TEST_F(repeating_workers_test, does_not_repeat_a_start_after_its_stop)
{
    start();
    it->send(stop_order{target("w0"), run_of("a")}, [](order_answer) {});
    clock.advance(3 * interval);
    EXPECT_EQ(tries.starts.size(), 1U);
    EXPECT_EQ(tries.others.size(), 4U);
}

// The next life of a worker would take the lease in a poll for its own.
TEST_F(repeating_workers_test, does_not_repeat_orders_to_a_former_life)
{
    poll(milliseconds{0});
    start();
    auto next = target("w0");
    next.instance.incarnation = worker_incarnation{2};
    it->send(start_at(next), [](order_answer) {});
    clock.advance(interval);
    EXPECT_EQ(tries.polls.size(), 1U);
    EXPECT_EQ(tries.starts.size(), 3U);
}

// The clock of the worker was set back before its next life began: the lease of
// a poll to the life before was repeated to it.
TEST_F(repeating_workers_test, a_former_life_may_have_the_higher_number)
{
    auto former = target("w0");
    former.instance.incarnation = worker_incarnation{5};
    former.fence = make_fence(term{1}, life_number{1});
    it->send(start_at(former), [](order_answer) {});
    auto next = target("w0");
    next.instance.incarnation = worker_incarnation{2};
    next.fence = make_fence(term{1}, life_number{2});
    it->send(start_at(next), [](order_answer) {});
    clock.advance(interval);
    ASSERT_EQ(tries.starts.size(), 3U);
    EXPECT_EQ(tries.starts[2].order.to.instance.incarnation,
              worker_incarnation{2});
}

// An answer is often followed by the next order to the same worker.
TEST_F(repeating_workers_test, takes_orders_while_it_passes_an_answer_on)
{
    it->send(start_at(target("w0")), [this](order_answer) { start(); });
    clock.advance(interval);
    ASSERT_EQ(tries.starts.size(), 2U);
    tries.starts[1].done({order_outcome::done, {}});
    ASSERT_EQ(tries.starts.size(), 3U);
    tries.starts[0].done({order_outcome::done, {}});
    EXPECT_TRUE(answers.empty());
    tries.starts[2].done({order_outcome::done, {}});
    EXPECT_EQ(answers.size(), 1U);
}

// The orders of a former leader must not go out beside those of its successor.
TEST_F(repeating_workers_test, does_not_repeat_orders_of_a_former_leader)
{
    start("w0", 7);
    start("w1", 8);
    clock.advance(interval);
    EXPECT_EQ(tries.workers,
              (std::vector{worker_id{"w0"}, worker_id{"w1"}, worker_id{"w1"}}));
}

// A process that was suspended would send all its open orders again, although
// their answers wait in its sockets.
TEST_F(repeating_workers_test, takes_waiting_answers_first_after_a_late_turn)
{
    start();
    clock.block(milliseconds{600});
    clock.advance(milliseconds{0});
    EXPECT_EQ(tries.starts.size(), 1U);
    tries.starts[0].done({order_outcome::done, {}});
    clock.advance(seconds{1});
    EXPECT_EQ(tries.starts.size(), 1U);
    EXPECT_EQ(answers.size(), 1U);
}

// Silent workers must not use up the connections and the time of a process.
TEST_F(repeating_workers_test, bounds_the_open_repetitions)
{
    for (std::size_t n = 0; n < sender::max_repeats_per_worker + 3; ++n)
    {
        start("w0");
    }
    auto const sent = tries.starts.size();
    clock.advance(interval);
    EXPECT_EQ(tries.starts.size(), sent + sender::max_repeats_per_worker);
    EXPECT_EQ(metrics.routes("repeat_withheld"), 3);
    for (auto const& each : std::vector{tries.starts})
    {
        each.done({});
    }
    for (std::size_t n = 0; n < sender::max_repeats + 3; ++n)
    {
        start("v" + std::to_string(n));
    }
    auto const before = tries.starts.size();
    clock.advance(interval);
    EXPECT_EQ(tries.starts.size(), before + sender::max_repeats);
}

} // namespace
} // namespace apricotlb
