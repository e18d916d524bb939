#include "core/fleet/pace_control.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

auto pace_change(worker_entry const& at) -> pace_step
{
    auto worst = std::int64_t{0};
    for (auto const& [run, it] : at.runs)
    {
        if (it.latency_target > milliseconds{0} &&
            it.phase == run_phase::running)
        {
            worst = std::max(worst, it.load * 1000 / it.latency_target.count());
        }
    }
    if (worst > config::pace_cut_above.value())
    {
        return pace_step::cut;
    }
    return worst < config::pace_raise_below.value() ? pace_step::raise
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
