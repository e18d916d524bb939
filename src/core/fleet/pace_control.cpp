#include "core/fleet/pace_control.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

auto next_pace_step(worker_entry const& at, held_run const& it,
                    image_interference const& learned, time_point now)
    -> pace_step
{
    auto step = pace_step::raise;
    for (auto const& [run, beside] : at.runs)
    {
        if (!beside.is_serving() || beside.phase != run_phase::running)
        {
            continue;
        }
        auto const suspect =
            learned.interference_state_of(it.image, beside.image, now);
        if (beside.over_since &&
            (suspect == interference_state::known ||
             now - *beside.over_since >= config::over_target_limit))
        {
            return pace_step::stop;
        }
        if (suspect == interference_state::none)
        {
            continue;
        }
        if (beside.strain > config::pace_cut_above)
        {
            step = pace_step::cut;
        }
        else if (beside.strain >= config::pace_raise_below &&
                 step == pace_step::raise)
        {
            step = pace_step::keep;
        }
    }
    return step;
}

auto apply_pace_step(permille now, pace_step change) -> permille
{
    switch (change)
    {
    case pace_step::cut:
    {
        auto const half = permille{now.value() / 2};
        return half < config::pace_least ? permille{0} : half;
    }
    case pace_step::stop:
        return permille{0};
    case pace_step::raise:
        return std::min(now + config::pace_step, permille{1000});
    case pace_step::keep:
        break;
    }
    return now;
}

} // namespace apricotlb
