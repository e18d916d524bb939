/// Raw loopback sockets and a loop that runs until a condition holds.
#ifndef APRICOTLB_TESTS_LOOPBACK_HPP
#define APRICOTLB_TESTS_LOOPBACK_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>
#include <utility>

namespace apricotlb
{

/// Runs the loop until the condition holds, which it has to by itself. The
/// bound only ends a broken test.
template <class F>
auto run_until(F done) -> bool
{
    constexpr gint64 bound_us = 60'000'000;
    auto const end = g_get_monotonic_time() + bound_us;
    auto idle = 0;
    while (!done())
    {
        if (g_get_monotonic_time() > end)
        {
            return false;
        }
        // Raw sockets are not sources of the loop, so it may only block when
        // nothing happened for a while.
        idle = g_main_context_iteration(nullptr, FALSE) != FALSE ? 0 : idle + 1;
        if (idle > 1000)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
    }
    return true;
}

/// A non-blocking TCP socket.
class raw_socket
{
public:
    raw_socket() = default;
    explicit raw_socket(int fd) : fd_(fd)
    {
        if (fd_ >= 0)
        {
            fcntl(fd_, F_SETFL, O_NONBLOCK);
        }
    }
    raw_socket(raw_socket&& other) noexcept
        : fd_(std::exchange(other.fd_, -1)), text_(std::move(other.text_)),
          ended_(other.ended_), reset_(other.reset_)
    {
    }
    auto operator=(raw_socket&& other) noexcept -> raw_socket&
    {
        close();
        fd_ = std::exchange(other.fd_, -1);
        text_ = std::move(other.text_);
        ended_ = other.ended_;
        reset_ = other.reset_;
        return *this;
    }
    raw_socket(raw_socket const&) = delete;
    auto operator=(raw_socket const&) -> raw_socket& = delete;
    ~raw_socket() { close(); }

    /// Connects to "127.0.0.1:port".
    static auto connect(std::string const& at) -> raw_socket
    {
        auto const to = address(at);
        auto const fd = socket(AF_INET, SOCK_STREAM, 0);
        auto const ok =
            ::connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to);
        raw_socket it{fd};
        if (ok != 0)
        {
            it.close();
        }
        return it;
    }

    /// Starts to connect without waiting.
    static auto start_connect(std::string const& at) -> raw_socket
    {
        auto const to = address(at);
        raw_socket it{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)};
        (void)::connect(it.fd_, reinterpret_cast<sockaddr const*>(&to),
                        sizeof to);
        return it;
    }
    /// True if the connection is established now.
    [[nodiscard]] auto is_connected() const -> bool
    {
        pollfd it{fd_, POLLOUT, 0};
        return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0 &&
               (it.revents & (POLLERR | POLLHUP)) == 0;
    }

    [[nodiscard]] auto is_open() const -> bool { return fd_ >= 0; }

    auto send(std::string_view bytes) -> bool
    {
        while (!bytes.empty())
        {
            auto const n =
                ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN)
            {
                return false;
            }
            if (n > 0)
            {
                bytes.remove_prefix(static_cast<std::size_t>(n));
            }
            g_main_context_iteration(nullptr, FALSE);
        }
        return true;
    }

    /// Sends without a turn of the loop. False if not everything was taken.
    auto send_at_once(std::string_view bytes) -> bool
    {
        return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    /// Everything received so far.
    auto text() -> std::string const&
    {
        std::array<char, 65536> buf{};
        while (fd_ >= 0 && !ended_)
        {
            auto const n = recv(fd_, buf.data(), buf.size(), 0);
            if (n > 0)
            {
                text_.append(buf.data(), static_cast<std::size_t>(n));
                continue;
            }
            ended_ = n == 0 || errno != EAGAIN;
            reset_ = n < 0 && errno == ECONNRESET;
            break;
        }
        return text_;
    }
    auto ended() -> bool
    {
        text();
        return ended_;
    }
    [[nodiscard]] auto was_reset() const -> bool { return reset_; }

    /// Closes with a reset, as a process that dies does.
    auto reset() -> void
    {
        linger const at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
    auto close() -> void
    {
        if (fd_ >= 0)
        {
            ::close(std::exchange(fd_, -1));
        }
    }

    static auto address(std::string const& at) -> sockaddr_in
    {
        auto const n = at.find(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port =
            htons(static_cast<std::uint16_t>(std::stoi(at.substr(n + 1))));
        inet_pton(AF_INET, at.substr(0, n).c_str(), &to.sin_addr);
        return to;
    }

private:
    int fd_{-1};
    std::string text_;
    bool ended_{false};
    bool reset_{false};
};

/// Listens on a free port and hands out connections.
class raw_listener
{
public:
    explicit raw_listener(std::string const& host = "127.0.0.1") : at_(host)
    {
        auto to = raw_socket::address(host + ":0");
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        auto const ok =
            bind(fd_, reinterpret_cast<sockaddr const*>(&to), sizeof to) == 0 &&
            listen(fd_, 64) == 0;
        if (!ok)
        {
            close();
            return;
        }
        fcntl(fd_, F_SETFL, O_NONBLOCK);
        socklen_t size = sizeof to;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&to), &size);
        at_ += ":" + std::to_string(ntohs(to.sin_port));
    }
    raw_listener(raw_listener const&) = delete;
    auto operator=(raw_listener const&) -> raw_listener& = delete;
    ~raw_listener() { close(); }

    [[nodiscard]] auto at() const -> std::string const& { return at_; }

    /// A loopback host of this process alone: no other process takes its ports.
    static auto own_host() -> std::string
    {
        auto const n = static_cast<unsigned>(getpid());
        return "127." + std::to_string(1 + ((n >> 16U) & 0x7fU)) + "." +
               std::to_string((n >> 8U) & 0xffU) + "." +
               std::to_string(n & 0xffU);
    }

    /// A connection that arrived, if any.
    auto accept() -> raw_socket
    {
        return raw_socket{::accept(fd_, nullptr, nullptr)};
    }

    auto close() -> void
    {
        if (fd_ >= 0)
        {
            ::close(std::exchange(fd_, -1));
        }
    }

private:
    int fd_{-1};
    std::string at_;
};

} // namespace apricotlb

#endif
