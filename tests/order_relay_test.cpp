#include "adapters/msgpack_codec.hpp"
#include "app/order_relay.hpp"
#include "paused_clock.hpp"
#include "relay_fixture.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

using entry_side = order_relay<paused_clock, recording_transport,
                               recording_workers, counting_metrics>;

class order_relay_test : public testing::Test
{
protected:
    auto take(std::vector<relayed_order> orders, std::uint64_t in_term = 7)
        -> void
    {
        it->take(leader, {term{in_term}, std::move(orders)});
    }
    auto flush() -> void { clock.advance(config::answer_interval); }

    node_id leader{"leader"};
    paused_clock clock;
    recording_transport peers;
    recording_workers workers;
    counting_metrics metrics;
    std::optional<entry_side> it{std::in_place, clock,   peers,
                                 workers,       metrics, incarnation{3}};
};

auto numbered(std::uint64_t n, std::string const& worker = "w0")
    -> relayed_order
{
    return {sequence{n}, start_at(target(worker))};
}

// An order that a relay changed or left out would be lost to the leader.
TEST_F(order_relay_test, sends_each_order_once_and_returns_its_answer)
{
    take({numbered(1),
          {sequence{2}, stop_order{target("w1"), run_of("a")}},
          {sequence{3}, pace_order{target("w2"), run_of("a"), permille{250}}},
          {sequence{4}, poll_of(target("w3"))}});
    EXPECT_EQ(workers.to, (std::vector{worker_id{"w0"}, worker_id{"w1"},
                                       worker_id{"w2"}, worker_id{"w3"}}));
    workers.answers[2]({order_outcome::late, worker_clock{9}});
    workers.answers[0]({order_outcome::done, worker_clock{8}});
    poll_answer lists;
    lists.outcome = order_outcome::done;
    lists.lists.clock = worker_clock{7};
    workers.polls[0](lists);
    EXPECT_TRUE(peers.sent.empty());
    flush();
    workers.answers[1]({order_outcome::no_answer, {}});
    flush();
    auto const sent = peers.all<answer_batch>();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].first, leader);
    EXPECT_EQ(sent[0].second.leader_term, term{7});
    auto const& answers = sent[0].second.answers;
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_EQ(answers[0].number, sequence{3});
    EXPECT_EQ(std::get<order_answer>(answers[0].value).outcome,
              order_outcome::late);
    EXPECT_EQ(answers[1].number, sequence{1});
    EXPECT_EQ(std::get<order_answer>(answers[1].value).clock, worker_clock{8});
    EXPECT_EQ(answers[2].number, sequence{4});
    EXPECT_EQ(std::get<poll_answer>(answers[2].value).lists.clock,
              worker_clock{7});
    ASSERT_EQ(sent[1].second.answers.size(), 1U);
    EXPECT_EQ(sent[1].second.answers[0].number, sequence{2});
    clock.advance(seconds{10});
    EXPECT_EQ(peers.sent.size(), 2U);
}

// Fifty messages a second of each relay were more than a loaded leader takes,
// and its answers waited for seconds. An answer after a pause must not wait.
TEST_F(order_relay_test, limits_the_messages_of_steady_answers)
{
    for (std::uint64_t n = 0; n < 1000; ++n)
    {
        take({numbered(n)});
        workers.answers.back()({order_outcome::done, {}});
        clock.advance(milliseconds{1});
    }
    flush();
    auto const interval = config::answer_interval / milliseconds{1};
    EXPECT_LE(peers.sent.size(), 1000U / static_cast<unsigned>(interval) + 2);
    std::size_t answered{0};
    for (auto const& [to, batch] : peers.all<answer_batch>())
    {
        answered += batch.answers.size();
    }
    EXPECT_EQ(answered, 1000U);
    clock.advance(seconds{1});
    auto const before = peers.sent.size();
    take({numbered(2000)});
    workers.answers.back()({order_outcome::done, {}});
    clock.advance(config::answer_batch_delay);
    EXPECT_EQ(peers.sent.size(), before + 1);
}

// Answers for one leadership must not be taken for those of another.
TEST_F(order_relay_test, returns_answers_to_the_leader_and_term_of_the_order)
{
    take({numbered(1)}, 7);
    take({numbered(1)}, 9);
    it->take(node_id{"other"}, {term{8}, {numbered(1)}});
    for (auto const& done : workers.answers)
    {
        done({order_outcome::done, {}});
    }
    flush();
    auto const sent = peers.all<answer_batch>();
    ASSERT_EQ(sent.size(), 3U);
    for (auto const& [to, batch] : sent)
    {
        EXPECT_EQ(batch.answers.size(), 1U);
        EXPECT_EQ(to == leader, batch.leader_term != term{8});
    }
}

// A relay that takes more than it can send would answer everything too late.
TEST_F(order_relay_test, answers_not_sent_without_sending_while_busy)
{
    for (std::size_t n = 0; n < config::max_relayed_orders; ++n)
    {
        take({numbered(n)});
    }
    ASSERT_EQ(workers.to.size(), config::max_relayed_orders);
    take({numbered(5000), {sequence{5001}, poll_of(target("w0"))}});
    EXPECT_EQ(workers.to.size(), config::max_relayed_orders);
    flush();
    auto const sent = peers.all<answer_batch>();
    ASSERT_EQ(sent.size(), 1U);
    auto const& answers = sent[0].second.answers;
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(std::get<order_answer>(answers[0].value).outcome,
              order_outcome::not_sent);
    EXPECT_EQ(std::get<poll_answer>(answers[1].value).outcome,
              order_outcome::not_sent);
    workers.answers[0]({order_outcome::done, {}});
    take({numbered(5002)});
    EXPECT_EQ(workers.to.size(), config::max_relayed_orders + 1);
}

// Workers that had no leader for a while list many ends. The receiver drops a
// message beyond the limit, and with it the answers of all workers.
TEST_F(order_relay_test, keeps_messages_below_the_limit_with_long_lists)
{
    constexpr std::uint64_t polls = 200;
    for (std::uint64_t n = 0; n < polls; ++n)
    {
        take({{sequence{n}, poll_of(target("w" + std::to_string(n)))}});
    }
    poll_answer lists;
    lists.outcome = order_outcome::done;
    ended_row row;
    row.run.run = run_of(std::string(config::max_name_length, 'a'));
    row.run.checkpoint =
        checkpoint_id{std::string(config::max_name_length, 'c')};
    lists.lists.ended.assign(config::max_listed_ends, row);
    for (auto const& done : workers.polls)
    {
        done(lists);
    }
    flush();
    std::size_t answers{0};
    for (auto const& sent : peers.sent)
    {
        answers += std::get<answer_batch>(sent.body).answers.size();
        // Half of the limit leaves room for the envelope.
        EXPECT_LT(msgpack_codec::encode(sent.body).size(),
                  config::max_message_bytes / 2);
    }
    EXPECT_EQ(answers, polls);
}

// An order that waited in the socket of a frozen relay started a run on the
// next life of its worker, beside the run that had replaced it.
TEST_F(order_relay_test, refuses_orders_past_their_validity)
{
    clock.advance(seconds{20});
    relay_clock estimate;
    estimate.sample(it->reading(), clock.now());
    auto const deadline =
        estimate.deadline(clock.now(), config::order_validity);
    ASSERT_TRUE(deadline);
    auto const batch = [&]
    {
        return order_batch{
            term{7},
            {{sequence{1}, start_at(target("w0")), deadline->clock},
             {sequence{2}, poll_of(target("w0")), deadline->clock}},
            deadline->life};
    };
    clock.block(config::order_validity);
    it->take(leader, batch());
    EXPECT_EQ(workers.to.size(), 2U);
    clock.block(milliseconds{5});
    it->take(leader, batch());
    EXPECT_EQ(workers.to.size(), 2U);
    EXPECT_EQ(metrics.routes("expired"), 2);
    flush();
    auto const sent = peers.all<answer_batch>();
    ASSERT_EQ(sent.size(), 1U);
    auto const& answers = sent[0].second.answers;
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(std::get<order_answer>(answers[0].value).outcome,
              order_outcome::not_sent);
    EXPECT_EQ(std::get<poll_answer>(answers[1].value).outcome,
              order_outcome::not_sent);
}

// Messages for a process that was killed reach its next life, whose clock says
// nothing about their age.
TEST_F(order_relay_test, refuses_orders_for_an_earlier_life_of_the_relay)
{
    constexpr auto later = process_clock{1'000'000};
    it->take(leader, {term{7},
                      {{sequence{1}, start_at(target("w0")), later}},
                      incarnation{2}});
    EXPECT_TRUE(workers.to.empty());
    EXPECT_EQ(metrics.routes("expired"), 1);
}

// A timer that outlives its object would use freed memory.
TEST_F(order_relay_test, leaves_no_timer_behind)
{
    take({numbered(1)});
    workers.answers[0]({order_outcome::done, {}});
    it.reset();
    clock.advance(seconds{1});
    EXPECT_TRUE(peers.sent.empty());
}

} // namespace
} // namespace apricotlb
