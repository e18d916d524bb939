/// HTTP/1.1 over plain sockets. The soak needs to see when exactly a connection
/// ends and what was sent on it before, which HTTP libraries hide.
#ifndef APRICOTLB_SOAK_HTTP_HPP
#define APRICOTLB_SOAK_HTTP_HPP

#include "adapters/glib_clock.hpp"

#include <apricotlb/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb::soak
{

using header_map = std::map<std::string, std::string>; ///< names in lower case

struct http_text
{
    std::string first_line;
    header_map headers;
    std::string body;

    [[nodiscard]] auto header(std::string const& name) const -> std::string;
};

/// Cuts a stream of bytes into messages. Bodies have a Content-Length.
class message_reader
{
public:
    auto add(std::string_view bytes) -> void { held_ += bytes; }
    [[nodiscard]] auto next() -> std::optional<http_text>;

private:
    std::string held_;
};

/// A non-blocking socket on the main loop.
class stream
{
public:
    /// Takes a connected or connecting socket.
    explicit stream(int fd);
    stream(stream const&) = delete;
    auto operator=(stream const&) -> stream& = delete;
    ~stream();

    std::function<void(std::string_view)> on_bytes;
    /// Called once when the peer has closed or reset the connection.
    std::function<void()> on_closed;

    auto write(std::string_view bytes) -> void;
    /// Stops reading, so that bytes stay in the socket of the peer.
    auto pause(bool paused) -> void;
    /// Closes with a reset if `hard`.
    auto close(bool hard = false) -> void;
    [[nodiscard]] auto is_open() const -> bool { return fd_ >= 0; }
    [[nodiscard]] auto unsent() const -> std::size_t { return out_.size(); }

private:
    auto watch() -> void;
    auto serve(unsigned events) -> void;
    auto flush() -> bool;
    auto end() -> void;

    int fd_;
    unsigned source_{0};
    unsigned watched_{0};
    bool paused_{false};
    std::string out_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

/// Address of the other end of a socket.
[[nodiscard]] auto peer_of(int fd) -> std::string;

/// Begins to connect; a socket below 0 if that fails at once.
[[nodiscard]] auto connect_to(std::string const& address) -> int;

/// Accepts connections on one address.
class listener
{
public:
    explicit listener(std::function<void(int)> accept)
        : accept_(std::move(accept))
    {
    }
    listener(listener const&) = delete;
    auto operator=(listener const&) -> listener& = delete;
    ~listener() { close(); }

    /// False if the address is in use.
    [[nodiscard]] auto open(std::string const& address) -> bool;
    auto close() -> void;

private:
    std::function<void(int)> accept_;
    int fd_{-1};
    unsigned source_{0};
};

enum class call_end : std::uint8_t
{
    answered,
    not_connected,
    cut,       ///< the connection ended without a complete answer
    timed_out, ///< the caller gave up and closed the connection
};

struct call_result
{
    call_end how{call_end::not_connected};
    int status{0};
    http_text answer;
    time_point sent_at{};
    time_point ended_at{};
    bool reused{false}; ///< sent on a connection that was open before

    [[nodiscard]] auto is_success() const -> bool
    {
        return status >= 200 && status < 300;
    }
};

struct http_call
{
    std::string method;
    std::string path;
    std::string host;
    std::string body;
    duration timeout{std::chrono::seconds{3}};
};

/// A caller's connection, which is kept open for its next call. One call at a
/// time.
class http_connection
{
public:
    using callback = std::function<void(call_result const&)>;

    http_connection(glib_clock& clock, std::string address)
        : clock_(clock), address_(std::move(address))
    {
    }
    http_connection(http_connection const&) = delete;
    auto operator=(http_connection const&) -> http_connection& = delete;
    ~http_connection();

    auto call(http_call const& it, callback done) -> void;
    [[nodiscard]] auto is_busy() const -> bool { return done_ != nullptr; }
    [[nodiscard]] auto is_open() const -> bool { return stream_ != nullptr; }
    [[nodiscard]] auto address() const -> auto const& { return address_; }
    auto close() -> void;

private:
    auto take(std::string_view bytes) -> void;
    auto finish(call_end how) -> void;

    glib_clock& clock_;
    std::string address_;
    std::unique_ptr<stream> stream_;
    message_reader reader_;
    callback done_;
    call_result result_;
    timer_id timeout_; ///< none: no timer
    bool got_bytes_{false};
};

/// Serves requests one after the other on each connection.
class http_server
{
public:
    /// An answer without a status closes the connection.
    using reply = std::function<void(int, std::string const&)>;
    using handler = std::function<void(http_text const&, reply)>;

    explicit http_server(handler handle)
        : listener_([this](int fd) { accept(fd); }), handle_(std::move(handle))
    {
    }
    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;

    [[nodiscard]] auto open(std::string const& address) -> bool
    {
        return listener_.open(address);
    }
    auto close() -> void;
    auto pause(bool paused) -> void;

private:
    struct connection
    {
        std::unique_ptr<stream> socket;
        message_reader reader;
        bool busy{false};
    };

    auto accept(int fd) -> void;
    auto serve(std::uint64_t id) -> void;
    auto drop(std::uint64_t id) -> void;

    listener listener_;
    handler handle_;
    std::map<std::uint64_t, connection> connections_;
    std::uint64_t last_id_{0};
    bool paused_{false};
};

} // namespace apricotlb::soak

#endif
