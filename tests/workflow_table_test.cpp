#include "adapters/msgpack_codec.hpp"
#include "core/random.hpp"
#include "core/state/state_machine.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{
namespace
{

auto terms() -> queue_contract
{
    queue_contract it;
    it.name = queue_name{"q"};
    it.pool = pool_name{"p"};
    it.timeout = milliseconds{1000};
    it.max_failures = 2;
    return it;
}

auto step(std::int64_t tasks) -> step_spec
{
    step_spec it;
    it.tasks = task_count{tasks};
    return it;
}

/// A state with one workflow, and shortcuts for its commands.
struct one_workflow
{
    explicit one_workflow(std::vector<step_spec> steps)
    {
        workflow_spec spec;
        spec.id = workflow_id{"a"};
        spec.steps = std::move(steps);
        apply(submit_workflow{spec, terms()});
    }

    auto apply(command const& it) -> void
    {
        state.apply(it, log_index{++index});
    }
    static auto run(std::uint32_t of_step, std::uint32_t task,
                    std::uint32_t number) -> task_run
    {
        return {{workflow_id{"a"}, {}, step_index{of_step}, task_index{task}},
                run_number{number}};
    }
    auto start(task_run const& it) -> void
    {
        apply(start_runs{{{it, {worker_id{"w"}, worker_incarnation{1}}}}});
    }
    auto end(task_run const& it, run_end how) -> void
    {
        apply(end_runs{{{it, how, {}}}, {}});
    }
    auto end_late(task_run const& it, run_end how) -> void
    {
        apply(end_runs{{}, {}, std::vector{ended_run{it, how, {}}}});
    }
    [[nodiscard]] auto ready() const -> std::size_t
    {
        return state.workflows().ready_count();
    }
    [[nodiscard]] auto shown() const -> workflow_state
    {
        return state.workflows().state(workflow_id{"a"}).value();
    }

    state_machine state;
    std::uint64_t index{0};
};

// A step that is offered too early would run before its input exists.
TEST(workflow_table, offers_a_step_after_the_steps_it_depends_on)
{
    auto second = step(3);
    second.prerequisites = {step_index{0}};
    one_workflow it{{step(2), second}};
    EXPECT_EQ(it.ready(), 2U);
    it.start(one_workflow::run(0, 0, 1));
    it.end(one_workflow::run(0, 0, 1), run_end::finished);
    EXPECT_EQ(it.ready(), 1U);
    it.start(one_workflow::run(0, 1, 1));
    it.end(one_workflow::run(0, 1, 1), run_end::finished);
    EXPECT_EQ(it.ready(), 3U);
}

// A resend of a submission must stay one workflow, whatever it has done since.
TEST(workflow_table, takes_a_second_submission_for_the_first)
{
    one_workflow it{{step(1)}};
    it.start(one_workflow::run(0, 0, 1));
    workflow_spec again;
    again.id = workflow_id{"a"};
    again.steps = {step(5)};
    it.apply(submit_workflow{again, terms()});
    EXPECT_EQ(it.ready(), 0U);
    it.end(one_workflow::run(0, 0, 1), run_end::finished);
    EXPECT_EQ(it.shown(), workflow_state::completed);
    it.apply(submit_workflow{again, terms()});
    EXPECT_EQ(it.shown(), workflow_state::completed);
    EXPECT_EQ(it.ready(), 0U);
}

// A number that was used before, or a second run of a task, would let one
// task run twice.
TEST(workflow_table, refuses_a_second_run_and_an_old_number)
{
    one_workflow it{{step(1)}};
    it.start(one_workflow::run(0, 0, 1));
    it.start(one_workflow::run(0, 0, 2));
    EXPECT_FALSE(it.state.workflows().is_active(one_workflow::run(0, 0, 2)));
    it.end(one_workflow::run(0, 0, 1), run_end::lost);
    it.start(one_workflow::run(0, 0, 1));
    EXPECT_FALSE(it.state.workflows().is_active(one_workflow::run(0, 0, 1)));
    it.start(one_workflow::run(0, 0, 2));
    EXPECT_TRUE(it.state.workflows().is_active(one_workflow::run(0, 0, 2)));
}

// Only failures count towards the limit: a task that lost its worker many
// times has not failed.
TEST(workflow_table, counts_failed_runs_only)
{
    one_workflow it{{step(1)}};
    std::uint32_t n{0};
    for (auto const how : {run_end::lost, run_end::stopped, run_end::lapsed,
                           run_end::not_started, run_end::failed})
    {
        it.start(one_workflow::run(0, 0, ++n));
        it.end(one_workflow::run(0, 0, n), how);
        EXPECT_EQ(it.shown(), workflow_state::running);
    }
    it.start(one_workflow::run(0, 0, ++n));
    it.end(one_workflow::run(0, 0, n), run_end::failed);
    EXPECT_EQ(it.shown(), workflow_state::failed);
}

// Each run that is counted is one worker that crashed; a task that has ended by
// itself since then crashes no workers.
TEST(workflow_table, fails_after_crashes_without_another_end_in_between)
{
    one_workflow it{{step(1)}};
    std::uint32_t n{0};
    auto const crash = [&]
    {
        it.start(one_workflow::run(0, 0, ++n));
        it.end(one_workflow::run(0, 0, n), run_end::crashed);
    };
    for (std::uint32_t k = 1; k < config::max_task_crashes; ++k)
    {
        crash();
    }
    it.start(one_workflow::run(0, 0, ++n));
    it.end(one_workflow::run(0, 0, n), run_end::failed);
    for (std::uint32_t k = 1; k < config::max_task_crashes; ++k)
    {
        crash();
        EXPECT_EQ(it.shown(), workflow_state::running);
    }
    crash();
    EXPECT_EQ(it.shown(), workflow_state::failed);
}

// The members of a gang end together; their crash is one.
TEST(workflow_table, counts_a_crash_once_for_a_gang)
{
    auto together = step(3);
    together.gang = true;
    one_workflow it{{together}};
    for (std::uint32_t n = 1; n <= config::max_task_crashes; ++n)
    {
        EXPECT_NE(it.shown(), workflow_state::failed);
        for (std::uint32_t k = 0; k < 3; ++k)
        {
            it.start(one_workflow::run(0, k, n));
        }
        for (std::uint32_t k = 0; k < 3; ++k)
        {
            it.end(one_workflow::run(0, k, n), run_end::crashed);
        }
    }
    EXPECT_EQ(it.shown(), workflow_state::failed);
}

// A crash may become known after the run has ended as lost, and be proposed
// again by a leader that has not seen its record.
TEST(workflow_table, counts_a_crash_once_after_the_run_has_ended_as_lost)
{
    one_workflow it{{step(1)}};
    for (std::uint32_t n = 1; n <= config::max_task_crashes; ++n)
    {
        EXPECT_NE(it.shown(), workflow_state::failed);
        it.start(one_workflow::run(0, 0, n));
        it.end(one_workflow::run(0, 0, n), run_end::lost);
        it.end(one_workflow::run(0, 0, n), run_end::crashed);
        it.end(one_workflow::run(0, 0, n), run_end::crashed);
        it.end(one_workflow::run(0, 0, n + 1), run_end::crashed);
    }
    EXPECT_EQ(it.shown(), workflow_state::failed);
}

// A replica that takes over from a snapshot must not count anew.
TEST(workflow_table, keeps_crashes_in_a_snapshot)
{
    one_workflow it{{step(1)}};
    it.start(one_workflow::run(0, 0, 1));
    it.end(one_workflow::run(0, 0, 1), run_end::crashed);
    auto const bytes = msgpack_codec::encode(it.state.workflows().snapshot());
    auto const loaded = msgpack_codec::decode<workflows_snapshot>(bytes);
    ASSERT_FALSE(loaded.has_error());
    workflow_table const table{loaded.value()};
    EXPECT_TRUE(table.find(workflow_id{"a"})
                    ->is_suspect(one_workflow::run(0, 0, 1).task));
}

/// task_progress of a version that did not count crashes.
struct former_task_progress
{
    run_number last;
    std::uint32_t failures{0};
    bool finished{false};
    checkpoint_id checkpoint;
    std::vector<active_run> active;

    static constexpr auto fields()
    {
        return field_list(
            field("last", &former_task_progress::last),
            field("failures", &former_task_progress::failures),
            field("finished", &former_task_progress::finished),
            field("checkpoint", &former_task_progress::checkpoint),
            field("active", &former_task_progress::active));
    }
};

// A snapshot without these counts has to load after an update.
TEST(workflow_table, loads_progress_of_a_version_that_counted_no_crashes)
{
    former_task_progress before;
    before.last = run_number{7};
    before.failures = 1;
    before.active.push_back(
        {run_number{7}, {worker_id{"w"}, worker_incarnation{1}}});
    auto const bytes = msgpack_codec::encode(before);
    auto const loaded = msgpack_codec::decode<task_progress>(bytes);
    ASSERT_FALSE(loaded.has_error());
    EXPECT_EQ(loaded.value().last, run_number{7});
    EXPECT_EQ(loaded.value().failures, 1U);
    EXPECT_EQ(loaded.value().active.size(), 1U);
    EXPECT_EQ(loaded.value().crashes, 0U);
    EXPECT_TRUE(
        msgpack_codec::decode<active_run>(std::string_view{"\x91\x01", 2})
            .has_error());
}

// A cancelled workflow starts nothing more and is kept until its runs have
// ended, so that they are stopped.
TEST(workflow_table, keeps_a_cancelled_workflow_until_its_runs_end)
{
    one_workflow it{{step(2)}};
    it.start(one_workflow::run(0, 0, 1));
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    EXPECT_EQ(it.ready(), 0U);
    EXPECT_NE(it.state.workflows().find(workflow_id{"a"}), nullptr);
    it.start(one_workflow::run(0, 1, 1));
    EXPECT_FALSE(it.state.workflows().is_active(one_workflow::run(0, 1, 1)));
    it.end(one_workflow::run(0, 0, 1), run_end::stopped);
    EXPECT_EQ(it.state.workflows().find(workflow_id{"a"}), nullptr);
    EXPECT_EQ(it.shown(), workflow_state::cancelled);
}

// A cancelling may overtake a submission that a process or a socket held up.
TEST(workflow_table, a_submission_after_its_cancelling_starts_nothing)
{
    workflow_spec late;
    late.id = workflow_id{"b"};
    late.steps = {step(1)};
    one_workflow it{{step(1)}};
    auto const& table = it.state.workflows();
    auto const ready = table.ready_count();
    auto const at = wall_time{std::chrono::seconds{100}};
    it.apply(cancel_workflow{late.id, at});
    // A workflow that nobody has submitted is not shown.
    EXPECT_EQ(table.state(late.id), std::nullopt);

    state_machine restarted{it.state.snapshot()};
    restarted.apply(submit_workflow{late, terms(), at}, log_index{50});
    EXPECT_EQ(restarted.workflows().state(late.id), workflow_state::cancelled);

    auto const submitted = at + std::chrono::seconds{20};
    it.apply(submit_workflow{late, terms(), submitted});
    EXPECT_EQ(table.ready_count(), ready);
    EXPECT_EQ(table.find(late.id), nullptr);
    EXPECT_EQ(table.waiting_count(queue_name{"q"}), 1U);
    it.apply(expire_workflows{submitted});
    EXPECT_EQ(table.state(late.id), workflow_state::cancelled);
    it.apply(expire_workflows{submitted + std::chrono::seconds{1}});
    EXPECT_EQ(table.state(late.id), std::nullopt);
}

// Cancellings of workflows that never arrive must not fill the memory.
TEST(workflow_table, bounds_the_cancellings_without_a_submission)
{
    one_workflow it{{step(1)}};
    auto const at = wall_time{std::chrono::seconds{100}};
    auto const cancel = [&it, at](std::size_t n)
    {
        return it.state.apply(
            cancel_workflow{workflow_id{"n" + std::to_string(n)}, at},
            log_index{1000 + n});
    };
    for (std::size_t n = 0; n < config::max_early_cancellations; ++n)
    {
        ASSERT_FALSE(cancel(n).refused);
    }
    EXPECT_FALSE(cancel(0).refused);
    auto const one_more = config::max_early_cancellations;
    EXPECT_EQ(cancel(one_more).refused, error_kind::queue_full);
    state_machine restarted{it.state.snapshot()};
    EXPECT_EQ(
        restarted
            .apply(cancel_workflow{workflow_id{"x"}, at}, log_index{100'000})
            .refused,
        error_kind::queue_full);
    it.apply(expire_workflows{at + std::chrono::seconds{1}});
    EXPECT_FALSE(cancel(one_more).refused);
}

// Members of earlier versions refuse records with a field that they don't know.
TEST(workflow_table, writes_ended_workflows_as_earlier_versions_do)
{
    ended_workflow const ended{workflow_id{"a"}, queue_name{"q"},
                               workflow_state::completed, wall_time{},
                               std::nullopt};
    auto const bytes = msgpack_codec::encode(ended);
    constexpr char array_of_four{'\x94'};
    EXPECT_EQ(bytes.front(), array_of_four);
}

// An unknown cancelling must not stay for ever, nor change what has ended.
TEST(workflow_table, forgets_a_cancelling_without_a_submission)
{
    one_workflow it{{step(1)}};
    it.start(one_workflow::run(0, 0, 1));
    it.end(one_workflow::run(0, 0, 1), run_end::finished);
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    EXPECT_EQ(it.shown(), workflow_state::completed);
    auto const ended = it.state.workflows().ended_count();
    auto const at = wall_time{std::chrono::seconds{100}};
    it.apply(cancel_workflow{workflow_id{"b"}, at});
    it.apply(cancel_workflow{workflow_id{"b"}, at + std::chrono::seconds{9}});
    it.apply(expire_workflows{at + std::chrono::seconds{5}});
    EXPECT_EQ(it.state.workflows().ended_count(), 1U);
    it.apply(expire_workflows{at + std::chrono::seconds{10}});
    EXPECT_EQ(it.state.workflows().ended_count(), ended - 1);
}

// One end of a gang stands for all members.
TEST(workflow_table, ends_a_gang_with_one_of_its_members)
{
    auto gang = step(3);
    gang.gang = true;
    one_workflow it{{gang}};
    for (std::uint32_t n = 0; n < 3; ++n)
    {
        it.start(one_workflow::run(0, n, 1));
    }
    it.end(one_workflow::run(0, 1, 1), run_end::finished);
    it.end(one_workflow::run(0, 0, 1), run_end::broken);
    it.end(one_workflow::run(0, 2, 1), run_end::broken);
    EXPECT_EQ(it.shown(), workflow_state::completed);
}

// A restart from a snapshot must offer the same work as before.
TEST(workflow_table, is_the_same_after_a_snapshot)
{
    auto second = step(2);
    second.prerequisites = {step_index{0}};
    one_workflow it{{step(2), second}};
    it.start(one_workflow::run(0, 0, 1));
    state_machine const copy{it.state.snapshot()};
    EXPECT_EQ(copy.workflows().ready(), it.state.workflows().ready());
    EXPECT_EQ(copy.workflows().ready_count(),
              it.state.workflows().ready_count());
    EXPECT_TRUE(copy.workflows().is_active(one_workflow::run(0, 0, 1)));
    EXPECT_EQ(copy.workflows().waiting_count(queue_name{"q"}), 0U);
}

// The number of waiting workflows is what callers see of a queue.
TEST(workflow_table, counts_workflows_of_which_nothing_has_started)
{
    one_workflow it{{step(1)}};
    auto const waiting_count = [&it]
    { return it.state.workflows().waiting_count(queue_name{"q"}); };
    EXPECT_EQ(waiting_count(), 1U);
    it.start(one_workflow::run(0, 0, 1));
    EXPECT_EQ(waiting_count(), 0U);
    it.apply(cancel_workflow{workflow_id{"a"}, {}});
    EXPECT_EQ(waiting_count(), 0U);
}

auto set_of(std::uint64_t version, std::string const& prefix) -> contract_set
{
    contract_set it;
    it.version = contract_set_version{version};
    it.pools.push_back({pool_name{"p"}, true, false});
    auto queue = terms();
    queue.host = host_name{"h"};
    queue.prefix = queue_path{prefix};
    it.queues.push_back(queue);
    return it;
}

// An older set that arrives late must not bring back dropped queues.
TEST(contract_sets, keep_the_highest_version)
{
    contract_set_registry it;
    it.apply(apply_contract_set{set_of(7, "/new/")}, {});
    it.apply(apply_contract_set{set_of(5, "/old/")}, {});
    it.apply(apply_contract_set{set_of(7, "/other/")}, {});
    EXPECT_EQ(it.current()->version, contract_set_version{7});
    EXPECT_TRUE(it.match(host_name{"h"}, "/new/x"));
    EXPECT_FALSE(it.match(host_name{"h"}, "/old/x"));
    EXPECT_FALSE(it.match(host_name{"h"}, "/other/x"));
}

// A shorter prefix must not take the requests of a longer one.
TEST(contract_sets, match_the_longest_prefix)
{
    auto set = set_of(1, "/a/");
    auto longer = set.queues[0];
    longer.name = queue_name{"longer"};
    longer.prefix = queue_path{"/a/b/"};
    set.queues.push_back(longer);
    contract_set_registry it;
    it.apply(apply_contract_set{set}, {});
    auto const found = it.match(host_name{"h"}, "/a/b/c");
    ASSERT_TRUE(found);
    EXPECT_EQ(found->queue->name, queue_name{"longer"});
    EXPECT_EQ(found->rest, "c");
    EXPECT_FALSE(it.match(host_name{"other"}, "/a/b/c"));
}

// Hosts have no case, and a client may end a full name with a dot; such
// requests got 404 for a queue that exists.
TEST(contract_sets, match_a_host_in_any_case)
{
    auto set = set_of(1, "/a/");
    set.queues[0].host = host_name{"H.Example"};
    contract_set_registry it;
    it.apply(apply_contract_set{set}, {});
    for (auto const* host :
         {"H.Example", "h.example", "H.EXAMPLE", "h.example."})
    {
        EXPECT_TRUE(it.match(host_name{host}, "/a/x")) << host;
    }
    for (auto const* host : {"", ".", "h.example..", "h.example.org", "h"})
    {
        EXPECT_FALSE(it.match(host_name{host}, "/a/x")) << host;
    }
    EXPECT_FALSE(it.match(host_name{"h.example"}, "/A/x"));
    EXPECT_EQ(it.current()->queues[0].host, host_name{"H.Example"});
}

// Request paths come decoded, so a prefix with an encoded byte matched none.
TEST(contract_sets, match_a_percent_encoded_prefix)
{
    contract_set_registry it;
    it.apply(apply_contract_set{set_of(1, "/a%20b/%71/")}, {});
    auto const found = it.match(host_name{"h"}, "/a b/q/x");
    ASSERT_TRUE(found);
    EXPECT_EQ(found->rest, "x");
    EXPECT_FALSE(it.match(host_name{"h"}, "/a%20b/%71/x"));
    it.apply(apply_contract_set{set_of(2, "/100%/")}, {});
    EXPECT_TRUE(it.match(host_name{"h"}, "/100%/x"));
}

// Of two queues at the same place one would get no requests.
TEST(contract_sets, are_refused_with_one_place_written_in_two_ways)
{
    auto const is_valid = [](char const* host, char const* prefix)
    {
        auto set = set_of(1, "/a/");
        set.queues.push_back(set.queues[0]);
        set.queues[1].host = host_name{host};
        set.queues[1].prefix = queue_path{prefix};
        return check(set).has_value();
    };
    EXPECT_FALSE(is_valid("H", "/a/"));
    EXPECT_FALSE(is_valid("h.", "/a/"));
    EXPECT_FALSE(is_valid("h", "/%61/"));
    EXPECT_TRUE(is_valid("h", "/A/"));
    EXPECT_TRUE(is_valid("h", "//a/"));
    EXPECT_TRUE(is_valid("i", "/a/"));
}

// A set with a mistake must never come into force.
TEST(contract_sets, are_refused_with_a_reason)
{
    auto const kind_of = [](contract_set const& it)
    { return check(it).has_error() ? check(it).error().detail : ""; };
    EXPECT_EQ(kind_of(set_of(1, "/a/")), "");
    auto unknown = set_of(1, "/a/");
    unknown.queues[0].pool = pool_name{"none"};
    EXPECT_NE(kind_of(unknown).find("unknown pool"), std::string::npos);
    auto twice = set_of(1, "/a/");
    twice.queues.push_back(twice.queues[0]);
    EXPECT_NE(kind_of(twice).find("two queues"), std::string::npos);
    auto timeless = set_of(1, "/a/");
    timeless.queues[0].timeout = milliseconds{0};
    EXPECT_NE(kind_of(timeless).find("timeout"), std::string::npos);
}

auto ready_tasks_of(workflow_table const& table) -> std::vector<workflow_task>
{
    std::vector<workflow_task> out;
    for (auto const& [step, ready] : table.ready())
    {
        for (auto const index : ready.tasks)
        {
            out.push_back({ready.workflow, step.occurrence, step.step, index});
        }
    }
    return out;
}

// With two runs of a task, the end of one made the task ready, so that a third
// run started beside the other one, or after the task had finished.
TEST(workflow_table, makes_a_task_with_two_runs_ready_after_both_ends_only)
{
    auto copied = step(1);
    copied.allows_copies = true;
    for (auto const how : {run_end::finished, run_end::failed, run_end::lost,
                           run_end::stopped, run_end::crashed})
    {
        for (std::uint32_t first = 1; first <= 2; ++first)
        {
            one_workflow it{{copied, step(1)}};
            it.start(it.run(0, 0, 1));
            it.start(it.run(0, 0, 2));
            it.start(it.run(0, 0, 3));
            EXPECT_FALSE(it.state.workflows().is_active(it.run(0, 0, 3)));
            EXPECT_EQ(it.ready(), 1U);
            it.end(it.run(0, 0, first), how);
            EXPECT_EQ(it.ready(), 1U);
            EXPECT_TRUE(
                it.state.workflows().is_active(it.run(0, 0, 3 - first)));
            it.end(it.run(0, 0, 3 - first), run_end::stopped);
            EXPECT_EQ(it.ready(), how == run_end::finished ? 1U : 2U);
        }
    }
}

// The ready tasks follow each end instead of being collected anew. One that is
// left out never runs; one too many runs twice or before its input exists.
TEST(workflow_table, keeps_the_ready_tasks_that_a_restart_would_find)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        auto random = seed;
        auto const draw = [&random](std::uint64_t n)
        { return next_random(random) % n; };
        auto second = step(1 + static_cast<std::int64_t>(draw(4)));
        second.prerequisites = {step_index{0}};
        second.gang = draw(3) == 0;
        auto third = step(2);
        third.prerequisites = {step_index{0}, step_index{1}};
        third.permanent = draw(3) == 0;
        auto first = step(1 + static_cast<std::int64_t>(draw(4)));
        first.allows_copies = draw(3) == 0;
        one_workflow it{{first, second, third}};
        std::vector<task_run> started;
        for (auto n = 0; n < 60; ++n)
        {
            auto const ready = ready_tasks_of(it.state.workflows());
            if (!ready.empty() && draw(2) == 0)
            {
                auto const& task = ready[draw(ready.size())];
                auto const* const record =
                    it.state.workflows().find(task.workflow);
                task_run const run{task,
                                   record->find(task)->last + run_number{1}};
                started.push_back(run);
                it.start(run);
            }
            else if (!started.empty())
            {
                constexpr std::array ends{run_end::finished, run_end::failed,
                                          run_end::lost, run_end::stopped,
                                          run_end::crashed};
                it.end(started[draw(started.size())], ends[draw(ends.size())]);
            }
            state_machine const restored{it.state.snapshot()};
            auto const text = [](workflow_table const& table)
            {
                std::string out;
                for (auto const& each : ready_tasks_of(table))
                {
                    out += " " + std::to_string(each.step.value()) + "." +
                           std::to_string(each.index.value());
                }
                return out;
            };
            ASSERT_EQ(text(restored.workflows()), text(it.state.workflows()))
                << "seed " << seed << ", command " << n;
            ASSERT_EQ(it.state.workflows().ready_count(),
                      ready_tasks_of(it.state.workflows()).size())
                << "seed " << seed << ", command " << n;
        }
    }
}

/// A submission as versions without a time of submission wrote it.
struct former_submission
{
    workflow_spec spec;
    queue_contract terms;

    static constexpr auto fields()
    {
        return field_list(field("spec", &former_submission::spec),
                          field("terms", &former_submission::terms));
    }
};

/// The same for the record in a snapshot.
struct former_record
{
    workflow_spec spec;
    queue_contract terms;
    revision accepted;
    bool started{false};
    bool cancelled{false};
    bool failed{false};
    std::vector<occurrence_progress> occurrences;

    static constexpr auto fields()
    {
        return field_list(field("spec", &former_record::spec),
                          field("terms", &former_record::terms),
                          field("accepted", &former_record::accepted),
                          field("started", &former_record::started),
                          field("cancelled", &former_record::cancelled),
                          field("failed", &former_record::failed),
                          field("occurrences", &former_record::occurrences));
    }
};

// A log or a snapshot of the version before must not end the process.
TEST(workflow_table, reads_submissions_without_a_time)
{
    former_submission command{{}, terms()};
    command.spec.id = workflow_id{"a"};
    auto const read =
        msgpack_codec::decode<submit_workflow>(msgpack_codec::encode(command));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().spec.id, workflow_id{"a"});
    EXPECT_EQ(read.value().submitted, wall_time{});

    former_record kept;
    kept.spec.id = workflow_id{"b"};
    kept.started = true;
    auto const record =
        msgpack_codec::decode<workflow_record>(msgpack_codec::encode(kept));
    ASSERT_TRUE(record);
    EXPECT_TRUE(record.value().started);
    EXPECT_EQ(record.value().submitted, wall_time{});

    // New ones keep their time through the log and a snapshot.
    state_machine state;
    submit_workflow const timed{command.spec, terms(), wall_time{seconds{7}}};
    auto const again =
        msgpack_codec::decode<submit_workflow>(msgpack_codec::encode(timed));
    state.apply(again.value(), log_index{1});
    auto const stored = msgpack_codec::decode<workflows_snapshot>(
        msgpack_codec::encode(state.workflows().snapshot()));
    ASSERT_EQ(stored.value().live.size(), 1U);
    EXPECT_EQ(stored.value().live[0].submitted, wall_time{seconds{7}});
}

// A run that counted as lost had finished: its task ran again although the
// worker was told to forget the end.
TEST(workflow_table, finishes_a_task_whose_lost_run_is_listed_late)
{
    auto second = step(1);
    second.prerequisites = {step_index{0}};
    one_workflow it{{step(1), second}};
    it.start(one_workflow::run(0, 0, 1));
    it.end(one_workflow::run(0, 0, 1), run_end::lost);
    it.end_late(one_workflow::run(0, 0, 1), run_end::failed);
    it.end_late(one_workflow::run(0, 0, 2), run_end::finished);
    EXPECT_FALSE(it.state.workflows()
                     .find(workflow_id{"a"})
                     ->find(one_workflow::run(0, 0, 1).task)
                     ->finished);
    it.end_late(one_workflow::run(0, 0, 1), run_end::finished);
    EXPECT_EQ(it.ready(), 1U);
    it.start(one_workflow::run(0, 0, 2));
    EXPECT_FALSE(it.state.workflows().is_active(one_workflow::run(0, 0, 2)));
    it.start(one_workflow::run(1, 0, 1));
    it.end(one_workflow::run(1, 0, 1), run_end::finished);
    EXPECT_EQ(it.shown(), workflow_state::completed);
}

// The next run of the task is known to be of no use, and the workflow stays
// until it has ended.
TEST(workflow_table, keeps_the_next_run_of_a_task_that_has_finished_late)
{
    one_workflow it{{step(2)}};
    it.start(one_workflow::run(0, 0, 1));
    it.end(one_workflow::run(0, 0, 1), run_end::lost);
    it.start(one_workflow::run(0, 0, 2));
    it.end_late(one_workflow::run(0, 0, 1), run_end::finished);
    EXPECT_TRUE(it.state.workflows().is_active(one_workflow::run(0, 0, 2)));
    // An end that is proposed late and recorded before the other one.
    it.start(one_workflow::run(0, 1, 1));
    it.end_late(one_workflow::run(0, 1, 1), run_end::finished);
    it.end(one_workflow::run(0, 1, 1), run_end::lost);
    EXPECT_EQ(it.ready(), 0U);
    it.end(one_workflow::run(0, 0, 2), run_end::stopped);
    EXPECT_EQ(it.shown(), workflow_state::completed);
}

// All members have to end a log of an earlier version in the same state.
TEST(workflow_table, reads_ends_of_a_version_without_late_ones)
{
    one_workflow it{{step(1)}};
    it.start(one_workflow::run(0, 0, 1));
    it.end(one_workflow::run(0, 0, 1), run_end::lost);
    end_runs const former{{{one_workflow::run(0, 0, 1), run_end::finished, {}}},
                          {}};
    auto const bytes = msgpack_codec::encode(former);
    EXPECT_EQ(static_cast<unsigned char>(bytes.front()), 0x92U);
    auto const read = msgpack_codec::decode<end_runs>(bytes);
    ASSERT_TRUE(read);
    EXPECT_FALSE(read.value().listed_late);
    it.apply(read.value());
    EXPECT_EQ(it.ready(), 1U);
    end_runs const late{{}, {}, former.runs};
    auto const again =
        msgpack_codec::decode<end_runs>(msgpack_codec::encode(late));
    ASSERT_TRUE(again);
    EXPECT_EQ(again.value().listed_late, late.listed_late);
}

} // namespace
} // namespace apricotlb
