#include "core/scheduling/interference.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace apricotlb
{

namespace
{

// Variances are of slowdowns, 1 being a doubled latency. A new pair may be
// anything up to about 1.5; a measured p99 scatters by about 15%.
constexpr auto new_variance = 0.25F;
constexpr auto noise_variance = 0.02F;
constexpr auto base_variance = 0.05F;

// The smallest variance lets estimates follow slow changes: the gain of one
// measurement stays above about 1%.
constexpr auto least_variance = 2e-4F;
constexpr auto trusted_variance =
    noise_variance / static_cast<float>(config::trusted_samples);

// A slowdown above 20 times is a failure of the server, not interference.
constexpr auto largest_slowdown = 20.0F;

// One step changes an undisturbed latency by at most this part.
constexpr auto largest_step = 0.3F;

} // namespace

auto interference::in_permille(float it) -> permille
{
    return permille{static_cast<std::int32_t>(std::lround(it * 1000.0F))};
}

auto interference::samples_of(float variance) -> std::uint32_t
{
    return static_cast<std::uint32_t>(noise_variance /
                                      std::max(variance, least_variance));
}

auto interference::variance_at(pair_entry const& it, time_point now) -> float
{
    // Without measurements a pair becomes unknown again.
    auto const age = std::chrono::duration<float>(now - it.updated);
    auto const half = std::chrono::duration<float>(
        std::chrono::duration_cast<duration>(config::interference_half_life));
    return std::min(new_variance, it.variance + trusted_variance *
                                                    std::max(0.0F, age / half));
}

auto interference::bucket_of(request_count requests) -> std::size_t
{
    auto const n =
        static_cast<std::uint64_t>(std::max<std::int64_t>(requests.value(), 0));
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(n)),
                                 load_buckets - 1);
}

auto interference::started(worker_ref worker, task_ref task, kind_ref kind,
                           time_point at) -> void
{
    auto& all = grown(workers_, worker);
    auto const old = at - config::measurement_history;
    std::erase_if(all, [old](span_entry const& it) { return it.to < old; });
    span_entry it{task, kind, at};
    it.throttle_at = at;
    all.push_back(it);
}

auto interference::throttled(worker_ref worker, task_ref task, permille to,
                             time_point at) -> void
{
    auto const speed = static_cast<float>(to.value()) / 1000.0F;
    for (auto& it : grown(workers_, worker))
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

auto interference::ended(worker_ref worker, task_ref task, time_point at)
    -> void
{
    for (auto& it : grown(workers_, worker))
    {
        if (it.task == task && it.to == time_point::max())
        {
            it.to = at;
        }
    }
}

auto interference::forget(worker_ref worker) -> void
{
    grown(workers_, worker).clear();
}

auto interference::present(worker_ref worker, time_point at) const
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

auto interference::learn(latency_sample const& sample) -> void
{
    auto& service = grown(services_, sample.service);
    auto const bucket = bucket_of(sample.requests);
    // The first measurement sets the usual load; later ones move it slowly.
    auto const rate = service.measured ? 0.02F : 1.0F;
    service.measured = true;
    service.usual_load +=
        rate * (static_cast<float>(bucket) - service.usual_load);
    auto const kinds = present(sample.worker, sample.taken);
    auto predicted = 1.0F;
    auto spread = 0.0F;
    for (auto const& it : kinds)
    {
        auto const [pair, added] =
            pairs_.try_emplace(key_of(it.kind, sample.service),
                               pair_entry{0, new_variance, sample.taken});
        auto& entry = pair->second;
        entry.variance = variance_at(entry, sample.taken);
        entry.updated = std::max(entry.updated, sample.taken);
        predicted += entry.slowdown * it.tasks;
        spread += entry.variance * it.tasks * it.tasks;
    }
    auto const p99 = static_cast<float>(sample.p99.count());
    auto& base = service.undisturbed[bucket];
    auto& uncertain = service.variance[bucket];
    if (base <= 0)
    {
        base = std::max(p99 / predicted, 1.0F);
        uncertain = kinds.empty() ? base_variance : new_variance;
    }
    auto const error = std::min(p99 / base, largest_slowdown + 1) - predicted;
    auto const square = predicted * predicted;
    auto const sum = spread + (uncertain + noise_variance) * square;
    for (auto const& it : kinds)
    {
        auto& entry = pairs_.at(key_of(it.kind, sample.service));
        auto const gain = entry.variance * it.tasks / sum;
        entry.slowdown =
            std::clamp(entry.slowdown + gain * error, 0.0F, largest_slowdown);
        entry.variance =
            std::max(entry.variance * (1 - gain * it.tasks), least_variance);
    }
    auto const gain = uncertain * predicted / sum;
    base *= 1 + std::clamp(gain * error, -largest_step, largest_step);
    uncertain = std::max(uncertain * (1 - gain * predicted), least_variance);
}

auto interference::estimate(kind_ref kind, service_ref service,
                            time_point now) const -> pair_estimate
{
    auto const it = pairs_.find(key_of(kind, service));
    if (it == pairs_.end())
    {
        return {config::unseen_slowdown, false};
    }
    auto const trusted = variance_at(it->second, now) <= trusted_variance;
    auto const learned = in_permille(it->second.slowdown);
    return {trusted ? learned : std::max(learned, config::unseen_slowdown),
            trusted};
}

auto interference::expected(worker_ref worker, service_ref service,
                            time_point now, bool full_speed) const -> permille
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

auto interference::undisturbed(service_ref service) const -> milliseconds
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
        auto const is_measured = it.undisturbed[n] > 0;
        best =
            is_measured && (n <= usual || best == 0) ? it.undisturbed[n] : best;
    }
    return milliseconds{std::lround(best)};
}

auto interference::has_untrusted(worker_ref worker, service_ref service,
                                 time_point now) const -> bool
{
    return pos(worker) < workers_.size() &&
           std::ranges::any_of(
               workers_[pos(worker)],
               [&](span_entry const& it)
               {
                   return it.to == time_point::max() &&
                          !estimate(it.kind, service, now).trusted;
               });
}

auto interference::restore(kind_ref kind, service_ref service,
                           permille slowdown, std::uint32_t samples,
                           time_point now) -> void
{
    auto const variance =
        noise_variance / static_cast<float>(std::max(samples, 1U));
    pairs_[key_of(kind, service)] = {static_cast<float>(slowdown.value()) /
                                         1000.0F,
                                     std::min(new_variance, variance), now};
}

} // namespace apricotlb
