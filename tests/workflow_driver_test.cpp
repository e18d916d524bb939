#include "app/workflow_driver.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// Counts orders and leaves them without an answer.
struct counting_workers
{
    auto send(start_order const& /*order*/,
              std::function<void(order_answer)> /*done*/) -> void
    {
        ++starts;
    }
    auto send(stop_order const& /*order*/,
              std::function<void(order_answer)> /*done*/) -> void
    {
        ++stops;
    }
    auto send(pace_order const& /*order*/,
              std::function<void(order_answer)> /*done*/) -> void
    {
    }
    auto send(poll_order const& /*order*/,
              std::function<void(poll_answer)> done) -> void
    {
        ++polls;
        last_poll = std::move(done);
    }

    int starts{0};
    int stops{0};
    int polls{0};
    std::function<void(poll_answer)> last_poll;
};

static_assert(run_worker_port<counting_workers>);

struct no_metrics
{
    auto count(std::string_view /*name*/, std::string_view /*label*/) -> void {}
    auto record(std::string_view /*name*/, std::string_view /*label*/,
                duration /*d*/) -> void
    {
    }
};

/// A leader's lease that the test ends; commits nothing.
struct test_lease
{
    bool* is_held;
    int* resignations{nullptr};

    auto propose(command const& /*it*/,
                 std::function<void(result<void>)> /*done*/) const -> void
    {
    }
    [[nodiscard]] auto is_current() const -> bool { return *is_held; }
    auto resign() const -> void
    {
        if (resignations != nullptr)
        {
            ++*resignations;
        }
    }
};

/// Each pass of the scheduler, which reads the wall clock once, takes 10 ms.
struct slow_pass_clock : paused_clock
{
    [[nodiscard]] auto wall_now() -> wall_time
    {
        ++passes;
        block(pass_time);
        return paused_clock::wall_now();
    }

    static constexpr duration pass_time = milliseconds{10};
    int passes{0};
};

/// A driver that leads a state with one recorded run on worker w1.
class driver_fixture : public testing::Test
{
protected:
    driver_fixture()
    {
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_contract queue;
        queue.name = queue_name{"q"};
        queue.pool = pool_name{"pool"};
        queue.timeout = milliseconds{3000};
        queue.max_failures = 2;
        set.queues.push_back(queue);
        workflow_spec spec;
        spec.id = workflow_id{"a"};
        spec.steps.emplace_back().tasks = task_count{1};
        state.apply(apply_contract_set{set}, log_index{1});
        state.apply(submit_workflow{spec, queue}, log_index{2});
        state.apply(start_runs{{{run, w1}}}, log_index{3});
        clock.advance(seconds{10});
        driver.start(state, term{2});
    }

    auto announce() -> void
    {
        worker_announcement it;
        it.instance = w1;
        it.pool = pool_name{"pool"};
        it.capacity.cores = millicores{1000};
        it.number = sequence{++announcements};
        driver.on_announcement(it);
    }

    worker_instance const w1{worker_id{"w1"}, worker_incarnation{1}};
    task_run const run{{workflow_id{"a"}, {}, {}, {}}, run_number{1}};
    std::uint64_t announcements{0};
    bool holds_lease{true};
    int resignations{0};
    paused_clock clock;
    counting_workers workers;
    no_metrics metrics;
    state_machine state;
    workflow_driver<paused_clock, counting_workers, test_lease, no_metrics>
        driver{clock, workers, metrics, test_lease{&holds_lease, &resignations},
               fleet_policy{seconds{5}}};
};

// Workers that refuse every token could keep the group without a leader.
TEST_F(driver_fixture, resigns_rarely_while_workers_refuse_its_token)
{
    auto const refuse_for = [this](int time)
    {
        for (auto n = 0; n < time; ++n)
        {
            announce();
            if (auto const done = std::exchange(workers.last_poll, nullptr))
            {
                poll_answer refused;
                refused.outcome = order_outcome::fenced;
                done(refused);
            }
            clock.advance(seconds{1});
        }
    };
    refuse_for(1);
    EXPECT_EQ(resignations, 0);
    refuse_for(3);
    EXPECT_EQ(resignations, 1);
    EXPECT_EQ(workers.polls, 1);
    driver.start(state, term{3});
    refuse_for(55);
    EXPECT_EQ(resignations, 1);
    EXPECT_EQ(workers.polls, 2);
    refuse_for(10);
    EXPECT_EQ(resignations, 2);
}

// A leader that was frozen must not start a run that its successor has
// cancelled, nor extend a lease that its successor takes for over.
TEST_F(driver_fixture, sends_no_start_and_no_poll_without_the_leader_lease)
{
    announce();
    ASSERT_EQ(workers.polls, 1);
    holds_lease = false;
    poll_answer absent;
    absent.outcome = order_outcome::done;
    absent.lists.incarnation = w1.incarnation;
    workers.last_poll(absent);
    clock.advance(milliseconds{500});
    EXPECT_EQ(workers.starts, 0);
    EXPECT_EQ(workers.polls, 1);
    holds_lease = true;
    clock.advance(milliseconds{500});
    EXPECT_EQ(workers.starts, 1);
    // The second poll has no answer, and is repeated once.
    EXPECT_EQ(workers.polls, 3);
}

// A leader without its lease may have a successor that keeps the run.
TEST_F(driver_fixture, sends_no_stop_without_the_leader_lease)
{
    announce();
    holds_lease = false;
    command const cancel{cancel_workflow{workflow_id{"a"}, {}}};
    state.apply(std::get<cancel_workflow>(cancel), log_index{4});
    driver.on_applied(cancel, state);
    clock.advance(milliseconds{500});
    EXPECT_EQ(workers.stops, 0);
    holds_lease = true;
    clock.advance(config::order_retry_interval + milliseconds{500});
    EXPECT_GT(workers.stops, 0);
}

// A leader whose fleet is full planned without a pause and read the answers of
// its followers too late to keep its leadership.
TEST(workflow_driver,
     leaves_most_of_the_time_to_other_work_when_passes_are_slow)
{
    slow_pass_clock clock;
    counting_workers workers;
    no_metrics metrics;
    state_machine state;
    bool holds_lease{true};
    workflow_driver<slow_pass_clock, counting_workers, test_lease, no_metrics>
        driver{clock, workers, metrics, test_lease{&holds_lease},
               fleet_policy{seconds{5}}};
    driver.start(state, term{1});
    worker_announcement it;
    it.instance = {worker_id{"w1"}, worker_incarnation{1}};
    it.pool = pool_name{"pool"};
    auto const begin = clock.now();
    for (auto n = 0; n < 1000; ++n)
    {
        ++it.number;
        driver.on_announcement(it);
        clock.advance(milliseconds{1});
    }
    auto const elapsed = clock.now() - begin;
    EXPECT_GT(clock.passes, 5);
    EXPECT_LT(clock.passes * slow_pass_clock::pass_time * 4, elapsed);
}

/// Keeps the commands that were proposed.
struct recording_log
{
    std::vector<end_runs>* ends;

    auto propose(command const& it,
                 std::function<void(result<void>)> done) const -> void
    {
        if (auto const* const proposed = std::get_if<end_runs>(&it))
        {
            ends->push_back(*proposed);
            done(outcome::success());
        }
    }
    [[nodiscard]] static auto is_current() -> bool { return true; }
    static auto resign() -> void {}
};

/// Keeps the callbacks of all polls.
struct polled_workers : counting_workers
{
    using counting_workers::send;
    auto send(poll_order const& it, std::function<void(poll_answer)> done)
        -> void
    {
        open.emplace_back(it, std::move(done));
    }

    std::vector<std::pair<poll_order, std::function<void(poll_answer)>>> open;
};

// Each proposal costs every member of the group: with one for each worker that
// lists an end, the log took a fifth of a loaded leader's time.
TEST(workflow_driver, proposes_the_ends_of_a_turn_together)
{
    constexpr std::uint32_t count = 300;
    paused_clock clock;
    polled_workers workers;
    no_metrics metrics;
    state_machine state;
    std::vector<end_runs> ends;
    contract_set set;
    set.version = contract_set_version{1};
    set.pools.push_back({pool_name{"pool"}, true, false});
    queue_contract queue;
    queue.name = queue_name{"q"};
    queue.pool = pool_name{"pool"};
    set.queues.push_back(queue);
    state.apply(apply_contract_set{set}, log_index{1});
    workflow_spec spec;
    spec.id = workflow_id{"a"};
    spec.steps.emplace_back().tasks = task_count{count};
    state.apply(submit_workflow{spec, queue}, log_index{2});
    start_runs starts;
    for (std::uint32_t n = 0; n < count; ++n)
    {
        starts.runs.push_back(
            {{{spec.id, {}, {}, task_index{n}}, run_number{1}},
             {worker_id{"w" + std::to_string(n)}, worker_incarnation{1}}});
    }
    state.apply(starts, log_index{3});
    workflow_driver<paused_clock, polled_workers, recording_log, no_metrics>
        driver{clock, workers, metrics, recording_log{&ends},
               fleet_policy{seconds{5}}};
    driver.start(state, term{2});
    for (auto const& each : starts.runs)
    {
        worker_announcement it;
        it.instance = each.worker;
        it.address = url{"http://" + each.worker.id.value()};
        it.pool = pool_name{"pool"};
        it.capacity.cores = millicores{1000};
        it.number = sequence{1};
        driver.on_announcement(it);
    }
    ASSERT_EQ(workers.open.size(), count);
    for (std::uint32_t n = 0; n < count; ++n)
    {
        poll_answer listed;
        listed.outcome = order_outcome::done;
        listed.lists.incarnation = worker_incarnation{1};
        listed.lists.ended.push_back(
            {end_number{1}, {starts.runs[n].run, run_end::finished, {}}});
        workers.open[n].second(listed);
    }
    clock.advance(duration{0});
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].runs.size(), config::max_runs_per_command);
    EXPECT_EQ(ends[0].runs.size() + ends[1].runs.size(), count);
    // Each worker may release its end now.
    clock.advance(milliseconds{100});
    std::size_t released{0};
    for (auto n = std::size_t{count}; n < workers.open.size(); ++n)
    {
        released += workers.open[n].first.recorded == end_number{1} ? 1U : 0U;
    }
    EXPECT_EQ(released, count);
}

} // namespace
} // namespace apricotlb
