#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace apricotlb
{
namespace
{

/// Callers that submit workflows of two steps of four tasks, one second each,
/// to a fleet of 16 cores: it can end two of them in a second. Allowed are
/// twice the chain of two seconds and one second.
class loaded_fleet
{
public:
    explicit loaded_fleet(std::uint64_t seed) : fleet_(seed)
    {
        for (auto n = 0; n < 4; ++n)
        {
            fleet_.add_worker("w" + std::to_string(n), 4000);
        }
        auto set = *fleet_.state.contract_sets().current();
        set.version = contract_set_version{2};
        set.queues[0].stretch = permille{2000};
        set.queues[0].target = milliseconds{1000};
        fleet_.apply(apply_contract_set{set});
        fleet_.run(seconds{2});
    }

    /// Submits one workflow every `interval` for a time.
    auto load(duration interval, duration time) -> void
    {
        auto first = fake_fleet::step(4);
        first.estimate = milliseconds{1000};
        auto second = first;
        second.prerequisites = {step_index{0}};
        for (auto const end = fleet_.now + time; fleet_.now < end;)
        {
            auto const id = "f" + std::to_string(submitted_.size());
            fleet_.submit(id, {first, second});
            submitted_[id] = fleet_.now;
            run(interval);
        }
    }

    auto run(duration time) -> void
    {
        for (auto const end = fleet_.now + time; fleet_.now < end;)
        {
            fleet_.run(milliseconds{50});
            for (auto const& [id, at] : submitted_)
            {
                if (!ended_.contains(id) &&
                    fleet_.state_of(id) == workflow_state::completed)
                {
                    ended_[id] = fleet_.now - at;
                }
            }
        }
    }

    [[nodiscard]] auto submitted() const -> std::size_t
    {
        return submitted_.size();
    }
    [[nodiscard]] auto ended() const -> std::size_t { return ended_.size(); }
    [[nodiscard]] auto ended_in_time() const -> std::size_t
    {
        static constexpr duration allowed = seconds{5};
        return static_cast<std::size_t>(std::ranges::count_if(
            ended_, [](auto const& it) { return it.second <= allowed; }));
    }

private:
    fake_fleet fleet_;
    std::map<std::string, time_point> submitted_;
    std::map<std::string, duration> ended_; ///< after its submission
};

// With the least slack first, a backlog that does not clear makes each workflow
// start when its slack has ended, and nearly all of them are late.
TEST(overload_order, ends_what_the_fleet_can_serve_in_time)
{
    loaded_fleet it{31};
    // 1.5 times what the fleet can serve: two of three can be in time.
    it.load(milliseconds{333}, seconds{40});
    it.run(seconds{5});
    EXPECT_GE(it.ended_in_time() * 2, it.submitted());
    it.run(seconds{30});
    EXPECT_EQ(it.ended(), it.submitted());
}

// A short crest that fits into the slack of the work must make none of it late.
TEST(overload_order, ends_all_work_of_a_short_crest_in_time)
{
    loaded_fleet it{32};
    it.load(milliseconds{333}, seconds{3});
    it.run(seconds{10});
    EXPECT_EQ(it.ended_in_time(), it.submitted());
}

// After each change of leader all waiting work counted as fresh, and work that
// was late already took the places of work that could be in time.
TEST(overload_order, lets_a_new_leader_know_how_long_work_has_waited)
{
    state_machine state;
    submission_times submitted;
    contract_set set;
    set.version = contract_set_version{1};
    set.pools.push_back({pool_name{"pool"}, true, false});
    queue_contract queue;
    queue.name = queue_name{"q"};
    queue.pool = pool_name{"pool"};
    queue.target = milliseconds{1000};
    set.queues.push_back(queue);
    state.apply(apply_contract_set{set}, log_index{1});
    workflow_spec spec;
    spec.steps.push_back(fake_fleet::step(1));
    spec.id = workflow_id{"waiting"};
    state.apply(submit_workflow{spec, queue}, log_index{2});
    submitted.record(*state.workflows().find(spec.id), time_point{seconds{5}},
                     wall_time{});
    time_point const now{seconds{25}};
    spec.id = workflow_id{"fresh"};
    state.apply(submit_workflow{spec, queue}, log_index{3});
    submitted.record(*state.workflows().find(spec.id), now, wall_time{});

    run_scheduler leader{state, term{2}, now, fleet_policy{}, submitted};
    worker_announcement it;
    it.instance = {worker_id{"w1"}, worker_incarnation{1}};
    it.pool = pool_name{"pool"};
    it.capacity.cores = millicores{1000};
    it.number = sequence{1};
    leader.on_announcement(it, now);
    for (auto const& action : leader.take_actions())
    {
        poll_answer answer;
        answer.outcome = order_outcome::done;
        answer.lists.incarnation = it.instance.incarnation;
        leader.on_answer(std::get<poll_order>(action), answer, now);
    }
    leader.plan(now, wall_time{});
    auto const actions = leader.take_actions();
    ASSERT_EQ(actions.size(), 1U);
    auto const& placed = std::get<propose_starts>(actions[0]).value.runs;
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].run.task.workflow, workflow_id{"fresh"});
}

// Wall clocks jump and differ between machines; no age may become absurd.
TEST(overload_order, bounds_the_ages_that_the_log_records)
{
    workflow_record it;
    auto const now = wall_time{seconds{1'700'000'000}};
    EXPECT_EQ(recorded_age(it, now), duration{});
    it.submitted = now - seconds{3};
    EXPECT_EQ(recorded_age(it, now), duration{seconds{3}});
    it.submitted = now + seconds{3};
    EXPECT_EQ(recorded_age(it, now), duration{});
    it.submitted = now - seconds{100'000};
    EXPECT_EQ(recorded_age(it, now), config::max_recorded_age);

    // Only what was in the log at the start gets its age from it: the clock of
    // the leader may differ from that of a member that follows it.
    submission_times times;
    times.set_start(revision{1});
    time_point const loop{seconds{50}};
    it.submitted = now - seconds{3};
    it.spec.id = workflow_id{"before"};
    it.accepted = revision{1};
    times.record(it, loop, now);
    it.spec.id = workflow_id{"after"};
    it.accepted = revision{2};
    times.record(it, loop, now);
    EXPECT_EQ(times.find(workflow_id{"before"}), loop - seconds{3});
    EXPECT_EQ(times.find(workflow_id{"after"}), loop);
}

} // namespace
} // namespace apricotlb
