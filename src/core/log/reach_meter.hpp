/// Measures for how much of the last seconds a member had a lease, or would
/// have had one as the leader.
#ifndef APRICOTLB_CORE_LOG_REACH_METER_HPP
#define APRICOTLB_CORE_LOG_REACH_METER_HPP

#include <apricotlb/time.hpp>

#include <deque>

namespace apricotlb
{

class reach_meter
{
public:
    /// Times that are older than this do not count.
    static constexpr duration window = seconds{4};

    explicit reach_meter(time_point now = {}) : since_(now), updated_at_(now) {}

    /// Called after each event with the end of the lease unless more answers
    /// arrive.
    auto update(time_point now, time_point lease_end) -> void;

    /// How much of the window has been measured.
    [[nodiscard]] auto measured(time_point now) const -> duration;
    /// Time without the lease in the window.
    [[nodiscard]] auto without_lease(time_point now) const -> duration;

private:
    struct gap
    {
        time_point begin{};
        time_point end{};
    };

    time_point since_;
    time_point updated_at_;
    time_point lease_end_{time_point::min()};
    std::deque<gap> gaps_; ///< up to updated_at_
};

} // namespace apricotlb

#endif
