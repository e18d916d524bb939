#include "fake_entry.hpp"
#include "loopback.hpp"

#include "adapters/glib_clock.hpp"
#include "adapters/soup_client.hpp"
#include "adapters/soup_server.hpp"
#include "app/entry_role.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

/// An entry on loopback and a raw backend server that the test speaks for.
class http_path : public testing::Test
{
protected:
    using role = entry_role<glib_clock, soup_server, soup_client, fake_key_log,
                            token_hasher, fake_metrics>;

    auto SetUp() -> void override
    {
        // Long enough that no test depends on how fast the machine is.
        leader.add_customer("acme", seconds{30});
        leader.add_backend("b1", "acme", "reports", "http://" + listener.at());
        renew();
        entry = std::make_unique<role>(clock, source, upstream, log, metrics,
                                       leader.view(), entry_options{});
        auto const at = source.listen("127.0.0.1:0");
        ASSERT_TRUE(at.has_value());
        entry_at = at.value();
    }

    /// Grants a lease that outlasts the longest wait, so that no test depends
    /// on how fast the machine is.
    auto renew() -> void
    {
        leader.renew(clock.now() + std::chrono::minutes{5});
    }

    auto call(std::string const& head, std::string const& body = {})
        -> raw_socket
    {
        renew();
        auto it = raw_socket::connect(entry_at);
        it.send(head + "\r\nHost: e\r\nAuthorization: Bearer acme-token\r\n" +
                "\r\n" + body);
        return it;
    }

    auto accept() -> raw_socket
    {
        raw_socket it;
        run_until(
            [&]
            {
                it = listener.accept();
                return it.is_open();
            });
        return it;
    }

    static auto read(raw_socket& from, std::string const& end) -> bool
    {
        return run_until(
            [&] {
                return from.text().find(end) != std::string::npos ||
                       from.ended();
            });
    }

    raw_listener listener;
    glib_clock clock;
    fake_leader leader;
    fake_key_log log;
    fake_metrics metrics;
    soup_server source;
    soup_client upstream;
    std::unique_ptr<role> entry;
    std::string entry_at;
};

// All workers of a process that has ended turn to another one at once; those
// over the backlog would get no answer in time.
TEST_F(http_path, accepts_many_connections_between_two_turns_of_the_loop)
{
    std::vector<raw_socket> callers;
    constexpr std::size_t count = 100;
    callers.reserve(count);
    for (std::size_t n = 0; n < count; ++n)
    {
        callers.push_back(raw_socket::start_connect(entry_at));
    }
    EXPECT_TRUE(std::ranges::all_of(callers, &raw_socket::is_connected));
}

// A body that is altered or cut between the caller and the backend server
// would reach the archive as a wrong report.
TEST_F(http_path, carries_bodies_unchanged_both_ways)
{
    std::string const body(300'000, 'x');
    auto caller = call("PUT /s/reports/chapel/1?q=1 HTTP/1.1\r\n"
                       "Content-Length: 300000",
                       body);
    auto backend = accept();
    ASSERT_TRUE(run_until([&] { return backend.text().size() > 300'000; }));
    EXPECT_TRUE(backend.text().starts_with("PUT /chapel/1?q=1 HTTP/1.1\r\n"));
    EXPECT_EQ(backend.text().find("acme-token"), std::string::npos);
    ASSERT_TRUE(run_until([&] { return backend.text().ends_with(body); }));
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                 std::string(200'000, 'y'));
    ASSERT_TRUE(run_until([&] { return caller.text().size() > 200'000; }));
    EXPECT_TRUE(caller.text().starts_with("HTTP/1.1 200 OK\r\n"));
    EXPECT_TRUE(caller.text().ends_with(std::string(200'000, 'y')));
}

// libsoup frees the header that it replaces by itself: the type reached the
// backend server as freed memory, and as no valid head once in some thousands.
TEST_F(http_path, carries_the_type_of_a_body_unchanged)
{
    auto caller = call("PUT /s/reports/chapel/1 HTTP/1.1\r\n"
                       "Content-Type: application/vnd.survey+json\r\n"
                       "Content-Length: 4",
                       "body");
    auto backend = accept();
    ASSERT_TRUE(run_until([&] { return backend.text().ends_with("body"); }));
    EXPECT_NE(
        backend.text().find("Content-Type: application/vnd.survey+json\r\n"),
        std::string::npos)
        << backend.text();
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(run_until([&] { return caller.text().ends_with("ok"); }));
}

// An answer that ends early has to look broken to the caller, or half a
// report passes for a whole one.
TEST_F(http_path, cuts_an_answer_that_the_backend_server_cut)
{
    for (std::string const framing :
         {"Content-Length: 100", "Transfer-Encoding: chunked"})
    {
        auto caller = call("GET /s/reports/a HTTP/1.1");
        auto backend = accept();
        ASSERT_TRUE(read(backend, "\r\n\r\n"));
        backend.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n5\r\nhello");
        ASSERT_TRUE(read(caller, "hello"));
        backend.reset();
        ASSERT_TRUE(run_until([&] { return caller.ended(); }));
        EXPECT_FALSE(caller.text().ends_with("0\r\n\r\n")) << caller.text();
    }
}

// A chunked answer is complete whether or not its connection stays open.
TEST_F(http_path, ends_a_chunked_answer_that_is_complete)
{
    auto caller = call("GET /s/reports/a HTTP/1.1");
    auto backend = accept();
    ASSERT_TRUE(read(backend, "\r\n\r\n"));
    backend.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                 "Connection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    backend.close();
    ASSERT_TRUE(read(caller, "0\r\n\r\n"));
    EXPECT_TRUE(caller.text().ends_with("5\r\nhello\r\n0\r\n\r\n"));
}

// libsoup repeats a request by itself when a kept connection was closed; a
// repeated POST would order twice.
TEST_F(http_path, never_sends_a_post_twice)
{
    auto first = call("GET /s/reports/a HTTP/1.1");
    auto kept = accept();
    ASSERT_TRUE(read(kept, "\r\n\r\n")) << first.text();
    kept.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(read(first, "ok"));
    ASSERT_TRUE(run_until([&] { return entry->in_use().empty(); }));
    auto second = call("POST /s/reports/a HTTP/1.1\r\nContent-Length: 2", "hi");
    // libsoup opens a new connection for a request that may not be repeated.
    auto backend = accept();
    ASSERT_TRUE(run_until([&] { return backend.text().ends_with("hi"); }));
    backend.reset();
    ASSERT_TRUE(read(second, "\"ran\":\"unknown\""));
    EXPECT_TRUE(second.text().starts_with("HTTP/1.1 502"));
    EXPECT_EQ(kept.text().find("POST"), std::string::npos);
    EXPECT_FALSE(listener.accept().is_open());
}

// A GET that may have run is repeated once it failed, on the same server when
// there is no other.
TEST_F(http_path, repeats_a_get_whose_connection_broke)
{
    auto caller = call("GET /s/reports/a HTTP/1.1");
    auto backend = accept();
    ASSERT_TRUE(read(backend, "\r\n\r\n"));
    backend.reset();
    auto again = accept();
    ASSERT_TRUE(read(again, "\r\n\r\n"));
    again.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(read(caller, "ok"));
    EXPECT_EQ(metrics.of("apricotlb_retries_total", "failed"), 1);
}

// Nobody listens: the caller must learn that its order did not run.
TEST_F(http_path, says_that_a_refused_post_did_not_run)
{
    listener.close();
    auto caller = call("POST /s/reports/a HTTP/1.1\r\nContent-Length: 2", "hi");
    ASSERT_TRUE(read(caller, "\"ran\""));
    EXPECT_NE(caller.text().find("\"ran\":\"no\""), std::string::npos);
}

// Two parsers that disagree on where a body ends let one caller smuggle a
// request into another's connection.
TEST_F(http_path, refuses_ambiguous_framing)
{
    for (std::string const framing :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked",
          "Content-Length: 5\r\nContent-Length: 6", "Content-Length: +5",
          "Content-Length: -1", "Transfer-Encoding: chunked, identity",
          "Transfer-Encoding: xchunked"})
    {
        auto caller =
            call("POST /s/reports/a HTTP/1.1\r\n" + framing, "0\r\n\r\n----");
        ASSERT_TRUE(read(caller, "\r\n\r\n")) << framing;
        EXPECT_TRUE(caller.text().empty() ||
                    caller.text().starts_with("HTTP/1.1 400") ||
                    caller.text().starts_with("HTTP/1.1 501"))
            << framing << caller.text();
        EXPECT_FALSE(listener.accept().is_open()) << framing;
    }
}

// A head without bound would fill the entry's memory.
TEST_F(http_path, refuses_a_head_over_the_limit)
{
    auto caller = call("GET /s/reports/a HTTP/1.1\r\nX: " +
                       std::string(config::max_header_bytes, 'x'));
    ASSERT_TRUE(read(caller, "header_too_large"));
    EXPECT_TRUE(caller.text().starts_with("HTTP/1.1 431"));
    EXPECT_EQ(metrics.of("apricotlb_refusals_total", "header_too_large"), 1);
}

// The first part of a long body, taken for the whole, would be a change that
// nobody asked for; a body without bound would fill the entry's memory.
TEST_F(http_path, refuses_an_api_body_over_the_limit)
{
    auto handled = false;
    entry->on_api_request([&](http_request const&, auto const&)
                          { handled = true; });
    std::string const body(config::max_api_body_bytes + 1, 'x');
    auto caller = call("PUT /v1/contracts/acme HTTP/1.1\r\nContent-Length: " +
                           std::to_string(body.size()),
                       body);
    ASSERT_TRUE(read(caller, "body_too_large"));
    EXPECT_TRUE(caller.text().starts_with("HTTP/1.1 413"));
    EXPECT_NE(caller.text().find("\"ran\":\"no\""), std::string::npos);
    EXPECT_FALSE(handled);
}

// A caller of one customer must not reach another's service.
TEST_F(http_path, tells_an_unknown_token_from_an_unknown_service)
{
    leader.add_customer("other", seconds{30});
    auto known = call("GET /s/nothing/a HTTP/1.1");
    ASSERT_TRUE(read(known, "unknown_service"));
    auto it = raw_socket::connect(entry_at);
    it.send("GET /s/reports/a HTTP/1.1\r\nHost: e\r\n"
            "Authorization: Bearer other-token\r\n\r\n");
    ASSERT_TRUE(read(it, "unknown_service"));
    it = raw_socket::connect(entry_at);
    it.send("GET /s/reports/a HTTP/1.1\r\nHost: e\r\n\r\n");
    ASSERT_TRUE(read(it, "unauthorized"));
    EXPECT_EQ(metrics.of("apricotlb_refusals_total", "unauthorized"), 1);
}

// The order of a caller that left must not hold a slot.
TEST_F(http_path, gives_up_when_the_caller_leaves)
{
    auto caller = call("GET /s/reports/a HTTP/1.1");
    auto backend = accept();
    ASSERT_TRUE(read(backend, "\r\n\r\n"));
    caller.reset();
    EXPECT_TRUE(run_until([&] { return backend.ended(); }));
    EXPECT_EQ(entry->in_flight(), request_count{0});
    EXPECT_TRUE(entry->in_use().empty());
}

// Callers that are not told to close send their next request to a process that
// is about to end.
TEST_F(http_path, tells_callers_to_close_from_the_first_signal_on)
{
    auto caller = call("GET /healthz HTTP/1.1");
    ASSERT_TRUE(read(caller, "ok\n"));
    EXPECT_EQ(caller.text().find("Connection: close"), std::string::npos);
    entry->begin_drain(stop_signal::terminate);
    caller.send("GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return caller.ended(); }));
    EXPECT_NE(caller.text().find("503 Service Unavailable"), std::string::npos);
    EXPECT_NE(caller.text().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(raw_socket::connect(entry_at).is_open());
}

// A process that ends while callers hold connections cuts what they send.
TEST_F(http_path, answers_on_open_connections_until_it_ends)
{
    std::optional<request_count> cut;
    auto const at_once = entry_options{.balancer_wait = duration{}};
    entry = std::make_unique<role>(clock, source, upstream, log, metrics,
                                   leader.view(), at_once);
    entry->on_exit([&](request_count n) { cut = n; });
    auto caller = call("GET /healthz HTTP/1.1");
    ASSERT_TRUE(read(caller, "ok\n"));
    entry->begin_drain(stop_signal::terminate);
    EXPECT_FALSE(cut.has_value());
    EXPECT_FALSE(caller.ended());
    caller.send("GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return caller.ended(); }));
    EXPECT_NE(caller.text().find("503 Service Unavailable"), std::string::npos);
    ASSERT_TRUE(run_until([&] { return cut.has_value(); }));
    EXPECT_EQ(*cut, request_count{0});
}

// Closing a connection with an unread request resets it, so that the caller
// gets no answer.
TEST_F(http_path, closes_idle_connections_but_none_with_an_unread_request)
{
    auto idle = call("GET /healthz HTTP/1.1");
    auto caller = call("GET /healthz HTTP/1.1");
    ASSERT_TRUE(read(idle, "ok\n") && read(caller, "ok\n"));
    auto const seen = caller.text().size();
    ASSERT_TRUE(
        caller.send_at_once("GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n"));
    source.close_idle();
    EXPECT_TRUE(idle.ended());
    ASSERT_TRUE(run_until(
        [&] { return caller.text().size() > seen || caller.ended(); }));
    EXPECT_EQ(caller.text().find("HTTP/1.1 200", seen), seen);
}

// Callers whose connections wait to be accepted were reset with the socket.
TEST_F(http_path, accepts_waiting_connections_before_it_stops_listening)
{
    std::vector<raw_socket> callers;
    for (auto n = 0; n < 10; ++n)
    {
        callers.push_back(raw_socket::connect(entry_at));
        ASSERT_TRUE(callers.back().send_at_once(
            "GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n"));
    }
    source.stop_listening();
    for (auto& it : callers)
    {
        EXPECT_TRUE(run_until([&] { return it.ended(); }));
        EXPECT_TRUE(it.text().starts_with("HTTP/1.1 ")) << it.was_reset();
    }
}

// A process that stops while it answers would interrupt its callers.
TEST_F(http_path, finishes_requests_in_flight_when_it_drains)
{
    std::optional<request_count> cut;
    auto const at_once = entry_options{.balancer_wait = duration{}};
    entry = std::make_unique<role>(clock, source, upstream, log, metrics,
                                   leader.view(), at_once);
    entry->on_exit([&](request_count n) { cut = n; });
    auto caller = call("GET /s/reports/a HTTP/1.1");
    auto backend = accept();
    ASSERT_TRUE(read(backend, "\r\n\r\n"));
    EXPECT_TRUE(entry->is_healthy());
    entry->begin_drain(stop_signal::terminate);
    EXPECT_FALSE(entry->is_healthy());
    ASSERT_TRUE(
        run_until([&] { return !raw_socket::connect(entry_at).is_open(); }));
    EXPECT_FALSE(cut.has_value());
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(read(caller, "ok"));
    EXPECT_TRUE(caller.text().starts_with("HTTP/1.1 200"));
    ASSERT_TRUE(run_until([&] { return cut.has_value(); }));
    EXPECT_EQ(*cut, request_count{0});
}

} // namespace
} // namespace apricotlb
