/// Decides from the delays of a periodic timer whether a leader is overloaded.
#ifndef APRICOTLB_CORE_LEADER_OVERLOAD_GUARD_HPP
#define APRICOTLB_CORE_LEADER_OVERLOAD_GUARD_HPP

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>

namespace apricotlb
{

/// The overload begins with one delay of config::overload_delay and ends after
/// config::overload_recovery_time without a delay above config::on_time_delay,
/// so that it does not end with the first short turn of the loop.
class overload_guard
{
public:
    /// Records by how much the timer that runs at `now` was late.
    auto record(duration lateness, time_point now) -> void
    {
        if (lateness > config::on_time_delay)
        {
            last_late_ = now;
        }
        if (lateness >= config::overload_delay)
        {
            is_overloaded_ = true;
        }
        else if (now - last_late_ >= config::overload_recovery_time)
        {
            is_overloaded_ = false;
        }
    }

    [[nodiscard]] auto is_overloaded() const -> bool { return is_overloaded_; }

private:
    time_point last_late_{}; ///< the last time the timer was not on time
    bool is_overloaded_{false};
};

} // namespace apricotlb

#endif
