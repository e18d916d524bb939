#include "core/entry/load_report.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

namespace apricotlb
{
namespace
{

constexpr time_point start{};
service_key const reports{customer_id{"acme"}, service_name{"reports"}};
backend_id const server{"b1"};

// A service that is left out gets no slots; one that stays after its last
// request keeps slots from others.
TEST(load_report, lists_services_that_run_or_wait)
{
    load_report it;
    admission queues{request_count{10}};
    it.call_started(reports);
    it.call_started(reports);
    queues.requeue({.id = request_id{1},
                    .work = {customer_id{"other"}, service_name{"s"}, "/"},
                    .arrived = start,
                    .deadline = start + seconds{4},
                    .urgent_latency = milliseconds{200}});
    auto const both = it.demand(queues);
    ASSERT_EQ(both.size(), 2U);
    EXPECT_EQ(both[0].customer, reports.first);
    EXPECT_EQ(both[0].running, request_count{2});
    EXPECT_EQ(both[0].queued, request_count{0});
    EXPECT_EQ(both[1].customer, customer_id{"other"});
    EXPECT_EQ(both[1].running, request_count{0});
    EXPECT_EQ(both[1].queued, request_count{1});
    it.call_ended(reports);
    it.call_ended(reports);
    it.call_ended(reports); // one too many does not go below zero
    queues.remove(request_id{1});
    EXPECT_TRUE(it.demand(queues).empty());
}

// Latencies of minutes ago would throttle batch tasks that hurt nobody now.
TEST(load_report, forgets_samples_older_than_the_window)
{
    load_report it;
    it.sample(server, milliseconds{900}, start);
    auto const late = start + config::load_window;
    it.sample(server, milliseconds{10}, late);
    EXPECT_EQ(it.latency(late).at(0).requests, request_count{2});
    auto const later = it.latency(late + duration{1});
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].backend, server);
    EXPECT_EQ(later[0].requests, request_count{1});
    EXPECT_EQ(later[0].p99, milliseconds{10});
    EXPECT_TRUE(it.latency(late + config::load_window + duration{1}).empty());
}

// A window that grows with the request rate would fill the entry's memory; a
// full one must drop its oldest samples and not its newest.
TEST(load_report, keeps_the_newest_samples_of_a_busy_server)
{
    load_report it;
    for (std::size_t n = 0; n < config::load_samples; ++n)
    {
        it.sample(server, milliseconds{900}, start);
    }
    for (std::size_t n = 0; n < config::load_samples; ++n)
    {
        it.sample(server, milliseconds{10}, start);
    }
    auto const got = it.latency(start);
    ASSERT_EQ(got.size(), 1U);
    EXPECT_EQ(got[0].requests, request_count{config::load_samples});
    EXPECT_EQ(got[0].p99, milliseconds{10});
}

} // namespace
} // namespace apricotlb
