/// Clock port that stands still until a test advances it.
#ifndef APRICOTLB_TESTS_PAUSED_CLOCK_HPP
#define APRICOTLB_TESTS_PAUSED_CLOCK_HPP

#include "ports/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace apricotlb
{

/// Runs every due timer in order of time, then of creation.
class paused_clock
{
public:
    [[nodiscard]] auto now() const -> time_point { return now_; }

    [[nodiscard]] auto wall_now() const -> wall_time
    {
        return std::chrono::floor<seconds>(wall_time{seconds{1'700'000'000}} +
                                           now_.time_since_epoch()) +
               wall_error;
    }

    auto start_timer(duration after, std::function<void()> run) -> timer_id
    {
        auto const id = timer_id{++last_timer_};
        timers_.emplace(std::pair{now_ + after, id}, std::move(run));
        return id;
    }

    auto cancel_timer(timer_id timer) -> void
    {
        std::erase_if(timers_, [timer](auto const& it)
                      { return it.first.second == timer; });
    }

    auto advance(duration d) -> void
    {
        auto const end = now_ + d;
        while (!timers_.empty() && timers_.begin()->first.first <= end)
        {
            auto node = timers_.extract(timers_.begin());
            now_ = std::max(now_, node.key().first);
            node.mapped()();
        }
        now_ = std::max(now_, end);
    }

    /// Lets time pass within a callback, as a call that blocks the loop does:
    /// no timer runs meanwhile, and those that fall due run late.
    auto block(duration d) -> void { now_ += d; }

    seconds wall_error{}; ///< added to the wall time

private:
    time_point now_{};
    std::uint64_t last_timer_{0};
    std::map<std::pair<time_point, timer_id>, std::function<void()>> timers_;
};

static_assert(clock_port<paused_clock>);

} // namespace apricotlb

#endif
