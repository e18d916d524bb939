#include "adapters/push_connection.hpp"

#include <apricotlb/time.hpp>

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <memory>
#include <utility>

namespace apricotlb
{

namespace
{

constexpr guint min_pause_ms = 50;
constexpr guint max_pause_ms = 500;
/// Bounds a connect and its handshake. A lost SYN is repeated after 1 s.
constexpr guint attempt_ms = 2000;
/// Ends a connection whose peer acknowledges nothing, as behind a partition.
constexpr unsigned unacknowledged_ms = 5000;

// "SP", version 0, the number of the protocol, reserved.
constexpr std::array<char, 8> push_header{0, 'S', 'P', 0, 0, 0x50, 0, 0};
constexpr std::array<char, 8> pull_header{0, 'S', 'P', 0, 0, 0x51, 0, 0};

auto remove_source(guint& it) -> void
{
    if (it != 0)
    {
        g_source_remove(std::exchange(it, 0));
    }
}

auto would_block() -> bool
{
    return errno == EAGAIN || errno == EINTR;
}

} // namespace

auto parse_endpoint(url const& at) -> std::optional<peer_endpoint>
{
    if (!at.value().starts_with("tcp://"))
    {
        return std::nullopt;
    }
    auto* const it =
        g_network_address_parse_uri(at.value().c_str(), 0, nullptr);
    if (it == nullptr)
    {
        return std::nullopt;
    }
    auto* const address = G_NETWORK_ADDRESS(it);
    peer_endpoint out{g_network_address_get_hostname(address),
                      g_network_address_get_port(address)};
    g_object_unref(it);
    if (out.host.empty() || out.port == 0)
    {
        return std::nullopt;
    }
    return out;
}

/// A lookup of a name outlives a connection that is destroyed meanwhile.
struct push_connection::lookup
{
    push_connection* owner;
    GCancellable* cancelled;

    static auto finish(GObject* resolver, GAsyncResult* result, gpointer data)
        -> void
    {
        std::unique_ptr<lookup> const it{static_cast<lookup*>(data)};
        auto* const found = g_resolver_lookup_by_name_finish(
            G_RESOLVER(resolver), result, nullptr);
        if (g_cancellable_is_cancelled(it->cancelled) == FALSE)
        {
            g_object_unref(std::exchange(it->owner->lookup_, nullptr));
            it->owner->take_addresses(found);
        }
        g_resolver_free_addresses(found);
        g_object_unref(it->cancelled);
    }
};

push_connection::push_connection(peer_endpoint to,
                                 std::function<void()> on_ready)
    : to_(std::move(to)), on_ready_(std::move(on_ready)),
      pause_ms_(min_pause_ms)
{
    start();
}

push_connection::~push_connection()
{
    end_attempt();
}

auto push_connection::send(std::string_view bytes) -> bool
{
    if (bytes.size() > config::max_message_bytes ||
        queue_.size() >= config::peer_queue_messages ||
        waiting_bytes_ + bytes.size() > max_waiting_bytes)
    {
        return false;
    }
    auto const size = GUINT64_TO_BE(std::uint64_t{bytes.size()});
    std::string framed(sizeof size + bytes.size(), '\0');
    std::memcpy(framed.data(), &size, sizeof size);
    std::copy(bytes.begin(), bytes.end(), framed.data() + sizeof size);
    waiting_bytes_ += bytes.size();
    queue_.push_back(std::move(framed));
    if (phase_ == phase::ready && queue_.size() == 1)
    {
        write_queue();
    }
    return true;
}

auto push_connection::adopt(push_connection& former) -> void
{
    queue_.insert(queue_.begin(),
                  std::make_move_iterator(former.queue_.begin()),
                  std::make_move_iterator(former.queue_.end()));
    waiting_bytes_ += std::exchange(former.waiting_bytes_, 0);
    former.queue_.clear();
}

auto push_connection::start() -> void
{
    phase_ = phase::connecting;
    start_timer(attempt_ms);
    auto* const address = g_inet_address_new_from_string(to_.host.c_str());
    if (address == nullptr)
    {
        look_up();
        return;
    }
    connect_to(address);
    g_object_unref(address);
}

auto push_connection::look_up() -> void
{
    lookup_ = g_cancellable_new();
    auto* const resolver = g_resolver_get_default();
    g_resolver_lookup_by_name_async(
        resolver, to_.host.c_str(), lookup_, lookup::finish,
        std::make_unique<lookup>(
            lookup{this, G_CANCELLABLE(g_object_ref(lookup_))})
            .release());
    g_object_unref(resolver);
}

auto push_connection::take_addresses(GList* found) -> void
{
    if (found == nullptr)
    {
        pause();
        return;
    }
    // Attempts take turns, as a peer may listen on one of its addresses only.
    auto const n = attempts_++ % g_list_length(found);
    connect_to(static_cast<GInetAddress*>(g_list_nth_data(found, n)));
}

auto push_connection::connect_to(GInetAddress* address) -> void
{
    auto* const at = g_inet_socket_address_new(address, to_.port);
    sockaddr_storage native{};
    g_socket_address_to_native(at, &native, sizeof native, nullptr);
    auto const size =
        static_cast<socklen_t>(g_socket_address_get_native_size(at));
    g_object_unref(at);

    fd_ =
        socket(native.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0)
    {
        pause();
        return;
    }
    auto const on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof unacknowledged_ms);
    if (connect(fd_, reinterpret_cast<sockaddr const*>(&native), size) != 0 &&
        errno != EINPROGRESS)
    {
        pause();
        return;
    }
    watch_writable(true);
}

auto push_connection::pause() -> void
{
    end_attempt();
    phase_ = phase::pausing;
    // Random, so that processes do not come back to a restarted peer at once.
    start_timer(static_cast<guint>(
        g_random_int_range(static_cast<gint32>(pause_ms_ / 2),
                           static_cast<gint32>(pause_ms_ + 1))));
    pause_ms_ = std::min(pause_ms_ * 2, max_pause_ms);
}

auto push_connection::end_attempt() -> void
{
    remove_source(readable_);
    remove_source(writable_);
    remove_source(timer_);
    if (lookup_ != nullptr)
    {
        g_cancellable_cancel(lookup_);
        g_object_unref(std::exchange(lookup_, nullptr));
    }
    if (fd_ >= 0)
    {
        close(std::exchange(fd_, -1));
    }
    written_ = 0;
    greeting_bytes_ = 0;
}

auto push_connection::start_timer(guint ms) -> void
{
    auto const expire = [](gpointer data) -> gboolean
    {
        auto& it = *static_cast<push_connection*>(data);
        it.timer_ = 0;
        if (it.phase_ == phase::pausing)
        {
            it.start();
        }
        else
        {
            it.pause();
        }
        return G_SOURCE_REMOVE;
    };
    remove_source(timer_);
    timer_ = g_timeout_add(ms, expire, this);
}

auto push_connection::watch_writable(bool is_wanted) -> void
{
    auto const ready = [](gint, GIOCondition, gpointer data) -> gboolean
    {
        static_cast<push_connection*>(data)->take_writable();
        return G_SOURCE_CONTINUE;
    };
    if (!is_wanted)
    {
        remove_source(writable_);
    }
    else if (writable_ == 0)
    {
        writable_ = g_unix_fd_add(fd_, G_IO_OUT, ready, this);
    }
}

auto push_connection::take_writable() -> void
{
    if (phase_ == phase::ready)
    {
        write_queue();
        return;
    }
    auto ec = 0;
    socklen_t size = sizeof ec;
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &ec, &size) != 0 || ec != 0)
    {
        pause();
        return;
    }
    greet();
}

auto push_connection::greet() -> void
{
    if (::send(fd_, push_header.data(), push_header.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(push_header.size()))
    {
        pause();
        return;
    }
    phase_ = phase::greeting;
    watch_writable(false);
    auto const ready = [](gint, GIOCondition, gpointer data) -> gboolean
    {
        static_cast<push_connection*>(data)->take_readable();
        return G_SOURCE_CONTINUE;
    };
    readable_ = g_unix_fd_add(fd_, G_IO_IN, ready, this);
}

auto push_connection::take_readable() -> void
{
    // A pull socket sends nothing after its header, so one more byte is an
    // error as the end of the connection is.
    auto const room = greeting_.size() - greeting_bytes_;
    char extra{};
    auto* const into = room > 0 ? greeting_.data() + greeting_bytes_ : &extra;
    auto const n = recv(fd_, into, std::max<std::size_t>(room, 1), 0);
    if (n < 0 && would_block())
    {
        return;
    }
    if (n <= 0 || room == 0)
    {
        pause();
        return;
    }
    greeting_bytes_ += static_cast<std::size_t>(n);
    if (greeting_bytes_ < greeting_.size())
    {
        return;
    }
    if (greeting_ != pull_header)
    {
        pause();
        return;
    }
    remove_source(timer_);
    pause_ms_ = min_pause_ms;
    phase_ = phase::ready;
    on_ready_();
    write_queue();
}

auto push_connection::write_queue() -> void
{
    for (auto turns = 0;
         turns < config::max_messages_per_turn && !queue_.empty(); ++turns)
    {
        auto const rest = std::string_view{queue_.front()}.substr(written_);
        auto const n = ::send(fd_, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (n < 0 && would_block())
        {
            break;
        }
        if (n < 0)
        {
            pause();
            return;
        }
        written_ += static_cast<std::size_t>(n);
        if (written_ == queue_.front().size())
        {
            waiting_bytes_ -= written_ - sizeof(std::uint64_t);
            queue_.pop_front();
            written_ = 0;
        }
    }
    watch_writable(!queue_.empty());
}

} // namespace apricotlb
