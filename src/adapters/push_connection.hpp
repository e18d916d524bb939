/// Sending half of a peer link: one TCP connection and its queue.
#ifndef APRICOTLB_ADAPTERS_PUSH_CONNECTION_HPP
#define APRICOTLB_ADAPTERS_PUSH_CONNECTION_HPP

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>

#include <gio/gio.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace apricotlb
{

struct peer_endpoint
{
    std::string host;
    std::uint16_t port{0};

    auto operator==(peer_endpoint const&) const -> bool = default;
};

/// Host and port of "tcp://host:port"; nothing if the text has another form.
[[nodiscard]] auto parse_endpoint(url const& at)
    -> std::optional<peer_endpoint>;

/// Connects to a pull socket of nng as its push socket does (the SP mapping for
/// TCP), and connects again while it exists. Runs in the default main context;
/// nothing blocks.
///
/// A message that was written in part when its connection ended is sent again
/// from its start. Messages that the kernel took may be lost with a connection.
class push_connection
{
public:
    /// Bytes that wait for one peer: a full queue of messages of 64 KiB.
    static constexpr std::size_t max_waiting_bytes =
        config::peer_queue_messages * 64 * config::kib;

    /// Calls on_ready each time that the handshake with the peer is over.
    push_connection(peer_endpoint to, std::function<void()> on_ready);
    push_connection(push_connection const&) = delete;
    auto operator=(push_connection const&) -> push_connection& = delete;
    ~push_connection();

    /// Writes what the socket takes at once and queues the rest. False if the
    /// queue is full or the message is larger than receivers take.
    auto send(std::string_view bytes) -> bool;
    /// True while messages are written rather than queued for a handshake.
    [[nodiscard]] auto is_ready() const -> bool
    {
        return phase_ == phase::ready;
    }
    /// Takes over the messages that another connection has not written in full.
    auto adopt(push_connection& former) -> void;

private:
    enum class phase
    {
        pausing,
        connecting,
        greeting,
        ready
    };
    struct lookup;

    auto start() -> void;
    auto look_up() -> void;
    auto take_addresses(GList* found) -> void;
    auto connect_to(GInetAddress* address) -> void;
    auto pause() -> void;
    auto end_attempt() -> void;
    auto start_timer(guint ms) -> void;
    auto watch_writable(bool is_wanted) -> void;
    auto take_writable() -> void;
    auto take_readable() -> void;
    auto greet() -> void;
    auto write_queue() -> void;

    peer_endpoint to_;
    std::function<void()> on_ready_;
    phase phase_{phase::pausing};
    int fd_{-1};
    guint readable_{0};
    guint writable_{0};
    guint timer_{0};
    guint pause_ms_;
    GCancellable* lookup_{nullptr};
    guint attempts_{0}; ///< by name
    std::array<char, 8> greeting_{};
    std::size_t greeting_bytes_{0};
    std::deque<std::string> queue_; ///< messages with their length in front
    std::size_t waiting_bytes_{0};
    std::size_t written_{0}; ///< bytes of the first message in the queue
};

} // namespace apricotlb

#endif
