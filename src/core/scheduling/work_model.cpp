#include "core/scheduling/work_model.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cmath>

namespace apricotlb
{

namespace
{

constexpr duration first_bucket = milliseconds{100};

// Weight of earlier run times per newer one. A run time loses half its weight
// after about 70 newer ones, so that a change of a kind of work is learned
// within a job of common size.
constexpr float end_decay = 0.99F;

// A peak decays by 1/4096 per report, which halves it in 47 minutes at one
// report per second.
constexpr std::int64_t peak_decay = 4096;

template <class Quantity>
auto updated_peak(Quantity peak, Quantity measured) -> Quantity
{
    using rep = typename Quantity::rep;
    return std::max(
        measured,
        Quantity{static_cast<rep>(
            peak.value() - static_cast<rep>(peak.value() / peak_decay))});
}

template <class Quantity>
auto with_margin(Quantity peak, Quantity declared) -> Quantity
{
    using rep = typename Quantity::rep;
    auto const wanted = static_cast<rep>(
        peak.value() * (1000 + config::size_margin.value()) / 1000);
    return Quantity{std::clamp(
        wanted, static_cast<rep>(declared.value() / 8),
        static_cast<rep>(declared.value() * config::max_size_growth))};
}

} // namespace

auto work_model::add_run_time(kind_ref kind, duration run_time) -> void
{
    auto& entry = get_or_grow(kinds_, kind);
    for (auto& it : entry.run_times)
    {
        it *= end_decay;
    }
    entry.finished_weight = entry.finished_weight * end_decay + 1;
    auto const ratio = static_cast<double>(run_time.count()) /
                       static_cast<double>(first_bucket.count());
    auto const bucket =
        ratio <= 1 ? 0
                   : std::min(static_cast<std::size_t>(std::log2(ratio)) + 1,
                              bucket_count - 1);
    entry.run_times[bucket] += 1;
}

auto work_model::add_usage(kind_ref kind, resources const& usage) -> void
{
    auto& entry = get_or_grow(kinds_, kind);
    ++entry.usage_samples;
    entry.peak.cores = updated_peak(entry.peak.cores, usage.cores);
    entry.peak.memory = updated_peak(entry.peak.memory, usage.memory);
}

auto work_model::run_time_quantile(kind_ref kind, permille quantile) const
    -> std::optional<duration>
{
    if (pos(kind) >= kinds_.size() ||
        kinds_[pos(kind)].finished_weight < config::min_run_time_samples)
    {
        return std::nullopt;
    }
    auto const& entry = kinds_[pos(kind)];
    auto const target_weight =
        entry.finished_weight * static_cast<float>(quantile.value()) / 1000.0F;
    auto cumulative_weight = 0.0F;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        cumulative_weight += entry.run_times[bucket];
        if (cumulative_weight >= target_weight)
        {
            return first_bucket * (std::int64_t{1} << bucket);
        }
    }
    return first_bucket * (std::int64_t{1} << (bucket_count - 1));
}

auto work_model::resources_for(kind_ref kind, resources const& declared) const
    -> resources
{
    if (pos(kind) >= kinds_.size() ||
        kinds_[pos(kind)].usage_samples < config::min_size_samples)
    {
        return declared;
    }
    auto const& peak = kinds_[pos(kind)].peak;
    return {with_margin(peak.cores, declared.cores),
            with_margin(peak.memory, declared.memory), declared.accels};
}

} // namespace apricotlb
