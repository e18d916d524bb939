#include "core/scheduling/interference.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace apricotlb
{

namespace
{

// Variances are of effects, 1 being a doubled latency where effects add up.
constexpr auto base_variance = 0.05F;

// The smallest variance lets estimates follow slow changes: the gain of one
// measurement stays above about 1% of its scatter.
template <effect_scale Scale>
constexpr auto least_variance = Scale::noise_variance / 100;

// One step changes an undisturbed latency by at most this part.
constexpr auto largest_step = 0.3F;

} // namespace

template <effect_scale Scale>
auto interference_model<Scale>::in_permille(float it) -> permille
{
    return permille{static_cast<std::int32_t>(std::lround(it * 1000.0F))};
}

template <effect_scale Scale>
auto interference_model<Scale>::samples_of(float variance) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        Scale::noise_variance / std::max(variance, least_variance<Scale>));
}

template <effect_scale Scale>
auto interference_model<Scale>::variance_at(pair_entry const& it,
                                            time_point now) -> float
{
    // Without measurements a pair becomes unknown again.
    auto const age = std::chrono::duration<float>(now - it.updated);
    auto const half = std::chrono::duration<float>(
        std::chrono::duration_cast<duration>(config::interference_half_life));
    return std::min(Scale::new_variance,
                    it.variance +
                        Scale::trusted_variance * std::max(0.0F, age / half));
}

template <effect_scale Scale>
auto interference_model<Scale>::bucket_of(request_count requests) -> std::size_t
{
    auto const n =
        static_cast<std::uint64_t>(std::max<std::int64_t>(requests.value(), 0));
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(n)),
                                 load_buckets - 1);
}

template <effect_scale Scale>
auto interference_model<Scale>::started(worker_ref worker, task_ref task,
                                        kind_ref kind, time_point at) -> void
{
    auto& all = get_or_grow(workers_, worker);
    auto const old = at - config::measurement_history;
    std::erase_if(all, [old](span_entry const& it) { return it.to < old; });
    span_entry it{task, kind, at};
    it.throttle_at = at;
    all.push_back(it);
}

template <effect_scale Scale>
auto interference_model<Scale>::throttled(worker_ref worker, task_ref task,
                                          permille to, time_point at) -> void
{
    auto const speed = static_cast<float>(to.value()) / 1000.0F;
    for (auto& it : get_or_grow(workers_, worker))
    {
        if (it.task == task && it.to == time_point::max() &&
            it.throttle != speed)
        {
            it.throttle_before = it.throttle;
            it.throttle = speed;
            it.throttle_at = at;
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
auto interference_model<Scale>::forget(worker_ref worker) -> void
{
    get_or_grow(workers_, worker).clear();
}

template <effect_scale Scale>
auto interference_model<Scale>::present(worker_ref worker, time_point at) const
    -> std::vector<present_kind>
{
    std::vector<present_kind> all;
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
            at >= it.throttle_at ? it.throttle : it.throttle_before;
        auto const same = std::ranges::find(all, it.kind, &present_kind::kind);
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
    // The first measurement sets the usual load; later ones move it slowly.
    auto const rate = service.measured ? 0.02F : 1.0F;
    service.measured = true;
    service.usual_load +=
        rate * (static_cast<float>(bucket) - service.usual_load);
    auto const kinds = present(sample.worker, sample.taken);
    auto effects = 0.0F;
    auto spread = 0.0F;
    for (auto const& it : kinds)
    {
        auto const [pair, added] = pairs_.try_emplace(
            key_of(it.kind, sample.service),
            pair_entry{0, Scale::new_variance, sample.taken});
        auto& entry = pair->second;
        entry.variance = variance_at(entry, sample.taken);
        entry.updated = std::max(entry.updated, sample.taken);
        effects += entry.slowdown * it.tasks;
        spread += entry.variance * it.tasks * it.tasks;
    }
    auto const p99 = static_cast<float>(sample.p99.count());
    auto& base = service.baseline_latency[bucket];
    auto& uncertain = service.variance[bucket];
    if (base <= 0)
    {
        base = std::max(p99 / Scale::ratio(effects), 1.0F);
        uncertain = kinds.empty() ? base_variance : Scale::new_variance;
    }
    auto const error =
        std::min(Scale::effect(p99 / base), Scale::largest) - effects;
    auto const scale = Scale::scale(effects);
    auto const square = scale * scale;
    auto const sum = spread + (uncertain + Scale::noise_variance) * square;
    for (auto const& it : kinds)
    {
        auto& entry = pairs_.at(key_of(it.kind, sample.service));
        auto const gain = entry.variance * it.tasks / sum;
        entry.slowdown = std::clamp(entry.slowdown + gain * error, Scale::least,
                                    Scale::largest);
        entry.variance = std::max(entry.variance * (1 - gain * it.tasks),
                                  least_variance<Scale>);
    }
    auto const gain = uncertain * scale / sum;
    base *= 1 + std::clamp(gain * error, -largest_step, largest_step);
    uncertain = std::max(uncertain * (1 - gain * scale), least_variance<Scale>);
}

template <effect_scale Scale>
auto interference_model<Scale>::estimate(kind_ref kind, service_ref service,
                                         time_point now) const -> pair_estimate
{
    auto const it = pairs_.find(key_of(kind, service));
    if (it == pairs_.end())
    {
        return {Scale::unseen, false};
    }
    auto const is_reliable =
        variance_at(it->second, now) <= Scale::trusted_variance;
    auto const learned = in_permille(it->second.slowdown);
    return {is_reliable ? learned : std::max(learned, Scale::unseen),
            is_reliable};
}

template <effect_scale Scale>
auto interference_model<Scale>::expected(worker_ref worker, service_ref service,
                                         time_point now, bool full_speed) const
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
                   (full_speed ? 1.0F : it.throttle);
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
    auto const& it = services_[pos(service)];
    auto const usual = static_cast<std::size_t>(std::lround(it.usual_load));
    auto best = 0.0F;
    // The usual load, or the nearest to it that was measured.
    for (std::size_t n = 0; n < load_buckets; ++n)
    {
        auto const is_measured = it.baseline_latency[n] > 0;
        best = is_measured && (n <= usual || best == 0) ? it.baseline_latency[n]
                                                        : best;
    }
    return milliseconds{std::lround(best)};
}

template <effect_scale Scale>
auto interference_model<Scale>::has_untrusted(worker_ref worker,
                                              service_ref service,
                                              time_point now) const -> bool
{
    return pos(worker) < workers_.size() &&
           std::ranges::any_of(
               workers_[pos(worker)],
               [&](span_entry const& it)
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
        std::min(Scale::new_variance, variance), now};
}

template class interference_model<added_effects>;
template class interference_model<multiplied_effects>;

} // namespace apricotlb
