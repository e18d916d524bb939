#include "core/scheduling/worker_health.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

template <class T>
auto add_distinct(std::vector<T>& all, T it) -> void
{
    if (std::ranges::find(all, it) == all.end())
    {
        all.push_back(it);
    }
}

// Passed as the excluded job where none is excluded.
constexpr job_ref no_job{UINT32_MAX};

} // namespace

auto worker_health::remove(worker_ref worker) -> void
{
    workers_.erase(worker);
}

auto worker_health::remove(job_ref job) -> void
{
    if (jobs_.erase(job) > 0)
    {
        std::erase_if(tasks_, [job](auto const& it)
                      { return from_key(it.first).job == job; });
        for (auto& [worker, it] : workers_)
        {
            std::erase(it.failed_jobs, job);
        }
    }
}

auto worker_health::succeeded(worker_ref worker, job_ref job) -> void
{
    workers_.erase(worker);
    auto const it = jobs_.find(job);
    if (it != jobs_.end())
    {
        it->second.succeeded = true;
    }
}

auto worker_health::is_faulty(job_ref job) const -> bool
{
    auto const it = jobs_.find(job);
    return it != jobs_.end() && !it->second.succeeded &&
           it->second.failed_on.size() >= config::failed_workers_limit;
}

auto worker_health::is_suspect(job_ref job) const -> bool
{
    auto const it = jobs_.find(job);
    return it != jobs_.end() && !it->second.succeeded &&
           it->second.failed_on.size() >= 2;
}

auto worker_health::count_failed_jobs(worker_entry const& worker,
                                      job_ref except) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(worker.failed_jobs, [&](job_ref it)
                              { return it != except && !is_faulty(it); }));
}

auto worker_health::quarantine(worker_entry& it, time_point now) -> bool
{
    auto const max_quarantined = std::max<std::size_t>(
        1,
        worker_count_ *
            static_cast<std::size_t>(config::max_quarantined_workers.value()) /
            1000);
    if (it.state != health_state::probation &&
        unhealthy_count() >= max_quarantined)
    {
        return false;
    }
    it.quarantine_time =
        std::clamp(2 * it.quarantine_time, config::min_quarantine_time,
                   config::max_quarantine_time);
    it.state = health_state::quarantined;
    it.until = now + it.quarantine_time;
    return true;
}

auto worker_health::failed(worker_ref worker, task_ref task, time_point now)
    -> bool
{
    add_distinct(jobs_[task.job].failed_on, worker);
    auto& history = tasks_[to_key(task)];
    add_distinct(history.failed_on, worker);
    ++history.failures;
    auto& it = workers_[worker];
    if (it.state == health_state::quarantined)
    {
        return false;
    }
    add_distinct(it.failed_jobs, task.job);
    auto const on_probation =
        it.state == health_state::probation && !is_faulty(task.job);
    if (on_probation ||
        count_failed_jobs(it, no_job) >= config::failed_jobs_limit)
    {
        return quarantine(it, now);
    }
    return false;
}

auto worker_health::has_reached_failure_limit(task_ref task) const -> bool
{
    auto const it = tasks_.find(to_key(task));
    if (it == tasks_.end())
    {
        return false;
    }
    auto const is_healthy = [&](worker_ref worker)
    {
        auto const found = workers_.find(worker);
        return found == workers_.end() ||
               (found->second.state == health_state::healthy &&
                count_failed_jobs(found->second, task.job) <= 1);
    };
    auto const failed_on_healthy = static_cast<std::size_t>(
        std::ranges::count_if(it->second.failed_on, is_healthy));
    auto const healthy =
        worker_count_ - std::min(worker_count_, unhealthy_count());
    auto const needed =
        std::clamp<std::size_t>(healthy, 1, config::failed_workers_limit);
    return failed_on_healthy >= needed ||
           it->second.failures >= config::failed_attempts_limit;
}

auto worker_health::failed_on(task_ref task) const
    -> std::span<worker_ref const>
{
    auto const it = tasks_.find(to_key(task));
    return it == tasks_.end() ? std::span<worker_ref const>{}
                              : std::span{it->second.failed_on};
}

auto worker_health::state(worker_ref worker) const -> health_state
{
    auto const it = workers_.find(worker);
    return it == workers_.end() ? health_state::healthy : it->second.state;
}

auto worker_health::unhealthy_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        workers_, [](auto const& it)
        { return it.second.state != health_state::healthy; }));
}

auto worker_health::tick(time_point now) -> std::vector<worker_ref>
{
    std::vector<worker_ref> all;
    for (auto& [worker, it] : workers_)
    {
        if (it.state == health_state::quarantined && now >= it.until)
        {
            it.state = health_state::probation;
            all.push_back(worker);
        }
    }
    return all;
}

} // namespace apricotlb
