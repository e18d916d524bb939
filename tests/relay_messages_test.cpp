#include "adapters/msgpack_codec.hpp"
#include "app/peer_message.hpp"
#include "core/messages.hpp"
#include "relay_fixture.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <variant>

namespace apricotlb
{
namespace
{

auto sample_orders() -> order_batch
{
    auto start = start_at(target("w0"));
    start.run.task.step = step_index{3};
    start.checkpoint = checkpoint_id{"c9"};
    auto poll = poll_of(target("w3"), milliseconds{1800});
    poll.recorded = end_number{17};
    auto last_poll = poll_of(target("w4"));
    last_poll.lease_end.reset();
    return {
        term{7},
        {{sequence{1}, start},
         {sequence{2}, stop_order{target("w1"), run_of("a")}},
         {sequence{3}, pace_order{target("w2"), run_of("b"), permille{250}}},
         {sequence{4}, poll},
         {sequence{5}, last_poll}}};
}

auto sample_answers() -> answer_batch
{
    poll_answer lists;
    lists.outcome = order_outcome::done;
    lists.lists.incarnation = worker_incarnation{-2};
    lists.lists.clock = worker_clock{123'456};
    lists.lists.running.push_back({run_of("a"), checkpoint_id{"c1"}, 40, 77});
    lists.lists.ended.push_back(
        {end_number{9}, {run_of("b"), run_end::lapsed, checkpoint_id{"c2"}}});
    return {term{7},
            {{sequence{1}, order_answer{order_outcome::done, worker_clock{5}}},
             {sequence{2}, order_answer{order_outcome::not_sent, {}}},
             {sequence{3}, lists},
             {sequence{4}, poll_answer{}}}};
}

/// True if decoding and encoding again gives the same bytes.
template <class Message>
auto survives(Message const& it) -> bool
{
    auto const bytes = msgpack_codec::encode(it);
    auto const got = msgpack_codec::decode<Message>(bytes);
    return got.has_value() && msgpack_codec::encode(got.value()) == bytes;
}

// An order that changes on its way through a relay is another order.
TEST(relay_messages, returns_the_orders_that_were_encoded)
{
    auto const sent = sample_orders();
    EXPECT_TRUE(survives(sent));
    auto const got =
        msgpack_codec::decode<order_batch>(msgpack_codec::encode(sent));
    ASSERT_TRUE(got.has_value());
    auto const& orders = got.value().orders;
    EXPECT_EQ(got.value().leader_term, term{7});
    ASSERT_EQ(orders.size(), 5U);
    EXPECT_EQ(orders[1].number, sequence{2});
    auto const& start = std::get<start_order>(orders[0].value);
    EXPECT_EQ(start.to.instance.id, worker_id{"w0"});
    EXPECT_EQ(start.to.instance.incarnation, worker_incarnation{1});
    EXPECT_EQ(start.to.address, url{"w0:1"});
    EXPECT_EQ(start.to.zone, zone_id{"z0"});
    EXPECT_EQ(start.to.fence, make_fence(term{7}, {}));
    EXPECT_EQ(start.run.task.step, step_index{3});
    EXPECT_EQ(start.payload, "payload");
    EXPECT_EQ(start.checkpoint, checkpoint_id{"c9"});
    EXPECT_EQ(start.lease_end, worker_clock{5000});
    EXPECT_EQ(std::get<stop_order>(orders[1].value).run, run_of("a"));
    EXPECT_EQ(std::get<pace_order>(orders[2].value).pace, permille{250});
    auto const& poll = std::get<poll_order>(orders[3].value);
    EXPECT_EQ(poll.recorded, end_number{17});
    EXPECT_EQ(poll.lease_end, worker_clock{5000});
    EXPECT_EQ(poll.wait, milliseconds{1800});
    EXPECT_FALSE(std::get<poll_order>(orders[4].value).lease_end.has_value());
}

// A relay of an earlier version refuses a message with fields that it does not
// know, and would get no orders while the processes are upgraded one by one.
TEST(relay_messages, have_their_earlier_form_without_a_clock)
{
    auto orders = sample_orders();
    auto const plain = msgpack_codec::encode(orders);
    // Arrays of two elements: the batch, and behind its term the first order.
    EXPECT_EQ(plain.at(0), '\x92');
    EXPECT_EQ(plain.at(3), '\x92');
    orders.life = incarnation{3};
    orders.orders[1].valid_until = process_clock{77};
    EXPECT_TRUE(survives(orders));
    auto const got =
        msgpack_codec::decode<order_batch>(msgpack_codec::encode(orders));
    ASSERT_TRUE(got.has_value());
    EXPECT_EQ(got.value().life, incarnation{3});
    EXPECT_FALSE(got.value().orders[0].valid_until.has_value());
    EXPECT_EQ(got.value().orders[1].valid_until, process_clock{77});
}

// A changed answer would end a run that goes on, or the reverse.
TEST(relay_messages, returns_the_answers_that_were_encoded)
{
    auto const sent = sample_answers();
    EXPECT_TRUE(survives(sent));
    auto const got =
        msgpack_codec::decode<answer_batch>(msgpack_codec::encode(sent));
    ASSERT_TRUE(got.has_value());
    auto const& answers = got.value().answers;
    ASSERT_EQ(answers.size(), 4U);
    auto const& first = std::get<order_answer>(answers[0].value);
    EXPECT_EQ(first.outcome, order_outcome::done);
    EXPECT_EQ(first.clock, worker_clock{5});
    auto const& second = std::get<order_answer>(answers[1].value);
    EXPECT_EQ(second.outcome, order_outcome::not_sent);
    EXPECT_FALSE(second.clock.has_value());
    auto const& lists = std::get<poll_answer>(answers[2].value).lists;
    EXPECT_EQ(lists.incarnation, worker_incarnation{-2});
    EXPECT_EQ(lists.clock, worker_clock{123'456});
    ASSERT_EQ(lists.running.size(), 1U);
    EXPECT_EQ(lists.running[0].run, run_of("a"));
    EXPECT_EQ(lists.running[0].checkpoint, checkpoint_id{"c1"});
    EXPECT_EQ(lists.running[0].percent, 40);
    EXPECT_EQ(lists.running[0].load, 77);
    ASSERT_EQ(lists.ended.size(), 1U);
    EXPECT_EQ(lists.ended[0].number, end_number{9});
    EXPECT_EQ(lists.ended[0].run.outcome, run_end::lapsed);
}

// Every message between processes has to keep its place in the variant.
TEST(relay_messages, keep_their_place_among_the_messages_of_peers)
{
    EXPECT_TRUE(survives(peer_message{sample_orders()}));
    EXPECT_TRUE(survives(peer_message{sample_answers()}));
    EXPECT_TRUE(survives(peer_message{leader_notice{term{4}}}));
    EXPECT_EQ(peer_message{sample_orders()}.index(), 5U);
    EXPECT_EQ(peer_message{sample_answers()}.index(), 6U);
    EXPECT_EQ(peer_message{leader_notice{}}.index(), 7U);
    EXPECT_TRUE(survives(leader_ping{}));
    EXPECT_TRUE(survives(leader_ping{zone_id{"z0"}, {}}));
    EXPECT_TRUE(
        survives(leader_ping{zone_id{"z0"}, intake_address{"10.0.0.1:7735"}}));
}

// A cut message must be refused and must not end the process.
TEST(relay_messages, refuses_every_cut_message)
{
    auto const orders = msgpack_codec::encode(peer_message{sample_orders()});
    for (std::size_t n = 0; n < orders.size(); ++n)
    {
        EXPECT_TRUE(msgpack_codec::decode<peer_message>(orders.substr(0, n))
                        .has_error());
    }
    auto const answers = msgpack_codec::encode(peer_message{sample_answers()});
    for (std::size_t n = 0; n < answers.size(); ++n)
    {
        EXPECT_TRUE(msgpack_codec::decode<peer_message>(answers.substr(0, n))
                        .has_error());
    }
}

// Altered bytes must give an error or a message, and must not end the process.
TEST(relay_messages, decodes_altered_bytes_without_a_fault)
{
    for (auto const& sent : {msgpack_codec::encode(sample_orders()),
                             msgpack_codec::encode(sample_answers())})
    {
        for (std::size_t n = 0; n < sent.size(); ++n)
        {
            for (auto const bit : {0, 3, 7})
            {
                auto bytes = sent;
                bytes[n] = static_cast<char>(bytes[n] ^ (1 << bit));
                (void)msgpack_codec::decode<order_batch>(bytes);
                (void)msgpack_codec::decode<answer_batch>(bytes);
            }
        }
    }
}

// An alternative or an outcome that this version does not know must not be
// read as a valid one.
TEST(relay_messages, refuses_unknown_alternatives_and_outcomes)
{
    using order = decltype(relayed_order::value);
    using answer = decltype(relayed_answer::value);
    auto bytes = msgpack_codec::encode(order{sample_orders().orders[1].value});
    ASSERT_TRUE(msgpack_codec::decode<order>(bytes).has_value());
    bytes[1] = 4; // the index follows the header of the array
    EXPECT_TRUE(msgpack_codec::decode<order>(bytes).has_error());
    auto reply = msgpack_codec::encode(answer{order_answer{}});
    ASSERT_TRUE(msgpack_codec::decode<answer>(reply).has_value());
    reply[1] = 2;
    EXPECT_TRUE(msgpack_codec::decode<answer>(reply).has_error());
    auto const last = static_cast<std::uint8_t>(last_enumerator<order_outcome>);
    EXPECT_TRUE(
        msgpack_codec::decode<order_outcome>(msgpack_codec::encode(last))
            .has_value());
    EXPECT_TRUE(msgpack_codec::decode<order_outcome>(
                    msgpack_codec::encode(static_cast<std::uint8_t>(last + 1)))
                    .has_error());
}

// A message beyond the limit is dropped by the receiver, and with it all of
// its orders.
TEST(relay_messages, keeps_a_full_batch_of_orders_below_the_message_limit)
{
    order_batch batch{term{7}, {}};
    auto start = start_at(target(std::string(config::max_name_length, 'w')));
    start.payload.assign(config::max_payload_bytes, 'p');
    start.run = run_of(std::string(config::max_name_length, 'a'));
    for (std::uint64_t n = 0; n < config::max_orders_per_batch; ++n)
    {
        batch.orders.push_back({sequence{n}, start});
    }
    // Half of the limit leaves room for the envelope.
    EXPECT_LT(msgpack_codec::encode(peer_message{batch}).size(),
              config::max_message_bytes / 2);
}

} // namespace
} // namespace apricotlb
