// Commands to workers, their reports, and the guard.
#include "core/scheduling/scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

using namespace scheduler_detail;

// --- Commands -------------------------------------------------------------

auto scheduler::send_start(attempt_entry& it, time_point now) -> void
{
    auto const& worker = workers_[pos(it.worker)];
    // The lease counts from the latest report. Without a recent one the worker
    // may have failed.
    if (!worker.has_reported ||
        now - worker.last_report > config::worker_report_timeout)
    {
        return;
    }
    if (!it.start_sent)
    {
        it.start_sent = true;
        it.start_first_sent = now;
    }
    if (now - it.start_first_sent >= config::task_lease)
    {
        return; // not confirmed in time; the lease expires
    }
    leases_.grant(it.task, now);
    auto const& job = job_of(it.task);
    auto const& task = task_of(it.task);
    actions_.emplace_back(send_command{
        worker.info.id, worker.info.address,
        start_attempt{
            job.spec.customer, id_of(it), job.spec.kind, job.spec.work,
            it.committed, job.spec.payload,
            task.checkpoint ? std::optional{*task.checkpoint} : std::nullopt,
            worker.last_report_number,
            std::chrono::duration_cast<milliseconds>(config::task_lease)}});
}

auto scheduler::send_pending_command(attempt_slot slot, time_point now) -> void
{
    auto& attempt = attempt_at(slot);
    if (attempt.end_proposed || attempt.phase == attempt_phase::proposed)
    {
        return;
    }
    auto const& worker = workers_[pos(attempt.worker)];
    auto const is_unstarted =
        attempt.phase == attempt_phase::placed && !attempt.start_sent;
    if (is_unstarted && attempt.proposed_here &&
        attempt.requested_end != end_request::none)
    {
        propose_end(attempt, attempt_end::not_started, std::nullopt, false);
        return;
    }
    auto const send = [&](worker_command value)
    {
        actions_.emplace_back(send_command{worker.info.id, worker.info.address,
                                           std::move(value)});
    };
    auto is_due = true;
    if (attempt.requested_end == end_request::stop)
    {
        send(stop_attempt{customer_of(attempt), id_of(attempt)});
    }
    else if (attempt.requested_end == end_request::checkpoint &&
             attempt.phase == attempt_phase::running)
    {
        send(checkpoint_attempt{customer_of(attempt), id_of(attempt)});
    }
    else if (attempt.phase == attempt_phase::placed)
    {
        send_start(attempt, now);
    }
    else if (attempt.requested_throttle != attempt.reported_throttle)
    {
        send(throttle_attempt{customer_of(attempt), id_of(attempt),
                              attempt.requested_throttle});
    }
    else
    {
        is_due = false;
    }
    if (is_due)
    {
        schedule_repeat(slot, now);
    }
}

auto scheduler::schedule_repeat(attempt_slot slot, time_point now) -> void
{
    auto& it = attempt_at(slot);
    if (!it.is_repeat_scheduled)
    {
        it.is_repeat_scheduled = true;
        repeats_.push_back(
            {now + config::command_retry_interval, slot, it.task, it.number});
    }
}

// --- Reports --------------------------------------------------------------

auto scheduler::on_report(worker_report const& report, time_point now)
    -> worker_report_answer
{
    worker_report_answer answer;
    answer.lease = std::chrono::duration_cast<milliseconds>(config::task_lease);
    auto const worker = worker_ids_.find(report.worker);
    if (!worker || pos(*worker) >= workers_.size())
    {
        for (auto const& running : report.running)
        {
            answer.stop.push_back({running.customer, running.attempt});
        }
        for (auto const& ended : report.ended)
        {
            answer.recorded.push_back({ended.customer, ended.attempt});
        }
        return answer;
    }
    auto& entry = workers_[pos(*worker)];
    if (!entry.has_reported || entry.last_report_number < report.number)
    {
        entry.has_reported = true;
        entry.last_report_number = report.number;
        entry.last_report = now;
        refresh_worker(*worker, now);
    }
    for (auto const& running : report.running)
    {
        on_running(*worker, running, now, answer);
    }
    for (auto const& ended : report.ended)
    {
        on_ended(*worker, ended, now, answer);
    }
    return answer;
}

auto scheduler::on_running(worker_ref worker, attempt_report const& report,
                           time_point now, worker_report_answer& answer) -> void
{
    auto const task = find_task(report.customer, report.attempt.task);
    auto const slot = task ? task_of(*task).slot : no_slot;
    if (slot == no_slot || attempt_at(slot).worker != worker ||
        attempt_at(slot).number != report.attempt.number ||
        attempt_at(slot).phase == attempt_phase::proposed)
    {
        answer.stop.push_back({report.customer, report.attempt});
        return;
    }
    auto& attempt = attempt_at(slot);
    auto const taken = now - report.age;
    if (attempt.phase == attempt_phase::placed)
    {
        attempt.phase = attempt_phase::running;
        attempt.started = now;
        if (attempt.requested_throttle == permille{1000} &&
            guard_.is_throttled(worker) &&
            job_of(*task).spec.kind != job_class::service &&
            is_harmful(worker, job_of(*task).kind, now))
        {
            attempt.requested_throttle = config::throttle_level;
            guard_.on_task_limited(worker, now);
        }
    }
    if (attempt.end_proposed || attempt.requested_end == end_request::stop)
    {
        // The lease is not renewed: the end is being recorded, or the job is
        // cancelled.
        answer.stop.push_back({report.customer, report.attempt});
        return;
    }
    leases_.grant(*task, now);
    answer.renewed.push_back({report.customer, report.attempt});
    if (report.throttled_to != attempt.reported_throttle)
    {
        attempt.reported_throttle = report.throttled_to;
        interference_.throttled(worker, *task, report.throttled_to, taken);
    }
    if (attempt.requested_throttle != attempt.reported_throttle ||
        attempt.requested_end == end_request::checkpoint)
    {
        schedule_repeat(slot, now);
    }
    work_.add_usage(job_of(*task).kind, report.used);
    if (policy_.demotion)
    {
        consider_demotion(slot, now);
    }
}

auto scheduler::on_ended(worker_ref worker, ended_report const& report,
                         time_point now, worker_report_answer& answer) -> void
{
    auto const task = find_task(report.customer, report.attempt.task);
    auto const slot = task ? task_of(*task).slot : no_slot;
    if (slot == no_slot || attempt_at(slot).worker != worker ||
        attempt_at(slot).number != report.attempt.number)
    {
        // The log already contains this end or a later attempt.
        answer.recorded.push_back({report.customer, report.attempt});
        return;
    }
    auto& attempt = attempt_at(slot);
    if (attempt.end_proposed || attempt.phase == attempt_phase::proposed)
    {
        return; // acknowledged as recorded after the log has applied it
    }
    auto give_up = false;
    if (report.how == attempt_end::failed)
    {
        if (health_.failed(worker, *task, now))
        {
            ++counters_.quarantines;
            refresh_worker(worker, now);
        }
        give_up = health_.has_reached_failure_limit(*task);
    }
    else if (report.how == attempt_end::finished)
    {
        health_.succeeded(worker, task->job);
        refresh_worker(worker, now);
    }
    auto end = report.how;
    if (end == attempt_end::checkpointed && !report.checkpoint)
    {
        end = attempt_end::stopped;
    }
    propose_end(attempt, end, report.checkpoint, give_up);
}

auto scheduler::consider_demotion(attempt_slot slot, time_point now) -> void
{
    auto& attempt = attempt_at(slot);
    auto const& job = job_of(attempt.task);
    auto& task = task_of(attempt.task);
    if (!is_capacity_short_ || task.demoted ||
        attempt.requested_end != end_request::none ||
        job.spec.kind != job_class::batch)
    {
        return;
    }
    auto const p90_run_time = work_.run_time_quantile(job.kind, permille{900});
    auto const ran = task.attained + (now - attempt.started);
    if (!p90_run_time || ran <= *p90_run_time * config::straggler_factor ||
        !guard_.may_evict(job.customer, now))
    {
        return;
    }
    guard_.on_task_evicted(attempt.worker, job.customer, now);
    ++counters_.demotions;
    task.demoted = true;
    task.last_eviction = now;
    auto const in_ms = [](duration d)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(d).count());
    };
    task.moved_measured_ms = in_ms(ran);
    task.moved_limit_ms = in_ms(*p90_run_time * config::straggler_factor);
    request_end(slot, end_request::checkpoint, move_reason::straggler, now);
}

auto scheduler::on_latency(latency_report const& report,
                           backend_info const& backend, time_point now) -> void
{
    auto const worker =
        backend.worker ? worker_ids_.find(*backend.worker) : std::nullopt;
    auto const customer = customer_ids_.find(backend.customer);
    if (!worker || !customer || report.requests <= request_count{0})
    {
        return;
    }
    auto const service = service_ids_.ref(backend.service);
    auto& hosted = workers_[pos(*worker)].services;
    std::erase_if(hosted,
                  [now](hosted_service const& h) {
                      return now - h.last_report > config::max_measurement_age;
                  });
    auto const same =
        std::ranges::find(hosted, service, &hosted_service::service);
    if (same == hosted.end())
    {
        hosted.push_back({service, *customer, now});
    }
    else
    {
        same->last_report = now;
    }
    auto const taken = now - report.age;
    interference_.learn({*worker, service, report.p99, report.requests, taken});
    auto const& terms = customers_[pos(*customer)].terms;
    if (policy_.guard && terms)
    {
        guard_.observe(*worker, {service, *customer, report.p99,
                                 terms->urgent_latency, taken});
    }
}

// --- Workers --------------------------------------------------------------

auto scheduler::refresh_worker(worker_ref worker, time_point now) -> void
{
    auto const& it = workers_[pos(worker)];
    if (!it.registered)
    {
        return;
    }
    auto const state = health_.state(worker);
    auto const open =
        it.has_reported && !evacuated_.contains(it.info.zone) &&
        now - it.last_report <= config::worker_report_timeout &&
        (state == health_state::healthy ||
         (state == health_state::probation && it.attempts.empty()));
    if (open && !placement_.is_open(worker))
    {
        capacity_freed_ = true;
    }
    placement_.set_open(worker, open);
}

auto scheduler::check_workers(time_point now) -> void
{
    if (now - last_check_ < config::worker_check_interval)
    {
        return;
    }
    last_check_ = now;
    health_.tick(now);
    refresh_workers(now);
}

auto scheduler::refresh_workers(time_point now) -> void
{
    for (std::uint32_t n = 0; n < workers_.size(); ++n)
    {
        refresh_worker(worker_ref{n}, now);
    }
}

auto scheduler::zone_evacuated(zone_id const& zone, time_point now) -> void
{
    evacuated_.insert(zone);
    refresh_workers(now);
}

auto scheduler::zone_returned(zone_id const& zone, time_point now) -> void
{
    evacuated_.erase(zone);
    refresh_workers(now);
}

auto scheduler::is_harmful(worker_ref worker, kind_ref kind,
                           time_point now) const -> bool
{
    if (!policy_.interference)
    {
        return true;
    }
    return std::ranges::any_of(
        workers_[pos(worker)].services,
        [&](hosted_service const& it)
        {
            auto const pair = interference_.estimate(kind, it.service, now);
            return !pair.is_reliable ||
                   pair.slowdown >= config::harmful_slowdown;
        });
}

auto scheduler::set_throttle(worker_ref worker, permille to, time_point now)
    -> void
{
    auto const running = workers_[pos(worker)].attempts;
    for (auto const slot : running)
    {
        auto& it = attempt_at(slot);
        auto const& job = job_of(it.task);
        // Throttling a task without harmful interference does not reduce the
        // latency of the services.
        if (job.spec.kind != job_class::service &&
            (to == permille{1000} || is_harmful(worker, job.kind, now)))
        {
            it.requested_throttle = to;
            guard_.on_task_limited(worker, now);
            send_pending_command(slot, now);
        }
    }
}

auto scheduler::evict_most_harmful(worker_ref worker, time_point now) -> void
{
    auto const reading = guard_.worst_reading(worker, now);
    auto victim = no_slot;
    auto highest_cost = permille{-1};
    for (auto const slot : workers_[pos(worker)].attempts)
    {
        auto const& attempt = attempt_at(slot);
        auto const& job = job_of(attempt.task);
        auto const& task = task_of(attempt.task);
        if (job.spec.kind == job_class::service || attempt.end_proposed ||
            attempt.phase != attempt_phase::running ||
            attempt.requested_end != end_request::none)
        {
            continue;
        }
        auto const is_resting =
            job.spec.kind == job_class::watch && task.last_eviction &&
            now - *task.last_eviction < config::min_watch_eviction_interval;
        // Moving a task without harmful interference does not reduce the
        // latency of the services.
        if (is_resting || !is_harmful(worker, job.kind, now) ||
            !guard_.may_evict(job.customer, now))
        {
            continue;
        }
        auto const cost =
            policy_.interference
                ? interference_.estimate(job.kind, reading->service, now)
                      .slowdown
                : permille{0};
        if (cost > highest_cost)
        {
            highest_cost = cost;
            victim = slot;
        }
    }
    if (victim == no_slot)
    {
        return;
    }
    auto const task = attempt_at(victim).task;
    task_of(task).last_eviction = now;
    task_of(task).moved_measured_ms =
        static_cast<std::uint32_t>(reading->p99.count());
    task_of(task).moved_limit_ms =
        static_cast<std::uint32_t>(reading->limit.count());
    guard_.on_task_evicted(worker, job_of(task).customer, now);
    ++counters_.evictions;
    request_end(victim, end_request::checkpoint, move_reason::urgent_latency,
                now);
}

auto scheduler::run_guard(time_point now) -> void
{
    if (!policy_.guard)
    {
        return;
    }
    for (auto const worker : guard_.watched_workers())
    {
        switch (guard_.step(worker, now))
        {
        case guard_step::none:
            break;
        case guard_step::throttle:
            ++counters_.throttles;
            set_throttle(worker, config::throttle_level, now);
            break;
        case guard_step::release:
            ++counters_.releases;
            set_throttle(worker, permille{1000}, now);
            break;
        case guard_step::move:
            evict_most_harmful(worker, now);
            break;
        }
    }
}

} // namespace apricotlb
