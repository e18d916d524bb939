/// Which records of ended workflows have been kept for their time.
#ifndef APRICOTLB_CORE_LEADER_ENDED_RETENTION_HPP
#define APRICOTLB_CORE_LEADER_ENDED_RETENTION_HPP

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>

#include <algorithm>
#include <deque>
#include <optional>

namespace apricotlb
{

/// Measures by the loop's clock for how long this process has seen each record,
/// whose own time is that of a leader whose time of day may have been set
/// since. Keeps a bounded number of times, not the records.
class ended_retention
{
public:
    explicit ended_retention(time_point now) { restart(now); }

    /// The process has read records whose ages it does not know.
    auto restart(time_point now) -> void
    {
        complete_at_ = now + config::workflow_retention;
    }

    /// A record of this time was written or renewed.
    auto add(wall_time at, time_point now) -> void
    {
        if (seen_.empty() || now - seen_.back().since >= interval)
        {
            seen_.push_back({now, at});
            drop_old(now);
            return;
        }
        seen_.back().oldest = std::min(seen_.back().oldest, at);
    }

    /// Records of an earlier time than this may be forgotten, if any may: by
    /// the time of day, and since none of them is younger by the loop's clock.
    [[nodiscard]] auto forgotten_before(wall_time wall, time_point now)
        -> std::optional<wall_time>
    {
        if (now < complete_at_)
        {
            return std::nullopt;
        }
        drop_old(now);
        auto out = wall - config::workflow_retention;
        for (auto const& it : seen_)
        {
            out = std::min(out, it.oldest);
        }
        return out;
    }

private:
    /// Records that were seen within this time count as one.
    static constexpr duration interval = seconds{1};

    struct seen_records
    {
        time_point since;
        wall_time oldest; ///< lowest time of one of them
    };

    auto drop_old(time_point now) -> void
    {
        while (!seen_.empty() && now - seen_.front().since >=
                                     config::workflow_retention + interval)
        {
            seen_.pop_front();
        }
    }

    time_point complete_at_;
    std::deque<seen_records> seen_;
};

} // namespace apricotlb

#endif
