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
        pass(id, true, std::string{bytes});
    };
    it.server->on_bytes = [this, id](std::string_view bytes)
    { pass(id, false, std::string{bytes}); };
    it.caller->on_closed = [this, id] { end(id); };
    it.server->on_closed = [this, id] { end(id); };
}

auto proxy::note(std::uint64_t id, std::string_view bytes) -> void
{
    auto& from = pipes_.at(id);
    from.requests.add(bytes);
    while (auto const it = from.requests.next())
    {
        if (on_request)
        {
            on_request(*it, from.peer);
        }
    }
}

auto proxy::pass(std::uint64_t id, bool is_request, std::string bytes) -> void
{
    auto const move_on =
        [this, id, is_request, bytes = std::move(bytes), alive = alive_]
    {
        if (!*alive || !pipes_.contains(id))
        {
            return;
        }
        auto& it = pipes_.at(id);
        auto& held = is_request ? it.held_requests : it.held_answers;
        held += bytes;
        release(id);
    };
    if (delay_ == duration{})
    {
        move_on();
        return;
    }
    clock_.start_timer(delay_, move_on);
}

auto proxy::release(std::uint64_t id) -> void
{
    auto& it = pipes_.at(id);
    if (!holds_requests_ && !it.held_requests.empty())
    {
        it.server->write(std::exchange(it.held_requests, {}));
    }
    if (!holds_answers_ && !it.held_answers.empty())
    {
        it.caller->write(std::exchange(it.held_answers, {}));
    }
}

/// One side has closed: what was passed on for the other one is sent first.
auto proxy::end(std::uint64_t id) -> void
{
    auto const close = [this, id, alive = alive_]
    {
        if (*alive)
        {
            pipes_.erase(id);
        }
    };
    constexpr auto send_time = std::chrono::milliseconds{20};
    clock_.start_timer(delay_ + send_time, close);
}

auto proxy::set_silent(bool requests, bool answers) -> void
{
    holds_requests_ = requests;
    holds_answers_ = answers;
    std::vector<std::uint64_t> ids;
    ids.reserve(pipes_.size());
    for (auto const& [id, it] : pipes_)
    {
        ids.push_back(id);
    }
    for (auto const id : ids)
    {
        release(id);
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
