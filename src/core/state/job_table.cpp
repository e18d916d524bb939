#include "core/state/job_table.hpp"

#include <apricotlb/config.hpp>

#include <string>
#include <utility>

namespace apricotlb
{

namespace
{

auto answer_at(revision at) -> apply_result
{
    apply_result answer;
    answer.at = at;
    return answer;
}

auto is_final(job_state state) -> bool
{
    return state != job_state::active && state != job_state::cancelling;
}

auto refuse_unknown_job(job_id const& id) -> apply_result
{
    return apply_result::refuse(error_kind::unknown_job,
                                "no job " + id.value());
}

auto refuse_stale(attempt_id const& it, std::string const& reason)
    -> apply_result
{
    return apply_result::refuse(
        error_kind::stale_attempt,
        "attempt " + std::to_string(it.number.value()) + " of task " +
            std::to_string(it.task.index.value()) + " of job " +
            it.task.job.value() + ": " + reason);
}

auto count_of(task_counts& counts, task_state state) -> task_count&
{
    switch (state)
    {
    case task_state::waiting:
        return counts.waiting;
    case task_state::placed:
        return counts.placed;
    case task_state::finished:
        return counts.finished;
    case task_state::failed:
        return counts.failed;
    case task_state::cancelled:
        break;
    }
    return counts.cancelled;
}

/// State of a task after the recorded end of its attempt.
auto state_after(end_attempt const& ended, task_record const& task,
                 bool cancelled) -> task_state
{
    if (ended.how == attempt_end::finished)
    {
        return task_state::finished;
    }
    if (cancelled)
    {
        return task_state::cancelled;
    }
    return ended.give_up || task.failures >= config::max_task_failures
               ? task_state::failed
               : task_state::waiting;
}

} // namespace

auto job_record::state() const -> job_state
{
    if (counts.placed > task_count{0})
    {
        return cancelled_at ? job_state::cancelling : job_state::active;
    }
    if (counts.waiting > task_count{0})
    {
        return job_state::active;
    }
    if (counts.cancelled > task_count{0})
    {
        return job_state::cancelled;
    }
    return counts.failed > task_count{0} ? job_state::failed
                                         : job_state::finished;
}

auto job_record::task(task_index index) const -> std::optional<task_record>
{
    if (index.value() >= spec.tasks.value())
    {
        return std::nullopt;
    }
    auto it =
        index.value() < tasks.size() ? tasks[index.value()] : task_record{};
    if (cancelled_at && it.state == task_state::waiting)
    {
        it.state = task_state::cancelled;
    }
    return it;
}

job_table::job_table(jobs_snapshot from, worker_registry& workers)
{
    for (auto& it : from.active)
    {
        restore(std::move(it), workers);
    }
    for (auto& it : from.ended)
    {
        job_key const key{it.spec.customer, it.spec.id};
        retain_ended(key, restore(std::move(it), workers));
    }
}

auto job_table::restore(job_record record, worker_registry& workers)
    -> job_entry&
{
    job_key const key{record.spec.customer, record.spec.id};
    auto& job = jobs_[key];
    job.record = std::move(record);
    for (std::uint32_t n = 0; n < job.record.tasks.size(); ++n)
    {
        auto const& task = job.record.tasks[n];
        if (task.state == task_state::waiting)
        {
            job.requeued.insert(task_index{n});
        }
        else if (task.state == task_state::placed)
        {
            job.placed.insert(task_index{n});
            workers.commit(
                task.worker,
                {key.customer, {{key.job, task_index{n}}, task.attempt}},
                task.committed);
            count_usage(job.record, task.committed, 1);
        }
    }
    if (job.record.counts.waiting > task_count{0})
    {
        waiting_jobs_.emplace(job.record.submitted, key);
    }
    return job;
}

auto job_table::count_usage(job_record const& job, resources const& amount,
                            int sign) -> void
{
    if (job.spec.kind == job_class::service)
    {
        return;
    }
    auto& usage = usage_[job.spec.customer];
    if (sign > 0)
    {
        usage.total += amount;
        ++usage.tasks;
        return;
    }
    usage.total -= amount;
    usage.tasks -= task_count{1};
    if (usage.tasks == task_count{0})
    {
        usage_.erase(job.spec.customer);
    }
}

auto job_table::apply(submit_job const& it, revision at,
                      contract_registry const& contracts,
                      worker_registry const& workers) -> apply_result
{
    auto const& spec = it.spec;
    job_key const key{spec.customer, spec.id};
    if (auto const found = jobs_.find(key); found != jobs_.end())
    {
        if (found->second.record.spec == spec)
        {
            return answer_at(found->second.record.submitted);
        }
        return apply_result::refuse(error_kind::job_conflict,
                                    "job " + spec.id.value() +
                                        " exists with different content");
    }
    auto const* contract = contracts.find(spec.customer);
    if (contract == nullptr)
    {
        return apply_result::refuse(error_kind::unknown_customer,
                                    "no contract for " + spec.customer.value());
    }
    if (!workers.can_hold(spec.each, contract->vm_share))
    {
        return apply_result::refuse(
            error_kind::job_too_large,
            "one task of job " + spec.id.value() + " needs more than " +
                std::to_string(contract->vm_share.value()) +
                " permille of the resources of every worker");
    }
    auto& added = jobs_[key];
    added.record.spec = spec;
    added.record.submitted = at;
    added.record.counts.waiting = spec.tasks;
    waiting_jobs_.emplace(at, key);
    return answer_at(at);
}

auto job_table::apply(cancel_job const& it, revision at) -> apply_result
{
    job_key const key{it.customer, it.job};
    auto const found = jobs_.find(key);
    if (found == jobs_.end())
    {
        return refuse_unknown_job(it.job);
    }
    auto& record = found->second.record;
    if (record.cancelled_at || is_final(record.state()))
    {
        return answer_at(record.cancelled_at.value_or(record.submitted));
    }
    record.cancelled_at = at;
    record.counts.cancelled += record.counts.waiting;
    record.counts.waiting = task_count{0};
    waiting_jobs_.erase(record.submitted);
    retain_if_ended(key, found->second);
    return answer_at(at);
}

auto job_table::apply(place_task const& placement, revision at,
                      contract_registry const& contracts,
                      worker_registry& workers) -> apply_result
{
    auto const& id = placement.attempt.task;
    auto const found = jobs_.find({placement.customer, id.job});
    if (found == jobs_.end())
    {
        return refuse_unknown_job(id.job);
    }
    auto& job = found->second;
    auto const task = job.record.task(id.index);
    if (!task || task->state != task_state::waiting)
    {
        return refuse_stale(placement.attempt, "the task is not waiting");
    }
    if (placement.attempt.number != task->attempt + attempt_number{1})
    {
        return refuse_stale(placement.attempt,
                            "the next attempt is " +
                                std::to_string(task->attempt.value() + 1));
    }
    if (contracts.find(placement.customer) == nullptr)
    {
        return apply_result::refuse(error_kind::unknown_customer,
                                    "no contract for " +
                                        placement.customer.value());
    }
    if (workers.find(placement.worker) == nullptr)
    {
        return apply_result::refuse(error_kind::unknown_worker,
                                    "no worker " + placement.worker.value());
    }
    // A negative amount would release resources that other attempts reserve.
    if (!resources{}.fits_into(placement.committed) ||
        !workers.has_capacity(placement.worker, placement.committed))
    {
        return apply_result::refuse(
            error_kind::worker_busy,
            "worker " + placement.worker.value() +
                " does not have enough free resources for the attempt");
    }
    auto& tasks = job.record.tasks;
    while (tasks.size() <= id.index.value())
    {
        job.requeued.insert(
            task_index{static_cast<std::uint32_t>(tasks.size())});
        tasks.emplace_back();
    }
    auto& record = tasks[id.index.value()];
    record.state = task_state::placed;
    record.attempt = placement.attempt.number;
    record.worker = placement.worker;
    record.committed = placement.committed;
    job.requeued.erase(id.index);
    job.placed.insert(id.index);
    ++job.record.counts.placed;
    job.record.counts.waiting -= task_count{1};
    if (job.record.counts.waiting == task_count{0})
    {
        waiting_jobs_.erase(job.record.submitted);
    }
    workers.commit(placement.worker, {placement.customer, placement.attempt},
                   placement.committed);
    count_usage(job.record, placement.committed, 1);
    return answer_at(at);
}

auto job_table::apply(end_attempt const& ended, revision at,
                      worker_registry& workers) -> apply_result
{
    auto const& id = ended.attempt.task;
    job_key const key{ended.customer, id.job};
    auto const found = jobs_.find(key);
    if (found == jobs_.end())
    {
        return refuse_unknown_job(id.job);
    }
    auto& job = found->second;
    auto& tasks = job.record.tasks;
    if (id.index.value() >= tasks.size() ||
        tasks[id.index.value()].state != task_state::placed ||
        tasks[id.index.value()].attempt != ended.attempt.number)
    {
        return refuse_stale(ended.attempt,
                            "the attempt is not the current one");
    }
    auto& task = tasks[id.index.value()];
    workers.release(task.worker, {ended.customer, ended.attempt},
                    task.committed);
    count_usage(job.record, task.committed, -1);
    task.committed = {};
    if (ended.checkpoint)
    {
        task.checkpoint = ended.checkpoint;
    }
    if (ended.how == attempt_end::failed)
    {
        ++task.failures;
    }
    task.state = state_after(ended, task, job.record.cancelled_at.has_value());
    job.placed.erase(id.index);
    job.record.counts.placed -= task_count{1};
    ++count_of(job.record.counts, task.state);
    if (task.state == task_state::waiting)
    {
        job.requeued.insert(id.index);
        waiting_jobs_.emplace(job.record.submitted, key);
    }
    retain_if_ended(key, job);
    return answer_at(at);
}

auto job_table::retain_if_ended(job_key const& key, job_entry& it) -> void
{
    if (is_final(it.record.state()))
    {
        retain_ended(key, it);
    }
}

auto job_table::retain_ended(job_key const& key, job_entry const& it) -> void
{
    ended_.push_back(key);
    ended_tasks_ += static_cast<std::size_t>(it.record.spec.tasks.value());
    ended_payload_ += it.record.spec.payload.size();
    while (ended_tasks_ > config::max_ended_tasks ||
           ended_payload_ > config::max_ended_payload_bytes)
    {
        auto const oldest = jobs_.find(ended_.front());
        auto const& spec = oldest->second.record.spec;
        ended_tasks_ -= static_cast<std::size_t>(spec.tasks.value());
        ended_payload_ -= spec.payload.size();
        jobs_.erase(oldest);
        ended_.pop_front();
    }
}

auto job_table::find(customer_id const& customer, job_id const& id) const
    -> job_record const*
{
    auto const it = jobs_.find({customer, id});
    return it == jobs_.end() ? nullptr : &it->second.record;
}

auto job_table::placed(customer_id const& customer, job_id const& id) const
    -> std::vector<task_index>
{
    auto const it = jobs_.find({customer, id});
    return it == jobs_.end()
               ? std::vector<task_index>{}
               : std::vector<task_index>{it->second.placed.begin(),
                                         it->second.placed.end()};
}

auto job_table::usage(customer_id const& customer) const -> batch_usage
{
    auto const it = usage_.find(customer);
    return it == usage_.end() ? batch_usage{} : it->second;
}

auto job_table::snapshot() const -> jobs_snapshot
{
    jobs_snapshot taken;
    for (auto const& [key, it] : jobs_)
    {
        if (!is_final(it.record.state()))
        {
            taken.active.push_back(it.record);
        }
    }
    for (auto const& key : ended_)
    {
        taken.ended.push_back(jobs_.at(key).record);
    }
    return taken;
}

} // namespace apricotlb
