#include "adapters/msgpack_codec.hpp"
#include "core/fleet/relocation.hpp"
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace apricotlb
{
namespace
{

/// Encodes a value as a version without its last field did. The last field has
/// to be one byte: an empty list, or a zero.
template <class T>
auto encode_without_last_field(T const& it) -> std::string
{
    auto bytes = msgpack_codec::encode(it);
    --bytes.front(); // the number of fields
    bytes.pop_back();
    return bytes;
}

// A control process that is upgraded must load the snapshot of the version
// before.
TEST(evacuation_registry, loads_snapshots_of_before)
{
    state_machine before;
    before.apply(apply_contract_set{}, log_index{7});
    auto const older = encode_without_last_field(before.snapshot());
    auto const loaded = msgpack_codec::decode<state_snapshot>(older);
    ASSERT_TRUE(loaded) << loaded.error().detail;
    state_machine const after{loaded.value()};
    EXPECT_EQ(after.applied(), log_index{7});
    EXPECT_EQ(after.evacuations().size(), 0U);
    EXPECT_TRUE(msgpack_codec::decode<worker_announcement>(
        encode_without_last_field(worker_announcement{})));
}

// An operator whose answer was lost sends the request again: it must not fail,
// and a restart must not forget it.
TEST(evacuation_registry, is_idempotent_and_part_of_the_snapshot)
{
    state_machine state;
    for (std::uint64_t n = 1; n <= 2; ++n)
    {
        auto const answer =
            state.apply(evacuate_data_centre{zone_id{"a"}}, log_index{n});
        EXPECT_FALSE(answer.refused);
        EXPECT_EQ(answer.at, revision{n});
    }
    auto const bytes = msgpack_codec::encode(state.snapshot());
    state_machine restarted{
        msgpack_codec::decode<state_snapshot>(bytes).value()};
    EXPECT_TRUE(restarted.evacuations().contains(zone_id{"a"}));
    for (std::uint64_t n = 3; n <= 4; ++n)
    {
        EXPECT_FALSE(
            restarted.apply(return_data_centre{zone_id{"a"}}, log_index{n})
                .refused);
    }
    EXPECT_EQ(restarted.evacuations().size(), 0U);
}

// Names that never end would fill the state of every replica.
TEST(evacuation_registry, bounds_the_number_of_data_centres)
{
    state_machine state;
    for (std::size_t n = 0; n < config::max_evacuations; ++n)
    {
        EXPECT_FALSE(
            state.apply(evacuate_data_centre{zone_id{std::to_string(n)}}, {})
                .refused);
    }
    EXPECT_EQ(state.apply(evacuate_data_centre{zone_id{"x"}}, {}).refused,
              error_kind::quota_exceeded);
    EXPECT_FALSE(state.apply(evacuate_data_centre{zone_id{"0"}}, {}).refused);
}

class evacuation : public testing::Test
{
protected:
    auto add_worker(std::string const& name, std::string const& zone,
                    std::int64_t cpu = 8000) -> void
    {
        fleet.add_worker(name, cpu);
        fleet.workers[name]->zone = zone;
        fleet.announce_now();
        ASSERT_TRUE(fleet.run_until_listed(name));
    }
    auto evacuate(std::string const& zone) -> void
    {
        fleet.apply(evacuate_data_centre{zone_id{zone}});
    }
    auto take_back(std::string const& zone) -> void
    {
        fleet.apply(return_data_centre{zone_id{zone}});
    }
    auto running_on(std::string const& name) -> std::size_t
    {
        return fleet.workers[name]->running().size();
    }
    auto submit_permanent(std::int64_t tasks, std::int64_t max_unavailable)
        -> void
    {
        fleet.behaviour = [](std::string const&) {
            return platform_worker::run{0, time_point{seconds{1000}}, "done",
                                        1000};
        };
        auto step = fake_fleet::step(tasks);
        step.permanent = true;
        step.max_unavailable = task_count{max_unavailable};
        fleet.submit("p", {step});
        fleet.run(seconds{1});
    }
    auto TearDown() -> void override
    {
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
    }

    fake_fleet fleet{17};
};

// Work that is sent to a data centre about to lose power is lost with it; work
// that never comes back leaves its workers idle.
TEST_F(evacuation, sends_nothing_there_until_the_return)
{
    add_worker("a1", "a");
    evacuate("a");
    fleet.submit("x", {fake_fleet::step(4)});
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.starts, 0U);
    EXPECT_EQ(fleet.leader->summary(fleet.now).workers, 0);
    take_back("a");
    fleet.run(milliseconds{100});
    EXPECT_EQ(running_on("a1"), 4U);
}

// Runs that are placed when the evacuation is committed have not started yet.
TEST_F(evacuation, withdraws_runs_whose_record_follows_it)
{
    add_worker("a1", "a");
    fleet.submit("x", {fake_fleet::step(2)});
    fleet.run(milliseconds{5});
    evacuate("a");
    fleet.run(milliseconds{200});
    EXPECT_EQ(fleet.starts, 0U);
    add_worker("b1", "b");
    fleet.run(milliseconds{500});
    EXPECT_EQ(running_on("b1"), 2U);
}

// A start order without an answer is repeated, which must not happen any more
// once its data centre is evacuated.
TEST_F(evacuation, does_not_repeat_orders_that_it_overtakes)
{
    add_worker("a1", "a");
    fleet.faults.lost = 100;
    fleet.submit("x", {fake_fleet::step(1)});
    fleet.run(milliseconds{50});
    ASSERT_EQ(fleet.starts, 1U);
    evacuate("a");
    fleet.run(seconds{2});
    fleet.faults.lost = 0;
    EXPECT_EQ(fleet.starts, 1U);
    add_worker("b1", "b");
    fleet.run(seconds{5});
    EXPECT_EQ(fleet.state_of("x"), workflow_state::completed);
    EXPECT_EQ(fleet.starts, 2U);
}

// Finite work that is ended early has to be done again elsewhere.
TEST_F(evacuation, lets_finite_work_end)
{
    add_worker("a1", "a");
    fleet.submit("x", {fake_fleet::step(3)});
    fleet.run(milliseconds{300});
    ASSERT_EQ(running_on("a1"), 3U);
    evacuate("a");
    add_worker("b1", "b");
    EXPECT_EQ(fleet.leader->summary(fleet.now).evacuated_runs, 3);
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.state_of("x"), workflow_state::completed);
    EXPECT_EQ(fleet.starts, 3U);
}

// A new leader that learns of an evacuation after its first order sends orders
// to the data centre. The earlier leader is lost between the commit and its own
// reaction, and the operator repeats the request.
TEST_F(evacuation, is_known_to_a_new_leader_before_its_first_order)
{
    add_worker("a1", "a");
    fleet.faults.lost = 100;
    fleet.submit("x", {fake_fleet::step(2)});
    fleet.run(milliseconds{50});
    ASSERT_EQ(fleet.starts, 2U);
    fleet.state.apply(evacuate_data_centre{zone_id{"a"}}, log_index{1000});
    fleet.lead();
    fleet.faults.lost = 0;
    fleet.run(seconds{1});
    evacuate("a");
    fleet.run(seconds{4});
    EXPECT_EQ(fleet.starts, 2U);
    EXPECT_EQ(running_on("a1"), 0U);
    add_worker("b1", "b");
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.state_of("x"), workflow_state::completed);
}

// Users of a permanent task lose it if too many of its step stop at a time.
TEST_F(evacuation, moves_permanent_tasks_one_by_one)
{
    add_worker("a1", "a");
    submit_permanent(3, 1);
    ASSERT_EQ(running_on("a1"), 3U);
    add_worker("b1", "b");
    fleet.run(seconds{3});
    EXPECT_EQ(running_on("b1"), 0U);
    evacuate("a");
    for (auto n = 0; n < 600; ++n)
    {
        fleet.run(milliseconds{50});
        ASSERT_GE(running_on("a1") + running_on("b1"), 2U) << n;
    }
    EXPECT_EQ(running_on("a1"), 0U);
    EXPECT_EQ(running_on("b1"), 3U);
    EXPECT_EQ(fleet.starts, 6U);
}

// The same holds for a worker that is about to leave.
TEST_F(evacuation, moves_permanent_tasks_off_a_draining_worker)
{
    add_worker("a1", "a");
    submit_permanent(1, 1);
    add_worker("b1", "a");
    fleet.run(seconds{3});
    fleet.draining.insert("a1");
    fleet.run(seconds{4});
    EXPECT_EQ(running_on("a1"), 0U);
    EXPECT_EQ(running_on("b1"), 1U);
}

// A task that is stopped without room for it elsewhere is worse off than
// before.
TEST_F(evacuation, moves_no_permanent_task_without_room)
{
    add_worker("a1", "a");
    submit_permanent(2, 1);
    add_worker("b1", "b", 500);
    evacuate("a");
    fleet.run(seconds{10});
    EXPECT_EQ(running_on("a1"), 2U);
    EXPECT_EQ(fleet.starts, 2U);
}

// A step that may miss no task has to stay.
TEST_F(evacuation, moves_no_task_of_a_step_that_may_miss_none)
{
    add_worker("a1", "a");
    submit_permanent(2, 0);
    add_worker("b1", "b");
    evacuate("a");
    fleet.run(seconds{10});
    EXPECT_EQ(running_on("a1"), 2U);
}

// A cold worker that is filled at once is slow for all that it runs.
TEST_F(evacuation, fills_a_cold_worker_step_by_step)
{
    fleet.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{60}}, "done", 1000};
    };
    fleet.add_worker("a1", 8000);
    fleet.workers["a1"]->warm_at = fleet.now + seconds{10};
    fleet.announce_now();
    ASSERT_TRUE(fleet.run_until_listed("a1"));
    fleet.submit("x", {fake_fleet::step(8)});
    fleet.run(milliseconds{500});
    EXPECT_EQ(running_on("a1"), 1U);
    EXPECT_EQ(fleet.leader->summary(fleet.now).cold, 1);
    fleet.run(milliseconds{4800});
    EXPECT_EQ(running_on("a1"), 4U);
    fleet.run(seconds{6});
    EXPECT_EQ(running_on("a1"), 8U);
    EXPECT_EQ(fleet.leader->summary(fleet.now).cold, 0);
}

// A countdown that is read with a delay must not start the warm-up anew.
TEST(warm_up_progress, continues_over_announcements_and_starts_anew)
{
    warm_up_progress it;
    time_point now{seconds{100}};
    it.announce({}, now);
    EXPECT_FALSE(it.is_cold(now));
    EXPECT_EQ(it.elapsed(now), permille{1000});
    it.announce(seconds{10}, now);
    EXPECT_EQ(it.elapsed(now), permille{0});
    now += seconds{5};
    it.announce(milliseconds{5400}, now);
    EXPECT_TRUE(it.is_cold(now));
    EXPECT_EQ(it.elapsed(now), permille{450});
    EXPECT_TRUE(it.take_step(now));
    EXPECT_FALSE(it.take_step(now));
    now += seconds{20};
    EXPECT_TRUE(it.take_step(now));
    it.announce(seconds{10}, now);
    EXPECT_EQ(it.elapsed(now), permille{0});
    it.announce({}, now + seconds{1});
    EXPECT_FALSE(it.is_cold(now + seconds{1}));
}

// The floor of a step counts the tasks that are away for any reason.
TEST(relocation, keeps_the_floor_of_a_step)
{
    using enum task_presence;
    auto const choose = [](std::vector<task_presence> const& presence,
                           std::int64_t max_unavailable)
    {
        std::vector<step_task> tasks;
        for (std::uint32_t n = 0; n < presence.size(); ++n)
        {
            tasks.push_back({task_index{n}, presence[n], true});
        }
        return choose_relocation(tasks, task_count{max_unavailable});
    };
    EXPECT_EQ(choose({at_work, at_work}, 1), task_index{0});
    EXPECT_EQ(choose({at_work, at_work}, 0), std::nullopt);
    EXPECT_EQ(choose({away, at_work}, 1), std::nullopt);
    EXPECT_EQ(choose({away, at_work}, 2), task_index{1});
    EXPECT_EQ(choose({moving, at_work}, 5), std::nullopt);
    EXPECT_EQ(choose({over, at_work}, 1), task_index{1});
    EXPECT_EQ(
        choose_relocation({{task_index{0}, at_work, false}}, task_count{1}),
        std::nullopt);
}

} // namespace
} // namespace apricotlb
