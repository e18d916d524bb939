#include "core/fleet/disturbance.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace apricotlb
{

namespace
{

/// Workers report the tail latency of the last half second; a sample is dated
/// to the middle of that window.
constexpr duration measurement_age = std::chrono::milliseconds{250};

/// The model compares latencies at equal load. Workers do not report their
/// load, so all samples carry the same one.
constexpr request_count equal_load{1};

auto kind_of(image_ref it) -> kind_ref
{
    return kind_ref{it.value()};
}

auto service_of(image_ref it) -> service_ref
{
    return service_ref{it.value()};
}

/// Multiplies a share of a latency target by exp(effect).
auto with_effect(permille share, permille effect) -> permille
{
    constexpr auto max_share = 1e6; // keeps the product within its type
    auto const product = static_cast<double>(share.value()) *
                         std::exp(static_cast<double>(effect.value()) / 1000.0);
    return permille{static_cast<std::int32_t>(std::min(product, max_share))};
}

} // namespace

auto name_of(interference_state it) -> std::string_view
{
    constexpr std::array<std::string_view, 3> names{"none", "unknown", "known"};
    return names.at(static_cast<std::size_t>(it));
}

auto image_interference::started(worker_id const& worker, task_run const& run,
                                 image_ref image, time_point now) -> void
{
    auto const [entry, added] =
        runs_.try_emplace(run, task_ref{job_ref{last_run_ + 1}, task_index{}});
    if (added)
    {
        ++last_run_;
        model_.started(worker_ref_of(worker), entry->second, kind_of(image),
                       now);
    }
}

auto image_interference::pace_changed(worker_id const& worker,
                                      task_run const& run, permille pace,
                                      time_point now) -> void
{
    auto const it = runs_.find(run);
    if (it != runs_.end())
    {
        model_.throttled(worker_ref_of(worker), it->second, pace, now);
    }
}

auto image_interference::ended(worker_id const& worker, task_run const& run,
                               time_point now) -> void
{
    auto const it = runs_.find(run);
    if (it != runs_.end())
    {
        model_.ended(worker_ref_of(worker), it->second, now);
        runs_.erase(it);
    }
}

auto image_interference::learn(worker_id const& worker, image_ref serving,
                               milliseconds tail_latency, time_point now)
    -> void
{
    model_.learn({worker_ref_of(worker), service_of(serving), tail_latency,
                  equal_load, now - measurement_age});
}

auto image_interference::effect(image_ref scavenging, image_ref serving,
                                time_point now) const -> pair_estimate
{
    return model_.estimate(kind_of(scavenging), service_of(serving), now);
}

auto image_interference::expected_ratio(
    image_ref serving, milliseconds target, permille latency_ratio,
    std::vector<image_ref> const& added_images, time_point now) const
    -> permille
{
    if (target <= milliseconds{0})
    {
        return {};
    }
    std::int32_t sum{0};
    for (auto const image : added_images)
    {
        sum += std::max(effect(image, serving, now).slowdown.value(), 0);
    }
    // A task that has reported nothing yet is expected to have the baseline
    // latency of its image.
    auto const baseline_ratio = static_cast<std::int32_t>(
        model_.baseline_latency(service_of(serving)).count() * 1000 /
        target.count());
    return with_effect(std::max(latency_ratio, permille{baseline_ratio}),
                       permille{sum});
}

auto image_interference::is_harmful(image_ref scavenging, image_ref serving,
                                    milliseconds target, time_point now) const
    -> bool
{
    auto const slowdown = effect(scavenging, serving, now).slowdown;
    if (slowdown <= config::min_significant_effect)
    {
        return false;
    }
    auto const peak_ratio =
        model_.baseline_latency(service_of(serving)).count() *
        config::peak_latency_ratio.value() / target.count();
    return with_effect(permille{static_cast<std::int32_t>(peak_ratio)},
                       slowdown) > permille{1000};
}

auto image_interference::interference_state_of(image_ref scavenging,
                                               image_ref serving,
                                               time_point now) const
    -> interference_state
{
    auto const estimate = effect(scavenging, serving, now);
    if (!estimate.is_reliable)
    {
        return interference_state::unknown;
    }
    return estimate.slowdown > config::min_significant_effect
               ? interference_state::known
               : interference_state::none;
}

} // namespace apricotlb
