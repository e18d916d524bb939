/// Reasons for the scheduler's decisions on one task.
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

/// Why a task waits, or the phase of its current attempt.
enum class task_reason : std::uint8_t
{
    waiting_for_turn, ///< other work comes before it in the queue
    no_contract,
    allowance_used, ///< the customer's batch allowance is used up
    too_large,      ///< exceeds the customer's share of every worker
    no_capacity,    ///< no open worker has enough free resources
    share_used,   ///< enough free only where the customer's VM share is used up
    interference, ///< enough free only next to services at risk
    last_capacity, ///< enough free only in the part reserved from stragglers
    failing_job,   ///< tasks of the job fail, so only a few run at once
    recording,     ///< placed; not yet recorded in the log
    starting,      ///< recorded; the worker has not confirmed the start
    running,
    checkpointing, ///< being checkpointed, to continue on another worker
    stopping,
    ended,
};

template <>
inline constexpr auto last_enumerator<task_reason> = task_reason::ended;

/// Why the last attempt of a task ended early.
enum class move_reason : std::uint8_t
{
    none,
    urgent_latency, ///< a service on the worker exceeded the latency threshold
    straggler,      ///< ran much longer than its kind while other tasks waited
    worker_retired,
    lease_expired,
    not_started,
    failed,
    cancelled,
};

template <>
inline constexpr auto last_enumerator<move_reason> = move_reason::cancelled;

/// State of one task and the reasons for it.
struct explanation
{
    task_state state{task_state::waiting};
    task_reason reason{task_reason::waiting_for_turn};
    attempt_number attempt;
    resources declared;
    resources needed; ///< resources that are, or would be, committed

    // The current placement.
    std::optional<worker_id> worker;
    task_count candidates; ///< workers whose costs were compared
    permille slowdown;     ///< expected for services on the worker

    // The last move.
    move_reason moved{move_reason::none};
    std::optional<worker_id> moved_from;
    milliseconds measured{}; ///< latency or run time that caused the move
    milliseconds limit{};    ///< bound that applied to `measured`

    std::string contract_line; ///< part of the contract that applies

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

/// The part of the contract that a reason refers to, as text for people.
[[nodiscard]] auto contract_line(std::optional<contract> const& it,
                                 task_reason reason, move_reason moved)
    -> std::string;

} // namespace apricotlb

#endif
