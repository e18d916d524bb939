// Events applied from the log, and look-ups.
#include "core/scheduling/scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

using namespace scheduler_detail;

namespace
{

auto is_final(task_state it) -> bool
{
    return it != task_state::waiting && it != task_state::placed;
}

} // namespace

scheduler::scheduler(scheduler_policy policy)
    : policy_(policy), guard_(policy.throttle)
{
}

auto scheduler::take_actions() -> std::vector<scheduler_action>
{
    return std::exchange(actions_, {});
}

auto scheduler::find_job(customer_id const& customer, job_id const& job) const
    -> std::optional<job_ref>
{
    auto const owner = customer_ids_.find(customer);
    if (!owner)
    {
        return std::nullopt;
    }
    auto const& all = customers_[pos(*owner)].jobs;
    auto const it = all.find(job);
    return it == all.end() ? std::nullopt : std::optional{it->second};
}

auto scheduler::find_task(customer_id const& customer,
                          task_id const& task) const -> std::optional<task_ref>
{
    auto const job = find_job(customer, task.job);
    if (!job || task.index.value() >= jobs_[pos(*job)].tasks.size())
    {
        return std::nullopt;
    }
    return task_ref{*job, task.index};
}

auto scheduler::id_of(attempt_entry const& it) const -> attempt_id
{
    return {{jobs_[pos(it.task.job)].spec.id, it.task.index}, it.number};
}

auto scheduler::customer_of(attempt_entry const& it) const -> customer_id const&
{
    return jobs_[pos(it.task.job)].spec.customer;
}

// --- Applied events -------------------------------------------------------

auto scheduler::contract_set(contract const& it, time_point) -> void
{
    auto const customer = customer_ids_.ref(it.customer);
    get_or_grow(customers_, customer).terms = it;
    queue_.set_weight(customer, it.vm_share);
    capacity_freed_ = true;
}

auto scheduler::contract_removed(customer_id const& it, time_point) -> void
{
    if (auto const customer = customer_ids_.find(it))
    {
        customers_[pos(*customer)].terms.reset();
        queue_.set_weight(*customer, std::nullopt);
    }
}

auto scheduler::worker_registered(worker_info const& it, time_point now) -> void
{
    auto const worker = worker_ids_.ref(it.id);
    auto& entry = get_or_grow(workers_, worker);
    entry.info = it;
    entry.registered = true;
    commitments_.set_capacity(worker, it.capacity);
    placement_.add(worker, zone_ids_.ref(it.zone), rack_ids_.ref(it.rack),
                   it.capacity);
    placement_.set_free(worker, commitments_.free(worker));
    health_.remove(worker);
    health_.set_worker_count(placement_.size());
    refresh_worker(worker, now);
    capacity_freed_ = true;
}

auto scheduler::worker_retired(worker_id const& it, time_point now) -> void
{
    auto const worker = worker_ids_.find(it);
    if (!worker || !workers_[pos(*worker)].registered)
    {
        return;
    }
    auto& entry = workers_[pos(*worker)];
    entry.registered = false;
    placement_.set_open(*worker, false);
    placement_.remove(*worker);
    commitments_.set_capacity(*worker, {});
    health_.remove(*worker);
    health_.set_worker_count(placement_.size());
    auto const running = entry.attempts;
    for (auto const slot : running)
    {
        request_end(slot, end_request::checkpoint, move_reason::worker_retired,
                    now);
    }
}

auto scheduler::job_submitted(job_spec const& spec, time_point now) -> void
{
    auto const customer = customer_ids_.ref(spec.customer);
    if (get_or_grow(customers_, customer).jobs.contains(spec.id))
    {
        return;
    }
    auto ref = job_ref{static_cast<std::uint32_t>(jobs_.size())};
    if (free_jobs_.empty())
    {
        jobs_.emplace_back();
    }
    else
    {
        ref = free_jobs_.back();
        free_jobs_.pop_back();
    }
    customers_[pos(customer)].jobs.emplace(spec.id, ref);
    auto& job = jobs_[pos(ref)];
    job.spec = spec;
    job.customer = customer;
    job.kind = kind_ids_.ref(spec.work);
    job.order = next_order_++;
    job.tasks.resize(static_cast<std::size_t>(spec.tasks.value()));
    job.open_tasks = static_cast<std::uint32_t>(job.tasks.size());
    auto& waiting = job.waiting[0];
    waiting.reserve(job.tasks.size());
    for (auto n = job.open_tasks; n > 0; --n)
    {
        waiting.emplace_back(n - 1); // tasks are taken from the back
    }
    requeue(ref, false, now);
}

auto scheduler::job_cancelled(customer_id const& customer, job_id const& job,
                              time_point now) -> void
{
    auto const ref = find_job(customer, job);
    if (!ref || jobs_[pos(*ref)].cancelled)
    {
        return;
    }
    jobs_[pos(*ref)].cancelled = true;
    for (auto& waiting : jobs_[pos(*ref)].waiting)
    {
        waiting.clear();
    }
    for (auto const demoted : {false, true})
    {
        queue_.remove({*ref, demoted});
        release_hold({*ref, demoted});
    }
    auto const task_total = jobs_[pos(*ref)].tasks.size();
    for (std::uint32_t index = 0; index < task_total; ++index)
    {
        task_ref const task{*ref, task_index{index}};
        auto const& entry = task_of(task);
        if (entry.slot != no_slot)
        {
            request_end(entry.slot, end_request::stop, move_reason::cancelled,
                        now);
        }
        else if (entry.state == task_state::waiting)
        {
            make_final(task, task_state::cancelled);
        }
    }
}

auto scheduler::attempt_placed(place_task const& placed, time_point now) -> void
{
    auto const task = find_task(placed.customer, placed.attempt.task);
    if (!task)
    {
        return;
    }
    auto slot = task_of(*task).slot;
    if (slot == no_slot)
    {
        // Placed by an earlier leader; the worker may already run the attempt.
        auto& job = job_of(*task);
        for (auto const demoted : {false, true})
        {
            std::erase(job.waiting[demoted ? 1 : 0], task->index);
            requeue(task->job, demoted, now);
        }
        attempt_entry entry;
        entry.task = *task;
        entry.number = placed.attempt.number;
        entry.worker = worker_ids_.ref(placed.worker);
        entry.committed = placed.committed;
        get_or_grow(workers_, entry.worker);
        slot = add_attempt(entry, now);
    }
    auto& attempt = attempt_at(slot);
    if (attempt.number != placed.attempt.number ||
        attempt.phase != attempt_phase::proposed)
    {
        return;
    }
    attempt.phase = attempt_phase::placed;
    task_of(*task).state = task_state::placed;
    leases_.grant(*task, now);
    if (job_of(*task).cancelled && attempt.requested_end == end_request::none)
    {
        attempt.requested_end = end_request::stop;
        attempt.end_reason = move_reason::cancelled;
    }
    send_pending_command(slot, now);
}

auto scheduler::attempt_ended(end_attempt const& ended, time_point now) -> void
{
    auto const task = find_task(ended.customer, ended.attempt.task);
    if (!task)
    {
        return;
    }
    auto& entry = task_of(*task);
    if (entry.slot == no_slot ||
        attempt_at(entry.slot).number != ended.attempt.number)
    {
        return;
    }
    auto& job = job_of(*task);
    auto const attempt = attempt_at(entry.slot);
    auto const ran = attempt.phase == attempt_phase::running
                         ? now - attempt.started
                         : duration{};
    remove_attempt(entry.slot, now);
    if (ended.checkpoint)
    {
        entry.checkpoint = std::make_unique<checkpoint_id>(*ended.checkpoint);
        entry.attained += ran;
    }
    switch (ended.how)
    {
    case attempt_end::finished:
        if (job.spec.kind == job_class::batch)
        {
            work_.add_run_time(job.kind, entry.attained + ran);
        }
        make_final(*task, task_state::finished);
        return;
    case attempt_end::failed:
        entry.moved = move_reason::failed;
        break;
    case attempt_end::lost:
        entry.moved = move_reason::lease_expired;
        ++counters_.lost;
        break;
    case attempt_end::not_started:
        entry.moved = move_reason::not_started;
        break;
    case attempt_end::checkpointed:
    case attempt_end::stopped:
        entry.moved = attempt.end_reason;
        break;
    }
    entry.moved_from = attempt.worker;
    if (ended.give_up)
    {
        ++counters_.given_up;
        make_final(*task, task_state::failed);
    }
    else if (job.cancelled)
    {
        make_final(*task, task_state::cancelled);
    }
    else
    {
        make_waiting(*task, now);
    }
}

auto scheduler::task_restored(restored_task const& restored, time_point now)
    -> void
{
    auto const task = find_task(restored.customer, restored.task);
    if (!task)
    {
        return;
    }
    auto& entry = task_of(*task);
    entry.attempt = restored.attempts;
    if (restored.checkpoint)
    {
        entry.checkpoint =
            std::make_unique<checkpoint_id>(*restored.checkpoint);
    }
    // Evictions are not recorded in the log. A task with more than one attempt
    // may have been evicted just before the election, so its protection from
    // another eviction (min_watch_eviction_interval) begins now.
    if (restored.attempts > attempt_number{1})
    {
        entry.last_eviction = now;
    }
    if (is_final(restored.state) && !is_final(entry.state))
    {
        std::erase(job_of(*task).waiting[0], task->index);
        make_final(*task, restored.state);
        if (jobs_[pos(task->job)].open_tasks > 0)
        {
            requeue(task->job, false, now);
        }
    }
}

auto scheduler::interference_restored(
    std::span<interference_entry const> entries, time_point now) -> void
{
    for (auto const& it : entries)
    {
        interference_.restore(kind_ids_.ref(it.batch),
                              service_ids_.ref(it.service), it.slowdown,
                              it.samples, now);
    }
}

auto scheduler::proposal_refused(command const& refused, time_point now) -> void
{
    if (auto const* it = std::get_if<place_task>(&refused))
    {
        auto const task = find_task(it->customer, it->attempt.task);
        if (!task || task_of(*task).slot == no_slot)
        {
            return;
        }
        auto const slot = task_of(*task).slot;
        if (attempt_at(slot).number != it->attempt.number ||
            attempt_at(slot).phase != attempt_phase::proposed)
        {
            return;
        }
        remove_attempt(slot, now);
        auto& entry = task_of(*task);
        entry.attempt -= attempt_number{1};
        job_of(*task).cancelled ? make_final(*task, task_state::cancelled)
                                : make_waiting(*task, now);
    }
    else if (auto const* end = std::get_if<end_attempt>(&refused))
    {
        // Allows another proposal: the worker repeats its report of the end,
        // and an expired lease is returned again.
        auto const task = find_task(end->customer, end->attempt.task);
        if (task && task_of(*task).slot != no_slot &&
            attempt_at(task_of(*task).slot).number == end->attempt.number)
        {
            attempt_at(task_of(*task).slot).end_proposed = false;
        }
    }
}

} // namespace apricotlb
