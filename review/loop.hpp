/// Event loop of the review's stand-ins: file descriptors and timers.
#ifndef APRICOTLB_REVIEW_LOOP_HPP
#define APRICOTLB_REVIEW_LOOP_HPP

#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace review
{

/// Milliseconds of the steady clock since the start of the program.
using milliseconds = std::int64_t;

class event_loop
{
public:
    using timer = std::uint64_t;

    [[nodiscard]] auto now() const -> milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now() - started_)
            .count();
    }

    auto after(milliseconds delay, std::function<void()> action) -> timer
    {
        auto const id = ++last_timer_;
        timers_[{now() + delay, id}] = std::move(action);
        return id;
    }
    auto cancel(timer id) -> void
    {
        std::erase_if(timers_,
                      [id](auto const& it) { return it.first.second == id; });
    }

    /// Calls action(events) while the descriptor is ready for `events`.
    auto watch(int fd, short events, std::function<void(short)> action) -> void
    {
        watched_[fd] = {events, std::move(action)};
    }
    auto set_events(int fd, short events) -> void
    {
        if (auto const it = watched_.find(fd); it != watched_.end())
        {
            it->second.events = events;
        }
    }
    auto unwatch(int fd) -> void { watched_.erase(fd); }

    auto run_for(milliseconds time) -> void
    {
        auto const end = now() + time;
        while (now() < end)
        {
            turn(end - now());
        }
    }
    /// Runs until the condition holds; false if it does not in time.
    template <class Condition>
    auto wait(milliseconds time, Condition condition) -> bool
    {
        auto const end = now() + time;
        while (!condition())
        {
            if (now() >= end)
            {
                return false;
            }
            turn(std::min<milliseconds>(end - now(), 5));
        }
        return true;
    }

private:
    struct watched
    {
        short events{0};
        std::function<void(short)> action;
    };

    auto turn(milliseconds longest) -> void
    {
        if (!timers_.empty())
        {
            longest = std::min(longest, timers_.begin()->first.first - now());
        }
        std::vector<pollfd> fds;
        for (auto const& [fd, it] : watched_)
        {
            fds.push_back({fd, it.events, 0});
        }
        auto const ready =
            ::poll(fds.data(), fds.size(),
                   static_cast<int>(std::max<milliseconds>(longest, 0)));
        for (auto const& it : fds)
        {
            auto const found = watched_.find(it.fd);
            if (ready > 0 && it.revents != 0 && found != watched_.end())
            {
                auto const action = found->second.action;
                action(it.revents);
            }
        }
        while (!timers_.empty() && timers_.begin()->first.first <= now())
        {
            auto const node = timers_.extract(timers_.begin());
            node.mapped()();
        }
    }

    std::chrono::steady_clock::time_point started_{
        std::chrono::steady_clock::now()};
    timer last_timer_{0};
    std::map<std::pair<milliseconds, timer>, std::function<void()>> timers_;
    std::map<int, watched> watched_;
};

} // namespace review

#endif
