/// Pace of scavenging tasks by the latency of the tasks beside them.
#ifndef APRICOTLB_CORE_FLEET_PACE_CONTROL_HPP
#define APRICOTLB_CORE_FLEET_PACE_CONTROL_HPP

#include "core/fleet/image_interference.hpp"
#include "core/fleet/worker_entry.hpp"

#include <apricotlb/units.hpp>

#include <cstdint>

namespace apricotlb
{

enum class pace_step : std::uint8_t
{
    keep,
    cut,   ///< to a half; to a stop below config::pace_least
    raise, ///< by config::pace_step
    stop,  ///< stands still at once
};

/// What the latencies on a worker ask of one scavenging task. An image that is
/// known to disturb stands still at once, an unknown one is slowed step by
/// step, and latencies that an image is known not to disturb do not count until
/// they have been over their target for config::over_target_limit. The gap
/// between the two thresholds keeps the pace steady while a latency is close
/// to its target.
[[nodiscard]] auto next_pace_step(worker_entry const& at, held_run const& it,
                                  image_interference const& learned,
                                  time_point now) -> pace_step;

[[nodiscard]] auto apply_pace_step(permille now, pace_step change) -> permille;

} // namespace apricotlb

#endif
