/// Sends over nng_link to peers whose connections are reset all the time, for
/// the seconds of the argument; or, with "small" or "large", measures messages
/// a second to a receiver in a child process. Best on one core: taskset -c 0.
#include "adapters/nng_link.hpp"
#include "tests/resetting_peer.hpp"

#include <glib.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{
namespace
{

auto send_to_resetting_peers(double seconds) -> void
{
    constexpr auto peers = 64U;
    constexpr auto peer_processes = 8U;
    resetting_peer const peer{peer_processes};
    nng_link link;
    std::vector<node_id> ids;
    for (auto n = 0U; n < peers; ++n)
    {
        ids.emplace_back("p" + std::to_string(n));
        link.open(ids.back(), url{peer.at()});
    }
    std::string const bytes(300, 'x');
    auto const end =
        g_get_monotonic_time() + static_cast<gint64>(seconds * 1e6);
    std::size_t sent = 0;
    std::size_t refused = 0;
    while (g_get_monotonic_time() < end)
    {
        for (auto const& id : ids)
        {
            ++(link.send(id, bytes) ? sent : refused);
        }
        g_main_context_iteration(nullptr, FALSE);
    }
    std::printf("%.0f s, sent %zu, refused %zu\n", seconds, sent, refused);
}

/// Takes messages until one says that it is the last one.
[[noreturn]] auto receive_all(int address_to) -> void
{
    nng_link receiver;
    auto const at = receiver.listen(url{"tcp://127.0.0.1:0"}).value().value();
    (void)!write(address_to, at.data(), at.size());
    receiver.on_bytes(
        [](std::string_view it)
        {
            if (it == "last")
            {
                _exit(0);
            }
        });
    for (;;)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

auto measure_rate(std::size_t size, std::size_t messages) -> void
{
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0)
    {
        return;
    }
    auto const child = fork();
    if (child == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        receive_all(ends[1]);
    }
    std::array<char, 64> buf{};
    auto const n = read(ends[0], buf.data(), buf.size());
    nng_link link;
    node_id const peer{"r"};
    link.open(peer, url{std::string(buf.data(), static_cast<size_t>(n))});
    std::string const bytes(size, 'x');
    auto const start = g_get_monotonic_time();
    auto const processor = std::clock();
    auto const send = [&](std::string_view it)
    {
        while (!link.send(peer, it))
        {
            g_main_context_iteration(nullptr, FALSE);
        }
    };
    for (std::size_t it = 0; it < messages; ++it)
    {
        send(bytes);
    }
    send("last");
    while (waitpid(child, nullptr, WNOHANG) == 0)
    {
        g_main_context_iteration(nullptr, FALSE);
    }
    auto const micros = static_cast<double>(g_get_monotonic_time() - start);
    std::printf("%zu bytes: %.0f messages a second, sender's processor time "
                "%.2f us a message\n",
                size, static_cast<double>(messages) * 1e6 / micros,
                static_cast<double>(std::clock() - processor) * 1e6 /
                    CLOCKS_PER_SEC / static_cast<double>(messages));
    close(ends[0]);
    close(ends[1]);
}

} // namespace
} // namespace apricotlb

auto main(int argc, char** argv) -> int
{
    std::string const what = argc > 1 ? argv[1] : "10";
    if (what == "small")
    {
        apricotlb::measure_rate(300, 50'000);
        return 0;
    }
    if (what == "large")
    {
        apricotlb::measure_rate(64'000, 5'000);
        return 0;
    }
    apricotlb::send_to_resetting_peers(std::atof(what.c_str()));
}
