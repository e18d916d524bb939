#include "core/scheduling/task_leases.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

// Leases are checked in groups of this width. An expiry is detected up to this
// much later, never earlier.
constexpr duration group_width = milliseconds{250};

} // namespace

auto task_leases::schedule_check(std::uint64_t key, lease_entry& it,
                                 time_point not_before) -> void
{
    auto const since_epoch = not_before.time_since_epoch();
    time_point const due{(since_epoch / group_width + 1) * group_width};
    it.check_due = due;
    auto const group =
        std::ranges::lower_bound(checks_, due, {}, &check_group::due);
    if (group == checks_.end() || group->due != due)
    {
        checks_.insert(group, {due, {key}});
    }
    else
    {
        group->tasks.push_back(key);
    }
}

auto task_leases::grant(task_ref task, time_point now) -> void
{
    auto const until = now + config::with_drift(config::task_lease);
    auto const [it, added] = leases_.try_emplace(to_key(task));
    if (added)
    {
        schedule_check(it->first, it->second, until);
    }
    it->second.until = std::max(it->second.until, until);
}

auto task_leases::end(task_ref task) -> void
{
    leases_.erase(to_key(task));
}

auto task_leases::is_held(task_ref task, time_point now) const -> bool
{
    auto const it = leases_.find(to_key(task));
    return it != leases_.end() && now < it->second.until;
}

auto task_leases::take_expired(time_point now) -> std::vector<task_ref>
{
    std::vector<task_ref> all;
    while (!checks_.empty() && checks_.front().due <= now)
    {
        auto const group = std::move(checks_.front());
        checks_.pop_front();
        for (auto const key : group.tasks)
        {
            auto const it = leases_.find(key);
            // A task whose lease ended and was granted again is in another
            // group.
            if (it == leases_.end() || it->second.check_due != group.due)
            {
                continue;
            }
            if (it->second.until <= now)
            {
                all.push_back(from_key(key));
                // Checked again in case the end that the caller proposes is not
                // recorded in the log.
                schedule_check(key, it->second,
                               now + config::command_retry_interval);
            }
            else
            {
                schedule_check(key, it->second, it->second.until);
            }
        }
    }
    return all;
}

} // namespace apricotlb
