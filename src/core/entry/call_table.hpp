/// Pending calls to the control leader: where each is sent, when it is sent
/// again and when it expires.
#ifndef APRICOTLB_CORE_ENTRY_CALL_TABLE_HPP
#define APRICOTLB_CORE_ENTRY_CALL_TABLE_HPP

#include "core/messages.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace apricotlb
{

/// A call to send to a control process.
struct call_to_send
{
    node_id to;
    call message;
};

/// Sends each call to the presumed leader, and to another control process if
/// no answer arrives in time. Calls are safe to repeat, since the state machine
/// recognises a repeated call by its id.
class call_table
{
public:
    /// The numbers of the calls of one life of a process follow its
    /// incarnation, the microsecond of its start: a late answer to an earlier
    /// life must not count for a call of this one.
    explicit call_table(std::vector<node_id> control, incarnation life = {})
        : control_(std::move(control)), last_id_{life.value()}
    {
    }

    /// Adds a call and returns its first message.
    [[nodiscard]] auto start(decltype(call::body) body, time_point now,
                             duration timeout) -> call_to_send;

    /// Effect of an answer on its call.
    struct outcome_of_answer
    {
        std::optional<call_to_send> resend;
        bool done{false}; ///< the answer is final and the call was removed
    };
    auto take(node_id const& from, call_answer const& it, time_point now)
        -> outcome_of_answer;

    /// Calls to send again, and calls whose deadline has passed.
    struct due_calls
    {
        std::vector<call_to_send> resend;
        std::vector<call_id> expired;
    };
    [[nodiscard]] auto due(time_point now) -> due_calls;

    /// The control process that is presumed to be the leader.
    [[nodiscard]] auto leader() const -> node_id const&
    {
        return control_[presumed_leader_];
    }

    /// Replaces the control processes that may receive calls. An empty list is
    /// ignored.
    auto set_control(std::vector<node_id> control) -> void;
    /// False while the list of control processes is empty; no call may be
    /// started then.
    [[nodiscard]] auto is_connected() const -> bool
    {
        return !control_.empty();
    }

    /// Records the sender of a message that only the leader sends.
    auto set_leader(node_id const& id) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return calls_.size(); }

private:
    struct pending_call
    {
        call message;
        node_id sent_to;
        time_point resend_at;
        time_point deadline;
    };

    auto send_to_leader(pending_call& pending, time_point now) -> call_to_send;

    std::vector<node_id> control_;
    std::size_t presumed_leader_{0};
    call_id last_id_{};
    std::map<call_id, pending_call> calls_;
};

} // namespace apricotlb

#endif
