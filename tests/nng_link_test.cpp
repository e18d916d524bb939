#include "adapters/nng_link.hpp"
#include "loopback.hpp"
#include "resetting_peer.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{
namespace
{

using namespace std::string_literals;

auto const pull_header = "\0SP\0\0\x51\0\0"s;
auto const push_header = "\0SP\0\0\x50\0\0"s;

auto count_descriptors() -> std::ptrdiff_t
{
    using iterator = std::filesystem::directory_iterator;
    return std::distance(iterator{"/proc/self/fd"}, iterator{});
}

/// Waits for a connection of the link and answers its handshake.
auto accept_push(raw_listener& from) -> raw_socket
{
    raw_socket out;
    EXPECT_TRUE(run_until(
        [&]
        {
            out = from.accept();
            return out.is_open();
        }));
    out.send(pull_header);
    EXPECT_TRUE(run_until([&] { return out.text().size() >= 8; }));
    EXPECT_EQ(out.text().substr(0, 8), push_header);
    return out;
}

// A reset of a peer's connection must not end the sender, nor leak descriptors.
TEST(nng_link, survives_peers_that_reset_their_connections)
{
    resetting_peer const peer{8};
    nng_link link;
    std::vector<node_id> ids;
    for (auto n = 0; n < 64; ++n)
    {
        ids.emplace_back("p" + std::to_string(n));
        link.open(ids.back(), url{peer.at()});
    }
    auto const before = count_descriptors();
    std::string const bytes(300, 'x');
    auto const end = g_get_monotonic_time() + 3'000'000;
    while (g_get_monotonic_time() < end)
    {
        for (auto const& id : ids)
        {
            (void)link.send(id, bytes);
        }
        g_main_context_iteration(nullptr, FALSE);
    }
    EXPECT_LE(count_descriptors(), before + 64);
}

// A peer that does not read must neither block the sender nor fill its memory.
TEST(nng_link, refuses_messages_when_the_queue_is_full)
{
    raw_listener listener;
    nng_link link;
    node_id const peer{"p"};
    link.open(peer, url{"tcp://" + listener.at()});
    auto const silent = accept_push(listener);
    std::string const bytes(100'000, 'x');
    std::size_t sent = 0;
    while (sent < 4 * config::peer_queue_messages && link.send(peer, bytes))
    {
        ++sent;
        g_main_context_iteration(nullptr, FALSE);
    }
    EXPECT_GT(sent, 0U);
    EXPECT_LT(sent, 2 * config::peer_queue_messages);
    EXPECT_FALSE(
        link.send(peer, std::string(config::max_message_bytes + 1, 'x')));
}

// A working connection was closed for a fresh one whose handshake, over a link
// that loses packets, took seconds or failed.
TEST(nng_link, sends_over_the_open_connection_until_the_fresh_one_is_ready)
{
    raw_listener listener;
    nng_link link;
    node_id const peer{"p"};
    url const at{"tcp://" + listener.at()};
    link.open(peer, at);
    auto first = accept_push(listener);
    auto const one = "\0\0\0\0\0\0\0\x3one"s;
    auto const two = "\0\0\0\0\0\0\0\x3two"s;
    ASSERT_TRUE(link.send(peer, "one"));
    ASSERT_TRUE(run_until([&] { return first.text().size() >= 8 + 11; }));

    link.open(peer, at);
    raw_socket fresh;
    ASSERT_TRUE(run_until(
        [&]
        {
            fresh = listener.accept();
            return fresh.is_open();
        }));
    ASSERT_TRUE(link.send(peer, "two"));
    EXPECT_TRUE(run_until([&] { return first.text().size() >= 8 + 22; }));
    EXPECT_EQ(first.text().substr(8), one + two);

    fresh.send(pull_header);
    EXPECT_TRUE(run_until(
        [&]
        {
            (void)link.send(peer, "two");
            return fresh.text().size() >= 8 + 11;
        }));
    EXPECT_EQ(fresh.text().substr(8, 11), two);
}

// A handshake in progress was given up each time that the peer stayed silent
// for a second, less than a lost SYN takes.
TEST(nng_link, goes_on_with_a_handshake_when_the_peer_is_opened_again)
{
    raw_listener listener;
    nng_link link;
    node_id const peer{"p"};
    url const at{"tcp://" + listener.at()};
    link.open(peer, at);
    ASSERT_TRUE(link.send(peer, "one"));
    raw_socket first;
    ASSERT_TRUE(run_until(
        [&]
        {
            first = listener.accept();
            return first.is_open();
        }));
    link.open(peer, at);
    first.send(pull_header);
    EXPECT_TRUE(run_until([&] { return first.text().size() >= 8 + 11; }));
    EXPECT_EQ(first.text().substr(8), "\0\0\0\0\0\0\0\x3one"s);
}

// Half a message must not be continued on the next connection.
TEST(nng_link, repeats_a_message_that_a_reset_cut)
{
    raw_listener listener;
    nng_link link;
    node_id const peer{"p"};
    link.open(peer, url{"tcp://" + listener.at()});
    auto first = accept_push(listener);
    std::string const large(config::max_message_bytes, 'y');
    for (auto n = 0; n < 4; ++n)
    {
        ASSERT_TRUE(link.send(peer, large));
    }
    first.reset();
    auto second = accept_push(listener);
    auto const frame = "\0\0\0\0\0\x40\0\0"s + large;
    EXPECT_TRUE(
        run_until([&] { return second.text().size() >= 8 + frame.size(); }));
    EXPECT_EQ(second.text().substr(8, frame.size()), frame);
}

// A peer with another protocol must be tried again, not written to.
TEST(nng_link, tries_a_peer_of_another_protocol_again)
{
    raw_listener listener;
    nng_link link;
    node_id const peer{"p"};
    link.open(peer, url{"tcp://" + listener.at()});
    ASSERT_TRUE(link.send(peer, "bytes"));
    raw_socket stranger;
    ASSERT_TRUE(run_until(
        [&]
        {
            stranger = listener.accept();
            return stranger.is_open();
        }));
    stranger.send("HTTP/1.1 400\r\n\r\n");
    EXPECT_TRUE(run_until([&] { return stranger.ended(); }));
    EXPECT_EQ(stranger.text(), push_header);
    auto again = accept_push(listener);
    auto const frame = "\0\0\0\0\0\0\0\5bytes"s;
    EXPECT_TRUE(run_until([&] { return again.text().size() >= 21; }));
    EXPECT_EQ(again.text().substr(8), frame);
}

// What waits for a peer that starts later must arrive, in order. The port stays
// free meanwhile: on 127.0.0.1 another test may be given it.
TEST(nng_link, reaches_a_receiver_that_starts_later)
{
    std::string at;
    {
        raw_listener const free_port{raw_listener::own_host()};
        at = "tcp://" + free_port.at();
    }
    nng_link sender;
    node_id const peer{"p"};
    sender.open(peer, url{at});
    ASSERT_TRUE(sender.send(peer, "first"));
    ASSERT_TRUE(sender.send(peer, "second"));
    auto const end = g_get_monotonic_time() + 200'000;
    while (g_get_monotonic_time() < end)
    {
        g_main_context_iteration(nullptr, FALSE);
    }
    nng_link receiver;
    std::vector<std::string> got;
    receiver.on_bytes([&](std::string_view bytes) { got.emplace_back(bytes); });
    ASSERT_TRUE(receiver.listen(url{at}).has_value());
    EXPECT_TRUE(run_until([&] { return got.size() == 2; }));
    EXPECT_EQ(got, (std::vector<std::string>{"first", "second"}));
}

// Addresses with a name worked with the sender of nng.
TEST(nng_link, reaches_a_receiver_by_name)
{
    nng_link receiver;
    std::size_t got = 0;
    receiver.on_bytes([&](std::string_view) { ++got; });
    auto const at = receiver.listen(url{"tcp://127.0.0.1:0"});
    ASSERT_TRUE(at.has_value());
    auto const& text = at.value().value();
    url const by_name{"tcp://localhost" + text.substr(text.rfind(':'))};
    node_id const peer{"p"};
    {
        nng_link gone;
        gone.open(peer, by_name);
    }
    nng_link sender;
    sender.open(peer, by_name);
    ASSERT_TRUE(sender.send(peer, "bytes"));
    EXPECT_TRUE(run_until([&] { return got == 1; }));
}

} // namespace
} // namespace apricotlb
