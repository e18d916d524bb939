#include "core/scheduling/guard.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <utility>

namespace apricotlb
{

auto ratio_of(guard_reading const& it) -> permille
{
    auto const limit = std::max<std::int64_t>(it.limit.count(), 1);
    return permille{static_cast<std::int32_t>(
        std::min<std::int64_t>(it.p99.count() * 1000 / limit, 1'000'000))};
}

auto guard::observe(worker_ref worker, guard_reading const& reading) -> void
{
    auto& all = workers_[worker].readings;
    auto const same =
        std::ranges::find(all, reading.service, &guard_reading::service);
    if (same == all.end())
    {
        all.push_back(reading);
    }
    else if (same->taken <= reading.taken)
    {
        *same = reading;
    }
}

auto guard::worst_reading(worker_ref worker, time_point now) const
    -> std::optional<guard_reading>
{
    auto const it = workers_.find(worker);
    std::optional<guard_reading> worst;
    if (it != workers_.end())
    {
        for (auto const& reading : it->second.readings)
        {
            if (now - reading.taken <= config::max_measurement_age &&
                (!worst || ratio_of(*worst) < ratio_of(reading)))
            {
                worst = reading;
            }
        }
    }
    return worst;
}

auto guard::may_change(worker_entry const& it, time_point now) const -> bool
{
    return !it.last_direction_change ||
           now - *it.last_direction_change >=
               config::min_throttle_change_interval;
}

auto guard::step(worker_ref worker, time_point now) -> guard_step
{
    auto const found = workers_.find(worker);
    if (found == workers_.end())
    {
        return guard_step::none;
    }
    auto& entry = found->second;
    auto const worst = worst_reading(worker, now);
    auto const ratio = worst ? ratio_of(*worst) : permille{0};
    if (ratio < config::throttle_above)
    {
        entry.above_threshold_since.reset();
        if (entry.throttled && ratio < config::release_below &&
            may_change(entry, now))
        {
            entry.throttled = false;
            entry.last_direction_change = now;
            ++direction_changes_;
            return guard_step::release;
        }
        if (!worst && !entry.throttled && may_change(entry, now))
        {
            workers_.erase(found);
        }
        return guard_step::none;
    }
    entry.above_threshold_since = entry.above_threshold_since.value_or(now);
    if (!entry.throttled && may_throttle_ && may_change(entry, now))
    {
        entry.throttled = true;
        entry.has_limited_task = false;
        entry.last_direction_change = now;
        entry.last_action = now;
        ++direction_changes_;
        return guard_step::throttle;
    }
    // Only a measurement from after the last action took effect shows whether
    // the action reduced the latency.
    auto const waiting_since =
        std::max(entry.last_action, *entry.above_threshold_since);
    if (now - waiting_since >= config::throttle_settling_time &&
        worst->taken > entry.last_action + config::throttle_settling_time / 2)
    {
        entry.last_action = now;
        return guard_step::move;
    }
    return guard_step::none;
}

auto guard::on_task_limited(worker_ref worker, time_point now) -> void
{
    auto const it = workers_.find(worker);
    if (it != workers_.end() && it->second.throttled &&
        !std::exchange(it->second.has_limited_task, true))
    {
        it->second.last_direction_change = now;
    }
}

auto guard::watched_workers() const -> std::vector<worker_ref>
{
    std::vector<worker_ref> all;
    all.reserve(workers_.size());
    for (auto const& [worker, it] : workers_)
    {
        all.push_back(worker);
    }
    std::ranges::sort(all);
    return all;
}

auto guard::is_throttled(worker_ref worker) const -> bool
{
    auto const it = workers_.find(worker);
    return it != workers_.end() && it->second.throttled;
}

auto guard::may_evict(customer_ref customer, time_point now) -> bool
{
    auto& recent = evictions_[customer];
    while (!recent.empty() && now - recent.front() >= config::eviction_window)
    {
        recent.pop_front();
    }
    return recent.size() < config::max_evictions_per_window;
}

auto guard::on_task_evicted(worker_ref worker, customer_ref customer,
                            time_point now) -> void
{
    evictions_[customer].push_back(now);
    workers_[worker].last_action = now;
}

} // namespace apricotlb
