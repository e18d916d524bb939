#include "core/entry/load_report.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <set>

namespace apricotlb
{

auto load_report::call_started(service_key const& key) -> void
{
    ++running_[key];
}

auto load_report::call_ended(service_key const& key) -> void
{
    auto const it = running_.find(key);
    if (it != running_.end())
    {
        it->second -= request_count{1};
        if (it->second <= request_count{0})
        {
            running_.erase(it);
        }
    }
}

auto load_report::sample(backend_id const& id, duration latency, time_point now)
    -> void
{
    auto& it = windows_[id];
    if (it.samples.size() < config::load_samples)
    {
        it.samples.push_back({now, latency});
        return;
    }
    it.samples[it.next] = {now, latency};
    it.next = (it.next + 1) % config::load_samples;
}

auto load_report::demand(admission& queues) const -> std::vector<service_demand>
{
    std::set<service_key> keys;
    for (auto const& [key, n] : running_)
    {
        keys.insert(key);
    }
    for (auto const& key : queues.waiting_services())
    {
        keys.insert(key);
    }
    std::vector<service_demand> out;
    out.reserve(keys.size());
    for (auto const& key : keys)
    {
        auto const it = running_.find(key);
        out.push_back({key.first, key.second,
                       it == running_.end() ? request_count{0} : it->second,
                       queues.queued_count(key)});
    }
    return out;
}

auto load_report::latency(time_point now) -> std::vector<latency_report>
{
    std::vector<latency_report> out;
    for (auto it = windows_.begin(); it != windows_.end();)
    {
        std::vector<duration> recent;
        duration ages{};
        for (auto const& s : it->second.samples)
        {
            if (now - s.at <= config::load_window)
            {
                recent.push_back(s.latency);
                ages += now - s.at;
            }
        }
        if (recent.empty())
        {
            it = windows_.erase(it);
            continue;
        }
        std::ranges::sort(recent);
        auto const n = recent.size();
        auto const ms = [&recent](std::size_t at)
        { return std::chrono::ceil<milliseconds>(recent[at]); };
        latency_report report;
        report.backend = it->first;
        report.p50 = ms(n / 2);
        report.p99 = ms(std::min(n - 1, n * 99 / 100));
        report.requests = request_count{static_cast<std::int64_t>(n)};
        report.age = std::chrono::duration_cast<milliseconds>(
            ages / static_cast<std::int64_t>(n));
        out.push_back(report);
        ++it;
    }
    return out;
}

} // namespace apricotlb
