// Commands to workers and reports from them.
#include "core/scheduling/scheduler.hpp"

#include <algorithm>

namespace apricotlb
{

using namespace scheduler_detail;

// --- Commands -------------------------------------------------------------

auto scheduler::send_start(attempt_entry& it, time_point now) -> void
{
    auto const& worker = workers_[pos(it.worker)];
    // Without a recent report there is nothing that the lease could count
    // from, and the worker may be gone.
    if (!worker.reported ||
        now - worker.last_report > config::worker_report_timeout)
    {
        return;
    }
    if (!it.sent)
    {
        it.sent = true;
        it.first_sent = now;
    }
    if (now - it.first_sent >= config::task_lease)
    {
        return; // never confirmed; the lease runs out
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
            worker.last_number,
            std::chrono::duration_cast<milliseconds>(config::task_lease)}});
}

auto scheduler::send_due(attempt_slot slot, time_point now) -> void
{
    auto& it = attempt_at(slot);
    if (it.end_proposed || it.phase == attempt_phase::proposed)
    {
        return;
    }
    auto const& worker = workers_[pos(it.worker)];
    auto const is_unstarted = it.phase == attempt_phase::placed && !it.sent;
    if (is_unstarted && it.ours && it.wish != attempt_wish::none)
    {
        propose_end(it, attempt_end::not_started, std::nullopt, false);
        return;
    }
    auto const send = [&](worker_command value)
    {
        actions_.emplace_back(send_command{worker.info.id, worker.info.address,
                                           std::move(value)});
    };
    auto is_due = true;
    if (it.wish == attempt_wish::stop)
    {
        send(stop_attempt{customer_of(it), id_of(it)});
    }
    else if (it.wish == attempt_wish::checkpoint &&
             it.phase == attempt_phase::running)
    {
        send(checkpoint_attempt{customer_of(it), id_of(it)});
    }
    else if (it.phase == attempt_phase::placed)
    {
        send_start(it, now);
    }
    else if (it.throttle_wanted != it.throttle_reported)
    {
        send(throttle_attempt{customer_of(it), id_of(it), it.throttle_wanted});
    }
    else
    {
        is_due = false;
    }
    if (is_due)
    {
        repeat_later(slot, now);
    }
}

auto scheduler::repeat_later(attempt_slot slot, time_point now) -> void
{
    auto& it = attempt_at(slot);
    if (!it.pending)
    {
        it.pending = true;
        repeats_.push_back(
            {now + config::command_retry_interval, slot, it.task, it.number});
    }
}

// --- Reports --------------------------------------------------------------

auto scheduler::on_report(worker_report const& it, time_point now)
    -> worker_report_answer
{
    worker_report_answer answer;
    answer.lease = std::chrono::duration_cast<milliseconds>(config::task_lease);
    auto const worker = worker_ids_.find(it.worker);
    if (!worker || pos(*worker) >= workers_.size())
    {
        for (auto const& running : it.running)
        {
            answer.stop.push_back({running.customer, running.attempt});
        }
        for (auto const& ended : it.ended)
        {
            answer.recorded.push_back({ended.customer, ended.attempt});
        }
        return answer;
    }
    auto& entry = workers_[pos(*worker)];
    if (!entry.reported || entry.last_number < it.number)
    {
        entry.reported = true;
        entry.last_number = it.number;
        entry.last_report = now;
        refresh_worker(*worker, now);
    }
    for (auto const& running : it.running)
    {
        on_running(*worker, running, now, answer);
    }
    for (auto const& ended : it.ended)
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
    auto& it = attempt_at(slot);
    auto const taken = now - report.age;
    if (it.phase == attempt_phase::placed)
    {
        it.phase = attempt_phase::running;
        it.started = now;
        if (it.throttle_wanted == permille{1000} &&
            guard_.is_throttled(worker) &&
            job_of(*task).spec.kind != job_class::service &&
            is_harmful(worker, job_of(*task).kind, now))
        {
            it.throttle_wanted = config::throttle_level;
            guard_.limited(worker, now);
        }
    }
    if (it.end_proposed || it.wish == attempt_wish::stop)
    {
        // Not renewed: the end is being recorded, or the job is cancelled.
        answer.stop.push_back({report.customer, report.attempt});
        return;
    }
    leases_.grant(*task, now);
    answer.renewed.push_back({report.customer, report.attempt});
    if (report.throttled_to != it.throttle_reported)
    {
        it.throttle_reported = report.throttled_to;
        interference_.throttled(worker, *task, report.throttled_to, taken);
    }
    if (it.throttle_wanted != it.throttle_reported ||
        it.wish == attempt_wish::checkpoint)
    {
        repeat_later(slot, now);
    }
    work_.used(job_of(*task).kind, report.used);
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
        // The log has this end, or a later attempt, already.
        answer.recorded.push_back({report.customer, report.attempt});
        return;
    }
    auto& it = attempt_at(slot);
    if (it.end_proposed || it.phase == attempt_phase::proposed)
    {
        return; // recorded once the log has applied it
    }
    auto give_up = false;
    if (report.how == attempt_end::failed)
    {
        if (health_.failed(worker, *task, now))
        {
            ++counters_.quarantines;
            refresh_worker(worker, now);
        }
        give_up = health_.is_hopeless(*task);
    }
    else if (report.how == attempt_end::finished)
    {
        health_.succeeded(worker, task->job);
        refresh_worker(worker, now);
    }
    auto how = report.how;
    if (how == attempt_end::checkpointed && !report.checkpoint)
    {
        how = attempt_end::stopped;
    }
    propose_end(it, how, report.checkpoint, give_up);
}

auto scheduler::consider_demotion(attempt_slot slot, time_point now) -> void
{
    auto& it = attempt_at(slot);
    auto const& job = job_of(it.task);
    auto& task = task_of(it.task);
    if (!is_short_ || task.demoted || it.wish != attempt_wish::none ||
        job.spec.kind != job_class::batch)
    {
        return;
    }
    auto const usual = work_.run_time(job.kind, permille{900});
    auto const ran = task.attained + (now - it.started);
    if (!usual || ran <= *usual * config::straggler_factor ||
        !guard_.may_evict(job.customer, now))
    {
        return;
    }
    guard_.evicted(it.worker, job.customer, now);
    ++counters_.demotions;
    task.demoted = true;
    task.evicted = now;
    auto const in_ms = [](duration d)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(d).count());
    };
    task.moved_measured = in_ms(ran);
    task.moved_limit = in_ms(*usual * config::straggler_factor);
    want(slot, attempt_wish::checkpoint, move_reason::straggler, now);
}

auto scheduler::on_latency(latency_report const& it,
                           backend_info const& backend, time_point now) -> void
{
    auto const worker =
        backend.worker ? worker_ids_.find(*backend.worker) : std::nullopt;
    auto const customer = customer_ids_.find(backend.customer);
    if (!worker || !customer || it.requests <= request_count{0})
    {
        return;
    }
    auto const service = service_ids_.ref(backend.service);
    auto& hosted = workers_[pos(*worker)].services;
    std::erase_if(hosted, [now](hosted_service const& h)
                  { return now - h.seen > config::max_measurement_age; });
    auto const same =
        std::ranges::find(hosted, service, &hosted_service::service);
    if (same == hosted.end())
    {
        hosted.push_back({service, *customer, now});
    }
    else
    {
        same->seen = now;
    }
    auto const taken = now - it.age;
    interference_.learn({*worker, service, it.p99, it.requests, taken});
    auto const& terms = customers_[pos(*customer)].terms;
    if (policy_.guard && terms)
    {
        guard_.observe(*worker, {service, *customer, it.p99,
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
        it.reported && now - it.last_report <= config::worker_report_timeout &&
        (state == health_state::healthy ||
         (state == health_state::probation && it.attempts.empty()));
    if (open && !placement_.is_open(worker))
    {
        freed_ = true;
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
    for (std::uint32_t n = 0; n < workers_.size(); ++n)
    {
        refresh_worker(worker_ref{n}, now);
    }
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
            return !pair.trusted || pair.slowdown >= config::harmful_slowdown;
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
        // Work that does not disturb the services gains them nothing when it
        // is slowed down.
        if (job.spec.kind != job_class::service &&
            (to == permille{1000} || is_harmful(worker, job.kind, now)))
        {
            it.throttle_wanted = to;
            guard_.limited(worker, now);
            send_due(slot, now);
        }
    }
}

auto scheduler::move_worst(worker_ref worker, time_point now) -> void
{
    auto const reading = guard_.worst(worker, now);
    auto worst = no_slot;
    auto largest = permille{-1};
    for (auto const slot : workers_[pos(worker)].attempts)
    {
        auto const& it = attempt_at(slot);
        auto const& job = job_of(it.task);
        auto const& task = task_of(it.task);
        if (job.spec.kind == job_class::service || it.end_proposed ||
            it.phase != attempt_phase::running || it.wish != attempt_wish::none)
        {
            continue;
        }
        auto const is_resting =
            job.spec.kind == job_class::watch && task.evicted &&
            now - *task.evicted < config::min_watch_eviction_interval;
        // Moving work that does not disturb services cannot help them.
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
        if (cost > largest)
        {
            largest = cost;
            worst = slot;
        }
    }
    if (worst == no_slot)
    {
        return;
    }
    auto const task = attempt_at(worst).task;
    task_of(task).evicted = now;
    task_of(task).moved_measured =
        static_cast<std::uint32_t>(reading->p99.count());
    task_of(task).moved_limit =
        static_cast<std::uint32_t>(reading->limit.count());
    guard_.evicted(worker, job_of(task).customer, now);
    ++counters_.evictions;
    want(worst, attempt_wish::checkpoint, move_reason::urgent_latency, now);
}

auto scheduler::run_guard(time_point now) -> void
{
    if (!policy_.guard)
    {
        return;
    }
    for (auto const worker : guard_.watched())
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
            move_worst(worker, now);
            break;
        }
    }
}

} // namespace apricotlb
