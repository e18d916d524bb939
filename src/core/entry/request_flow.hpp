/// State machine of one urgent request, from its head to the end of its answer.
#ifndef APRICOTLB_CORE_ENTRY_REQUEST_FLOW_HPP
#define APRICOTLB_CORE_ENTRY_REQUEST_FLOW_HPP

#include "core/entry/admission.hpp"
#include "core/entry/backend_health.hpp"
#include "core/entry/http.hpp"
#include "core/entry/retry_policy.hpp"
#include "core/state/commands.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace apricotlb
{

enum class flow_phase : std::uint8_t
{
    parsed,            ///< authenticated, not yet started
    recording_key,     ///< its idempotency key is being recorded
    queued,            ///< waiting for a slot on a backend server
    sent,              ///< sent, no byte of the answer received yet
    answering,         ///< part of the answer was received
    recording_outcome, ///< the outcome of its key is being recorded
    releasing_key,     ///< its key is being released after a refusal
    done,
};

/// Properties of a request that never change.
struct request_facts
{
    request_id id;
    customer_id customer;
    std::string method;
    std::optional<key_name> key;
    request_digest digest;
    entry_session session;
    wall_time arrived;
};

/// Digest of the method, path, query and length of a keyed request. All entries
/// compute the same value, so that a key reused for another request is detected
/// wherever it arrives.
[[nodiscard]] auto digest_of(request_head const& it) -> request_digest;

/// Events of a request. Events of a call carry the number of the attempt, so
/// that late events of an earlier attempt can be ignored.
namespace flow_event
{

struct start
{
};
struct key_begun
{
    result<apply_result> applied;
};
struct dispatched
{
    backend_id backend;
};
/// Admission refused the request, or its time in the queue ended.
struct refused
{
    refusal reason;
};
struct head
{
    attempt_number attempt;
    answer_head answer;
};
struct chunk
{
    attempt_number attempt;
    std::string_view bytes;
};
struct call_ended
{
    attempt_number attempt;
    result<void> status;
};
/// The backend server sent no data within the time limit of the attempt.
struct answer_timed_out
{
    attempt_number attempt;
};
struct key_finished
{
    result<apply_result> applied;
};
struct key_released
{
    result<apply_result> applied;
};
struct caller_disconnected
{
};
struct deadline_passed
{
};

} // namespace flow_event

using flow_input =
    std::variant<flow_event::start, flow_event::key_begun,
                 flow_event::dispatched, flow_event::refused, flow_event::head,
                 flow_event::chunk, flow_event::call_ended,
                 flow_event::answer_timed_out, flow_event::key_finished,
                 flow_event::key_released, flow_event::caller_disconnected,
                 flow_event::deadline_passed>;

/// Actions that the driver executes in the order given.
namespace flow_action
{

struct begin_key
{
    apricotlb::begin_key it;
};
struct finish_key
{
    apricotlb::finish_key it;
};
struct release_key
{
    apricotlb::release_key it;
};
struct enqueue
{
    bool is_retry{false}; ///< the request was admitted before
};
struct leave_queue
{
};
struct send
{
    attempt_number attempt;
    backend_id backend;
};
struct cancel_call
{
};
struct first_byte
{
    backend_id from;
};
struct free_slot
{
    backend_id backend;
    attempt_result status;
};
struct start_answer
{
    answer_head it;
};
struct write_answer
{
    std::string_view bytes; ///< valid until the next step
};
struct end_answer
{
};
struct cut_answer
{
};
struct fail
{
    refusal reason;
};
struct retry
{
    retry_reason reason;
};
struct finished
{
};

} // namespace flow_action

using flow_output = std::variant<
    flow_action::begin_key, flow_action::finish_key, flow_action::release_key,
    flow_action::enqueue, flow_action::leave_queue, flow_action::send,
    flow_action::cancel_call, flow_action::first_byte, flow_action::free_slot,
    flow_action::start_answer, flow_action::write_answer,
    flow_action::end_answer, flow_action::cut_answer, flow_action::fail,
    flow_action::retry, flow_action::finished>;

/// State outside the request that a step depends on.
struct flow_context
{
    time_point now;
    time_point deadline;
    retry_budget& budget;
    bool body_forwarded{false}; ///< body bytes went to a backend server
    bool replayable{true};      ///< the body received so far is still buffered
};

/// One urgent request. Each step takes an event and returns the actions to
/// execute. An event that does not apply in the current phase is ignored.
class request_flow
{
public:
    explicit request_flow(request_facts facts) : facts_(std::move(facts)) {}

    [[nodiscard]] auto step(flow_input const& event,
                            flow_context const& context)
        -> std::vector<flow_output>;

    [[nodiscard]] auto phase() const -> flow_phase { return phase_; }
    [[nodiscard]] auto facts() const -> request_facts const& { return facts_; }
    [[nodiscard]] auto attempt() const -> attempt_number { return attempt_; }
    /// Backend servers of all attempts so far, in order.
    [[nodiscard]] auto tried() const -> std::vector<backend_id> const&
    {
        return tried_;
    }
    /// True when the driver may read the next chunk of the answer.
    [[nodiscard]] auto may_read_answer() const -> bool
    {
        return phase_ == flow_phase::sent || phase_ == flow_phase::answering;
    }
    /// True once part of the answer has been forwarded to the caller.
    [[nodiscard]] auto is_forwarding() const -> bool { return forwarding_; }

private:
    using actions = std::vector<flow_output>;

    auto on(flow_event::start const& it, flow_context const& context) -> void;
    auto on(flow_event::key_begun const& it, flow_context const& context)
        -> void;
    auto on(flow_event::dispatched const& it, flow_context const& context)
        -> void;
    auto on(flow_event::refused const& it, flow_context const& context) -> void;
    auto on(flow_event::head const& it, flow_context const& context) -> void;
    auto on(flow_event::chunk const& it, flow_context const& context) -> void;
    auto on(flow_event::call_ended const& it, flow_context const& context)
        -> void;
    auto on(flow_event::answer_timed_out const& it, flow_context const& context)
        -> void;
    auto on(flow_event::key_finished const& it, flow_context const& context)
        -> void;
    auto on(flow_event::key_released const& it, flow_context const& context)
        -> void;
    auto on(flow_event::caller_disconnected const& it,
            flow_context const& context) -> void;
    auto on(flow_event::deadline_passed const& it, flow_context const& context)
        -> void;

    [[nodiscard]] auto is_current(attempt_number attempt) const -> bool;
    auto replay_outcome(key_outcome const& recorded) -> void;
    auto record_outcome(bool is_complete) -> void;
    auto record_unknown_outcome() -> void;
    auto release_own_key() -> void;
    auto deliver_answer() -> void;
    auto handle_failed_attempt(error const& failure,
                               flow_context const& context) -> void;
    auto refuse(refusal reason) -> void;
    auto fail(refusal reason) -> void;
    auto close_call(attempt_result status) -> void;
    auto finish() -> void;

    request_facts facts_;
    flow_phase phase_{flow_phase::parsed};
    attempt_number attempt_{};
    std::vector<backend_id> tried_;
    bool call_open_{false};  ///< a call is open and occupies a slot
    bool forwarding_{false}; ///< part of the answer was forwarded
    bool caller_disconnected_{false};
    bool answer_complete_{false}; ///< the buffered answer is complete
    /// Failure of an attempt that may have run the request.
    std::optional<error> possibly_run_failure_;
    /// Sent to the caller once the key is released.
    std::optional<refusal> pending_refusal_;
    /// Answer to a keyed request, buffered until its outcome is recorded.
    answer_head buffered_head_;
    std::string buffered_body_;
    actions actions_;
};

} // namespace apricotlb

#endif
