#include "core/entry/request_flow.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

namespace ev = flow_event;
namespace act = flow_action;

/// One request whose actions are checked step by step.
class flow_test : public testing::Test
{
protected:
    auto make(std::string const& method, bool keyed) -> void
    {
        request_facts facts;
        facts.id = request_id{1};
        facts.customer = customer_id{"acme"};
        facts.method = method;
        if (keyed)
        {
            facts.key = key_name{facts.customer, idempotency_key{"k"}};
        }
        flow.emplace(facts);
    }

    auto step(flow_input const& it) -> std::vector<flow_output> const&
    {
        out = flow->step(it, {now, deadline, budget, true, replayable});
        return out;
    }

    template <class T>
    auto find() -> T const*
    {
        for (auto const& it : out)
        {
            if (auto const* const found = std::get_if<T>(&it))
            {
                return found;
            }
        }
        return nullptr;
    }

    /// Brings a request to its first attempt.
    auto send(std::string const& method, bool keyed = false) -> void
    {
        make(method, keyed);
        step(ev::start{});
        if (keyed)
        {
            step(ev::key_begun{begun()});
        }
        step(ev::dispatched{backend_id{"b1"}});
        ASSERT_NE(find<act::send>(), nullptr);
    }

    static auto begun() -> apply_result
    {
        apply_result it;
        it.key = key_status{true, {}};
        return it;
    }

    // Not inlined: g++ 12 takes the unused value for an uninitialized one.
    [[gnu::noinline]] static auto no_leader() -> result<apply_result>
    {
        return fail(error_kind::no_leader, "");
    }

    static auto ok() -> answer_head
    {
        return {http_status{200}, {}, byte_count{2}};
    }

    static auto broken(error_kind kind) -> result<void>
    {
        return fail(kind, "broken");
    }

    auto failed_with() -> std::optional<error_kind>
    {
        auto const* const it = find<act::fail>();
        return it == nullptr ? std::nullopt
                             : std::optional{it->reason.reason.kind};
    }

    std::optional<request_flow> flow;
    std::vector<flow_output> out;
    retry_budget budget;
    time_point now{};
    time_point deadline{seconds{5}};
    bool replayable{true};
    attempt_number const first{1};
};

// A key that is recorded after the first byte left cannot protect from a
// second run.
TEST_F(flow_test, records_the_key_before_it_queues)
{
    make("POST", true);
    step(ev::start{});
    EXPECT_NE(find<act::begin_key>(), nullptr);
    EXPECT_EQ(find<act::enqueue>(), nullptr);
    step(ev::dispatched{backend_id{"b1"}});
    EXPECT_EQ(find<act::send>(), nullptr);
    step(ev::key_begun{begun()});
    EXPECT_NE(find<act::enqueue>(), nullptr);
}

// A caller that is told an outcome which is not recorded may see another one
// when it resends.
TEST_F(flow_test, answers_a_keyed_request_once_its_outcome_is_recorded)
{
    send("POST", true);
    step(ev::head{first, ok()});
    EXPECT_EQ(find<act::start_answer>(), nullptr);
    step(ev::chunk{first, "ok"});
    step(ev::call_ended{first, outcome::success()});
    auto const* const finish = find<act::finish_key>();
    ASSERT_NE(finish, nullptr);
    EXPECT_EQ(finish->it.outcome->body, "ok");
    EXPECT_EQ(find<act::start_answer>(), nullptr);
    step(ev::key_finished{apply_result{}});
    EXPECT_NE(find<act::end_answer>(), nullptr);
    EXPECT_EQ(flow->phase(), flow_phase::done);
}

// An answer over the recorded limit still reaches its caller in full.
TEST_F(flow_test, streams_a_large_keyed_answer_after_recording_its_head)
{
    send("POST", true);
    step(ev::head{first, ok()});
    std::string const large(
        static_cast<std::size_t>(config::max_recorded_body.value()) + 1, 'x');
    step(ev::chunk{first, large});
    ASSERT_NE(find<act::finish_key>(), nullptr);
    EXPECT_TRUE(find<act::finish_key>()->it.outcome->body_omitted);
    EXPECT_FALSE(flow->may_read_answer());
    step(ev::key_finished{apply_result{}});
    EXPECT_EQ(find<act::write_answer>()->bytes.size(), large.size());
    EXPECT_TRUE(flow->may_read_answer());
    step(ev::chunk{first, "tail"});
    EXPECT_EQ(find<act::write_answer>()->bytes, "tail");
    step(ev::call_ended{first, outcome::success()});
    EXPECT_NE(find<act::end_answer>(), nullptr);
}

TEST_F(flow_test, says_outcome_unknown_when_the_outcome_is_not_recorded)
{
    send("POST", true);
    step(ev::head{first, ok()});
    step(ev::call_ended{first, outcome::success()});
    step(ev::key_finished{no_leader()});
    EXPECT_EQ(failed_with(), error_kind::outcome_unknown);
}

// A resend must get the recorded outcome without running again.
TEST_F(flow_test, replays_a_recorded_outcome)
{
    make("POST", true);
    step(ev::start{});
    apply_result it;
    it.key = key_status{false, key_outcome{http_status{201}, {}, "made", {}}};
    step(ev::key_begun{it});
    ASSERT_NE(find<act::start_answer>(), nullptr);
    auto const& head = find<act::start_answer>()->it;
    EXPECT_EQ(head.status, http_status{201});
    EXPECT_NE(find_header(head.headers, "apricotlb-replayed"), nullptr);
    EXPECT_EQ(find<act::write_answer>()->bytes, "made");
    EXPECT_EQ(find<act::enqueue>(), nullptr);
}

// A key that stays taken after its request was refused blocks the resend.
TEST_F(flow_test, frees_the_key_before_it_reports_a_refusal)
{
    make("POST", true);
    step(ev::start{});
    step(ev::key_begun{begun()});
    step(ev::refused{{{error_kind::queue_full, ""}, {}}});
    EXPECT_NE(find<act::release_key>(), nullptr);
    EXPECT_FALSE(failed_with());
    step(ev::key_released{apply_result{}});
    EXPECT_EQ(failed_with(), error_kind::queue_full);
}

// Invariant 6: after the first byte nobody knows whether a POST ran.
TEST_F(flow_test, never_repeats_a_post_that_may_have_run)
{
    for (auto const kind :
         {error_kind::backend_failed, error_kind::backend_cut_answer})
    {
        for (auto const keyed : {false, true})
        {
            send("POST", keyed);
            step(ev::call_ended{first, broken(kind)});
            EXPECT_EQ(failed_with(), kind);
            EXPECT_EQ(find<act::enqueue>(), nullptr);
            EXPECT_EQ(find<act::finish_key>() != nullptr, keyed);
        }
    }
}

// Invariant 5: a refusal after an attempt that may have run must not say that
// the request did not run.
TEST_F(flow_test, never_says_not_run_after_an_attempt_that_may_have_run)
{
    send("GET");
    step(ev::call_ended{first, broken(error_kind::backend_failed)});
    ASSERT_NE(find<act::enqueue>(), nullptr);
    step(ev::refused{{{error_kind::no_backend, ""}, {}}});
    EXPECT_EQ(failed_with(), error_kind::backend_failed);
    send("GET");
    step(ev::call_ended{first, broken(error_kind::backend_failed)});
    step(ev::deadline_passed{});
    EXPECT_EQ(failed_with(), error_kind::backend_failed);
}

// Invariant 4: an answer of an earlier attempt belongs to nobody.
TEST_F(flow_test, ignores_events_of_earlier_attempts)
{
    send("GET");
    step(ev::answer_timed_out{first});
    EXPECT_NE(find<act::cancel_call>(), nullptr);
    step(ev::dispatched{backend_id{"b2"}});
    EXPECT_TRUE(step(ev::head{first, ok()}).empty());
    EXPECT_TRUE(step(ev::chunk{first, "late"}).empty());
    EXPECT_TRUE(step(ev::call_ended{first, outcome::success()}).empty());
    attempt_number const second{2};
    step(ev::head{second, ok()});
    EXPECT_NE(find<act::start_answer>(), nullptr);
    EXPECT_TRUE(step(ev::head{second, ok()}).empty());
}

TEST_F(flow_test, cuts_an_answer_that_broke_off)
{
    send("GET");
    step(ev::head{first, ok()});
    step(ev::call_ended{first, broken(error_kind::backend_cut_answer)});
    EXPECT_NE(find<act::cut_answer>(), nullptr);
    EXPECT_EQ(find<act::end_answer>(), nullptr);
    EXPECT_EQ(find<act::enqueue>(), nullptr);
}

// A slot that is not given back is lost for good.
TEST_F(flow_test, gives_back_a_slot_that_came_too_late)
{
    make("GET", false);
    step(ev::start{});
    step(ev::caller_disconnected{});
    EXPECT_NE(find<act::leave_queue>(), nullptr);
    step(ev::dispatched{backend_id{"b1"}});
    EXPECT_NE(find<act::free_slot>(), nullptr);
}

// A caller that comes back must find the outcome of its keyed request.
TEST_F(flow_test, records_the_outcome_of_a_caller_that_left)
{
    send("POST", true);
    step(ev::caller_disconnected{});
    EXPECT_EQ(find<act::cancel_call>(), nullptr);
    step(ev::head{first, ok()});
    step(ev::call_ended{first, outcome::success()});
    EXPECT_NE(find<act::finish_key>(), nullptr);
    step(ev::key_finished{apply_result{}});
    EXPECT_EQ(flow->phase(), flow_phase::done);
}

// At the deadline each phase ends with what is known of the request then.
TEST_F(flow_test, ends_at_its_deadline_in_every_phase)
{
    make("POST", true);
    step(ev::start{});
    step(ev::deadline_passed{});
    EXPECT_EQ(failed_with(), error_kind::deadline_unmeetable);
    EXPECT_NE(find<act::release_key>(), nullptr);
    send("POST", true);
    step(ev::deadline_passed{});
    EXPECT_EQ(failed_with(), error_kind::deadline_exceeded);
    EXPECT_NE(find<act::cancel_call>(), nullptr);
    EXPECT_FALSE(find<act::finish_key>()->it.outcome);
    send("POST", true);
    step(ev::head{first, ok()});
    step(ev::call_ended{first, outcome::success()});
    step(ev::deadline_passed{});
    EXPECT_EQ(failed_with(), error_kind::outcome_unknown);
}

// A worker at its limit refuses unrun; even a keyed POST may go elsewhere.
TEST_F(flow_test, sends_a_request_refused_unrun_to_another_server)
{
    send("POST", true);
    step(ev::head{first, {http_status{503}, {{"apricotlb-ran", "no"}}, {}}});
    ASSERT_NE(find<act::retry>(), nullptr);
    EXPECT_EQ(find<act::retry>()->reason, retry_reason::refused);
    EXPECT_EQ(find<act::start_answer>(), nullptr);
}

/// Every kind of request, as far as it decides about retries.
struct request_kind
{
    std::string method;
    bool keyed;
    bool replayable;
};
constexpr auto all_failures = {error_kind::backend_failed,
                               error_kind::backend_timeout,
                               error_kind::backend_cut_answer};

// A request that ends the process of each server that runs it must not be
// passed on through the whole service.
TEST_F(flow_test, reaches_few_servers_when_each_ends_without_an_answer)
{
    for (auto const& kind :
         {request_kind{"GET", false, true}, request_kind{"PUT", false, true},
          request_kind{"PUT", false, false}, request_kind{"POST", false, true},
          request_kind{"GET", true, true}, request_kind{"POST", true, true}})
    {
        for (auto const failure : all_failures)
        {
            budget = {};
            replayable = kind.replayable;
            make(kind.method, kind.keyed);
            step(ev::start{});
            if (kind.keyed)
            {
                step(ev::key_begun{begun()});
            }
            auto servers = 0;
            while (flow->phase() == flow_phase::queued && servers < 100)
            {
                ++servers;
                step(ev::dispatched{backend_id{"b" + std::to_string(servers)}});
                step(ev::call_ended{flow->attempt(), broken(failure)});
            }
            auto const may_repeat =
                kind.method != "POST" && !kind.keyed && kind.replayable;
            EXPECT_EQ(servers, may_repeat ? config::max_attempts : 1)
                << kind.method << kind.keyed << kind.replayable;
            EXPECT_EQ(find<act::finish_key>() != nullptr, kind.keyed);
        }
    }
}

// Servers that refuse a request unrun must not add to those that it may end.
TEST_F(flow_test, counts_refused_attempts_with_those_that_broke)
{
    send("GET");
    step(ev::head{first, {http_status{503}, {{"apricotlb-ran", "no"}}, {}}});
    auto servers = 1;
    while (flow->phase() == flow_phase::queued && servers < 100)
    {
        ++servers;
        step(ev::dispatched{backend_id{"b" + std::to_string(servers)}});
        step(ev::call_ended{flow->attempt(),
                            broken(error_kind::backend_failed)});
    }
    EXPECT_EQ(servers, config::max_attempts);
}

// Many such requests of one customer would otherwise each end several servers.
TEST_F(flow_test, bounds_the_repeats_of_a_customer_by_its_budget)
{
    constexpr auto requests = 100;
    auto servers = 0;
    for (auto n = 0; n < requests; ++n)
    {
        make("GET", false);
        budget.add_credit(flow->facts().customer, now);
        step(ev::start{});
        while (flow->phase() == flow_phase::queued)
        {
            ++servers;
            step(ev::dispatched{backend_id{"b" + std::to_string(servers)}});
            step(ev::call_ended{flow->attempt(),
                                broken(error_kind::backend_failed)});
        }
    }
    auto const repeats = config::min_retry_credit +
                         requests * config::retry_ratio.value() / 1000;
    EXPECT_LE(servers, requests + repeats);
}

} // namespace
} // namespace apricotlb
