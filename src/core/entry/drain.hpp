/// Graceful shutdown of a process that serves callers.
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
    finishing, ///< not listening; waits for requests and open connections
    done,
};

/// Signals that ask a process to end.
enum class stop_signal : std::uint8_t
{
    terminate, ///< of a platform or a service manager, which may repeat it
    interrupt, ///< of a person at a terminal
};

/// What callers have at a process.
struct drain_load
{
    request_count in_flight; ///< requests without a complete answer
    connection_count connections;

    auto operator<=>(drain_load const&) const = default;
};

/// Times of a shutdown, counted from its first signal.
struct drain_times
{
    duration stop_listening{};
    duration close_idle{};       ///< connections without a request
    std::optional<duration> end; ///< whatever is in flight

    /// Grace is the time from the signal until the process is killed; 0 if it
    /// is not. All times are shortened to fit into it.
    [[nodiscard]] static auto within(duration balancer_wait, duration grace)
        -> drain_times;
};

/// Actions for the driver after a step.
struct drain_step
{
    /// Tell callers with each answer to close their connection.
    bool close_after_answers{false};
    bool stop_listening{false};
    bool close_idle{false};
    std::optional<duration> wake_after; ///< time until the next step
    bool exit{false};
    request_count interrupted; ///< requests in flight at the exit
};

/// Shuts down in this order: let the health check fail and ask callers to
/// close their connections; wait for the load balancer; stop listening; finish
/// the requests in flight and wait for the open connections; close those that
/// are idle; exit.
class drain
{
public:
    explicit drain(drain_times times) : times_(times) {}

    /// Handles a signal. The first starts the shutdown. While it goes on,
    /// terminate changes nothing, since who wants the process to end at once
    /// can kill it; interrupt exits at once.
    [[nodiscard]] auto signal(stop_signal it, time_point now,
                              drain_load const& load) -> drain_step;
    /// Call when the wait is over or a request has ended.
    [[nodiscard]] auto step(time_point now, drain_load const& load)
        -> drain_step;

    [[nodiscard]] auto phase() const -> drain_phase { return phase_; }
    [[nodiscard]] auto is_draining() const -> bool
    {
        return phase_ != drain_phase::serving;
    }
    /// Time until the process ends whatever is in flight, if it will.
    [[nodiscard]] auto time_left(time_point now) const
        -> std::optional<duration>;

private:
    auto exit(drain_load const& load) -> drain_step;

    drain_times times_;
    drain_phase phase_{drain_phase::serving};
    time_point started_{};
};

} // namespace apricotlb

#endif
