#include "core/fleet/pace_control.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

auto pace_change(worker_entry const& at, held_run const& it,
                 disturbance const& learned, time_point now) -> pace_step
{
    auto step = pace_step::raise;
    for (auto const& [run, beside] : at.runs)
    {
        if (!beside.is_serving() || beside.phase != run_phase::running)
        {
            continue;
        }
        auto const suspect = learned.suspects(it.image, beside.image, now);
        if (beside.over_since &&
            (suspect == suspicion::known ||
             now - *beside.over_since >= config::max_time_over_target))
        {
            return pace_step::stop;
        }
        if (suspect == suspicion::none)
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

auto paced(permille now, pace_step change) -> permille
{
    switch (change)
    {
    case pace_step::cut:
    {
        auto const half = permille{now.value() / 2};
        return half < config::min_pace ? permille{0} : half;
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
