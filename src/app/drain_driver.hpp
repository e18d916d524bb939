/// Executes the steps of a shutdown on the request sources of a process.
#ifndef APRICOTLB_APP_DRAIN_DRIVER_HPP
#define APRICOTLB_APP_DRAIN_DRIVER_HPP

#include "core/entry/drain.hpp"
#include "ports/clock.hpp"
#include "ports/http.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace apricotlb
{

/// The sources must outlive the driver.
template <clock_port Clock, request_source_port Source>
class drain_driver
{
public:
    using exit_handler = std::function<void(request_count interrupted)>;

    drain_driver(Clock& clock, std::vector<Source*> sources, drain_times times)
        : clock_(clock), sources_(std::move(sources)), drain_(times)
    {
        for (auto* const it : sources_)
        {
            it->on_idle([this] { advance(); });
        }
    }
    drain_driver(drain_driver const&) = delete;
    auto operator=(drain_driver const&) -> drain_driver& = delete;
    ~drain_driver() { cancel_timer(); }

    /// Sets the handler that runs once, when the process may exit.
    auto on_exit(exit_handler handler) -> void
    {
        exit_handler_ = std::move(handler);
    }

    /// Sets the count of the requests in flight, of which some may have no open
    /// exchange any more.
    auto count_requests(std::function<request_count()> count) -> void
    {
        count_ = std::move(count);
    }

    auto signal(stop_signal it) -> void
    {
        execute(drain_.signal(it, clock_.now(), load()));
    }

    /// Call when a request has ended.
    auto advance() -> void
    {
        if (drain_.is_draining())
        {
            execute(drain_.step(clock_.now(), load()));
        }
    }

    [[nodiscard]] auto is_draining() const -> bool
    {
        return drain_.is_draining();
    }
    [[nodiscard]] auto phase() const -> drain_phase { return drain_.phase(); }
    /// Time until the process ends whatever is in flight, if it will.
    [[nodiscard]] auto time_left() const -> std::optional<duration>
    {
        return drain_.time_left(clock_.now());
    }
    [[nodiscard]] auto load() const -> drain_load
    {
        drain_load out;
        for (auto const* const it : sources_)
        {
            out.in_flight += it->open();
            out.connections += it->connections();
        }
        if (count_)
        {
            out.in_flight = std::max(out.in_flight, count_());
        }
        return out;
    }

private:
    auto execute(drain_step const& step) -> void
    {
        for (auto* const it : sources_)
        {
            if (step.close_after_answers)
            {
                it->close_after_answers();
            }
            if (step.stop_listening)
            {
                it->stop_listening();
            }
            if (step.close_idle)
            {
                it->close_idle();
            }
        }
        if (step.wake_after)
        {
            cancel_timer();
            timer_ = clock_.start_timer(*step.wake_after,
                                        [this]
                                        {
                                            timer_.reset();
                                            advance();
                                        });
        }
        if (step.exit && exit_handler_)
        {
            std::exchange(exit_handler_, {})(step.interrupted);
        }
    }

    auto cancel_timer() -> void
    {
        if (timer_)
        {
            clock_.cancel_timer(*timer_);
            timer_.reset();
        }
    }

    Clock& clock_;
    std::vector<Source*> sources_;
    drain drain_;
    std::function<request_count()> count_;
    exit_handler exit_handler_;
    std::optional<timer_id> timer_;
};

} // namespace apricotlb

#endif
