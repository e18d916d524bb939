#include "core/entry/drain.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

auto drain_times::within(duration balancer_wait, duration grace) -> drain_times
{
    drain_times out{balancer_wait, balancer_wait + config::drain_idle_wait, {}};
    if (grace > duration{})
    {
        auto const end = grace - grace / config::drain_reserve_divisor;
        out.stop_listening = std::min(out.stop_listening, end / 2);
        // A request that has just arrived still gets a fifth of the time.
        out.close_idle = std::min(out.close_idle, end - end / 5);
        out.end = end;
    }
    return out;
}

auto drain::signal(stop_signal it, time_point now, drain_load const& load)
    -> drain_step
{
    if (phase_ == drain_phase::serving)
    {
        phase_ = drain_phase::unhealthy;
        started_ = now;
        auto out = step(now, load);
        out.close_after_answers = true;
        return out;
    }
    if (it == stop_signal::terminate || phase_ == drain_phase::done)
    {
        return {};
    }
    return exit(load);
}

auto drain::step(time_point now, drain_load const& load) -> drain_step
{
    drain_step out;
    if (phase_ == drain_phase::serving || phase_ == drain_phase::done)
    {
        return out;
    }
    auto const passed = now - started_;
    if (passed < times_.stop_listening)
    {
        out.wake_after = times_.stop_listening - passed;
        return out;
    }
    auto const was_listening = phase_ == drain_phase::unhealthy;
    phase_ = drain_phase::finishing;
    if (load == drain_load{} || (times_.end && passed >= *times_.end))
    {
        out = exit(load);
    }
    else
    {
        out.close_idle = passed >= times_.close_idle;
        out.wake_after = config::drain_check_interval;
    }
    out.stop_listening = was_listening;
    return out;
}

auto drain::time_left(time_point now) const -> std::optional<duration>
{
    if (!is_draining() || !times_.end)
    {
        return std::nullopt;
    }
    return std::max(duration{}, started_ + *times_.end - now);
}

auto drain::exit(drain_load const& load) -> drain_step
{
    drain_step out;
    out.stop_listening = phase_ == drain_phase::unhealthy;
    out.exit = true;
    out.interrupted = load.in_flight;
    phase_ = drain_phase::done;
    return out;
}

} // namespace apricotlb
