#include "soak/http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace apricotlb::soak
{

namespace
{

constexpr std::size_t read_bytes = 65536;

auto lower_case(std::string text) -> std::string
{
    std::ranges::transform(text, text.begin(),
                           [](char c)
                           { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; });
    return text;
}

auto to_number(std::string_view text) -> std::size_t
{
    std::size_t n{0};
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

auto socket_address_of(std::string const& address) -> sockaddr_in
{
    auto const colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port =
        htons(static_cast<std::uint16_t>(to_number(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

auto new_socket() -> int
{
    auto const fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return fd;
}

} // namespace

auto peer_of(int fd) -> std::string
{
    sockaddr_in it{};
    socklen_t size{sizeof it};
    std::array<char, INET_ADDRSTRLEN> text{};
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&it), &size) != 0 ||
        inet_ntop(AF_INET, &it.sin_addr, text.data(), text.size()) == nullptr)
    {
        return {};
    }
    return std::string{text.data()} + ":" + std::to_string(ntohs(it.sin_port));
}

auto http_text::header(std::string const& name) const -> std::string
{
    auto const it = headers.find(name);
    return it == headers.end() ? std::string{} : it->second;
}

auto message_reader::next() -> std::optional<http_text>
{
    auto const head_end = held_.find("\r\n\r\n");
    if (head_end == std::string::npos)
    {
        return std::nullopt;
    }
    http_text out;
    auto line_begin = std::size_t{0};
    while (line_begin < head_end)
    {
        auto const line_end =
            std::min(held_.find("\r\n", line_begin), head_end);
        auto const line = held_.substr(line_begin, line_end - line_begin);
        line_begin = line_end + 2;
        if (out.first_line.empty())
        {
            out.first_line = line;
            continue;
        }
        auto const colon = line.find(':');
        auto const value = line.find_first_not_of(' ', colon + 1);
        if (colon != std::string::npos)
        {
            out.headers[lower_case(line.substr(0, colon))] =
                value == std::string::npos ? std::string{} : line.substr(value);
        }
    }
    auto const body_begin = head_end + 4;
    auto const length = to_number(out.header("content-length"));
    if (held_.size() < body_begin + length)
    {
        return std::nullopt;
    }
    out.body = held_.substr(body_begin, length);
    held_.erase(0, body_begin + length);
    return out;
}

stream::stream(int fd) : fd_(fd)
{
    watch();
}

stream::~stream()
{
    *alive_ = false;
    close();
}

auto stream::watch() -> void
{
    auto events = paused_ ? 0U : unsigned{G_IO_IN};
    events |= out_.empty() ? 0U : unsigned{G_IO_OUT};
    if (fd_ < 0 || (source_ != 0 && events == watched_))
    {
        return;
    }
    if (source_ != 0)
    {
        g_source_remove(source_);
    }
    watched_ = events;
    auto const ready = [](gint, GIOCondition got, gpointer self) -> gboolean
    {
        static_cast<stream*>(self)->serve(static_cast<unsigned>(got));
        return G_SOURCE_CONTINUE;
    };
    // A paused stream is not told of the end of its peer either.
    source_ = events == 0
                  ? 0
                  : g_unix_fd_add(fd_, static_cast<GIOCondition>(events), ready,
                                  this);
}

auto stream::serve(unsigned events) -> void
{
    auto const alive = alive_;
    if ((events & unsigned{G_IO_OUT}) != 0 && !flush())
    {
        end();
        return;
    }
    if ((events & (unsigned{G_IO_IN} | G_IO_HUP | G_IO_ERR)) != 0)
    {
        std::array<char, read_bytes> buf{};
        auto const n = ::recv(fd_, buf.data(), buf.size(), 0);
        if (n > 0 && on_bytes)
        {
            on_bytes({buf.data(), static_cast<std::size_t>(n)});
        }
        else if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
        {
            end();
            return;
        }
    }
    if (*alive)
    {
        watch();
    }
}

auto stream::write(std::string_view bytes) -> void
{
    out_ += bytes;
    if (fd_ >= 0)
    {
        // A failure shows in the next event of the socket.
        (void)flush();
        watch();
    }
}

auto stream::flush() -> bool
{
    while (!out_.empty())
    {
        auto const n = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
        if (n < 0)
        {
            return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        }
        out_.erase(0, static_cast<std::size_t>(n));
    }
    return true;
}

auto stream::pause(bool paused) -> void
{
    paused_ = paused;
    watch();
}

auto stream::end() -> void
{
    close();
    if (auto const closed = std::exchange(on_closed, nullptr))
    {
        closed();
    }
}

auto stream::close(bool hard) -> void
{
    if (source_ != 0)
    {
        g_source_remove(std::exchange(source_, 0));
    }
    if (fd_ < 0)
    {
        return;
    }
    if (hard)
    {
        linger const reset{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    ::close(std::exchange(fd_, -1));
}

auto connect_to(std::string const& address) -> int
{
    auto const fd = new_socket();
    auto const to = socket_address_of(address);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0 &&
        errno != EINPROGRESS)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

auto listener::open(std::string const& address) -> bool
{
    close();
    fd_ = new_socket();
    auto const at = socket_address_of(address);
    if (::bind(fd_, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        ::listen(fd_, SOMAXCONN) != 0)
    {
        close();
        return false;
    }
    auto const ready = [](gint fd, GIOCondition, gpointer self) -> gboolean
    {
        auto const got =
            ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (got >= 0)
        {
            static_cast<listener*>(self)->accept_(got);
        }
        return G_SOURCE_CONTINUE;
    };
    source_ = g_unix_fd_add(fd_, G_IO_IN, ready, this);
    return true;
}

auto listener::close() -> void
{
    if (source_ != 0)
    {
        g_source_remove(std::exchange(source_, 0));
    }
    if (fd_ >= 0)
    {
        ::close(std::exchange(fd_, -1));
    }
}

http_connection::~http_connection()
{
    done_ = nullptr;
    close();
}

auto http_connection::close() -> void
{
    clock_.cancel_timer(std::exchange(timeout_, {}));
    stream_.reset();
    reader_ = {};
}

auto http_connection::call(http_call const& it, callback done) -> void
{
    done_ = std::move(done);
    result_ = {};
    result_.reused = stream_ != nullptr;
    result_.sent_at = clock_.now();
    got_bytes_ = false;
    if (!stream_)
    {
        auto const fd = connect_to(address_);
        if (fd < 0)
        {
            timeout_ = clock_.start_timer(duration{0}, [this]
                                          { finish(call_end::not_connected); });
            return;
        }
        stream_ = std::make_unique<stream>(fd);
        stream_->on_bytes = [this](std::string_view bytes) { take(bytes); };
        stream_->on_closed = [this]
        {
            if (!done_)
            {
                close();
                return;
            }
            auto const was_sent =
                result_.reused || got_bytes_ || stream_->unsent() == 0;
            finish(was_sent ? call_end::cut : call_end::not_connected);
        };
    }
    timeout_ =
        clock_.start_timer(it.timeout, [this] { finish(call_end::timed_out); });
    constexpr auto answer_margin = std::chrono::milliseconds{50};
    auto const wait =
        std::chrono::duration_cast<milliseconds>(it.timeout - answer_margin);
    stream_->write(it.method + " " + it.path + " HTTP/1.1\r\nHost: " + it.host +
                   "\r\nContent-Type: application/json\r\nTimeout-Ms: " +
                   std::to_string(wait.count()) + "\r\nContent-Length: " +
                   std::to_string(it.body.size()) + "\r\n\r\n" + it.body);
}

auto http_connection::take(std::string_view bytes) -> void
{
    got_bytes_ = true;
    reader_.add(bytes);
    if (auto it = reader_.next(); it && done_)
    {
        // "HTTP/1.1 200 OK"
        constexpr std::size_t status_at = 9;
        result_.status = static_cast<int>(to_number(
            it->first_line.substr(std::min(status_at, it->first_line.size()))));
        result_.answer = std::move(*it);
        finish(call_end::answered);
    }
}

auto http_connection::finish(call_end how) -> void
{
    result_.how = how;
    result_.ended_at = clock_.now();
    clock_.cancel_timer(std::exchange(timeout_, {}));
    if (how != call_end::answered ||
        lower_case(result_.answer.header("connection")) == "close")
    {
        // Not within an event of the stream, which this would destroy.
        auto old = std::shared_ptr<stream>{std::move(stream_)};
        if (old)
        {
            old->close();
            clock_.start_timer(duration{0}, [old] {});
        }
        reader_ = {};
    }
    auto const done = std::exchange(done_, nullptr);
    auto const result = result_;
    done(result);
}

auto http_server::accept(int fd) -> void
{
    auto const id = ++last_id_;
    auto& it = connections_[id];
    it.socket = std::make_unique<stream>(fd);
    it.socket->on_bytes = [this, id](std::string_view bytes)
    {
        connections_.at(id).reader.add(bytes);
        serve(id);
    };
    it.socket->on_closed = [this, id] { drop(id); };
    it.socket->pause(paused_);
}

/// Destroys the stream in a later turn of the loop: this may be its own event.
auto http_server::drop(std::uint64_t id) -> void
{
    auto node = connections_.extract(id);
    auto socket = std::move(node.mapped().socket);
    socket->close();
    g_idle_add_once(
        [](gpointer old)
        { std::default_delete<stream>{}(static_cast<stream*>(old)); },
        socket.release());
}

auto http_server::serve(std::uint64_t id) -> void
{
    auto const found = connections_.find(id);
    if (found == connections_.end() || found->second.busy)
    {
        return;
    }
    auto const request = found->second.reader.next();
    if (!request)
    {
        return;
    }
    found->second.busy = true;
    handle_(*request,
            [this, id](int status, std::string const& body)
            {
                auto const it = connections_.find(id);
                if (it == connections_.end())
                {
                    return;
                }
                if (status == 0)
                {
                    drop(id);
                    return;
                }
                it->second.busy = false;
                it->second.socket->write(
                    "HTTP/1.1 " + std::to_string(status) +
                    " -\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
                serve(id);
            });
}

auto http_server::close() -> void
{
    listener_.close();
    connections_.clear();
    paused_ = false;
}

auto http_server::pause(bool paused) -> void
{
    paused_ = paused;
    for (auto& [id, it] : connections_)
    {
        it.socket->pause(paused);
    }
}

} // namespace apricotlb::soak
