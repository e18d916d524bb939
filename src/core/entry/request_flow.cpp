#include "core/entry/request_flow.hpp"

#include <apricotlb/config.hpp>

#include <utility>

namespace apricotlb
{

namespace
{

/// A backend server's statement that it refused a request unrun.
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

auto is_unrun_refusal(answer_head const& it) -> bool
{
    auto const* const ran = find_header(it.headers, ran_header);
    return it.status == http_status{503} && ran != nullptr && *ran == "no";
}

auto size_of(std::string const& it) -> byte_count
{
    return byte_count{static_cast<std::int64_t>(it.size())};
}

} // namespace

auto request_flow::step(flow_input const& event, flow_context const& with)
    -> std::vector<flow_output>
{
    std::visit([&](auto const& it) { on(it, with); }, event);
    return std::exchange(out_, {});
}

auto request_flow::on(flow_event::start const& /*it*/,
                      flow_context const& /*with*/) -> void
{
    if (phase_ != flow_phase::parsed)
    {
        return;
    }
    if (!facts_.key)
    {
        phase_ = flow_phase::queued;
        out_.emplace_back(flow_action::enqueue{});
        return;
    }
    phase_ = flow_phase::beginning;
    out_.emplace_back(
        flow_action::begin_key{{*facts_.key, facts_.digest, facts_.session,
                                facts_.id, facts_.arrived}});
}

auto request_flow::on(flow_event::key_begun const& it,
                      flow_context const& /*with*/) -> void
{
    if (phase_ != flow_phase::beginning)
    {
        return;
    }
    if (it.it.has_error())
    {
        // The key may have been recorded although the answer was lost.
        release();
        fail({it.it.error(), {}});
        return;
    }
    auto const& answer = it.it.value();
    if (answer.refused)
    {
        fail({{*answer.refused, answer.detail}, {}});
    }
    else if (answer.key && answer.key->outcome)
    {
        replay(*answer.key->outcome);
    }
    else if (!answer.key || !answer.key->begun)
    {
        fail({{error_kind::internal, "the key was neither begun nor known"},
              {}});
    }
    else if (gone_)
    {
        release();
        finish();
    }
    else
    {
        phase_ = flow_phase::queued;
        out_.emplace_back(flow_action::enqueue{});
    }
}

auto request_flow::on(flow_event::dispatched const& it,
                      flow_context const& /*with*/) -> void
{
    if (phase_ != flow_phase::queued)
    {
        out_.emplace_back(
            flow_action::free_slot{it.to, attempt_result::cancelled});
        return;
    }
    phase_ = flow_phase::sent;
    ++attempt_;
    calling_ = true;
    tried_.push_back(it.to);
    out_.emplace_back(flow_action::send{attempt_, it.to});
}

auto request_flow::on(flow_event::refused const& it,
                      flow_context const& /*with*/) -> void
{
    if (phase_ == flow_phase::queued)
    {
        give_up(it.why);
    }
}

auto request_flow::is_current(attempt_number n) const -> bool
{
    return calling_ && n == attempt_;
}

auto request_flow::on(flow_event::head const& it, flow_context const& with)
    -> void
{
    if (!is_current(it.attempt) || phase_ != flow_phase::sent)
    {
        return;
    }
    if (is_unrun_refusal(it.it))
    {
        drop_call(attempt_result::cancelled);
        attempt_failed({error_kind::backend_refused,
                        "the backend server refused the request unrun"},
                       with);
        return;
    }
    out_.emplace_back(flow_action::first_byte{tried_.back()});
    phase_ = flow_phase::answering;
    if (!facts_.key)
    {
        forwarding_ = true;
        out_.emplace_back(flow_action::start_answer{it.it});
        return;
    }
    head_ = it.it;
}

auto request_flow::on(flow_event::chunk const& it, flow_context const& /*with*/)
    -> void
{
    if (!is_current(it.attempt))
    {
        return;
    }
    if (forwarding_)
    {
        out_.emplace_back(flow_action::write_answer{it.bytes});
        return;
    }
    held_.append(it.bytes);
    if (phase_ == flow_phase::answering &&
        size_of(held_) > config::max_recorded_body)
    {
        record(false);
    }
}

auto request_flow::on(flow_event::ended const& it, flow_context const& with)
    -> void
{
    if (!is_current(it.attempt))
    {
        return;
    }
    calling_ = false;
    auto const early = it.how.has_value() && phase_ == flow_phase::sent;
    if (it.how.has_error() || early)
    {
        auto const why = early ? error{error_kind::backend_failed, "no answer"}
                               : it.how.error();
        out_.emplace_back(
            flow_action::free_slot{tried_.back(), result_of(why.kind)});
        attempt_failed(why, with);
        return;
    }
    out_.emplace_back(
        flow_action::free_slot{tried_.back(), attempt_result::ok});
    whole_ = true;
    if (forwarding_)
    {
        out_.emplace_back(flow_action::end_answer{});
        finish();
    }
    else if (phase_ == flow_phase::answering)
    {
        record(true);
    }
}

auto request_flow::on(flow_event::silent const& it, flow_context const& with)
    -> void
{
    if (!is_current(it.attempt) || !wants_answer())
    {
        return;
    }
    drop_call(attempt_result::timed_out);
    attempt_failed({error_kind::backend_timeout, "no answer in time"}, with);
}

auto request_flow::on(flow_event::key_finished const& it,
                      flow_context const& /*with*/) -> void
{
    if (phase_ != flow_phase::recording)
    {
        return;
    }
    if (it.it.has_error() || it.it.value().refused)
    {
        drop_call(attempt_result::cancelled);
        fail({{error_kind::outcome_unknown,
               "the request ran but its outcome could not be recorded"},
              {}});
        return;
    }
    deliver();
}

auto request_flow::on(flow_event::key_released const& /*it*/,
                      flow_context const& /*with*/) -> void
{
    if (phase_ == flow_phase::releasing)
    {
        fail(std::move(*pending_));
    }
}

auto request_flow::on(flow_event::caller_gone const& /*it*/,
                      flow_context const& /*with*/) -> void
{
    gone_ = true;
    switch (phase_)
    {
    case flow_phase::parsed:
        finish();
        break;
    case flow_phase::queued:
        out_.emplace_back(flow_action::leave_queue{});
        if (facts_.key)
        {
            release();
        }
        finish();
        break;
    case flow_phase::sent:
    case flow_phase::answering:
        // The outcome of a keyed request is still recorded for a resend.
        if (!facts_.key || forwarding_)
        {
            drop_call(attempt_result::cancelled);
            finish();
        }
        break;
    case flow_phase::beginning:
    case flow_phase::recording:
    case flow_phase::releasing:
    case flow_phase::done:
        break;
    }
}

auto request_flow::on(flow_event::deadline_passed const& /*it*/,
                      flow_context const& /*with*/) -> void
{
    switch (phase_)
    {
    case flow_phase::beginning:
        release();
        fail({{error_kind::deadline_unmeetable,
               "the key was not recorded in time; the request did not run"},
              seconds{1}});
        break;
    case flow_phase::queued:
        out_.emplace_back(flow_action::leave_queue{});
        give_up({{error_kind::deadline_unmeetable,
                  "no slot became free before the deadline"},
                 seconds{1}});
        break;
    case flow_phase::sent:
    case flow_phase::answering:
        if (forwarding_)
        {
            break;
        }
        drop_call(attempt_result::timed_out);
        record_unknown();
        fail({{error_kind::deadline_exceeded,
               "no complete answer before the deadline"},
              {}});
        break;
    case flow_phase::recording:
        drop_call(attempt_result::cancelled);
        fail({{error_kind::outcome_unknown,
               "the outcome was not recorded before the deadline"},
              {}});
        break;
    case flow_phase::releasing:
        fail(std::move(*pending_));
        break;
    case flow_phase::parsed:
    case flow_phase::done:
        break;
    }
}

auto request_flow::replay(key_outcome const& it) -> void
{
    if (it.body_omitted)
    {
        fail({{error_kind::outcome_too_large,
               "the request ran; its answer was too large to record"},
              {}});
        return;
    }
    head_ = {it.status, it.headers, size_of(it.body)};
    head_.headers.push_back({std::string{replayed_header}, "true"});
    held_ = it.body;
    whole_ = true;
    deliver();
}

auto request_flow::record(bool whole) -> void
{
    phase_ = flow_phase::recording;
    key_outcome outcome{head_.status, head_.headers, {}, !whole};
    if (whole)
    {
        outcome.body = held_;
    }
    out_.emplace_back(flow_action::finish_key{
        {*facts_.key, facts_.session, facts_.id, std::move(outcome)}});
}

auto request_flow::record_unknown() -> void
{
    if (facts_.key)
    {
        out_.emplace_back(flow_action::finish_key{
            {*facts_.key, facts_.session, facts_.id, {}}});
    }
}

auto request_flow::release() -> void
{
    out_.emplace_back(
        flow_action::release_key{{*facts_.key, facts_.session, facts_.id}});
}

auto request_flow::deliver() -> void
{
    out_.emplace_back(flow_action::start_answer{head_});
    out_.emplace_back(flow_action::write_answer{held_});
    forwarding_ = true;
    if (whole_)
    {
        out_.emplace_back(flow_action::end_answer{});
        finish();
    }
    else if (gone_ || !calling_)
    {
        drop_call(attempt_result::cancelled);
        out_.emplace_back(flow_action::cut_answer{});
        finish();
    }
    else
    {
        phase_ = flow_phase::answering;
    }
}

auto request_flow::attempt_failed(error const& why, flow_context const& with)
    -> void
{
    if (forwarding_)
    {
        out_.emplace_back(flow_action::cut_answer{});
        finish();
        return;
    }
    if (phase_ == flow_phase::recording)
    {
        // The answer broke off after its head went to the log; deliver()
        // cuts it.
        return;
    }
    failed_attempt const facts{.kind = why.kind,
                               .idempotent =
                                   !facts_.key && is_idempotent(facts_.method),
                               .forwarded = false,
                               .replayable = with.replayable,
                               .body_taken = with.body_taken,
                               .attempts = static_cast<int>(attempt_.value()),
                               .deadline = with.deadline};
    auto const unrun = why.kind == error_kind::backend_refused;
    if (!unrun)
    {
        maybe_ran_ = why;
    }
    auto const reason = gone_ ? std::nullopt : retry_reason_of(facts, with.now);
    auto const paid = reason && with.budget.spend(facts_.customer, with.now);
    if (paid)
    {
        phase_ = flow_phase::queued;
        out_.emplace_back(flow_action::retry{*reason});
        out_.emplace_back(flow_action::enqueue{true});
    }
    else if (unrun)
    {
        give_up({reason ? error{error_kind::retry_budget_spent,
                                "not run; too many retries: " + why.detail}
                        : why,
                 seconds{1}});
    }
    else
    {
        record_unknown();
        fail({why, {}});
    }
}

auto request_flow::give_up(refusal why) -> void
{
    if (maybe_ran_)
    {
        // An earlier attempt may have run, so the answer must not say
        // otherwise.
        fail({*maybe_ran_, {}});
        return;
    }
    if (!facts_.key)
    {
        fail(std::move(why));
        return;
    }
    // The caller is told once the key is free, so that its resend finds it
    // free.
    phase_ = flow_phase::releasing;
    pending_ = std::move(why);
    release();
}

auto request_flow::fail(refusal why) -> void
{
    out_.emplace_back(flow_action::fail{std::move(why)});
    finish();
}

auto request_flow::drop_call(attempt_result how) -> void
{
    if (calling_)
    {
        calling_ = false;
        out_.emplace_back(flow_action::cancel_call{});
        out_.emplace_back(flow_action::free_slot{tried_.back(), how});
    }
}

auto request_flow::finish() -> void
{
    phase_ = flow_phase::done;
    out_.emplace_back(flow_action::finished{});
}

} // namespace apricotlb
