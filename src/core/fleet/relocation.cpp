#include "core/fleet/relocation.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

auto choose_relocation(std::vector<step_task> const& tasks,
                       task_count max_unavailable) -> std::optional<task_index>
{
    auto const is_moving =
        std::ranges::find(tasks, task_presence::moving, &step_task::presence);
    auto const away =
        std::ranges::count(tasks, task_presence::away, &step_task::presence);
    if (is_moving != tasks.end() || task_count{away} >= max_unavailable)
    {
        return std::nullopt;
    }
    auto const chosen = std::ranges::find_if(
        tasks, [](step_task const& it)
        { return it.must_move && it.presence == task_presence::at_work; });
    return chosen == tasks.end() ? std::nullopt : std::optional{chosen->index};
}

auto relocation_table::record(workflow_task const& task,
                              worker_id const& target, time_point now) -> void
{
    moves_[task] = now;
    targets_[target] = now;
}

auto relocation_table::prune(time_point now) -> void
{
    std::erase_if(moves_, [now](auto const& each)
                  { return now - each.second >= config::relocation_notice; });
    std::erase_if(targets_, [now](auto const& each)
                  { return now - each.second >= config::relocation_hold; });
}

auto relocation_table::is_target(worker_id const& worker, time_point now) const
    -> bool
{
    auto const found = targets_.find(worker);
    return found != targets_.end() &&
           now - found->second < config::relocation_hold;
}

} // namespace apricotlb
