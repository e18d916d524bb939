#include "core/fleet/disturbance.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

/// Workers report the tail of the last half second; its middle.
constexpr duration measurement_age = std::chrono::milliseconds{250};

/// The model compares latencies at equal load, which workers do not report.
constexpr request_count one_load{1};

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

auto disturbance::slowdown(image_name const& scavenging,
                           image_name const& serving, time_point now) const
    -> pair_estimate
{
    auto const kind = scavenging_.find(scavenging);
    auto const service = serving_.find(serving);
    if (!kind || !service)
    {
        return {config::unseen_slowdown, false};
    }
    return model_.estimate(*kind, *service, now);
}

auto disturbance::expected(image_name const& serving, milliseconds target,
                           std::vector<image_name> const& beside,
                           time_point now) const -> permille
{
    auto const service = serving_.find(serving);
    if (!service || target <= milliseconds{0})
    {
        return {};
    }
    std::int64_t slower{1000};
    for (auto const& image : beside)
    {
        slower += slowdown(image, serving, now).slowdown.value();
    }
    auto const tail = model_.undisturbed(*service).count() * slower;
    return permille{static_cast<std::int32_t>(tail / target.count())};
}

auto disturbance::is_harmful(image_name const& scavenging,
                             image_name const& serving, milliseconds target,
                             time_point now) const -> bool
{
    auto const it = slowdown(scavenging, serving, now);
    auto const service = serving_.find(serving);
    return it.slowdown > config::noticed_slowdown && service &&
           model_.undisturbed(*service).count() *
                   (1000 + std::int64_t{it.slowdown.value()}) >
               target.count() * 1000;
}

auto disturbance::may_disturb(image_name const& scavenging,
                              image_name const& serving, time_point now) const
    -> bool
{
    auto const it = slowdown(scavenging, serving, now);
    return !it.trusted || it.slowdown > config::noticed_slowdown;
}

} // namespace apricotlb
