/// All messages between processes of the system.
#ifndef APRICOTLB_APP_PEER_MESSAGE_HPP
#define APRICOTLB_APP_PEER_MESSAGE_HPP

#include "core/fleet/relay_messages.hpp"
#include "core/log/raft_messages.hpp"
#include "core/messages.hpp"

#include <apricotlb/ids.hpp>

#include <functional>
#include <utility>
#include <variant>

namespace apricotlb
{

/// The order of alternatives is part of the protocol; append new alternatives.
using peer_message =
    std::variant<raft_message, entry_heartbeat, entry_heartbeat_answer, call,
                 call_answer, order_batch, answer_batch, leader_notice,
                 clock_reading>;

/// Transport port for Raft messages on top of the transport for all messages.
template <class Transport>
class raft_link
{
public:
    explicit raft_link(Transport& transport) : transport_(transport) {}

    auto send(node_id const& to, raft_message const& message) -> void
    {
        transport_.send(to, peer_message{message});
    }

    /// Sends now what waits for the end of the turn.
    auto flush() -> void { transport_.flush(); }

    auto on_message(std::function<void(node_id const&, raft_message)> callback)
        -> void
    {
        callback_ = std::move(callback);
    }

    /// Passes a received message to the callback of on_message().
    auto take(node_id const& from, raft_message message) -> void
    {
        if (callback_)
        {
            callback_(from, std::move(message));
        }
    }

private:
    Transport& transport_;
    std::function<void(node_id const&, raft_message)> callback_;
};

} // namespace apricotlb

#endif
