/// Choice of the permanent tasks that are moved off workers which take no new
/// runs: those of evacuated data centres and those that drain.
#ifndef APRICOTLB_CORE_FLEET_RELOCATION_HPP
#define APRICOTLB_CORE_FLEET_RELOCATION_HPP

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace apricotlb
{

/// What a task is to the users of its step.
enum class task_presence : std::uint8_t
{
    at_work, ///< has run for config::relocation_start_time
    away,
    moving, ///< was stopped for a move within config::relocation_notice
    over,   ///< needs no more runs
};

struct step_task
{
    task_index index;
    task_presence presence{task_presence::away};
    bool must_move{false}; ///< its worker takes no new runs
};

/// The next task to stop; none while another one of the step moves, or if
/// max_unavailable tasks are away already. A step without max_unavailable is
/// not moved.
[[nodiscard]] auto choose_relocation(std::vector<step_task> const& tasks,
                                     task_count max_unavailable)
    -> std::optional<task_index>;

/// The tasks that were stopped for a move within config::relocation_notice,
/// and the workers with the room that they were stopped for.
class relocation_table
{
public:
    auto record(workflow_task const& task, worker_id const& target,
                time_point now) -> void;
    auto prune(time_point now) -> void;

    [[nodiscard]] auto is_moving(workflow_task const& task) const -> bool
    {
        return moves_.contains(task);
    }
    /// True if the worker has to keep room for a task that was stopped within
    /// config::relocation_hold.
    [[nodiscard]] auto is_target(worker_id const& worker, time_point now) const
        -> bool;
    [[nodiscard]] auto size() const -> std::size_t { return moves_.size(); }

private:
    std::map<workflow_task, time_point> moves_; ///< when it was stopped
    std::map<worker_id, time_point> targets_;   ///< since when
};

} // namespace apricotlb

#endif
