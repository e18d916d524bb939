#include "soak/proxy.hpp"

#include <unistd.h>

#include <utility>
#include <vector>

namespace apricotlb::soak
{

proxy::~proxy()
{
    *alive_ = false;
}

auto proxy::accept(int fd) -> void
{
    auto const to = connect_to(target_);
    if (to < 0)
    {
        ::close(fd);
        return;
    }
    auto const id = ++last_id_;
    auto& it = pipes_[id];
    it.peer = peer_of(fd);
    it.caller = std::make_unique<stream>(fd);
    it.server = std::make_unique<stream>(to);
    it.caller->on_bytes = [this, id](std::string_view bytes)
    {
        note(id, bytes);
        pass(id, true, bytes);
    };
    it.server->on_bytes = [this, id](std::string_view bytes)
    { pass(id, false, bytes); };
    it.caller->on_closed = [this, id] { end(id, true); };
    it.server->on_closed = [this, id] { end(id, false); };
}

auto proxy::note(std::uint64_t id, std::string_view bytes) -> void
{
    auto& from = pipes_.at(id);
    from.reader.add(bytes);
    while (auto const it = from.reader.next())
    {
        if (on_request)
        {
            on_request(*it, from.peer);
        }
    }
}

auto proxy::pass(std::uint64_t id, bool is_request, std::string_view bytes)
    -> void
{
    auto& it = pipes_.at(id);
    auto const wait = (is_request ? it.requests : it.answers)
                          .add(bytes, clock_.now(), harm_, random_);
    if (wait <= duration{})
    {
        move_on(id, is_request);
        return;
    }
    clock_.start_timer(wait,
                       [this, id, is_request, alive = alive_]
                       {
                           if (*alive && pipes_.contains(id))
                           {
                               move_on(id, is_request);
                           }
                       });
}

auto proxy::move_on(std::uint64_t id, bool is_request) -> void
{
    auto& it = pipes_.at(id);
    (is_request ? it.held_requests : it.held_answers) +=
        (is_request ? it.requests : it.answers).take();
    release(it);
}

auto proxy::release(pipe& it) -> void
{
    if (!harm_.holds_requests && !it.held_requests.empty())
    {
        it.server->write(std::exchange(it.held_requests, {}));
    }
    if (!harm_.holds_answers && !it.held_answers.empty())
    {
        it.caller->write(std::exchange(it.held_answers, {}));
    }
}

/// One side has closed: what was passed on for the other one is sent first.
auto proxy::end(std::uint64_t id, bool is_caller) -> void
{
    auto const close = [this, id, alive = alive_]
    {
        if (*alive)
        {
            pipes_.erase(id);
        }
    };
    constexpr auto send_time = std::chrono::milliseconds{20};
    auto const& it = pipes_.at(id);
    auto const free_at =
        std::max(clock_.now() + harm_.delay,
                 is_caller ? it.requests.free_at() : it.answers.free_at());
    clock_.start_timer(free_at - clock_.now() + send_time, close);
}

auto proxy::set_harm(link_harm const& it) -> void
{
    harm_ = it;
    random_.seed(it.seed);
    for (auto& [id, each] : pipes_)
    {
        release(each);
    }
}

auto proxy::reset_connections() -> void
{
    for (auto& [id, it] : pipes_)
    {
        it.caller->close(true);
        it.server->close(true);
    }
    pipes_.clear();
}

} // namespace apricotlb::soak
