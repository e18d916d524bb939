/// Ends and stops of runs that no list of a worker explains, runs that lapsed,
/// decisions on copies of straggling runs, and workers that refuse a fencing
/// token.
#ifndef APRICOTLB_CORE_FLEET_RUN_EVENTS_HPP
#define APRICOTLB_CORE_FLEET_RUN_EVENTS_HPP

#include "core/fleet/lease_bound.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/workflow.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace apricotlb
{

/// What the leader concluded about a run, and from what.
enum class run_event_kind : std::uint8_t
{
    lease_over,  ///< lost: its worker was silent until its lease was over, or
                 ///< refused the leader's token so long
    worker_gone, ///< lost or crashed: its worker has left or was replaced
    missing,     ///< ended: its worker does not list it
    withdrawn,   ///< not started: no order for it can be carried out any more
    unrecorded,  ///< stopped: its worker lists it and the log does not
    copied,      ///< a copy of a straggling run is proposed
    copy_won,    ///< the copy has finished first
    copy_lost,   ///< the first run has finished before its copy
    // Reasons for no copy of a straggling run, at most once for each run.
    copy_others_wait, ///< tasks of the same pool wait for room
    copy_no_room,     ///< no other worker may take it
    copy_no_evidence, ///< over its declared run time; no usual one is known
    copy_ends_soon,   ///< a copy would probably end after the run
    copy_failures,    ///< two failed runs could exceed max_failures
    relocated,        ///< stopped: moves off a worker that takes no new runs
    /// A scavenging task is proposed beside serving tasks that are expected
    /// above their headroom, since its step has waited for too long.
    exceeds_headroom,
    fenced, ///< its worker has refused the leader's fencing token; of no run if
            ///< it refused a poll
    lapsed, ///< ended: its worker lists that its lease was over
    /// Its worker lists it as running when asked after this leader had ended it
    /// as lease_over: the lease has outlasted the leader's bound.
    alive_after_lease,
    former_life, ///< of no run: an announcement of a life that has ended was
                 ///< refused
    /// Its worker lists that it has finished after it had ended otherwise.
    late_end,
    /// The same, and its task has started again: the end is not acknowledged.
    end_withheld,
};

[[nodiscard]] inline auto name_of(run_event_kind it) -> std::string_view
{
    constexpr std::array<std::string_view, 21> names{
        "lease_over",    "worker_gone",      "missing",
        "withdrawn",     "unrecorded",       "copied",
        "copy_won",      "copy_lost",        "copy_others_wait",
        "copy_no_room",  "copy_no_evidence", "copy_ends_soon",
        "copy_failures", "relocated",        "exceeds_headroom",
        "fenced",        "lapsed",           "alive_after_lease",
        "former_life",   "late_end",         "end_withheld"};
    return names.at(static_cast<std::size_t>(it));
}

struct run_event
{
    run_event_kind kind;
    task_run run;
    worker_instance worker;
    /// Of a lapsed run: since this leader received the lists of the worker
    /// before those that tell the end; none if they are the first ones.
    std::optional<duration> age{};
    std::optional<lease_report> lease{}; ///< of a run that ended as lease_over
};

} // namespace apricotlb

#endif
