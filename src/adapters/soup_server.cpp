#include "adapters/soup_server.hpp"

#include "adapters/json_codec.hpp"

#include <libsoup/soup.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

namespace
{

/// What is known of one caller's connection.
struct connection
{
    time_point idle_since; ///< the next head has not been read since then
    bool reading_head{true};
};

/// GLib listens with a backlog of 10. When all callers of a process that has
/// ended connect to this one, further ones would wait a second or more for the
/// repetition of their first packet.
auto raise_backlog(SoupServer* server) -> void
{
    auto* const sockets = soup_server_get_listeners(server);
    for (auto const* it = sockets; it != nullptr; it = it->next)
    {
        ::listen(g_socket_get_fd(static_cast<GSocket*>(it->data)), SOMAXCONN);
    }
    g_slist_free(sockets);
}

/// Closing a listening socket resets the connections that wait in it, so it
/// stays open for so many checks while there are any.
constexpr guint accept_check_ms = 5;
constexpr int max_accept_checks = 40;

auto has_waiting_connection(GSocket* listener) -> bool
{
    pollfd it{g_socket_get_fd(listener), POLLIN, 0};
    return ::poll(&it, 1, 0) == 1;
}

auto refuse(soup_exchange& to, error const& why) -> void
{
    http_answer it;
    it.status = answer_of(why.kind).status;
    it.headers = {{"Content-Type", "application/problem+json"}};
    it.body = encode_problem(problem_of(why));
    to.close_after();
    reply(to, it);
}

auto header_bytes(request_head const& it) -> std::size_t
{
    auto n = it.path.size() + it.query.size();
    for (auto const& [name, value] : it.headers)
    {
        n += name.size() + value.size() + 4;
    }
    return n;
}

/// Shapes that two HTTP parsers could read differently.
auto is_ambiguous(SoupServerMessage* message, request_head const& it) -> bool
{
    auto lengths = 0;
    auto encodings = 0;
    for (auto const& [name, value] : it.headers)
    {
        if (g_ascii_strcasecmp(name.c_str(), "Content-Length") == 0)
        {
            ++lengths;
            for (auto const c : value)
            {
                if (g_ascii_isdigit(c) == FALSE)
                {
                    return true;
                }
            }
            if (value.empty() || value.size() > 18)
            {
                return true;
            }
        }
        if (g_ascii_strcasecmp(name.c_str(), "Transfer-Encoding") == 0)
        {
            ++encodings;
            if (g_ascii_strcasecmp(value.c_str(), "chunked") != 0 ||
                soup_server_message_get_http_version(message) == SOUP_HTTP_1_0)
            {
                return true;
            }
        }
    }
    return lengths + encodings > 1;
}

auto has_unread_bytes(GSocket* socket) -> bool
{
    char c{};
    return recv(g_socket_get_fd(socket), &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// libsoup 3.2 does not notice that a caller closed a connection between two
/// requests, and its socket would stay open for good.
auto has_peer_closed(GSocket* socket) -> bool
{
    char c{};
    return g_socket_is_closed(socket) == FALSE &&
           recv(g_socket_get_fd(socket), &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

struct soup_server::state
{
    SoupServer* server{nullptr};
    server_limits limits;
    handler run;
    std::function<void()> idle;
    std::function<void(error_kind)> refused;
    bool closing{false}; ///< each connection after its next answer
    guint sweeper{0};
    guint closer{0}; ///< of the listening sockets
    int accept_checks{0};
    std::unordered_map<SoupServerMessage*, exchange> exchanges;
    std::unordered_map<GSocket*, connection> connections;

    auto open(SoupServerMessage* message) -> void;
    auto take_head(SoupServerMessage* message) -> void;
    auto sweep() -> void;
    auto close_listeners() -> bool;
    auto close_unused(time_point now) -> void;
    template <class Unused>
    auto close_if(Unused const& is_unused) -> void;
    auto tell_idle() -> void;
    auto refuse_early(soup_exchange& to, error const& why) -> void
    {
        if (refused)
        {
            refused(why.kind);
        }
        refuse(to, why);
    }
    auto detach(SoupServerMessage* message) -> bool
    {
        return g_signal_handlers_disconnect_by_data(message, this) > 0;
    }
    auto forget(GSocket* socket) -> void { connections.erase(socket); }

    static auto on_started(SoupServer*, SoupServerMessage* message,
                           gpointer data) -> void
    {
        static_cast<state*>(data)->open(message);
    }

    static auto on_early(SoupServer*, SoupServerMessage* message,
                         char const* /*path*/, GHashTable* /*query*/,
                         gpointer data) -> void
    {
        static_cast<state*>(data)->take_head(message);
    }

    static auto on_body(SoupServer*, SoupServerMessage* message,
                        char const* /*path*/, GHashTable* /*query*/,
                        gpointer data) -> void
    {
        auto& self = *static_cast<state*>(data);
        auto const it = self.exchanges.find(message);
        if (it != self.exchanges.end())
        {
            auto const keep = it->second;
            keep->take_body_end();
        }
    }

    static auto on_chunk(SoupServerMessage* message, GBytes* bytes,
                         gpointer data) -> void
    {
        auto& self = *static_cast<state*>(data);
        auto const it = self.exchanges.find(message);
        if (it == self.exchanges.end())
        {
            return;
        }
        auto const keep = it->second;
        gsize n{0};
        auto const* const text =
            static_cast<char const*>(g_bytes_get_data(bytes, &n));
        keep->take_chunk({text, n},
                         time_point{duration{g_get_monotonic_time()}});
        if (!keep->is_over_limit(self.limits.body))
        {
            return;
        }
        if (!keep->is_started())
        {
            self.refuse_early(*keep, {error_kind::body_too_large,
                                      "the body is over the limit"});
        }
    }

    static auto on_written(SoupServerMessage* message, guint n, gpointer data)
        -> void
    {
        auto& self = *static_cast<state*>(data);
        auto const it = self.exchanges.find(message);
        if (it != self.exchanges.end())
        {
            auto const keep = it->second;
            keep->take_written(n);
        }
    }

    static auto on_finished(SoupServerMessage* message, gpointer data) -> void
    {
        auto& self = *static_cast<state*>(data);
        auto const it =
            self.connections.find(soup_server_message_get_socket(message));
        if (it != self.connections.end())
        {
            it->second = {time_point{duration{g_get_monotonic_time()}}, true};
        }
        auto node = self.exchanges.extract(message);
        if (!node.empty())
        {
            node.mapped()->take_finished();
            self.tell_idle();
        }
    }

    static auto on_socket_gone(gpointer data, GObject* where) -> void
    {
        static_cast<state*>(data)->forget(reinterpret_cast<GSocket*>(where));
    }
};

auto soup_server::state::open(SoupServerMessage* message) -> void
{
    auto* const socket = soup_server_message_get_socket(message);
    if (socket == nullptr)
    {
        return;
    }
    auto const [it, fresh] = connections.try_emplace(socket);
    it->second = {time_point{duration{g_get_monotonic_time()}}, true};
    if (fresh)
    {
        g_object_weak_ref(G_OBJECT(socket), on_socket_gone, this);
    }
}

auto soup_server::state::take_head(SoupServerMessage* message) -> void
{
    if (auto* const socket = soup_server_message_get_socket(message);
        socket != nullptr)
    {
        connections[socket].reading_head = false;
    }
    auto const it = std::make_shared<soup_exchange>(message);
    exchanges[message] = it;
    soup_message_body_set_accumulate(
        soup_server_message_get_request_body(message), FALSE);
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), this);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_written), this);
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), this);
    if (closing)
    {
        it->close_after();
    }
    auto const open = static_cast<std::int32_t>(connections.size());
    if (connection_count{open} > limits.connections)
    {
        refuse_early(*it, {error_kind::too_many_connections,
                           "this entry serves as many connections as it may"});
    }
    else if (is_ambiguous(message, it->head()))
    {
        refuse_early(*it, {error_kind::bad_request,
                           "length and encoding of the body are ambiguous"});
    }
    else if (header_bytes(it->head()) > config::max_header_bytes)
    {
        refuse_early(
            *it, {error_kind::header_too_large, "the head is over the limit"});
    }
    else if (it->head().length.value_or(byte_count{}) > limits.body)
    {
        refuse_early(
            *it, {error_kind::body_too_large, "the body is over the limit"});
    }
    else
    {
        run(it);
    }
}

auto soup_server::state::sweep() -> void
{
    auto const now = time_point{duration{g_get_monotonic_time()}};
    std::vector<exchange> open;
    open.reserve(exchanges.size());
    for (auto const& [message, it] : exchanges)
    {
        open.push_back(it);
    }
    for (auto const& it : open)
    {
        it->sweep(now);
    }
    std::erase_if(exchanges, [this](auto const& it)
                  { return it.second->is_gone() && detach(it.first); });
    if (!open.empty())
    {
        tell_idle();
    }
    close_unused(now);
}

auto soup_server::state::tell_idle() -> void
{
    if (exchanges.empty() && idle)
    {
        idle();
    }
}

/// True if all are closed.
auto soup_server::state::close_listeners() -> bool
{
    auto const is_last = ++accept_checks > max_accept_checks;
    auto all_closed = true;
    auto* const listeners = soup_server_get_listeners(server);
    for (auto* it = listeners; it != nullptr; it = it->next)
    {
        auto* const socket = static_cast<GSocket*>(it->data);
        if (g_socket_is_closed(socket) != FALSE)
        {
            continue;
        }
        if (!is_last && has_waiting_connection(socket))
        {
            all_closed = false;
            continue;
        }
        g_socket_close(socket, nullptr);
    }
    g_slist_free(listeners);
    return all_closed;
}

auto soup_server::state::close_unused(time_point now) -> void
{
    close_if(
        [now](GSocket* socket, connection const& it)
        {
            return it.reading_head &&
                   (now - it.idle_since > config::caller_idle_timeout ||
                    has_peer_closed(socket));
        });
}

template <class Unused>
auto soup_server::state::close_if(Unused const& is_unused) -> void
{
    std::vector<GSocket*> over;
    for (auto const& [socket, it] : connections)
    {
        if (g_socket_is_closed(socket) != FALSE || is_unused(socket, it))
        {
            over.push_back(socket);
        }
    }
    for (auto* const socket : over)
    {
        g_object_weak_unref(G_OBJECT(socket), on_socket_gone, this);
        connections.erase(socket);
        g_socket_close(socket, nullptr);
    }
}

soup_server::soup_server(server_limits limits)
    : state_(std::make_unique<state>())
{
    state_->limits = limits;
    state_->server = soup_server_new("server-header", "apricotlb", nullptr);
    soup_server_add_early_handler(state_->server, nullptr, state::on_early,
                                  state_.get(), nullptr);
    soup_server_add_handler(state_->server, nullptr, state::on_body,
                            state_.get(), nullptr);
    g_signal_connect(state_->server, "request-started",
                     G_CALLBACK(state::on_started), state_.get());
    auto const sweep = [](gpointer data) -> gboolean
    {
        static_cast<state*>(data)->sweep();
        return G_SOURCE_CONTINUE;
    };
    auto const ms =
        std::chrono::duration_cast<milliseconds>(config::caller_check_interval);
    state_->sweeper =
        g_timeout_add(static_cast<guint>(ms.count()), sweep, state_.get());
}

soup_server::~soup_server()
{
    g_source_remove(state_->sweeper);
    if (state_->closer != 0)
    {
        g_source_remove(state_->closer);
    }
    g_signal_handlers_disconnect_by_data(state_->server, state_.get());
    for (auto const& [message, it] : state_->exchanges)
    {
        g_signal_handlers_disconnect_by_data(message, state_.get());
    }
    for (auto const& [socket, it] : state_->connections)
    {
        g_object_weak_unref(G_OBJECT(socket), state::on_socket_gone,
                            state_.get());
    }
    soup_server_remove_handler(state_->server, nullptr);
    soup_server_disconnect(state_->server);
    g_object_unref(state_->server);
}

auto soup_server::on_request(handler run) -> void
{
    state_->run = std::move(run);
}

auto soup_server::open() const -> request_count
{
    return request_count{static_cast<std::int64_t>(state_->exchanges.size())};
}

auto soup_server::on_idle(std::function<void()> run) -> void
{
    state_->idle = std::move(run);
}

auto soup_server::on_refused(std::function<void(error_kind)> run) -> void
{
    state_->refused = std::move(run);
}

auto soup_server::connections() const -> connection_count
{
    auto open = std::ranges::count_if(
        state_->connections,
        [](auto const& it) { return g_socket_is_closed(it.first) == FALSE; });
    auto* const listeners = soup_server_get_listeners(state_->server);
    for (auto* it = listeners; it != nullptr; it = it->next)
    {
        auto* const socket = static_cast<GSocket*>(it->data);
        if (g_socket_is_closed(socket) == FALSE &&
            has_waiting_connection(socket))
        {
            ++open;
        }
    }
    g_slist_free(listeners);
    return connection_count{static_cast<std::int32_t>(open)};
}

auto soup_server::close_after_answers() -> void
{
    state_->closing = true;
    for (auto const& [message, it] : state_->exchanges)
    {
        it->close_after();
    }
}

auto soup_server::close_idle() -> void
{
    state_->close_if([](GSocket* socket, connection const& it)
                     { return it.reading_head && !has_unread_bytes(socket); });
}

auto soup_server::stop_listening() -> void
{
    close_after_answers();
    if (state_->closer != 0 || state_->close_listeners())
    {
        return;
    }
    auto const again = [](gpointer data) -> gboolean
    {
        auto& it = *static_cast<state*>(data);
        if (!it.close_listeners())
        {
            return G_SOURCE_CONTINUE;
        }
        it.closer = 0;
        return G_SOURCE_REMOVE;
    };
    state_->closer = g_timeout_add(accept_check_ms, again, state_.get());
}

auto soup_server::listen(std::string const& at) -> result<std::string>
{
    GError* ec{nullptr};
    auto* const address = g_network_address_parse(at.c_str(), 0, &ec);
    if (address == nullptr)
    {
        std::string const text = ec->message;
        g_clear_error(&ec);
        return fail(error_kind::bad_settings, "listen " + at + ": " + text);
    }
    auto* const network = G_NETWORK_ADDRESS(address);
    auto* const socket = g_inet_socket_address_new_from_string(
        g_network_address_get_hostname(network),
        g_network_address_get_port(network));
    g_object_unref(address);
    if (socket == nullptr)
    {
        return fail(error_kind::bad_settings,
                    "listen " + at + ": not an IP address and a port");
    }
    auto const ok = soup_server_listen(state_->server, socket,
                                       SoupServerListenOptions{}, &ec);
    g_object_unref(socket);
    if (ok == FALSE)
    {
        std::string const text = ec->message;
        g_clear_error(&ec);
        return fail(error_kind::bad_settings, "listen " + at + ": " + text);
    }
    raise_backlog(state_->server);
    auto* const uris = soup_server_get_uris(state_->server);
    auto* const uri = static_cast<GUri*>(uris->data);
    auto const bound = std::string{g_uri_get_host(uri)} + ":" +
                       std::to_string(g_uri_get_port(uri));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return bound;
}

} // namespace apricotlb
