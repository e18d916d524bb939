/// Measures how well a leader serves: its time without the lease, and how long
/// its commits take.
#ifndef APRICOTLB_CORE_LOG_OFFICE_METER_HPP
#define APRICOTLB_CORE_LOG_OFFICE_METER_HPP

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace apricotlb
{

/// What a member has done as the leader since the last reading.
struct office_load
{
    duration in_office{};
    duration without_lease{}; ///< of in_office
    /// From the sending of a heartbeat to the answer that completes a majority.
    /// If a majority leaves heartbeats unanswered, how long at least.
    duration longest_round_trip{};
    std::int64_t commits{0};   ///< of own proposals, once they are applied
    duration commit_time{};    ///< sum, from each proposal on
    duration longest_commit{}; ///< proposals that are still open included
};

class office_meter
{
public:
    /// Ends the interval of the state before, and begins that of the state
    /// after an event: when the lease ends unless more answers arrive, or
    /// nullopt for a member that does not lead.
    auto update(time_point now, std::optional<time_point> lease_end) -> void;

    auto on_proposed(log_index index, term in_term, time_point now) -> void;
    /// An entry of another term has replaced the proposal at its index.
    auto on_applied(log_index index, term in_term, time_point now) -> void;

    /// Returns the load since the last call.
    [[nodiscard]] auto take(time_point now) -> office_load;

private:
    struct open_proposal
    {
        log_index index;
        term in_term;
        time_point proposed_at{};
    };

    time_point updated_at_{};
    std::optional<time_point> lease_end_; ///< while this member leads
    std::deque<open_proposal> open_;
    office_load load_;
};

} // namespace apricotlb

#endif
