/// Graceful shutdown of an entry process.
#ifndef APRICOTLB_CORE_ENTRY_DRAIN_HPP
#define APRICOTLB_CORE_ENTRY_DRAIN_HPP

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <optional>

namespace apricotlb
{

enum class drain_phase : std::uint8_t
{
    serving,
    unhealthy, ///< the health check fails; the load balancer moves callers
    finishing, ///< not listening; waits for the requests in flight
    done,
};

/// Signals that ask a process to end.
enum class stop_signal : std::uint8_t
{
    terminate, ///< of a platform or a service manager, which may repeat it
    interrupt, ///< of a person at a terminal
};

/// Actions for the driver after a step.
struct drain_step
{
    bool stop_listening{false};
    std::optional<duration> wake_after; ///< time until the next step
    bool exit{false};
    request_count interrupted; ///< requests in flight at the exit
};

/// Shuts down in this order: let the health check fail, wait for the load
/// balancer, stop listening, finish the requests in flight, exit.
class drain
{
public:
    explicit drain(duration balancer_wait) : wait_(balancer_wait) {}

    /// Handles a signal. The first starts the shutdown. While it goes on,
    /// terminate changes nothing, since who wants the process to end at once
    /// can kill it; interrupt exits at once.
    [[nodiscard]] auto signal(stop_signal it, time_point now,
                              request_count in_flight) -> drain_step;
    /// Call when the wait is over or a request has ended.
    [[nodiscard]] auto step(time_point now, request_count in_flight)
        -> drain_step;

    [[nodiscard]] auto phase() const -> drain_phase { return phase_; }
    [[nodiscard]] auto is_draining() const -> bool
    {
        return phase_ != drain_phase::serving;
    }

private:
    duration wait_;
    drain_phase phase_{drain_phase::serving};
    time_point until_{}; ///< end of the unhealthy phase
};

} // namespace apricotlb

#endif
