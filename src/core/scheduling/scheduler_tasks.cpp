// State changes of tasks and attempts.
#include "core/scheduling/scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

using namespace scheduler_detail;

// --- Tasks ----------------------------------------------------------------

auto scheduler::level_for(job_entry const& job, bool demoted) const
    -> queue_level
{
    if (job.spec.kind == job_class::service)
    {
        return service_level;
    }
    if (job.spec.kind == job_class::watch)
    {
        return watch_level;
    }
    if (demoted)
    {
        return demoted_level;
    }
    if (!policy_.short_first)
    {
        return first_batch_level;
    }
    auto const learned = work_.run_time_quantile(job.kind, permille{500});
    return level_of(learned.value_or(config::default_run_time));
}

auto scheduler::requeue(job_ref job, bool demoted, time_point now) -> void
{
    auto& it = jobs_[pos(job)];
    queue_item const item{job, demoted};
    if (it.waiting[demoted ? 1 : 0].empty())
    {
        queue_.remove(item);
        release_hold(item);
        return;
    }
    queue_.put(it.customer, item, level_for(it, demoted), it.order, now);
}

auto scheduler::make_waiting(task_ref task, time_point now) -> void
{
    auto& entry = task_of(task);
    entry.state = task_state::waiting;
    job_of(task).waiting[entry.demoted ? 1 : 0].push_back(task.index);
    requeue(task.job, entry.demoted, now);
}

auto scheduler::make_final(task_ref task, task_state state) -> void
{
    auto& job = job_of(task);
    auto& entry = task_of(task);
    entry.state = state;
    entry.checkpoint.reset();
    if (--job.open_tasks == 0)
    {
        retire_job(task.job);
    }
}

auto scheduler::retire_job(job_ref ref) -> void
{
    health_.remove(ref);
    queue_.remove({ref, false});
    queue_.remove({ref, true});
    ended_jobs_.push_back(ref);
    if (ended_jobs_.size() > config::max_explained_jobs)
    {
        auto const oldest = ended_jobs_.front();
        ended_jobs_.pop_front();
        auto& job = jobs_[pos(oldest)];
        customers_[pos(job.customer)].jobs.erase(job.spec.id);
        job = {};
        free_jobs_.push_back(oldest);
    }
}

// --- Attempts -------------------------------------------------------------

auto scheduler::add_attempt(attempt_entry entry, time_point now) -> attempt_slot
{
    auto slot = attempt_slot{static_cast<std::uint32_t>(attempts_.size())};
    if (free_attempts_.empty())
    {
        attempts_.emplace_back();
    }
    else
    {
        slot = free_attempts_.back();
        free_attempts_.pop_back();
    }
    attempt_at(slot) = entry;
    auto& job = job_of(entry.task);
    auto& task = task_of(entry.task);
    task.slot = slot;
    task.attempt = entry.number;
    ++job.running_tasks;
    auto const is_service = job.spec.kind == job_class::service;
    commitments_.commit(entry.worker, job.customer, entry.committed,
                        !is_service);
    auto& worker = workers_[pos(entry.worker)];
    worker.attempts.push_back(slot);
    if (job.spec.kind != job_class::batch)
    {
        worker.pinned += entry.committed;
    }
    if (worker.registered)
    {
        placement_.set_free(entry.worker, commitments_.free(entry.worker));
        auto const rack = placement_.rack_of(entry.worker);
        auto const use = std::ranges::find(job.racks, rack, &rack_use::rack);
        if (use == job.racks.end())
        {
            job.racks.push_back({rack, task_count{1}});
        }
        else
        {
            ++use->tasks;
        }
    }
    if (!is_service)
    {
        interference_.started(entry.worker, entry.task, job.kind, now);
    }
    return slot;
}

auto scheduler::remove_attempt(attempt_slot slot, time_point now) -> void
{
    auto const entry = attempt_at(slot);
    auto& job = job_of(entry.task);
    auto& worker = workers_[pos(entry.worker)];
    commitments_.release(entry.worker, job.customer, entry.committed,
                         job.spec.kind != job_class::service);
    if (job.spec.kind != job_class::batch)
    {
        worker.pinned -= entry.committed;
    }
    std::erase(worker.attempts, slot);
    if (worker.registered)
    {
        placement_.set_free(entry.worker, commitments_.free(entry.worker));
    }
    auto const use = std::ranges::find(
        job.racks, placement_.rack_of(entry.worker), &rack_use::rack);
    if (use != job.racks.end())
    {
        use->tasks -= task_count{1};
        if (use->tasks <= task_count{0})
        {
            job.racks.erase(use);
        }
    }
    interference_.ended(entry.worker, entry.task, now);
    leases_.end(entry.task);
    task_of(entry.task).slot = no_slot;
    --job.running_tasks;
    attempt_at(slot) = {};
    free_attempts_.push_back(slot);
    refresh_worker(entry.worker, now);
    capacity_freed_ = true;
}

auto scheduler::propose_end(attempt_entry& it, attempt_end end,
                            std::optional<checkpoint_id> checkpoint,
                            bool give_up) -> void
{
    it.end_proposed = true;
    actions_.emplace_back(propose{end_attempt{customer_of(it), id_of(it), end,
                                              std::move(checkpoint), give_up}});
}

auto scheduler::request_end(attempt_slot slot, end_request requested_end,
                            move_reason reason, time_point now) -> void
{
    auto& it = attempt_at(slot);
    auto const is_service = job_of(it.task).spec.kind == job_class::service;
    if (requested_end <= it.requested_end ||
        (requested_end == end_request::checkpoint && is_service))
    {
        return; // services keep serving requests until their worker has left
    }
    it.requested_end = requested_end;
    it.end_reason = reason;
    if (it.phase != attempt_phase::proposed)
    {
        send_pending_command(slot, now);
    }
}

} // namespace apricotlb
