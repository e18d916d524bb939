#include "adapters/nng_link.hpp"

#include <apricotlb/config.hpp>

#include <glib-unix.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <unordered_map>
#include <utility>

namespace apricotlb
{

namespace
{

/// Messages that may arrive ahead of the loop. A pull socket alone holds one of
/// each connection and takes the next one only after the loop has turned; its
/// receive buffer option has no effect (nng 1.5.2).
constexpr std::size_t receive_slots = 64;
constexpr nng_duration reconnect_min_ms = 50;
constexpr nng_duration reconnect_max_ms = 500;

/// One pending receive. nng completes it on a thread of its own, which only
/// marks it and wakes the loop.
struct slot
{
    nng_aio* aio{nullptr};
    int wake_fd{-1};
    std::atomic<bool> is_done{false};

    auto start(nng_socket from) -> void
    {
        is_done.store(false, std::memory_order_relaxed);
        nng_recv_aio(from, aio);
    }

    static auto complete(void* self) -> void
    {
        auto& it = *static_cast<slot*>(self);
        auto const fd = it.wake_fd;
        it.is_done.store(true, std::memory_order_release);
        eventfd_write(fd, 1);
    }
};

} // namespace

struct nng_link::state
{
    nng_socket receiver = NNG_SOCKET_INITIALIZER;
    guint source{0};
    int wake_fd{-1};
    /// A ring: the receives complete in the order in which they were started.
    std::array<slot, receive_slots> slots;
    std::size_t first{0};
    std::unordered_map<node_id, nng_socket> peers;
    std::function<void(std::string_view)> run;

    auto start() -> bool
    {
        wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
        if (wake_fd < 0)
        {
            return false;
        }
        for (auto& it : slots)
        {
            it.wake_fd = wake_fd;
            if (nng_aio_alloc(&it.aio, slot::complete, &it) != 0)
            {
                stop();
                return false;
            }
        }
        for (auto& it : slots)
        {
            it.start(receiver);
        }
        return true;
    }

    auto stop() -> void
    {
        for (auto& it : slots)
        {
            if (it.aio == nullptr)
            {
                continue;
            }
            nng_aio_stop(it.aio);
            if (it.is_done && nng_aio_result(it.aio) == 0)
            {
                nng_msg_free(nng_aio_get_msg(it.aio));
            }
            nng_aio_free(std::exchange(it.aio, nullptr));
        }
        if (wake_fd >= 0)
        {
            ::close(std::exchange(wake_fd, -1));
        }
    }

    auto receive() -> void
    {
        eventfd_t n{0};
        eventfd_read(wake_fd, &n);
        for (auto k = 0; k < config::max_messages_per_turn; ++k)
        {
            auto& it = slots[first];
            if (!it.is_done.load(std::memory_order_acquire))
            {
                return;
            }
            first = (first + 1) % slots.size();
            if (nng_aio_result(it.aio) != 0)
            {
                // Only closing the socket ends a receive without a message.
                it.is_done.store(false, std::memory_order_relaxed);
                continue;
            }
            auto* const message = nng_aio_get_msg(it.aio);
            it.start(receiver);
            run({static_cast<char const*>(nng_msg_body(message)),
                 nng_msg_len(message)});
            nng_msg_free(message);
        }
        // The rest is taken in the next turn.
        eventfd_write(wake_fd, 1);
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
        state_->stop();
        nng_close(state_->receiver);
    }
    for (auto const& [peer, socket] : state_->peers)
    {
        nng_close(socket);
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
    if (!state_->start())
    {
        nng_close(state_->receiver);
        return refuse(NNG_ENOMEM);
    }
    auto const ready = [](gint, GIOCondition, gpointer data) -> gboolean
    {
        static_cast<state*>(data)->receive();
        return G_SOURCE_CONTINUE;
    };
    state_->source =
        g_unix_fd_add(state_->wake_fd, G_IO_IN, ready, state_.get());

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
    close(peer);
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0)
    {
        return;
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF,
                       static_cast<int>(config::peer_queue_messages));
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    if (nng_dial(socket, at.value().c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
    {
        nng_close(socket);
        return;
    }
    state_->peers[peer] = socket;
}

auto nng_link::close(node_id const& peer) -> void
{
    auto const it = state_->peers.find(peer);
    if (it != state_->peers.end())
    {
        nng_close(it->second);
        state_->peers.erase(it);
    }
}

auto nng_link::send(node_id const& peer, std::string_view bytes) -> bool
{
    auto const it = state_->peers.find(peer);
    if (it == state_->peers.end())
    {
        return false;
    }
    nng_msg* message{nullptr};
    if (nng_msg_alloc(&message, 0) != 0)
    {
        return false;
    }
    if (nng_msg_append(message, bytes.data(), bytes.size()) != 0 ||
        nng_sendmsg(it->second, message, NNG_FLAG_NONBLOCK) != 0)
    {
        nng_msg_free(message);
        return false;
    }
    return true;
}

auto nng_link::on_bytes(std::function<void(std::string_view)> run) -> void
{
    state_->run = std::move(run);
}

} // namespace apricotlb
