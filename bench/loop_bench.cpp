/// Measures the processor time of one request of curl_requests beside
/// connections whose requests wait for their answers, as a leader has one open
/// at each worker. A child process answers, so its time is not counted.
#include "adapters/curl_requests.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace apricotlb
{
namespace
{

constexpr auto requests = 2000;
/// The smallest value counts: other load on the machine only adds time.
constexpr auto passes = 5;
constexpr std::string_view answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Listens on a free port of all loopback addresses.
auto listen_anywhere() -> std::pair<int, int>
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    auto const fd = socket(AF_INET, SOCK_STREAM, 0);
    socklen_t size = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        listen(fd, 2048) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    {
        std::perror("listen");
        return {-1, 0};
    }
    return {fd, ntohs(at.sin_port)};
}

/// Answers requests for /now at once and the others never.
[[noreturn]] auto answer_requests(int listener) -> void
{
    auto const all = epoll_create1(0);
    epoll_event wish{};
    wish.events = EPOLLIN;
    wish.data.fd = listener;
    epoll_ctl(all, EPOLL_CTL_ADD, listener, &wish);
    std::array<char, 4096> buf{};
    for (;;)
    {
        epoll_event got{};
        if (epoll_wait(all, &got, 1, -1) != 1)
        {
            continue;
        }
        if (got.data.fd == listener)
        {
            wish.data.fd = accept(listener, nullptr, nullptr);
            epoll_ctl(all, EPOLL_CTL_ADD, wish.data.fd, &wish);
            continue;
        }
        auto const n = read(got.data.fd, buf.data(), buf.size());
        if (n <= 0)
        {
            close(got.data.fd);
        }
        else if (std::string_view{buf.data(), static_cast<std::size_t>(n)}.find(
                     " /now ") != std::string_view::npos)
        {
            (void)!write(got.data.fd, answer.data(), answer.size());
        }
    }
}

auto processor_micros() -> double
{
    timespec it{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 +
           static_cast<double>(it.tv_nsec) / 1e3;
}

auto request(std::size_t host, int port, std::string const& path)
    -> outgoing_request
{
    auto const octet = [host](std::size_t unit)
    { return std::to_string(host / unit % 250 + 1); };
    auto at = "http://127.0.";
    outgoing_request it;
    it.method = "GET";
    it.to = url{at + octet(250) + "." + octet(1) + ":" + std::to_string(port) +
                path};
    it.timeout = seconds{300};
    it.repeatable = true;
    return it;
}

auto micros_per_request(std::size_t waiting, int port) -> double
{
    curl_requests http;
    auto const run_one = [&](std::size_t host)
    {
        auto done = false;
        http.send(request(host, port, "/now"),
                  [&done](result<http_answer> const& got)
                  {
                      if (got.has_error())
                      {
                          std::printf("request failed\n");
                      }
                      done = true;
                  });
        while (!done)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
    };
    for (std::size_t n = 1; n <= waiting; ++n)
    {
        run_one(n); // opens the connection
        http.send(request(n, port, "/wait"), [](result<http_answer> const&) {});
    }
    auto least = std::numeric_limits<double>::max();
    for (auto pass = 0; pass < passes; ++pass)
    {
        auto const start = processor_micros();
        for (auto n = 0; n < requests; ++n)
        {
            run_one(0);
        }
        least = std::min(least, (processor_micros() - start) / requests);
    }
    return least;
}

} // namespace
} // namespace apricotlb

auto main() -> int
{
    using namespace apricotlb;
    auto const [listener, port] = listen_anywhere();
    if (listener < 0)
    {
        return 1;
    }
    auto const child = fork();
    if (child == 0)
    {
        answer_requests(listener);
    }
    std::printf("waiting connections, processor us per request\n");
    for (auto const waiting : std::array<std::size_t, 4>{0, 50, 350, 1000})
    {
        std::printf("%zu, %.1f\n", waiting, micros_per_request(waiting, port));
        std::fflush(stdout);
    }
    kill(child, SIGTERM);
    waitpid(child, nullptr, 0);
    return 0;
}
