/// The stand-in of the soak for a worker keeps to its lease.
#include "adapters/glib_clock.hpp"
#include "soak/http.hpp"
#include "soak/ledger.hpp"
#include "soak/processes.hpp"
#include "soak/worker.hpp"

#include <glib.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <poll.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace apricotlb::soak
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

class soak_worker : public testing::Test
{
protected:
    soak_worker()
    {
        workflow_plan plan;
        plan.id = "f1";
        plan.spec = "text";
        plan.steps.resize(1);
        plan.steps[0].run_time = milliseconds{400};
        seen.on_submission(plan);
        it.start(true);
    }

    /// Calls the worker and waits for its answer.
    auto call(std::string const& path, json const& body) -> json
    {
        http_connection connection{clock, place.listen_at};
        json out;
        auto is_done = false;
        connection.call({"POST", path, place.listen_at, body.dump()},
                        [&](call_result const& got)
                        {
                            is_done = true;
                            out = json::parse(got.answer.body, nullptr, false);
                        });
        auto const end = clock.now() + std::chrono::seconds{5};
        while (!is_done && clock.now() < end)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        return out;
    }

    auto start_with_lease(std::int64_t ms) -> json
    {
        auto const lists = call("/hold", {{"fencing_token", 1}});
        return {{"task", "f1.0.0.0"},
                {"run_id", 1},
                {"spec", "text"},
                {"deadline_ms", lists.value("clock_ms", std::int64_t{0}) + ms},
                {"fencing_token", 1}};
    }

    /// Polls with the longest lease, sent through the proxy.
    auto poll_life() -> void
    {
        constexpr auto far_ahead = std::int64_t{1} << 40;
        for (auto& poll : polls)
        {
            poll = std::make_unique<http_connection>(clock, place.proxy_at);
            poll->call(
                {"POST", "/hold", place.proxy_at,
                 json{{"fencing_token", 1}, {"deadline_ms", far_ahead}}.dump()},
                [](call_result const&) {});
        }
        run_for(milliseconds{50});
    }
    auto run_for(duration time) -> void
    {
        auto is_over = false;
        clock.start_timer(time, [&] { is_over = true; });
        while (!is_over)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
    }
    /// How a run with a lease of 300 ms ends that is started now.
    auto end_of_short_lease() -> std::string
    {
        EXPECT_TRUE(
            call("/run-start", start_with_lease(300)).contains("clock_ms"));
        run_for(milliseconds{800});
        auto const lists =
            call("/hold", {{"fencing_token", 1}, {"ack_cursor", 0}});
        EXPECT_EQ(lists["finished"].size(), 1U) << lists;
        return lists["finished"][0][3];
    }

    glib_clock clock;
    disturbances disturbed;
    ledger seen{bounds{}, disturbed};
    std::string ip{"127." + std::to_string(claim_octet(0)) + ".0.1"};
    worker_place place{"i0", "z0", "r0", ip + ":8001", ip + ":8002"};
    worker it{clock, seen, 1, place, {ip + ":8003"}};
    std::vector<std::unique_ptr<http_connection>> polls{8};
};

// Work that fits on unreachable workers alone would count as able to run.
TEST_F(soak_worker, takes_no_starts_while_its_links_are_cut)
{
    EXPECT_TRUE(it.room().takes_starts);
    it.links().set_harm({.holds_requests = true});
    EXPECT_FALSE(it.room().takes_starts);
    it.links().set_harm({.holds_answers = true});
    EXPECT_FALSE(it.room().takes_starts);
    it.links().set_harm({.delay = milliseconds{100}});
    EXPECT_TRUE(it.room().takes_starts);
}

// A soak that stands still would report what a real worker can't do.
TEST_F(soak_worker, ends_nothing_as_done_after_its_lease)
{
    ASSERT_TRUE(call("/run-start", start_with_lease(300)).contains("clock_ms"));
    ::poll(nullptr, 0, 800);
    auto const lists = call("/hold", {{"fencing_token", 1}, {"ack_cursor", 0}});
    ASSERT_EQ(lists["finished"].size(), 1U) << lists;
    EXPECT_EQ(lists["finished"][0][3], "lapsed");
}

TEST_F(soak_worker, ends_as_done_within_its_lease)
{
    ASSERT_TRUE(
        call("/run-start", start_with_lease(5000)).contains("clock_ms"));
    ::poll(nullptr, 0, 800);
    auto const lists = call("/hold", {{"fencing_token", 1}, {"ack_cursor", 0}});
    ASSERT_EQ(lists["finished"].size(), 1U) << lists;
    EXPECT_NE(lists["finished"][0][3], "lapsed");
}

// The lease of a poll that was meant for the former life outlasts the one that
// the leader knows of, so that a task runs twice; the soak has to show it.
TEST_F(soak_worker, carries_out_a_poll_of_its_former_life)
{
    it.crash(true);
    poll_life();
    it.start(true);
    EXPECT_NE(end_of_short_lease(), "lapsed");
}

TEST_F(soak_worker, knows_nothing_of_a_poll_that_was_reset)
{
    it.crash(true);
    poll_life();
    it.links().reset_connections();
    it.start(true);
    EXPECT_EQ(end_of_short_lease(), "lapsed");
}

// Deadlines of a former life would always lie ahead.
TEST_F(soak_worker, begins_each_life_anywhere_on_its_clock)
{
    auto const clock_ms = [this]
    {
        return call("/hold", {{"fencing_token", 1}})
            .value("clock_ms", std::int64_t{0});
    };
    auto last = clock_ms();
    auto steps_back = 0;
    for (auto n = 0; n < 20; ++n)
    {
        it.crash(false);
        it.start(true);
        auto const now = clock_ms();
        steps_back += now < last ? 1 : 0;
        last = now;
    }
    EXPECT_GT(steps_back, 3);
    EXPECT_LT(steps_back, 17);
}

// A worker that can be heard, while no call reaches it, is not cut off.
TEST_F(soak_worker, announces_nothing_while_it_is_cut_off)
{
    auto heard = 0;
    http_server control{[&](http_text const&, http_server::reply const& reply)
                        {
                            ++heard;
                            reply(200, "{}");
                        }};
    ASSERT_TRUE(control.open(ip + ":8003"));
    it.links().set_harm({.holds_announcements = true});
    run_for(milliseconds{1300});
    heard = 0;
    run_for(milliseconds{1500});
    EXPECT_EQ(heard, 0);
    it.links().set_harm({});
    run_for(milliseconds{1500});
    EXPECT_GT(heard, 0);
}

// A worker whose clock was set back is born before its former life, and
// nothing else of it changes.
TEST_F(soak_worker, is_born_by_its_own_time_of_day)
{
    auto const born = [this]
    {
        return call("/hold", {{"fencing_token", 1}})
            .value("born", std::int64_t{0});
    };
    auto const first = born();
    it.step_clock(std::chrono::seconds{-30});
    EXPECT_EQ(born(), first);
    EXPECT_EQ(end_of_short_lease(), "lapsed");
    it.crash(false);
    it.start(true);
    auto const second = born();
    EXPECT_LT(second, first - 25'000);
    EXPECT_GE(second, first - 30'000);
}

} // namespace

} // namespace apricotlb::soak
