#include "fake_entry.hpp"

#include "core/entry/admission.hpp"
#include "core/entry/retry_policy.hpp"
#include "core/entry/router.hpp"

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

service_capacity const busy{slot_count{8}, slot_count{0}, 1};

auto ticket(std::uint64_t id, std::string const& customer,
            std::string const& prefix, time_point now) -> waiting_request
{
    return {.id = request_id{id},
            .work = {customer_id{customer}, service_name{"s"}, prefix},
            .arrived = now,
            .deadline = now + seconds{4},
            .urgent_latency = milliseconds{200}};
}

service_key const acme{customer_id{"acme"}, service_name{"s"}};

// Head-of-line blocking: a few long reports would hold up every short order
// behind them.
TEST(admission, serves_short_before_long)
{
    admission it{request_count{10}};
    time_point const now{};
    it.learned_times().add_sample(
        {customer_id{"acme"}, service_name{"s"}, "/long"}, milliseconds{400});
    it.learned_times().add_sample(
        {customer_id{"acme"}, service_name{"s"}, "/short"}, milliseconds{2});
    EXPECT_FALSE(it.try_enqueue(ticket(1, "acme", "/long", now), busy, now));
    EXPECT_FALSE(it.try_enqueue(ticket(2, "acme", "/short", now), busy, now));
    EXPECT_EQ(it.front(acme, false)->id, request_id{2});
    it.remove(request_id{2});
    EXPECT_EQ(it.front(acme, false)->id, request_id{1});
    EXPECT_EQ(it.front(acme, true), nullptr);
}

// Short requests that keep arriving must not starve a long one.
TEST(admission, serves_a_long_request_that_waited)
{
    admission it{request_count{10}};
    time_point const now{};
    it.learned_times().add_sample(
        {customer_id{"acme"}, service_name{"s"}, "/long"}, milliseconds{400});
    EXPECT_FALSE(it.try_enqueue(ticket(1, "acme", "/long", now), busy, now));
    auto const later = now + milliseconds{201};
    it.requeue(ticket(2, "acme", "/short", later));
    EXPECT_EQ(it.front(acme, false)->id, request_id{1});
}

// One customer's full queue must not refuse or delay another's requests.
TEST(admission, bounds_each_customer_by_itself)
{
    admission it{request_count{2}};
    time_point const now{};
    EXPECT_FALSE(it.try_enqueue(ticket(1, "acme", "", now), busy, now));
    EXPECT_FALSE(it.try_enqueue(ticket(2, "acme", "", now), busy, now));
    auto const full = it.try_enqueue(ticket(3, "acme", "", now), busy, now);
    ASSERT_TRUE(full);
    EXPECT_EQ(full->reason.kind, error_kind::queue_full);
    EXPECT_TRUE(full->retry_after);
    EXPECT_FALSE(it.try_enqueue(ticket(4, "other", "", now), busy, now));
    it.remove(request_id{1});
    EXPECT_EQ(it.waiting_services().front().first, customer_id{"other"});
}

// A request that would miss its latency anyway only delays others.
TEST(admission, refuses_early_what_would_wait_too_long)
{
    admission it{request_count{1000}};
    time_point const now{};
    work_class const work{customer_id{"acme"}, service_name{"s"}, "/a"};
    it.learned_times().add_sample(work, milliseconds{80});
    auto admitted = 0;
    std::optional<refusal> reason;
    for (std::uint64_t n = 1; n < 100 && !reason; ++n)
    {
        reason = it.try_enqueue(ticket(n, "acme", "/a", now), busy, now);
        admitted += reason ? 0 : 1;
    }
    ASSERT_TRUE(reason);
    EXPECT_EQ(reason->reason.kind, error_kind::deadline_unmeetable);
    // 80% of (200 - 80) ms are 96 ms, or 9.6 requests of 80 ms on 8 slots.
    EXPECT_EQ(admitted, 9);
    EXPECT_TRUE(it.take_expired(now + milliseconds{199}).empty());
    EXPECT_EQ(it.take_expired(now + milliseconds{200}).size(), 9U);
    EXPECT_EQ(it.queued_count(acme), request_count{0});
}

TEST(admission, derives_the_deadline_from_the_contract)
{
    contract it;
    it.urgent_latency = milliseconds{100};
    time_point const now{};
    EXPECT_EQ(deadline_of(it, {}, now), now + seconds{2});
    EXPECT_EQ(deadline_of(it, milliseconds{50}, now), now + milliseconds{50});
    EXPECT_EQ(deadline_of(it, seconds{60}, now), now + seconds{2});
}

// Without a budget a failing service gets three times its load.
TEST(retry_budget, allows_a_tenth_of_the_requests)
{
    retry_budget it;
    customer_id const acme_id{"acme"};
    time_point const now{};
    while (it.spend(acme_id, now))
    {
    }
    auto retries = 0;
    for (auto n = 0; n < 1000; ++n)
    {
        it.add_credit(acme_id, now);
        retries += it.spend(acme_id, now) ? 1 : 0;
    }
    EXPECT_EQ(retries, 100);
    EXPECT_TRUE(it.spend(customer_id{"other"}, now));
    EXPECT_TRUE(it.spend(acme_id, now + seconds{2}));
}

TEST(retry_policy, repeats_only_what_is_safe)
{
    failed_attempt it;
    it.deadline = time_point{seconds{1}};
    it.kind = error_kind::backend_failed;
    EXPECT_FALSE(retry_reason_of(it, {}));
    it.idempotent = true;
    EXPECT_EQ(retry_reason_of(it, {}), retry_reason::failed);
    it.forwarded = true;
    EXPECT_FALSE(retry_reason_of(it, {}));
    it.forwarded = false;
    it.body_forwarded = true;
    it.replayable = false;
    EXPECT_FALSE(retry_reason_of(it, {}));
    it.replayable = true;
    EXPECT_FALSE(retry_reason_of(it, it.deadline));
    it.idempotent = false;
    it.kind = error_kind::backend_refused;
    EXPECT_EQ(retry_reason_of(it, {}), retry_reason::refused);
}

/// A router over a view with servers of one service.
class router_test : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        leader.add_customer("acme", milliseconds{200});
    }

    auto add(std::string const& id, int slots = 8,
             std::string const& zone = "z") -> void
    {
        leader.add_backend(id, "acme", "s", "http://127.0.0.1:1", slots, zone);
        leader.renew(now);
    }

    auto choose_backend() -> std::string
    {
        auto const it = routes.choose_backend(leader.view(), query, now, {});
        return it.has_value() ? it.value().value()
                              : std::string{name_of(it.error().kind)};
    }

    auto end(std::string const& id, attempt_result how = attempt_result::ok)
        -> void
    {
        routes.call_ended(leader.view(), backend_id{id}, how, now);
    }

    fake_leader leader;
    router routes;
    time_point now{seconds{100}};
    route_query query{customer_id{"acme"},
                      service_name{"s"},
                      permille{1000},
                      milliseconds{200},
                      false,
                      {}};
};

// Requests beyond the share would run on slots granted to another entry.
TEST_F(router_test, never_exceeds_the_share)
{
    add("b1");
    leader.grant("b1", 2);
    leader.renew(now);
    EXPECT_EQ(choose_backend(), "b1");
    EXPECT_EQ(choose_backend(), "b1");
    EXPECT_EQ(choose_backend(), "no_backend");
    end("b1");
    EXPECT_EQ(choose_backend(), "b1");
    now += config::entry_lease;
    end("b1");
    EXPECT_EQ(choose_backend(), "no_backend");
}

TEST_F(router_test, keeps_to_the_contracts_part_of_the_slots)
{
    add("b1");
    query.vm_share = permille{250};
    EXPECT_EQ(choose_backend(), "b1");
    EXPECT_EQ(choose_backend(), "b1");
    EXPECT_EQ(choose_backend(), "no_backend");
}

// A long request on the last slot makes every short one wait for it.
TEST_F(router_test, keeps_the_last_slot_for_short_requests)
{
    add("b1", 2);
    query.is_long = true;
    EXPECT_EQ(choose_backend(), "b1");
    EXPECT_EQ(choose_backend(), "no_backend");
    query.is_long = false;
    EXPECT_EQ(choose_backend(), "b1");
}

// Traffic between zones is slow and costly.
TEST_F(router_test, leaves_its_zone_only_when_it_has_to)
{
    add("far", 8, "y");
    add("near", 1);
    EXPECT_EQ(choose_backend(), "near");
    EXPECT_EQ(choose_backend(), "far");
    end("near");
    routes.record_latency(backend_id{"near"}, milliseconds{150}, now);
    routes.record_latency(backend_id{"far"}, milliseconds{1}, now);
    EXPECT_EQ(choose_backend(), "near");
    end("near");
    routes.record_latency(backend_id{"near"}, seconds{2}, now);
    EXPECT_EQ(choose_backend(), "far");
}

TEST_F(router_test, prefers_the_faster_server)
{
    add("b1");
    add("b2");
    EXPECT_EQ(routes.capacity(leader.view(), query, now).usable,
              slot_count{16});
    routes.record_latency(backend_id{"b1"}, milliseconds{100}, now);
    routes.record_latency(backend_id{"b2"}, milliseconds{10}, now);
    for (auto n = 0; n < 8; ++n)
    {
        EXPECT_EQ(choose_backend(), "b2");
    }
    EXPECT_EQ(choose_backend(), "b1");
}

// Ejecting every server of a service would turn slowness into an outage.
TEST_F(router_test, ejects_at_most_half_and_tries_again)
{
    add("b1");
    add("b2");
    EXPECT_EQ(routes.capacity(leader.view(), query, now).servers, 2U);
    for (auto n = 0; n < 2; ++n)
    {
        end("b1", attempt_result::timed_out);
        end("b2", attempt_result::timed_out);
    }
    EXPECT_TRUE(routes.is_ejected(backend_id{"b1"}, now));
    EXPECT_FALSE(routes.is_ejected(backend_id{"b2"}, now));
    now += config::ejection_min;
    leader.renew(now);
    // On probation it gets one request at a time.
    query.avoid = {backend_id{"b2"}};
    EXPECT_EQ(choose_backend(), "b1");
    query.avoid = {};
    EXPECT_EQ(choose_backend(), "b2");
    end("b1", attempt_result::failed);
    EXPECT_TRUE(routes.is_ejected(backend_id{"b1"}, now));
}

// A server that just started has cold caches.
TEST_F(router_test, gives_a_new_server_a_growing_part)
{
    add("b1");
    EXPECT_EQ(choose_backend(), "b1");
    add("b2");
    query.avoid = {backend_id{"b1"}};
    EXPECT_EQ(choose_backend(), "b2");
    EXPECT_EQ(choose_backend(), "b1");
    now += config::slow_start;
    leader.renew(now);
    EXPECT_EQ(choose_backend(), "b2");
}

TEST_F(router_test, sends_nothing_to_a_server_that_left)
{
    add("b1");
    add("b2");
    leader.remove_backend("b1");
    leader.renew(now);
    for (auto n = 0; n < 8; ++n)
    {
        EXPECT_EQ(choose_backend(), "b2");
    }
    EXPECT_EQ(choose_backend(), "no_backend");
}

} // namespace
} // namespace apricotlb
