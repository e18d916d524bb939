/// When a member of the group has applied the submission of each workflow.
#ifndef APRICOTLB_CORE_FLEET_SUBMISSION_TIMES_HPP
#define APRICOTLB_CORE_FLEET_SUBMISSION_TIMES_HPP

#include "core/state/workflow_table.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/workflow.hpp>

#include <optional>
#include <unordered_map>

namespace apricotlb
{

/// Kept by followers too, so that the waiting work does not count as fresh
/// under a new leader. Times are on the loop's clock and are not stored: after
/// a restart the age of a workflow is not known.
class submission_times
{
public:
    auto record(workflow_id const& id, time_point now) -> void
    {
        times_.try_emplace(id, now);
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
    std::unordered_map<workflow_id, time_point> times_;
};

} // namespace apricotlb

#endif
