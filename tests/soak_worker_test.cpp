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
#include <string>

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

    static auto start_with_lease(std::int64_t ms) -> json
    {
        return {{"task", "f1.0.0.0"},
                {"run_id", 1},
                {"spec", "text"},
                {"deadline_ms", ms},
                {"fencing_token", 1}};
    }

    glib_clock clock;
    disturbances disturbed;
    ledger seen{bounds{}, disturbed};
    std::string ip{"127." + std::to_string(claim_octet(0)) + ".0.1"};
    worker_place place{"i0", "z0", "r0", ip + ":8001", ip + ":8002"};
    worker it{clock, seen, 1, place, {ip + ":8003"}};
};

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

} // namespace

} // namespace apricotlb::soak
