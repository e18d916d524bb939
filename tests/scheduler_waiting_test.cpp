#include "fake_cluster.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace apricotlb
{
namespace
{

auto declared_sizes() -> scheduler_policy
{
    scheduler_policy policy;
    policy.learned_sizes = false;
    return policy;
}

auto run_until_failed(fake_cluster& it, std::string const& job) -> void
{
    auto const moved = [&]
    {
        return it.leader.explain(customer_id{"a"}, {job_id{job}, task_index{0}})
            .value()
            .moved;
    };
    for (auto n = 0; n < 100 && moved() != move_reason::failed; ++n)
    {
        it.run(milliseconds{200});
    }
    ASSERT_EQ(moved(), move_reason::failed);
}

// A task that failed once on the only worker that is large enough.
TEST(scheduler_waiting, returns_to_the_only_worker_that_fits)
{
    fake_cluster it{21, declared_sizes()};
    it.add_contract("a", 1000);
    auto const large = it.add_worker(0, 0);
    it.add_worker(1, 0, 2);
    it.add_worker(2, 1, 2);
    it.workers.at(large).fails_all = true;
    it.run(seconds{2});
    it.submit("a", "j", "k", 1, 4);
    run_until_failed(it, "j");
    it.workers.at(large).fails_all = false;
    it.run(seconds{20});
    EXPECT_EQ(it.count("j", task_state::finished), 1);
}

// The worker that was to take the task instead has left.
TEST(scheduler_waiting, returns_to_the_only_worker_that_is_left)
{
    fake_cluster it{22, declared_sizes()};
    it.add_contract("a", 1000);
    auto const first = it.add_worker(0, 0);
    it.workers.at(first).fails_all = true;
    it.run(seconds{2});
    it.submit("a", "j", "k", 1, 4);
    auto const second = it.add_worker(1, 0);
    it.workers.at(second).up = false;
    run_until_failed(it, "j");
    it.workers.at(first).fails_all = false;
    it.leader.worker_retired(second, it.now());
    it.run(seconds{20});
    EXPECT_EQ(it.count("j", task_state::finished), 1);
}

// The worker that is held for a task falls silent.
TEST(scheduler_waiting, holds_another_worker_for_one_that_falls_silent)
{
    fake_cluster it{23, declared_sizes()};
    it.add_contract("a", 1000);
    it.add_worker(0, 0);
    it.add_worker(1, 0);
    it.run(seconds{2});
    for (auto n = 0; n < 16; ++n)
    {
        it.submit("a", "first" + std::to_string(n), "k", 1);
        it.run(milliseconds{300});
    }
    it.submit("a", "flow", "k", 1000);
    it.run(seconds{6});
    it.submit("a", "large", "other", 1, 8);
    it.run(config::hold_delay - seconds{2});
    auto const held = [&]
    {
        return std::ranges::find_if(it.workers, [](auto const& each)
                                    { return each.second.running.size() < 5; });
    };
    for (auto n = 0; n < 100 && held() == it.workers.end(); ++n)
    {
        it.run(milliseconds{100});
    }
    ASSERT_NE(held(), it.workers.end());
    it.crash(held()->first);
    it.run(seconds{60});
    EXPECT_EQ(it.count("large", task_state::finished), 1);
    EXPECT_GT(it.count("flow", task_state::waiting), 0);
}

// The customer with the smallest share is offered first, and none of its jobs
// can run.
TEST(scheduler_waiting, many_jobs_that_cannot_run_hold_up_nobody)
{
    fake_cluster it{24, declared_sizes()};
    it.add_contract("a", 1000);
    it.add_contract("b", 1000);
    it.add_contract("c", 1000, 80);
    it.behaviour["busy"].run_time = milliseconds{200};
    // Their reports free capacity in every tick.
    for (auto n = 0; n < 20; ++n)
    {
        it.add_worker(n, n);
    }
    it.run(seconds{2});
    it.submit("c", "busy", "busy", 4000);
    it.run(seconds{2});
    for (auto n = 0; n < 1500; ++n)
    {
        it.submit("a", "huge" + std::to_string(n), "huge", 1, 9);
    }
    it.submit("b", "small", "k", 1);
    it.run(seconds{10});
    EXPECT_EQ(it.count("small", task_state::finished), 1);
    EXPECT_GT(it.count("busy", task_state::waiting), 0);
}

} // namespace
} // namespace apricotlb
