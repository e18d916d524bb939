/// What batch work costs services on the same worker, as learned.
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
    time_point taken; ///< middle of the measured window
};

/// What is known of one pair.
struct pair_estimate
{
    permille slowdown; ///< by one unthrottled task, as the scale counts it
    bool trusted{false};
};

/// Effects are shares of the undisturbed latency and add up. For services whose
/// load is known with each measurement, so that figures scatter little.
struct added_effects
{
    /// A new pair may be anything up to about 1.5.
    static constexpr float new_variance = 0.25F;
    /// A measured p99 scatters by about 15%.
    static constexpr float noise_variance = 0.02F;
    static constexpr float trusted_variance =
        noise_variance / static_cast<float>(config::min_reliable_samples);
    static constexpr permille unseen{config::default_slowdown};
    /// A slowdown above 20 times is a failure of the server.
    static constexpr float least = 0.0F;
    static constexpr float largest = 20.0F;

    [[nodiscard]] static auto effect(float ratio) -> float { return ratio - 1; }
    [[nodiscard]] static auto ratio(float sum) -> float { return 1 + sum; }
    /// Scatter grows with the latency.
    [[nodiscard]] static auto scale(float sum) -> float { return 1 + sum; }
};

/// Effects are logarithms of factors on the undisturbed latency: disturbances
/// multiply. For tasks that report a tail without the load behind it, which
/// moves the tail by a half either way and stays for seconds.
struct multiplied_effects
{
    /// A new pair may be anything up to about three times.
    static constexpr float new_variance = 0.25F;
    /// A figure scatters by about 0.3, a variance of 0.1. Those of one task
    /// within its swing of load repeat each other, so three count as one.
    static constexpr float noise_variance = 0.3F;
    /// Known to within 0.14.
    static constexpr float trusted_variance = 0.02F;
    static constexpr permille unseen{config::default_effect};
    /// Below 0, so that the scatter around 0 does not turn into an effect.
    static constexpr float least = -0.5F;
    static constexpr float largest = 3.0F; ///< twenty times the latency

    [[nodiscard]] static auto effect(float ratio) -> float
    {
        return std::log(std::max(ratio, least_ratio));
    }
    [[nodiscard]] static auto ratio(float sum) -> float
    {
        return std::exp(sum);
    }
    [[nodiscard]] static auto scale(float /*sum*/) -> float { return 1; }

private:
    /// Figures are whole milliseconds and may be 0.
    static constexpr float least_ratio = 0.2F;
};

/// How the effects of tasks on one service come together, and how far figures
/// scatter.
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
        T::new_variance + T::noise_variance + T::trusted_variance
    };
    {
        T::least + T::largest
    };
    {
        T::unseen
    } -> std::convertible_to<permille>;
};

/// Learns one effect per pair of batch kind and service. A measurement is
/// compared with the service's undisturbed latency at the same load, and the
/// difference is charged to what ran on the worker when it was taken. The
/// charge is a Kalman step with one variance per value, so that well known
/// pairs do not take up the error of new ones.
template <effect_scale Scale>
class interference_model
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

using service_interference = interference_model<added_effects>;

extern template class interference_model<added_effects>;
extern template class interference_model<multiplied_effects>;

} // namespace apricotlb

#endif
