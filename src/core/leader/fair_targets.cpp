#include "core/leader/fair_targets.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <utility>

namespace apricotlb
{

auto fair_targets(std::vector<slot_demand> const& demand, slot_count total)
    -> std::vector<slot_count>
{
    std::vector<slot_count> targets(demand.size());
    auto rest = std::max(total.value(), 0);
    std::int64_t sum{0};
    for (std::size_t n = 0; n < demand.size(); ++n)
    {
        targets[n] = demand[n].wanted;
        sum += demand[n].wanted.value();
    }
    if (sum <= rest)
    {
        return targets;
    }
    std::ranges::fill(targets, slot_count{0});
    for (auto const busy : {true, false})
    {
        for (std::size_t n = 0; n < demand.size(); ++n)
        {
            if (rest > 0 && demand[n].busy == busy &&
                demand[n].wanted > slot_count{0})
            {
                targets[n] = slot_count{1};
                --rest;
            }
        }
    }
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    // Equal wishes are served in a fixed order, so that targets are stable.
    std::ranges::sort(order, {},
                      [&](std::size_t n) {
                          return std::pair{demand[n].wanted, n};
                      });
    auto left = static_cast<std::int32_t>(order.size());
    for (auto const n : order)
    {
        auto const more =
            std::clamp((demand[n].wanted - targets[n]).value(), 0, rest / left);
        targets[n] += slot_count{more};
        rest -= more;
        --left;
    }
    return targets;
}

} // namespace apricotlb
