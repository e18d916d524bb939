/// Whether a leader has answered lately.
#ifndef APRICOTLB_CORE_ENTRY_LEADER_WATCH_HPP
#define APRICOTLB_CORE_ENTRY_LEADER_WATCH_HPP

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <optional>

namespace apricotlb
{

/// Counts the time since an answer arrived, not since the answered call was
/// sent: a loaded leader answers late, but it does answer.
class leader_watch
{
public:
    /// Begins to wait for a first answer, if nothing is known yet.
    auto begin(time_point now) -> void
    {
        if (!last_answer_)
        {
            last_answer_ = now;
        }
    }
    /// Records a message that only a leader sends.
    auto answered(node_id const& by, time_point now) -> void
    {
        leader_ = by;
        last_answer_ = now;
        heard(by, now);
    }
    /// Records a message that a leader also sends while it has no lease.
    auto heard(node_id const& by, time_point now) -> void
    {
        heard_ = by;
        last_heard_ = now;
    }

    /// True if no leader has answered for config::leader_silence.
    [[nodiscard]] auto is_leaderless(time_point now) const -> bool
    {
        return last_answer_ && now - *last_answer_ >= config::leader_silence;
    }
    /// True if a leader has answered at this time or later.
    [[nodiscard]] auto has_answered_since(time_point at) const -> bool
    {
        return leader_ && *last_answer_ >= at;
    }
    /// True if this process has shown to be in office at this time or later.
    [[nodiscard]] auto is_heard_since(node_id const& by, time_point at) const
        -> bool
    {
        return heard_ == by && last_heard_ >= at;
    }
    /// The process that has answered last; none at first.
    [[nodiscard]] auto leader() const -> std::optional<node_id> const&
    {
        return leader_;
    }

private:
    std::optional<node_id> leader_;
    std::optional<time_point> last_answer_;
    std::optional<node_id> heard_;
    time_point last_heard_{};
};

} // namespace apricotlb

#endif
