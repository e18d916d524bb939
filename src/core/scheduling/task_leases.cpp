#include "core/scheduling/task_leases.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

// Leases are checked in groups of this width; it adds to the time until an
// expiry is noticed and never shortens a lease.
constexpr duration group_width = milliseconds{250};

} // namespace

auto task_leases::file(std::uint64_t key, lease_entry& it, time_point at)
    -> void
{
    auto const since = at.time_since_epoch();
    time_point const due{(since / group_width + 1) * group_width};
    it.filed = due;
    auto const group =
        std::ranges::lower_bound(due_, due, {}, &batch_entry::due);
    if (group == due_.end() || group->due != due)
    {
        due_.insert(group, {due, {key}});
    }
    else
    {
        group->tasks.push_back(key);
    }
}

auto task_leases::grant(task_ref task, time_point now) -> void
{
    auto const until = now + config::with_drift(config::task_lease);
    auto const [it, added] = until_.try_emplace(packed(task));
    if (added)
    {
        file(it->first, it->second, until);
    }
    it->second.until = std::max(it->second.until, until);
}

auto task_leases::end(task_ref task) -> void
{
    until_.erase(packed(task));
}

auto task_leases::is_held(task_ref task, time_point now) const -> bool
{
    auto const it = until_.find(packed(task));
    return it != until_.end() && now < it->second.until;
}

auto task_leases::expired(time_point now) -> std::vector<task_ref>
{
    std::vector<task_ref> all;
    while (!due_.empty() && due_.front().due <= now)
    {
        auto const group = std::move(due_.front());
        due_.pop_front();
        for (auto const key : group.tasks)
        {
            auto const it = until_.find(key);
            // An ended task that was granted again is in another group.
            if (it == until_.end() || it->second.filed != group.due)
            {
                continue;
            }
            if (it->second.until <= now)
            {
                all.push_back(unpacked(key));
                // Returned again if the end that follows is not recorded.
                file(key, it->second, now + config::command_retry_interval);
            }
            else
            {
                file(key, it->second, it->second.until);
            }
        }
    }
    return all;
}

} // namespace apricotlb
