#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace apricotlb
{
namespace
{

struct history_options
{
    order_faults faults;
    bool restarts_workers{false};
};

/// Returns how many orders met a frozen relay.
auto play(std::uint64_t seed, history_options const& options) -> std::size_t
{
    SCOPED_TRACE("seed " + std::to_string(seed));
    fake_fleet it{seed};
    it.faults = options.faults;
    for (auto n = 0; n < 4; ++n)
    {
        it.add_worker("w" + std::to_string(n), 4000);
    }
    for (auto n = 0; n < 3; ++n)
    {
        it.add_relay("r" + std::to_string(n));
    }
    auto second = fake_fleet::step(3);
    second.prerequisites = {step_index{0}};
    std::uint64_t random{seed};
    constexpr auto jobs = 14;
    std::set<std::string> cancelled;
    for (auto n = 0; n < jobs; ++n)
    {
        it.submit("job" + std::to_string(n), {fake_fleet::step(4), second});
        auto const some = next_random(random);
        switch (next_random(random) % (options.restarts_workers ? 6 : 5))
        {
        case 0:
        case 1:
        case 2:
            it.freeze_relay("r" + std::to_string(some % 3),
                            milliseconds{2000 + some % 4000});
            break;
        case 3:
            it.lead();
            break;
        case 4:
            if (options.restarts_workers)
            {
                it.workers["w" + std::to_string(some % 4)]->restart(n + 2,
                                                                    it.now);
            }
            break;
        default:
            break;
        }
        it.run(milliseconds{100 + next_random(random) % 400});
        auto const id =
            "job" + std::to_string(next_random(random) %
                                   static_cast<std::uint64_t>(n + 1));
        if (next_random(random) % 3 == 0 &&
            it.state_of(id) != workflow_state::completed)
        {
            it.apply(cancel_workflow{workflow_id{id}, {}});
            cancelled.insert(id);
        }
        it.run(milliseconds{100 + next_random(random) % 400});
    }
    it.faults = {};
    it.run(seconds{30});
    EXPECT_TRUE(it.violations.empty()) << it.violations.front();
    EXPECT_TRUE(it.stale_runs.empty()) << it.stale_runs.front();
    for (auto n = 0; n < jobs; ++n)
    {
        auto const id = "job" + std::to_string(n);
        EXPECT_EQ(it.state_of(id), cancelled.contains(id)
                                       ? workflow_state::cancelled
                                       : workflow_state::completed)
            << id;
    }
    for (auto const& [name, worker] : it.workers)
    {
        EXPECT_TRUE(worker->running().empty()) << name;
    }
    return it.held_back;
}

// A relay that freezes carries out its orders seconds later, when the worker
// has had others through another relay. No task may run twice, and none after
// its end or its cancellation is recorded.
TEST(relay_history, keeps_one_run_of_a_task_while_relays_freeze)
{
    std::size_t held_back{0};
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        held_back += play(seed, {{10, 10, 20}, false});
    }
    EXPECT_GT(held_back, 600U);
}

// A worker that was restarted under its id knows no closed run and carried out
// what a frozen relay sent it late: the run had ended on record, and its task
// ran on another worker.
TEST(relay_history, ends_every_run_while_workers_restart_as_well)
{
    for (std::uint64_t seed = 101; seed <= 160; ++seed)
    {
        play(seed, {{}, true});
    }
}

} // namespace
} // namespace apricotlb
