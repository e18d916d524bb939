#include "fake_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace apricotlb
{
namespace
{

/// Workers of 8 cores, two a rack, for one customer with the whole VM.
auto cluster_of(int workers, scheduler_policy policy = {}) -> fake_cluster
{
    fake_cluster it{11, policy};
    it.add_contract("a", 1000);
    for (auto n = 0; n < workers; ++n)
    {
        it.add_worker(n, n / 2);
    }
    return it;
}

auto why(fake_cluster& it, std::string const& job) -> explanation
{
    return it.leader.explain(customer_id{"a"}, {job_id{job}, task_index{0}})
        .value();
}

template <class Command>
auto sent(fake_cluster const& it) -> long
{
    return std::ranges::count_if(
        it.sent, [](send_command const& c)
        { return std::holds_alternative<Command>(c.value); });
}

// A start whose confirmation is lost must not lead to a second run while the
// worker may still hold its lease.
TEST(scheduler_leases, an_unconfirmed_start_is_lost_only_after_its_lease)
{
    auto it = cluster_of(2);
    it.run(seconds{2});
    it.submit("a", "j", "k", 1);
    it.run(milliseconds{200});
    auto const first = why(it, "j").worker.value();
    it.workers.at(first).cut_until = it.now() + seconds{60};
    it.run(seconds{9});
    EXPECT_EQ(why(it, "j").attempt, attempt_number{1});
    it.run(seconds{15});
    EXPECT_EQ(it.count("j", task_state::finished), 1);
    EXPECT_EQ(why(it, "j").moved, move_reason::lease_expired);
    EXPECT_EQ(why(it, "j").moved_from, first);
    EXPECT_TRUE(it.violations.empty());
}

// Work that is placed in a data centre about to lose power is lost with it.
TEST(scheduler_evacuation, places_nothing_there_until_the_return)
{
    auto it = cluster_of(2);
    it.run(seconds{2});
    it.leader.zone_evacuated(zone_id{"z0"}, it.now());
    it.submit("a", "j", "k", 1);
    it.run(seconds{2});
    EXPECT_FALSE(why(it, "j").worker);
    it.leader.zone_returned(zone_id{"z0"}, it.now());
    it.run(seconds{2});
    EXPECT_TRUE(why(it, "j").worker);
}

// Short work that waits behind long work of the same customer.
TEST(scheduler_queue, short_work_goes_before_long_work)
{
    auto it = cluster_of(1);
    it.behaviour["short"].run_time = seconds{1};
    it.behaviour["long"].run_time = seconds{40};
    it.run(seconds{2});
    it.submit("a", "learn", "short", 8);
    it.run(seconds{10});
    it.submit("a", "long", "long", 32);
    it.run(seconds{1});
    it.submit("a", "quick", "short", 8);
    it.run(seconds{55});
    EXPECT_EQ(it.count("quick", task_state::finished), 8);
    EXPECT_GT(it.count("long", task_state::waiting), 0);
}

// Long work that never runs under a steady flow of short work.
TEST(scheduler_queue, long_work_finishes_under_a_flow_of_short_work)
{
    auto it = cluster_of(1);
    it.behaviour["short"].run_time = seconds{1};
    it.behaviour["long"].run_time = seconds{20};
    it.run(seconds{2});
    it.submit("a", "learn", "short", 8);
    it.run(seconds{10});
    it.submit("a", "long", "long", 1, 8);
    auto n = 0;
    it.run(seconds{200},
           [&] { it.submit("a", "s" + std::to_string(n++), "short", 10); });
    EXPECT_EQ(it.count("long", task_state::finished), 1);
}

// A customer that submits more must not get more than its contract's part.
TEST(scheduler_queue, customers_hold_capacity_in_proportion_to_contracts)
{
    scheduler_policy policy;
    policy.learned_sizes = false;
    fake_cluster it{3, policy};
    it.add_contract("a", 1000);
    it.add_contract("b", 500);
    for (auto n = 0; n < 10; ++n)
    {
        it.add_worker(n, n / 2);
    }
    it.run(seconds{2});
    it.submit("b", "b0", "k", 900);
    it.submit("a", "a0", "k", 300);
    it.run(seconds{15});
    auto const a = it.count("a0", task_state::placed);
    auto const b = it.count("b0", task_state::placed);
    EXPECT_EQ(a + b, 80);
    EXPECT_NEAR(a, 53, 4);
}

// A job that can never run must not hold up the queue, and its owner must
// learn why it waits.
TEST(scheduler_queue, a_job_that_is_too_large_blocks_nobody)
{
    auto it = cluster_of(1);
    it.run(seconds{2});
    it.submit("a", "huge", "unmeasured", 1, 9);
    it.submit("a", "small", "k", 8);
    it.run(seconds{10});
    EXPECT_EQ(it.count("small", task_state::finished), 8);
    EXPECT_EQ(why(it, "huge").reason, task_reason::too_large);
    EXPECT_EQ(why(it, "huge").contract_line,
              "version 1, vm_share: 1000 permille");
}

// One rack that takes all tasks of a service with it.
TEST(scheduler_placement, a_job_survives_the_loss_of_a_rack)
{
    auto it = cluster_of(6);
    it.behaviour["forever"].run_time = {};
    it.run(seconds{2});
    it.submit("a", "svc", "forever", 3, 1, job_class::service);
    it.run(seconds{5});
    auto const on_rack = [&](std::string const& rack)
    {
        auto n = std::size_t{0};
        for (auto const& [id, worker] : it.workers)
        {
            n += worker.info.rack.value() == rack ? worker.running.size() : 0;
        }
        return n;
    };
    EXPECT_EQ(on_rack("r0"), 1U);
    it.crash(worker_id{"w0"});
    it.crash(worker_id{"w1"});
    it.run(seconds{20});
    EXPECT_EQ(on_rack("r1") + on_rack("r2"), 3U);
    EXPECT_TRUE(it.violations.empty());
}

// A worker that fails every task at once would take the whole queue.
TEST(scheduler_health, a_worker_that_fails_everything_is_quarantined)
{
    auto it = cluster_of(10);
    it.workers.at(worker_id{"w3"}).fails_all = true;
    it.run(seconds{2});
    for (auto n = 0; n < 30; ++n)
    {
        it.submit("a", "j" + std::to_string(n), "k", 10);
    }
    it.run(seconds{90});
    EXPECT_EQ(it.count("j", task_state::finished), 300);
    EXPECT_GE(it.leader.counters().quarantines, 1U);
    EXPECT_EQ(it.leader.counters().given_up, 0U);
}

// A broken image must not empty the cluster by quarantine.
TEST(scheduler_health, a_job_that_fails_everywhere_is_given_up)
{
    auto it = cluster_of(10);
    it.behaviour["broken"].fails = true;
    it.run(seconds{2});
    it.submit("a", "bad", "broken", 20);
    it.submit("a", "good", "k", 40);
    it.run(seconds{60});
    EXPECT_EQ(it.count("bad", task_state::failed), 20);
    EXPECT_EQ(it.count("good", task_state::finished), 40);
    EXPECT_EQ(it.leader.counters().quarantines, 0U);
}

// More than a tenth of the workers in quarantine is a fault of something
// else, and the rest could not carry the load.
TEST(scheduler_health, quarantine_stays_under_its_ceiling)
{
    worker_health health;
    health.set_worker_count(30);
    auto quarantined = 0;
    for (std::uint32_t w = 0; w < 10; ++w)
    {
        for (std::uint32_t j = 0; j < 3; ++j)
        {
            task_ref const task{job_ref{10 * w + j}, task_index{0}};
            quarantined +=
                health.failed(worker_ref{w}, task, time_point{}) ? 1 : 0;
        }
    }
    EXPECT_EQ(quarantined, 3);
    EXPECT_EQ(health.tick(time_point{seconds{61}}).size(), 3U);
    EXPECT_EQ(health.state(worker_ref{0}), health_state::probation);
    health.succeeded(worker_ref{0}, job_ref{99});
    EXPECT_EQ(health.state(worker_ref{0}), health_state::healthy);
}

// Commitments that outlive cancelled tasks would shrink the cluster.
TEST(scheduler_tasks, a_wave_of_cancellations_frees_everything)
{
    auto it = cluster_of(4);
    it.faults = {20, 20, milliseconds{500}};
    it.run(seconds{3});
    for (auto n = 0; n < 20; ++n)
    {
        it.submit("a", "j" + std::to_string(n), "k", 10);
    }
    it.run(milliseconds{2500});
    for (auto n = 0; n < 20; ++n)
    {
        it.cancel("a", "j" + std::to_string(n));
    }
    it.run(seconds{30});
    EXPECT_EQ(it.count("j", task_state::cancelled) +
                  it.count("j", task_state::finished),
              200);
    for (auto const& [id, worker] : it.workers)
    {
        EXPECT_EQ(it.leader.free_on(id), worker.info.capacity);
    }
    EXPECT_TRUE(it.violations.empty());
}

// Declared sizes of four times the real ones leave most of a worker idle.
TEST(scheduler_sizes, measured_sizes_replace_declared_ones)
{
    auto it = cluster_of(1);
    it.behaviour["k"].run_time = seconds{20};
    it.behaviour["k"].used = {millicores{500}, byte_count{500}, {}};
    it.run(seconds{2});
    it.submit("a", "j", "k", 60, 4);
    it.run(seconds{5});
    EXPECT_EQ(it.count("j", task_state::placed), 2);
    it.run(seconds{25});
    EXPECT_GE(it.count("j", task_state::placed), 10);
    EXPECT_EQ(why(it, "j").declared.cores, millicores{4000});
}

// A straggler that fills the last capacity blocks short work for hours.
TEST(scheduler_queue, stragglers_move_behind_and_leave_room)
{
    auto it = cluster_of(1);
    it.behaviour["k"].run_time = seconds{1};
    it.run(seconds{2});
    it.submit("a", "learn", "k", 16);
    it.run(seconds{10});
    it.behaviour["k"].run_time = seconds{300};
    it.submit("a", "slow", "k", 7);
    it.run(seconds{12});
    it.behaviour["other"].run_time = seconds{5};
    it.submit("a", "wide", "other", 1, 6);
    it.run(seconds{40});
    EXPECT_EQ(it.count("wide", task_state::finished), 1);
    EXPECT_GT(it.leader.counters().demotions, 0U);
    EXPECT_EQ(why(it, "slow").moved, move_reason::straggler);
    EXPECT_GE(it.leader.free_on(worker_id{"w0"})->cores, millicores{2000});
}

// Urgent latency that keeps rising although the cause is known, and watches
// that are moved back and forth.
TEST(scheduler_guard, throttles_first_then_moves_and_rests_watches)
{
    auto it = cluster_of(2);
    it.behaviour["forever"].run_time = {};
    it.keep_sent = true;
    it.run(seconds{2});
    it.submit("a", "watch", "forever", 4, 1, job_class::watch);
    it.run(seconds{3});
    auto const noisy = [&]
    {
        for (auto const& [id, worker] : it.workers)
        {
            it.report_latency(id, "s",
                              milliseconds{40 + 30 * worker.running.size()});
        }
    };
    it.run(seconds{2}, noisy);
    EXPECT_GT(sent<throttle_attempt>(it), 0);
    EXPECT_EQ(sent<checkpoint_attempt>(it), 0);
    it.run(seconds{590}, noisy);
    EXPECT_GT(it.leader.counters().evictions, 0U);
    std::map<task_id, std::set<attempt_number>> moved;
    for (auto const& command : it.sent)
    {
        if (auto const* c = std::get_if<checkpoint_attempt>(&command.value))
        {
            moved[c->attempt.task].insert(c->attempt.number);
        }
    }
    for (auto const& [task, attempts] : moved)
    {
        EXPECT_EQ(attempts.size(), 1U);
    }
    EXPECT_TRUE(it.violations.empty());
}

// Evictions of one customer in a noisy wave must not empty its workers.
TEST(scheduler_guard, evictions_per_customer_and_minute_are_capped)
{
    auto it = cluster_of(12);
    it.behaviour["forever"].run_time = {};
    auto const report = [&]
    {
        for (auto const& [id, worker] : it.workers)
        {
            it.report_latency(id, "s",
                              milliseconds{40 + 20 * worker.running.size()});
        }
    };
    it.run(seconds{2});
    it.submit("a", "j", "forever", 48);
    it.run(seconds{3});
    // One worker without batch work shows the undisturbed latency.
    it.workers.at(worker_id{"w0"}).running.clear();
    it.run(seconds{50}, report);
    EXPECT_GT(it.leader.counters().evictions, 0U);
    EXPECT_LE(it.leader.counters().evictions, config::max_evictions_per_window);
}

// Throttling that follows every swing of demand costs more than it saves.
TEST(scheduler_guard, changes_direction_once_a_minute_at_most)
{
    guard it;
    auto changes = 0;
    for (auto s = 0; s < 600; ++s)
    {
        time_point const now{seconds{s}};
        it.observe(worker_ref{0}, {service_ref{0}, customer_ref{0},
                                   milliseconds{s / 2 % 2 == 0 ? 95 : 10},
                                   milliseconds{100}, now});
        auto const step = it.step(worker_ref{0}, now);
        changes +=
            step == guard_step::throttle || step == guard_step::release ? 1 : 0;
    }
    EXPECT_GE(changes, 2);
    EXPECT_LE(changes, 10);
}

// A deployment that disabled the guard must see no throttled task.
TEST(scheduler_guard, can_be_disabled)
{
    scheduler_policy policy;
    policy.guard = false;
    auto it = cluster_of(1, policy);
    it.keep_sent = true;
    it.run(seconds{2});
    it.submit("a", "j", "k", 4);
    it.run(seconds{4},
           [&] { it.report_latency(worker_id{"w0"}, "s", milliseconds{99}); });
    EXPECT_EQ(sent<throttle_attempt>(it) + sent<checkpoint_attempt>(it), 0);
}

/// Alternates quiet and noisy work on one worker; reports arrive 3 s late,
/// when the other kind already runs.
auto learned_pairs() -> service_interference
{
    service_interference it;
    worker_ref const worker{0};
    service_ref const service{0};
    for (auto n = 0; n < 60; ++n)
    {
        auto const is_noisy = n % 2 == 0;
        task_ref const task{job_ref{static_cast<std::uint32_t>(n)},
                            task_index{0}};
        time_point const from{seconds{10 * n}};
        it.started(worker, task, kind_ref{is_noisy ? 1U : 0U}, from);
        it.ended(worker, task, from + seconds{5});
        it.learn({worker, service, milliseconds{is_noisy ? 200 : 100},
                  request_count{100}, from + seconds{3}});
        it.learn({worker, service, milliseconds{100}, request_count{100},
                  from + seconds{7}});
    }
    return it;
}

// A late measurement charged to what runs on arrival blames the wrong work.
TEST(interference_learning, charges_what_ran_when_the_measurement_was_taken)
{
    auto const it = learned_pairs();
    time_point const now{seconds{600}};
    auto const quiet = it.estimate(kind_ref{0}, service_ref{0}, now);
    auto const noisy = it.estimate(kind_ref{1}, service_ref{0}, now);
    EXPECT_TRUE(quiet.is_reliable);
    EXPECT_TRUE(noisy.is_reliable);
    EXPECT_LT(quiet.slowdown, permille{100});
    EXPECT_NEAR(noisy.slowdown.value(), 1000, 150);
    EXPECT_NEAR(
        static_cast<double>(it.baseline_latency(service_ref{0}).count()), 100,
        10);
}

// Knowledge that never ages would keep a mended kind of work out for good.
TEST(interference_learning, pairs_without_measurements_become_unknown)
{
    auto const it = learned_pairs();
    time_point const later{seconds{600} + std::chrono::hours{48}};
    EXPECT_FALSE(it.estimate(kind_ref{0}, service_ref{0}, later).is_reliable);
}

// A new leader that forgets the pairs repeats every costly trial.
TEST(interference_learning, survives_a_change_of_leader)
{
    auto it = cluster_of(2);
    it.saved = {{work_kind{"k"}, service_name{"s"}, permille{700}, 90}};
    it.change_leader();
    it.run(seconds{31});
    auto const got =
        it.leader.slowdown(work_kind{"k"}, service_name{"s"}, it.now());
    EXPECT_TRUE(got.is_reliable);
    EXPECT_EQ(got.slowdown, permille{700});
    ASSERT_EQ(it.saved.size(), 1U);
    EXPECT_EQ(it.saved[0].batch, work_kind{"k"});
}

// Many tasks of a kind that was never measured, next to a service at once.
TEST(interference_learning, an_unknown_pair_is_tried_with_one_task)
{
    auto it = cluster_of(2);
    it.behaviour["new"].run_time = seconds{100};
    it.run(seconds{2});
    it.run(seconds{2},
           [&] { it.report_latency(worker_id{"w0"}, "s", milliseconds{20}); });
    it.submit("a", "j", "new", 12);
    it.run(milliseconds{600});
    EXPECT_EQ(it.workers.at(worker_id{"w0"}).running.size(), 1U);
    EXPECT_EQ(it.workers.at(worker_id{"w1"}).running.size(), 8U);
    EXPECT_EQ(why(it, "j").contract_line.empty(), false);
}

// Plain work that takes the workers with accelerators first.
TEST(scheduler_placement, plain_work_leaves_accelerators_free)
{
    placement it;
    commitments used;
    for (std::uint32_t n = 0; n < 8; ++n)
    {
        resources const capacity{millicores{8000}, byte_count{8000},
                                 accelerators{n % 2 == 0 ? 4 : 0}};
        worker_ref const worker{n};
        used.set_capacity(worker, capacity);
        it.add(worker, zone_ref{0}, rack_ref{n / 4}, capacity);
        it.set_free(worker, capacity);
        it.set_open(worker, true);
    }
    placement_request request;
    request.vm_share = permille{1000};
    request.need = {millicores{1000}, byte_count{1000}, {}};
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        auto const got =
            it.choose(request, used, random_bits{n},
                      [](worker_ref) { return interference_cost{}; });
        ASSERT_EQ(got.verdict, placement_verdict::chosen);
        EXPECT_EQ(got.worker.value() % 2, 1U);
    }
    request.need.accels = accelerators{1};
    auto const got = it.choose(request, used, random_bits{1},
                               [](worker_ref) { return interference_cost{}; });
    EXPECT_EQ(got.worker.value() % 2, 0U);
}

} // namespace
} // namespace apricotlb
