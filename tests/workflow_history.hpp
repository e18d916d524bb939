/// Seeded commands on workflows, and what the records say of their tasks.
#ifndef APRICOTLB_TESTS_WORKFLOW_HISTORY_HPP
#define APRICOTLB_TESTS_WORKFLOW_HISTORY_HPP

#include "core/random.hpp"
#include "core/state/state_machine.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// What a table says of the tasks that may be started and of its queues.
struct ready_view
{
    std::map<ready_step, ready_tasks> ready;
    std::size_t count{0};
    std::map<queue_name, std::size_t> waiting;

    auto operator==(ready_view const&) const -> bool = default;
};

inline auto const history_queues =
    std::array{queue_name{"first"}, queue_name{"second"}};

/// The view that the table keeps up to date.
inline auto kept_view(workflow_table const& table) -> ready_view
{
    ready_view out{table.ready(), table.ready_count(), {}};
    for (auto const& name : history_queues)
    {
        out.waiting[name] = table.waiting_count(name);
    }
    return out;
}

/// The view that follows from the records alone.
inline auto walked_view(workflow_table const& table) -> ready_view
{
    ready_view out;
    for (auto const& name : history_queues)
    {
        out.waiting[name] = 0;
    }
    auto const has_ended = [](step_progress const& step)
    {
        return std::ranges::none_of(step.tasks, [](task_progress const& it)
                                    { return !it.finished; });
    };
    for (auto const& [id, record] : table.live())
    {
        if (record.failed || record.cancelled)
        {
            continue;
        }
        out.waiting[record.terms.name] += record.started ? 0U : 1U;
        for (std::uint32_t k = 0; k < record.occurrences.size(); ++k)
        {
            auto const& steps = record.occurrences[k].steps;
            for (std::uint32_t n = 0; n < steps.size(); ++n)
            {
                auto is_open = true;
                for (auto const before : record.spec.steps[n].prerequisites)
                {
                    is_open = is_open && has_ended(steps[before.value()]);
                }
                for (std::uint32_t i = 0; is_open && i < steps[n].tasks.size();
                     ++i)
                {
                    auto const& task = steps[n].tasks[i];
                    if (task.finished || !task.active.empty())
                    {
                        continue;
                    }
                    auto& step = out.ready[{
                        record.accepted, occurrence_index{k}, step_index{n}}];
                    step.workflow = id;
                    step.tasks.insert(task_index{i});
                    ++out.count;
                }
            }
        }
    }
    return out;
}

/// True if no record stays live that has neither work left nor active runs.
inline auto has_no_overdue_record(workflow_table const& table) -> bool
{
    return std::ranges::none_of(
        table.live(),
        [](auto const& each)
        {
            auto const& record = each.second;
            auto has_active = false;
            record.for_each_active([&has_active](auto const&...)
                                   { has_active = true; });
            auto const state = record.state();
            return !has_active && (state == workflow_state::completed ||
                                   state == workflow_state::failed ||
                                   state == workflow_state::cancelled);
        });
}

/// Draws commands as leaders propose them, among them repeated, late and partly
/// applicable ones.
class workflow_history
{
public:
    explicit workflow_history(std::uint64_t seed) : random_(seed) {}

    auto next(state_machine const& state) -> command
    {
        auto const& table = state.workflows();
        switch (below(16))
        {
        case 0:
        case 1:
            return submission();
        case 2:
            return below(3) == 0
                       ? command{cancel_workflow{drawn_id(), wall_time{now()}}}
                       : command{ends()};
        case 3:
            return below(4) == 0 ? command{expire_workflows{wall_time{now()}}}
                                 : command{ends()};
        case 4:
            return below(4) == 0 ? command{contracts()} : command{ends()};
        case 5:
        case 6:
        case 7:
        case 8:
            return ends();
        default:
            return starts(table);
        }
    }

    auto below(std::uint64_t n) -> std::uint64_t
    {
        return next_random(random_) % n;
    }

private:
    auto now() -> seconds { return seconds{++time_}; }
    auto drawn_id() -> workflow_id
    {
        return workflow_id{std::string(1, static_cast<char>('a' + below(5)))};
    }
    static auto queue(std::size_t n, std::uint32_t failures) -> queue_contract
    {
        queue_contract it;
        it.name = history_queues[n];
        it.pool = pool_name{"p"};
        it.timeout = milliseconds{1000};
        it.max_failures = failures;
        return it;
    }

    auto contracts() -> apply_contract_set
    {
        contract_set it;
        it.version = contract_set_version{++version_};
        it.pools.push_back({pool_name{"p"}, true, false});
        it.queues.push_back(queue(0, static_cast<std::uint32_t>(1 + below(3))));
        return {it};
    }

    auto submission() -> submit_workflow
    {
        workflow_spec spec;
        spec.id = drawn_id();
        spec.repeats.times =
            occurrence_index{static_cast<std::uint32_t>(below(3))};
        auto const steps = 1 + below(4);
        for (std::uint32_t n = 0; n < steps; ++n)
        {
            step_spec it;
            it.tasks = task_count{static_cast<std::int64_t>(1 + below(4))};
            for (std::uint32_t k = 0; k < n; ++k)
            {
                if (below(2) == 0)
                {
                    it.prerequisites.push_back(step_index{k});
                }
            }
            it.gang = below(3) == 0;
            it.permanent = below(5) == 0;
            it.allows_copies = !it.gang && !it.permanent && below(3) == 0;
            spec.steps.push_back(it);
        }
        return {spec, queue(below(2), static_cast<std::uint32_t>(1 + below(4))),
                wall_time{now()}};
    }

    auto worker() -> worker_instance
    {
        return {worker_id{"w" + std::to_string(below(3))},
                worker_incarnation{1}};
    }

    /// Runs of ready tasks and of tasks with a run, with right and wrong
    /// numbers. Nobody proposes a run of a step whose prerequisites are open.
    auto starts(workflow_table const& table) -> start_runs
    {
        std::vector<workflow_task> tasks;
        for (auto const& [step, ready] : walked_view(table).ready)
        {
            for (auto const index : ready.tasks)
            {
                tasks.push_back(
                    {ready.workflow, step.occurrence, step.step, index});
            }
        }
        std::vector<task_run> active;
        for (auto const& [id, record] : table.live())
        {
            record.for_each_active(
                [&active](workflow_task const& task, task_progress const&,
                          active_run const& run) {
                    active.push_back({task, run.number});
                });
        }
        // The order of live() is not the same everywhere.
        std::ranges::sort(active);
        start_runs out;
        for (auto n = 1 + below(4); n > 0; --n)
        {
            auto const kind = below(8);
            if (kind == 0 && !active.empty())
            {
                auto run = active[below(active.size())];
                run.number += run_number{static_cast<std::uint32_t>(below(2))};
                add(out, run);
            }
            else if (kind == 1)
            {
                add(out, {{drawn_id(), {}, step_index{7}, {}}, run_number{1}});
            }
            else if (!tasks.empty())
            {
                add_task(out, table, tasks[below(tasks.size())]);
            }
        }
        return out;
    }

    auto add_task(start_runs& out, workflow_table const& table,
                  workflow_task task) -> void
    {
        auto const* const record = table.find(task.workflow);
        if (!record->step(task).gang)
        {
            auto const is_old = below(8) == 0;
            add(out, {task,
                      record->find(task)->last + run_number{is_old ? 0U : 1U}});
            return;
        }
        auto const& members = record->occurrences[task.occurrence.value()]
                                  .steps[task.step.value()]
                                  .tasks;
        run_number last;
        for (auto const& each : members)
        {
            last = std::max(last, each.last);
        }
        auto const refused = below(2 * members.size());
        for (std::uint32_t n = 0; n < members.size(); ++n)
        {
            task.index = task_index{n};
            add(out,
                {task, n == refused ? members[n].last : last + run_number{1}});
        }
    }

    auto add(start_runs& out, task_run const& run) -> void
    {
        out.runs.push_back({run, worker()});
        started_.push_back(run);
    }

    auto ends() -> end_runs
    {
        constexpr std::array outcomes{
            run_end::finished, run_end::finished, run_end::finished,
            run_end::finished, run_end::failed,   run_end::stopped,
            run_end::lapsed,   run_end::broken,   run_end::alone,
            run_end::lost,     run_end::lost,     run_end::not_started,
            run_end::crashed,  run_end::crashed};
        end_runs out;
        out.at = wall_time{now()};
        for (auto n = 1 + below(5); n > 0 && !started_.empty(); --n)
        {
            // Mostly the newest ones; of the others the end may be recorded.
            auto const depth = below(3) == 0
                                   ? started_.size()
                                   : std::min<std::size_t>(started_.size(), 12);
            auto const& run = started_[started_.size() - 1 - below(depth)];
            out.runs.push_back(
                {run, outcomes[below(outcomes.size())],
                 checkpoint_id{below(3) == 0 ? "c" + std::to_string(time_)
                                             : ""}});
        }
        return out;
    }

    std::uint64_t random_;
    std::int64_t time_{0};
    std::uint64_t version_{0};
    std::vector<task_run> started_;
};

} // namespace apricotlb

#endif
