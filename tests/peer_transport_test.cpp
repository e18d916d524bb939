#include "adapters/msgpack_codec.hpp"
#include "adapters/nng_link.hpp"
#include "app/peer_transport.hpp"
#include "core/state/commands.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <glib.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

struct fake_link
{
    auto open(node_id const& peer, url const& at) -> void
    {
        opened.emplace_back(peer.value() + "=" + at.value());
    }
    auto close(node_id const&) -> void {}
    auto send(node_id const&, std::string_view bytes) -> bool
    {
        sent.emplace_back(bytes);
        return true;
    }
    auto on_bytes(std::function<void(std::string_view)> f) -> void
    {
        receive = std::move(f);
    }

    std::vector<std::string> opened;
    std::vector<std::string> sent;
    std::function<void(std::string_view)> receive;
};

struct fake_auth
{
    [[nodiscard]] auto compute_mac(std::string_view) const -> std::string
    {
        return std::string(message_code_bytes, key);
    }
    [[nodiscard]] auto is_valid_mac(std::string_view code,
                                    std::string_view) const -> bool
    {
        return code == std::string(message_code_bytes, key);
    }

    char key{'k'};
};

struct fake_metrics
{
    auto count(std::string_view, std::string_view label) -> void
    {
        ++counts[std::string{label}];
    }
    auto record(std::string_view, std::string_view, duration) -> void {}

    std::map<std::string, int> counts;
};

using transport = peer_transport<command, paused_clock, fake_link,
                                 msgpack_codec, fake_auth, fake_metrics>;

class peer_transport_test : public testing::Test
{
protected:
    auto receive_all() -> void
    {
        for (auto const& bytes : a_link.sent)
        {
            b_link.receive(bytes);
        }
    }

    paused_clock clock;
    fake_link a_link;
    fake_link b_link;
    fake_auth auth;
    fake_metrics metrics;
    transport a{{node_id{"a"}, incarnation{1}, url{"tcp://a"}},
                clock,
                a_link,
                auth,
                metrics};
    transport b{{node_id{"b"}, incarnation{1}, url{"tcp://b"}},
                clock,
                b_link,
                auth,
                metrics};
    command const message = retire_worker{worker_id{"w"}};
};

// A process that knows only the control group must be reachable by it.
TEST_F(peer_transport_test, learns_the_sender_from_its_message)
{
    std::vector<std::string> got;
    b.on_message([&](node_id const& from, command const& it)
                 { got.push_back(from.value() + std::to_string(it.index())); });
    a.add_peer(node_id{"b"}, url{"tcp://b"});
    a.send(node_id{"b"}, message);
    receive_all();
    EXPECT_EQ(got, (std::vector<std::string>{"a12"}));
    EXPECT_EQ(b_link.opened, (std::vector<std::string>{"a=tcp://a"}));
}

// A doubled message, or one of an earlier run that was delayed, must not be
// taken as new.
TEST_F(peer_transport_test, drops_duplicates_and_messages_of_earlier_runs)
{
    auto n = 0;
    b.on_message([&](node_id const&, command const&) { ++n; });
    a.add_peer(node_id{"b"}, url{"tcp://b"});
    a.send(node_id{"b"}, message);
    receive_all();
    receive_all();
    EXPECT_EQ(n, 1);

    fake_link later_link;
    transport later{{node_id{"a"}, incarnation{2}, url{"tcp://a"}},
                    clock,
                    later_link,
                    auth,
                    metrics};
    later.add_peer(node_id{"b"}, url{"tcp://b"});
    later.send(node_id{"b"}, message);
    b_link.receive(later_link.sent.front());
    EXPECT_EQ(n, 2);
    a.send(node_id{"b"}, message);
    b_link.receive(a_link.sent.back());
    EXPECT_EQ(n, 2);
    EXPECT_EQ(metrics.counts["duplicate"], 2);
}

// A stranger on the port, or a damaged message, must be counted and dropped
// and must not end the process.
TEST_F(peer_transport_test, drops_what_is_unauthentic_or_malformed)
{
    auto n = 0;
    b.on_message([&](node_id const&, command const&) { ++n; });
    b_link.receive("short");
    b_link.receive(std::string(100, 'x'));
    b_link.receive(auth.compute_mac("") + "not msgpack");
    a.add_peer(node_id{"b"}, url{"tcp://b"});
    a.send(node_id{"b"}, message);
    auto const& bytes = a_link.sent.front();
    for (std::size_t size = message_code_bytes; size < bytes.size(); ++size)
    {
        b_link.receive(std::string_view{bytes}.substr(0, size));
    }
    EXPECT_EQ(n, 0);
    EXPECT_EQ(metrics.counts["unauthentic"], 2);
    EXPECT_GT(metrics.counts["malformed"], 0);
}

// A connection that went silent while new ones work would cut the peer off
// for as long as TCP keeps it open.
TEST_F(peer_transport_test, dials_a_silent_peer_anew)
{
    a.add_peer(node_id{"b"}, url{"tcp://b"});
    EXPECT_EQ(a_link.opened.size(), 1U);
    clock.advance(config::peer_timeout * 2);
    EXPECT_GE(a_link.opened.size(), 2U);
}

// Keepalives must keep a healthy connection from being replaced.
TEST_F(peer_transport_test, keeps_a_connection_that_carries_keepalives)
{
    a.add_peer(node_id{"b"}, url{"tcp://b"});
    for (auto n = 0; n < 20; ++n)
    {
        clock.advance(config::heartbeat_interval);
        for (auto const& bytes : std::exchange(a_link.sent, {}))
        {
            b_link.receive(bytes);
        }
        for (auto const& bytes : std::exchange(b_link.sent, {}))
        {
            a_link.receive(bytes);
        }
    }
    EXPECT_EQ(a_link.opened.size(), 1U);
    EXPECT_EQ(b_link.opened.size(), 1U);
}

// Bytes must cross a real connection unchanged, also after it was replaced.
TEST(nng_link, carries_bytes_over_a_replaced_connection)
{
    nng_link receiver;
    std::vector<std::string> got;
    receiver.on_bytes([&](std::string_view bytes) { got.emplace_back(bytes); });
    auto const at = receiver.listen(url{"tcp://127.0.0.1:0"});
    ASSERT_TRUE(at.has_value()) << at.error().detail;

    nng_link sender;
    node_id const peer{"r"};
    EXPECT_FALSE(sender.send(peer, "nobody"));
    std::string const large(100'000, 'y');
    sender.open(peer, at.value());
    ASSERT_TRUE(sender.send(peer, large));
    while (got.empty())
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    sender.open(peer, at.value());
    ASSERT_TRUE(sender.send(peer, "second"));
    while (got.size() < 2)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    EXPECT_EQ(got, (std::vector<std::string>{large, "second"}));
}

} // namespace
} // namespace apricotlb
