#include "core/scheduling/interference.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace apricotlb
{

namespace
{

// Variance of a baseline from its first measurement, relative to the baseline.
constexpr auto initial_baseline_variance = 0.05F;

// Lower bound of the variance of an estimate. It keeps the gain of one
// measurement at about 1%, so that estimates follow slow changes.
template <effect_scale Scale>
constexpr auto min_variance = Scale::noise_variance / 100;

// Largest relative change of a baseline latency by one measurement.
constexpr auto max_baseline_step = 0.3F;

} // namespace

template <effect_scale Scale>
auto interference_model<Scale>::to_permille(float it) -> permille
{
    return permille{static_cast<std::int32_t>(std::lround(it * 1000.0F))};
}

template <effect_scale Scale>
auto interference_model<Scale>::samples_of(float variance) -> std::uint32_t
{
    return static_cast<std::uint32_t>(Scale::noise_variance /
                                      std::max(variance, min_variance<Scale>));
}

template <effect_scale Scale>
auto interference_model<Scale>::variance_at(pair_entry const& it,
                                            time_point now) -> float
{
    // The variance grows with the time since the last measurement, so that the
    // estimate of a pair that is no longer measured becomes unreliable.
    auto const age = std::chrono::duration<float>(now - it.updated);
    auto const half = std::chrono::duration<float>(
        std::chrono::duration_cast<duration>(config::interference_half_life));
    return std::min(Scale::initial_variance,
                    it.variance +
                        Scale::reliable_variance * std::max(0.0F, age / half));
}

template <effect_scale Scale>
auto interference_model<Scale>::bucket_of(request_count requests) -> std::size_t
{
    auto const count =
        static_cast<std::uint64_t>(std::max<std::int64_t>(requests.value(), 0));
    return std::min<std::size_t>(
        static_cast<std::size_t>(std::bit_width(count)), load_buckets - 1);
}

template <effect_scale Scale>
auto interference_model<Scale>::started(worker_ref worker, task_ref task,
                                        kind_ref kind, time_point at) -> void
{
    auto& all = get_or_grow(workers_, worker);
    auto const old = at - Scale::history;
    std::erase_if(all, [old](task_interval const& it) { return it.to < old; });
    task_interval it{task, kind, at};
    it.speed_changed_at = at;
    all.push_back(it);
}

template <effect_scale Scale>
auto interference_model<Scale>::throttled(worker_ref worker, task_ref task,
                                          permille to, time_point at) -> void
{
    auto const speed = static_cast<float>(to.value()) / 1000.0F;
    for (auto& it : get_or_grow(workers_, worker))
    {
        if (it.task == task && it.to == time_point::max() && it.speed != speed)
        {
            it.previous_speed = it.speed;
            it.speed = speed;
            it.speed_changed_at = at;
        }
    }
}

template <effect_scale Scale>
auto interference_model<Scale>::ended(worker_ref worker, task_ref task,
                                      time_point at) -> void
{
    for (auto& it : get_or_grow(workers_, worker))
    {
        if (it.task == task && it.to == time_point::max())
        {
            it.to = at;
        }
    }
}

template <effect_scale Scale>
auto interference_model<Scale>::remove(worker_ref worker) -> void
{
    get_or_grow(workers_, worker).clear();
}

template <effect_scale Scale>
auto interference_model<Scale>::kinds_running_at(worker_ref worker,
                                                 time_point at) const
    -> std::vector<running_kind>
{
    std::vector<running_kind> all;
    if (pos(worker) >= workers_.size())
    {
        return all;
    }
    for (auto const& it : workers_[pos(worker)])
    {
        if (it.from > at || at >= it.to)
        {
            continue;
        }
        auto const speed =
            at >= it.speed_changed_at ? it.speed : it.previous_speed;
        auto const same = std::ranges::find(all, it.kind, &running_kind::kind);
        if (same == all.end())
        {
            all.push_back({it.kind, speed});
        }
        else
        {
            same->tasks += speed;
        }
    }
    return all;
}

template <effect_scale Scale>
auto interference_model<Scale>::learn(latency_sample const& sample) -> void
{
    auto& service = get_or_grow(services_, sample.service);
    auto const bucket = bucket_of(sample.requests);
    // The first measurement sets the average load; later ones change it by 2%
    // of the difference.
    auto const rate = service.measured ? 0.02F : 1.0F;
    service.measured = true;
    service.mean_load_bucket +=
        rate * (static_cast<float>(bucket) - service.mean_load_bucket);
    auto const kinds = kinds_running_at(sample.worker, sample.taken);
    auto total_effect = 0.0F;
    auto effect_variance = 0.0F;
    for (auto const& it : kinds)
    {
        auto const [pair, added] = pairs_.try_emplace(
            key_of(it.kind, sample.service),
            pair_entry{0, Scale::initial_variance, sample.taken});
        auto& entry = pair->second;
        entry.variance = variance_at(entry, sample.taken);
        entry.updated = std::max(entry.updated, sample.taken);
        total_effect += entry.slowdown * it.tasks;
        effect_variance += entry.variance * it.tasks * it.tasks;
    }
    auto const p99 = static_cast<float>(sample.p99.count());
    auto& baseline = service.baseline_latency[bucket];
    auto& baseline_variance = service.baseline_variance[bucket];
    if (baseline <= 0)
    {
        baseline = std::max(p99 / Scale::ratio(total_effect), 1.0F);
        baseline_variance =
            kinds.empty() ? initial_baseline_variance : Scale::initial_variance;
    }
    auto const error =
        std::min(Scale::effect(p99 / baseline), Scale::max_effect) -
        total_effect;
    auto const scale = Scale::scale(total_effect);
    auto const scale_squared = scale * scale;
    auto const innovation_variance =
        effect_variance +
        (baseline_variance + Scale::noise_variance) * scale_squared;
    for (auto const& it : kinds)
    {
        auto& entry = pairs_.at(key_of(it.kind, sample.service));
        auto const gain = entry.variance * it.tasks / innovation_variance;
        entry.slowdown = std::clamp(entry.slowdown + gain * error,
                                    Scale::min_effect, Scale::max_effect);
        entry.variance = std::max(entry.variance * (1 - gain * it.tasks),
                                  min_variance<Scale>);
    }
    auto const gain = baseline_variance * scale / innovation_variance;
    baseline *=
        1 + std::clamp(gain * error, -max_baseline_step, max_baseline_step);
    baseline_variance =
        std::max(baseline_variance * (1 - gain * scale), min_variance<Scale>);
}

template <effect_scale Scale>
auto interference_model<Scale>::estimate(kind_ref kind, service_ref service,
                                         time_point now) const -> pair_estimate
{
    auto const it = pairs_.find(key_of(kind, service));
    if (it == pairs_.end())
    {
        return {Scale::default_effect, false};
    }
    auto const is_reliable =
        variance_at(it->second, now) <= Scale::reliable_variance;
    auto const learned = to_permille(it->second.slowdown);
    return {is_reliable ? learned : std::max(learned, Scale::default_effect),
            is_reliable};
}

template <effect_scale Scale>
auto interference_model<Scale>::expected_slowdown(worker_ref worker,
                                                  service_ref service,
                                                  time_point now,
                                                  bool full_speed) const
    -> permille
{
    if (pos(worker) >= workers_.size())
    {
        return {};
    }
    auto sum = 0.0F;
    for (auto const& it : workers_[pos(worker)])
    {
        if (it.to == time_point::max())
        {
            auto const pair = estimate(it.kind, service, now);
            sum += static_cast<float>(pair.slowdown.value()) *
                   (full_speed ? 1.0F : it.speed);
        }
    }
    return permille{static_cast<std::int32_t>(sum)};
}

template <effect_scale Scale>
auto interference_model<Scale>::baseline_latency(service_ref service) const
    -> milliseconds
{
    if (pos(service) >= services_.size())
    {
        return {};
    }
    auto const& service_record = services_[pos(service)];
    auto const mean_bucket =
        static_cast<std::size_t>(std::lround(service_record.mean_load_bucket));
    auto nearest = 0.0F;
    // The baseline at the average load, or at the nearest lower load with a
    // measurement; if there is none, at the lowest higher load.
    for (std::size_t bucket = 0; bucket < load_buckets; ++bucket)
    {
        auto const is_measured = service_record.baseline_latency[bucket] > 0;
        nearest = is_measured && (bucket <= mean_bucket || nearest == 0)
                      ? service_record.baseline_latency[bucket]
                      : nearest;
    }
    return milliseconds{std::lround(nearest)};
}

template <effect_scale Scale>
auto interference_model<Scale>::has_unreliable_pair(worker_ref worker,
                                                    service_ref service,
                                                    time_point now) const
    -> bool
{
    return pos(worker) < workers_.size() &&
           std::ranges::any_of(
               workers_[pos(worker)],
               [&](task_interval const& it)
               {
                   return it.to == time_point::max() &&
                          !estimate(it.kind, service, now).is_reliable;
               });
}

template <effect_scale Scale>
auto interference_model<Scale>::restore(kind_ref kind, service_ref service,
                                        permille slowdown,
                                        std::uint32_t samples, time_point now)
    -> void
{
    auto const variance =
        Scale::noise_variance / static_cast<float>(std::max(samples, 1U));
    pairs_[key_of(kind, service)] = {
        static_cast<float>(slowdown.value()) / 1000.0F,
        std::min(Scale::initial_variance, variance), now};
}

template class interference_model<added_effects>;
template class interference_model<multiplied_effects>;

} // namespace apricotlb
