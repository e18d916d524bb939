/// Calls to the control leader.
#ifndef APRICOTLB_APP_CONTROL_LINK_HPP
#define APRICOTLB_APP_CONTROL_LINK_HPP

#include "core/entry/call_table.hpp"
#include "core/messages.hpp"
#include "ports/clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Sends each call to the current leader, and again if the leader changes or
/// does not answer, until it is answered or its timeout has passed. Reads and
/// submissions are refused earlier while no leader answers (call_table). Send
/// is callable with (node_id, message).
template <clock_port Clock, class Send>
class control_link
{
public:
    using body = decltype(call::body);
    using callback = std::function<void(result<decltype(call_answer::body)>)>;

    control_link(Clock& clock, Send send, std::vector<node_id> control,
                 incarnation life = {})
        : clock_(clock), send_(std::move(send)),
          table_(std::move(control), life)
    {
        start_timer();
    }
    control_link(control_link const&) = delete;
    auto operator=(control_link const&) -> control_link& = delete;
    ~control_link() { clock_.cancel_timer(timer_); }

    /// Sends a call; done runs once, with the answer or an error.
    auto start(body request, callback done,
               duration timeout = config::call_timeout) -> void
    {
        if (!is_connected())
        {
            done(fail(error_kind::not_leader,
                      "no control process has been discovered yet"));
            return;
        }
        if (auto const reason = table_.refusal_of(request, clock_.now()))
        {
            refuse(*reason, done);
            return;
        }
        auto const first =
            table_.start(std::move(request), clock_.now(), timeout);
        callbacks_[first.message.id] = std::move(done);
        send_(first.to, first.message);
    }

    /// Sends a command; done receives the result of applying it.
    auto submit(command it, std::function<void(result<apply_result>)> done)
        -> void
    {
        start(
            std::move(it),
            [done = std::move(done)](result<decltype(call_answer::body)> answer)
            {
                if (answer.has_error())
                {
                    done(outcome::failure(answer.error()));
                    return;
                }
                auto* const applied =
                    std::get_if<apply_result>(&answer.value());
                if (applied == nullptr)
                {
                    done(fail(
                        error_kind::internal,
                        "the control leader sent an answer of another type"));
                    return;
                }
                done(std::move(*applied));
            });
    }

    /// Handles an answer of a control process.
    auto take(node_id const& from, call_answer answer) -> void
    {
        auto const effect = table_.take(from, answer, clock_.now());
        if (effect.resend)
        {
            send_(effect.resend->to, effect.resend->message);
        }
        if (effect.late && on_late_)
        {
            on_late_(*effect.late);
        }
        if (effect.refused)
        {
            refuse(*effect.refused, callbacks_.extract(answer.id).mapped());
            return;
        }
        if (!effect.done)
        {
            return;
        }
        auto callback_node = callbacks_.extract(answer.id);
        if (auto const* const failure = std::get_if<call_failure>(&answer.body))
        {
            callback_node.mapped()(outcome::failure(
                error{failure->kind, failure->detail, failure->retry_after}));
            return;
        }
        callback_node.mapped()(std::move(answer.body));
    }

    /// Called with each call that is refused without an answer of a leader.
    auto on_refused(std::function<void(call_refusal)> report) -> void
    {
        on_refused_ = std::move(report);
    }

    /// Called with what is known of each call that is sent again.
    auto on_unanswered(std::function<void(call_standing)> report) -> void
    {
        on_unanswered_ = std::move(report);
    }
    /// Called once for a cancel that has waited for late_cancel_time,
    /// and once more when it ends.
    auto on_late(std::function<void(late_cancel const&)> report) -> void
    {
        on_late_ = std::move(report);
    }

    [[nodiscard]] auto leader() const -> node_id const&
    {
        return table_.leader();
    }
    auto set_leader(node_id const& id) -> void
    {
        table_.set_leader(id, clock_.now());
    }
    auto set_control(std::vector<node_id> control) -> void
    {
        table_.set_control(std::move(control));
    }
    [[nodiscard]] auto is_connected() const -> bool
    {
        return table_.is_connected();
    }

private:
    static constexpr duration check_interval = std::chrono::milliseconds{50};

    auto refuse(call_refusal reason, callback const& done) -> void
    {
        if (on_refused_)
        {
            on_refused_(reason);
        }
        done(fail(error_kind::not_leader,
                  "no control leader has taken the call, which has not run; "
                  "send it again"));
    }

    auto start_timer() -> void
    {
        timer_ =
            clock_.start_timer(check_interval, [this] { resend_due_calls(); });
    }

    auto resend_due_calls() -> void
    {
        start_timer();
        auto const due = table_.due(clock_.now());
        for (auto const& it : due.resend)
        {
            send_(it.to, it.message);
        }
        report(due);
        for (auto const& it : due.refused)
        {
            refuse(it.reason, callbacks_.extract(it.id).mapped());
        }
        for (auto const& it : due.expired)
        {
            auto callback_node = callbacks_.extract(it.id);
            callback_node.mapped()(
                fail(error_kind::no_leader, describe_expiry(it)));
        }
    }

    static auto describe_expiry(call_table::expired_call const& it)
        -> std::string
    {
        switch (it.standing)
        {
        case call_standing::proposed:
            return "the control leader " + it.asked.value() +
                   " has taken the change and not seen its commit before the "
                   "timeout; the change may have been made";
        case call_standing::leader_without_lease:
            return "the control leader " + it.asked.value() +
                   " held no lease at the timeout; the change may have been "
                   "made";
        case call_standing::silent:
        case call_standing::waiting:
        case call_standing::not_leader:
        case call_standing::outcome_unknown:
            break;
        }
        return "no control leader answered before the timeout; the change may "
               "have been made";
    }

    auto report(call_table::due_calls const& due) -> void
    {
        for (auto const it : due.unanswered)
        {
            if (on_unanswered_)
            {
                on_unanswered_(it);
            }
        }
        for (auto const& it : due.late)
        {
            if (on_late_)
            {
                on_late_(it);
            }
        }
    }

    Clock& clock_;
    Send send_;
    call_table table_;
    std::map<call_id, callback> callbacks_;
    std::function<void(call_refusal)> on_refused_;
    std::function<void(call_standing)> on_unanswered_;
    std::function<void(late_cancel const&)> on_late_;
    timer_id timer_;
};

} // namespace apricotlb

#endif
