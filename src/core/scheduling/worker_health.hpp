/// Distinguishes a worker on which all jobs fail from a job that fails on all
/// workers.
#ifndef APRICOTLB_CORE_SCHEDULING_WORKER_HEALTH_HPP
#define APRICOTLB_CORE_SCHEDULING_WORKER_HEALTH_HPP

#include "core/scheduling/refs.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// Which work a worker receives.
enum class health_state : std::uint8_t
{
    healthy,
    quarantined, ///< none
    probation,   ///< one task at a time until one succeeds
};

/// A worker is quarantined after failures of several distinct jobs without a
/// success in between. A job counts as faulty after failures on several
/// distinct workers without any success.
class worker_health
{
public:
    auto set_worker_count(std::size_t n) -> void { worker_count_ = n; }
    auto remove(worker_ref worker) -> void;
    auto remove(job_ref job) -> void;

    auto succeeded(worker_ref worker, job_ref job) -> void;

    /// Records a failure; returns true if the worker became quarantined.
    auto failed(worker_ref worker, task_ref task, time_point now) -> bool;

    /// Whether the task has failed on enough distinct healthy workers, or often
    /// enough on any, to be given up.
    [[nodiscard]] auto has_reached_failure_limit(task_ref task) const -> bool;

    /// Workers on which the task failed.
    [[nodiscard]] auto failed_on(task_ref task) const
        -> std::span<worker_ref const>;

    /// Whether the job has failed on at least two workers and never succeeded.
    [[nodiscard]] auto is_suspect(job_ref job) const -> bool;

    [[nodiscard]] auto state(worker_ref worker) const -> health_state;
    /// Workers in quarantine or on probation.
    [[nodiscard]] auto unhealthy_count() const -> std::size_t;

    /// Moves workers whose quarantine has ended to probation; returns them.
    auto tick(time_point now) -> std::vector<worker_ref>;

private:
    struct worker_entry
    {
        health_state state{health_state::healthy};
        std::vector<job_ref> failed_jobs; ///< distinct, since the last success
        duration quarantine_time{};
        time_point until;
    };
    struct job_entry
    {
        std::vector<worker_ref> failed_on; ///< distinct
        bool succeeded{false};
    };
    struct task_entry
    {
        std::vector<worker_ref> failed_on; ///< distinct
        std::uint32_t failures{0};
    };

    /// Distinct jobs that failed on the worker since its last success, without
    /// faulty jobs and without `except`.
    [[nodiscard]] auto count_failed_jobs(worker_entry const& it,
                                         job_ref except) const -> std::size_t;
    [[nodiscard]] auto is_faulty(job_ref job) const -> bool;
    auto quarantine(worker_entry& it, time_point now) -> bool;

    std::size_t worker_count_{0};
    std::unordered_map<worker_ref, worker_entry> workers_;
    std::unordered_map<job_ref, job_entry> jobs_;
    std::unordered_map<std::uint64_t, task_entry> tasks_;
};

} // namespace apricotlb

#endif
