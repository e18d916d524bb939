#include "core/fleet/run_scheduler.hpp"

#include <utility>

namespace apricotlb
{

auto run_scheduler::terms_of(workflow_record const& record) const
    -> queue_contract const&
{
    auto const* const queue = state_.contract_sets().queue(record.terms.name);
    return queue != nullptr ? *queue : record.terms;
}

auto run_scheduler::inherit_forecast(time_point now) -> void
{
    for (auto const& [id, record] : state_.workflows().live())
    {
        auto const since = ready_since_.find({record.accepted, {}});
        forecast_.on_accepted(record, terms_of(record),
                              since == ready_since_.end() ? now
                                                          : since->second);
    }
}

auto run_scheduler::update_forecast(workflow_task const& task, time_point now)
    -> void
{
    auto const* const record = state_.workflows().find(task.workflow);
    if (record == nullptr || !record->is_open())
    {
        end_forecast(task.workflow, now);
        return;
    }
    forecast_.on_task_changed(*record, task, now);
}

auto run_scheduler::end_forecast(workflow_id const& id, time_point now) -> void
{
    auto const error = forecast_.on_ended(id, now);
    if (error && state_.workflows().state(id) == workflow_state::completed)
    {
        forecast_errors_.push_back(*error);
    }
}

/// To be called before the runs that a command ends are released.
auto run_scheduler::update_forecast(command const& applied, time_point now)
    -> void
{
    auto const& table = state_.workflows();
    if (auto const* const submit = std::get_if<submit_workflow>(&applied))
    {
        if (auto const* const record = table.find(submit->spec.id))
        {
            forecast_.on_accepted(*record, terms_of(*record), now);
        }
        else
        {
            end_forecast(submit->spec.id, now);
        }
    }
    else if (auto const* const starts = std::get_if<start_runs>(&applied))
    {
        for (auto const& placed : starts->runs)
        {
            update_forecast(placed.run.task, now);
        }
    }
    else if (auto const* const ends = std::get_if<end_runs>(&applied))
    {
        for (auto const& ended : ends->runs)
        {
            auto const [worker, held] = find(ended.run);
            auto const* const record = table.find(ended.run.task.workflow);
            if (ended.outcome == run_end::finished && held != nullptr &&
                held->started_at && record != nullptr)
            {
                forecast_.on_run_time(record->step(ended.run.task),
                                      now - *held->started_at);
            }
            update_forecast(ended.run.task, now);
        }
        for (auto const& ended :
             ends->listed_late.value_or(std::vector<ended_run>{}))
        {
            update_forecast(ended.run.task, now);
        }
    }
    else if (auto const* const cancel = std::get_if<cancel_workflow>(&applied))
    {
        end_forecast(cancel->id, now);
    }
    else if (std::holds_alternative<apply_contract_set>(applied))
    {
        for (auto const& [id, record] : table.live())
        {
            forecast_.on_terms_changed(record, terms_of(record), now);
        }
    }
}

auto run_scheduler::free_cores(pool_name const& pool, time_point now)
    -> millicores
{
    if (!free_cores_at_ || now - *free_cores_at_ >= config::free_room_validity)
    {
        free_cores_at_ = now;
        free_cores_.clear();
        for (auto const& [id, worker] : workers_)
        {
            if (takes_new_runs(worker, now))
            {
                free_cores_[worker.info->pool] += worker.free().cores;
            }
        }
    }
    return free_cores_[pool];
}

auto run_scheduler::admit(workflow_spec const& spec,
                          queue_contract const& terms, time_point now)
    -> admission_decision
{
    forecast_.advance(state_.workflows(), now);
    return forecast_.admit(spec, terms, now,
                           [this, now](pool_name const& pool)
                           { return free_cores(pool, now); });
}

auto run_scheduler::on_submission_proposed(workflow_spec const& spec,
                                           queue_contract const& terms,
                                           admission_decision const& decided,
                                           time_point now) -> void
{
    forecast_.on_proposed(spec, terms, decided, now);
}

auto run_scheduler::on_submission_dropped(workflow_id const& id, time_point now)
    -> void
{
    if (state_.workflows().find(id) == nullptr)
    {
        (void)forecast_.on_ended(id, now);
    }
}

auto run_scheduler::note_shortage(ranked_step const& step,
                                  plan_pass& pass) const -> void
{
    auto const& spec = step.record->step(step.first);
    auto& found = pass.short_of[{pool_of(*step.record), room_kind_of(spec)}];
    found.finite = found.finite || !spec.permanent;
    found.new_permanent =
        found.new_permanent || (spec.permanent && step.is_new);
}

auto run_scheduler::take_forecast_errors() -> std::vector<duration>
{
    return std::exchange(forecast_errors_, {});
}

} // namespace apricotlb
