#include "core/fleet/run_scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

auto run_scheduler::on_contact(worker_contact const& contact, time_point now)
    -> bool
{
    auto const found = workers_.find(contact.instance.id);
    if (found == workers_.end() || !found->second.info ||
        found->second.incarnation != contact.instance.incarnation)
    {
        return false;
    }
    auto& entry = found->second;
    if (entry.incarnation_ended || contact.number <= entry.info->number)
    {
        return true;
    }
    // The sender compared the announcement with another description than this
    // leader holds.
    if (contact.described != entry.described)
    {
        return false;
    }
    entry.is_replaced = false;
    entry.info->number = contact.number;
    entry.info->clock = contact.clock;
    entry.announced_at = now - contact.age;
    entry.record_life_sign(entry.announced_at);
    // The worker's clock has only run on since it was read.
    entry.lease.sample(contact.clock, now);
    return true;
}

auto run_scheduler::record_departure(worker_instance const& worker,
                                     time_point now) -> void
{
    std::erase_if(
        departed_, [now](auto const& each)
        { return now - each.second.since >= config::worker_removal_delay; });
    departed_[worker.id] = {worker.incarnation, now};
}

auto run_scheduler::has_departed(worker_instance const& worker,
                                 time_point now) const -> bool
{
    auto const found = departed_.find(worker.id);
    return found != departed_.end() &&
           worker.incarnation <= found->second.incarnation &&
           now - found->second.since < config::worker_removal_delay;
}

} // namespace apricotlb
