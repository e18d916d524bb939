#include "core/fleet/effect_table.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cmath>

namespace apricotlb
{

auto effect_table::effect(image_ref scavenging, image_ref serving)
    -> image_effect const&
{
    auto& known = get_or_grow(get_or_grow(rows_, scavenging), serving);
    if (!known)
    {
        auto const estimate = model_->effect(scavenging, serving, now_);
        auto const slowdown = std::max(estimate.slowdown, permille{});
        known = {slowdown,
                 std::exp(static_cast<double>(slowdown.value()) / 1000.0),
                 estimate.is_reliable &&
                     estimate.slowdown <= config::min_significant_effect};
    }
    return *known;
}

} // namespace apricotlb
