#include "core/entry/drain.hpp"

namespace apricotlb
{

auto drain::signal(stop_signal it, time_point now, request_count in_flight)
    -> drain_step
{
    drain_step out;
    if (phase_ == drain_phase::serving)
    {
        phase_ = drain_phase::unhealthy;
        until_ = now + wait_;
        out.wake_after = wait_;
        return out;
    }
    if (it == stop_signal::terminate)
    {
        return out;
    }
    out.exit = phase_ != drain_phase::done;
    out.stop_listening = phase_ == drain_phase::unhealthy;
    out.interrupted = out.exit ? in_flight : request_count{0};
    phase_ = drain_phase::done;
    return out;
}

auto drain::step(time_point now, request_count in_flight) -> drain_step
{
    drain_step out;
    if (phase_ == drain_phase::unhealthy)
    {
        if (now < until_)
        {
            out.wake_after = until_ - now;
            return out;
        }
        phase_ = drain_phase::finishing;
        out.stop_listening = true;
    }
    if (phase_ == drain_phase::finishing && in_flight == request_count{0})
    {
        phase_ = drain_phase::done;
        out.exit = true;
    }
    return out;
}

} // namespace apricotlb
