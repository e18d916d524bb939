#include "app/relayed_workers.hpp"
#include "paused_clock.hpp"
#include "relay_fixture.hpp"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

using leader_side = relayed_workers<paused_clock, recording_transport,
                                    recording_workers, counting_metrics>;

class relayed_workers_test : public testing::Test
{
protected:
    /// Keeps the relays in contact while time passes.
    auto advance(duration d, std::set<std::string> const& silent = {}) -> void
    {
        constexpr auto ping = milliseconds{400};
        for (auto rest = d; rest > duration{0}; rest -= ping)
        {
            ping_all(silent);
            clock.advance(std::min<duration>(rest, ping));
        }
    }
    auto ping_all(std::set<std::string> const& silent = {}) -> void
    {
        for (auto const& [name, zone] : relays)
        {
            if (!silent.contains(name))
            {
                it->on_ping(node_id{name}, leader_ping{zone_id{zone}, {}});
                it->on_clock(node_id{name},
                             {incarnation{1}, to_process_clock(clock.now())});
            }
        }
    }

    auto send_start(order_target const& to) -> void
    {
        it->send(start_at(to),
                 [this](order_answer got) { starts.push_back(got.outcome); });
    }
    auto send_poll(order_target const& to, milliseconds wait = milliseconds{0})
        -> void
    {
        it->send(poll_of(to, wait), [this](poll_answer const& got)
                 { polls.push_back(got.outcome); });
    }

    /// The relay and the number of the order that was sent last.
    [[nodiscard]] auto last_sent() const -> std::pair<node_id, relayed_order>
    {
        auto const& [to, body] = peers.sent.back();
        return {to, std::get<order_batch>(body).orders.back()};
    }
    auto answer(node_id const& from, sequence number, order_outcome outcome,
                std::uint64_t in_term = 7) -> void
    {
        it->take(from, {term{in_term}, {{number, order_answer{outcome, {}}}}});
    }

    paused_clock clock;
    recording_transport peers;
    recording_workers direct;
    counting_metrics metrics;
    std::map<std::string, std::string> relays{{"r0", "z0"}};
    std::optional<leader_side> it{std::in_place, clock, peers, direct, metrics};
    std::vector<order_outcome> starts;
    std::vector<order_outcome> polls;
};

auto name(std::string const& prefix, int n) -> std::string
{
    return prefix + std::to_string(n);
}

// A leader that called each of 350 workers itself had no time left for its
// heartbeats and lost its leadership.
TEST_F(relayed_workers_test,
       a_leader_sends_no_request_of_its_own_to_each_worker)
{
    relays.clear();
    for (auto n = 0; n < 45; ++n)
    {
        relays[name("r", n)] = name("z", n % 4);
    }
    ping_all();
    for (auto n = 0; n < 350; ++n)
    {
        auto const to = target(name("w", n), name("z", n % 4));
        send_poll(to);
        send_start(to);
    }
    clock.advance(duration{0});
    EXPECT_EQ(direct.to.size(), 0U);
    std::map<node_id, std::size_t> messages;
    std::size_t orders{0};
    for (auto const& [to, batch] : peers.all<order_batch>())
    {
        ++messages[to];
        orders += batch.orders.size();
        EXPECT_LE(batch.orders.size(), config::max_orders_per_batch);
        for (auto const& order : batch.orders)
        {
            std::visit(
                [&](auto const& value)
                { EXPECT_EQ(value.to.zone.value(), relays[to.value()]); },
                order.value);
        }
    }
    EXPECT_EQ(orders, 700U);
    // 88 workers of a zone at 16 a relay.
    EXPECT_LE(messages.size(), 4U * 6U);
    for (auto const& [to, n] : messages)
    {
        EXPECT_EQ(n, 1U) << to.value();
    }
}

// A relay can refuse what waited in its socket only if each order says until
// when it is valid, on the clock of the relay and in its life.
TEST_F(relayed_workers_test, gives_each_order_an_end_on_the_relays_clock)
{
    ping_all();
    clock_reading const reading{incarnation{4}, process_clock{50'000}};
    it->on_clock(node_id{"r0"}, reading);
    auto to = target("w0");
    to.given = clock.now();
    send_start(to);
    it->on_clock(node_id{"r0"}, {incarnation{5}, process_clock{10}});
    send_start(to);
    clock.advance(duration{0});
    auto const sent = peers.all<order_batch>();
    ASSERT_EQ(sent.size(), 2U);
    auto const validity = to_process_clock(time_point{config::order_validity});
    EXPECT_EQ(sent[0].second.life, incarnation{4});
    EXPECT_EQ(sent[0].second.orders.at(0).valid_until,
              reading.clock + validity);
    EXPECT_EQ(sent[1].second.life, incarnation{5});
    EXPECT_EQ(sent[1].second.orders.at(0).valid_until,
              process_clock{10} + validity);
}

// A call to the former leader is repeated to the next one without the reading
// that left with it. A relay that froze then would pass on orders of any age.
TEST_F(relayed_workers_test, passes_no_order_to_a_relay_of_unknown_clock)
{
    it->on_ping(node_id{"r0"}, leader_ping{zone_id{"z0"}, {}});
    send_start(target("w0"));
    send_poll(target("w0"));
    clock.advance(duration{0});
    EXPECT_EQ(peers.sent.size(), 0U);
    EXPECT_EQ(direct.to.size(), 2U);
    ping_all();
    send_start(target("w0"));
    clock.advance(duration{0});
    EXPECT_EQ(peers.sent.size(), 1U);
    EXPECT_EQ(direct.to.size(), 2U);
}

// A reading that was held up on its way shows a clock that is too slow. The
// validity that follows from it would end too early, never too late.
TEST(relay_clock, is_never_ahead_of_the_relay)
{
    relay_clock it;
    EXPECT_FALSE(it.deadline({}, config::order_validity));
    auto const at = [](std::int64_t ms)
    { return time_point{milliseconds{ms}}; };
    it.sample({incarnation{1}, process_clock{7000}}, at(1000));
    it.sample({incarnation{1}, process_clock{7100}}, at(1900));
    EXPECT_EQ(it.deadline(at(1000), seconds{1})->clock, process_clock{8000});
    it.sample({incarnation{1}, process_clock{8001}}, at(2000));
    EXPECT_EQ(it.deadline(at(2000), seconds{1})->clock, process_clock{9001});
    it.sample({incarnation{2}, process_clock{5}}, at(2000));
    EXPECT_EQ(it.deadline(at(2000), seconds{1})->clock, process_clock{1005});
}

// Without a relay in contact nothing would reach the workers.
TEST_F(relayed_workers_test, sends_to_workers_itself_without_a_relay)
{
    for (auto n = 0; n < 350; ++n)
    {
        send_poll(target(name("w", n)));
        send_start(target(name("w", n)));
    }
    clock.advance(duration{0});
    EXPECT_EQ(direct.to.size(), 700U);
    EXPECT_TRUE(peers.sent.empty());
    EXPECT_EQ(metrics.routes("direct"), 700);
}

// Many messages in one turn are what the batches are to prevent.
TEST_F(relayed_workers_test, sends_one_message_to_a_relay_in_a_turn)
{
    ping_all();
    send_start(target("w0"));
    send_poll(target("w0"));
    EXPECT_TRUE(peers.sent.empty());
    clock.advance(duration{0});
    ASSERT_EQ(peers.sent.size(), 1U);
    send_start(target("w0"));
    clock.advance(duration{0});
    EXPECT_EQ(peers.sent.size(), 2U);
    clock.advance(seconds{1});
    EXPECT_EQ(peers.sent.size(), 2U);
}

// A batch without a bound could exceed the largest message.
TEST_F(relayed_workers_test, sends_a_full_batch_at_once)
{
    ping_all();
    for (std::size_t n = 0; n < config::max_orders_per_batch; ++n)
    {
        EXPECT_TRUE(peers.sent.empty());
        send_start(target("w0"));
    }
    ASSERT_EQ(peers.sent.size(), 1U);
    send_start(target("w0"));
    clock.advance(duration{0});
    ASSERT_EQ(peers.sent.size(), 2U);
    auto const last = std::get<order_batch>(peers.sent[1].body);
    EXPECT_EQ(last.orders.size(), 1U);
    EXPECT_EQ(last.leader_term, term{7});
}

// A stop that overtook its start would be sent in vain.
TEST_F(relayed_workers_test, keeps_the_order_of_orders_to_one_worker)
{
    ping_all();
    send_start(target("w0"));
    send_start(target("w1"));
    it->send(stop_order{target("w0"), run_of("a")}, [](order_answer) {});
    clock.advance(duration{0});
    auto const sent = peers.all<order_batch>();
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_EQ(sent[0].second.orders.size(), 3U);
    EXPECT_TRUE(
        std::holds_alternative<start_order>(sent[0].second.orders[0].value));
    EXPECT_TRUE(
        std::holds_alternative<stop_order>(sent[0].second.orders[2].value));
    EXPECT_LT(sent[0].second.orders[0].number, sent[0].second.orders[2].number);
}

// A second answer would be taken for the answer to a later send.
TEST_F(relayed_workers_test, passes_on_one_answer_of_an_order)
{
    ping_all();
    send_start(target("w0"));
    clock.advance(duration{0});
    auto const [relay, order] = last_sent();
    answer(relay, order.number, order_outcome::done);
    answer(relay, order.number, order_outcome::late);
    advance(seconds{5});
    EXPECT_EQ(starts, (std::vector{order_outcome::done}));
    EXPECT_EQ(metrics.routes("relay_silent"), 0);
}

// Numbers of two leaderships or two relays may be equal.
TEST_F(relayed_workers_test, ignores_answers_that_belong_to_other_orders)
{
    ping_all();
    send_start(target("w0"));
    clock.advance(duration{0});
    auto const [relay, order] = last_sent();
    answer(node_id{"r9"}, order.number, order_outcome::done);
    answer(relay, order.number, order_outcome::done, 6);
    answer(relay, order.number + sequence{1}, order_outcome::done);
    EXPECT_TRUE(starts.empty());
    answer(relay, order.number, order_outcome::done);
    EXPECT_EQ(starts, (std::vector{order_outcome::done}));
}

// An answer of the wrong type must not leave the order without one.
TEST_F(relayed_workers_test, takes_an_answer_of_the_wrong_type_for_none)
{
    ping_all();
    send_start(target("w0"));
    clock.advance(duration{0});
    auto const [relay, order] = last_sent();
    poll_answer wrong;
    wrong.outcome = order_outcome::done;
    it->take(relay, {term{7}, {{order.number, wrong}}});
    EXPECT_EQ(starts, (std::vector{order_outcome::no_answer}));
    send_poll(target("w0"));
    clock.advance(duration{0});
    answer(relay, last_sent().second.number, order_outcome::done);
    EXPECT_EQ(polls, (std::vector{order_outcome::no_answer}));
    advance(seconds{5});
    EXPECT_EQ(starts.size(), 1U);
    EXPECT_EQ(polls.size(), 1U);
}

// Without an answer of its own the scheduler would wait for a relay that has
// stopped for ever.
TEST_F(relayed_workers_test, answers_an_order_that_its_relay_left_unanswered)
{
    ping_all();
    send_start(target("w0"));
    clock.advance(duration{0});
    auto const [relay, order] = last_sent();
    advance(config::order_timeout);
    EXPECT_TRUE(starts.empty());
    advance(config::relay_answer_margin + config::relay_check_interval);
    EXPECT_EQ(starts, (std::vector{order_outcome::no_answer}));
    EXPECT_EQ(metrics.routes("relay_silent"), 1);
    answer(relay, order.number, order_outcome::done);
    EXPECT_EQ(starts.size(), 1U);
}

// Orders to a process that has ended would wait as long as their worker may,
// and its lease with them.
TEST_F(relayed_workers_test, answers_orders_of_a_relay_that_lost_contact_early)
{
    relays["r1"] = "z0";
    ping_all();
    constexpr auto wait = milliseconds{1800};
    send_poll(target("w0"), wait);
    send_start(target("w0"));
    clock.advance(duration{0});
    auto const first = last_sent().first;
    advance(config::relay_timeout, {first.value()});
    advance(config::relay_check_interval, {first.value()});
    EXPECT_EQ(starts, (std::vector{order_outcome::no_answer}));
    EXPECT_EQ(polls, (std::vector{order_outcome::no_answer}));
    send_start(target("w0"));
    EXPECT_TRUE(direct.to.empty());
    clock.advance(duration{0});
    EXPECT_NE(last_sent().first, first);
}

// A leader that stood still finds all deadlines over, while the answers and the
// pings wait in its sockets. Taking every relay for silent would make it send
// everything itself, with less time than ever.
TEST_F(relayed_workers_test,
       blames_no_relay_for_a_turn_of_its_own_that_was_long)
{
    ping_all();
    send_start(target("w0"));
    clock.advance(duration{0});
    auto const [relay, order] = last_sent();
    clock.block(seconds{2});
    clock.advance(duration{0});
    EXPECT_TRUE(starts.empty());
    ping_all();
    answer(relay, order.number, order_outcome::done);
    EXPECT_EQ(starts, (std::vector{order_outcome::done}));
    EXPECT_EQ(metrics.routes("relay_silent"), 0);
    send_start(target("w0"));
    EXPECT_TRUE(direct.to.empty());
    // Turns that stay long must not keep an order without an answer.
    clock.block(seconds{2});
    clock.advance(duration{0});
    clock.block(seconds{2});
    clock.advance(duration{0});
    EXPECT_EQ(starts.size(), 2U);
}

// A poll that waits for an end would make its relay look silent.
TEST_F(relayed_workers_test, adds_the_wait_of_a_poll_to_its_deadline)
{
    ping_all();
    constexpr auto wait = milliseconds{1800};
    send_poll(target("w0"), wait);
    advance(config::order_timeout + config::relay_answer_margin +
            config::relay_check_interval);
    EXPECT_TRUE(polls.empty());
    advance(wait);
    EXPECT_EQ(polls, (std::vector{order_outcome::no_answer}));
}

// A relay that answers pings and no orders would keep its workers for ever.
TEST_F(relayed_workers_test, uses_another_relay_after_one_that_was_silent)
{
    relays["r1"] = "z0";
    ping_all();
    send_start(target("w0"));
    clock.advance(duration{0});
    auto const first = last_sent().first;
    advance(seconds{2});
    send_start(target("w0"));
    clock.advance(duration{0});
    EXPECT_NE(last_sent().first, first);
    EXPECT_TRUE(direct.to.empty());
}

// A relay that is cut off from a worker answers the leader, so that the worker
// would stay out of reach until its lease is over.
TEST_F(relayed_workers_test, uses_another_relay_for_a_worker_without_an_answer)
{
    relays["r1"] = "z0";
    ping_all();
    send_start(target("w0"));
    send_start(target("w1"));
    clock.advance(duration{0});
    auto const [first, second_order] = last_sent();
    auto const first_order =
        std::get<order_batch>(peers.sent.back().body).orders.front();
    answer(first, first_order.number, order_outcome::no_answer);
    answer(first, second_order.number, order_outcome::insufficient_capacity);
    send_start(target("w0"));
    clock.advance(duration{0});
    EXPECT_NE(last_sent().first, first);
    send_start(target("w1"));
    clock.advance(duration{0});
    EXPECT_EQ(last_sent().first, first);
    EXPECT_EQ(metrics.routes("relay_silent"), 0);
}

// The scheduler gives the next order from within the answer to the last one,
// also while several orders expire or several answers are taken.
TEST_F(relayed_workers_test, takes_orders_that_are_given_during_an_answer)
{
    relays["r1"] = "z0";
    ping_all();
    std::size_t answered{0};
    std::function<void(order_answer)> again = [&](order_answer)
    {
        ++answered;
        if (answered <= 200)
        {
            it->send(start_at(target("w" + std::to_string(answered))),
                     [&](order_answer) { ++answered; });
        }
    };
    for (auto n = 0; n < 100; ++n)
    {
        it->send(start_at(target(name("w", n))), again);
    }
    clock.advance(duration{0});
    auto const sent = peers.all<order_batch>();
    ASSERT_FALSE(sent.empty());
    answer_batch answers{term{7}, {}};
    for (auto const& order : sent[0].second.orders)
    {
        answers.answers.push_back(
            {order.number, order_answer{order_outcome::done, {}}});
    }
    auto const answered_now = answers.answers.size();
    it->take(sent[0].first, answers);
    EXPECT_EQ(answered, answered_now);
    advance(seconds{5});
    // Once both relays are suspended, the leader sends to workers itself.
    EXPECT_EQ(answered + direct.answers.size(), 200U);
}

// A timer that outlives its object would use freed memory.
TEST_F(relayed_workers_test, leaves_no_timer_behind)
{
    ping_all();
    send_start(target("w0"));
    it.reset();
    clock.advance(seconds{10});
    EXPECT_TRUE(peers.sent.empty());
    EXPECT_TRUE(starts.empty());
}

// An entry process that were told to send its workers elsewhere would move them
// with each change of the entries in its zone.
TEST_F(relayed_workers_test, moves_only_workers_that_call_a_control_process)
{
    intake_address const intake{"10.0.0.1:7735"};
    worker_id const worker{"w"};
    zone_id const zone{"z0"};
    EXPECT_FALSE(it->intake_for(node_id{"core"}, worker, zone));
    it->on_ping(node_id{"r0"}, leader_ping{zone, intake});
    EXPECT_EQ(it->intake_for(node_id{"core"}, worker, zone), intake);
    EXPECT_FALSE(it->intake_for(node_id{"r0"}, worker, zone));
    EXPECT_FALSE(it->intake_for(node_id{"core"}, worker, zone_id{"z1"}));
    it->on_ping(node_id{"r0"}, leader_ping{});
    EXPECT_FALSE(it->intake_for(node_id{"core"}, worker, zone));
}

} // namespace
} // namespace apricotlb
