#include "adapters/line_writer.hpp"
#include "adapters/log.hpp"
#include "adapters/metrics.hpp"
#include "adapters/unix_signals.hpp"
#include "app/process.hpp"
#include "loopback.hpp"
#include "temporary_folder.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>

namespace apricotlb
{
namespace
{

/// Both ends of a pipe or of a stream socket. The end for writing blocks, as
/// standard error does.
class channel
{
public:
    enum class kind
    {
        pipe,
        socket,
    };

    explicit channel(kind it)
    {
        if (it == kind::pipe)
        {
            EXPECT_EQ(::pipe(ends_.data()), 0);
        }
        else
        {
            EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()), 0);
        }
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    channel(channel const&) = delete;
    auto operator=(channel const&) -> channel& = delete;
    ~channel()
    {
        close_reader();
        ::close(ends_[1]);
    }

    [[nodiscard]] auto writer() const -> int { return ends_[1]; }

    auto read_all() -> std::string
    {
        std::string out;
        std::array<char, 65536> buf{};
        for (auto n = ::read(ends_[0], buf.data(), buf.size()); n > 0;
             n = ::read(ends_[0], buf.data(), buf.size()))
        {
            out.append(buf.data(), static_cast<std::size_t>(n));
        }
        return out;
    }

    auto close_reader() -> void
    {
        if (ends_[0] >= 0)
        {
            ::close(std::exchange(ends_[0], -1));
        }
    }

private:
    std::array<int, 2> ends_{-1, -1};
};

auto numbered(int n, std::size_t size) -> std::string
{
    auto out = std::to_string(n) + " ";
    out.resize(size, 'x');
    return out + "\n";
}

class unread_log_test : public testing::TestWithParam<channel::kind>
{
protected:
    unread_log_test()
    {
        ignore_broken_pipes();
        log_options options;
        options.descriptor = to.writer();
        options.per_event_second = 1'000'000;
        setup_log(options);
    }
    ~unread_log_test() override { setup_log({}); }

    channel to{GetParam()};
    logger log{"entry"};
};

// A process whose log nobody read stood still with its sockets open.
TEST_P(unread_log_test, returns_while_nobody_reads_and_says_what_is_missing)
{
    constexpr auto lines = 20'000;
    for (auto n = 0; n < lines; ++n)
    {
        log.info("refused", {{"n", n}});
    }
    auto const dropped = log_counts().dropped;
    EXPECT_GT(dropped, 0U);

    std::string text;
    EXPECT_TRUE(run_until(
        [&]
        {
            text += to.read_all();
            return text.find("lines_dropped") != std::string::npos;
        }));
    log.info("later");
    text += to.read_all();
    auto const kept = lines - static_cast<int>(dropped);
    EXPECT_NE(text.find(" n=" + std::to_string(kept - 1) + "\n"),
              std::string::npos);
    EXPECT_EQ(text.find(" n=" + std::to_string(kept) + "\n"),
              std::string::npos);
    EXPECT_NE(text.find("warning log lines_dropped dropped=" +
                        std::to_string(dropped) + "\n"),
              std::string::npos);
    EXPECT_TRUE(text.ends_with("info entry later\n"));
    EXPECT_EQ(std::ranges::count(text, '\n'), kept + 2);
    EXPECT_EQ(log_counts().written, static_cast<std::uint64_t>(kept) + 2);
}

// Dropped lines and slow writes were to be told from other stops of the loop.
TEST_P(unread_log_test, counts_dropped_lines_and_time_in_the_metrics)
{
    metrics counts;
    include_log_counts(counts);
    for (auto n = 0; n < 20'000; ++n)
    {
        log.info("refused", {{"n", n}});
    }
    auto const it = log_counts();
    EXPECT_GT(it.dropped, 0U);
    auto const text = counts.text();
    EXPECT_NE(text.find("apricotlb_log_lines_total{outcome=\"dropped\"} " +
                        std::to_string(it.dropped) + "\n"),
              std::string::npos);
    EXPECT_NE(text.find("apricotlb_log_lines_total{outcome=\"written\"} " +
                        std::to_string(it.written) + "\n"),
              std::string::npos);
    EXPECT_NE(text.find("apricotlb_log_write_microseconds_total "),
              std::string::npos);
}

// Other processes write to the same standard error and expect it to block.
TEST_P(unread_log_test, leaves_the_flags_of_the_shared_descriptor)
{
    log.info("started");
    EXPECT_EQ(fcntl(to.writer(), F_GETFL) & O_NONBLOCK, 0);
}

// A reader that went away ended the process.
TEST_P(unread_log_test, outlives_its_reader)
{
    log.info("started");
    to.close_reader();
    log.info("later");
    EXPECT_EQ(log_counts().dropped, 1U);
}

INSTANTIATE_TEST_SUITE_P(all, unread_log_test,
                         testing::Values(channel::kind::pipe,
                                         channel::kind::socket));

class line_writer_test : public testing::TestWithParam<channel::kind>
{
protected:
    /// Writes lines of one size to a slow reader and returns what it read.
    auto pass(int lines, std::size_t size) -> std::string
    {
        line_writer out{to.writer()};
        std::string text;
        for (auto n = 0; n < lines; ++n)
        {
            out.write(numbered(n, size));
        }
        EXPECT_TRUE(run_until(
            [&]
            {
                text += to.read_all();
                auto const it = out.counts();
                return it.written + it.dropped ==
                       static_cast<std::uint64_t>(lines);
            }));
        return text + to.read_all();
    }

    channel to{GetParam()};
};

// Half a line in the middle of others is read as two wrong ones.
TEST_P(line_writer_test, leaves_no_half_line)
{
    for (auto const size : {100U, 4095U, 4096U, 70'000U, 300'000U})
    {
        auto const text = pass(300'000 / static_cast<int>(size) + 10, size);
        std::string expected;
        for (auto n = 0; expected.size() < text.size(); ++n)
        {
            expected += numbered(n, size);
        }
        EXPECT_EQ(text, expected) << size;
    }
}

INSTANTIATE_TEST_SUITE_P(all, line_writer_test,
                         testing::Values(channel::kind::pipe,
                                         channel::kind::socket));

// A pipe with several writers mixes what is written in more than one piece.
TEST(line_writer, keeps_lines_whole_beside_another_writer)
{
    channel to{channel::kind::pipe};
    line_writer one{to.writer()};
    line_writer other{to.writer()};
    for (auto n = 0; n < 2000; ++n)
    {
        one.write(numbered(n, 90));
        other.write("other" + numbered(n, 200));
    }
    std::string text;
    EXPECT_TRUE(run_until(
        [&]
        {
            text += to.read_all();
            auto const a = one.counts();
            auto const b = other.counts();
            return a.written + a.dropped == 2000 &&
                   b.written + b.dropped == 2000;
        }));
    text += to.read_all();
    std::size_t at{0};
    for (auto end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', at))
    {
        EXPECT_EQ(end - at, text.compare(at, 5, "other") == 0 ? 205U : 90U);
        at = end + 1;
    }
    EXPECT_EQ(at, text.size());
}

// A file keeps its offset, which the processes that write to it share.
TEST(line_writer, appends_to_a_file)
{
    temporary_folder folder;
    auto const path = folder.path() + "/log";
    auto const fd = ::open(path.c_str(), O_RDWR | O_CREAT, 0600);
    ASSERT_GE(fd, 0);
    ASSERT_EQ(::write(fd, "first\n", 6), 6);
    line_writer out{fd};
    out.write("second\n");
    std::array<char, 32> buf{};
    auto const n = pread(fd, buf.data(), buf.size(), 0);
    EXPECT_EQ((std::string{buf.data(), static_cast<std::size_t>(n)}),
              "first\nsecond\n");
    ::close(fd);
}

TEST(line_writer, counts_lines_without_a_descriptor)
{
    channel to{channel::kind::pipe};
    auto const closed = ::dup(to.writer());
    ::close(closed);
    line_writer out{closed};
    out.write("lost\n");
    EXPECT_EQ(out.counts().dropped, 1U);
    EXPECT_EQ(out.take_dropped(), 0U);
}

// The number of a descriptor that was closed at the start is taken by a socket.
TEST(line_writer, does_not_write_to_the_next_owner_of_a_closed_descriptor)
{
    channel to{channel::kind::pipe};
    auto const closed = ::dup(to.writer());
    ::close(closed);
    line_writer out{closed};
    ASSERT_EQ(::dup(to.writer()), closed);
    out.write("lost\n");
    EXPECT_EQ(to.read_all(), "");
    ::close(closed);
}

// A full disk cuts a line; the next one must not be appended to its part.
TEST(line_writer, starts_a_new_line_after_a_lost_rest)
{
    temporary_folder folder;
    auto const path = folder.path() + "/log";
    auto const fd = ::open(path.c_str(), O_RDWR | O_CREAT, 0600);
    ASSERT_GE(fd, 0);
    line_writer out{fd};
    auto const before = std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    getrlimit(RLIMIT_FSIZE, &limit);
    auto small = limit;
    small.rlim_cur = 10;
    setrlimit(RLIMIT_FSIZE, &small);
    out.write(numbered(1, 20));
    auto const ended = run_until([&] { return out.counts().dropped == 1; });
    out.write("lost\n");
    setrlimit(RLIMIT_FSIZE, &limit);
    std::signal(SIGXFSZ, before);
    EXPECT_TRUE(ended);
    out.write("next\n");
    std::array<char, 64> buf{};
    auto const n = pread(fd, buf.data(), buf.size(), 0);
    EXPECT_EQ((std::string{buf.data(), static_cast<std::size_t>(n)}),
              "1 xxxxxxxx\nnext\n");
    EXPECT_EQ(out.take_dropped(), 2U);
    ::close(fd);
}

// Standard error can't be opened anew without its reader or by another user.
TEST(line_writer, does_not_wait_when_it_may_not_open_the_pipe_anew)
{
    temporary_folder folder;
    auto const path = folder.path() + "/pipe";
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    auto const first = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
    auto const fd = ::open(path.c_str(), O_WRONLY);
    ASSERT_GE(fd, 0);
    ::close(first);
    line_writer out{fd};
    auto const reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
    while (out.counts().dropped == 0)
    {
        out.write(numbered(0, 5000));
    }
    std::size_t got{0};
    std::array<char, 65536> buf{};
    EXPECT_TRUE(run_until(
        [&]
        {
            auto const n = ::read(reader, buf.data(), buf.size());
            got += n > 0 ? static_cast<std::size_t>(n) : 0;
            return out.take_dropped() == 1;
        }));
    for (auto n = ::read(reader, buf.data(), buf.size()); n > 0;
         n = ::read(reader, buf.data(), buf.size()))
    {
        got += static_cast<std::size_t>(n);
    }
    EXPECT_EQ(got, out.counts().written * 5001);
    ::close(reader);
    ::close(fd);
}

TEST(line_writer, takes_lines_for_the_null_device)
{
    auto const fd = ::open("/dev/null", O_WRONLY);
    line_writer out{fd};
    out.write("line\n");
    EXPECT_EQ(out.counts().written, 1U);
    ::close(fd);
}

// A terminal that is stopped with control and S takes nothing.
TEST(line_writer, does_not_wait_for_a_stopped_terminal)
{
    auto const master = posix_openpt(O_RDWR | O_NOCTTY);
    ASSERT_GE(master, 0);
    ASSERT_EQ(grantpt(master), 0);
    ASSERT_EQ(unlockpt(master), 0);
    auto const fd = ::open(ptsname(master), O_RDWR | O_NOCTTY);
    ASSERT_GE(fd, 0);
    {
        line_writer out{fd};
        while (out.counts().dropped == 0)
        {
            out.write(numbered(0, 1000));
        }
    }
    ::close(fd);
    ::close(master);
}

} // namespace
} // namespace apricotlb
