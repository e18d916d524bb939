/// Metrics port: counters, gauges and latency histograms (Boost.Histogram),
/// printed in the Prometheus text format 0.0.4.
#ifndef APRICOTLB_ADAPTERS_METRICS_HPP
#define APRICOTLB_ADAPTERS_METRICS_HPP

#include "ports/metrics.hpp"

#include <apricotlb/error.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// Label values kept per metric. Further values are counted as "other", so
/// that callers cannot grow the process's memory by sending new names.
inline constexpr std::size_t max_label_values = 1024;

/// Metrics of one process.
/// By how much a counter has risen.
struct counter_increment
{
    std::string name;
    std::string label;
    std::uint64_t by{0};
};

class metrics
{
public:
    /// Starts with a 0 for every reason of refusal and retry.
    metrics();
    metrics(metrics const&) = delete;
    auto operator=(metrics const&) -> metrics& = delete;
    ~metrics();

    /// Sets the label key and the help text of a metric. The key of others
    /// is "label"; a metric with an empty label prints none.
    auto describe(std::string_view name, std::string_view label_key,
                  std::string_view help) -> void;

    /// Adds 1 to a counter.
    auto count(std::string_view name, std::string_view label) -> void;

    /// Sets a counter that is kept elsewhere.
    auto set_total(std::string_view name, std::string_view label,
                   std::uint64_t n) -> void;

    /// Called before the metrics are read, to set such counters.
    auto on_read(std::function<void()> run) -> void;

    /// Sets a gauge.
    auto set(std::string_view name, std::string_view label, std::int64_t n)
        -> void;

    /// Records a duration; the metric is printed in seconds.
    auto record(std::string_view name, std::string_view label, duration d)
        -> void;

    auto refused(error_kind reason) -> void;
    auto retried(error_kind reason) -> void;

    /// Counters that have risen since the last call, with their increments.
    [[nodiscard]] auto take_increments() -> std::vector<counter_increment>;

    /// All metrics as text.
    [[nodiscard]] auto text() const -> std::string;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

static_assert(metrics_port<metrics>);

} // namespace apricotlb

#endif
