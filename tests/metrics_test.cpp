#include "adapters/metrics.hpp"
#include "core/entry/retry_policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace apricotlb
{
namespace
{

// A counter that appears with its first event hides that event from rates.
TEST(metrics, starts_with_zero_for_each_reason)
{
    metrics const it;
    auto const text = it.text();
    for (std::size_t n = 0; n < error_kind_count; ++n)
    {
        std::string const name{name_of(static_cast<error_kind>(n))};
        EXPECT_NE(
            text.find("apricotlb_refusals_total{reason=\"" + name + "\"} 0\n"),
            std::string::npos);
        EXPECT_NE(
            text.find("apricotlb_retries_total{reason=\"" + name + "\"} 0\n"),
            std::string::npos);
    }
    for (auto const reason : retry_reasons)
    {
        std::string const name{name_of(reason)};
        EXPECT_NE(
            text.find("apricotlb_retries_total{reason=\"" + name + "\"} 0\n"),
            std::string::npos);
    }
}

TEST(metrics, counts_refusals_and_retries_apart)
{
    metrics it;
    it.refused(error_kind::queue_full);
    it.refused(error_kind::queue_full);
    it.retried(error_kind::queue_full);
    auto const text = it.text();
    EXPECT_NE(text.find("refusals_total{reason=\"queue_full\"} 2\n"),
              std::string::npos);
    EXPECT_NE(text.find("retries_total{reason=\"queue_full\"} 1\n"),
              std::string::npos);
}

// Buckets are cumulative; the last must equal the count.
TEST(metrics, prints_cumulative_buckets_in_seconds)
{
    metrics it;
    it.describe("latency_seconds", "service", "Time to the full answer.");
    it.record("latency_seconds", "up\"load", milliseconds{3});
    it.record("latency_seconds", "up\"load", milliseconds{100});
    it.record("latency_seconds", "up\"load", seconds{1000});
    auto const text = it.text();
    EXPECT_NE(text.find("# TYPE latency_seconds histogram\n"),
              std::string::npos);
    EXPECT_NE(text.find("latency_seconds_bucket{service=\"up\\\"load\","
                        "le=\"0.004\"} 1\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("le=\"0.128\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("le=\"+Inf\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_count{service=\"up\\\"load\"} 3\n"),
              std::string::npos);
}

// Names that callers choose must not grow the process's memory.
TEST(metrics, counts_label_values_over_the_bound_as_other)
{
    metrics it;
    for (std::size_t n = 0; n < 2 * max_label_values; ++n)
    {
        it.count("requests_total", std::to_string(n));
    }
    auto const text = it.text();
    EXPECT_NE(text.find("requests_total{label=\"other\"} 1024\n"),
              std::string::npos);
    EXPECT_LT(std::ranges::count(text, '\n'), 1200);
}

// Periodic log lines need what happened since the last line, not since the
// start.
TEST(metrics, reports_each_increment_of_a_counter_once)
{
    metrics it;
    it.count("orders", "done");
    it.count("orders", "done");
    it.count("orders", "late");
    EXPECT_EQ(it.take_increments().size(), 2U);
    EXPECT_TRUE(it.take_increments().empty());
    it.count("orders", "done");
    auto const risen = it.take_increments();
    ASSERT_EQ(risen.size(), 1U);
    EXPECT_EQ(risen[0].label, "done");
    EXPECT_EQ(risen[0].by, 1U);
}

TEST(metrics, prints_gauges_and_empty_labels)
{
    metrics it;
    it.set("queue_length", "", 7);
    it.set("queue_length", "", 5);
    EXPECT_NE(it.text().find("queue_length 5\n"), std::string::npos);
}

} // namespace
} // namespace apricotlb
