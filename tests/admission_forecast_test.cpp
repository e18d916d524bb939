#include "core/fleet/admission_forecast.hpp"
#include "platform/answers.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

using enum admission_reason;

pool_name const pool{"pool"};

auto terms_of(std::int32_t priority) -> queue_contract
{
    queue_contract it;
    it.name = queue_name{"q" + std::to_string(priority)};
    it.pool = pool;
    it.priority = queue_priority{priority};
    it.stretch = permille{2000};
    it.target = milliseconds{1000};
    return it;
}

/// Tasks of one second on one core; with the terms above, 3 s are allowed.
auto finite(std::string const& id, std::int64_t tasks) -> workflow_spec
{
    workflow_spec spec;
    spec.id = workflow_id{id};
    auto& step = spec.steps.emplace_back();
    step.tasks = task_count{tasks};
    step.each.cores = millicores{1000};
    step.estimate = milliseconds{1000};
    return spec;
}

auto permanent(std::string const& id, std::int64_t tasks) -> workflow_spec
{
    auto spec = finite(id, tasks);
    spec.steps[0].permanent = true;
    spec.steps[0].estimate = {};
    return spec;
}

auto record_of(workflow_spec const& spec) -> workflow_record
{
    workflow_record it;
    it.spec = spec;
    it.terms = terms_of(0);
    auto& steps = it.occurrences.emplace_back().steps;
    for (auto const& step : spec.steps)
    {
        steps.emplace_back().tasks.resize(
            static_cast<std::size_t>(step.tasks.value()));
    }
    return it;
}

/// A leader that has started 10 tasks a second since long ago, for which a
/// queue has built up.
class forecast_fixture : public testing::Test
{
protected:
    forecast_fixture()
    {
        for (auto n = 0; n < 6; ++n)
        {
            start("r" + std::to_string(n), 5);
            now += milliseconds{500};
        }
    }

    auto start(std::string const& id, std::int64_t tasks) -> void
    {
        auto record = record_of(finite(id, tasks));
        it.on_accepted(record, terms_of(0), now);
        for (std::uint32_t n = 0; n < tasks; ++n)
        {
            auto& task = record.occurrences[0].steps[0].tasks[n];
            task.active.push_back({run_number{1}, {}});
            it.on_task_changed(record, {record.spec.id, {}, {}, task_index{n}},
                               now);
        }
        // Ended at once, so that the rate of starts alone counts.
        it.on_ended(record.spec.id, now);
    }

    auto queue(std::string const& id, std::int64_t tasks,
               std::int32_t priority = 0) -> void
    {
        it.on_proposed(finite(id, tasks), terms_of(priority), {}, now);
    }

    /// Passes find no worker for finite tasks, or for new permanent ones.
    auto run_short(room_shortage shortage, duration time) -> void
    {
        auto const end = now + time;
        it.on_pass({{{pool, room_kind::reserved}, shortage}}, {}, now);
        now = end;
        it.on_pass({{{pool, room_kind::reserved}, shortage}}, {}, now);
    }

    auto decide(workflow_spec const& spec, std::int32_t priority = 0,
                millicores free = {}) -> admission_decision
    {
        return it.admit(spec, terms_of(priority), now,
                        [free](pool_name const&) { return free; });
    }

    time_point now{seconds{100}};
    admission_forecast it{time_point{seconds{50}}};
};

constexpr room_shortage finite_tasks{true, false};
constexpr room_shortage permanent_tasks{false, true};

// A long queue that is being placed is no reason to refuse: its tasks find
// workers.
TEST_F(forecast_fixture, refuses_nothing_while_no_task_waits_for_room)
{
    queue("a", 1000);
    EXPECT_EQ(decide(finite("b", 1)).reason, room_free);
    run_short(finite_tasks, config::admission_min_wait - milliseconds{1});
    EXPECT_EQ(decide(finite("b", 1)).reason, room_free);
    run_short({}, milliseconds{1});
    run_short(finite_tasks, milliseconds{100});
    EXPECT_EQ(decide(finite("b", 1)).reason, room_free);
}

// Work that cannot end in time takes the room of work that can.
TEST_F(forecast_fixture, refuses_what_would_end_after_its_allowed_time)
{
    queue("a", 15);
    run_short(finite_tasks, milliseconds{300});
    auto const in_time_still = decide(finite("b", 1));
    EXPECT_EQ(in_time_still.reason, in_time);
    EXPECT_GT(in_time_still.wait, milliseconds{1400});
    EXPECT_LT(in_time_still.wait, milliseconds{2000});
    queue("c", 20);
    auto const refused = decide(finite("d", 1));
    EXPECT_EQ(refused.reason, late);
    EXPECT_EQ(refused.allowed, seconds{3});
    EXPECT_GE(refused.retry_after, config::min_admission_retry);
    EXPECT_EQ(refusal_of(refused).kind, error_kind::deadline_unmeetable);
    EXPECT_EQ(refusal_of(refused).retry_after, refused.retry_after);
}

// The queue of a less urgent class must not close the door to a more urgent
// one, whose tasks are placed first.
TEST_F(forecast_fixture, counts_only_work_that_is_placed_before)
{
    queue("a", 100, 1);
    run_short(finite_tasks, milliseconds{300});
    EXPECT_EQ(decide(finite("b", 1), 0).reason, in_time);
    EXPECT_EQ(decide(finite("b", 1), 1).reason, late);
}

// At the edge of the allowed time each end of a task would switch refusals off
// and the next submission on again.
TEST_F(forecast_fixture, ends_refusals_well_below_the_allowed_time)
{
    run_short(finite_tasks, milliseconds{300});
    queue("a", 23);
    ASSERT_EQ(decide(finite("x", 1)).reason, late);
    it.on_ended(workflow_id{"a"}, now);
    queue("b", 15);
    EXPECT_EQ(decide(finite("x", 1)).reason, late);
    it.on_ended(workflow_id{"b"}, now);
    queue("c", 8);
    EXPECT_EQ(decide(finite("x", 1)).reason, in_time);
    it.on_ended(workflow_id{"c"}, now);
    queue("d", 15);
    EXPECT_EQ(decide(finite("x", 1)).reason, in_time);
}

// Hopeless and cancelled work was counted, and refused work that would have
// been placed before it.
TEST_F(forecast_fixture, forgets_work_that_has_ended_or_lost_its_value)
{
    queue("a", 100);
    queue("b", 100);
    run_short(finite_tasks, milliseconds{300});
    it.on_ended(workflow_id{"b"}, now);
    auto const half = it.wait_for(pool, room_kind::reserved, {}, now);
    EXPECT_GT(half, seconds{5});
    now += seconds{9};
    it.advance(workflow_table{}, now);
    EXPECT_EQ(it.wait_for(pool, room_kind::reserved, {}, now), duration{});
}

// A leader that has seen no starts yet takes every queue for endless.
TEST_F(forecast_fixture, refuses_nothing_at_first_and_no_occurrences)
{
    queue("a", 1000);
    run_short(finite_tasks, milliseconds{300});
    auto repeated = finite("b", 1);
    repeated.repeats.times = occurrence_index{2};
    EXPECT_EQ(decide(repeated).reason, own_times);
    EXPECT_EQ(decide(finite("b", 1)).reason, late);
    it = admission_forecast{now};
    queue("a", 1000);
    run_short(finite_tasks, config::forecast_window - milliseconds{1});
    EXPECT_EQ(decide(finite("b", 1)).reason, new_leader);
}

// One slow image made all workflows look late.
TEST_F(forecast_fixture, bounds_what_slow_runs_can_do)
{
    auto const step = finite("a", 1).steps[0];
    for (auto n = 0; n < 1000; ++n)
    {
        it.on_run_time(step, seconds{100});
    }
    EXPECT_GT(it.run_time_ratio(room_kind::reserved), permille{3500});
    EXPECT_LE(it.run_time_ratio(room_kind::reserved),
              config::max_run_time_ratio);
    EXPECT_EQ(it.run_time_ratio(room_kind::idle), permille{1000});
    queue("a", 2);
    run_short(finite_tasks, milliseconds{300});
    EXPECT_EQ(decide(finite("b", 1)).reason, in_time);
}

// Permanent tasks took the processors that waiting work needed, and held them
// for as long as they last.
TEST_F(forecast_fixture, refuses_permanent_work_while_other_work_waits)
{
    millicores const free{4000};
    EXPECT_EQ(decide(permanent("p", 2), 0, free).reason, room_left);
    run_short(finite_tasks, milliseconds{300});
    EXPECT_EQ(decide(permanent("p", 2), 0, free).reason, finite_waits);
    EXPECT_EQ(refusal_of(decide(permanent("p", 2))).kind,
              error_kind::queue_full);
    run_short(permanent_tasks, milliseconds{300});
    EXPECT_EQ(decide(permanent("p", 2), 0, free).reason, permanent_waits);
    EXPECT_EQ(decide(finite("b", 1)).reason, room_free);
}

// Between two crests permanent tasks filled the room that the next one needed.
TEST_F(forecast_fixture, holds_the_room_of_a_crest_that_found_too_little)
{
    std::map<pool_name, millicores> const needed{{pool, millicores{6000}}};
    it.on_pass({}, needed, now);
    EXPECT_EQ(decide(permanent("p", 3), 0, millicores{8000}).reason, room_left);
    run_short(finite_tasks, milliseconds{300});
    it.on_pass({}, {}, now);
    EXPECT_EQ(decide(permanent("p", 3), 0, millicores{8000}).reason,
              crest_room);
    EXPECT_EQ(decide(permanent("p", 2), 0, millicores{8000}).reason, room_left);
    it.on_proposed(permanent("p", 2), terms_of(0), {}, now);
    EXPECT_EQ(decide(permanent("r", 2), 0, millicores{8000}).reason,
              crest_room);
    now += config::crest_memory;
    EXPECT_EQ(decide(permanent("r", 3), 0, millicores{8000}).reason, room_left);
}

// Callers that are refused together come back together.
TEST_F(forecast_fixture, spreads_the_delays_of_retries)
{
    queue("a", 200);
    run_short(finite_tasks, milliseconds{300});
    std::set<seconds> delays;
    for (auto n = 0; n < 50; ++n)
    {
        delays.insert(decide(finite("x" + std::to_string(n), 1)).retry_after);
    }
    EXPECT_GE(delays.size(), 4U);
    EXPECT_GE(*delays.begin(), seconds{15});
}

// A start or end that is reported twice left a remainder in the sums, which
// never went away.
TEST_F(forecast_fixture, counts_each_change_of_a_task_once)
{
    auto record = record_of(finite("a", 2));
    it.on_accepted(record, terms_of(0), now);
    auto& task = record.occurrences[0].steps[0].tasks[0];
    workflow_task const name{record.spec.id, {}, {}, {}};
    auto const before = it.wait_for(pool, room_kind::reserved, {}, now);
    task.active.push_back({run_number{1}, {}});
    it.on_task_changed(record, name, now);
    it.on_task_changed(record, name, now);
    task.active.clear();
    it.on_task_changed(record, name, now);
    it.on_task_changed(record, name, now);
    EXPECT_EQ(it.wait_for(pool, room_kind::reserved, {}, now), before);
    it.on_ended(record.spec.id, now);
    EXPECT_EQ(it.wait_for(pool, room_kind::reserved, {}, now), duration{});
}

// The answer named one second however long the overload lasts.
TEST(refusal_answer, names_the_delay_of_the_refusal)
{
    auto const header_of = [](error const& it)
    { return platform::refusal_answer(it).headers.back().value; };
    EXPECT_EQ(header_of({error_kind::queue_full, "", seconds{7}}), "7");
    EXPECT_EQ(header_of({error_kind::queue_full, ""}), "1");
}

} // namespace
} // namespace apricotlb
