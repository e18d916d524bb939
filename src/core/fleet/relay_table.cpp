#include "core/fleet/relay_table.hpp"

#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace apricotlb
{

auto relay_table::on_contact(node_id const& relay, zone_id const& zone,
                             time_point now,
                             std::optional<intake_address> intake) -> void
{
    auto& it = relays_[relay];
    it.zone = zone;
    it.intake = std::move(intake);
    it.last_contact = now;
}

auto relay_table::on_clock(node_id const& relay, clock_reading const& it,
                           time_point now) -> void
{
    clocks_[relay].sample(it, now);
}

auto relay_table::deadline_for(node_id const& relay, time_point given) const
    -> std::optional<clock_reading>
{
    auto const found = clocks_.find(relay);
    return found == clocks_.end()
               ? std::nullopt
               : found->second.deadline(given, config::order_validity);
}

auto relay_table::remove(node_id const& relay) -> void
{
    auto const found = relays_.find(relay);
    if (found != relays_.end())
    {
        release_workers(found->second);
        relays_.erase(found);
    }
}

auto relay_table::suspend(node_id const& relay, time_point now) -> void
{
    auto const found = relays_.find(relay);
    if (found != relays_.end())
    {
        found->second.suspended_until = now + config::relay_suspension;
        release_workers(found->second);
    }
}

auto relay_table::on_no_answer(worker_id const& worker, zone_id const& zone,
                               node_id const& relay, time_point now) -> void
{
    auto const known = assigned_.find(worker);
    if (known == assigned_.end() || known->second.relay != relay)
    {
        return;
    }
    if (auto const other = choose(zone, now, relay))
    {
        relays_.at(relay).workers.erase(worker);
        assign(worker, *other, now);
    }
}

auto relay_table::relay_for(worker_id const& worker, zone_id const& zone,
                            time_point now) -> std::optional<node_id>
{
    if (auto const known = assigned_.find(worker); known != assigned_.end())
    {
        auto& current = relays_.at(known->second.relay);
        if (current.is_live(now))
        {
            known->second.last_used = now;
            return known->second.relay;
        }
        release_workers(current);
    }
    prune(now);
    auto chosen = choose(zone, now);
    if (chosen)
    {
        assign(worker, *chosen, now);
    }
    return chosen;
}

auto relay_table::intake_for(worker_id const& worker, zone_id const& zone,
                             time_point now) const
    -> std::optional<intake_address>
{
    std::vector<intake_address const*> intakes;
    for (auto const& [id, it] : relays_)
    {
        if (it.intake && it.zone == zone && it.is_live(now))
        {
            intakes.push_back(&*it.intake);
        }
    }
    if (intakes.empty())
    {
        return std::nullopt;
    }
    return *intakes[std::hash<worker_id>{}(worker) % intakes.size()];
}

auto relay_table::is_intake(node_id const& relay) const -> bool
{
    auto const found = relays_.find(relay);
    return found != relays_.end() && found->second.intake.has_value();
}

auto relay_table::is_silent(node_id const& relay, time_point now) const -> bool
{
    auto const found = relays_.find(relay);
    return found != relays_.end() && !found->second.is_in_contact(now);
}

auto relay_table::assign(worker_id const& worker, node_id const& relay,
                         time_point now) -> void
{
    relays_.at(relay).workers.insert(worker);
    assigned_[worker] = {relay, now};
}

auto relay_table::clear() -> void
{
    relays_.clear();
    clocks_.clear();
    assigned_.clear();
}

auto relay_table::release_workers(relay_state& from) -> void
{
    for (auto const& worker : from.workers)
    {
        assigned_.erase(worker);
    }
    from.workers.clear();
}

auto relay_table::prune(time_point now) -> void
{
    if (now - pruned_at_ < config::worker_removal_delay)
    {
        return;
    }
    pruned_at_ = now;
    auto const is_old = [now](time_point last)
    { return now - last >= config::worker_removal_delay; };
    std::erase_if(assigned_,
                  [&](auto const& each)
                  {
                      auto const& [worker, it] = each;
                      if (!is_old(it.last_used))
                      {
                          return false;
                      }
                      relays_.at(it.relay).workers.erase(worker);
                      return true;
                  });
    for (auto it = relays_.begin(); it != relays_.end();)
    {
        if (!is_old(it->second.last_contact))
        {
            ++it;
            continue;
        }
        release_workers(it->second);
        it = relays_.erase(it);
    }
    std::erase_if(clocks_, [this](auto const& each)
                  { return !relays_.contains(each.first); });
}

/// Relays of the zone before others; then one that is in use and has room
/// before an unused one, since each relay in use costs the leader messages of
/// its own; then the one with the fewest workers.
auto relay_table::choose(zone_id const& zone, time_point now,
                         std::optional<node_id> const& except) const
    -> std::optional<node_id>
{
    std::optional<node_id> best;
    std::tuple<bool, bool, bool, std::size_t> best_rank;
    for (auto const& [id, it] : relays_)
    {
        if (!it.is_live(now) || id == except)
        {
            continue;
        }
        auto const n = it.workers.size();
        auto const is_full = n >= config::workers_per_relay;
        std::tuple const rank{it.zone != zone, is_full, n == 0, n};
        if (!best || rank < best_rank)
        {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace apricotlb
