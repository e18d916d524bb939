/// Calls to the control leader that wait for an answer: whom to ask, when to
/// ask again, when to give up.
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

/// Sends each call to the presumed leader and repeats it elsewhere. Calls
/// are safe to repeat: the state machine recognises each by its own id.
class call_table
{
public:
    explicit call_table(std::vector<node_id> control)
        : control_(std::move(control))
    {
    }

    /// Records a new call and returns its first message.
    [[nodiscard]] auto start(decltype(call::body) body, time_point now,
                             duration timeout) -> call_to_send;

    /// What became of a call when an answer arrived.
    struct outcome_of_answer
    {
        std::optional<call_to_send> resend;
        bool done{false}; ///< the answer is final and the call is forgotten
    };
    auto take(node_id const& from, call_answer const& it, time_point now)
        -> outcome_of_answer;

    /// Calls to repeat, and those whose time is over.
    struct due_calls
    {
        std::vector<call_to_send> resend;
        std::vector<call_id> expired;
    };
    [[nodiscard]] auto due(time_point now) -> due_calls;

    /// The process that is taken for the leader.
    [[nodiscard]] auto leader() const -> node_id const&
    {
        return control_[presumed_leader_];
    }

    /// Replaces the control processes that calls may go to.
    auto set_control(std::vector<node_id> control) -> void;
    /// False while no control process is known; no call may be started then.
    [[nodiscard]] auto is_connected() const -> bool
    {
        return !control_.empty();
    }

    /// Learns the leader from a message that only the leader sends.
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

    auto send_to_leader(pending_call& it, time_point now) -> call_to_send;

    std::vector<node_id> control_;
    std::size_t presumed_leader_{0};
    call_id last_id_{};
    std::map<call_id, pending_call> calls_;
};

} // namespace apricotlb

#endif
