#include "adapters/msgpack_codec.hpp"
#include "app/log_machine.hpp"
#include "replica_group.hpp"
#include "workflow_history.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

auto text_of(ready_view const& it) -> std::string
{
    std::string out = std::to_string(it.count) + " ready:";
    for (auto const& [step, tasks] : it.ready)
    {
        for (auto const index : tasks.tasks)
        {
            out += " " + tasks.workflow.value() + "." +
                   std::to_string(step.occurrence.value()) + "." +
                   std::to_string(step.step.value()) + "." +
                   std::to_string(index.value());
        }
    }
    for (auto const& [queue, count] : it.waiting)
    {
        out += ", " + queue.value() + " " + std::to_string(count);
    }
    return out;
}

/// Expects that a table offers what its records say.
auto expect_true_view(state_machine const& state, std::string const& where)
    -> bool
{
    auto const& table = state.workflows();
    auto const kept = kept_view(table);
    auto const walked = walked_view(table);
    EXPECT_EQ(text_of(kept), text_of(walked)) << where;
    EXPECT_TRUE(has_no_overdue_record(table)) << where;
    return kept == walked && has_no_overdue_record(table);
}

auto restored(encoded const& bytes) -> state_machine
{
    return state_machine{snapshot_codec::decode<state_snapshot>(bytes).value()};
}

auto snapshot_of(state_machine const& it) -> encoded
{
    return snapshot_codec::encode(it.snapshot());
}

/// What a history has reached, so that a test is not passed by commands that do
/// nothing.
struct coverage
{
    std::size_t ready{0};
    std::size_t active{0};
    std::size_t two_runs{0};
    std::size_t ended{0};
    std::size_t later_steps{0};

    auto add(workflow_table const& table) -> void
    {
        ready += table.ready_count();
        ended += table.ended_count();
        for (auto const& [step, tasks] : table.ready())
        {
            auto const& spec = table.find(tasks.workflow)->spec;
            auto const& before = spec.steps[step.step.value()].prerequisites;
            later_steps += before.empty() ? 0U : 1U;
        }
        for (auto const& [id, record] : table.live())
        {
            record.for_each_active(
                [this](workflow_task const&, task_progress const& it,
                       active_run const&)
                {
                    ++active;
                    two_runs += it.active.size() > 1 ? 1U : 0U;
                });
        }
    }
};

// A task that the index leaves out is never started; one too many runs twice or
// before its input exists.
TEST(ready_index, equals_a_walk_over_the_records_after_each_command)
{
    coverage reached;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        workflow_history history{seed};
        state_machine state;
        auto kept = snapshot_of(state);
        std::vector<std::pair<log_index, encoded>> suffix;
        for (std::uint64_t n = 1; n <= 150; ++n)
        {
            auto const where = "seed " + std::to_string(seed) + ", command " +
                               std::to_string(n);
            auto const bytes = msgpack_codec::encode(history.next(state));
            state.apply(msgpack_codec::decode<command>(bytes).value(),
                        log_index{n});
            suffix.emplace_back(log_index{n}, bytes);
            reached.add(state.workflows());
            ASSERT_TRUE(expect_true_view(state, where));
            auto const now = snapshot_of(state);
            auto const copy = restored(now);
            ASSERT_TRUE(expect_true_view(copy, where + ", restored"));
            ASSERT_EQ(kept_view(copy.workflows()), kept_view(state.workflows()))
                << where;
            if (history.below(10) != 0)
            {
                continue;
            }
            auto restarted = restored(kept);
            for (auto const& [index, each] : suffix)
            {
                restarted.apply(msgpack_codec::decode<command>(each).value(),
                                index);
                ASSERT_TRUE(expect_true_view(restarted, where + ", replayed"));
            }
            ASSERT_EQ(snapshot_of(restarted), now) << where;
            if (history.below(2) == 0)
            {
                kept = now;
                suffix.clear();
            }
        }
    }
    EXPECT_GT(reached.ready, 10'000U);
    EXPECT_GT(reached.active, 10'000U);
    EXPECT_GT(reached.two_runs, 1000U);
    EXPECT_GT(reached.ended, 10'000U);
    EXPECT_GT(reached.later_steps, 1000U);
}

using workflow_machine = log_machine<msgpack_codec, snapshot_codec>;

/// Takes a while for each command, so that committed ones wait.
struct slow_machine
{
    paused_clock& clock;
    duration apply_time{};
    workflow_machine inner{};

    auto apply(term in_term, log_index index, std::string_view bytes) -> void
    {
        clock.block(apply_time);
        inner.apply(in_term, index, bytes);
    }
    [[nodiscard]] auto snapshot() const -> encoded { return inner.snapshot(); }
    auto restore(encoded const& bytes) -> result<void>
    {
        return inner.restore(bytes);
    }
};

/// A follower that gets its log from leaders that the test plays.
class scripted_follower
{
public:
    explicit scripted_follower(std::uint64_t seed) : history(seed)
    {
        reference.push_back({{}, snapshot_of(state)});
        start();
    }

    /// Commits one more command, as the leader of the present term knows it.
    auto commit() -> void
    {
        log_index const index{log.size() + 1};
        auto bytes = msgpack_codec::encode(history.next(state));
        state.apply(msgpack_codec::decode<command>(bytes).value(), index);
        log.push_back(
            {in_term, index, entry_kind::proposal, std::move(bytes), {}});
        reference.push_back({{index, in_term}, snapshot_of(state)});
    }

    /// Sends entries from `first` to `last`, after which `lost` entries follow
    /// that their leader never commits.
    auto append(std::uint64_t first, std::uint64_t last, std::uint64_t lost,
                std::uint64_t commit) -> void
    {
        std::vector<log_entry> entries(
            log.begin() + static_cast<std::ptrdiff_t>(first - 1),
            log.begin() + static_cast<std::ptrdiff_t>(last));
        for (std::uint64_t n = 1; n <= lost; ++n)
        {
            // Another command than the one that is committed at this index.
            entries.push_back({in_term,
                               log_index{last + n},
                               entry_kind::proposal,
                               msgpack_codec::encode(command{expire_workflows{
                                   wall_time{seconds{std::int64_t{1} << 40}}}}),
                               {}});
        }
        receive(append_entries{in_term, reference[first - 1].first,
                               std::move(entries), log_index{commit},
                               clock.now()});
    }

    auto install(std::uint64_t last) -> void
    {
        auto const& [position, data] = reference[last];
        receive(
            install_snapshot{in_term,
                             {position, members},
                             {},
                             byte_count{static_cast<std::int64_t>(data.size())},
                             data,
                             clock.now()});
    }

    /// The process is lost and started again.
    auto restart() -> void
    {
        follower.reset();
        start();
    }

    auto receive(raft_message it) -> void
    {
        links.handlers[self](leader, std::move(it));
    }

    auto expect_state(std::uint64_t index, std::string const& where) -> void
    {
        ASSERT_EQ(follower->status().applied, log_index{index}) << where;
        EXPECT_EQ(snapshot_of(machine->inner.state()), reference[index].second)
            << where;
        expect_true_view(machine->inner.state(), where);
    }

    node_id const self{"f"};
    node_id const leader{"l"};
    raft_members const members{
        {self, {}, {}}, {leader, {}, {}}, {node_id{"m"}, {}, {}}};
    paused_clock clock;
    test_links links{clock, std::mt19937_64{1}, {}, {}, milliseconds{5}, {},
                     {}};
    test_transport transport{links, self};
    memory_disk disk;
    std::optional<memory_log> store;
    std::optional<slow_machine> machine;
    using replica_type =
        replica<paused_clock, test_transport, memory_log, slow_machine>;
    std::unique_ptr<replica_type> follower;
    workflow_history history;
    term in_term{1};
    duration apply_time{milliseconds{6}};
    state_machine state;
    std::vector<log_entry> log;
    std::vector<std::pair<log_position, encoded>> reference; ///< by index
    std::vector<log_index> notified;                         ///< of this life

private:
    auto start() -> void
    {
        notified.clear();
        store.emplace(disk, &clock);
        machine.emplace(slow_machine{clock, apply_time});
        machine->inner.on_applied(
            [this](command const&, apply_result const&)
            { notified.push_back(machine->inner.state().applied()); });
        follower = std::make_unique<replica_type>(
            clock, transport, *store, *machine,
            replica_options::builder{}
                .self(self)
                .bootstrap(members)
                .snapshot_after(20, byte_count{1 << 20})
                .build()
                .value());
        ASSERT_TRUE(follower->start());
    }
};

/// Expects that each command after `first` was told once and in order.
auto expect_each_once(std::vector<log_index> const& notified, log_index first,
                      log_index last, std::string const& where) -> void
{
    ASSERT_EQ(notified.size(), (last - first).value()) << where;
    for (std::size_t n = 0; n < notified.size(); ++n)
    {
        EXPECT_EQ(notified[n], first + log_index{n + 1}) << where;
    }
}

// A follower that kept a command that was never committed would offer other
// tasks than the other members once it leads.
TEST(ready_index, is_that_of_the_new_leader_after_a_truncated_suffix)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        scripted_follower it{seed};
        std::uint64_t known{0};
        for (auto round = 0; round < 12; ++round)
        {
            auto const where = "seed " + std::to_string(seed) + ", round " +
                               std::to_string(round);
            auto const count = 1 + it.history.below(8);
            for (std::uint64_t n = 0; n < count; ++n)
            {
                it.commit();
            }
            auto const last = it.log.size();
            it.append(known + 1, last, it.history.below(6), last);
            known = last;
            auto const is_cut_off = it.history.below(3) == 0;
            it.clock.advance(is_cut_off ? duration{} : milliseconds{300});
            if (it.history.below(3) == 0)
            {
                it.restart();
                it.append(1, known, 0, known);
            }
            it.in_term += term{1};
            it.append(1, known, 0, known);
            it.clock.advance(milliseconds{300});
            it.expect_state(known, where);
            auto const first =
                it.notified.empty() ? log_index{known} : it.notified.front();
            expect_each_once(it.notified,
                             first - log_index{it.notified.empty() ? 0U : 1U},
                             log_index{known}, where);
        }
    }
}

// Entries that wait to be applied are part of the snapshot that arrives:
// applied after it, they would start or end runs twice.
TEST(ready_index, is_that_of_the_snapshot_installed_while_entries_wait)
{
    std::size_t installed_before_applied{0};
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        auto const where = "seed " + std::to_string(seed);
        scripted_follower it{seed};
        auto const waiting = 10 + it.history.below(30);
        auto const in_snapshot = waiting + 1 + it.history.below(10);
        auto const last = in_snapshot + it.history.below(30);
        while (it.log.size() < last)
        {
            it.commit();
        }
        it.append(1, waiting, it.history.below(4), waiting);
        it.clock.advance(milliseconds{static_cast<int>(it.history.below(60))});
        auto const applied = it.follower->status().applied;
        installed_before_applied += applied < log_index{waiting} ? 1U : 0U;
        it.in_term += term{it.history.below(2)};
        it.install(in_snapshot);
        it.expect_state(in_snapshot, where);
        auto const told = it.notified;
        expect_each_once(told, {}, applied, where);
        it.append(in_snapshot + 1, last, 0, last);
        it.clock.advance(milliseconds{400});
        it.expect_state(last, where);
        expect_each_once(
            {it.notified.begin() + static_cast<std::ptrdiff_t>(told.size()),
             it.notified.end()},
            log_index{in_snapshot}, log_index{last}, where);
        it.restart();
        it.append(1, last, 0, last);
        it.clock.advance(milliseconds{400});
        it.expect_state(last, where + ", restarted");
    }
    EXPECT_GT(installed_before_applied, 50U);
}

} // namespace
} // namespace apricotlb
