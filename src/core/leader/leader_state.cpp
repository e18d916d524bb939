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

/// Feeds the scheduler with one applied command.
struct scheduler_event
{
    scheduler& to;
    time_point now;

    auto operator()(apply_contract const& it) const -> void
    {
        to.contract_set(it.value, now);
    }
    auto operator()(remove_contract const& it) const -> void
    {
        to.contract_removed(it.customer, now);
    }
    auto operator()(submit_job const& it) const -> void
    {
        to.job_submitted(it.spec, now);
    }
    auto operator()(cancel_job const& it) const -> void
    {
        to.job_cancelled(it.customer, it.job, now);
    }
    auto operator()(place_task const& it) const -> void
    {
        to.attempt_placed(it, now);
    }
    auto operator()(end_attempt const& it) const -> void
    {
        to.attempt_ended(it, now);
    }
    auto operator()(register_worker const& it) const -> void
    {
        to.worker_registered(it.info, now);
    }
    auto operator()(retire_worker const& it) const -> void
    {
        to.worker_retired(it.id, now);
    }

    /// Keys, sessions and the summary of interference concern others.
    template <class Other>
    auto operator()(Other const&) const -> void
    {
    }
};

} // namespace

leader_state::leader_state(state_machine const& state, term leads,
                           time_point elected, scheduler_policy policy)
    : state_(state), term_(leads), leases_(elected), backends_(leads, elected),
      shares_(leads, elected),
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
}

auto leader_state::restore_tasks(job_record const& job, time_point now) -> void
{
    auto const& spec = job.spec;
    for (std::uint32_t n = 0; n < job.tasks.size(); ++n)
    {
        auto const& it = job.tasks[n];
        task_id const id{spec.id, task_index{n}};
        scheduler_.task_restored(
            {spec.customer, id, it.state, it.attempt, it.checkpoint}, now);
        if (it.state == task_state::placed)
        {
            scheduler_.attempt_placed(
                {spec.customer, {id, it.attempt}, it.worker, it.committed},
                now);
        }
    }
    if (job.cancelled_at)
    {
        scheduler_.job_cancelled(spec.customer, spec.id, now);
    }
}

auto leader_state::on_heartbeat(entry_heartbeat const& it, time_point now)
    -> std::optional<entry_heartbeat_answer>
{
    if (!leases_.on_heartbeat(it, now))
    {
        return std::nullopt;
    }
    auto granted = shares_.on_heartbeat(it, now);
    if (!granted)
    {
        return std::nullopt;
    }
    note_latency(it, now);
    entry_heartbeat_answer out;
    out.number = it.number;
    out.leader_term = term_;
    out.session = it.session.run;
    out.contracts_from = it.contracts;
    out.contracts_to =
        std::max(it.contracts, state_.contracts().newest_revision());
    out.contracts = state_.contracts().changes_since(it.contracts);
    auto delta = backends_.changes_since(it.backends_of, it.backends, now);
    out.backends_from = delta.from;
    out.backends_to = delta.to;
    out.backends_complete = delta.complete;
    out.backends = std::move(delta.changes);
    out.shares = std::move(*granted);
    return out;
}

auto leader_state::note_latency(entry_heartbeat const& it, time_point now)
    -> void
{
    for (auto const& report : it.latency)
    {
        if (auto const* const info = backends_.find(report.backend))
        {
            scheduler_.on_latency(report, *info, now);
        }
    }
}

auto leader_state::on_announce(announce const& it, time_point now) -> void
{
    switch (backends_.announced(it, now))
    {
    case announce_effect::updated:
        shares_.set_backend(it.info);
        break;
    case announce_effect::left:
        shares_.remove_backend(it.info.id);
        break;
    case announce_effect::renewed:
    case announce_effect::ignored:
        break;
    }
}

auto leader_state::on_report(worker_report const& it, time_point now)
    -> result<worker_report_answer>
{
    if (state_.workers().find(it.worker) == nullptr)
    {
        return fail(error_kind::unknown_worker,
                    "worker " + it.worker.value() +
                        " is not registered; register it first");
    }
    return scheduler_.on_report(it, now);
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

auto leader_state::pushes() const -> std::vector<push_contracts>
{
    std::vector<push_contracts> out;
    auto const newest_revision = state_.contracts().newest_revision();
    for (auto const& [id, it] : leases_.all())
    {
        if (it.confirmed >= newest_revision)
        {
            continue;
        }
        entry_heartbeat_answer answer;
        answer.leader_term = term_;
        answer.session = it.run;
        answer.contracts_from = it.confirmed;
        answer.contracts_to = newest_revision;
        answer.contracts = state_.contracts().changes_since(it.confirmed);
        out.push_back({id, std::move(answer)});
    }
    return out;
}

} // namespace apricotlb
