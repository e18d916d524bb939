#include "core/fleet/pace_control.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

/// Least time between two steps of one task. Less than the time between the
/// lists that no end of a run brings forward.
constexpr duration min_step_interval = milliseconds{400};

} // namespace

auto next_pace_step(worker_entry const& worker, held_run const& scavenging,
                    image_interference const& interference, time_point now)
    -> pace_step
{
    if (!worker.is_serving())
    {
        return pace_step::release;
    }
    // A pause that changes nothing for the serving tasks, or leaves one just
    // below its target, would keep the work from ending. The next list above
    // the target pauses it again.
    if (scavenging.is_paused() &&
        now - scavenging.pace_changed_at >= config::pause_evaluation_time &&
        (!worker.is_strained() || worker.is_strained_by_itself(now)))
    {
        return pace_step::raise;
    }
    auto step = pace_step::raise;
    for (auto const& [run, serving] : worker.runs)
    {
        if (!serving.is_serving() || serving.phase != run_phase::running)
        {
            continue;
        }
        auto const effect = interference.interference_state_of(
            scavenging.image, serving.image, now);
        auto const is_long_over = serving.is_long_over_target(now);
        if (serving.is_over_target() &&
            (effect == interference_state::known || is_long_over))
        {
            return pace_step::stop;
        }
        if (effect == interference_state::none && !is_long_over)
        {
            continue;
        }
        if (serving.is_over_target())
        {
            step = pace_step::cut;
        }
        else if (serving.latency_ratio >= config::pace_raise_below &&
                 step == pace_step::raise)
        {
            step = pace_step::keep;
        }
    }
    auto const is_recent = now - scavenging.pace_changed_at < min_step_interval;
    return is_recent ? pace_step::keep : step;
}

auto apply_pace_step(permille pace, pace_step step) -> permille
{
    switch (step)
    {
    case pace_step::cut:
    {
        auto const half = permille{pace.value() / 2};
        return half < config::min_pace ? permille{0} : half;
    }
    case pace_step::stop:
        return permille{0};
    case pace_step::release:
        return permille{1000};
    case pace_step::raise:
        return std::min(pace + config::pace_step, permille{1000});
    case pace_step::keep:
        break;
    }
    return pace;
}

} // namespace apricotlb
