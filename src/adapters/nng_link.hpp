/// Peer link port: one pull socket of nng to receive, one push_connection a
/// peer to send.
#ifndef APRICOTLB_ADAPTERS_NNG_LINK_HPP
#define APRICOTLB_ADAPTERS_NNG_LINK_HPP

#include "ports/peer_link.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace apricotlb
{

/// Receives in the default main context; nothing blocks.
class nng_link
{
public:
    nng_link();
    nng_link(nng_link const&) = delete;
    auto operator=(nng_link const&) -> nng_link& = delete;
    ~nng_link();

    /// Listens on tcp://ip:port; port 0 takes a free one. Returns the address.
    [[nodiscard]] auto listen(url const& at) -> result<url>;

    /// Opens a connection to a peer; one to the same address is replaced once
    /// the fresh one is ready.
    auto open(node_id const& peer, url const& at) -> void;
    auto close(node_id const& peer) -> void;
    auto send(node_id const& peer, std::string_view bytes) -> bool;
    auto on_bytes(std::function<void(std::string_view)> run) -> void;

    /// Leaves the receiver to the end of the process, which closes it, and
    /// closes the connections to peers. For the end itself: nng 1.5.2 can wait
    /// for ever when it closes a receiver whose peers have sent messages that
    /// were not taken.
    auto abandon() -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(peer_link_port<nng_link>);

} // namespace apricotlb

#endif
