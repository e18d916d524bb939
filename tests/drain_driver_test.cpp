#include "app/drain_driver.hpp"
#include "paused_clock.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace apricotlb
{
namespace
{

/// A source without requests of its own; the test sets what is open.
struct counted_source
{
    struct no_exchange
    {
        request_head request;

        [[nodiscard]] auto head() const -> request_head const&
        {
            return request;
        }
        auto listen(exchange_events) -> void {}
        auto pause_body() -> void {}
        auto resume_body() -> void {}
        auto start(answer_head) -> void {}
        auto write(std::string_view) -> void {}
        auto end() -> void {}
        auto abort() -> void {}
        [[nodiscard]] auto unwritten() const -> std::size_t { return 0; }
    };
    using exchange = no_exchange*;

    auto on_request(std::function<void(exchange)>) -> void {}
    auto on_refused(std::function<void(error_kind)>) -> void {}
    auto on_idle(std::function<void()> it) -> void { idle = std::move(it); }
    auto close_after_answers() -> void { closes = true; }
    auto stop_listening() -> void { listens = false; }
    auto close_idle() -> void
    {
        held = connection_count{static_cast<std::int32_t>(requests.value())};
    }
    [[nodiscard]] auto open() const -> request_count { return requests; }
    [[nodiscard]] auto connections() const -> connection_count { return held; }

    request_count requests;
    connection_count held;
    bool closes{false};
    bool listens{true};
    std::function<void()> idle;
};

struct drain_driver_test : testing::Test
{
    paused_clock clock;
    counted_source clients;
    counted_source workers;
    drain_driver<paused_clock, counted_source> driver{
        clock,
        {&clients, &workers},
        drain_times::within(seconds{2}, seconds{6})};
    std::optional<request_count> cut;

    auto SetUp() -> void override
    {
        driver.on_exit([this](request_count n) { cut = n; });
    }
};

// Announcements in progress were cut because the end of the process depended
// on the requests of clients alone.
TEST_F(drain_driver_test, waits_for_the_requests_of_every_source)
{
    workers.requests = request_count{1};
    workers.held = connection_count{1};
    driver.signal(stop_signal::terminate);
    EXPECT_TRUE(clients.closes && workers.closes);
    clock.advance(seconds{3});
    EXPECT_FALSE(clients.listens || workers.listens);
    EXPECT_FALSE(cut.has_value());
    workers.requests = {};
    workers.held = {};
    workers.idle();
    EXPECT_EQ(cut, request_count{0});
}

// A request that never ends must not keep the process until it is killed.
TEST_F(drain_driver_test, ends_within_the_grace_whatever_is_open)
{
    workers.requests = request_count{1};
    workers.held = connection_count{2};
    driver.signal(stop_signal::terminate);
    clock.advance(milliseconds{4'900});
    EXPECT_FALSE(cut.has_value());
    EXPECT_EQ(workers.held, connection_count{1});
    clock.advance(milliseconds{100});
    EXPECT_EQ(cut, request_count{1});
}

} // namespace
} // namespace apricotlb
