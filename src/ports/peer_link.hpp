/// Port: connections that carry bytes to other processes of the system.
#ifndef APRICOTLB_PORTS_PEER_LINK_HPP
#define APRICOTLB_PORTS_PEER_LINK_HPP

#include <apricotlb/ids.hpp>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

namespace apricotlb
{

/// Opens one connection a peer and receives from anyone. Sending never
/// waits; false means that the queue is full or the peer is not open.
template <class T>
concept peer_link_port =
    requires(T& it, node_id const& peer, url const& at, std::string_view bytes,
             std::function<void(std::string_view)> f) {
        {
            it.open(peer, at)
        } -> std::same_as<void>;
        {
            it.close(peer)
        } -> std::same_as<void>;
        {
            it.send(peer, bytes)
        } -> std::same_as<bool>;
        {
            it.on_bytes(std::move(f))
        } -> std::same_as<void>;
    };

/// Seals and opens messages with the deployment's secret.
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
