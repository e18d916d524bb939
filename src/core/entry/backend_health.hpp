/// Health of one backend server, as measured by the requests of one entry.
#ifndef APRICOTLB_CORE_ENTRY_BACKEND_HEALTH_HPP
#define APRICOTLB_CORE_ENTRY_BACKEND_HEALTH_HPP

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>

namespace apricotlb
{

/// How a call to a backend server ended.
enum class attempt_result : std::uint8_t
{
    ok,
    refused,   ///< no connection; the request did not run
    failed,    ///< the connection broke
    timed_out, ///< no data within the time limit
    cancelled, ///< not counted, as when the caller disconnects
};

/// Latency, failures, ejection and probation of one backend server.
class backend_health
{
public:
    explicit backend_health(time_point first_seen) : first_seen_(first_seen) {}

    /// Average latency to the first byte. It halves after each half-life
    /// without a measurement, so that a server that has recovered receives
    /// requests again.
    [[nodiscard]] auto latency(time_point now) const -> duration;

    [[nodiscard]] auto is_ejected(time_point now) const -> bool
    {
        return now < ejected_until_;
    }
    /// True from an ejection until enough requests have succeeded.
    [[nodiscard]] auto is_on_probation() const -> bool
    {
        return probation_ > 0;
    }

    /// Slots of a share that may be used now: one on probation, a growing part
    /// during slow start, otherwise all.
    [[nodiscard]] auto usable(slot_count granted, time_point now) const
        -> slot_count;

    /// Records the time to the first byte of an answer.
    auto record_latency(duration latency, time_point now) -> void;
    /// Records the end of a call; true when the server should be ejected.
    [[nodiscard]] auto call_ended(attempt_result status) -> bool;
    auto eject(time_point now) -> void;

private:
    time_point first_seen_;
    time_point updated_{};
    double average_us_{0};
    int failures_{0};  ///< in a row; a timeout counts twice
    int ejections_{0}; ///< since the last completed probation
    int probation_{0}; ///< successes still needed to end it
    time_point ejected_until_{};
};

} // namespace apricotlb

#endif
