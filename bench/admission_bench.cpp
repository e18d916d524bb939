/// Measures the processor time of a forecast update and of an admission, by
/// number of workers, with 5,000 workflows that wait.
#include "core/fleet/run_scheduler.hpp"
#include "slope_fit.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

constexpr std::size_t workflows = 5000;
constexpr std::size_t rounds = 2000;
constexpr time_point elected{seconds{100}};

auto spec_of(std::string const& id) -> workflow_spec
{
    workflow_spec spec;
    spec.id = workflow_id{id};
    for (std::uint32_t n = 0; n < 3; ++n)
    {
        auto& step = spec.steps.emplace_back();
        step.tasks = task_count{20};
        step.each = {millicores{64'000}, byte_count{1000}, {}};
        step.estimate = milliseconds{1000};
        if (n > 0)
        {
            step.prerequisites = {step_index{n - 1}};
        }
    }
    return spec;
}

/// A leader without room for the tasks that wait.
class crest
{
public:
    explicit crest(std::size_t workers)
        : scheduler(state, term{1}, elected, fleet_policy{})
    {
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_contract queue;
        queue.name = queue_name{"q"};
        queue.pool = pool_name{"pool"};
        queue.timeout = milliseconds{3000};
        queue.target = milliseconds{600'000};
        set.queues.push_back(queue);
        apply(apply_contract_set{set}, elected);
        for (std::size_t n = 0; n < workers; ++n)
        {
            worker_announcement it;
            auto const name = "w" + std::to_string(n);
            it.instance = {worker_id{name}, worker_incarnation{1}};
            it.address = url{"http://" + name};
            it.pool = pool_name{"pool"};
            it.capacity = {millicores{16'000}, byte_count{64'000}, {}};
            it.number = sequence{1};
            scheduler.on_announcement(it, elected);
        }
        for (std::size_t n = 0; n < workflows; ++n)
        {
            apply(submit_workflow{spec_of("f" + std::to_string(n)), terms()},
                  elected);
        }
        for (now = elected; now < elected + seconds{3}; now += seconds{1})
        {
            scheduler.plan(now, wall_time{});
        }
    }

    auto apply(command const& it, time_point at) -> void
    {
        state.apply(it, state.applied() + log_index{1});
        scheduler.on_applied(it, at);
    }

    [[nodiscard]] auto terms() const -> queue_contract const&
    {
        return state.contract_sets().current()->queues[0];
    }

    state_machine state;
    run_scheduler scheduler;
    time_point now;
};

/// Median and largest time of the calls.
template <class Call>
auto print(std::size_t workers, char const* name, Call call) -> void
{
    std::vector<double> costs;
    for (std::size_t n = 0; n < rounds; ++n)
    {
        auto const start = bench::processor_micros();
        call(n);
        costs.push_back(bench::processor_micros() - start);
    }
    std::ranges::sort(costs);
    std::printf(
        "%5zu workers, %-28s median %7.2f us, 99 of 100 below %7.2f us, "
        "largest %7.2f us\n",
        workers, name, costs[rounds / 2], costs[rounds * 99 / 100],
        costs.back());
}

auto run(std::size_t workers) -> void
{
    crest it{workers};
    admission_forecast forecast{elected};
    for (auto const& [id, record] : it.state.workflows().live())
    {
        forecast.on_accepted(record, it.terms(), elected);
    }
    print(workers, "update, start or end",
          [&](std::size_t n)
          {
              auto record = it.state.workflows().find(
                  workflow_id{"f" + std::to_string(n)});
              forecast.on_task_changed(*record, {record->spec.id, {}, {}, {}},
                                       it.now);
          });
    print(workers, "update, pass",
          [&](std::size_t n)
          {
              forecast.on_pass(
                  {{{pool_name{"pool"}, room_kind::reserved}, {true, false}}},
                  {{pool_name{"pool"}, millicores{1000}}},
                  it.now + milliseconds{n});
          });
    auto finite = spec_of("finite");
    print(workers, "admission, finite",
          [&](std::size_t)
          { (void)it.scheduler.admit(finite, it.terms(), it.now); });
    print(workers, "admission, accepted",
          [&](std::size_t n)
          {
              finite.id = workflow_id{"new" + std::to_string(n)};
              it.scheduler.on_submission_proposed(finite, it.terms(), {},
                                                  it.now);
          });
    // Once nothing waits, permanent tasks must leave room for the last crest:
    // the processors of all workers are counted in each call.
    for (std::size_t n = 0; n < workflows; ++n)
    {
        it.apply(cancel_workflow{workflow_id{"f" + std::to_string(n)}, {}},
                 it.now);
    }
    it.scheduler.plan(it.now, wall_time{});
    auto permanent = spec_of("permanent");
    permanent.steps.resize(1);
    permanent.steps[0].permanent = true;
    auto reason = admission_reason::room_free;
    print(workers, "admission, permanent",
          [&](std::size_t n)
          {
              // The memory of the crest lasts for 80 counts.
              it.now = elected + seconds{4} +
                       static_cast<duration::rep>(n % 60) *
                           config::free_room_validity;
              reason = it.scheduler.admit(permanent, it.terms(), it.now).reason;
          });
    if (reason != admission_reason::crest_room)
    {
        std::printf("the processors were not counted\n");
        std::exit(1);
    }
}

} // namespace
} // namespace apricotlb

auto main() -> int
{
    for (auto const workers : {490U, 1800U})
    {
        apricotlb::run(workers);
    }
    return 0;
}
