#include "soak/proxy.hpp"

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
    auto const id = ++last_id_;
    auto& it = pipes_[id];
    it.peer = peer_of(fd);
    it.caller = std::make_unique<stream>(fd);
    it.caller->on_bytes = [this, id](std::string_view bytes)
    {
        note(id, bytes);
        pass(id, true, bytes);
    };
    it.caller->on_closed = [this, id] { end(id, true); };
    if (!is_target_lost_)
    {
        connect(id);
    }
}

auto proxy::connect(std::uint64_t id) -> void
{
    auto const fd = connect_to(target_);
    if (fd < 0)
    {
        pipes_.erase(id);
        return;
    }
    auto& it = pipes_.at(id);
    it.server = std::make_unique<stream>(fd);
    it.server->on_bytes = [this, id](std::string_view bytes)
    { pass(id, false, bytes); };
    it.server->on_closed = [this, id] { end(id, false); };
    release(it);
    if (!it.caller->is_open())
    {
        end(id, true);
    }
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
    if (it.server && !harm_.holds_requests && !it.held_requests.empty())
    {
        it.is_unanswered = true;
        it.server->write(std::exchange(it.held_requests, {}));
    }
    if (!harm_.holds_answers && !it.held_answers.empty())
    {
        it.is_unanswered = false;
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
    if (!it.server && !it.is_unanswered && !it.held_requests.empty())
    {
        // A call that nobody waits for any more may be carried out later too.
        return;
    }
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
    while (!pipes_.empty())
    {
        reset(pipes_.begin());
    }
}

auto proxy::reset(std::map<std::uint64_t, pipe>::iterator it) -> void
{
    it->second.caller->close(true);
    if (it->second.server)
    {
        it->second.server->close(true);
    }
    pipes_.erase(it);
}

auto proxy::lose_target(std::uint64_t seed) -> void
{
    is_target_lost_ = true;
    std::mt19937_64 random{seed};
    for (auto next = pipes_.begin(); next != pipes_.end();)
    {
        auto const each = next++;
        auto& it = each->second;
        it.server.reset();
        it.answers = {};
        it.held_answers.clear();
        if (it.is_unanswered && random() % 2 == 0)
        {
            reset(each);
        }
    }
}

auto proxy::regain_target(std::uint64_t seed) -> void
{
    if (!std::exchange(is_target_lost_, false))
    {
        return;
    }
    std::mt19937_64 random{seed};
    constexpr std::uint64_t share = 3; ///< of each case
    constexpr std::uint64_t longest_ms = 1000;
    for (auto next = pipes_.begin(); next != pipes_.end();)
    {
        auto const each = next++;
        auto const how = random() % share;
        auto const late = milliseconds{random() % longest_ms};
        if (how == 0)
        {
            reset(each);
        }
        else if (!each->second.is_unanswered)
        {
            clock_.start_timer(how == 1 ? duration{} : late,
                               [this, id = each->first, alive = alive_]
                               {
                                   if (*alive && !is_target_lost_ &&
                                       pipes_.contains(id) &&
                                       !pipes_.at(id).server)
                                   {
                                       connect(id);
                                   }
                               });
        }
    }
}

} // namespace apricotlb::soak
