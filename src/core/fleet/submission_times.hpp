/// When a member of the group has applied the submission of each workflow.
#ifndef APRICOTLB_CORE_FLEET_SUBMISSION_TIMES_HPP
#define APRICOTLB_CORE_FLEET_SUBMISSION_TIMES_HPP

#include "core/state/workflow_table.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/workflow.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace apricotlb
{

/// Age of a workflow by the wall clocks of the leader that accepted it and of
/// this process. The bounds cover clocks that jump or differ.
[[nodiscard]] inline auto recorded_age(workflow_record const& it, wall_time now)
    -> duration
{
    if (it.submitted == wall_time{})
    {
        return {};
    }
    return std::clamp<duration>(now - it.submitted, duration{},
                                config::max_recorded_age);
}

/// Kept by followers too, so that the waiting work does not count as fresh
/// under a new leader. Times are on the loop's clock and are not stored. What
/// was in the log when the process started gets its recorded age.
class submission_times
{
public:
    /// Submissions up to this one were in the log before the start.
    auto set_start(revision last) -> void { last_before_start_ = last; }

    /// Records a workflow whose submission is applied now.
    auto record(workflow_record const& it, time_point now, wall_time wall)
        -> void
    {
        auto const age = it.accepted <= last_before_start_
                             ? recorded_age(it, wall)
                             : duration{};
        times_.try_emplace(it.spec.id, now - age);
    }
    /// Forgets the workflows that have ended.
    auto prune(workflow_table const& table) -> void
    {
        std::erase_if(times_, [&table](auto const& each)
                      { return table.find(each.first) == nullptr; });
    }
    [[nodiscard]] auto find(workflow_id const& id) const
        -> std::optional<time_point>
    {
        auto const it = times_.find(id);
        return it == times_.end() ? std::nullopt : std::optional{it->second};
    }

private:
    revision last_before_start_{};
    std::unordered_map<workflow_id, time_point> times_;
};

} // namespace apricotlb

#endif
