#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace apricotlb
{

namespace
{

auto describe(step_spec const& step, run_phase phase) -> held_run
{
    held_run it;
    it.phase = phase;
    it.room = room_of(step);
    it.scavenged = step.each.cores - it.room.cores;
    it.image = step.image;
    it.latency_target = step.latency_target;
    it.permanent = step.permanent;
    it.scavenges = step.scavenges;
    return it;
}

} // namespace

run_scheduler::run_scheduler(state_machine const& state, fence_token fence,
                             time_point now, fleet_policy policy)
    : state_(state), fence_(fence), policy_(policy)
{
    inherit(now);
}

auto run_scheduler::inherit(time_point now) -> void
{
    auto const latest = now + worker_lease::longest(policy_.lease);
    for (auto const& [id, record] : state_.workflows().live())
    {
        record.for_each_active(
            [&, &spec = record.spec](workflow_task const& task,
                                     task_progress const& /*progress*/,
                                     active_run const& run)
            {
                auto& at = workers_[run.worker.id];
                at.incarnation =
                    std::max(at.incarnation, run.worker.incarnation);
                at.heard = now;
                at.lease.assume_until(latest);
                task_run const name{task, run.number};
                at.add(name, describe(spec.steps[task.step.value()],
                                      run_phase::inherited));
                where_[name] = run.worker.id;
            });
    }
}

auto run_scheduler::find(task_run const& run)
    -> std::pair<entry_ref*, held_run*>
{
    auto const at = where_.find(run);
    if (at == where_.end())
    {
        return {nullptr, nullptr};
    }
    auto const entry = workers_.find(at->second);
    auto const it = entry->second.runs.find(run);
    return {&*entry, &it->second};
}

auto run_scheduler::target(entry_ref const& at) const -> order_target
{
    return {{at.first, at.second.incarnation}, at.second.info->address, fence_};
}

auto run_scheduler::send_start(entry_ref& at, task_run const& run, held_run& it,
                               time_point now) -> void
{
    auto const* const record = state_.workflows().find(run.task.workflow);
    if (fenced_ || !at.second.info || !at.second.lease.is_sampled() ||
        record == nullptr)
    {
        return;
    }
    it.phase = run_phase::ordered;
    it.awaiting = true;
    it.sent = now;
    actions_.emplace_back(
        start_order{target(at), run, record->spec.payload,
                    record->find(run.task)->checkpoint,
                    at.second.lease.grant(now, policy_.lease)});
}

auto run_scheduler::send_stop(entry_ref& at, task_run const& run, held_run& it,
                              time_point now) -> void
{
    it.phase = run_phase::stopping;
    if (fenced_ || !at.second.info)
    {
        return;
    }
    it.awaiting = true;
    it.sent = now;
    actions_.emplace_back(stop_order{target(at), run});
}

auto run_scheduler::send_poll(entry_ref& at, time_point now) -> void
{
    auto& it = at.second;
    auto const is_sent = [](auto const& each)
    { return each.second.phase != run_phase::proposed; };
    auto const is_needed = std::ranges::any_of(it.runs, is_sent);
    if (fenced_ || it.polling || it.recording || it.gone || !it.info ||
        !it.lease.is_sampled() || now < it.poll_at ||
        !(is_needed || it.acknowledged < it.recorded))
    {
        return;
    }
    auto urgent = !is_needed;
    auto serves = false;
    auto scavenges = false;
    for (auto const& [run, held] : it.runs)
    {
        urgent = urgent || held.phase == run_phase::inherited ||
                 held.phase == run_phase::closed;
        serves = serves || held.is_serving();
        scavenges = scavenges || held.scavenges;
    }
    auto const wait = urgent                ? milliseconds{0}
                      : serves && scavenges ? config::poll_wait_shared
                                            : config::poll_wait;
    it.polling = true;
    it.poll_sent = now;
    poll_order order{target(at), it.recorded, {}, wait};
    // A poll that arrives late would extend the lease of a worker that is
    // taken for lost.
    if (now - it.heard < config::lease_extension_timeout)
    {
        order.lease_end = it.lease.grant(now, policy_.lease);
    }
    actions_.emplace_back(std::move(order));
}

auto run_scheduler::repeat_orders(entry_ref& at, time_point now) -> void
{
    for (auto& [run, it] : at.second.runs)
    {
        if (it.awaiting || now - it.sent < config::order_retry_interval)
        {
            continue;
        }
        if (it.phase == run_phase::ordered &&
            now - at.second.heard < config::lease_extension_timeout)
        {
            send_start(at, run, it, now);
        }
        else if (it.phase == run_phase::stopping)
        {
            send_stop(at, run, it, now);
        }
    }
}

auto run_scheduler::tick(time_point now) -> void
{
    for (auto it = workers_.begin(); it != workers_.end();)
    {
        auto& entry = it->second;
        auto const has_lapsed =
            now >= entry.lease.bound() &&
            now - entry.heard >= config::worker_contact_timeout;
        if (entry.gone || has_lapsed)
        {
            lose_runs(*it);
        }
        if (entry.runs.empty() &&
            (entry.gone || now - entry.heard >= config::worker_removal_delay))
        {
            it = workers_.erase(it);
            continue;
        }
        repeat_orders(*it, now);
        send_poll(*it, now);
        ++it;
    }
    if (now - since_cleared_ >= config::worker_removal_delay)
    {
        since_cleared_ = now;
        std::set<revision> live;
        for (auto const& [id, record] : state_.workflows().live())
        {
            live.insert(record.accepted);
        }
        std::erase_if(since_, [&live](auto const& each)
                      { return !live.contains(each.first.first); });
    }
    std::erase_if(addresses_, [this](auto const& each)
                  { return !workers_.contains(each.second); });
    wants_plan_ = true;
}

auto run_scheduler::on_applied(command const& it, time_point now) -> void
{
    if (auto const* const starts = std::get_if<start_runs>(&it))
    {
        for (auto const& each : starts->runs)
        {
            proposed_.erase(each.run.task);
            auto const [at, held] = find(each.run);
            if (held == nullptr || held->phase != run_phase::proposed)
            {
                continue;
            }
            auto const* const record =
                state_.workflows().find(each.run.task.workflow);
            if (!state_.workflows().is_active(each.run))
            {
                release(each.run, now);
            }
            else if (at->second.gone ||
                     at->second.incarnation != each.worker.incarnation ||
                     !record->is_open())
            {
                propose_end(each.run, *held, run_end::not_started);
            }
            else
            {
                // Sent again by tick if the worker's clock is not known yet.
                held->phase = run_phase::ordered;
                send_start(*at, each.run, *held, now);
            }
        }
    }
    else if (auto const* const ends = std::get_if<end_runs>(&it))
    {
        for (auto const& each : ends->runs)
        {
            stop_excess(each.run.task.workflow, now);
        }
    }
    else if (auto const* const cancel = std::get_if<cancel_workflow>(&it))
    {
        stop_excess(cancel->id, now);
    }
    wants_plan_ = true;
}

auto run_scheduler::on_not_applied(propose_starts const& it, time_point now)
    -> void
{
    for (auto const& each : it.value.runs)
    {
        proposed_.erase(each.run.task);
        release(each.run, now);
    }
    wants_plan_ = true;
}

auto run_scheduler::on_recorded(propose_ends const& it, time_point now) -> void
{
    for (auto const& each : it.runs)
    {
        release(each.run, now);
    }
    auto const at = workers_.find(it.from);
    if (at != workers_.end())
    {
        at->second.recorded = std::max(at->second.recorded, it.upto);
        at->second.recording = false;
        send_poll(*at, now);
    }
}

auto run_scheduler::on_not_recorded(propose_ends const& it) -> void
{
    for (auto const& each : it.runs)
    {
        // Closed: the next lists decide again.
        if (auto const [at, held] = find(each.run); held != nullptr)
        {
            held->phase = run_phase::closed;
            held->closed_as = each.outcome;
        }
    }
    auto const at = workers_.find(it.from);
    if (at != workers_.end())
    {
        at->second.recording = false;
    }
}

auto run_scheduler::want_stop(task_run const& run, time_point now) -> void
{
    auto const [at, held] = find(run);
    if (held == nullptr)
    {
        return;
    }
    if (held->phase == run_phase::inherited ||
        held->phase == run_phase::ordered || held->phase == run_phase::running)
    {
        send_stop(*at, run, *held, now);
    }
}

auto run_scheduler::stop_excess(workflow_id const& id, time_point now) -> void
{
    auto const* const record = state_.workflows().find(id);
    if (record == nullptr)
    {
        return;
    }
    auto const is_open = record->is_open();
    record->for_each_active(
        [&](workflow_task const& task, task_progress const& progress,
            active_run const& run)
        {
            if (!is_open || progress.finished)
            {
                want_stop({task, run.number}, now);
            }
        });
}

auto run_scheduler::propose_end(task_run const& run, held_run& it,
                                run_end outcome) -> void
{
    it.phase = run_phase::ending;
    ends_.push_back({run, outcome, it.checkpoint});
}

auto run_scheduler::release(task_run const& run, time_point now) -> void
{
    auto const at = where_.find(run);
    if (at != where_.end())
    {
        disturbance_.ended(at->second, run, now);
        workers_.at(at->second).remove(run);
        where_.erase(at);
    }
}

auto run_scheduler::lose_runs(entry_ref& at) -> void
{
    for (auto& [run, it] : at.second.runs)
    {
        if (it.phase != run_phase::ending && it.phase != run_phase::proposed)
        {
            propose_end(run, it, run_end::lost);
        }
    }
}

auto run_scheduler::hold(entry_ref& at, wanted_run const& want) -> void
{
    task_run const run{want.task, want.number};
    at.second.add(run, describe(*want.step, run_phase::proposed));
    where_[run] = at.first;
    proposed_.insert(want.task);
}

auto run_scheduler::take_actions() -> std::vector<fleet_action>
{
    if (!ends_.empty())
    {
        actions_.emplace_back(propose_ends{std::exchange(ends_, {}), {}, {}});
    }
    return std::exchange(actions_, {});
}

} // namespace apricotlb
