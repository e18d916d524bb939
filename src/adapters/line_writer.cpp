#include "adapters/line_writer.hpp"

#include <fcntl.h>
#include <glib-unix.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string>
#include <utility>

namespace apricotlb
{

namespace
{

/// How one write is kept from waiting.
enum class write_mode : std::uint8_t
{
    plain,  ///< a file: it has no reader to wait for
    socket, ///< a flag of the call
    own,    ///< opened anew without blocking, which leaves the shared flags
    polled, ///< asked before each write of at most PIPE_BUF bytes
    none,   ///< closed
};

struct output
{
    int fd{-1};
    write_mode mode{write_mode::none};
};

auto open_output(int fd) -> output
{
    struct stat info
    {
    };
    if (fstat(fd, &info) != 0)
    {
        return {};
    }
    if (S_ISREG(info.st_mode))
    {
        return {fd, write_mode::plain};
    }
    if (S_ISSOCK(info.st_mode))
    {
        return {fd, write_mode::socket};
    }
    // Refused when another user owns the pipe or its reader has gone.
    auto const own = ::open(("/dev/fd/" + std::to_string(fd)).c_str(),
                            O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
    return own >= 0 ? output{own, write_mode::own}
                    : output{fd, write_mode::polled};
}

/// Bytes taken; below 0 with errno otherwise.
auto write_some(output const& to, std::string_view bytes) -> ssize_t
{
    switch (to.mode)
    {
    case write_mode::socket:
        return send(to.fd, bytes.data(), bytes.size(),
                    MSG_DONTWAIT | MSG_NOSIGNAL);
    case write_mode::polled:
    {
        pollfd it{to.fd, POLLOUT, 0};
        auto const n = poll(&it, 1, 0);
        if (n <= 0)
        {
            errno = n == 0 ? EAGAIN : errno;
            return -1;
        }
        return ::write(to.fd, bytes.data(),
                       std::min<std::size_t>(bytes.size(), PIPE_BUF));
    }
    case write_mode::none:
        errno = EBADF;
        return -1;
    default:
        return ::write(to.fd, bytes.data(), bytes.size());
    }
}

/// Whole lines of at most PIPE_BUF bytes, which a pipe takes in one piece; or
/// one longer line.
auto next_piece(std::string_view waiting) -> std::string_view
{
    if (waiting.size() <= PIPE_BUF)
    {
        return waiting;
    }
    auto end = waiting.rfind('\n', PIPE_BUF - 1);
    if (end == std::string_view::npos)
    {
        end = waiting.find('\n');
    }
    return waiting.substr(0, end + 1);
}

auto count_lines(std::string_view it) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::ranges::count(it, '\n'));
}

} // namespace

struct line_writer::state
{
    output to;
    std::string waiting;
    bool is_cut{false};          ///< the last line was written in part
    bool has_failed{false};      ///< the last write failed for good
    std::uint64_t unreported{0}; ///< dropped since the last report
    line_counts counts;
    guint source{0};
    std::function<void()> on_writable;

    /// Writes what the descriptor takes of the bytes and returns the rest.
    auto pass(std::string_view bytes) -> std::string_view;
    auto flush() -> void;
    auto drop(std::string_view lines) -> void;
    auto watch() -> void;
    auto end_cut_line() -> bool;
};

auto line_writer::state::pass(std::string_view bytes) -> std::string_view
{
    auto const start = g_get_monotonic_time();
    has_failed = false;
    while (!bytes.empty())
    {
        auto const piece = next_piece(bytes);
        auto const n = write_some(to, piece);
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n < 0)
        {
            has_failed = errno != EAGAIN && errno != EWOULDBLOCK;
            break;
        }
        auto const taken = static_cast<std::size_t>(n);
        counts.written += count_lines(bytes.substr(0, taken));
        is_cut = taken > 0 && bytes[taken - 1] != '\n';
        bytes.remove_prefix(taken);
        if (taken < piece.size() && to.mode != write_mode::polled)
        {
            break;
        }
    }
    duration const spent{g_get_monotonic_time() - start};
    counts.time += spent;
    counts.longest = std::max(counts.longest, spent);
    return bytes;
}

auto line_writer::state::drop(std::string_view lines) -> void
{
    auto const n = count_lines(lines);
    counts.dropped += n;
    unreported += n;
}

/// Writes the waiting lines as far as possible.
auto line_writer::state::flush() -> void
{
    auto const rest = pass(waiting);
    if (has_failed)
    {
        drop(rest);
        waiting.clear();
        return;
    }
    waiting.erase(0, waiting.size() - rest.size());
}

auto line_writer::state::watch() -> void
{
    if (source != 0)
    {
        return;
    }
    auto const ready = [](gint, GIOCondition, gpointer self) -> gboolean
    {
        auto& it = *static_cast<state*>(self);
        it.flush();
        if (!it.waiting.empty())
        {
            return G_SOURCE_CONTINUE;
        }
        it.source = 0;
        if (!it.has_failed && it.on_writable)
        {
            it.on_writable();
        }
        return G_SOURCE_REMOVE;
    };
    source = g_unix_fd_add(to.fd, G_IO_OUT, ready, this);
}

/// Ends the part of a line whose rest was lost; false if it can't be written.
auto line_writer::state::end_cut_line() -> bool
{
    is_cut = write_some(to, "\n") != 1;
    has_failed = is_cut;
    return !is_cut;
}

line_writer::line_writer(int fd) : state_(std::make_unique<state>())
{
    state_->to = open_output(fd);
}

line_writer::~line_writer()
{
    if (state_->source != 0)
    {
        g_source_remove(state_->source);
    }
    state_->flush();
    if (state_->to.mode == write_mode::own)
    {
        ::close(state_->to.fd);
    }
}

auto line_writer::write(std::string_view line) -> void
{
    auto& it = *state_;
    if (!it.waiting.empty())
    {
        if (it.unreported > 0 ||
            it.waiting.size() + line.size() > max_waiting_bytes)
        {
            it.drop(line);
            return;
        }
        it.waiting += line;
        return;
    }
    if (it.is_cut && !it.end_cut_line())
    {
        it.drop(line);
        return;
    }
    auto const rest = it.pass(line);
    if (it.has_failed)
    {
        it.drop(rest);
    }
    else if (!rest.empty())
    {
        it.waiting = rest;
        it.watch();
    }
}

auto line_writer::on_writable(std::function<void()> run) -> void
{
    state_->on_writable = std::move(run);
}

auto line_writer::take_dropped() -> std::uint64_t
{
    auto const is_ready = !state_->has_failed && state_->waiting.empty();
    return is_ready ? std::exchange(state_->unreported, 0) : 0;
}

auto line_writer::counts() const -> line_counts
{
    return state_->counts;
}

} // namespace apricotlb
