/// Learned model of how batch tasks slow down services on the same worker.
#ifndef APRICOTLB_CORE_SCHEDULING_INTERFERENCE_HPP
#define APRICOTLB_CORE_SCHEDULING_INTERFERENCE_HPP

#include "core/scheduling/refs.hpp"
#include "core/state/commands.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <concepts>
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
    time_point taken; ///< middle of the measurement window
};

/// Estimated effect of one kind of batch work on one service.
struct pair_estimate
{
    /// By one unthrottled task, in the unit of the effect_scale.
    permille slowdown;
    bool is_reliable{false}; ///< based on enough recent samples
};

/// Effects are fractions of the baseline latency and add up. Used for services
/// that report their load with each measurement, so that measurements at equal
/// load are compared and their variance is low.
struct added_effects
{
    /// The effect of an unmeasured pair may be up to about 1.5.
    static constexpr float initial_variance = 0.25F;
    /// The standard deviation of a measured p99 is about 15%.
    static constexpr float noise_variance = 0.02F;
    static constexpr float reliable_variance =
        noise_variance / static_cast<float>(config::min_reliable_samples);
    static constexpr permille default_effect{config::default_slowdown};
    /// Reports of workers arrive late by up to this time.
    static constexpr duration history = config::measurement_history;
    /// A slowdown of more than 20 times is a failure of the server, not
    /// interference.
    static constexpr float min_effect = 0.0F;
    static constexpr float max_effect = 20.0F;

    [[nodiscard]] static auto effect(float ratio) -> float { return ratio - 1; }
    [[nodiscard]] static auto ratio(float sum) -> float { return 1 + sum; }
    /// Measurement noise grows in proportion to the latency.
    [[nodiscard]] static auto scale(float sum) -> float { return 1 + sum; }
};

/// Effects are logarithms of factors on the baseline latency, so that the
/// factors of several tasks multiply. Used for tasks that report their tail
/// latency without their load; a change of load raises or lowers the tail
/// latency by up to a half and lasts for seconds.
struct multiplied_effects
{
    /// An unmeasured pair may raise the latency to about three times the
    /// baseline.
    static constexpr float initial_variance = 0.25F;
    /// The standard deviation of a measurement is about 0.3, a variance of 0.1.
    /// Successive measurements of one task are correlated while its load stays
    /// the same, so three count as one.
    static constexpr float noise_variance = 0.3F;
    /// A standard deviation of 0.14.
    static constexpr float reliable_variance = 0.02F;
    static constexpr permille default_effect{config::default_effect};
    /// Samples are dated to a quarter of a second ago. Each sample looks at all
    /// tasks of its worker that are kept.
    static constexpr duration history = std::chrono::seconds{2};
    /// Below 0, because clamping noise at 0 would bias the estimate upwards.
    static constexpr float min_effect = -0.5F;
    static constexpr float max_effect = 3.0F; ///< 20 times the latency

    [[nodiscard]] static auto effect(float ratio) -> float
    {
        return std::log(std::max(ratio, min_ratio));
    }
    [[nodiscard]] static auto ratio(float sum) -> float
    {
        return std::exp(sum);
    }
    [[nodiscard]] static auto scale(float /*sum*/) -> float { return 1; }

private:
    /// Latencies are reported in whole milliseconds and may be 0, whose
    /// logarithm is infinite.
    static constexpr float min_ratio = 0.2F;
};

/// How the effects of several tasks on one service are combined, and how noisy
/// the measurements are.
template <class T>
concept effect_scale = requires(float it) {
    {
        T::effect(it)
    } -> std::same_as<float>;
    {
        T::ratio(it)
    } -> std::same_as<float>;
    {
        T::scale(it)
    } -> std::same_as<float>;
    {
        T::initial_variance + T::noise_variance + T::reliable_variance
    };
    {
        T::min_effect + T::max_effect
    };
    {
        T::default_effect
    } -> std::convertible_to<permille>;
    {
        T::history
    } -> std::convertible_to<duration>;
};

/// Learns one effect per pair of batch kind and service. Each measurement is
/// compared with the service's baseline latency at the same load, and the
/// difference is attributed to the tasks that ran on the worker when the
/// measurement was taken. The update is a Kalman step with one variance per
/// estimate, so that the error of new pairs changes reliable ones little.
template <effect_scale Scale>
class interference_model
{
public:
    auto started(worker_ref worker, task_ref task, kind_ref kind, time_point at)
        -> void;
    auto throttled(worker_ref worker, task_ref task, permille to, time_point at)
        -> void;
    auto ended(worker_ref worker, task_ref task, time_point at) -> void;

    /// Removes the recorded tasks of a worker.
    auto remove(worker_ref worker) -> void;

    auto learn(latency_sample const& it) -> void;

    [[nodiscard]] auto estimate(kind_ref kind, service_ref service,
                                time_point now) const -> pair_estimate;

    /// Expected slowdown of a service by all batch tasks that run on the worker
    /// now. With `full_speed` set, every task counts as unthrottled.
    [[nodiscard]] auto expected_slowdown(worker_ref worker, service_ref service,
                                         time_point now, bool full_speed) const
        -> permille;

    /// Latency of the service without batch work at its average load; 0 before
    /// the first measurement.
    [[nodiscard]] auto baseline_latency(service_ref service) const
        -> milliseconds;

    /// Whether the worker runs a kind of batch work whose effect on this
    /// service has no reliable estimate yet.
    [[nodiscard]] auto has_unreliable_pair(worker_ref worker,
                                           service_ref service,
                                           time_point now) const -> bool;

    /// Estimates with at least one sample, to be recorded in the log.
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
                     to_permille(it.slowdown), samples});
            }
        }
        return all;
    }

    auto restore(kind_ref kind, service_ref service, permille slowdown,
                 std::uint32_t samples, time_point now) -> void;

    /// Number of pairs.
    [[nodiscard]] auto size() const -> std::size_t { return pairs_.size(); }

private:
    /// The time during which one task ran on a worker, with its throttling.
    struct task_interval
    {
        task_ref task;
        kind_ref kind;
        time_point from;
        time_point to{time_point::max()};
        time_point speed_changed_at{};
        float speed{1};          ///< fraction of the unthrottled speed
        float previous_speed{1}; ///< before speed_changed_at
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
        std::array<float, load_buckets>
            baseline_latency{}; ///< ms; 0: not measured
        std::array<float, load_buckets>
            baseline_variance{};   ///< relative to the baseline
        float mean_load_bucket{0}; ///< moving average
        bool measured{false};
    };
    /// Tasks of one kind at the time of a measurement, weighted by their speed.
    struct running_kind
    {
        kind_ref kind;
        float tasks{0};
    };

    static auto key_of(kind_ref kind, service_ref service) -> std::uint64_t
    {
        return (std::uint64_t{kind.value()} << 32U) | service.value();
    }
    static auto to_permille(float it) -> permille;
    static auto samples_of(float variance) -> std::uint32_t;
    static auto variance_at(pair_entry const& it, time_point now) -> float;
    static auto bucket_of(request_count requests) -> std::size_t;
    [[nodiscard]] auto kinds_running_at(worker_ref worker, time_point at) const
        -> std::vector<running_kind>;

    std::vector<std::vector<task_interval>> workers_;
    std::unordered_map<std::uint64_t, pair_entry> pairs_;
    std::vector<service_entry> services_;
};

using service_interference = interference_model<added_effects>;

extern template class interference_model<added_effects>;
extern template class interference_model<multiplied_effects>;

} // namespace apricotlb

#endif
