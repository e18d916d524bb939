#include "core/entry/backend_health.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cmath>

namespace apricotlb
{

auto backend_health::latency(time_point now) const -> duration
{
    auto const age = static_cast<double>((now - updated_).count()) /
                     static_cast<double>(config::latency_half_life.count());
    return duration{static_cast<std::int64_t>(average_us_ * std::exp2(-age))};
}

auto backend_health::usable(slot_count granted, time_point now) const
    -> slot_count
{
    if (probation_ > 0)
    {
        return std::min(granted, slot_count{1});
    }
    auto const age = now - first_seen_;
    if (age >= config::slow_start || granted <= slot_count{0})
    {
        return granted;
    }
    auto const slots =
        granted.value() * age.count() / config::slow_start.count();
    return std::min(granted, slot_count{static_cast<std::int32_t>(slots) + 1});
}

auto backend_health::record_latency(duration latency, time_point now) -> void
{
    constexpr double weight = 0.2;
    auto const us = static_cast<double>(latency.count());
    if (updated_ == time_point{})
    {
        average_us_ = us;
    }
    else if (us > average_us_)
    {
        // A rise has twice the weight of a fall, because sending one request
        // to a slow server costs more than avoiding the server once too often.
        average_us_ += 2 * weight * (us - average_us_);
    }
    else
    {
        average_us_ += weight * (us - average_us_);
    }
    updated_ = now;
}

auto backend_health::call_ended(attempt_result status) -> bool
{
    switch (status)
    {
    case attempt_result::ok:
        failures_ = 0;
        if (probation_ > 0 && --probation_ == 0)
        {
            ejections_ = 0;
        }
        return false;
    case attempt_result::cancelled:
        return false;
    case attempt_result::timed_out:
        // Each timeout delays its request for the whole time limit, so two of
        // them eject the server.
        failures_ += 2;
        break;
    case attempt_result::refused:
    case attempt_result::failed:
        ++failures_;
        break;
    }
    return probation_ > 0 || failures_ >= config::ejection_failures;
}

auto backend_health::eject(time_point now) -> void
{
    auto const ejection_time =
        config::ejection_min * (1 << std::min(ejections_, 5));
    ejected_until_ = now + std::min(ejection_time, config::ejection_max);
    ++ejections_;
    failures_ = 0;
    probation_ = config::probation_successes;
}

} // namespace apricotlb
