#include "core/fleet/pace_control.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cstdint>

namespace apricotlb
{

auto pace_change(worker_entry const& at, held_run const& it,
                 disturbance const& learned, time_point now) -> pace_step
{
    permille worst;
    for (auto const& [run, beside] : at.runs)
    {
        if (beside.latency_target > milliseconds{0} &&
            beside.phase == run_phase::running &&
            learned.may_disturb(it.image, beside.image, now))
        {
            worst = std::max(worst, beside.strain);
        }
    }
    if (worst > config::pace_cut_above)
    {
        return pace_step::cut;
    }
    return worst < config::pace_raise_below ? pace_step::raise
                                            : pace_step::keep;
}

auto paced(permille now, pace_step change) -> permille
{
    switch (change)
    {
    case pace_step::cut:
    {
        auto const half = permille{now.value() / 2};
        return half < config::pace_least ? permille{0} : half;
    }
    case pace_step::raise:
        return std::min(now + config::pace_step, permille{1000});
    case pace_step::keep:
        break;
    }
    return now;
}

} // namespace apricotlb
