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
    finishing, ///< not listening; requests in flight end
    done,
};

/// What the driver does after a step.
struct drain_step
{
    bool stop_listening{false};
    std::optional<duration> wake_after; ///< step again after this
    bool exit{false};
    request_count interrupted; ///< requests cut by the exit
};

/// Health check fails, wait, stop listening, finish requests, exit.
class drain
{
public:
    explicit drain(duration balancer_wait) : wait_(balancer_wait) {}

    /// Takes a signal. A second one ends at once.
    [[nodiscard]] auto signal(time_point now, request_count in_flight)
        -> drain_step;
    /// Takes the passing of time or the end of a request.
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
    time_point until_{};
};

} // namespace apricotlb

#endif
