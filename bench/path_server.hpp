/// The backend server of the request-path benchmark.
#ifndef APRICOTLB_BENCH_PATH_SERVER_HPP
#define APRICOTLB_BENCH_PATH_SERVER_HPP

#include "adapters/glib_clock.hpp"
#include "adapters/soup_server.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// The number in name=N of a query, or 0.
[[nodiscard]] inline auto number_after(std::string const& text,
                                       std::string const& name) -> int
{
    auto const n = text.find(name + "=");
    return n == std::string::npos
               ? 0
               : std::atoi(text.c_str() + n + name.size() + 1);
}

/// Path options: size=N bytes, ms=N delay. Every server counts its sends.
class backend_server
{
public:
    backend_server(std::string const& at, int slower) : slower_(slower)
    {
        server_.on_request([this](soup_server::exchange it)
                           { answer(std::move(it)); });
        if (server_.listen(at).has_error())
        {
            std::fprintf(stderr, "cannot listen on %s\n", at.c_str());
            std::exit(1);
        }
    }

private:
    auto answer(soup_server::exchange it) -> void
    {
        ++count_;
        auto const query = it->head().query;
        if (query == "count")
        {
            reply(*it, {http_status{200}, {}, std::to_string(count_ - 1)});
            return;
        }
        auto const size = number_after(query, "size");
        auto const ms = number_after(query, "ms") * slower_;
        if (slower_ == 0)
        {
            held_.push_back(std::move(it)); // silent
            return;
        }
        if (ms == 0)
        {
            send(std::move(it), size);
            return;
        }
        clock_.start_timer(milliseconds{ms}, [it, size] { send(it, size); });
    }

    static auto send(soup_server::exchange it, int size) -> void
    {
        auto const more = [it, left = std::make_shared<int>(size)]
        { write_some(*it, *left); };
        it->listen(
            {.body = {}, .body_end = {}, .writable = more, .closed = {}});
        it->start({http_status{200}, {}, byte_count{size}});
        more();
    }

    template <class Exchange>
    static auto write_some(Exchange& it, int& left) -> void
    {
        static std::string const block(config::body_buffer_bytes, 'x');
        while (left > 0 && it.unwritten() < 2 * block.size())
        {
            auto const n = std::min(left, static_cast<int>(block.size()));
            it.write({block.data(), static_cast<std::size_t>(n)});
            left -= n;
        }
        if (left == 0)
        {
            it.end();
        }
    }

    int slower_;
    glib_clock clock_;
    soup_server server_;
    long count_{0};
    std::vector<soup_server::exchange> held_;
};

} // namespace apricotlb

#endif
