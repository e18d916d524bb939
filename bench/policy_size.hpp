/// Speed and memory of the scheduler at the size it is designed for.
#ifndef APRICOTLB_BENCH_POLICY_SIZE_HPP
#define APRICOTLB_BENCH_POLICY_SIZE_HPP

#include "core/scheduling/scheduler.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace apricotlb::bench
{

struct size_figures
{
    double decisions_per_s{0};
    double bytes_per_worker{0};
    double bytes_per_task{0};
    double reports_per_s{0};
    std::size_t running{0};
};

/// A cluster with two services per three workers, filled with services and
/// batch tasks; then tasks end and new ones arrive.
class size_run
{
public:
    explicit size_run(int workers) : workers_(workers) {}

    auto run() -> size_figures
    {
        auto const empty = heap();
        set_up();
        auto const idle = heap();
        fill();
        auto const full = heap();
        figures_.running = running_.size();
        figures_.bytes_per_worker = (idle - empty) / workers_;
        figures_.bytes_per_task =
            (full - idle) / static_cast<double>(running_.size());
        churn();
        return figures_;
    }

private:
    using wall = std::chrono::steady_clock;

    static auto heap() -> double
    {
        return static_cast<double>(mallinfo2().uordblks);
    }
    auto worker_name(int n) const -> worker_id
    {
        return worker_id{"worker-" + std::to_string(10'000 + n)};
    }
    auto customer_name(int n) const -> customer_id
    {
        return customer_id{"team-" + std::to_string(n)};
    }

    auto set_up() -> void
    {
        for (auto n = 0; n < 380; ++n)
        {
            contract it;
            it.customer = customer_name(n);
            it.version = contract_version{1};
            it.vm_share = permille{400};
            it.urgent_latency = milliseconds{300};
            it.batch = {{millicores{1'000'000'000},
                         byte_count{std::int64_t{1} << 50},
                         accelerators{100'000}},
                        task_count{1'000'000}};
            scheduler_.contract_set(it, now_);
        }
        for (auto n = 0; n < workers_; ++n)
        {
            worker_info it;
            it.id = worker_name(n);
            it.address = url{"http://10.0.0.1:8080"};
            it.rack = rack_id{"rack-" + std::to_string(n / 20)};
            it.zone = zone_id{"zone-" + std::to_string(n / 20 % 8)};
            auto const accels = n % 25 < 7 ? 8 : 0; // 13,000 of 5,800 workers
            it.capacity = {millicores{32'000},
                           byte_count{std::int64_t{128} << 30},
                           accelerators{accels}};
            scheduler_.worker_registered(it, now_);
        }
        report_all();
    }

    auto report_all() -> void
    {
        ++reports_;
        std::vector<worker_report> all(static_cast<std::size_t>(workers_));
        for (auto n = 0; n < workers_; ++n)
        {
            all[static_cast<std::size_t>(n)].worker = worker_name(n);
            all[static_cast<std::size_t>(n)].number = sequence{reports_};
        }
        for (auto const& it : running_)
        {
            auto const n = std::stoul(it.worker.value().substr(7)) - 10'000;
            all[n].running.push_back({it.customer, it.attempt, it.committed,
                                      milliseconds{500}, permille{1000}});
        }
        auto const start = wall::now();
        for (auto const& it : all)
        {
            auto const answer = scheduler_.on_report(it, now_);
            answered_ += answer.renewed.size();
        }
        std::chrono::duration<double> const took = wall::now() - start;
        figures_.reports_per_s = workers_ / took.count();
        // Every third worker hosts no backend server.
        for (auto n = 0; n < workers_; ++n)
        {
            if (n % 3 < 2)
            {
                backend_info info;
                info.id = backend_id{"b" + std::to_string(n)};
                info.customer = customer_name(n % 380);
                info.service = service_name{"s" + std::to_string(n % 100)};
                info.worker = worker_name(n);
                scheduler_.on_latency({info.id, milliseconds{80},
                                       milliseconds{90}, request_count{500},
                                       milliseconds{1000}},
                                      info, now_);
            }
        }
    }

    auto submit(int tasks, bool is_service) -> void
    {
        for (auto n = 0; n < tasks; n += 10)
        {
            ++jobs_;
            job_spec it;
            it.id = job_id{"job-" + std::to_string(jobs_)};
            it.customer = customer_name(jobs_ % 380);
            it.kind = is_service ? job_class::service : job_class::batch;
            it.work = work_kind{"kind-" + std::to_string(jobs_ % 200)};
            it.tasks = task_count{10};
            it.each = {millicores{1000 + 250 * (jobs_ % 5)},
                       byte_count{std::int64_t{4} << 30},
                       accelerators{jobs_ % 7 == 0 ? 1 : 0}};
            it.payload = "frame";
            scheduler_.job_submitted(it, now_);
        }
    }

    auto place(int most) -> void
    {
        for (auto idle = 0; idle < 12 && most > 0;)
        {
            now_ += milliseconds{100};
            scheduler_.tick(now_, random_bits{next_random(random_)});
            auto const before = running_.size();
            for (auto& it : scheduler_.take_actions())
            {
                auto* value = std::get_if<propose>(&it);
                auto* task =
                    value ? std::get_if<place_task>(&value->value) : nullptr;
                if (task)
                {
                    scheduler_.attempt_placed(*task, now_);
                    running_.push_back(std::move(*task));
                    --most;
                }
            }
            auto const starts = scheduler_.take_actions();
            commands_ += starts.size();
            idle = running_.size() == before ? idle + 1 : 0;
        }
    }

    auto fill() -> void
    {
        auto const per_worker = 63'000.0 / 5'800;
        auto const wanted = static_cast<int>(per_worker * workers_);
        submit(wanted * 30 / 63, true);
        submit(wanted * 33 / 63, false);
        auto last = std::size_t{0};
        do
        {
            last = running_.size();
            report_all();
            place(4000);
        } while (running_.size() < static_cast<std::size_t>(wanted) &&
                 running_.size() > last);
        report_all();
    }

    auto churn() -> void
    {
        constexpr auto per_round = 1000;
        auto decisions = std::size_t{0};
        std::chrono::duration<double> took{0};
        for (auto round = 0; round < 30; ++round)
        {
            now_ += seconds{1};
            report_all();
            submit(per_round / 2, true);
            submit(per_round / 2, false);
            std::vector<place_task> ended;
            for (auto n = 0; n < per_round; ++n)
            {
                auto const at = next_random(random_) % running_.size();
                ended.push_back(running_[at]);
                running_[at] = running_.back();
                running_.pop_back();
            }
            auto const before = running_.size();
            auto const start = wall::now();
            for (auto const& it : ended)
            {
                scheduler_.attempt_ended(
                    {it.customer, it.attempt, attempt_end::finished, {}, false},
                    now_);
            }
            place(per_round);
            took += wall::now() - start;
            decisions += running_.size() - before;
        }
        figures_.decisions_per_s =
            static_cast<double>(decisions) / took.count();
    }

    int workers_;
    int jobs_{0};
    std::uint64_t reports_{0};
    std::uint64_t random_{7};
    std::size_t answered_{0};
    std::size_t commands_{0};
    time_point now_{seconds{1}};
    scheduler scheduler_{scheduler::builder{}.build()};
    std::vector<place_task> running_;
    size_figures figures_;
};

} // namespace apricotlb::bench

#endif
