/// How much of their latency targets serving tasks may be expected to use
/// when another scavenging task is placed beside them.
#ifndef APRICOTLB_CORE_FLEET_HEADROOM_CONTROL_HPP
#define APRICOTLB_CORE_FLEET_HEADROOM_CONTROL_HPP

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <algorithm>
#include <cstdint>

namespace apricotlb
{

/// Workers with serving tasks, and how many of them are strained: a serving
/// task there is over its target.
struct strain_count
{
    std::int64_t serving{0};
    std::int64_t strained{0};
};

/// Answers a crest of scavenging work. A strained worker slows its scavenging
/// tasks down, which then keep their places and end late, so that more of them
/// end fewer. The expected effects of further tasks are too small an estimate
/// then, and the headroom is lowered until few workers are strained.
class headroom_control
{
public:
    /// Takes a count once per config::headroom_interval and ignores the
    /// others: the measurements show a change only after that time.
    auto update(strain_count const& count, time_point now) -> void
    {
        if (now < next_update_ || count.serving == 0)
        {
            return;
        }
        next_update_ = now + config::headroom_interval;
        auto const strained = permille{
            static_cast<std::int32_t>(count.strained * 1000 / count.serving)};
        if (strained > config::max_strained_workers)
        {
            reduction_ = std::min(reduction_ + config::headroom_cut,
                                  config::max_headroom_reduction);
        }
        else if (strained < config::few_strained_workers)
        {
            reduction_ =
                std::max(reduction_ - config::headroom_raise, permille{});
        }
    }

    /// Expected latency, as a share of the target, up to which a scavenging
    /// task is placed.
    [[nodiscard]] auto headroom(bool is_harmless) const -> permille
    {
        return (is_harmless ? config::harmless_headroom
                            : config::disturbance_headroom) -
               reduction_;
    }

private:
    permille reduction_{};
    time_point next_update_{};
};

} // namespace apricotlb

#endif
