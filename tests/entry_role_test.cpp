#include "fake_entry.hpp"
#include "paused_clock.hpp"

#include "app/entry_role.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

struct fake_exchange
{
    request_head request;
    exchange_events events;
    answer_head answer;
    std::string body;
    bool started{false};
    bool ended{false};
    bool was_cut{false};

    [[nodiscard]] auto head() const -> request_head const& { return request; }
    auto listen(exchange_events it) -> void { events = std::move(it); }
    auto pause_body() -> void {}
    auto resume_body() -> void {}
    auto start(answer_head it) -> void
    {
        started = true;
        answer = std::move(it);
    }
    auto write(std::string_view bytes) -> void { body.append(bytes); }
    auto end() -> void { ended = true; }
    auto abort() -> void { was_cut = true; }
    [[nodiscard]] auto unwritten() const -> std::size_t { return 0; }
    [[nodiscard]] auto says(std::string_view text) const -> bool
    {
        return body.find(text) != std::string::npos;
    }
};

struct fake_source
{
    using exchange = std::shared_ptr<fake_exchange>;
    std::function<void(exchange)> run;
    auto on_request(std::function<void(exchange)> it) -> void
    {
        run = std::move(it);
    }
    auto close_after_answers() -> void {}
    auto stop_listening() -> void {}
    auto close_idle() -> void { held = {}; }
    [[nodiscard]] auto connections() const -> connection_count { return held; }
    [[nodiscard]] auto open() const -> request_count { return unwritten; }
    auto on_idle(std::function<void()> it) -> void { idle = std::move(it); }
    auto on_refused(std::function<void(error_kind)> it) -> void
    {
        refused = std::move(it);
    }

    request_count unwritten;
    connection_count held;
    std::function<void()> idle;
    std::function<void(error_kind)> refused;
};

struct fake_call
{
    upstream_request request;
    upstream_events events;
    bool cancelled{false};

    auto write(std::string_view /*bytes*/) -> void {}
    auto end_body() -> void {}
    auto resume() -> void {}
    auto cancel() -> void { cancelled = true; }
    [[nodiscard]] auto unsent() const -> std::size_t { return 0; }

    auto answer(std::string const& body) -> void
    {
        events.head({http_status{200}, {}, {}});
        events.chunk(body);
        events.end(outcome::success());
    }
};

struct fake_upstream
{
    using call = std::shared_ptr<fake_call>;
    std::vector<call> calls;
    auto open(upstream_request request, upstream_events events) -> call
    {
        calls.push_back(
            std::make_shared<fake_call>(std::move(request), std::move(events)));
        return calls.back();
    }
};

/// One entry process; several may share a log.
struct fake_process
{
    fake_process(paused_clock& clock, fake_key_log& log, std::string const& id)
        : leader(zone_id{"z"}, node_id{id}),
          role(clock, source, upstream, log, metrics, leader.view(), {})
    {
        leader.add_customer("acme", milliseconds{100});
        leader.add_backend("b1", "acme", "s", "http://127.0.0.1:1");
        leader.add_backend("b2", "acme", "s", "http://127.0.0.1:2");
        leader.renew(clock.now());
    }

    auto send(std::string const& method, std::string const& key = {})
        -> std::shared_ptr<fake_exchange>
    {
        auto it = std::make_shared<fake_exchange>();
        it->request = {.method = method,
                       .path = "/s/s/a",
                       .query = {},
                       .headers = {{"Authorization", "Bearer acme-token"}},
                       .length = byte_count{0},
                       .has_body = false};
        if (!key.empty())
        {
            it->request.headers.push_back({"Idempotency-Key", key});
        }
        source.run(it);
        return it;
    }

    fake_leader leader;
    fake_source source;
    fake_upstream upstream;
    fake_metrics metrics;
    entry_role<paused_clock, fake_source, fake_upstream, fake_key_log,
               token_hasher, fake_metrics>
        role;
};

struct entry_role_test : testing::Test
{
    paused_clock clock;
    fake_key_log log;
    fake_process first{clock, log, "e1"};
    fake_process second{clock, log, "e2"};

    auto advance(duration d) -> void
    {
        for (auto left = d; left > duration{}; left -= milliseconds{50})
        {
            clock.advance(milliseconds{50});
            first.leader.renew(clock.now());
            second.leader.renew(clock.now());
        }
    }
};

// A connection that went silent holds its request until the deadline unless
// the attempt has a limit of its own.
TEST_F(entry_role_test, sends_a_get_elsewhere_when_its_server_is_silent)
{
    auto const caller = first.send("GET");
    ASSERT_EQ(first.upstream.calls.size(), 1U);
    advance(milliseconds{450});
    ASSERT_EQ(first.upstream.calls.size(), 2U);
    auto const& silent = *first.upstream.calls[0];
    auto& other = *first.upstream.calls[1];
    EXPECT_TRUE(silent.cancelled);
    EXPECT_NE(silent.request.backend, other.request.backend);
    other.answer("ok");
    EXPECT_TRUE(caller->ended);
    EXPECT_EQ(caller->body, "ok");
    EXPECT_EQ(first.metrics.of("apricotlb_retries_total", "timed_out"), 1);
    EXPECT_TRUE(first.role.in_use().empty());
}

// A process that exits once the last answer was handed over, but before it is
// written, cuts its callers off.
TEST_F(entry_role_test, exits_only_after_the_last_answer_is_written)
{
    std::optional<request_count> left;
    first.role.on_exit([&](request_count n) { left = n; });
    first.source.unwritten = request_count{1};
    first.role.begin_drain(stop_signal::terminate);
    advance(seconds{10});
    EXPECT_FALSE(left.has_value());
    first.source.unwritten = request_count{0};
    first.source.idle();
    EXPECT_EQ(left, request_count{0});
}

// An exit while callers hold connections cuts what they are about to send; one
// that waits for callers that never close is killed.
TEST_F(entry_role_test, closes_idle_connections_before_it_exits)
{
    std::optional<request_count> left;
    first.role.on_exit([&](request_count n) { left = n; });
    first.source.held = connection_count{2};
    first.role.begin_drain(stop_signal::terminate);
    advance(entry_options{}.balancer_wait + milliseconds{100});
    EXPECT_FALSE(left.has_value());
    advance(config::drain_idle_wait);
    EXPECT_EQ(first.source.held, connection_count{0});
    EXPECT_EQ(left, request_count{0});
}

// A second interrupt must end the process at once and tell what it cut; a
// repeated termination signal must not.
TEST_F(entry_role_test, ends_at_once_with_the_second_interrupt_only)
{
    std::optional<request_count> left;
    first.role.on_exit([&](request_count n) { left = n; });
    first.source.unwritten = request_count{2};
    first.role.begin_drain(stop_signal::terminate);
    first.role.begin_drain(stop_signal::terminate);
    advance(seconds{10});
    first.role.begin_drain(stop_signal::terminate);
    EXPECT_FALSE(left.has_value());
    first.role.begin_drain(stop_signal::interrupt);
    EXPECT_EQ(left, request_count{2});
}

// A POST without a key may have run on the silent server.
TEST_F(entry_role_test, never_sends_a_post_elsewhere)
{
    auto const caller = first.send("POST");
    advance(seconds{3});
    EXPECT_EQ(first.upstream.calls.size(), 1U);
    EXPECT_TRUE(caller->says(R"("ran":"unknown")"));
}

// An entry whose lease lapsed may hold slots that another one uses.
TEST_F(entry_role_test, waits_shortly_for_its_lease_and_then_refuses)
{
    clock.advance(config::entry_lease);
    EXPECT_FALSE(first.role.is_healthy());
    auto const renewed = first.send("GET");
    EXPECT_FALSE(renewed->started);
    first.leader.renew(clock.now());
    first.role.view_changed();
    EXPECT_EQ(first.upstream.calls.size(), 1U);
    auto const refused = second.send("GET");
    clock.advance(config::lease_renewal_wait);
    EXPECT_TRUE(refused->says("lease_lapsed"));
    EXPECT_TRUE(second.upstream.calls.empty());
}

// Invariants 3 and 6 across entries: a resend elsewhere must not run again,
// whatever step the first entry died in.
TEST_F(entry_role_test, answers_a_resend_elsewhere_without_running_it_again)
{
    auto const lost = first.send("POST", "k1");
    ASSERT_EQ(first.upstream.calls.size(), 1U);
    auto const during = second.send("POST", "k1");
    EXPECT_TRUE(during->says("request_in_progress"));
    log.end_entry(first.leader.view().session());
    auto const after = second.send("POST", "k1");
    EXPECT_TRUE(after->says("outcome_unknown"));

    auto const done = first.send("POST", "k2");
    first.upstream.calls.back()->answer("made");
    EXPECT_EQ(done->body, "made");
    auto const again = second.send("POST", "k2");
    EXPECT_EQ(again->body, "made");
    EXPECT_NE(find_header(again->answer.headers, "Apricotlb-Replayed"),
              nullptr);
    EXPECT_TRUE(second.upstream.calls.empty());
}

// The outcome must be on record before the caller sees it.
TEST_F(entry_role_test, holds_the_answer_until_its_outcome_is_recorded)
{
    auto const caller = first.send("POST", "k");
    log.held = true;
    first.upstream.calls.back()->answer("made");
    EXPECT_FALSE(caller->started);
    log.let_go();
    EXPECT_EQ(caller->body, "made");
    EXPECT_EQ(first.role.in_flight(), request_count{0});
}

// Requests without a key must not wait for the log.
TEST_F(entry_role_test, leaves_the_log_alone_without_a_key)
{
    log.down = true;
    auto const caller = first.send("POST");
    first.upstream.calls.back()->answer("ok");
    EXPECT_EQ(caller->body, "ok");
    EXPECT_TRUE(log.submitted.empty());
}

} // namespace
} // namespace apricotlb
