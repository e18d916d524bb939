#include "core/entry/call_table.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace apricotlb
{

auto call_table::send_to_leader(pending_call& pending, time_point now)
    -> call_to_send
{
    pending.sent_to = leader();
    pending.resend_at = now + config::call_retry_interval;
    return {pending.sent_to, pending.message};
}

auto call_table::start(decltype(call::body) body, time_point now,
                       duration timeout) -> call_to_send
{
    ++last_id_;
    auto& pending = calls_[last_id_];
    pending.message = {last_id_, std::move(body)};
    pending.deadline = now + timeout;
    return send_to_leader(pending, now);
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
        set_leader(from);
        calls_.erase(found);
        return {std::nullopt, true};
    }
    // If the answer names another leader, the call is sent there at once.
    // Otherwise it waits for its next repetition, so that an election does not
    // cause a burst of messages.
    if (failure->leader && *failure->leader != found->second.sent_to)
    {
        set_leader(*failure->leader);
        return {send_to_leader(found->second, now), false};
    }
    return {};
}

auto call_table::due(time_point now) -> due_calls
{
    due_calls out;
    auto rotated = false;
    for (auto it = calls_.begin(); it != calls_.end();)
    {
        if (now >= it->second.deadline)
        {
            out.expired.push_back(it->first);
            it = calls_.erase(it);
            continue;
        }
        if (now >= it->second.resend_at)
        {
            if (!rotated && it->second.sent_to == leader())
            {
                presumed_leader_ = (presumed_leader_ + 1) % control_.size();
                rotated = true;
            }
            out.resend.push_back(send_to_leader(it->second, now));
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
        set_leader(previous_leader);
    }
}

auto call_table::set_leader(node_id const& id) -> void
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
