/// What every process of the system has: a clock, metrics, links to its peers.
#ifndef APRICOTLB_APP_PROCESS_HPP
#define APRICOTLB_APP_PROCESS_HPP

#include "adapters/glib_clock.hpp"
#include "adapters/message_auth.hpp"
#include "adapters/metrics.hpp"
#include "adapters/msgpack_codec.hpp"
#include "adapters/nng_link.hpp"
#include "adapters/unix_signals.hpp"
#include "app/peer_message.hpp"
#include "app/peer_transport.hpp"
#include "app/settings.hpp"
#include "app/settings_load.hpp"

#include <apricotlb/error.hpp>
#include <apricotlb/result.hpp>

#include <optional>

namespace apricotlb
{

using transport = peer_transport<peer_message, glib_clock, nng_link,
                                 msgpack_codec, message_auth, metrics>;

/// Grows from one start of a process to the next, as long as the wall clock
/// does.
[[nodiscard]] auto new_incarnation() -> incarnation;

/// Logs why a process ends and returns its exit code.
[[nodiscard]] auto report_end(error const& it) -> exit_code;

/// The secret of the deployment, or a fixed one when the network is trusted.
[[nodiscard]] auto peer_key(settings const& it) -> result<shared_key>;

/// Logs that settings were read again, or that bad ones were not taken over.
auto log_reload(result<settings> const& it) -> void;

/// Links to the other processes.
class peer_node
{
public:
    peer_node(node_id self, shared_key key, glib_clock& clock, metrics& counts);

    /// Listens at an address, or at one of the ports behind it if that one is
    /// taken, and names the control processes of the settings.
    auto start(settings const& it, url const& at, incarnation run)
        -> result<void>;

    [[nodiscard]] auto active_transport() -> transport& { return *transport_; }

private:
    auto listen(url const& at, std::uint32_t ports) -> result<url>;

    node_id self_;
    message_auth auth_;
    glib_clock& clock_;
    metrics& metrics_;
    nng_link link_;
    std::optional<transport> transport_;
};

} // namespace apricotlb

#endif
