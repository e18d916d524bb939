/// Call port over one message of libsoup's client.
#ifndef APRICOTLB_ADAPTERS_SOUP_CALL_HPP
#define APRICOTLB_ADAPTERS_SOUP_CALL_HPP

#include "core/entry/http.hpp"
#include "ports/http.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace apricotlb
{

/// One libsoup session with the connections to one backend server.
struct session
{
    session(url to, connection_count limit);
    session(session const&) = delete;
    auto operator=(session const&) -> session& = delete;
    ~session();

    SoupSession* handle;
    url address;
    connection_count running;
    connection_count most; ///< open at once
    time_point last_used;

    auto take_connection(std::uint64_t id, GIOStream* it) -> void;
    /// True when the last bytes on a connection ended a chunked answer.
    [[nodiscard]] auto has_last_chunk(std::uint64_t id) const -> bool;

private:
    std::unordered_map<std::uint64_t, GIOStream*> connections_;
};

/// One request to a backend server, sent at most once.
class soup_call : public std::enable_shared_from_this<soup_call>
{
public:
    soup_call(std::shared_ptr<session> over, request_head const& head,
              upstream_events events);
    soup_call(soup_call const&) = delete;
    auto operator=(soup_call const&) -> soup_call& = delete;
    ~soup_call();

    auto write(std::string_view bytes) -> void;
    auto end_body() -> void;
    auto resume() -> void;
    /// Gives the request up and closes its connection.
    auto cancel() -> void;
    [[nodiscard]] auto unsent() const -> std::size_t;

    /// Hands the request to the session; called once, by the client.
    auto send() -> void;

private:
    static auto on_starting(SoupMessage* message, void* self) -> void;
    static auto on_restarted(SoupMessage* message, void* self) -> void;
    static auto on_network(SoupMessage* message, GSocketClientEvent event,
                           GIOStream* connection, void* self) -> void;
    static auto on_head(GObject* session, GAsyncResult* it, void* keep) -> void;
    static auto on_wake(void* weak) -> int;
    static auto on_readable(GObject* stream, void* weak) -> int;

    auto take_head(GInputStream* stream, GError const* ec) -> void;
    auto read() -> void;
    auto read_once() -> bool;
    auto wait_readable() -> void;
    auto wake_later() -> void;
    auto finish(result<void> how) -> void;
    [[nodiscard]] auto is_complete() const -> bool;
    [[nodiscard]] auto failure(std::string text) const -> error;
    auto close() -> void;

    std::shared_ptr<session> session_;
    SoupMessage* message_{nullptr};
    GCancellable* cancellable_{nullptr};
    GInputStream* body_{nullptr};
    GInputStream* answer_{nullptr};
    upstream_events events_;
    unsigned source_{0};
    bool started_{false}; ///< a byte may have left
    bool headed_{false};
    bool paused_{false};
    bool reading_{false};
    bool done_{false};
};

static_assert(call_port<soup_call>);

} // namespace apricotlb

#endif
