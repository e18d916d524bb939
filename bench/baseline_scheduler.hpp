/// The baseline that the policies are measured against: first fit, first come
/// first served, declared sizes, no learning, eviction at once on trouble.
#ifndef APRICOTLB_BENCH_BASELINE_SCHEDULER_HPP
#define APRICOTLB_BENCH_BASELINE_SCHEDULER_HPP

#include "core/messages.hpp"
#include "core/scheduling/commitments.hpp"
#include "core/scheduling/scheduler_state.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Takes the same events as scheduler and returns the same actions.
class baseline_scheduler
{
public:
    auto contract_set(contract const& it, time_point) -> void
    {
        contracts_[it.customer] = it;
    }
    auto worker_registered(worker_info const& it, time_point) -> void
    {
        auto const worker = ids_.ref(it.id);
        used_.set_capacity(worker, it.capacity);
        get_or_grow(workers_, worker).info = it;
    }
    auto job_submitted(job_spec const& it, time_point) -> void
    {
        jobs_[{it.customer, it.id}] = it;
        for (std::uint32_t n = 0; n < it.tasks.value(); ++n)
        {
            queue_.push_back({it.customer, {it.id, task_index{n}}});
        }
    }
    auto attempt_placed(place_task const& it, time_point) -> void
    {
        auto& task = tasks_[{it.customer, it.attempt.task}];
        task.recorded = true;
    }
    auto attempt_ended(end_attempt const& it, time_point) -> void
    {
        auto& task = tasks_[{it.customer, it.attempt.task}];
        auto const& job = jobs_.at({it.customer, it.attempt.task.job});
        used_.release(task.worker, customers_.ref(it.customer), job.each, true);
        std::erase(workers_[pos(task.worker)].running,
                   key{it.customer, it.attempt.task});
        task.recorded = false;
        task.ending = false;
        if (it.checkpoint)
        {
            task.checkpoint = it.checkpoint;
        }
        if (it.how != attempt_end::finished)
        {
            queue_.push_back({it.customer, it.attempt.task});
        }
    }
    auto on_report(worker_report const& it, time_point) -> worker_report_answer
    {
        workers_[pos(ids_.ref(it.worker))].number = it.number;
        worker_report_answer answer;
        for (auto const& end : it.ended)
        {
            auto& task = tasks_[{end.customer, end.attempt.task}];
            if (task.number != end.attempt.number || !task.recorded)
            {
                answer.recorded.push_back({end.customer, end.attempt});
            }
            else if (!std::exchange(task.ended, true))
            {
                actions_.emplace_back(
                    propose{end_attempt{end.customer, end.attempt, end.how,
                                        end.checkpoint, false}});
            }
        }
        return answer;
    }
    auto on_latency(latency_report const& it, backend_info const& backend,
                    time_point) -> void
    {
        auto const& terms = contracts_.at(backend.customer);
        auto& worker = workers_[pos(ids_.ref(*backend.worker))];
        if (it.p99.count() * 1000 <
            terms.urgent_latency.count() * config::throttle_above.value())
        {
            return;
        }
        // The most recent batch task goes first.
        for (auto n = worker.running.size(); n > 0; --n)
        {
            auto const& who = worker.running[n - 1];
            auto& task = tasks_[who];
            if (task.recorded && !std::exchange(task.ending, true))
            {
                ++evictions_;
                send(worker,
                     checkpoint_attempt{who.first, {who.second, task.number}});
                return;
            }
        }
    }
    auto tick(time_point, random_bits) -> void
    {
        for (auto it = queue_.begin(); it != queue_.end();)
        {
            if (!place(*it))
            {
                return;
            }
            it = queue_.erase(it);
        }
    }
    auto take_actions() -> std::vector<scheduler_action>
    {
        return std::exchange(actions_, {});
    }
    /// Sends the start of a recorded attempt.
    auto start(place_task const& it) -> void
    {
        auto const& job = jobs_.at({it.customer, it.attempt.task.job});
        auto const& task = tasks_[{it.customer, it.attempt.task}];
        auto const& worker = workers_[pos(task.worker)];
        send(worker, start_attempt{it.customer, it.attempt, job.kind, job.work,
                                   it.committed, job.payload, task.checkpoint,
                                   worker.number, milliseconds{10'000}});
    }
    [[nodiscard]] auto evictions() const -> std::uint64_t { return evictions_; }

private:
    using key = std::pair<customer_id, task_id>;
    struct task_entry
    {
        worker_ref worker;
        attempt_number number;
        std::optional<checkpoint_id> checkpoint;
        bool recorded{false};
        bool ending{false};
        bool ended{false};
    };
    struct worker_entry
    {
        worker_info info;
        sequence number;
        std::vector<key> running;
    };

    auto send(worker_entry const& worker, worker_command value) -> void
    {
        actions_.emplace_back(send_command{worker.info.id, worker.info.address,
                                           std::move(value)});
    }

    auto place(key const& who) -> bool
    {
        auto const& job = jobs_.at({who.first, who.second.job});
        auto const customer = customers_.ref(who.first);
        auto const share = contracts_.at(who.first).vm_share;
        for (std::uint32_t n = 0; n < workers_.size(); ++n)
        {
            worker_ref const worker{n};
            auto held = used_.held(worker, customer);
            held += job.each;
            if (!job.each.fits_into(used_.free(worker)) ||
                !held.fits_into(share_of(used_.capacity(worker), share)))
            {
                continue;
            }
            used_.commit(worker, customer, job.each, true);
            auto& task = tasks_[who];
            task.worker = worker;
            task.ended = false;
            ++task.number;
            workers_[n].running.push_back(who);
            actions_.emplace_back(propose{place_task{who.first,
                                                     {who.second, task.number},
                                                     workers_[n].info.id,
                                                     job.each}});
            return true;
        }
        return false;
    }

    std::uint64_t evictions_{0};
    std::map<customer_id, contract> contracts_;
    std::map<std::pair<customer_id, job_id>, job_spec> jobs_;
    std::map<key, task_entry> tasks_;
    std::deque<key> queue_;
    interner<worker_id, worker_ref> ids_;
    interner<customer_id, customer_ref> customers_;
    std::vector<worker_entry> workers_;
    commitments used_;
    std::vector<scheduler_action> actions_;
};

} // namespace apricotlb

#endif
