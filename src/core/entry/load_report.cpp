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
    auto& window = windows_[id];
    if (window.samples.size() < config::load_samples)
    {
        window.samples.push_back({now, latency});
        return;
    }
    window.samples[window.next] = {now, latency};
    window.next = (window.next + 1) % config::load_samples;
}

auto load_report::demand(admission& queues) const -> std::vector<service_demand>
{
    std::set<service_key> keys;
    for (auto const& [key, count] : running_)
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
        auto const running = running_.find(key);
        out.push_back(
            {key.first, key.second,
             running == running_.end() ? request_count{0} : running->second,
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
        duration total_age{};
        for (auto const& sample : it->second.samples)
        {
            if (now - sample.measured_at <= config::load_window)
            {
                recent.push_back(sample.latency);
                total_age += now - sample.measured_at;
            }
        }
        if (recent.empty())
        {
            it = windows_.erase(it);
            continue;
        }
        std::ranges::sort(recent);
        auto const count = recent.size();
        auto const milliseconds_at = [&recent](std::size_t index)
        { return std::chrono::ceil<milliseconds>(recent[index]); };
        latency_report report;
        report.backend = it->first;
        report.p50 = milliseconds_at(count / 2);
        report.p99 = milliseconds_at(std::min(count - 1, count * 99 / 100));
        report.requests = request_count{static_cast<std::int64_t>(count)};
        report.age = std::chrono::duration_cast<milliseconds>(
            total_age / static_cast<std::int64_t>(count));
        out.push_back(report);
        ++it;
    }
    return out;
}

} // namespace apricotlb
