/// Workers, backend servers and demand in simulated time, with pair effects
/// that a scheduler sees only through reports that lag.
#ifndef APRICOTLB_BENCH_POLICY_WORLD_HPP
#define APRICOTLB_BENCH_POLICY_WORLD_HPP

#include "core/messages.hpp"
#include "core/scheduling/scheduler_state.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb::bench
{

inline constexpr std::size_t service_kinds = 3;

/// One kind of batch work as it really behaves.
struct true_kind
{
    std::string name;
    double seconds;     ///< usual run time at full speed
    double cores;       ///< really used
    double memory_gb;   ///< really used
    double declared_by; ///< declared size as a multiple of the real one
    std::array<double, service_kinds> slowdown; ///< of each service, per task
    double per_second;                          ///< jobs submitted
    int tasks;                                  ///< per job
    bool is_short;
};

/// A deployment and its work.
struct deployment
{
    std::string name;
    int workers;
    int per_rack;
    double cores;
    double memory_gb;
    int backends; ///< on the first workers of each rack
    milliseconds limit;
    std::array<double, service_kinds> undisturbed_ms;
    std::vector<true_kind> kinds;
    int watches;
    double straggler_part;
    int seconds;
    int warm_up;
    bool ten_times_crest;
};

/// What a run measured.
struct figures
{
    double p99_ms{0};
    double short_wait_p99_s{0};
    double batch_core_s{0};
    double within_at_peak{0};
    double within_all{0};
    int evictions{0};
    int watch_repeats{0};     ///< watches evicted twice within 10 min
    int direction_changes{0}; ///< most per worker and minute
    int throttles{0};
    int finished{0};
    int started_short{0};
    int waiting_short{0};
};

/// Runs one scheduler on one deployment.
template <class Scheduler>
class world
{
public:
    world(deployment const& what, Scheduler& scheduler, std::uint64_t seed)
        : what_(what), scheduler_(scheduler), random_(seed), arrivals_(seed + 1)
    {
    }

    auto run() -> figures;

private:
    struct job_entry
    {
        int kind{-1}; ///< -1: watch
        double submitted{0};
        std::vector<double> length; ///< seconds of work per task
        std::vector<double> done;   ///< at the last checkpoint
        std::vector<bool> started;
        std::vector<double> evicted; ///< when last
        std::vector<checkpoint_id> checkpoint;
    };
    struct run_entry
    {
        customer_id customer;
        job_entry* job;
        double done;
        int throttled_to{1000};
        double checkpoint_at{-1};
    };
    struct server_entry
    {
        backend_info info;
        std::size_t service;
    };
    struct worker_state
    {
        worker_info info;
        std::map<attempt_id, run_entry> running;
        std::map<attempt_id, ended_report> ended;
        std::set<attempt_id> seen;
        std::vector<server_entry> servers;
        std::vector<double> changes; ///< of throttling direction
        int direction{1000};
        double use{0}; ///< of its cores
        std::uint64_t reports{0};
    };
    struct late_latency
    {
        double due;
        latency_report report;
        backend_info info;
        double taken;
    };

    static auto uniform(std::uint64_t& state) -> double
    {
        return static_cast<double>(next_random(state) >> 11U) * 0x1p-53;
    }
    static auto normal(std::uint64_t& state) -> double
    {
        auto const a = std::max(uniform(state), 1e-12);
        return std::sqrt(-2 * std::log(a)) *
               std::cos(6.283185307 * uniform(state));
    }
    [[nodiscard]] auto at(double t) const -> time_point
    {
        return time_point{std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(t))};
    }
    [[nodiscard]] auto load(double t) const -> double;
    auto set_up() -> void;
    auto submit(double t) -> void;
    auto submit_job(int kind, double t) -> void;
    auto apply(double t) -> void;
    auto deliver(worker_state& worker, worker_command const& it, double t)
        -> void;
    auto step(worker_state& worker, double t, double d) -> void;
    auto report(worker_state& worker, double t) -> void;
    auto measure(worker_state& worker, double t) -> void;
    auto summarize() -> figures;

    deployment const& what_;
    Scheduler& scheduler_;
    std::uint64_t random_;
    std::uint64_t arrivals_; ///< apart, so that every run gets the same work
    std::vector<worker_state> workers_;
    std::map<worker_id, std::size_t> by_id_;
    std::map<std::pair<customer_id, job_id>, job_entry> jobs_;
    std::vector<command> log_;
    std::vector<send_command> commands_;
    std::vector<late_latency> late_;
    int next_job_{0};
    double backlog_{0};
    figures seen_;
    std::vector<double> latencies_;
    std::vector<double> waits_;
    struct second_entry
    {
        double requests{0};
        double within{0};
    };
    std::vector<second_entry> by_second_;
};

} // namespace apricotlb::bench

#include "policy_world_run.hpp"

#endif
