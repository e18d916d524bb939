/// Keeps starts and acknowledgements of ends apart on their way to a worker.
#ifndef APRICOTLB_CORE_FLEET_RELEASE_INTERLOCK_HPP
#define APRICOTLB_CORE_FLEET_RELEASE_INTERLOCK_HPP

#include "core/fleet/worker_messages.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace apricotlb
{

/// Follows the starts and the acknowledgements that were sent to one life of a
/// worker and may still be carried out. Its next life, which numbers its ends
/// anew, may get both until it has a fencing token of its own: a start first,
/// and after the end of that run an acknowledgement that makes it forget the
/// end, which no leader has seen. So the one is not sent while the other may be
/// on its way.
class release_interlock
{
public:
    auto on_start_sent() -> void { ++open_starts_; }
    /// `is_open` is true if a try of it may still be carried out.
    auto on_start_answered(time_point sent, bool is_open) -> void
    {
        open_starts_ -= open_starts_ > 0 ? 1 : 0;
        if (is_open)
        {
            late_start_until_ =
                std::max(late_start_until_, sent + config::max_order_age);
        }
    }

    auto on_release_sent(time_point now) -> void
    {
        // Lists show that one of two was carried out, but not which one.
        on_release_unproven();
        release_sent_ = now;
    }
    /// Lists show that the worker has forgotten the ends, or the worker has not
    /// got the acknowledgement.
    auto on_release_over() -> void { release_sent_.reset(); }
    /// No lists can show any more what became of the last acknowledgement.
    auto on_release_unproven() -> void
    {
        if (auto const sent = std::exchange(release_sent_, std::nullopt))
        {
            late_release_until_ = *sent + config::max_order_age;
        }
    }

    /// True while a start that got no answer may be carried out.
    [[nodiscard]] auto may_start_late(time_point now) const -> bool
    {
        return now < late_start_until_;
    }
    [[nodiscard]] auto may_release(time_point now) const -> bool
    {
        return open_starts_ == 0 && !may_start_late(now);
    }
    [[nodiscard]] auto may_start(time_point now) const -> bool
    {
        return now >= late_release_until_ &&
               (!release_sent_ ||
                now - *release_sent_ >= config::max_order_age);
    }

private:
    std::size_t open_starts_{0};
    time_point late_start_until_{};
    std::optional<time_point> release_sent_; ///< the last one, until it is over
    time_point late_release_until_{};        ///< of those before it
};

} // namespace apricotlb

#endif
