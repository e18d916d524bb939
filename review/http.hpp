/// A small HTTP/1.1 client and server over the event loop.
#ifndef APRICOTLB_REVIEW_HTTP_HPP
#define APRICOTLB_REVIEW_HTTP_HPP

#include "loop.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace review
{

struct http_message
{
    std::string first;  ///< of a request: method; of a response: version
    std::string second; ///< of a request: path; of a response: status
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct http_reply
{
    int status{0}; ///< 0: no complete response arrived
    std::string body;
};

using header_map = std::map<std::string, std::string>;

/// Takes the first whole message off the front of `buf`. A message without a
/// length ends with the connection.
inline auto take_message(std::string& buf, bool is_response, bool at_end)
    -> std::optional<http_message>
{
    auto const head_end = buf.find("\r\n\r\n");
    if (head_end == std::string::npos)
    {
        return std::nullopt;
    }
    http_message out;
    std::string_view rest{buf.data(), head_end};
    auto const next_line = [&rest]
    {
        auto const end = std::min(rest.find("\r\n"), rest.size());
        auto const line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 2, rest.size()));
        return line;
    };
    auto const start = next_line();
    auto const space = start.find(' ');
    if (space == std::string_view::npos)
    {
        return std::nullopt;
    }
    out.first = std::string{start.substr(0, space)};
    auto const second = start.substr(space + 1);
    out.second = std::string{
        second.substr(0, std::min(second.find(' '), second.size()))};
    while (!rest.empty())
    {
        auto const line = next_line();
        auto const colon = line.find(':');
        if (colon == std::string_view::npos)
        {
            continue;
        }
        std::string name{line.substr(0, colon)};
        std::ranges::transform(name, name.begin(),
                               [](unsigned char c)
                               { return static_cast<char>(std::tolower(c)); });
        auto value = line.substr(colon + 1);
        value.remove_prefix(
            std::min(value.find_first_not_of(' '), value.size()));
        out.headers[name] = std::string{value};
    }
    auto const body_at = head_end + 4;
    auto const length = out.headers.find("content-length");
    if (length == out.headers.end() && is_response)
    {
        if (!at_end)
        {
            return std::nullopt;
        }
        out.body = buf.substr(body_at);
        buf.clear();
        return out;
    }
    auto const size =
        length == out.headers.end()
            ? std::size_t{0}
            : static_cast<std::size_t>(std::atoll(length->second.c_str()));
    if (buf.size() < body_at + size)
    {
        return std::nullopt;
    }
    out.body = buf.substr(body_at, size);
    buf.erase(0, body_at + size);
    return out;
}

inline auto socket_address(std::string const& address) -> sockaddr_in
{
    auto const colon = address.find(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

inline auto open_socket() -> int
{
    auto const fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on{1};
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Sends one request over a connection of its own. `done` runs once.
inline auto send_request(event_loop& loop, std::string const& to,
                         std::string const& method, std::string const& path,
                         header_map const& headers, std::string const& body,
                         milliseconds timeout,
                         std::function<void(http_reply)> done) -> void
{
    struct exchange
    {
        int fd{-1};
        std::string out;
        std::string in;
        event_loop::timer timer{0};
        std::function<void(http_reply)> done;
    };
    auto const it = std::make_shared<exchange>();
    it->fd = open_socket();
    it->done = std::move(done);
    it->out = method + " " + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host"))
    {
        it->out += "Host: " + to + "\r\n";
    }
    for (auto const& [name, value] : headers)
    {
        it->out += name + ": " + value + "\r\n";
    }
    it->out += "Content-Type: application/json\r\nConnection: close\r\n"
               "Content-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    auto const end = [&loop, it](http_reply reply)
    {
        if (it->fd >= 0)
        {
            loop.unwatch(it->fd);
            loop.cancel(it->timer);
            ::close(it->fd);
            it->fd = -1;
            auto const callback = std::move(it->done);
            callback(std::move(reply));
        }
    };
    it->timer = loop.after(timeout, [end] { end({}); });
    auto const address = socket_address(to);
    auto const connected = ::connect(
        it->fd, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    if (connected != 0 && errno != EINPROGRESS)
    {
        loop.after(0, [end] { end({}); });
        return;
    }
    loop.watch(
        it->fd, POLLIN | POLLOUT,
        [&loop, it, end](short events)
        {
            if ((events & POLLOUT) != 0 && !it->out.empty())
            {
                auto const n = ::send(it->fd, it->out.data(), it->out.size(),
                                      MSG_NOSIGNAL);
                if (n < 0 && errno != EAGAIN)
                {
                    end({});
                    return;
                }
                it->out.erase(
                    0, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            }
            auto at_end = false;
            if ((events & (POLLIN | POLLHUP | POLLERR)) != 0)
            {
                std::string buf(65536, '\0');
                auto const n = ::recv(it->fd, buf.data(), buf.size(), 0);
                at_end = n == 0 || (n < 0 && errno != EAGAIN);
                it->in.append(
                    buf, 0, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            }
            if (auto const got = take_message(it->in, true, at_end))
            {
                end({std::atoi(got->second.c_str()), got->body});
            }
            else if (at_end)
            {
                end({});
            }
            else if (it->out.empty())
            {
                loop.set_events(it->fd, POLLIN);
            }
        });
}

/// Serves requests on one address. A reply callback may be kept and called
/// later; it does nothing once its connection is gone.
class http_server
{
public:
    using reply = std::function<void(int status, std::string body)>;
    using handler = std::function<void(http_message const&, reply)>;

    http_server(event_loop& loop, handler on_request)
        : loop_(loop), on_request_(std::move(on_request))
    {
    }
    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;
    ~http_server() { close(); }

    /// False if the address is in use. Port 0 takes a free one.
    auto listen(std::string const& address) -> bool
    {
        fd_ = open_socket();
        int const on{1};
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = socket_address(address);
        if (::bind(fd_, reinterpret_cast<sockaddr const*>(&at), sizeof at) !=
                0 ||
            ::listen(fd_, 128) != 0)
        {
            ::close(fd_);
            fd_ = -1;
            return false;
        }
        socklen_t size = sizeof at;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        loop_.watch(fd_, POLLIN, [this](short) { accept(); });
        return true;
    }
    [[nodiscard]] auto port() const -> int { return port_; }

    /// Stops listening and drops all connections, as the end of a process.
    auto close() -> void
    {
        if (fd_ >= 0)
        {
            loop_.unwatch(fd_);
            ::close(fd_);
            fd_ = -1;
        }
        while (!open_.empty())
        {
            drop(open_.begin()->second);
        }
    }

private:
    struct connection
    {
        int fd{-1};
        std::string in;
    };
    using connection_ptr = std::shared_ptr<connection>;

    auto accept() -> void
    {
        auto const fd =
            ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            return;
        }
        int const on{1};
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto const it = std::make_shared<connection>(connection{fd, {}});
        open_[fd] = it;
        loop_.watch(fd, POLLIN, [this, it](short) { read(it); });
    }

    auto drop(connection_ptr const& it) -> void
    {
        if (it->fd >= 0)
        {
            auto const fd = std::exchange(it->fd, -1);
            loop_.unwatch(fd);
            ::close(fd);
            open_.erase(fd);
        }
    }

    auto read(connection_ptr const& it) -> void
    {
        std::string buf(65536, '\0');
        auto const n = ::recv(it->fd, buf.data(), buf.size(), 0);
        if (n == 0 || (n < 0 && errno != EAGAIN))
        {
            drop(it);
            return;
        }
        it->in.append(buf, 0,
                      static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        while (it->fd >= 0)
        {
            auto const got = take_message(it->in, false, false);
            if (!got)
            {
                return;
            }
            on_request_(*got, [this, it](int status, std::string const& body)
                        { write(it, status, body); });
        }
    }

    auto write(connection_ptr const& it, int status, std::string const& body)
        -> void
    {
        if (it->fd < 0)
        {
            return;
        }
        auto const text = "HTTP/1.1 " + std::to_string(status) +
                          " OK\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
        auto const n = ::send(it->fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (n != static_cast<ssize_t>(text.size()))
        {
            drop(it);
        }
    }

    event_loop& loop_;
    handler on_request_;
    int fd_{-1};
    int port_{0};
    std::map<int, connection_ptr> open_;
};

} // namespace review

#endif
