/// Effects of scavenging images on serving ones, as read once for one pass of
/// the planner.
#ifndef APRICOTLB_CORE_FLEET_EFFECT_TABLE_HPP
#define APRICOTLB_CORE_FLEET_EFFECT_TABLE_HPP

#include "core/fleet/disturbance.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <optional>
#include <vector>

namespace apricotlb
{

/// Effect of one more task of an image on the tasks of a serving image.
struct image_effect
{
    permille slowdown;    ///< logarithm; not below 0
    double factor{1};     ///< on the tail latency
    bool harmless{false}; ///< reliably below config::min_significant_effect
};

/// Reads each pair of images from the model when it is first asked for: a pass
/// asks for the same few pairs at each of hundreds of workers.
class effect_table
{
public:
    effect_table(image_interference const& model, time_point now)
        : model_(&model), now_(now)
    {
    }

    [[nodiscard]] auto effect(image_ref scavenging, image_ref serving)
        -> image_effect const&;

private:
    image_interference const* model_;
    time_point now_;
    std::vector<std::vector<std::optional<image_effect>>> rows_;
};

} // namespace apricotlb

#endif
