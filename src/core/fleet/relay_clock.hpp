/// The clock of a relay, by which it refuses orders that have become too old.
#ifndef APRICOTLB_CORE_FLEET_RELAY_CLOCK_HPP
#define APRICOTLB_CORE_FLEET_RELAY_CLOCK_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace apricotlb
{

/// A process's own loop clock in milliseconds, which counts the time of a
/// suspension. Values of different lives of a process are not comparable.
using process_clock = quantity<struct process_clock_tag, std::int64_t>;

[[nodiscard]] inline auto to_process_clock(time_point it) -> process_clock
{
    return process_clock{
        std::chrono::floor<milliseconds>(it.time_since_epoch()).count()};
}

/// What a process's clock shows, and in which of its lives.
struct clock_reading
{
    incarnation life;
    process_clock clock;

    static constexpr auto fields()
    {
        return field_list(field("life", &clock_reading::life),
                          field("clock", &clock_reading::clock));
    }
};

/// True if `now`, a reading of the same process, is of another life or of a
/// later time.
[[nodiscard]] inline auto is_past(clock_reading const& deadline,
                                  clock_reading const& now) -> bool
{
    return now.life != deadline.life || now.clock > deadline.clock;
}

/// The leader's estimate of a relay's clock, which is never ahead of it.
class relay_clock
{
public:
    /// Adds a reading that arrived at `now`. It was taken at an unknown earlier
    /// time, so the one with the shortest way counts.
    auto sample(clock_reading const& it, time_point now) -> void
    {
        auto const ahead = it.clock - to_process_clock(now);
        if (life_ != it.life || ahead >= ahead_at(now))
        {
            life_ = it.life;
            ahead_ = ahead;
            sampled_at_ = now;
        }
    }

    /// Until when an order may be passed on that is given at `given` and valid
    /// for `validity`; none without a reading.
    [[nodiscard]] auto deadline(time_point given, duration validity) const
        -> std::optional<clock_reading>
    {
        if (!life_)
        {
            return std::nullopt;
        }
        return clock_reading{*life_, to_process_clock(given + validity) +
                                         ahead_at(given)};
    }

private:
    /// Most by which the leader's clock may run faster than the relay's.
    static constexpr std::int64_t drift_permille = 10;

    [[nodiscard]] auto ahead_at(time_point now) const -> process_clock
    {
        auto const age = std::chrono::ceil<milliseconds>(now - sampled_at_);
        return ahead_ - process_clock{age.count() * drift_permille / 1000};
    }

    std::optional<incarnation> life_;
    process_clock ahead_; ///< of the leader's clock, at sampled_at_
    time_point sampled_at_{};
};

} // namespace apricotlb

#endif
