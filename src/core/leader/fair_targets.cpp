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
    auto remaining = std::max(total.value(), 0);
    std::int64_t total_wanted{0};
    for (std::size_t entry = 0; entry < demand.size(); ++entry)
    {
        targets[entry] = demand[entry].wanted;
        total_wanted += demand[entry].wanted.value();
    }
    if (total_wanted <= remaining)
    {
        return targets;
    }
    std::ranges::fill(targets, slot_count{0});
    for (auto const busy : {true, false})
    {
        for (std::size_t entry = 0; entry < demand.size(); ++entry)
        {
            if (remaining > 0 && demand[entry].busy == busy &&
                demand[entry].wanted > slot_count{0})
            {
                targets[entry] = slot_count{1};
                --remaining;
            }
        }
    }
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    // Entries with equal demand are served in a fixed order, so that targets
    // are stable.
    std::ranges::sort(order, {},
                      [&](std::size_t entry) {
                          return std::pair{demand[entry].wanted, entry};
                      });
    auto entries_left = static_cast<std::int32_t>(order.size());
    for (auto const entry : order)
    {
        auto const added =
            std::clamp((demand[entry].wanted - targets[entry]).value(), 0,
                       remaining / entries_left);
        targets[entry] += slot_count{added};
        remaining -= added;
        --entries_left;
    }
    return targets;
}

} // namespace apricotlb
