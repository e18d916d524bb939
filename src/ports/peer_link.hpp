/// Ports: connections to the other processes of the system, and authentication
/// of the messages sent over them.
#ifndef APRICOTLB_PORTS_PEER_LINK_HPP
#define APRICOTLB_PORTS_PEER_LINK_HPP

#include <apricotlb/ids.hpp>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

namespace apricotlb
{

/// Opens one connection per peer and receives from all processes. Sending never
/// blocks; it returns false if the queue is full or the peer has no connection.
template <class T>
concept peer_link_port =
    requires(T& it, node_id const& peer, url const& address,
             std::string_view bytes,
             std::function<void(std::string_view)> handler) {
        {
            it.open(peer, address)
        } -> std::same_as<void>;
        {
            it.close(peer)
        } -> std::same_as<void>;
        {
            it.send(peer, bytes)
        } -> std::same_as<bool>;
        {
            it.on_bytes(std::move(handler))
        } -> std::same_as<void>;
    };

/// Authenticates messages by a code (MAC) computed with the secret that the
/// processes of a deployment share.
template <class T>
concept message_auth_port = requires(T const& it, std::string_view bytes) {
    {
        it.compute_mac(bytes)
    } -> std::same_as<std::string>;
    {
        it.is_valid_mac(bytes, bytes)
    } -> std::same_as<bool>;
};

} // namespace apricotlb

#endif
