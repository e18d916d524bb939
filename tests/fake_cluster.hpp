/// Stand-ins for the log and for workers around one scheduler.
#ifndef APRICOTLB_TESTS_FAKE_CLUSTER_HPP
#define APRICOTLB_TESTS_FAKE_CLUSTER_HPP

#include "core/scheduling/scheduler.hpp"
#include "fake_worker.hpp"

#include <apricotlb/config.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

class fake_cluster
{
public:
    explicit fake_cluster(std::uint64_t seed, scheduler_policy policy = {})
        : policy_(policy), random_(seed),
          leader(scheduler::builder{}.policy(policy).build())
    {
    }

    [[nodiscard]] auto now() const -> time_point { return now_; }
    auto random(std::uint64_t n) -> std::uint64_t
    {
        return next_random(random_) % n;
    }

    auto add_contract(std::string const& who, int share, int tasks = 100'000)
        -> void
    {
        contract it;
        it.customer = customer_id{who};
        it.version = contract_version{1};
        it.vm_share = permille{share};
        it.urgent_latency = milliseconds{100};
        it.batch = {{millicores{1'000'000'000}, byte_count{1'000'000'000'000},
                     accelerators{10'000}},
                    task_count{tasks}};
        contracts[it.customer] = it;
        leader.contract_set(it, now_);
    }

    auto add_worker(int n, int rack, int cores = 8) -> worker_id
    {
        fake_worker it;
        it.info.id = worker_id{"w" + std::to_string(n)};
        it.info.address = url{"http://10.0.0.1:1"};
        it.info.zone = zone_id{"z" + std::to_string(rack % 3)};
        it.info.rack = rack_id{"r" + std::to_string(rack)};
        it.info.capacity = {
            millicores{std::int64_t{cores} * 1000}, byte_count{64'000}, {}};
        // Within the drift that leases allow for, in both directions.
        it.clock = permille{955 + static_cast<int>(random(90))};
        leader.worker_registered(it.info, now_);
        workers[it.info.id] = it;
        return it.info.id;
    }

    auto submit(std::string const& who, std::string const& id,
                std::string const& work, int tasks, int cores = 1,
                job_class kind = job_class::batch) -> void
    {
        job_spec it;
        it.id = job_id{id};
        it.customer = customer_id{who};
        it.kind = kind;
        it.work = work_kind{work};
        it.tasks = task_count{tasks};
        it.each = {
            millicores{std::int64_t{cores} * 1000}, byte_count{1000}, {}};
        jobs.push_back(it);
        for (auto n = 0; n < tasks; ++n)
        {
            task_id const task{it.id, task_index{static_cast<unsigned>(n)}};
            tasks_of_log[{it.customer, task}].record = {
                it.customer, task, {}, {}, {}};
        }
        leader.job_submitted(it, now_);
    }

    auto cancel(std::string const& who, std::string const& id) -> void
    {
        customer_id const customer{who};
        cancelled.insert({customer, job_id{id}});
        for (auto& [key, it] : tasks_of_log)
        {
            if (key.first == customer && key.second.job == job_id{id} &&
                it.record.state == task_state::waiting)
            {
                finish(it, task_state::cancelled);
            }
        }
        leader.job_cancelled(customer, job_id{id}, now_);
    }

    /// Replaces the leader; proposals that were not applied are lost.
    auto change_leader() -> void
    {
        log_.clear();
        leader = scheduler::builder{}.policy(policy_).build();
        for (auto const& [id, it] : contracts)
        {
            leader.contract_set(it, now_);
        }
        for (auto const& [id, it] : workers)
        {
            leader.worker_registered(it.info, now_);
        }
        for (auto const& it : jobs)
        {
            leader.job_submitted(it, now_);
        }
        for (auto const& [key, it] : tasks_of_log)
        {
            leader.task_restored(it.record, now_);
            if (it.placed)
            {
                leader.attempt_placed(*it.placed, now_);
            }
        }
        for (auto const& [customer, job] : cancelled)
        {
            leader.job_cancelled(customer, job, now_);
        }
        leader.interference_restored(saved, now_);
    }

    /// The process of a worker ends and forgets everything but its number.
    auto crash(worker_id const& id) -> void
    {
        auto& it = workers.at(id);
        it.up = false;
        it.running.clear();
        it.ended.clear();
        it.seen.clear();
        it.sent_at.clear();
    }

    auto report_latency(worker_id const& id, std::string const& service,
                        milliseconds p99) -> void
    {
        backend_info const info{backend_id{service + id.value()},
                                contracts.begin()->first,
                                service_name{service},
                                {},
                                {},
                                id,
                                {},
                                {}};
        leader.on_latency(
            {info.id, p99, p99, request_count{100}, milliseconds{200}}, info,
            now_);
    }

    auto run(
        duration d, std::function<void()> const& each_second = [] {}) -> void;

    [[nodiscard]] auto count(std::string const& job, task_state state) const
        -> int
    {
        auto n = 0;
        for (auto const& [key, it] : tasks_of_log)
        {
            n += key.second.job.value().starts_with(job) &&
                         it.record.state == state
                     ? 1
                     : 0;
        }
        return n;
    }

    auto violation(std::string what) -> void
    {
        if (violations.size() < 5)
        {
            violations.push_back(
                std::move(what) + " at " +
                std::to_string(now_.time_since_epoch().count()));
        }
    }

private:
    using log_key = std::pair<customer_id, task_id>;

    static auto finish(logged_task& it, task_state state) -> void
    {
        it.record.state = state;
        ++it.final_states;
    }

    scheduler_policy policy_;
    std::uint64_t random_;
    time_point now_{};

public:
    scheduler leader;
    fault_rates faults;
    std::map<customer_id, contract> contracts;
    std::map<worker_id, fake_worker> workers;
    std::vector<job_spec> jobs;
    std::set<std::pair<customer_id, job_id>> cancelled;
    std::map<std::string, work_behaviour> behaviour;
    std::map<log_key, logged_task> tasks_of_log;
    std::vector<interference_entry> saved;
    std::vector<std::string> violations;
    std::vector<send_command> sent; ///< every command, in order
    bool keep_sent{false};

private:
    auto after(std::function<void()> const& f) -> void
    {
        auto const copies = static_cast<int>(random(100)) < faults.lost ? 0
                            : static_cast<int>(random(100)) < faults.doubled
                                ? 2
                                : 1;
        for (auto n = 0; n < copies; ++n)
        {
            auto const delay = random(
                static_cast<std::uint64_t>(faults.longest_delay.count()) + 1);
            events_.emplace(now_ + milliseconds{delay}, f);
        }
    }
    auto apply(command const& it) -> void;
    auto take(std::vector<scheduler_action> all) -> void;
    auto deliver(worker_id const& id, worker_command const& value) -> void;
    auto step_worker(fake_worker& it, duration d) -> void;
    auto send_report(fake_worker& it) -> void;
    auto answer(worker_id const& id, std::uint64_t number,
                worker_report_answer const& it) -> void;
    auto check() -> void;

    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::pair<time_point, command>> log_;
    std::map<std::string, duration> progress_; ///< by checkpoint
};

} // namespace apricotlb

#endif
