// Measures the scheduling policies against the baseline in simulated time and
// prints a table with bound, baseline and verdict. The seed is an optional
// argument.
#include "baseline_scheduler.hpp"
#include "core/scheduling/scheduler.hpp"
#include "policy_size.hpp"
#include "policy_world.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace
{

using namespace apricotlb;
using namespace apricotlb::bench;

auto survey_office() -> deployment
{
    return {"survey office",
            66,
            11,
            16,
            60,
            44,
            milliseconds{400},
            {120, 100, 80},
            {{"thumb", 2, 1, 1, 2.0, {0.05, 0.05, 0.05}, 1.5, 4, true},
             {"tile", 4, 1, 2, 1.5, {0.1, 0.02, 0.02}, 1.0, 8, true},
             {"ortho", 60, 2, 6, 1.5, {1.25, 0.05, 0.02}, 0.11, 10, false},
             {"mesh", 120, 3, 8, 1.3, {0.03, 1.5, 0.03}, 0.055, 10, false},
             {"cloud", 240, 2, 8, 0.8, {0.02, 0.04, 2.0}, 0.04, 8, false},
             {"sync", 20, 1, 3, 3.0, {0.6, 0.6, 0.05}, 0.2, 10, false}},
            0,
            0.02,
            900,
            200,
            false};
}

auto cooperative() -> deployment
{
    return {"co-operative",
            48,
            8,
            64,
            250,
            32,
            milliseconds{250},
            {90, 80, 70},
            {{"frame", 3, 1, 1, 2.0, {0.03, 0.02, 0.02}, 3.0, 8, true},
             {"render", 90, 3, 8, 1.5, {0.25, 0.02, 0.01}, 0.15, 12, false},
             {"bake", 150, 4, 12, 1.3, {0.01, 0.3, 0.02}, 0.07, 12, false},
             {"encode", 60, 2, 6, 0.8, {0.02, 0.02, 0.35}, 0.2, 12, false},
             {"index", 30, 2, 6, 2.0, {0.12, 0.1, 0.02}, 0.2, 10, false}},
            300,
            0.02,
            900,
            200,
            true};
}

template <class Scheduler>
auto run_one(deployment const& what, Scheduler&& scheduler, std::uint64_t seed)
    -> figures
{
    world<std::remove_reference_t<Scheduler>> it{what, scheduler, seed};
    return it.run();
}

auto run_policy(deployment const& what, scheduler_policy policy,
                std::uint64_t seed) -> figures
{
    return run_one(what, scheduler::builder{}.policy(policy).build(), seed);
}

auto print_head() -> void
{
    std::printf("  %-26s %9s %10s %11s %9s %8s %6s %7s %6s %6s\n", "run",
                "p99 [ms]", "short [s]", "batch [kcs]", "peak [%]", "all [%]",
                "evict", "repeats", "dir/m", "unrun");
}

auto print_row(std::string const& name, figures const& it) -> void
{
    std::printf("  %-26s %9.1f %10.2f %11.1f %9.2f %8.2f %6d %7d %6d %6d\n",
                name.c_str(), it.p99_ms, it.short_wait_p99_s,
                it.batch_core_s / 1000, it.within_at_peak * 100,
                it.within_all * 100, it.evictions, it.watch_repeats,
                it.direction_changes, it.waiting_short);
}

auto verdict(char const* what, double got, char const* relation, double bound,
             double baseline, bool met) -> void
{
    std::printf("  %-48s %12.2f %2s %12.2f  baseline %12.2f  %s\n", what, got,
                relation, bound, baseline, met ? "met" : "MISSED");
}

auto at_most(char const* what, double got, double bound, double baseline)
    -> void
{
    verdict(what, got, "<=", bound, baseline, got <= bound);
}

auto at_least(char const* what, double got, double bound, double baseline)
    -> void
{
    verdict(what, got, ">=", bound, baseline, got >= bound);
}

struct pair_of_runs
{
    figures policy;
    figures baseline;
};

auto run_deployment(deployment const& what, std::uint64_t seed) -> pair_of_runs
{
    std::printf("%s: %d workers of %.0f cores and %.0f GB, limit %d ms\n",
                what.name.c_str(), what.workers, what.cores, what.memory_gb,
                static_cast<int>(what.limit.count()));
    print_head();
    auto const baseline = run_one(what, baseline_scheduler{}, seed);
    print_row("baseline", baseline);
    auto idle = what;
    idle.kinds.clear();
    idle.watches = 0;
    print_row("no batch work", run_policy(idle, {}, seed));
    auto const full = run_policy(what, {}, seed);
    print_row("policy", full);
    using flag = bool scheduler_policy::*;
    constexpr std::array<std::pair<char const*, flag>, 6> ideas{{
        {"without guard", &scheduler_policy::guard},
        {"without throttle", &scheduler_policy::throttle},
        {"without interference", &scheduler_policy::interference},
        {"without short first", &scheduler_policy::short_first},
        {"without learned sizes", &scheduler_policy::learned_sizes},
        {"without demotion", &scheduler_policy::demotion},
    }};
    for (auto const& [name, idea] : ideas)
    {
        scheduler_policy policy;
        policy.*idea = false;
        print_row(name, run_policy(what, policy, seed));
    }
    return {full, baseline};
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : std::uint64_t{1};
    auto const survey = run_deployment(survey_office(), seed);
    auto const coop = run_deployment(cooperative(), seed);
    auto const large = size_run{5'800}.run();
    auto const small = size_run{580}.run();

    std::printf("targets\n");
    auto const& s = survey.policy;
    auto const& sb = survey.baseline;
    at_most("survey: p99 urgent latency [ms]", s.p99_ms, sb.p99_ms / 2,
            sb.p99_ms);
    at_most("survey: p99 wait of short work [s]", s.short_wait_p99_s,
            sb.short_wait_p99_s / 4, sb.short_wait_p99_s);
    at_least("survey: batch throughput [core s]", s.batch_core_s,
             sb.batch_core_s * 0.9, sb.batch_core_s);
    auto const& c = coop.policy;
    auto const& cb = coop.baseline;
    at_least("co-op: within contract at the peak [%]", c.within_at_peak * 100,
             99, cb.within_at_peak * 100);
    at_most("co-op: evictions", c.evictions, cb.evictions / 3.0, cb.evictions);
    at_most("co-op: watches evicted twice in 10 min", c.watch_repeats, 0,
            cb.watch_repeats);
    at_most("crest: direction changes per worker and minute",
            std::max(c.direction_changes, s.direction_changes), 1,
            cb.direction_changes);
    std::printf("size: %zu tasks on 5800 workers, %zu on 580; no baseline\n",
                large.running, small.running);
    at_least("size: decisions per second", large.decisions_per_s, 20'000, 0);
    at_most("size: time per decision, 5800 against 580 workers",
            small.decisions_per_s / large.decisions_per_s, 2, 0);
    std::printf("  size: bytes per worker %.0f, per task %.0f; worker reports "
                "per second %.0f\n",
                large.bytes_per_worker, large.bytes_per_task,
                large.reports_per_s);
    return 0;
}
