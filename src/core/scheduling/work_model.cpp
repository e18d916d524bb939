#include "core/scheduling/work_model.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cmath>

namespace apricotlb
{

namespace
{

constexpr duration first_bucket = milliseconds{100};

// Older ends lose half their weight after about 70 newer ones, so that a
// changed kind of work is noticed within a job of usual size.
constexpr float end_decay = 0.99F;

// A peak shrinks slowly; 1 part in 4096 per report halves it in 47 minutes
// at one report per second.
constexpr std::int64_t peak_decay = 4096;

template <class Quantity>
auto raised(Quantity peak, Quantity seen) -> Quantity
{
    using rep = typename Quantity::rep;
    return std::max(
        seen, Quantity{static_cast<rep>(
                  peak.value() - static_cast<rep>(peak.value() / peak_decay))});
}

template <class Quantity>
auto margin(Quantity peak, Quantity declared) -> Quantity
{
    using rep = typename Quantity::rep;
    auto const wanted = static_cast<rep>(
        peak.value() * (1000 + config::size_margin.value()) / 1000);
    return Quantity{std::clamp(
        wanted, static_cast<rep>(declared.value() / 8),
        static_cast<rep>(declared.value() * config::max_size_growth))};
}

} // namespace

auto work_model::finished(kind_ref kind, duration run_time) -> void
{
    auto& entry = grown(kinds_, kind);
    for (auto& it : entry.run_times)
    {
        it *= end_decay;
    }
    entry.finished = entry.finished * end_decay + 1;
    auto const ratio = static_cast<double>(run_time.count()) /
                       static_cast<double>(first_bucket.count());
    auto const bucket =
        ratio <= 1 ? 0
                   : std::min(static_cast<std::size_t>(std::log2(ratio)) + 1,
                              bucket_count - 1);
    entry.run_times[bucket] += 1;
}

auto work_model::used(kind_ref kind, resources const& it) -> void
{
    auto& entry = grown(kinds_, kind);
    ++entry.measured;
    entry.peak.cores = raised(entry.peak.cores, it.cores);
    entry.peak.memory = raised(entry.peak.memory, it.memory);
}

auto work_model::run_time(kind_ref kind, permille part) const
    -> std::optional<duration>
{
    if (pos(kind) >= kinds_.size() ||
        kinds_[pos(kind)].finished < config::min_run_time_samples)
    {
        return std::nullopt;
    }
    auto const& entry = kinds_[pos(kind)];
    auto const wanted =
        entry.finished * static_cast<float>(part.value()) / 1000.0F;
    auto sum = 0.0F;
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        sum += entry.run_times[n];
        if (sum >= wanted)
        {
            return first_bucket * (std::int64_t{1} << n);
        }
    }
    return first_bucket * (std::int64_t{1} << (bucket_count - 1));
}

auto work_model::size(kind_ref kind, resources const& declared) const
    -> resources
{
    if (pos(kind) >= kinds_.size() ||
        kinds_[pos(kind)].measured < config::min_size_samples)
    {
        return declared;
    }
    auto const& peak = kinds_[pos(kind)].peak;
    return {margin(peak.cores, declared.cores),
            margin(peak.memory, declared.memory), declared.accels};
}

} // namespace apricotlb
