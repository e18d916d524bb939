/// Parts that the processes of all roles share: incarnation, peer transport,
/// reports of reloads and of fatal errors.
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

/// Microseconds since the Unix epoch. Every start of a process has a greater
/// incarnation than the start before, unless the wall clock was set back.
[[nodiscard]] auto new_incarnation(glib_clock const& clock) -> incarnation;

/// Logs the error that ends the process and returns the exit code of its kind.
[[nodiscard]] auto report_end(error const& it) -> exit_code;

/// Secret for the MAC of peer messages: the text of key_file, or a fixed value
/// with peer_trust::network.
[[nodiscard]] auto peer_key(settings const& it) -> result<shared_key>;

/// Adds the counts of log lines to the metrics of the process.
auto include_log_counts(metrics& counts) -> void;

/// Sets the clock to the offset of reloaded settings, if they are valid.
auto apply_clock_offset(result<settings> const& it, glib_clock& clock) -> void;

/// Logs that settings were reloaded, or that invalid settings were refused.
auto log_reload(result<settings> const& it) -> void;

/// Peer transport of one process, with the link and the key that it uses.
class peer_node
{
public:
    peer_node(node_id self, shared_key key, glib_clock& clock, metrics& counts);
    peer_node(peer_node const&) = delete;
    auto operator=(peer_node const&) -> peer_node& = delete;
    /// A node ends with its process and closes no socket.
    ~peer_node();

    /// Listens on the given address and adds the control processes of the
    /// settings as peers. If listening fails, tries the following ports in
    /// order, settings::peer_ports ports in all.
    auto start(settings const& it, url const& at, incarnation run)
        -> result<void>;

    /// Transport of this process; exists once start() has succeeded.
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
