/// What batch work costs services on the same worker, as learned.
#ifndef APRICOTLB_CORE_SCHEDULING_INTERFERENCE_HPP
#define APRICOTLB_CORE_SCHEDULING_INTERFERENCE_HPP

#include "core/scheduling/refs.hpp"
#include "core/state/commands.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// One latency measurement of a service on a worker.
struct latency_sample
{
    worker_ref worker;
    service_ref service;
    milliseconds p99{};
    request_count requests;
    time_point taken; ///< middle of the measured window
};

/// What is known of one pair.
struct pair_estimate
{
    permille slowdown; ///< of the service by one unthrottled task
    bool trusted{false};
};

/// Learns one slowdown per pair of batch kind and service. A measurement is
/// compared with the service's undisturbed latency at the same load, and the
/// difference is charged to what ran on the worker when it was taken. The
/// charge is a Kalman step with one variance per value, so that well known
/// pairs do not take up the error of new ones.
class interference
{
public:
    auto started(worker_ref worker, task_ref task, kind_ref kind, time_point at)
        -> void;
    auto throttled(worker_ref worker, task_ref task, permille to, time_point at)
        -> void;
    auto ended(worker_ref worker, task_ref task, time_point at) -> void;

    /// Forgets a worker's history.
    auto forget(worker_ref worker) -> void;

    auto learn(latency_sample const& it) -> void;

    [[nodiscard]] auto estimate(kind_ref kind, service_ref service,
                                time_point now) const -> pair_estimate;

    /// Expected slowdown of a service by all that runs on the worker now.
    /// Throttling is left out if `full_speed`.
    [[nodiscard]] auto expected(worker_ref worker, service_ref service,
                                time_point now, bool full_speed) const
        -> permille;

    /// Latency of the service without batch work at its usual load.
    [[nodiscard]] auto undisturbed(service_ref service) const -> milliseconds;

    /// Whether a kind that was never measured with this service runs on the
    /// worker already.
    [[nodiscard]] auto has_untrusted(worker_ref worker, service_ref service,
                                     time_point now) const -> bool;

    /// The learned pairs, for the log.
    template <class Kinds, class Services>
    [[nodiscard]] auto summary(Kinds const& kinds, Services const& services,
                               time_point now) const
        -> std::vector<interference_entry>
    {
        std::vector<interference_entry> all;
        for (auto const& [key, it] : pairs_)
        {
            auto const samples = samples_of(variance_at(it, now));
            if (samples > 0)
            {
                all.push_back(
                    {kinds.id(kind_ref{static_cast<std::uint32_t>(key >> 32U)}),
                     services.id(service_ref{static_cast<std::uint32_t>(key)}),
                     in_permille(it.slowdown), samples});
            }
        }
        return all;
    }

    auto restore(kind_ref kind, service_ref service, permille slowdown,
                 std::uint32_t samples, time_point now) -> void;

    /// Pairs that are kept.
    [[nodiscard]] auto size() const -> std::size_t { return pairs_.size(); }

private:
    /// One task's presence on a worker.
    struct span_entry
    {
        task_ref task;
        kind_ref kind;
        time_point from;
        time_point to{time_point::max()};
        time_point throttle_at{};
        float throttle{1};
        float throttle_before{1};
    };
    struct pair_entry
    {
        float slowdown{0};
        float variance{0};
        time_point updated;
    };
    static constexpr std::size_t load_buckets = 16;
    struct service_entry
    {
        std::array<float, load_buckets> undisturbed{}; ///< ms; 0: not measured
        std::array<float, load_buckets> variance{};    ///< relative
        float usual_load{0};
        bool measured{false};
    };
    /// Unthrottled tasks of one kind at the time of a measurement.
    struct present_kind
    {
        kind_ref kind;
        float tasks{0};
    };

    static auto key_of(kind_ref kind, service_ref service) -> std::uint64_t
    {
        return (std::uint64_t{kind.value()} << 32U) | service.value();
    }
    static auto in_permille(float it) -> permille;
    static auto samples_of(float variance) -> std::uint32_t;
    static auto variance_at(pair_entry const& it, time_point now) -> float;
    static auto bucket_of(request_count requests) -> std::size_t;
    [[nodiscard]] auto present(worker_ref worker, time_point at) const
        -> std::vector<present_kind>;

    std::vector<std::vector<span_entry>> workers_;
    std::unordered_map<std::uint64_t, pair_entry> pairs_;
    std::vector<service_entry> services_;
};

} // namespace apricotlb

#endif
