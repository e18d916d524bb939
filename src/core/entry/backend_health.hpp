/// What an entry learned of one backend server from its own requests.
#ifndef APRICOTLB_CORE_ENTRY_BACKEND_HEALTH_HPP
#define APRICOTLB_CORE_ENTRY_BACKEND_HEALTH_HPP

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>

namespace apricotlb
{

/// How a request to a backend server ended.
enum class attempt_result : std::uint8_t
{
    ok,
    refused,   ///< it took no connection or refused the request unrun
    failed,    ///< the connection broke
    timed_out, ///< it stayed silent
    cancelled, ///< given up for reasons of the caller
};

/// Latency, failures, ejection and probation of one backend server.
class backend_health
{
public:
    explicit backend_health(time_point first_seen) : first_seen_(first_seen) {}

    /// Average latency to the first byte; it halves with every half-life
    /// without a request, so that a server that recovered is tried again.
    [[nodiscard]] auto latency(time_point now) const -> duration;

    [[nodiscard]] auto is_ejected(time_point now) const -> bool
    {
        return now < ejected_until_;
    }
    /// True after an ejection, until a few requests went well.
    [[nodiscard]] auto is_on_probation() const -> bool
    {
        return probation_ > 0;
    }

    /// Slots of a share that may be used now: one on probation, and a growing
    /// part of them on a new server.
    [[nodiscard]] auto usable(slot_count granted, time_point now) const
        -> slot_count;

    /// Takes the first byte's latency of a request.
    auto record_latency(duration latency, time_point now) -> void;
    /// Takes the end of a request; true when the server should be ejected.
    [[nodiscard]] auto call_ended(attempt_result status) -> bool;
    auto eject(time_point now) -> void;

private:
    time_point first_seen_;
    time_point updated_{};
    double average_us_{0};
    int failures_{0};
    int ejections_{0};
    int probation_{0};
    time_point ejected_until_{};
};

} // namespace apricotlb

#endif
