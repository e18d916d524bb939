#include "core/fleet/disturbance.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cmath>

namespace apricotlb
{

namespace
{

/// Workers report the tail of the last half second; its middle.
constexpr duration measurement_age = std::chrono::milliseconds{250};

/// The model compares latencies at equal load, which workers do not report.
constexpr request_count one_load{1};

/// A share of a target after an effect on the logarithmic scale.
auto multiplied(permille share, permille effect) -> permille
{
    constexpr auto most = 1e6; // keeps the product within its type
    auto const it = static_cast<double>(share.value()) *
                    std::exp(static_cast<double>(effect.value()) / 1000.0);
    return permille{static_cast<std::int32_t>(std::min(it, most))};
}

} // namespace

auto disturbance::started(worker_id const& at, task_run const& run,
                          image_name const& image, time_point now) -> void
{
    auto const [it, added] = runs_.try_emplace(
        {at, run}, task_ref{job_ref{last_run_ + 1}, task_index{}});
    if (added)
    {
        ++last_run_;
        model_.started(worker(at), it->second, scavenging_.ref(image), now);
    }
}

auto disturbance::paced(worker_id const& at, task_run const& run, permille to,
                        time_point now) -> void
{
    auto const it = runs_.find({at, run});
    if (it != runs_.end())
    {
        model_.throttled(worker(at), it->second, to, now);
    }
}

auto disturbance::ended(worker_id const& at, task_run const& run,
                        time_point now) -> void
{
    auto const it = runs_.find({at, run});
    if (it != runs_.end())
    {
        model_.ended(worker(at), it->second, now);
        runs_.erase(it);
    }
}

auto disturbance::learn(worker_id const& at, image_name const& serving,
                        milliseconds tail, time_point now) -> void
{
    model_.learn({worker(at), serving_.ref(serving), tail, one_load,
                  now - measurement_age});
}

auto disturbance::effect(image_name const& scavenging,
                         image_name const& serving, time_point now) const
    -> pair_estimate
{
    auto const kind = scavenging_.find(scavenging);
    auto const service = serving_.find(serving);
    if (!kind || !service)
    {
        return {config::default_effect, false};
    }
    return model_.estimate(*kind, *service, now);
}

auto disturbance::expected(image_name const& serving, milliseconds target,
                           permille strain, std::vector<image_name> const& more,
                           time_point now) const -> permille
{
    auto const service = serving_.find(serving);
    if (!service || target <= milliseconds{0})
    {
        return {};
    }
    std::int32_t sum{0};
    for (auto const& image : more)
    {
        sum += std::max(effect(image, serving, now).slowdown.value(), 0);
    }
    // A task that has reported nothing yet will be as slow as its image is.
    auto const usual = static_cast<std::int32_t>(
        model_.undisturbed(*service).count() * 1000 / target.count());
    return multiplied(std::max(strain, permille{usual}), permille{sum});
}

auto disturbance::is_harmful(image_name const& scavenging,
                             image_name const& serving, milliseconds target,
                             time_point now) const -> bool
{
    auto const service = serving_.find(serving);
    auto const it = effect(scavenging, serving, now).slowdown;
    if (!service || it <= config::min_significant_effect)
    {
        return false;
    }
    auto const crest = model_.undisturbed(*service).count() *
                       config::peak_latency_ratio.value() / target.count();
    return multiplied(permille{static_cast<std::int32_t>(crest)}, it) >
           permille{1000};
}

auto disturbance::suspects(image_name const& scavenging,
                           image_name const& serving, time_point now) const
    -> suspicion
{
    auto const it = effect(scavenging, serving, now);
    if (!it.trusted)
    {
        return suspicion::unknown;
    }
    return it.slowdown > config::min_significant_effect ? suspicion::known
                                                        : suspicion::none;
}

} // namespace apricotlb
