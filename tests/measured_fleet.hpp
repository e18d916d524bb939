/// A leader whose workers answer its orders at once and report latencies.
#ifndef APRICOTLB_TESTS_MEASURED_FLEET_HPP
#define APRICOTLB_TESTS_MEASURED_FLEET_HPP

#include "core/fleet/run_scheduler.hpp"

#include <apricotlb/config.hpp>

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Workers of 16 cores. A serving task has a tail latency of `idle_latency`,
/// multiplied by exp(effect) for each scavenging task beside it at full pace.
/// Commands are committed and orders carried out at once; nothing ends by
/// itself.
class measured_fleet
{
public:
    explicit measured_fleet(std::size_t workers)
        : scheduler_(state, term{1}, now, fleet_policy{})
    {
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_contract queue;
        queue.name = queue_name{"q"};
        queue.pool = pool_name{"pool"};
        queue.timeout = milliseconds{3000};
        queue.priority = queue_priority{1};
        set.queues.push_back(queue);
        apply(apply_contract_set{set});
        for (std::size_t n = 0; n < workers; ++n)
        {
            names_.push_back("w" + std::to_string(n));
        }
        announce();
    }

    auto add_worker(std::string const& name) -> void { names_.push_back(name); }

    static auto serving_step(std::int64_t tasks) -> step_spec
    {
        step_spec step;
        step.tasks = task_count{tasks};
        step.each = {millicores{3000}, byte_count{6000}, {}};
        step.image = image_name{"serving"};
        step.latency_target = milliseconds{100};
        step.permanent = true;
        step.max_per_worker = task_count{1};
        return step;
    }
    static auto scavenging_step(std::string const& image, std::int64_t tasks)
        -> step_spec
    {
        step_spec step;
        step.tasks = task_count{tasks};
        step.each = {millicores{1000}, byte_count{1000}, {}};
        step.image = image_name{image};
        step.scavenges = true;
        return step;
    }

    auto submit(std::string const& id, std::vector<step_spec> steps) -> void
    {
        workflow_spec spec;
        spec.id = workflow_id{id};
        spec.steps = std::move(steps);
        apply(
            submit_workflow{spec, state.contract_sets().current()->queues[0]});
    }

    auto apply(command const& it) -> void
    {
        state.apply(it, state.applied() + log_index{1});
        scheduler_.on_applied(it, now);
    }

    /// Passes in steps of 50 ms; workers report every 500 ms.
    auto run(duration time) -> void
    {
        for (auto const end = now + time; now < end;)
        {
            now += milliseconds{50};
            if (now >= next_report_)
            {
                next_report_ = now + milliseconds{500};
                announce();
                report();
            }
            scheduler_.tick(now);
            scheduler_.plan(now, wall_time{});
            carry_out();
            for (auto const& [worker, runs] : runs_)
            {
                for (auto const& [run, it] : runs)
                {
                    work[run.task.workflow.value()] +=
                        it.pace.value() * milliseconds{50} / 1000;
                }
            }
        }
    }

    /// Runs of a workflow that workers were told to start and have not ended.
    [[nodiscard]] auto running(std::string const& workflow) const -> std::size_t
    {
        std::size_t n{0};
        for (auto const& [worker, runs] : runs_)
        {
            for (auto const& [run, it] : runs)
            {
                n += run.task.workflow == workflow_id{workflow} ? 1 : 0;
            }
        }
        return n;
    }

    [[nodiscard]] auto running_on(std::string const& worker) const
        -> std::size_t
    {
        auto const found = runs_.find(worker);
        return found == runs_.end() ? 0 : found->second.size();
    }

    /// Ends the runs of a workflow.
    auto finish(std::string const& workflow,
                run_end outcome = run_end::finished) -> void
    {
        end_runs ends;
        for (auto& [worker, runs] : runs_)
        {
            std::erase_if(runs,
                          [&](auto const& each)
                          {
                              auto const& run = each.first;
                              if (run.task.workflow != workflow_id{workflow})
                              {
                                  return false;
                              }
                              ends.runs.push_back({run, outcome, {}});
                              return true;
                          });
        }
        apply(ends);
        scheduler_.on_recorded({ends.runs, {}}, now);
    }

    [[nodiscard]] auto latency_on(std::string const& worker) const -> double
    {
        auto out = idle_latency;
        for (auto const& [run, it] : runs_.at(worker))
        {
            if (it.scavenges)
            {
                out *= std::exp(effect(it.image) * it.pace.value() / 1000.0);
            }
        }
        return out;
    }

    [[nodiscard]] auto scheduler() -> run_scheduler& { return scheduler_; }
    [[nodiscard]] auto names() const -> std::vector<std::string> const&
    {
        return names_;
    }
    [[nodiscard]] auto stalls() -> std::vector<stalled_step>
    {
        return scheduler_.longest_waiting(now, wall_time{}).steps;
    }

    time_point now{seconds{100}};
    state_machine state;
    std::map<std::string, worker_phase> phases; ///< `ready` for the others
    double idle_latency{20};                    ///< in ms
    std::size_t stops{0};                       ///< orders
    /// Of the runs of a workflow, as time at full pace.
    std::map<std::string, duration> work;
    std::function<double(std::string const&)> effect = [](std::string const&)
    { return 0.0; };

private:
    struct known_run
    {
        std::string image;
        bool scavenges{false};
        permille pace{1000};
    };

    auto announce() -> void
    {
        ++announcements_;
        for (auto const& name : names_)
        {
            worker_announcement it;
            it.instance = {worker_id{name}, worker_incarnation{1}};
            it.address = url{"http://" + name};
            it.pool = pool_name{"pool"};
            it.capacity = {millicores{16'000}, byte_count{64'000}, {}};
            it.number = sequence{announcements_};
            auto const phase = phases.find(name);
            it.phase =
                phase == phases.end() ? worker_phase::ready : phase->second;
            it.clock = clock();
            scheduler_.on_announcement(it, now);
        }
        carry_out();
    }

    [[nodiscard]] auto clock() const -> worker_clock
    {
        return worker_clock{
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
                .count()};
    }

    auto report() -> void
    {
        for (auto const& [worker, runs] : runs_)
        {
            poll_answer answer;
            answer.outcome = order_outcome::done;
            answer.lists.incarnation = worker_incarnation{1};
            answer.lists.clock = clock();
            for (auto const& [run, it] : runs)
            {
                running_row row;
                row.run = run;
                row.checkpoint = checkpoint_id{"c"};
                row.load =
                    it.scavenges ? 1000 : std::lround(latency_on(worker));
                answer.lists.running.push_back(row);
            }
            poll_order order;
            order.to.instance = {worker_id{worker}, worker_incarnation{1}};
            order.to.fence = make_fence(
                term{1}, scheduler_.workers().at(worker_id{worker}).life);
            scheduler_.on_answer(order, answer, now);
            carry_out();
        }
    }

    auto carry_out() -> void
    {
        for (auto actions = scheduler_.take_actions(); !actions.empty();
             actions = scheduler_.take_actions())
        {
            for (auto const& action : actions)
            {
                std::visit([this](auto const& it) { execute(it); }, action);
            }
        }
    }

    auto execute(propose_starts const& it) -> void
    {
        apply(start_runs{it.value});
    }
    auto execute(propose_ends const& it) -> void
    {
        apply(it.to_command({}));
        scheduler_.on_recorded(it, now);
    }
    auto execute(start_order const& it) -> void
    {
        auto const* const record = state.workflows().find(it.run.task.workflow);
        auto const& step = record->step(it.run.task);
        runs_[it.to.instance.id.value()][it.run] = {step.image.value(),
                                                    step.scavenges};
        scheduler_.on_answer(it, {order_outcome::done, clock()}, now);
    }
    auto execute(stop_order const& it) -> void
    {
        ++stops;
        runs_[it.to.instance.id.value()].erase(it.run);
        scheduler_.on_answer(it, {order_outcome::done, clock()}, now);
    }
    auto execute(pace_order const& it) -> void
    {
        runs_[it.to.instance.id.value()].at(it.run).pace = it.pace;
        scheduler_.on_answer(it, {order_outcome::done, clock()}, now);
    }
    /// Workers answer their first poll; they report by report() from then on.
    auto execute(poll_order const& it) -> void
    {
        if (!scheduler_.workers().at(it.to.instance.id).is_listed)
        {
            poll_answer answer;
            answer.outcome = order_outcome::done;
            answer.lists.incarnation = it.to.instance.incarnation;
            answer.lists.clock = clock();
            scheduler_.on_answer(it, answer, now);
        }
    }

    run_scheduler scheduler_;
    std::vector<std::string> names_;
    std::map<std::string, std::map<task_run, known_run>> runs_;
    std::uint64_t announcements_{0};
    time_point next_report_{};
};

} // namespace apricotlb

#endif
