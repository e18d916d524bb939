/// Serving tasks that stay over their latency targets, with what the leader
/// knows and has ordered about the scavenging runs beside them.
#ifndef APRICOTLB_CORE_FLEET_TARGET_REPORT_HPP
#define APRICOTLB_CORE_FLEET_TARGET_REPORT_HPP

#include "core/fleet/disturbance.hpp"
#include "core/fleet/worker_messages.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace apricotlb
{

/// A scavenging run on the worker of a serving task.
struct scavenging_neighbor
{
    task_run run;
    permille pace;                         ///< as confirmed by the worker
    std::optional<permille> possible_pace; ///< as in held_run
    interference_state effect{interference_state::unknown};
    duration at_pace{}; ///< since the pace or the run was last confirmed
    /// Age of the order that waits for its answer; none without one.
    std::optional<duration> order_age;
};

/// A serving task that has been over its latency target for longer than
/// config::max_time_over_target beside scavenging runs.
struct target_report
{
    /// Reports at a time, and neighbors in one report.
    static constexpr std::size_t max_reports = 4;
    static constexpr std::size_t max_neighbors = 6;

    task_run run;
    worker_instance worker;
    duration over_target{};
    milliseconds target{};
    milliseconds tail_latency{}; ///< as reported last
    permille latency_ratio;      ///< smoothed
    duration list_age{};         ///< since the last lists of the worker
    /// Age of the poll that waits for its answer; none without one.
    std::optional<duration> poll_age;
    std::int64_t scavenging{0}; ///< runs on the worker
    /// Those with the highest pace first.
    std::vector<scavenging_neighbor> neighbors;
};

} // namespace apricotlb

#endif
