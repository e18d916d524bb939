#include "core/leader/leader_state.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>
#include <variant>

namespace apricotlb
{

namespace
{

constexpr duration session_check_interval = std::chrono::seconds{1};

/// Passes one applied command to the scheduler.
struct scheduler_event
{
    scheduler& target;
    time_point now;

    auto operator()(apply_contract const& it) const -> void
    {
        target.contract_set(it.value, now);
    }
    auto operator()(remove_contract const& it) const -> void
    {
        target.contract_removed(it.customer, now);
    }
    auto operator()(submit_job const& it) const -> void
    {
        target.job_submitted(it.spec, now);
    }
    auto operator()(cancel_job const& it) const -> void
    {
        target.job_cancelled(it.customer, it.job, now);
    }
    auto operator()(place_task const& it) const -> void
    {
        target.attempt_placed(it, now);
    }
    auto operator()(end_attempt const& it) const -> void
    {
        target.attempt_ended(it, now);
    }
    auto operator()(register_worker const& it) const -> void
    {
        target.worker_registered(it.info, now);
    }
    auto operator()(retire_worker const& it) const -> void
    {
        target.worker_retired(it.id, now);
    }
    auto operator()(evacuate_data_centre const& it) const -> void
    {
        target.zone_evacuated(it.zone, now);
    }
    auto operator()(return_data_centre const& it) const -> void
    {
        target.zone_returned(it.zone, now);
    }

    /// Other commands do not concern the scheduler.
    template <class Other>
    auto operator()(Other const&) const -> void
    {
    }
};

} // namespace

leader_state::leader_state(state_machine const& state, term leader_term,
                           time_point elected, scheduler_policy policy)
    : state_(state), term_(leader_term), leases_(elected),
      backends_(leader_term, elected), shares_(leader_term, elected),
      scheduler_(scheduler::builder{}.policy(policy).build()),
      sessions_checked_(elected)
{
    restore(elected);
}

auto leader_state::restore(time_point now) -> void
{
    for (auto const& it : state_.contracts().changes_since(revision{0}))
    {
        if (!it.removed)
        {
            scheduler_.contract_set(it.value, now);
        }
    }
    for (auto const& [id, it] : state_.workers().all())
    {
        scheduler_.worker_registered(it.info, now);
    }
    auto jobs = state_.jobs().snapshot().active;
    std::ranges::sort(jobs, {}, &job_record::submitted);
    for (auto const& it : jobs)
    {
        scheduler_.job_submitted(it.spec, now);
    }
    for (auto const& it : jobs)
    {
        restore_tasks(it, now);
    }
    scheduler_.interference_restored(state_.interference(), now);
    for (auto const& zone : state_.evacuations().all())
    {
        scheduler_.zone_evacuated(zone, now);
    }
}

auto leader_state::restore_tasks(job_record const& job, time_point now) -> void
{
    auto const& spec = job.spec;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    {
        auto const& task = job.tasks[index];
        task_id const id{spec.id, task_index{index}};
        scheduler_.task_restored(
            {spec.customer, id, task.state, task.attempt, task.checkpoint},
            now);
        if (task.state == task_state::placed)
        {
            scheduler_.attempt_placed({spec.customer,
                                       {id, task.attempt},
                                       task.worker,
                                       task.committed},
                                      now);
        }
    }
    if (job.cancelled_at)
    {
        scheduler_.job_cancelled(spec.customer, spec.id, now);
    }
}

auto leader_state::on_heartbeat(entry_heartbeat const& heartbeat,
                                time_point now)
    -> std::optional<entry_heartbeat_answer>
{
    if (!leases_.on_heartbeat(heartbeat, now))
    {
        return std::nullopt;
    }
    auto granted = shares_.on_heartbeat(heartbeat, now);
    if (!granted)
    {
        return std::nullopt;
    }
    record_latency(heartbeat, now);
    entry_heartbeat_answer answer;
    answer.number = heartbeat.number;
    answer.leader_term = term_;
    answer.session = heartbeat.session.run;
    answer.contracts_from = heartbeat.contracts;
    answer.contracts_to =
        std::max(heartbeat.contracts, state_.contracts().newest_revision());
    answer.contracts = state_.contracts().changes_since(heartbeat.contracts);
    auto delta =
        backends_.changes_since(heartbeat.backends_of, heartbeat.backends, now);
    answer.backends_from = delta.from;
    answer.backends_to = delta.to;
    answer.backends_complete = delta.complete;
    answer.backends = std::move(delta.changes);
    answer.shares = std::move(*granted);
    return answer;
}

auto leader_state::record_latency(entry_heartbeat const& heartbeat,
                                  time_point now) -> void
{
    for (auto const& report : heartbeat.latency)
    {
        if (auto const* const info = backends_.find(report.backend))
        {
            scheduler_.on_latency(report, *info, now);
        }
    }
}

auto leader_state::on_announce(backend_announcement const& announcement,
                               time_point now) -> void
{
    switch (backends_.record_announcement(announcement, now))
    {
    case announce_effect::updated:
        shares_.set_backend(announcement.info);
        break;
    case announce_effect::left:
        shares_.remove_backend(announcement.info.id);
        break;
    case announce_effect::renewed:
    case announce_effect::ignored:
        break;
    }
}

auto leader_state::on_report(worker_report const& report, time_point now)
    -> result<worker_report_answer>
{
    if (state_.workers().find(report.worker) == nullptr)
    {
        return fail(error_kind::unknown_worker,
                    "worker " + report.worker.value() +
                        " is not registered; register it first");
    }
    return scheduler_.on_report(report, now);
}

auto leader_state::on_applied(command const& it, apply_result const& result,
                              time_point now) -> void
{
    if (result.refused)
    {
        scheduler_.proposal_refused(it, now);
        return;
    }
    std::visit(scheduler_event{scheduler_, now}, it);
}

auto leader_state::on_not_applied(command const& it, time_point now) -> void
{
    scheduler_.proposal_refused(it, now);
}

auto leader_state::resume(time_point now) -> void
{
    backends_.keep_until(now + config::announce_lifetime);
}

auto leader_state::tick(time_point now, random_bits random) -> void
{
    for (auto const& id : backends_.expire(now))
    {
        shares_.remove_backend(id);
    }
    shares_.expire(now);
    leases_.prune(now);
    end_sessions(now);
    scheduler_.tick(now, random);
}

auto leader_state::end_sessions(time_point now) -> void
{
    if (now - sessions_checked_ < session_check_interval)
    {
        return;
    }
    sessions_checked_ = now;
    for (auto const& it :
         leases_.sessions_to_end(state_.keys().open_sessions(), now))
    {
        actions_.emplace_back(propose{it});
    }
}

auto leader_state::take_actions() -> std::vector<scheduler_action>
{
    auto out = std::exchange(actions_, {});
    std::ranges::move(scheduler_.take_actions(), std::back_inserter(out));
    return out;
}

auto leader_state::pending_pushes() const -> std::vector<push_contracts>
{
    std::vector<push_contracts> pushes;
    auto const newest_revision = state_.contracts().newest_revision();
    for (auto const& [id, lease] : leases_.all())
    {
        if (lease.confirmed >= newest_revision)
        {
            continue;
        }
        entry_heartbeat_answer answer;
        answer.leader_term = term_;
        answer.session = lease.run;
        answer.contracts_from = lease.confirmed;
        answer.contracts_to = newest_revision;
        answer.contracts = state_.contracts().changes_since(lease.confirmed);
        pushes.push_back({id, std::move(answer)});
    }
    return pushes;
}

} // namespace apricotlb
