#include "core/entry/call_table.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace apricotlb
{

auto kind_of(decltype(call::body) const& body) -> call_kind
{
    if (std::holds_alternative<query>(body))
    {
        return call_kind::read;
    }
    auto const* const request = std::get_if<workflow_call>(&body);
    if (request == nullptr || request->action == workflow_action::cancel)
    {
        return call_kind::change;
    }
    return request->action == workflow_action::submit ? call_kind::submission
                                                      : call_kind::read;
}

auto name_of(call_kind it) -> std::string_view
{
    switch (it)
    {
    case call_kind::read:
        return "read";
    case call_kind::submission:
        return "submission";
    case call_kind::change:
        break;
    }
    return "change";
}

auto name_of(call_refusal it) -> std::string_view
{
    switch (it)
    {
    case call_refusal::leader_silent:
        return "leader_silent";
    case call_refusal::not_accepted:
        return "not_accepted";
    case call_refusal::leader_changed:
        return "leader_changed";
    case call_refusal::read_unanswered:
        break;
    }
    return "read_unanswered";
}

auto name_of(call_standing it) -> std::string_view
{
    switch (it)
    {
    case call_standing::waiting:
        return "waiting";
    case call_standing::not_leader:
        return "not_leader";
    case call_standing::leader_without_lease:
        return "leader_without_lease";
    case call_standing::proposed:
        return "proposed";
    case call_standing::outcome_unknown:
        return "outcome_unknown";
    case call_standing::silent:
        break;
    }
    return "silent";
}

auto name_of(late_cancel::call_end it) -> std::string_view
{
    switch (it)
    {
    case late_cancel::call_end::answered:
        return "answered";
    case late_cancel::call_end::expired:
        return "expired";
    case late_cancel::call_end::open:
        break;
    }
    return "open";
}

namespace
{

auto is_cancel(call const& it) -> bool
{
    auto const* const request = std::get_if<workflow_call>(&it.body);
    return request != nullptr && request->action == workflow_action::cancel;
}

} // namespace

auto call_table::standing_of(pending_call const& it) const -> call_standing
{
    return it.standing == call_standing::silent &&
                   watch_.is_heard_since(it.sent_to, it.sent_at)
               ? call_standing::waiting
               : it.standing;
}

auto call_table::report(pending_call const& it, time_point now,
                        late_cancel::call_end end) const -> late_cancel
{
    return {it.message.id,
            std::get<workflow_call>(it.message.body).path,
            it.sent_to,
            standing_of(it),
            now - it.started,
            it.sends,
            end};
}

auto call_table::send_to(pending_call& pending, node_id const& to,
                         time_point now) const -> call_to_send
{
    if (pending.sent_to != to || pending.standing != call_standing::proposed)
    {
        pending.standing = call_standing::silent;
    }
    pending.sent_to = to;
    pending.sent_at = now;
    ++pending.sends;
    return {pending.sent_to, pending.message};
}

auto call_table::refusal_of(decltype(call::body) const& body,
                            time_point now) const -> std::optional<call_refusal>
{
    return kind_of(body) == call_kind::submission && watch_.is_leaderless(now)
               ? std::optional{call_refusal::leader_silent}
               : std::nullopt;
}

auto call_table::start(decltype(call::body) body, time_point now,
                       duration timeout) -> call_to_send
{
    watch_.begin(now);
    ++last_id_;
    auto& pending = calls_[last_id_];
    pending.kind = kind_of(body);
    pending.message = {last_id_, std::move(body)};
    pending.started = now;
    pending.deadline = now + timeout;
    return send_to(pending, leader(), now);
}

auto call_table::take(node_id const& from, call_answer const& it,
                      time_point now) -> outcome_of_answer
{
    auto const found = calls_.find(it.id);
    if (found == calls_.end())
    {
        return {};
    }
    auto const* const failure = std::get_if<call_failure>(&it.body);
    auto const is_redirected =
        failure != nullptr && (failure->kind == error_kind::not_leader ||
                               failure->kind == error_kind::no_leader);
    if (!is_redirected)
    {
        outcome_of_answer out;
        out.done = true;
        if (found->second.is_late)
        {
            out.late =
                report(found->second, now, late_cancel::call_end::answered);
        }
        set_leader(from, now);
        calls_.erase(found);
        return out;
    }
    auto out = redirect(found->second, from, *failure, now);
    if (out.refused)
    {
        calls_.erase(found);
    }
    return out;
}

auto call_table::redirect(pending_call& pending, node_id const& from,
                          call_failure const& it, time_point now)
    -> outcome_of_answer
{
    auto const is_in_office = it.leader == from;
    if (it.kind == error_kind::not_leader)
    {
        ++pending.not_leader_answers;
    }
    else
    {
        pending.may_have_run = true;
        if (is_in_office && pending.kind != call_kind::read)
        {
            // The leader has the call; a copy that went elsewhere adds nothing.
            set_leader(from, now);
            pending.sent_to = from;
            pending.sent_at = now;
            pending.standing = call_standing::proposed;
            return {};
        }
    }
    if (from == pending.sent_to)
    {
        pending.standing = it.kind == error_kind::no_leader
                               ? call_standing::outcome_unknown
                           : is_in_office ? call_standing::leader_without_lease
                                          : call_standing::not_leader;
    }
    if (from == pending.sent_to && is_in_office && !has_new_leader(pending))
    {
        watch_.heard(from, now);
    }
    auto const names_another = it.leader && *it.leader != pending.sent_to;
    if (names_another)
    {
        presume(*it.leader);
    }
    if (pending.kind == call_kind::read)
    {
        // Other processes may know the leader before the one asked does.
        auto const is_late = now - pending.started >= config::read_search_time;
        auto const max_sends = control_.size() + (names_another ? 1 : 0);
        if (is_late || pending.sends >= max_sends)
        {
            return {std::nullopt, false, call_refusal::leader_changed, {}};
        }
        return {
            send_to(pending,
                    names_another ? leader() : process_after(pending.sent_to),
                    now),
            false,
            {},
            {}};
    }
    // If the answer names another leader, the call is sent there at once.
    // Otherwise it waits for its next repetition, so that an election does not
    // cause a burst of messages.
    if (names_another)
    {
        return {send_to(pending, leader(), now), false, {}, {}};
    }
    return {};
}

auto call_table::refusal_of(pending_call const& it, time_point now) const
    -> std::optional<call_refusal>
{
    if (it.kind == call_kind::read)
    {
        return refusal_of_read(it, now);
    }
    auto const is_over = watch_.is_leaderless(now) || now >= it.deadline;
    if (it.kind == call_kind::submission && is_over && it.is_refused_by_all())
    {
        return call_refusal::not_accepted;
    }
    return std::nullopt;
}

auto call_table::refusal_of_read(pending_call const& it, time_point now) const
    -> std::optional<call_refusal>
{
    auto const has_searched = now - it.started >= config::read_search_time;
    if (has_searched && has_new_leader(it))
    {
        return call_refusal::leader_changed;
    }
    auto const waited = now - it.sent_at;
    auto const is_silent = waited >= config::call_retry_interval &&
                           !watch_.has_answered_since(it.sent_at);
    if (now >= it.deadline || waited >= config::max_read_wait || is_silent ||
        (has_searched && watch_.is_leaderless(now)))
    {
        return call_refusal::read_unanswered;
    }
    return std::nullopt;
}

auto call_table::has_new_leader(pending_call const& it) const -> bool
{
    return watch_.has_answered_since(it.sent_at) &&
           *watch_.leader() != it.sent_to;
}

auto call_table::has_no_leader(pending_call const& it, time_point now) const
    -> bool
{
    return it.standing == call_standing::not_leader ||
           !watch_.is_heard_since(
               it.sent_to, std::max(it.sent_at, now - leader_quiet_time));
}

auto call_table::is_repetition_due(pending_call const& it, time_point now) const
    -> bool
{
    auto const is_refused = it.standing == call_standing::not_leader ||
                            it.standing == call_standing::leader_without_lease;
    if (is_refused && has_new_leader(it))
    {
        return true;
    }
    auto const is_held = it.standing == call_standing::proposed &&
                         !has_no_leader(it, now) && !has_new_leader(it);
    return now - it.sent_at >=
           (is_held ? proposed_call_interval : config::call_retry_interval);
}

auto call_table::next_process(pending_call const& it, time_point now,
                              repetition_pass& pass) -> node_id const&
{
    if (it.sent_to != leader())
    {
        return leader();
    }
    if (has_no_leader(it, now))
    {
        if (!pass.has_turned)
        {
            presumed_leader_ = (presumed_leader_ + 1) % control_.size();
            pass.has_turned = true;
        }
        return leader();
    }
    // A leader that was cut off from the others stays in office for a while,
    // and the notice of the next one may be lost: one call looks for it.
    if (it.standing == call_standing::leader_without_lease &&
        now - last_search_ >= config::call_retry_interval)
    {
        last_search_ = now;
        last_searched_ = process_after(last_searched_);
        if (last_searched_ == leader())
        {
            last_searched_ = process_after(last_searched_);
        }
        return last_searched_;
    }
    return leader();
}

auto call_table::due(time_point now) -> due_calls
{
    due_calls out;
    repetition_pass pass;
    for (auto it = calls_.begin(); it != calls_.end();)
    {
        auto& pending = it->second;
        if (auto const reason = refusal_of(pending, now))
        {
            out.refused.push_back({it->first, *reason});
            it = calls_.erase(it);
            continue;
        }
        if (now >= pending.deadline)
        {
            out.expired.push_back(
                {it->first, pending.sent_to, standing_of(pending)});
            if (pending.is_late)
            {
                out.late.push_back(
                    report(pending, now, late_cancel::call_end::expired));
            }
            it = calls_.erase(it);
            continue;
        }
        if (!pending.is_late && is_cancel(pending.message) &&
            now - pending.started >= late_cancel_time)
        {
            pending.is_late = true;
            out.late.push_back(
                report(pending, now, late_cancel::call_end::open));
        }
        if (pending.kind == call_kind::read)
        {
            if (has_new_leader(pending))
            {
                out.resend.push_back(send_to(pending, *watch_.leader(), now));
            }
        }
        else if (is_repetition_due(pending, now))
        {
            out.unanswered.push_back(standing_of(pending));
            auto const to = next_process(pending, now, pass);
            out.resend.push_back(send_to(pending, to, now));
        }
        ++it;
    }
    return out;
}

auto call_table::set_control(std::vector<node_id> control) -> void
{
    if (control.empty())
    {
        return;
    }
    auto const previous_leader = control_.empty() ? control.front() : leader();
    control_ = std::move(control);
    presumed_leader_ = 0;
    if (std::ranges::find(control_, previous_leader) != control_.end())
    {
        presume(previous_leader);
    }
}

auto call_table::set_leader(node_id const& id, time_point now) -> void
{
    watch_.answered(id, now);
    presume(id);
}

auto call_table::process_after(node_id const& id) const -> node_id const&
{
    auto const it = std::ranges::find(control_, id);
    if (it == control_.end() || std::next(it) == control_.end())
    {
        return control_.front();
    }
    return *std::next(it);
}

auto call_table::presume(node_id const& id) -> void
{
    auto const it = std::ranges::find(control_, id);
    if (it != control_.end())
    {
        presumed_leader_ =
            static_cast<std::size_t>(std::distance(control_.begin(), it));
    }
    else
    {
        // The leader was added to the group after this process read its
        // settings.
        control_.push_back(id);
        presumed_leader_ = control_.size() - 1;
    }
}

} // namespace apricotlb
