#include "adapters/nng_link.hpp"

#include "adapters/push_connection.hpp"

#include <apricotlb/config.hpp>

#include <glib-unix.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>

#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace apricotlb
{

namespace
{

/// Sends to one peer. A connection that is opened again carries messages until
/// a fresh one is ready: over a link that loses packets, a handshake may take
/// seconds.
class peer_sender
{
public:
    explicit peer_sender(peer_endpoint to)
        : to_(std::move(to)), current_(connect())
    {
    }
    peer_sender(peer_sender const&) = delete;
    auto operator=(peer_sender const&) -> peer_sender& = delete;
    ~peer_sender() = default;

    [[nodiscard]] auto endpoint() const -> peer_endpoint const& { return to_; }

    auto send(std::string_view bytes) -> bool { return current_->send(bytes); }

    auto reopen() -> void
    {
        is_current_suspect_ = current_->is_ready();
        if (!fresh_)
        {
            fresh_ = connect();
        }
    }

private:
    auto connect() -> std::unique_ptr<push_connection>
    {
        return std::make_unique<push_connection>(to_, [this] { choose(); });
    }

    auto choose() -> void
    {
        if (fresh_ && fresh_->is_ready())
        {
            fresh_->adopt(*current_);
            current_ = std::move(fresh_);
        }
        else if (!is_current_suspect_)
        {
            fresh_.reset();
        }
    }

    peer_endpoint to_;
    std::unique_ptr<push_connection> fresh_;
    std::unique_ptr<push_connection> current_;
    bool is_current_suspect_{false}; ///< it was ready when reopen() was called
};

} // namespace

struct nng_link::state
{
    nng_socket receiver = NNG_SOCKET_INITIALIZER;
    guint source{0};
    std::unordered_map<node_id, peer_sender> peers;
    std::function<void(std::string_view)> run;

    auto receive() -> void
    {
        for (auto n = 0; n < config::max_messages_per_turn; ++n)
        {
            nng_msg* message{nullptr};
            if (nng_recvmsg(receiver, &message, NNG_FLAG_NONBLOCK) != 0)
            {
                return;
            }
            run({static_cast<char const*>(nng_msg_body(message)),
                 nng_msg_len(message)});
            nng_msg_free(message);
        }
    }
};

nng_link::nng_link() : state_(std::make_unique<state>())
{
    state_->run = [](std::string_view) {};
}

nng_link::~nng_link()
{
    if (state_->source != 0)
    {
        g_source_remove(state_->source);
        nng_close(state_->receiver);
    }
}

auto nng_link::listen(url const& at) -> result<url>
{
    auto const refuse = [&at](int ec)
    {
        return fail(error_kind::bad_settings,
                    "listen " + at.value() + ": " + nng_strerror(ec));
    };
    if (auto const ec = nng_pull0_open(&state_->receiver); ec != 0)
    {
        return refuse(ec);
    }
    nng_socket_set_size(state_->receiver, NNG_OPT_RECVMAXSZ,
                        config::max_message_bytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    if (auto const ec =
            nng_listen(state_->receiver, at.value().c_str(), &listener, 0);
        ec != 0)
    {
        nng_close(state_->receiver);
        return refuse(ec);
    }
    int fd{-1};
    if (auto const ec =
            nng_socket_get_int(state_->receiver, NNG_OPT_RECVFD, &fd);
        ec != 0)
    {
        nng_close(state_->receiver);
        return refuse(ec);
    }
    auto const ready = [](gint, GIOCondition, gpointer data) -> gboolean
    {
        static_cast<state*>(data)->receive();
        return G_SOURCE_CONTINUE;
    };
    state_->source = g_unix_fd_add(fd, G_IO_IN, ready, state_.get());

    nng_sockaddr address;
    if (nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &address) == 0 &&
        address.s_family == NNG_AF_INET)
    {
        auto const n = at.value().rfind(':');
        auto const port = GUINT16_FROM_BE(address.s_in.sa_port);
        return url{at.value().substr(0, n) + ":" + std::to_string(port)};
    }
    return at;
}

auto nng_link::open(node_id const& peer, url const& at) -> void
{
    auto to = parse_endpoint(at);
    auto const it = state_->peers.find(peer);
    if (to && it != state_->peers.end() && it->second.endpoint() == *to)
    {
        it->second.reopen();
        return;
    }
    close(peer);
    if (to)
    {
        state_->peers.try_emplace(peer, std::move(*to));
    }
}

auto nng_link::close(node_id const& peer) -> void
{
    state_->peers.erase(peer);
}

auto nng_link::send(node_id const& peer, std::string_view bytes) -> bool
{
    auto const it = state_->peers.find(peer);
    return it != state_->peers.end() && it->second.send(bytes);
}

auto nng_link::abandon() -> void
{
    if (state_->source != 0)
    {
        g_source_remove(std::exchange(state_->source, 0));
    }
    state_->peers.clear();
}

auto nng_link::on_bytes(std::function<void(std::string_view)> run) -> void
{
    state_->run = std::move(run);
}

} // namespace apricotlb
