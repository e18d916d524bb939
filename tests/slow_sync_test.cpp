/// Replicas whose disks sync slowly, while the loop goes on.
#include "replica_group.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

constexpr auto slow = milliseconds{300};
constexpr auto quick = milliseconds{5};
constexpr auto way = milliseconds{6}; ///< longest time of a message

/// Five members of which three hold an entry before it is committed.
struct slow_group : replica_group
{
    explicit slow_group(std::uint64_t seed) : replica_group{5, seed, 3}
    {
        set_sync_time(quick);
        leads = elect();
        run(seconds{1});
        in_term = nodes[leads]->it->status().log.in_term;
    }

    /// Proposes a command per 10 ms and returns the longest time until one was
    /// acknowledged. The leader must not lose its lease.
    auto longest_commit(duration d) -> duration
    {
        auto longest = std::make_shared<duration>();
        auto open = std::make_shared<int>();
        auto const end = clock.now() + d;
        while (clock.now() < end)
        {
            ++*open;
            nodes[leads]->it->propose(
                "x",
                [this, longest, open,
                 begin = clock.now()](result<log_index> const& it)
                {
                    EXPECT_TRUE(it);
                    --*open;
                    *longest = std::max(*longest, clock.now() - begin);
                });
            for (auto n = 0; n < 10; ++n)
            {
                run(milliseconds{1});
                EXPECT_TRUE(nodes[leads]->it->is_leader());
            }
        }
        run(3 * slow + milliseconds{100});
        EXPECT_EQ(*open, 0);
        EXPECT_EQ(nodes[leads]->it->status().log.in_term, in_term);
        return *longest;
    }

    std::size_t leads{0};
    term in_term;
};

// A proposal waits for a flush, its message, the time between two syncs of the
// member, its own sync and the answer.
constexpr auto bound_of(duration sync) -> duration
{
    auto const between = std::min<duration>(
        sync * 1000 / config::max_sync_share.value(), sync + max_flush_delay);
    return config::group_commit_interval + between + sync + 2 * way +
           milliseconds{1};
}

// The loop stood still during a sync, so that heartbeats and their answers were
// late and the leader lost its lease.
TEST(slow_sync, a_leader_keeps_its_lease_while_all_disks_are_slow)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        SCOPED_TRACE(seed);
        slow_group it{seed};
        it.set_sync_time(slow);
        // With config::max_inflight_appends messages on their way a proposal
        // waits for an answer first.
        EXPECT_LE(it.longest_commit(seconds{5}), config::group_commit_interval +
                                                     3 * slow + 2 * way +
                                                     milliseconds{1});
    }
}

// A leader with a slow disk made all commits late although the others hold
// enough copies.
TEST(slow_sync, commits_do_not_wait_for_the_disk_of_the_leader)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        SCOPED_TRACE(seed);
        slow_group it{seed};
        it.nodes[it.leads]->disk.sync_time = slow;
        EXPECT_LE(it.longest_commit(seconds{5}), bound_of(quick));
    }
}

TEST(slow_sync, commits_do_not_wait_for_two_slow_disks_of_five)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        for (std::size_t first : {0U, 1U})
        {
            SCOPED_TRACE(testing::Message() << seed << " from " << first);
            slow_group it{seed};
            for (auto const n : {first, first + 1})
            {
                it.nodes[(it.leads + n) % 5]->disk.sync_time = slow;
            }
            EXPECT_LE(it.longest_commit(seconds{5}), bound_of(quick));
        }
    }
}

// An entry that only the sync in progress would make durable must not count.
TEST(slow_sync, acknowledges_nothing_before_the_copies_are_durable)
{
    slow_group it{1};
    it.set_sync_time(slow);
    it.propose(it.leads);
    it.run(slow);
    EXPECT_TRUE(it.acknowledged.empty());
    it.run(slow);
    EXPECT_EQ(it.acknowledged.size(), 1U);
    it.propose(it.leads);
    it.run(slow / 2);
    for (std::size_t n = 0; n < 5; ++n)
    {
        it.crash(n);
        it.start(n);
    }
    it.set_sync_time(quick);
    it.settle();
}

// A store calls back when its sync has ended, which may be after the replica.
TEST(slow_sync, a_replica_that_is_gone_is_not_called_back)
{
    slow_group it{1};
    auto& lost = *it.nodes[(it.leads + 1) % 5];
    lost.disk.sync_time = slow;
    it.propose(it.leads);
    it.run(slow / 2);
    auto const syncs = lost.disk.syncs;
    lost.it.reset();
    it.run(slow);
    EXPECT_EQ(lost.disk.syncs, syncs + 1) << "no sync was in progress";
    it.settle();
}

// A failure that shows only at the end of a sync must stop the replica like one
// that shows at once.
TEST(slow_sync, a_sync_that_fails_at_its_end_stops_the_replica)
{
    slow_group it{1};
    auto& failing = *it.nodes[it.leads];
    it.set_sync_time(slow);
    it.propose(it.leads);
    it.run(slow / 2);
    EXPECT_FALSE(failing.failure);
    failing.disk.fail_sync = true;
    it.run(slow);
    ASSERT_TRUE(failing.failure);
    EXPECT_EQ(failing.failure->kind, error_kind::disk_failed);
    EXPECT_FALSE(failing.it->is_leader());
    failing.disk.fail_sync = false;
    it.crash(it.leads);
    it.set_sync_time(quick);
    it.settle();
}

/// A follower of a leader that the test plays.
struct lone_follower
{
    lone_follower()
    {
        group.snapshot_entries = 5;
        group.crash(0);
        group.start(0);
        group.crash(1);
        group.crash(2);
        for (auto const n : {1U, 2U})
        {
            group.links.handlers[group.nodes[n]->id] =
                [this](node_id const&, raft_message const& it)
            {
                if (auto const* answer =
                        std::get_if<append_entries_answer>(&it))
                {
                    answers.push_back(*answer);
                }
            };
        }
        node.disk.sync_time = slow;
    }

    auto receive(raft_message it) -> void
    {
        group.links.handlers[node.id](group.nodes[1]->id, std::move(it));
    }

    auto append(std::uint64_t index) -> void
    {
        receive(append_entries{
            term{1},
            {log_index{index - 1}, index > 1 ? term{1} : term{}},
            {{term{1}, log_index{index}, entry_kind::proposal, "x", {}}},
            {},
            group.clock.now()});
    }

    [[nodiscard]] auto promised() const -> log_index
    {
        return answers.empty() ? log_index{}
                               : std::ranges::max(answers, {},
                                                  &append_entries_answer::match)
                                     .match;
    }

    replica_group group{3, 1};
    replica_group::node& node{*group.nodes[0]};
    std::vector<append_entries_answer> answers;
};

// The store can't install a snapshot while it writes, and a member must not
// tell the leader of a snapshot that its store does not have.
TEST(slow_sync, a_snapshot_that_arrives_during_a_sync_is_installed_after_it)
{
    lone_follower it;
    it.append(1);
    it.group.run(slow / 2);
    it.append(2);
    it.receive(install_snapshot{term{1},
                                {{log_index{9}, term{1}}, it.node.bootstrap},
                                {},
                                byte_count{7},
                                "9 nine\n",
                                it.group.clock.now()});
    // Written before the snapshot, it would leave a gap in the log.
    it.append(10);
    it.group.run(slow / 3);
    EXPECT_EQ(it.promised(), log_index{});
    EXPECT_EQ(it.node.disk.stored.base.index, log_index{});
    it.node.disk.sync_time = quick;
    it.group.run(slow);
    EXPECT_FALSE(it.node.failure);
    EXPECT_EQ(it.promised(), log_index{10});
    EXPECT_EQ(it.node.disk.stored.base.index, log_index{9});
    ASSERT_EQ(it.node.disk.stored.entries.size(), 1U);
    EXPECT_EQ(it.node.disk.stored.entries[0].index, log_index{10});
}

// The same for a part of an own snapshot that is being saved.
TEST(slow_sync, a_snapshot_that_arrives_beside_an_own_one_is_installed_after_it)
{
    lone_follower it;
    it.node.disk.sync_time = quick;
    for (std::uint64_t n = 1; n <= 6; ++n)
    {
        it.append(n);
    }
    it.group.run(milliseconds{50});
    it.node.disk.sync_time = slow;
    it.receive(
        append_entries{term{1},
                       {log_index{6}, term{1}},
                       {{term{1}, log_index{7}, entry_kind::proposal, "x", {}}},
                       log_index{6},
                       it.group.clock.now()});
    it.group.run(slow + slow / 2); // the first part is being saved
    ASSERT_EQ(it.node.it->status().snapshot, log_index{6});
    it.receive(install_snapshot{term{1},
                                {{log_index{9}, term{1}}, it.node.bootstrap},
                                {},
                                byte_count{7},
                                "9 nine\n",
                                it.group.clock.now()});
    it.append(10);
    it.group.run(slow / 3);
    EXPECT_EQ(it.promised(), log_index{7});
    it.node.disk.sync_time = quick;
    it.group.run(slow);
    EXPECT_FALSE(it.node.failure);
    EXPECT_EQ(it.promised(), log_index{10});
    EXPECT_EQ(it.node.disk.stored.base.index, log_index{9});
}

// A disk that hangs showed no sync at all in the load of its process.
TEST(slow_sync, the_load_counts_a_sync_that_has_not_ended)
{
    replica_group it{5, 7};
    auto const n = it.elect();
    it.nodes[n]->disk.sync_time = seconds{5};
    it.propose(n);
    it.run(seconds{1});
    (void)it.nodes[n]->it->take_load();
    it.run(seconds{1});
    EXPECT_GE(it.nodes[n]->it->take_load().longest_sync, seconds{1});
}

// A leader whose loop waits for the parts of a snapshot loses its lease.
TEST(slow_sync, a_snapshot_is_saved_without_keeping_the_loop)
{
    replica_group it{1, 1};
    it.snapshot_entries = 50;
    it.crash(0);
    it.start(0);
    it.elect();
    auto& disk = it.nodes[0]->disk;
    disk.sync_time = slow;
    for (auto n = 0; n < 60; ++n)
    {
        it.propose(0);
    }
    for (auto n = 0; n < 2000; ++n)
    {
        auto const before = it.clock.now();
        it.clock.advance(milliseconds{1});
        EXPECT_EQ(it.clock.now() - before, milliseconds{1});
    }
    EXPECT_EQ(it.acknowledged.size(), 60U);
    ASSERT_TRUE(disk.stored.snapshot);
    EXPECT_GE(disk.stored.snapshot->info.last.index, log_index{50});
}

// Answers must wait for the sync that covers what they promise, and for no
// later one.
TEST(slow_sync, answers_wait_for_the_sync_that_covers_them)
{
    lone_follower it;
    auto const syncs = it.node.disk.syncs;
    it.append(1);
    it.group.run(slow / 2);
    it.append(1); // again; depends on nothing newer
    it.append(2);
    it.append(3);
    EXPECT_TRUE(it.answers.empty());
    it.group.run(slow / 2 + way);
    EXPECT_EQ(it.answers.size(), 2U);
    EXPECT_EQ(it.promised(), log_index{1});
    it.group.run(max_flush_delay + slow);
    EXPECT_EQ(it.answers.size(), 4U);
    EXPECT_EQ(it.promised(), log_index{3});
    EXPECT_EQ(it.node.disk.syncs, syncs + 2);
}

// What a sync could not write for want of space is written by a later one.
TEST(slow_sync, a_disk_that_is_full_at_the_end_of_a_sync_is_used_again)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        SCOPED_TRACE(seed);
        slow_group it{seed};
        it.set_sync_time(milliseconds{60});
        auto& full = *it.nodes[(it.leads + seed % 2) % 5];
        it.load(20);
        it.propose(it.leads);
        it.run(milliseconds{30});
        full.disk.full = true;
        it.run(seconds{3});
        EXPECT_FALSE(full.it->is_writable());
        full.disk.full = false;
        it.run(seconds{3});
        EXPECT_TRUE(full.it->is_writable());
        EXPECT_FALSE(full.failure);
        it.settle();
    }
}

} // namespace
} // namespace apricotlb
