/// Reasons behind the scheduler's decisions on one task.
#ifndef APRICOTLB_CORE_SCHEDULING_EXPLAIN_HPP
#define APRICOTLB_CORE_SCHEDULING_EXPLAIN_HPP

#include <apricotlb/contract.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricotlb
{

/// Why a task waits, or how far it has got.
enum class task_reason : std::uint8_t
{
    waiting_for_turn, ///< other work is offered before it
    no_contract,
    allowance_used, ///< the customer's batch allowance is used up
    too_large,      ///< fits into no worker under the contract
    no_capacity,    ///< no open worker has this much free
    share_used,     ///< room only where the customer's VM share is used
    interference,   ///< room only where urgent work would suffer
    last_capacity,  ///< a straggler may not fill a worker
    failing_job,    ///< its siblings fail, so few run at once
    recording,      ///< placed; being recorded in the log
    starting,       ///< recorded; its start is not confirmed yet
    running,
    checkpointing, ///< being moved
    stopping,
    ended,
};

template <>
inline constexpr auto last_enumerator<task_reason> = task_reason::ended;

/// Why the last attempt of a task was ended early.
enum class move_reason : std::uint8_t
{
    none,
    urgent_latency, ///< a service on the worker was above the threshold
    straggler,      ///< it ran far beyond its kind while others waited
    worker_retired,
    lease_expired,
    not_started,
    failed,
    cancelled,
};

template <>
inline constexpr auto last_enumerator<move_reason> = move_reason::cancelled;

/// What is known about one task.
struct explanation
{
    task_state state{task_state::waiting};
    task_reason reason{task_reason::waiting_for_turn};
    attempt_number attempt;
    resources declared;
    resources needed; ///< what is or would be committed

    // The current placement.
    std::optional<worker_id> worker;
    task_count candidates; ///< workers that were compared
    permille slowdown;     ///< expected for services on the worker

    // The last move.
    move_reason moved{move_reason::none};
    std::optional<worker_id> moved_from;
    milliseconds measured{}; ///< the latency or run time behind the move
    milliseconds limit{};    ///< what it was compared with

    std::string contract_line; ///< the line of the contract that applies

    static constexpr auto fields()
    {
        return field_list(field("state", &explanation::state),
                          field("reason", &explanation::reason),
                          field("attempt", &explanation::attempt),
                          field("declared", &explanation::declared),
                          field("needed", &explanation::needed),
                          field("worker", &explanation::worker),
                          field("candidates", &explanation::candidates),
                          field("slowdown", &explanation::slowdown),
                          field("moved", &explanation::moved),
                          field("moved_from", &explanation::moved_from),
                          field("measured", &explanation::measured),
                          field("limit", &explanation::limit),
                          field("contract_line", &explanation::contract_line));
    }
};

[[nodiscard]] auto name_of(task_reason it) -> std::string_view;
[[nodiscard]] auto name_of(move_reason it) -> std::string_view;

/// The line of the contract that a reason refers to.
[[nodiscard]] auto contract_line(std::optional<contract> const& it,
                                 task_reason reason, move_reason moved)
    -> std::string;

} // namespace apricotlb

#endif
