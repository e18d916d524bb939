// The periodic tick, placement of waiting tasks, and explanations.
#include "core/scheduling/scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

using namespace scheduler_detail;

auto scheduler::tick(time_point now, random_bits random) -> void
{
    check_workers(now);
    run_guard(now);
    for (auto const task : leases_.take_expired(now))
    {
        auto const slot = task_of(task).slot;
        if (slot == no_slot || attempt_at(slot).end_proposed)
        {
            continue;
        }
        auto& attempt = attempt_at(slot);
        auto const end = attempt.proposed_here && !attempt.start_sent
                             ? attempt_end::not_started
                             : attempt_end::lost;
        propose_end(attempt, end, std::nullopt, false);
    }
    while (!repeats_.empty() && repeats_.front().due <= now)
    {
        auto const repeat = repeats_.front();
        repeats_.pop_front();
        auto& attempt = attempt_at(repeat.slot);
        if (attempt.task == repeat.task && attempt.number == repeat.number &&
            attempt.is_repeat_scheduled)
        {
            attempt.is_repeat_scheduled = false;
            send_pending_command(repeat.slot, now);
        }
    }
    dispatch(now, random);
    if (now - last_save_ >= config::interference_save_interval)
    {
        last_save_ = now;
        auto all = interference_.summary(kind_ids_, service_ids_, now);
        if (!all.empty())
        {
            std::ranges::sort(all, std::greater{},
                              &interference_entry::samples);
            all.resize(std::min(all.size(), config::max_saved_pairs));
            actions_.emplace_back(propose{save_interference{std::move(all)}});
        }
    }
}

auto scheduler::dispatch(time_point now, random_bits random) -> void
{
    // While items that fail take up the tries, the round has not reached those
    // behind them.
    auto const wake_interval =
        capacity_freed_ ? config::min_wake_interval : config::max_wake_interval;
    if (!is_round_cut_ && now - last_resume_ >= wake_interval)
    {
        last_resume_ = now;
        capacity_freed_ = false;
        is_capacity_short_ = false;
        queue_.resume_deferred();
    }
    std::erase_if(holds_,
                  [&](auto const& it)
                  {
                      auto const is_over =
                          now >= it.second.until ||
                          !placement_.is_open(it.second.worker);
                      if (is_over)
                      {
                          placement_.set_held(it.second.worker, false);
                      }
                      return is_over;
                  });
    failed_needs_.clear();
    auto state = random.value();
    auto const held_share = [this](customer_ref customer)
    {
        return dominant_share(commitments_.use_of(customer).total,
                              commitments_.total_capacity());
    };
    std::size_t failures = 0;
    is_round_cut_ = false;
    for (std::size_t decision = 0; decision < config::max_placements_per_tick;
         ++decision)
    {
        auto const pick = queue_.next(held_share);
        is_round_cut_ = pick && failures >= config::max_failed_tries_per_tick;
        if (!pick || is_round_cut_)
        {
            return;
        }
        auto const reason =
            try_place(*pick, now, random_bits{next_random(state)});
        jobs_[pos(pick->item.job)].reason = reason;
        if (reason == task_reason::recording)
        {
            queue_.reset_wait(pick->item, now);
            requeue(pick->item.job, pick->item.demoted, now);
            continue;
        }
        ++failures;
        if (reason == task_reason::no_capacity &&
            jobs_[pos(pick->item.job)].spec.kind != job_class::service)
        {
            is_capacity_short_ = true;
        }
        queue_.defer(pick->item);
    }
}

auto scheduler::cost_on(worker_ref worker, kind_ref kind, bool forced,
                        time_point now) const -> interference_cost
{
    interference_cost cost;
    if (!policy_.interference)
    {
        return cost;
    }
    auto const run_time = work_.run_time_quantile(kind, permille{500});
    auto const headroom = run_time && *run_time <= config::max_short_run_time
                              ? config::short_work_headroom
                              : config::placement_headroom;
    for (auto const& hosted : workers_[pos(worker)].services)
    {
        if (now - hosted.last_report > config::max_measurement_age)
        {
            continue;
        }
        auto const pair = interference_.estimate(kind, hosted.service, now);
        cost.slowdown += pair.slowdown;
        if (forced)
        {
            continue;
        }
        auto const& terms = customers_[pos(hosted.customer)].terms;
        auto const total_slowdown =
            interference_.expected_slowdown(worker, hosted.service, now, true) +
            pair.slowdown;
        auto const baseline =
            interference_.baseline_latency(hosted.service).count();
        auto const expected_latency =
            baseline * (1000 + total_slowdown.value()) / 1000;
        auto const is_over =
            terms && expected_latency * 1000 >
                         terms->urgent_latency.count() * headroom.value();
        auto const is_second_trial =
            !pair.is_reliable &&
            interference_.has_unreliable_pair(worker, hosted.service, now);
        if ((is_over && pair.slowdown > config::negligible_slowdown) ||
            is_second_trial ||
            (guard_.is_throttled(worker) &&
             (!pair.is_reliable || pair.slowdown >= config::harmful_slowdown)))
        {
            cost.rejected = true;
        }
    }
    return cost;
}

auto scheduler::try_place(queue_pick const& pick, time_point now,
                          random_bits random) -> task_reason
{
    auto& job = jobs_[pos(pick.item.job)];
    auto const& terms = customers_[pos(pick.customer)].terms;
    if (!terms)
    {
        return task_reason::no_contract;
    }
    auto const is_service = job.spec.kind == job_class::service;
    auto const need = policy_.learned_sizes && !is_service
                          ? work_.resources_for(job.kind, job.spec.each)
                          : job.spec.each;
    if (!is_service)
    {
        auto const use = commitments_.use_of(pick.customer);
        auto batch_total = use.batch;
        batch_total += need;
        if (!need.fits_into(terms->batch.total))
        {
            return task_reason::too_large;
        }
        if (!batch_total.fits_into(terms->batch.total) ||
            use.batch_tasks >= terms->batch.tasks)
        {
            return task_reason::allowance_used;
        }
    }
    if (!placement_.fits_any(need, terms->vm_share))
    {
        return task_reason::too_large;
    }
    if (health_.is_suspect(pick.item.job) &&
        job.running_tasks >= config::max_suspect_job_tasks)
    {
        return task_reason::failing_job;
    }
    auto const hold = holds_.find(pick.item);
    auto const has_waited = now - pick.since >= config::hold_delay;
    auto const is_dominated = std::ranges::any_of(
        failed_needs_, [&](resources const& it) { return it.fits_into(need); });
    if (is_dominated && hold == holds_.end())
    {
        if (has_waited)
        {
            hold_worker(pick, need, terms->vm_share, now, random);
        }
        return task_reason::no_capacity;
    }
    auto& waiting = job.waiting[pick.item.demoted ? 1 : 0];
    task_ref const task{pick.item.job, waiting.back()};
    auto const forced = is_service || (pick.is_oldest && has_waited);
    placement_request request;
    request.customer = pick.customer;
    request.need = need;
    request.vm_share = terms->vm_share;
    request.is_straggler = policy_.demotion && pick.item.demoted;
    // The task returns to a worker on which it failed if no other one is large
    // enough.
    auto const failed_on = health_.failed_on(task);
    if (placement_.fits_any(need, terms->vm_share, failed_on))
    {
        request.excluded = failed_on;
    }
    request.sibling_racks = job.racks;
    if (hold != holds_.end())
    {
        request.held_worker = hold->second.worker;
    }
    auto const choice = placement_.choose(
        request, commitments_, random,
        [&](worker_ref worker)
        {
            return is_service ? interference_cost{}
                              : cost_on(worker, job.kind, forced, now);
        });
    if (choice.verdict != placement_verdict::chosen)
    {
        ++counters_.failed_searches;
        if (choice.verdict == placement_verdict::no_capacity &&
            request.excluded.empty())
        {
            failed_needs_.push_back(need);
        }
        if (has_waited && hold == holds_.end() &&
            choice.verdict == placement_verdict::no_capacity)
        {
            hold_worker(pick, need, terms->vm_share, now, random);
        }
        switch (choice.verdict)
        {
        case placement_verdict::interference:
            return task_reason::interference;
        case placement_verdict::share_used:
            return task_reason::share_used;
        case placement_verdict::last_capacity:
            return task_reason::last_capacity;
        default:
            return task_reason::no_capacity;
        }
    }
    waiting.pop_back();
    release_hold(pick.item);
    attempt_entry entry;
    entry.task = task;
    entry.number = task_of(task).attempt + attempt_number{1};
    entry.worker = choice.worker;
    entry.committed = need;
    entry.proposed_here = true;
    entry.slowdown = choice.slowdown;
    entry.candidates = choice.candidates;
    auto const slot = add_attempt(entry, now);
    refresh_worker(choice.worker, now);
    ++counters_.placements;
    actions_.emplace_back(
        propose{place_task{job.spec.customer, id_of(attempt_at(slot)),
                           workers_[pos(choice.worker)].info.id, need}});
    return task_reason::recording;
}

auto scheduler::hold_worker(queue_pick const& pick, resources const& need,
                            permille share, time_point now, random_bits random)
    -> void
{
    auto const order = placement_.order();
    auto const limit = std::max<std::size_t>(
        1, order.size() *
               static_cast<std::size_t>(config::max_held_workers.value()) /
               1000);
    if (order.empty() || holds_.size() >= limit)
    {
        return;
    }
    auto state = random.value();
    auto best = no_worker;
    auto largest_free = -1.0;
    for (std::size_t n = 0; n < config::placement_tries; ++n)
    {
        auto const worker = order[next_random(state) % order.size()];
        auto const& it = workers_[pos(worker)];
        auto max_free = it.info.capacity;
        max_free -= it.pinned;
        if (!placement_.is_open(worker) || placement_.is_held(worker) ||
            !need.fits_into(max_free) ||
            !need.fits_into(share_of(it.info.capacity, share)))
        {
            continue;
        }
        auto const free =
            dominant_share(commitments_.free(worker), it.info.capacity);
        if (free > largest_free)
        {
            largest_free = free;
            best = worker;
        }
    }
    if (best != no_worker)
    {
        placement_.set_held(best, true);
        holds_[pick.item] = {best, now + config::max_hold_time};
    }
}

auto scheduler::release_hold(queue_item item) -> void
{
    auto const it = holds_.find(item);
    if (it != holds_.end())
    {
        placement_.set_held(it->second.worker, false);
        holds_.erase(it);
    }
}

auto scheduler::explain(customer_id const& customer, task_id const& id) const
    -> result<explanation>
{
    auto const task = find_task(customer, id);
    if (!task)
    {
        return fail(error_kind::not_found,
                    "task not found: unknown id, or its job has been removed");
    }
    auto const& job = jobs_[pos(task->job)];
    auto const& entry = job.tasks[task->index.value()];
    auto const& terms = customers_[pos(job.customer)].terms;
    explanation explained;
    explained.state = entry.state;
    explained.attempt = entry.attempt;
    explained.declared = job.spec.each;
    explained.needed =
        policy_.learned_sizes && job.spec.kind != job_class::service
            ? work_.resources_for(job.kind, job.spec.each)
            : job.spec.each;
    if (entry.slot != no_slot)
    {
        auto const& attempt = attempts_[pos(entry.slot)];
        explained.worker = worker_ids_.id(attempt.worker);
        explained.needed = attempt.committed;
        explained.candidates = task_count{attempt.candidates};
        explained.slowdown = attempt.slowdown;
        explained.reason =
            attempt.requested_end == end_request::stop ? task_reason::stopping
            : attempt.requested_end == end_request::checkpoint
                ? task_reason::checkpointing
            : attempt.phase == attempt_phase::proposed ? task_reason::recording
            : attempt.phase == attempt_phase::placed   ? task_reason::starting
                                                       : task_reason::running;
    }
    else if (entry.state == task_state::waiting)
    {
        explained.reason = !terms ? task_reason::no_contract
                           : job.reason == task_reason::recording
                               ? task_reason::waiting_for_turn
                               : job.reason;
    }
    else
    {
        explained.reason = task_reason::ended;
    }
    explained.moved = entry.moved;
    if (entry.moved != move_reason::none && entry.moved_from != no_worker)
    {
        explained.moved_from = worker_ids_.id(entry.moved_from);
        explained.measured = milliseconds{entry.moved_measured_ms};
        explained.limit = milliseconds{entry.moved_limit_ms};
    }
    explained.contract_line =
        contract_line(terms, explained.reason, explained.moved);
    return explained;
}

auto scheduler::free_on(worker_id const& it) const -> std::optional<resources>
{
    auto const worker = worker_ids_.find(it);
    return worker ? std::optional{commitments_.free(*worker)} : std::nullopt;
}

auto scheduler::slowdown(work_kind const& kind, service_name const& service,
                         time_point now) const -> pair_estimate
{
    auto const kind_index = kind_ids_.find(kind);
    auto const service_index = service_ids_.find(service);
    return kind_index && service_index
               ? interference_.estimate(*kind_index, *service_index, now)
               : pair_estimate{config::default_slowdown, false};
}

} // namespace apricotlb
