#include "core/entry/request_flow.hpp"

#include <apricotlb/config.hpp>

#include <utility>

namespace apricotlb
{

namespace
{

/// Response header by which a backend server states whether it ran the request.
constexpr std::string_view ran_header = "Apricotlb-Ran";
constexpr std::string_view replayed_header = "Apricotlb-Replayed";

auto result_of(error_kind kind) -> attempt_result
{
    switch (kind)
    {
    case error_kind::backend_refused:
        return attempt_result::refused;
    case error_kind::backend_timeout:
        return attempt_result::timed_out;
    default:
        return attempt_result::failed;
    }
}

auto reports_not_run(answer_head const& it) -> bool
{
    auto const* const ran = find_header(it.headers, ran_header);
    return it.status == http_status{503} && ran != nullptr && *ran == "no";
}

auto size_of(std::string const& it) -> byte_count
{
    return byte_count{static_cast<std::int64_t>(it.size())};
}

} // namespace

auto request_flow::step(flow_input const& event, flow_context const& context)
    -> std::vector<flow_output>
{
    std::visit([&](auto const& it) { on(it, context); }, event);
    return std::exchange(actions_, {});
}

auto request_flow::on(flow_event::start const& /*it*/,
                      flow_context const& /*context*/) -> void
{
    if (phase_ != flow_phase::parsed)
    {
        return;
    }
    if (!facts_.key)
    {
        phase_ = flow_phase::queued;
        actions_.emplace_back(flow_action::enqueue{});
        return;
    }
    phase_ = flow_phase::recording_key;
    actions_.emplace_back(
        flow_action::begin_key{{*facts_.key, facts_.digest, facts_.session,
                                facts_.id, facts_.arrived}});
}

auto request_flow::on(flow_event::key_begun const& it,
                      flow_context const& /*context*/) -> void
{
    if (phase_ != flow_phase::recording_key)
    {
        return;
    }
    if (it.applied.has_error())
    {
        // The key may have been recorded although no answer arrived.
        release_own_key();
        fail({it.applied.error(), {}});
        return;
    }
    auto const& answer = it.applied.value();
    if (answer.refused)
    {
        fail({{*answer.refused, answer.detail}, {}});
    }
    else if (answer.key && answer.key->outcome)
    {
        replay_outcome(*answer.key->outcome);
    }
    else if (!answer.key || !answer.key->begun)
    {
        fail({{error_kind::internal,
               "the control leader returned no state for the idempotency key"},
              {}});
    }
    else if (caller_disconnected_)
    {
        release_own_key();
        finish();
    }
    else
    {
        phase_ = flow_phase::queued;
        actions_.emplace_back(flow_action::enqueue{});
    }
}

auto request_flow::on(flow_event::dispatched const& it,
                      flow_context const& /*context*/) -> void
{
    if (phase_ != flow_phase::queued)
    {
        actions_.emplace_back(
            flow_action::free_slot{it.backend, attempt_result::cancelled});
        return;
    }
    phase_ = flow_phase::sent;
    ++attempt_;
    call_open_ = true;
    tried_.push_back(it.backend);
    actions_.emplace_back(flow_action::send{attempt_, it.backend});
}

auto request_flow::on(flow_event::refused const& it,
                      flow_context const& /*context*/) -> void
{
    if (phase_ == flow_phase::queued)
    {
        refuse(it.reason);
    }
}

auto request_flow::is_current(attempt_number attempt) const -> bool
{
    return call_open_ && attempt == attempt_;
}

auto request_flow::on(flow_event::head const& it, flow_context const& context)
    -> void
{
    if (!is_current(it.attempt) || phase_ != flow_phase::sent)
    {
        return;
    }
    if (reports_not_run(it.answer))
    {
        close_call(attempt_result::cancelled);
        handle_failed_attempt(
            {error_kind::backend_refused,
             "the backend server refused the request and did not run it"},
            context);
        return;
    }
    actions_.emplace_back(flow_action::first_byte{tried_.back()});
    phase_ = flow_phase::answering;
    if (!facts_.key)
    {
        forwarding_ = true;
        actions_.emplace_back(flow_action::start_answer{it.answer});
        return;
    }
    buffered_head_ = it.answer;
}

auto request_flow::on(flow_event::chunk const& it,
                      flow_context const& /*context*/) -> void
{
    if (!is_current(it.attempt))
    {
        return;
    }
    if (forwarding_)
    {
        actions_.emplace_back(flow_action::write_answer{it.bytes});
        return;
    }
    buffered_body_.append(it.bytes);
    if (phase_ == flow_phase::answering &&
        size_of(buffered_body_) > config::max_recorded_body)
    {
        record_outcome(false);
    }
}

auto request_flow::on(flow_event::call_ended const& it,
                      flow_context const& context) -> void
{
    if (!is_current(it.attempt))
    {
        return;
    }
    call_open_ = false;
    auto const ended_early =
        it.status.has_value() && phase_ == flow_phase::sent;
    if (it.status.has_error() || ended_early)
    {
        auto const failure = ended_early
                                 ? error{error_kind::backend_failed,
                                         "the call to the backend server ended "
                                         "without an answer"}
                                 : it.status.error();
        actions_.emplace_back(
            flow_action::free_slot{tried_.back(), result_of(failure.kind)});
        handle_failed_attempt(failure, context);
        return;
    }
    actions_.emplace_back(
        flow_action::free_slot{tried_.back(), attempt_result::ok});
    answer_complete_ = true;
    if (forwarding_)
    {
        actions_.emplace_back(flow_action::end_answer{});
        finish();
    }
    else if (phase_ == flow_phase::answering)
    {
        record_outcome(true);
    }
}

auto request_flow::on(flow_event::answer_timed_out const& it,
                      flow_context const& context) -> void
{
    if (!is_current(it.attempt) || !may_read_answer())
    {
        return;
    }
    close_call(attempt_result::timed_out);
    handle_failed_attempt(
        {error_kind::backend_timeout,
         "the backend server sent no data within the time limit"},
        context);
}

auto request_flow::on(flow_event::key_finished const& it,
                      flow_context const& /*context*/) -> void
{
    if (phase_ != flow_phase::recording_outcome)
    {
        return;
    }
    if (it.applied.has_error() || it.applied.value().refused)
    {
        close_call(attempt_result::cancelled);
        fail({{error_kind::outcome_unknown,
               "the request ran but its outcome could not be recorded"},
              {}});
        return;
    }
    deliver_answer();
}

auto request_flow::on(flow_event::key_released const& /*it*/,
                      flow_context const& /*context*/) -> void
{
    if (phase_ == flow_phase::releasing_key)
    {
        fail(std::move(*pending_refusal_));
    }
}

auto request_flow::on(flow_event::caller_disconnected const& /*it*/,
                      flow_context const& /*context*/) -> void
{
    caller_disconnected_ = true;
    switch (phase_)
    {
    case flow_phase::parsed:
        finish();
        break;
    case flow_phase::queued:
        actions_.emplace_back(flow_action::leave_queue{});
        if (facts_.key)
        {
            release_own_key();
        }
        finish();
        break;
    case flow_phase::sent:
    case flow_phase::answering:
        // The outcome of a keyed request is still recorded, so that a resend of
        // the request receives it.
        if (!facts_.key || forwarding_)
        {
            close_call(attempt_result::cancelled);
            finish();
        }
        break;
    case flow_phase::recording_key:
    case flow_phase::recording_outcome:
    case flow_phase::releasing_key:
    case flow_phase::done:
        break;
    }
}

auto request_flow::on(flow_event::deadline_passed const& /*it*/,
                      flow_context const& /*context*/) -> void
{
    switch (phase_)
    {
    case flow_phase::recording_key:
        release_own_key();
        fail({{error_kind::deadline_unmeetable,
               "the key was not recorded in time; the request did not run"},
              seconds{1}});
        break;
    case flow_phase::queued:
        actions_.emplace_back(flow_action::leave_queue{});
        refuse({{error_kind::deadline_unmeetable,
                 "no slot became free before the deadline"},
                seconds{1}});
        break;
    case flow_phase::sent:
    case flow_phase::answering:
        if (forwarding_)
        {
            break;
        }
        close_call(attempt_result::timed_out);
        record_unknown_outcome();
        fail({{error_kind::deadline_exceeded,
               "no complete answer before the deadline"},
              {}});
        break;
    case flow_phase::recording_outcome:
        close_call(attempt_result::cancelled);
        fail({{error_kind::outcome_unknown,
               "the outcome was not recorded before the deadline"},
              {}});
        break;
    case flow_phase::releasing_key:
        fail(std::move(*pending_refusal_));
        break;
    case flow_phase::parsed:
    case flow_phase::done:
        break;
    }
}

auto request_flow::replay_outcome(key_outcome const& recorded) -> void
{
    if (recorded.body_omitted)
    {
        fail({{error_kind::outcome_too_large,
               "the request ran; its answer was too large to record"},
              {}});
        return;
    }
    buffered_head_ = {recorded.status, recorded.headers,
                      size_of(recorded.body)};
    buffered_head_.headers.push_back({std::string{replayed_header}, "true"});
    buffered_body_ = recorded.body;
    answer_complete_ = true;
    deliver_answer();
}

auto request_flow::record_outcome(bool is_complete) -> void
{
    phase_ = flow_phase::recording_outcome;
    key_outcome outcome{
        buffered_head_.status, buffered_head_.headers, {}, !is_complete};
    if (is_complete)
    {
        outcome.body = buffered_body_;
    }
    actions_.emplace_back(flow_action::finish_key{
        {*facts_.key, facts_.session, facts_.id, std::move(outcome)}});
}

auto request_flow::record_unknown_outcome() -> void
{
    if (facts_.key)
    {
        actions_.emplace_back(flow_action::finish_key{
            {*facts_.key, facts_.session, facts_.id, {}}});
    }
}

auto request_flow::release_own_key() -> void
{
    actions_.emplace_back(
        flow_action::release_key{{*facts_.key, facts_.session, facts_.id}});
}

auto request_flow::deliver_answer() -> void
{
    actions_.emplace_back(flow_action::start_answer{buffered_head_});
    actions_.emplace_back(flow_action::write_answer{buffered_body_});
    forwarding_ = true;
    if (answer_complete_)
    {
        actions_.emplace_back(flow_action::end_answer{});
        finish();
    }
    else if (caller_disconnected_ || !call_open_)
    {
        close_call(attempt_result::cancelled);
        actions_.emplace_back(flow_action::cut_answer{});
        finish();
    }
    else
    {
        phase_ = flow_phase::answering;
    }
}

auto request_flow::handle_failed_attempt(error const& failure,
                                         flow_context const& context) -> void
{
    if (forwarding_)
    {
        actions_.emplace_back(flow_action::cut_answer{});
        finish();
        return;
    }
    if (phase_ == flow_phase::recording_outcome)
    {
        // The answer ended early while its head was being recorded;
        // deliver_answer() cuts it once that is done.
        return;
    }
    failed_attempt const attempt{.kind = failure.kind,
                                 .idempotent = !facts_.key &&
                                               is_idempotent(facts_.method),
                                 .forwarded = false,
                                 .replayable = context.replayable,
                                 .body_forwarded = context.body_forwarded,
                                 .attempts = static_cast<int>(attempt_.value()),
                                 .deadline = context.deadline};
    auto const did_not_run = failure.kind == error_kind::backend_refused;
    if (!did_not_run)
    {
        possibly_run_failure_ = failure;
    }
    auto const allowed_retry = caller_disconnected_
                                   ? std::nullopt
                                   : retry_reason_of(attempt, context.now);
    auto const has_budget =
        allowed_retry && context.budget.spend(facts_.customer, context.now);
    if (has_budget)
    {
        phase_ = flow_phase::queued;
        actions_.emplace_back(flow_action::retry{*allowed_retry});
        actions_.emplace_back(flow_action::enqueue{true});
    }
    else if (did_not_run)
    {
        refuse({allowed_retry ? error{error_kind::retry_budget_spent,
                                      "the request did not run and the retry "
                                      "budget of the customer is spent: " +
                                          failure.detail}
                              : failure,
                seconds{1}});
    }
    else
    {
        record_unknown_outcome();
        fail({failure, {}});
    }
}

auto request_flow::refuse(refusal reason) -> void
{
    if (possibly_run_failure_)
    {
        // An earlier attempt may have run, so the error must not state that
        // the request did not run.
        fail({*possibly_run_failure_, {}});
        return;
    }
    if (!facts_.key)
    {
        fail(std::move(reason));
        return;
    }
    // The refusal is sent after the key has been released; otherwise an
    // immediate resend would find the key still in use.
    phase_ = flow_phase::releasing_key;
    pending_refusal_ = std::move(reason);
    release_own_key();
}

auto request_flow::fail(refusal reason) -> void
{
    actions_.emplace_back(flow_action::fail{std::move(reason)});
    finish();
}

auto request_flow::close_call(attempt_result status) -> void
{
    if (call_open_)
    {
        call_open_ = false;
        actions_.emplace_back(flow_action::cancel_call{});
        actions_.emplace_back(flow_action::free_slot{tried_.back(), status});
    }
}

auto request_flow::finish() -> void
{
    phase_ = flow_phase::done;
    actions_.emplace_back(flow_action::finished{});
}

} // namespace apricotlb
