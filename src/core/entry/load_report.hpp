/// The load that an entry reports with each heartbeat.
#ifndef APRICOTLB_CORE_ENTRY_LOAD_REPORT_HPP
#define APRICOTLB_CORE_ENTRY_LOAD_REPORT_HPP

#include "core/entry/admission.hpp"
#include "core/messages.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// Counts the running calls of each service and keeps recent latencies of each
/// backend server.
class load_report
{
public:
    auto call_started(service_key const& key) -> void;
    auto call_ended(service_key const& key) -> void;
    auto sample(backend_id const& id, duration latency, time_point now) -> void;

    /// Running and queued requests of each service that has any.
    [[nodiscard]] auto demand(admission& queues) const
        -> std::vector<service_demand>;
    /// Latency percentiles within config::load_window; older samples are
    /// discarded.
    [[nodiscard]] auto latency(time_point now) -> std::vector<latency_report>;

private:
    struct timed_latency
    {
        time_point measured_at;
        duration latency;
    };

    /// Ring buffer of the newest samples.
    struct sample_window
    {
        std::vector<timed_latency> samples;
        std::size_t next{0};
    };

    std::map<service_key, request_count> running_;
    std::unordered_map<backend_id, sample_window> windows_;
};

} // namespace apricotlb

#endif
