// Placement of waiting work, the tick and explanations.
#include "core/scheduling/scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

using namespace scheduler_detail;

auto scheduler::tick(time_point now, random_bits random) -> void
{
    check_workers(now);
    run_guard(now);
    for (auto const task : leases_.expired(now))
    {
        auto const slot = task_of(task).slot;
        if (slot == no_slot || attempt_at(slot).end_proposed)
        {
            continue;
        }
        auto& it = attempt_at(slot);
        auto const how =
            it.ours && !it.sent ? attempt_end::not_started : attempt_end::lost;
        propose_end(it, how, std::nullopt, false);
    }
    while (!repeats_.empty() && repeats_.front().due <= now)
    {
        auto const next = repeats_.front();
        repeats_.pop_front();
        auto& it = attempt_at(next.slot);
        if (it.task == next.task && it.number == next.number && it.pending)
        {
            it.pending = false;
            send_due(next.slot, now);
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
    if (now - last_wake_ >= config::max_wake_interval ||
        (freed_ && now - last_wake_ >= config::min_wake_interval))
    {
        last_wake_ = now;
        freed_ = false;
        is_short_ = false;
        queue_.wake();
    }
    std::erase_if(holds_,
                  [&](auto const& it)
                  {
                      auto const ended = now >= it.second.until;
                      if (ended)
                      {
                          placement_.set_held(it.second.worker, false);
                      }
                      return ended;
                  });
    failed_needs_.clear();
    auto state = random.value();
    auto const held = [this](customer_ref customer)
    {
        return dominant_share(commitments_.use_of(customer).all,
                              commitments_.whole());
    };
    std::size_t failures = 0;
    for (std::size_t n = 0; n < config::max_placements_per_tick; ++n)
    {
        auto const pick = queue_.next(held);
        if (!pick || failures >= config::max_failed_tries_per_tick)
        {
            return;
        }
        auto const why = try_place(*pick, now, random_bits{next_random(state)});
        jobs_[pos(pick->item.job)].why = why;
        if (why == task_reason::recording)
        {
            queue_.progressed(pick->item, now);
            requeue(pick->item.job, pick->item.demoted, now);
            continue;
        }
        ++failures;
        if (why == task_reason::no_capacity &&
            jobs_[pos(pick->item.job)].spec.kind != job_class::service)
        {
            is_short_ = true;
        }
        queue_.put_aside(pick->item);
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
    auto const run_time = work_.run_time(kind, permille{500});
    auto const headroom = run_time && *run_time <= config::max_short_run_time
                              ? config::short_work_headroom
                              : config::placement_headroom;
    for (auto const& it : workers_[pos(worker)].services)
    {
        if (now - it.seen > config::max_measurement_age)
        {
            continue;
        }
        auto const pair = interference_.estimate(kind, it.service, now);
        cost.slowdown += pair.slowdown;
        if (forced)
        {
            continue;
        }
        auto const& terms = customers_[pos(it.customer)].terms;
        auto const all = interference_.expected(worker, it.service, now, true) +
                         pair.slowdown;
        auto const base = interference_.undisturbed(it.service).count();
        auto const after = base * (1000 + all.value()) / 1000;
        auto const is_over =
            terms &&
            after * 1000 > terms->urgent_latency.count() * headroom.value();
        auto const is_second_trial =
            !pair.trusted &&
            interference_.has_untrusted(worker, it.service, now);
        if ((is_over && pair.slowdown > config::negligible_slowdown) ||
            is_second_trial ||
            (guard_.is_throttled(worker) &&
             (!pair.trusted || pair.slowdown >= config::harmful_slowdown)))
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
                          ? work_.size(job.kind, job.spec.each)
                          : job.spec.each;
    if (!is_service)
    {
        auto const use = commitments_.use_of(pick.customer);
        auto wanted = use.batch;
        wanted += need;
        if (!need.fits_into(terms->batch.total))
        {
            return task_reason::too_large;
        }
        if (!wanted.fits_into(terms->batch.total) ||
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
        job.running >= config::max_suspect_job_tasks)
    {
        return task_reason::failing_job;
    }
    auto const hold = holds_.find(pick.item);
    auto const dominated = std::ranges::any_of(
        failed_needs_, [&](resources const& it) { return it.fits_into(need); });
    if (dominated && hold == holds_.end())
    {
        return task_reason::no_capacity;
    }
    auto& lane = job.waiting[pick.item.demoted ? 1 : 0];
    task_ref const task{pick.item.job, lane.back()};
    auto const has_waited = now - pick.since >= config::hold_delay;
    auto const forced = is_service || (pick.floor && has_waited);
    placement_request request;
    request.customer = pick.customer;
    request.need = need;
    request.vm_share = terms->vm_share;
    request.straggler = policy_.demotion && pick.item.demoted;
    request.avoid = health_.failed_on(task);
    request.same_job = job.racks;
    if (hold != holds_.end())
    {
        request.held_for_it = hold->second.worker;
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
            request.avoid.empty())
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
    lane.pop_back();
    drop_hold(pick.item);
    attempt_entry entry;
    entry.task = task;
    entry.number = task_of(task).attempt + attempt_number{1};
    entry.worker = choice.worker;
    entry.committed = need;
    entry.ours = true;
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
    auto most = -1.0;
    for (std::size_t n = 0; n < config::placement_tries; ++n)
    {
        auto const worker = order[next_random(state) % order.size()];
        auto const& it = workers_[pos(worker)];
        auto ever = it.info.capacity;
        ever -= it.pinned;
        if (!placement_.is_open(worker) || placement_.is_held(worker) ||
            !need.fits_into(ever) ||
            !need.fits_into(share_of(it.info.capacity, share)))
        {
            continue;
        }
        auto const free =
            dominant_share(commitments_.free(worker), it.info.capacity);
        if (free > most)
        {
            most = free;
            best = worker;
        }
    }
    if (best != no_worker)
    {
        placement_.set_held(best, true);
        holds_[pick.item] = {best, now + config::max_hold_time};
    }
}

auto scheduler::drop_hold(queue_item item) -> void
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
                    "task: unknown, or its job ended long ago");
    }
    auto const& job = jobs_[pos(task->job)];
    auto const& entry = job.tasks[task->index.value()];
    auto const& terms = customers_[pos(job.customer)].terms;
    explanation it;
    it.state = entry.state;
    it.attempt = entry.attempt;
    it.declared = job.spec.each;
    it.needed = policy_.learned_sizes && job.spec.kind != job_class::service
                    ? work_.size(job.kind, job.spec.each)
                    : job.spec.each;
    if (entry.slot != no_slot)
    {
        auto const& attempt = attempts_[pos(entry.slot)];
        it.worker = worker_ids_.id(attempt.worker);
        it.needed = attempt.committed;
        it.candidates = task_count{attempt.candidates};
        it.slowdown = attempt.slowdown;
        it.reason =
            attempt.wish == attempt_wish::stop ? task_reason::stopping
            : attempt.wish == attempt_wish::checkpoint
                ? task_reason::checkpointing
            : attempt.phase == attempt_phase::proposed ? task_reason::recording
            : attempt.phase == attempt_phase::placed   ? task_reason::starting
                                                       : task_reason::running;
    }
    else if (entry.state == task_state::waiting)
    {
        it.reason = !terms ? task_reason::no_contract
                    : job.why == task_reason::recording
                        ? task_reason::waiting_for_turn
                        : job.why;
    }
    else
    {
        it.reason = task_reason::ended;
    }
    it.moved = entry.moved;
    if (entry.moved != move_reason::none && entry.moved_from != no_worker)
    {
        it.moved_from = worker_ids_.id(entry.moved_from);
        it.measured = milliseconds{entry.moved_measured};
        it.limit = milliseconds{entry.moved_limit};
    }
    it.contract_line = contract_line(terms, it.reason, it.moved);
    return it;
}

auto scheduler::free_on(worker_id const& it) const -> std::optional<resources>
{
    auto const worker = worker_ids_.find(it);
    return worker ? std::optional{commitments_.free(*worker)} : std::nullopt;
}

auto scheduler::slowdown(work_kind const& kind, service_name const& service,
                         time_point now) const -> pair_estimate
{
    auto const k = kind_ids_.find(kind);
    auto const s = service_ids_.find(service);
    return k && s ? interference_.estimate(*k, *s, now)
                  : pair_estimate{config::default_slowdown, false};
}

} // namespace apricotlb
