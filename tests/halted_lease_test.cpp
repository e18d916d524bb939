/// What leaders know of the leases that those before them gave to a worker.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

auto endless(std::string const& /*task*/) -> platform_worker::run
{
    return {0, time_point{std::chrono::hours{1}}, "done", 1000};
}

/// Three workers with work, and a permanent task "a" for which each has room.
struct busy_workers
{
    busy_workers()
    {
        fleet.behaviour = endless;
        fleet.polls_wait = true;
        fleet.policy.lease = seconds{10};
        fleet.lead();
        for (auto const* const name : {"w1", "w2", "w3"})
        {
            fleet.add_worker(name, 3000);
            fleet.announce_now();
            EXPECT_TRUE(fleet.run_until_listed(name));
        }
        auto large = fake_fleet::step(3);
        large.permanent = true;
        large.each.cores = millicores{1600};
        fleet.submit("large", {large});
        fleet.run(seconds{2});
        auto lasting = fake_fleet::step(1);
        lasting.permanent = true;
        fleet.submit("a", {lasting});
        fleet.run(seconds{4});
        holder = current();
        EXPECT_FALSE(holder.empty());
    }

    /// The worker in reach that runs "a"; empty if there is none.
    [[nodiscard]] auto current() const -> std::string
    {
        for (auto const& [name, it] : fleet.workers)
        {
            if (!fleet.cut.contains(name) && it->running().contains("a.0.0.0"))
            {
                return name;
            }
        }
        return {};
    }

    fake_fleet fleet{71};
    std::string holder;
};

// Each new leader waited for a whole lease from its own election, although the
// leaders before it had not reached the worker either.
TEST(halted_lease, changes_of_leader_do_not_add_up)
{
    for (auto second = milliseconds{4000}; second <= milliseconds{5800};
         second += milliseconds{300})
    {
        for (auto first = milliseconds{3300};
             first < second - milliseconds{500}; first += milliseconds{300})
        {
            SCOPED_TRACE(std::to_string(first.count()) + ", " +
                         std::to_string(second.count()));
            busy_workers it;
            it.fleet.cut.insert(it.holder);
            auto const lost_at = it.fleet.now;
            it.fleet.run(first);
            it.fleet.lead();
            it.fleet.run(second - first);
            it.fleet.lead();
            while (it.current().empty() && it.fleet.now - lost_at < seconds{20})
            {
                it.fleet.run(milliseconds{5});
            }
            EXPECT_LE(it.fleet.now - lost_at, seconds{7});
            EXPECT_EQ(it.fleet.violations, std::vector<std::string>{});
        }
    }
}

// A halt must end with the silence of the worker, before its lease does.
TEST(halted_lease, a_worker_that_is_back_in_time_keeps_its_runs)
{
    for (auto const changes : {false, true})
    {
        SCOPED_TRACE(changes);
        busy_workers it;
        auto const starts = it.fleet.starts;
        auto const& places = it.fleet.state.workflows().places();
        it.fleet.deaf.insert(it.holder);
        it.fleet.unheard.insert(it.holder);
        it.fleet.run(milliseconds{3600});
        auto const instance =
            it.fleet.leader->workers().at(worker_id{it.holder}).place->worker;
        EXPECT_TRUE(places.find(instance)->halt);
        if (changes)
        {
            it.fleet.lead();
        }
        it.fleet.deaf.clear();
        it.fleet.unheard.clear();
        it.fleet.run(seconds{20});
        EXPECT_FALSE(places.find(instance)->halt);
        // A leader that stays starts them anew, with a halt and without one.
        if (changes)
        {
            EXPECT_EQ(it.fleet.starts, starts);
            EXPECT_EQ(it.current(), it.holder);
        }
        EXPECT_EQ(it.fleet.violations, std::vector<std::string>{});
    }
}

// A later leader that counts by the halt starts the task beside its run, if the
// worker got a lease before the end of the halt is on record.
TEST(halted_lease, a_lease_waits_for_the_record_of_the_end_of_the_halt)
{
    for (auto back = milliseconds{100}; back <= milliseconds{1500};
         back += milliseconds{100})
    {
        SCOPED_TRACE(back.count());
        busy_workers it;
        it.fleet.cut.insert(it.holder);
        it.fleet.run(milliseconds{2650});
        it.fleet.loses_proposals = true;
        it.fleet.cut.clear();
        it.fleet.run(back);
        it.fleet.cut.insert(it.holder);
        it.fleet.lead();
        it.fleet.loses_proposals = false;
        it.fleet.run(seconds{10});
        EXPECT_EQ(it.fleet.violations, std::vector<std::string>{});
    }
}

// A halt that outlasts what a leader grants later, or counts from too early a
// time, starts a run while a lease of an earlier leader keeps the former one.
TEST(halted_lease, no_run_starts_while_a_lease_of_any_leader_may_last)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random{seed};
        auto const below = [&random](std::uint64_t n) { return random() % n; };
        busy_workers it;
        it.fleet.faults = {below(3) * 5, below(2) * 5, below(2) * 5, 0};
        for (auto n = 0; n < 120; ++n)
        {
            auto const name = "w" + std::to_string(1 + below(3));
            if (below(6) == 0)
            {
                it.fleet.cut.insert(name);
            }
            if (below(8) == 0)
            {
                it.fleet.deaf.insert(name);
            }
            if (below(6) == 0)
            {
                it.fleet.cut.erase(name);
                it.fleet.deaf.erase(name);
            }
            if (below(12) == 0)
            {
                // What the leader has proposed is lost.
                it.fleet.run(milliseconds{below(30)});
                it.fleet.knows_halts = below(3) > 0;
                it.fleet.lead();
            }
            it.fleet.run(milliseconds{100 + below(600)});
        }
        EXPECT_EQ(it.fleet.violations, std::vector<std::string>{});
    }
}

} // namespace
} // namespace apricotlb
