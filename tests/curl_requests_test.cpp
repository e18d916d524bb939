#include "adapters/curl_requests.hpp"
#include "loopback.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <dlfcn.h>
#include <fcntl.h>
#include <glib.h>
#include <netdb.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

/// Holds the look-up of `slow_host` until a byte comes through `go_on`, and
/// says through `ended` that it has ended.
struct held_resolver
{
    static constexpr std::string_view slow_host = "slow.invalid";
    std::array<int, 2> go_on{-1, -1};
    std::array<int, 2> ended{-1, -1};

    auto open() -> void
    {
        ASSERT_EQ(::pipe(go_on.data()), 0);
        ASSERT_EQ(::pipe2(ended.data(), O_NONBLOCK), 0);
    }
    /// Waits at most 10 s, so that a broken test ends.
    auto hold() const -> int
    {
        pollfd it{go_on[0], POLLIN, 0};
        poll(&it, 1, 10'000);
        return ::write(ended[1], "x", 1) == 1 ? EAI_AGAIN : EAI_FAIL;
    }
    auto release() const -> bool
    {
        pollfd it{ended[0], POLLIN, 0};
        return ::write(go_on[1], "x", 1) == 1 && poll(&it, 1, 10'000) == 1;
    }
    [[nodiscard]] auto has_ended() const -> bool
    {
        char byte{0};
        return ::read(ended[0], &byte, 1) == 1;
    }
};

held_resolver resolver;

constexpr std::size_t per_host = 4; ///< connections that libcurl opens
constexpr std::size_t hosts = 32;

/// Servers on loopback, each with open requests whose answers wait.
class curl_requests_test : public testing::Test
{
protected:
    auto request(raw_listener const& to) -> void
    {
        outgoing_request it;
        it.to = url{"http://" + to.at() + "/wait"};
        it.timeout = seconds{60}; // only ends a broken test
        it.repeatable = true;
        http.send(it,
                  [this](result<http_answer> const& got)
                  {
                      EXPECT_TRUE(got.has_value());
                      ++answered;
                  });
    }

    auto open_all() -> bool
    {
        for (auto const& to : servers)
        {
            for (std::size_t n = 0; n < per_host; ++n)
            {
                request(to);
            }
        }
        return run_until(
            [&]
            {
                for (auto& from : servers)
                {
                    if (auto it = from.accept(); it.is_open())
                    {
                        connections.push_back(std::move(it));
                    }
                }
                auto n = std::size_t{0};
                for (auto& it : connections)
                {
                    n += it.text().ends_with("\r\n\r\n") ? 1U : 0U;
                }
                return n == hosts * per_host;
            });
    }

    /// Descriptors that a turn of the loop polls.
    static auto polled() -> int
    {
        auto* const loop = g_main_context_default();
        auto priority = 0;
        auto timeout = 0;
        std::array<GPollFD, 1024> fds{};
        g_main_context_acquire(loop);
        g_main_context_prepare(loop, &priority);
        auto const n = g_main_context_query(
            loop, G_MAXINT, &timeout, fds.data(), static_cast<int>(fds.size()));
        g_main_context_release(loop);
        return n;
    }

    std::array<raw_listener, hosts> servers;
    std::vector<raw_socket> connections;
    std::size_t answered{0};
    curl_requests http;
};

// A source per connection made each event of a leader with 350 workers cost
// several times its own work.
TEST_F(curl_requests_test, a_turn_of_the_loop_does_not_visit_each_connection)
{
    auto const before = polled();
    ASSERT_TRUE(open_all());
    EXPECT_EQ(polled(), before);
}

// When all workers answer at once, timers and messages of peers must not wait
// until all answers are handled.
TEST_F(curl_requests_test, serves_a_bounded_number_of_answers_per_turn)
{
    ASSERT_TRUE(open_all());
    for (auto& it : connections)
    {
        ASSERT_TRUE(
            it.send_at_once("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    }
    std::size_t before = 0;
    EXPECT_TRUE(run_until(
        [&]
        {
            EXPECT_LE(answered - before,
                      std::size_t{config::max_events_per_turn});
            before = answered;
            return answered == hosts * per_host;
        }));
}

// A number of a closed socket that the next one takes must not make that one
// fail or be left out.
TEST_F(curl_requests_test, survives_connections_that_close_while_others_open)
{
    for (auto round = 0; round < 5; ++round)
    {
        answered = 0;
        ASSERT_TRUE(open_all());
        for (auto& it : connections)
        {
            ASSERT_TRUE(
                it.send_at_once("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                "Connection: close\r\n\r\nok"));
        }
        ASSERT_TRUE(run_until([&] { return answered == hosts * per_host; }));
        connections.clear();
    }
}

// The first request was carried out and its connection closed; libcurl's
// repetition was refused by the busy worker. The refusal counted for both, so
// that the run was started on another worker beside itself.
TEST_F(curl_requests_test, a_refused_repetition_does_not_answer_the_request)
{
    outgoing_request it;
    it.to = url{"http://" + servers.front().at() + "/start"};
    it.timeout = seconds{60}; // only ends a broken test
    it.repeatable = true;
    std::vector<result<http_answer>> got;
    auto const send = [&]
    {
        http.send(it, [&](result<http_answer> const& answer)
                  { got.push_back(answer); });
    };
    auto const take = [&](raw_socket& from)
    {
        return run_until(
            [&]
            {
                if (!from.is_open())
                {
                    from = servers.front().accept();
                }
                return from.is_open() && from.text().ends_with("\r\n\r\n");
            });
    };
    constexpr auto reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    raw_socket first;
    send();
    ASSERT_TRUE(take(first));
    ASSERT_TRUE(first.send_at_once(reply));
    ASSERT_TRUE(run_until([&] { return got.size() == 1; }));
    auto const known = first.text().size();

    send();
    ASSERT_TRUE(run_until([&] { return first.text().size() > known; }));
    first = {};
    raw_socket second;
    ASSERT_TRUE(take(second));
    ASSERT_TRUE(
        second.send_at_once("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
    ASSERT_TRUE(run_until([&] { return got.size() == 2; }));
    ASSERT_TRUE(got[1].has_error());
    EXPECT_EQ(got[1].error().kind, error_kind::backend_failed);

    // A refusal of a request that was sent once stands.
    send();
    ASSERT_TRUE(run_until([&] { return second.text().size() > known; }));
    ASSERT_TRUE(
        second.send_at_once("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
    ASSERT_TRUE(run_until([&] { return got.size() == 3; }));
    ASSERT_TRUE(got[2].has_value());
    EXPECT_EQ(got[2].value().status, http_status{503});
}

// A server that never answers must not hold its request beyond the time limit.
TEST_F(curl_requests_test, ends_a_request_at_its_time_limit)
{
    outgoing_request it;
    it.to = url{"http://" + servers.front().at() + "/wait"};
    it.timeout = milliseconds{1};
    auto ended = false;
    http.send(it,
              [&](result<http_answer> const& got)
              {
                  ended = true;
                  ASSERT_TRUE(got.has_error());
                  EXPECT_EQ(got.error().kind, error_kind::backend_timeout);
              });
    EXPECT_TRUE(run_until([&] { return ended; }));
}

// A worker may announce a host name. The loop stood still until its look-up had
// ended, long after the request.
TEST(curl_requests, does_not_wait_for_a_look_up_that_is_late)
{
    resolver.open();
    curl_requests http;
    outgoing_request it;
    it.to = url{"http://" + std::string{held_resolver::slow_host} + ":80/"};
    it.timeout = milliseconds{20};
    it.repeatable = true;
    auto answered = false;
    auto ended_before = true;
    http.send(it,
              [&](result<http_answer> const& got)
              {
                  ended_before = resolver.has_ended();
                  answered = true;
                  EXPECT_TRUE(got.has_error());
              });
    EXPECT_TRUE(run_until([&] { return answered; }));
    EXPECT_FALSE(ended_before);
    EXPECT_TRUE(resolver.release());
}

} // namespace
} // namespace apricotlb

/// Called by libcurl in place of the C library's.
extern "C" auto getaddrinfo(char const* node, char const* service,
                            addrinfo const* hints, addrinfo** found) -> int
{
    if (node != nullptr && node == apricotlb::held_resolver::slow_host)
    {
        return apricotlb::resolver.hold();
    }
    auto* const next = reinterpret_cast<decltype(&getaddrinfo)>(
        dlsym(RTLD_NEXT, "getaddrinfo"));
    return next(node, service, hints, found);
}
