#include "adapters/log.hpp"
#include "fake_fleet.hpp"
#include "platform/fleet_log.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

/// Worker "w1" is known; its tasks run for 30 s.
class unanswered_orders : public testing::Test
{
protected:
    unanswered_orders()
    {
        fleet.behaviour = [](std::string const&) {
            return platform_worker::run{0, time_point{seconds{30}}, "done",
                                        1000};
        };
        fleet.add_worker("w1", 16'000);
        fleet.announce_now();
        fleet.run(milliseconds{100});
    }

    [[nodiscard]] auto entry() const -> worker_entry const&
    {
        return fleet.leader->workers().at(worker_id{"w1"});
    }
    auto starts() -> std::vector<unanswered_start>
    {
        return fleet.leader->longest_waiting(fleet.now, wall_time{}).unanswered;
    }
    auto stops() -> std::vector<unanswered_stop>
    {
        return fleet.leader->longest_waiting(fleet.now, wall_time{}).unstopped;
    }
    auto count() -> std::int64_t
    {
        return fleet.leader->summary(fleet.now).starts_unanswered;
    }
    /// Submits tasks, and runs until their starts are ordered.
    auto order(std::string const& workflow, std::int64_t tasks) -> void
    {
        auto const before = fleet.starts;
        fleet.submit(workflow, {fake_fleet::step(tasks)});
        auto const n = static_cast<std::size_t>(tasks);
        for (auto left = 100; left > 0 && fleet.starts < before + n; --left)
        {
            fleet.run(milliseconds{5});
        }
        ASSERT_EQ(fleet.starts, before + n);
    }
    /// Lets the lease of a running task end on its worker, whose polls are
    /// lost. It answers stops of other tasks all the while, so that the leader
    /// does not count the lease as over before the worker lists that end.
    auto lapse() -> void
    {
        constexpr auto stops = 5;
        order("a", 1);
        for (auto n = 0; n < stops; ++n)
        {
            order("stopped" + std::to_string(n), 1);
        }
        fleet.run(seconds{1});
        ASSERT_EQ(fleet.workers["w1"]->running().size(), 6U);
        fleet.lost_polls = 1000;
        for (auto n = 0; n < stops; ++n)
        {
            workflow_id const id{"stopped" + std::to_string(n)};
            fleet.apply(cancel_workflow{id, {}});
            fleet.run(milliseconds{1100});
        }
        ASSERT_TRUE(fleet.workers["w1"]->running().empty());
    }
    auto lapsed() -> std::vector<run_event>
    {
        auto events = fleet.leader->take_events();
        std::erase_if(events, [](run_event const& it)
                      { return it.kind != run_event_kind::lapsed; });
        return events;
    }
    /// Runs until the leader has got new lists of the worker.
    auto run_until_listed() -> void
    {
        auto const before = entry().listed_at;
        for (auto left = 400; left > 0 && entry().listed_at == before; --left)
        {
            fleet.run(milliseconds{5});
        }
        ASSERT_GT(entry().listed_at, before);
    }

    fake_fleet fleet{1};
};

// A task whose start gets no answer is not ready, so that no line shows it.
TEST_F(unanswered_orders, shows_a_start_to_a_worker_that_answers_nothing)
{
    fleet.deaf.insert("w1");
    order("a", 1);
    auto const ordered = fleet.now;
    fleet.run(seconds{1});
    EXPECT_TRUE(starts().empty());
    EXPECT_EQ(count(), 0);

    fleet.run(milliseconds{500});
    auto const all = starts();
    ASSERT_EQ(all.size(), 1U);
    auto const& it = all.front();
    EXPECT_EQ(it.run.task.workflow, workflow_id{"a"});
    EXPECT_EQ(it.run.number, run_number{1});
    EXPECT_EQ(it.worker,
              (worker_instance{worker_id{"w1"}, entry().incarnation}));
    EXPECT_EQ(it.waited, fleet.now - ordered);
    EXPECT_EQ(it.orders, 2);
    EXPECT_TRUE(it.order_in_flight);
    EXPECT_EQ(it.worker_unanswered,
              fleet.now - ordered - config::order_timeout);
    EXPECT_EQ(it.contact_age, fleet.now - entry().last_contact);
    EXPECT_EQ(count(), 1);

    fleet.deaf.clear();
    fleet.run(seconds{2});
    ASSERT_EQ(fleet.workers["w1"]->running().size(), 1U);
    EXPECT_TRUE(starts().empty());
    EXPECT_EQ(count(), 0);
}

// Lost orders to a worker that answers polls would look like a dead worker.
TEST_F(unanswered_orders, shows_that_the_worker_answers_polls)
{
    fleet.faults.lost = 100;
    order("a", 1);
    fleet.run(config::order_timeout + milliseconds{200});
    auto const all = starts();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all.front().orders, 1);
    EXPECT_FALSE(all.front().order_in_flight);
    EXPECT_EQ(all.front().worker_unanswered, std::nullopt);
}

// Hundreds of lost starts would use up the log's limit per event.
TEST_F(unanswered_orders, shows_a_bounded_number_of_the_oldest_starts)
{
    fleet.deaf.insert("w1");
    order("late", 3);
    fleet.run(milliseconds{300});
    order("a", 3);
    fleet.run(milliseconds{1400});
    auto const all = starts();
    ASSERT_EQ(all.size(), config::max_reported_waits);
    EXPECT_EQ(std::ranges::count(all, workflow_id{"late"},
                                 [](unanswered_start const& it)
                                 { return it.run.task.workflow; }),
              3);
    EXPECT_EQ(all.back().run.task.workflow, workflow_id{"a"});
    EXPECT_GT(all.front().waited, all.back().waited);
    EXPECT_EQ(count(), 6);
}

// The age of the lists that tell an end would be taken from these lists, as 0.
TEST_F(unanswered_orders, tells_the_age_of_the_lists_before_a_lapsed_end)
{
    ASSERT_NO_FATAL_FAILURE(lapse());
    auto const before = entry().listed_at;
    EXPECT_TRUE(lapsed().empty());
    fleet.lost_polls = 0;
    ASSERT_NO_FATAL_FAILURE(run_until_listed());
    auto const events = lapsed();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().run.task.workflow, workflow_id{"a"});
    EXPECT_EQ(events.front().worker.id, worker_id{"w1"});
    EXPECT_EQ(events.front().age, entry().listed_at - before);
    EXPECT_GE(events.front().age, milliseconds{5500});
    fleet.run(seconds{1});
    EXPECT_TRUE(lapsed().empty());
}

// A new leader, which has no lists yet, would tell the age of its clock.
TEST_F(unanswered_orders, tells_no_age_if_there_were_no_lists_before)
{
    ASSERT_NO_FATAL_FAILURE(lapse());
    fleet.lead();
    fleet.lost_polls = 0;
    ASSERT_TRUE(fleet.run_until_known("w1"));
    ASSERT_NO_FATAL_FAILURE(run_until_listed());
    auto const events = lapsed();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().age, std::nullopt);
}

// A run that goes on after its cancel would be in no line.
TEST_F(unanswered_orders, shows_a_stop_without_an_answer)
{
    order("a", 1);
    fleet.run(seconds{1});
    fleet.deaf.insert("w1");
    fleet.apply(cancel_workflow{workflow_id{"a"}, {}});
    fleet.run(seconds{1});
    EXPECT_TRUE(stops().empty());
    fleet.run(milliseconds{500});
    auto const all = stops();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all.front().run.task.workflow, workflow_id{"a"});
    EXPECT_EQ(all.front().waited, milliseconds{1500});
    EXPECT_EQ(all.front().orders, 2);
    EXPECT_TRUE(all.front().worker_unanswered);
    EXPECT_EQ(fleet.leader->summary(fleet.now).stops_unanswered, 1);
    fleet.deaf.clear();
    fleet.run(seconds{2});
    EXPECT_TRUE(stops().empty());
}

class unanswered_orders_log : public testing::Test
{
protected:
    unanswered_orders_log()
    {
        setup_log({log_level::info, log_format::text, &out,
                   [] { return log_time{}; }});
    }
    ~unanswered_orders_log() override { setup_log({}); }

    [[nodiscard]] auto has(std::string const& text) const -> bool
    {
        return out.str().find(text) != std::string::npos;
    }

    task_run const run{{workflow_id{"a"}, {}, {}, task_index{2}},
                       run_number{3}};
    worker_instance const worker{worker_id{"w1"}, worker_incarnation{7}};
    std::ostringstream out;
};

// A worker that answers would have the same line as one that has just stopped.
TEST_F(unanswered_orders_log, tells_whether_the_worker_answers)
{
    unanswered_start it;
    it.run = run;
    it.worker = worker;
    it.waited = milliseconds{1500};
    it.orders = 2;
    it.order_in_flight = true;
    it.contact_age = milliseconds{400};
    platform::log_unanswered({it});
    EXPECT_TRUE(has(" unanswered task=a.0.0.2 number=3 worker=w1 born=7 "
                    "waited_ms=1500 orders=2 in_flight=1 "
                    "worker_unanswered_ms=\"\" contact_age_ms=400\n"))
        << out.str();
    it.worker_unanswered = milliseconds{0};
    platform::log_unanswered({it});
    EXPECT_TRUE(has("worker_unanswered_ms=0 ")) << out.str();
}

// The four lines of a second would hide how many starts have no answer.
TEST_F(unanswered_orders_log, tells_the_number_of_all_starts)
{
    fleet_summary it;
    it.starts_unanswered = 23;
    it.stops_unanswered = 24;
    platform::log_fleet(it);
    EXPECT_TRUE(has(" starts_unanswered=23 stops_unanswered=24 ")) << out.str();
}

// An age of 0 beside events that have none would read as a measurement.
TEST_F(unanswered_orders_log, tells_the_age_of_events_that_have_one)
{
    platform::log_run_event({run_event_kind::lapsed, run, worker});
    EXPECT_TRUE(has("what=lapsed ")) << out.str();
    EXPECT_FALSE(has("age_ms")) << out.str();
    platform::log_run_event(
        {run_event_kind::lapsed, run, worker, milliseconds{6700}});
    EXPECT_TRUE(has(" born=7 age_ms=6700\n")) << out.str();
}

// An operator could not tell what the end of a lease rested on.
TEST_F(unanswered_orders_log, tells_the_bound_of_a_lease_that_is_over)
{
    run_event it{run_event_kind::lease_over, run, worker};
    it.lease = lease_report{lease_bound_cause::granted, milliseconds{10},
                            milliseconds{6700}, milliseconds{300}};
    platform::log_run_event(it);
    EXPECT_TRUE(has(" born=7 bound=granted bound_age_ms=10 list_age_ms=6700 "
                    "announced_age_ms=300\n"))
        << out.str();
    it.lease =
        lease_report{lease_bound_cause::inherited, milliseconds{20}, {}, {}};
    platform::log_run_event(it);
    EXPECT_TRUE(has(" bound=inherited bound_age_ms=20\n")) << out.str();
}

} // namespace
} // namespace apricotlb
