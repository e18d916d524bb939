#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace apricotlb
{

namespace
{

/// True if run times of the step say how long its other tasks take. Members of
/// a gang wait for each other, and scavenging tasks are slowed down on purpose.
auto has_usual_time(step_spec const& step) -> bool
{
    return !step.permanent && !step.gang && !step.scavenges;
}

auto may_copy(step_spec const& step) -> bool
{
    return step.allows_copies && has_usual_time(step);
}

} // namespace

auto run_scheduler::watch_run(task_run const& run, held_run const& held,
                              time_point now) -> void
{
    auto const* const record = state_.workflows().find(run.task.workflow);
    if (record != nullptr && may_copy(record->step(run.task)))
    {
        watch_.add(run, held.image, record->step(run.task).estimate, now);
    }
}

auto run_scheduler::learn_run_time(ended_run const& ended, held_run const& held,
                                   time_point now) -> void
{
    auto const* const record = state_.workflows().find(ended.run.task.workflow);
    if (record == nullptr || ended.outcome != run_end::finished ||
        held.phase != run_phase::running || !held.started_at)
    {
        return;
    }
    auto const& step = record->step(ended.run.task);
    if (has_usual_time(step))
    {
        watch_.learn(ended.run.task, held.image, step.estimate,
                     now - *held.started_at, step.allows_copies, now);
    }
}

auto run_scheduler::check_stragglers(time_point now) -> std::vector<straggler>
{
    if (now - stragglers_checked_at_ < config::straggler_check_interval)
    {
        return {};
    }
    stragglers_checked_at_ = now;
    if (now - watch_pruned_at_ >= config::worker_removal_delay)
    {
        watch_pruned_at_ = now;
        watch_.prune(now);
    }
    auto out = watch_.stragglers(now);
    stragglers_ = std::ssize(out);
    std::erase_if(out,
                  [this](straggler const& it) { return !needs_copy(it.run); });
    return out;
}

auto run_scheduler::needs_copy(task_run const& run) const -> bool
{
    auto const found = worker_of_run_.find(run);
    auto const* const record = state_.workflows().find(run.task.workflow);
    if (found == worker_of_run_.end() || record == nullptr ||
        proposed_.contains(run.task) || record->is_suspect(run.task))
    {
        return false;
    }
    auto const& held = found->second->second.runs.find(run)->second;
    return held.phase == run_phase::running && is_wanted(run) &&
           record->find(run.task)->active.size() == 1;
}

auto run_scheduler::refusal_of_copy(straggler const& it,
                                    workflow_record const& record) const
    -> std::optional<run_event_kind>
{
    if (it.worth != copy_worth::likely)
    {
        return it.worth == copy_worth::no_evidence
                   ? run_event_kind::copy_no_evidence
                   : run_event_kind::copy_ends_soon;
    }
    // Both runs may fail, and the workflow fails with max_failures of them.
    constexpr std::uint32_t runs_with_copy = 2;
    auto const* const queue = state_.contract_sets().queue(record.terms.name);
    auto const max_failures =
        queue != nullptr ? queue->max_failures : record.terms.max_failures;
    if (record.find(it.run.task)->failures + runs_with_copy > max_failures)
    {
        return run_event_kind::copy_failures;
    }
    return std::nullopt;
}

auto run_scheduler::place_copies(std::vector<straggler> const& stragglers,
                                 bool is_complete, plan_pass& pass) -> void
{
    // Searches without result count too: each looks at a whole pool.
    auto searches = config::max_copies_per_pass;
    for (auto const& it : stragglers)
    {
        auto const& record = *state_.workflows().find(it.run.task.workflow);
        if (auto const refusal = refusal_of_copy(it, record))
        {
            report_no_copy(*refusal, it.run);
            continue;
        }
        if (!is_complete || pass.behind.contains(pool_of(record)))
        {
            report_no_copy(run_event_kind::copy_others_wait, it.run);
            continue;
        }
        if (searches == 0 ||
            unconfirmed_ + pass.placed.size() >= config::max_unconfirmed_starts)
        {
            return;
        }
        --searches;
        auto const candidate =
            make_candidate(record, it.run.task,
                           record.find(it.run.task)->last + run_number{1});
        auto* const worker =
            choose_copy_worker(*worker_of_run_.at(it.run), candidate, pass);
        if (worker == nullptr)
        {
            report_no_copy(run_event_kind::copy_no_room, it.run);
            continue;
        }
        reserve(*worker, candidate);
        task_run const copy{candidate.task, candidate.number};
        worker->second.runs.at(copy).is_copy = true;
        update_shares(worker->second, pass.now);
        worker_instance const instance{worker->first,
                                       worker->second.incarnation};
        pass.placed.push_back({copy, instance});
        events_.push_back({run_event_kind::copied, copy, instance});
    }
}

/// The best worker other than that of the first run: near the data of the step
/// first, then in another rack, whose state cannot be what slows the run down.
auto run_scheduler::choose_copy_worker(identified_worker const& first,
                                       candidate_run const& candidate,
                                       plan_pass& pass) -> identified_worker*
{
    auto const first_rack =
        first.second.info ? first.second.info->rack : rack_id{};
    std::optional<std::tuple<int, int, std::int64_t, worker_id>> best_score;
    identified_worker* best{nullptr};
    for (auto* const worker : pass.pools[pool_of(*candidate.record)])
    {
        ++pass.visits;
        auto const [is_far, room, rest] = score_of(*worker, candidate, pass);
        auto const in_same_rack = worker->second.info->rack == first_rack;
        std::tuple const score{is_far, in_same_rack ? 1 : 0, room,
                               worker->first};
        if (worker != &first && (!best_score || score < *best_score) &&
            can_place(*worker, candidate, pass))
        {
            best_score = score;
            best = worker;
        }
    }
    return best;
}

auto run_scheduler::report_no_copy(run_event_kind reason, task_run const& run)
    -> void
{
    if (reported_no_copy_.emplace(run, reason).second)
    {
        auto const& [id, worker] = *worker_of_run_.at(run);
        events_.push_back({reason, run, {id, worker.incarnation}});
    }
}

auto run_scheduler::report_winner(ended_run const& ended) -> void
{
    auto const* const record = state_.workflows().find(ended.run.task.workflow);
    auto const* const progress =
        record == nullptr ? nullptr : record->find(ended.run.task);
    if (progress == nullptr || ended.outcome != run_end::finished ||
        progress->active.empty())
    {
        return;
    }
    auto const other = progress->active.front().number;
    auto const found = worker_of_run_.find(ended.run);
    if (found != worker_of_run_.end())
    {
        events_.push_back(
            {ended.run.number > other ? run_event_kind::copy_won
                                      : run_event_kind::copy_lost,
             ended.run,
             {found->second->first, found->second->second.incarnation}});
    }
}

} // namespace apricotlb
