/// Port: messages between the processes of the system.
#ifndef APRICOTLB_PORTS_TRANSPORT_HPP
#define APRICOTLB_PORTS_TRANSPORT_HPP

#include <apricotlb/ids.hpp>

#include <concepts>
#include <functional>

namespace apricotlb
{

/// Sends messages asynchronously and passes received ones to a handler. A
/// message may be lost, duplicated, delayed or reordered; the protocols that
/// use the transport send again.
template <class T, class Message>
concept transport_port =
    requires(T& it, node_id const& to, Message const& message,
             std::function<void(node_id const&, Message)> handler) {
        {
            it.send(to, message)
        } -> std::same_as<void>;
        {
            it.on_message(std::move(handler))
        } -> std::same_as<void>;
        // Sends now what waits, before the loop blocks.
        {
            it.flush()
        } -> std::same_as<void>;
    };

} // namespace apricotlb

#endif
