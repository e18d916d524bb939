/// Sets the pace of scavenging tasks by the latency of colocated serving tasks.
#ifndef APRICOTLB_CORE_FLEET_PACE_CONTROL_HPP
#define APRICOTLB_CORE_FLEET_PACE_CONTROL_HPP

#include "core/fleet/disturbance.hpp"
#include "core/fleet/worker_entry.hpp"

#include <apricotlb/units.hpp>

#include <cstdint>

namespace apricotlb
{

enum class pace_step : std::uint8_t
{
    keep,
    cut,     ///< halves the pace; to 0 if that is below config::min_pace
    raise,   ///< by config::pace_step
    stop,    ///< to 0 at once
    release, ///< to full speed at once
};

/// Chooses the next pace step of one scavenging task from the latencies of the
/// serving tasks on its worker. While one of them is over its target, an image
/// with a known effect on it is stopped at once and one with an unknown effect
/// is slowed step by step. A latency on which the image is known to have no
/// effect is ignored until it has been over its target for
/// config::max_time_over_target; then the task is stopped whatever its image,
/// and not raised before the latency is below config::pace_raise_below.
/// Steps up and down follow each other no faster than the reported latencies
/// show them.
/// On a worker without serving tasks it is released. While a serving task is
/// over its target by its own load, paused tasks get a step from time to time.
/// The gap between config::pace_raise_below and config::pace_cut_above keeps
/// the pace steady while a latency is close to its target.
[[nodiscard]] auto next_pace_step(worker_entry const& worker,
                                  held_run const& scavenging,
                                  image_interference const& interference,
                                  time_point now) -> pace_step;

[[nodiscard]] auto apply_pace_step(permille pace, pace_step step) -> permille;

} // namespace apricotlb

#endif
