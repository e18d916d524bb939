/// Times at which requests are checked, with one timer for all of them.
#ifndef APRICOTLB_APP_DUE_TIMES_HPP
#define APRICOTLB_APP_DUE_TIMES_HPP

#include "ports/clock.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <utility>

namespace apricotlb
{

/// Holds the check times of many requests and calls `wake` when the earliest
/// one is reached.
template <clock_port Clock>
class due_times
{
public:
    due_times(Clock& clock, std::function<void()> wake)
        : clock_(clock), wake_(std::move(wake))
    {
    }
    due_times(due_times const&) = delete;
    auto operator=(due_times const&) -> due_times& = delete;
    ~due_times() { stop_timer(); }

    auto add(time_point at, request_id id) -> void { times_.emplace(at, id); }
    auto remove(time_point at, request_id id) -> void
    {
        times_.erase({at, id});
    }

    /// Removes and returns a request whose check time has been reached.
    [[nodiscard]] auto take_due(time_point now) -> std::optional<request_id>
    {
        if (times_.empty() || times_.begin()->first > now)
        {
            return {};
        }
        return times_.extract(times_.begin()).value().second;
    }

    /// Starts the timer for the earliest check time, or for `other` if that is
    /// earlier. A running timer that expires by then is left as it is.
    auto arm(std::optional<time_point> other) -> void
    {
        auto earliest = other;
        if (!times_.empty())
        {
            earliest = std::min(earliest.value_or(time_point::max()),
                                times_.begin()->first);
        }
        if (!earliest || (timer_ && timer_at_ <= *earliest))
        {
            return;
        }
        stop_timer();
        timer_at_ = *earliest;
        timer_ = clock_.start_timer(
            std::max<duration>(*earliest - clock_.now(), duration{}),
            [this]
            {
                timer_.reset();
                wake_();
            });
    }

private:
    auto stop_timer() -> void
    {
        if (timer_)
        {
            clock_.cancel_timer(*timer_);
            timer_.reset();
        }
    }

    Clock& clock_;
    std::function<void()> wake_;
    std::set<std::pair<time_point, request_id>> times_;
    std::optional<timer_id> timer_;
    time_point timer_at_{};
};

} // namespace apricotlb

#endif
