#include "replica_group.hpp"

#include <gtest/gtest.h>

namespace apricotlb
{
namespace
{

// Without group commit every change would cost a sync of its own.
TEST(replica, syncs_once_for_all_entries_of_a_turn)
{
    replica_group group{1, 1};
    auto const n = group.elect();
    auto const before = group.nodes[n]->disk.syncs;
    for (auto it = 0; it < 256; ++it)
    {
        group.propose(n);
    }
    group.run(milliseconds{1});
    EXPECT_EQ(group.acknowledged.size(), 256);
    EXPECT_EQ(group.nodes[n]->disk.syncs, before + 1);
}

// A proposal that is refused must be known not to have run, and the caller
// must be told where to go.
TEST(replica, a_follower_refuses_and_names_the_leader)
{
    replica_group group{3, 2};
    auto const n = group.elect();
    auto const other = (n + 1) % 3;
    group.propose(other);
    EXPECT_EQ(group.refused[error_kind::not_leader], 1);
    EXPECT_EQ(group.nodes[other]->it->leader(), group.nodes[n]->id);
}

// Callers that propose faster than the group commits must be refused, not
// fill the memory.
TEST(replica, the_proposals_that_wait_are_bounded)
{
    replica_group group{3, 3};
    auto const n = group.elect();
    std::size_t refused{0};
    auto const count = [&refused](result<log_index> const& it)
    { refused += !it && it.error().kind == error_kind::queue_full ? 1 : 0; };
    encoded const large(config::max_entry_bytes, 'x');
    auto const fit = config::max_pending_bytes / large.size();
    for (std::size_t it = 0; it < fit + 5; ++it)
    {
        group.nodes[n]->it->propose(large, count);
    }
    EXPECT_EQ(refused, 5);
    group.run(seconds{2});
    group.nodes[n]->it->propose(large, count);
    EXPECT_EQ(refused, 5) << "room again after the commits";
    group.run(seconds{1});
}

// An election without a log line could not be told from a slow leader.
TEST(replica, reports_the_silence_of_the_leader_before_an_election)
{
    replica_group group{3, 5};
    auto const n = group.elect();
    std::vector<role_change> changes;
    group.nodes[(n + 1) % 3]->it->on_role([&changes](role_change const& it)
                                          { changes.push_back(it); });
    group.crash(n);
    group.run(seconds{3});
    // The state at the registration is reported first, at any time.
    auto const election = std::ranges::find_if(
        changes, [](role_change const& it)
        { return it.role != raft_role::follower || !it.leader; });
    ASSERT_NE(election, changes.end());
    EXPECT_NE(election->role, raft_role::leader);
    EXPECT_GE(election->leader_silence, config::election_timeout_min);
    EXPECT_NE(changes.back().leader, group.nodes[n]->id);
}

// Time that the disk takes stops the loop and must show apart from work.
TEST(replica, counts_the_syncs_since_the_last_reading)
{
    replica_group group{1, 6};
    auto const n = group.elect();
    (void)group.nodes[n]->it->take_load();
    group.propose(n);
    group.run(milliseconds{1});
    EXPECT_EQ(group.nodes[n]->it->take_load().syncs, 1);
    EXPECT_EQ(group.nodes[n]->it->take_load().syncs, 0);
}

/// Proposes a command per millisecond for three seconds and returns the share
/// of the time that the syncs of one replica took.
auto measure_sync_share(replica_group& group, std::size_t of) -> permille
{
    auto const leader = group.elect();
    auto& disk = group.nodes[of]->disk;
    static constexpr duration sync_time = milliseconds{9};
    disk.during_sync = [&clock = group.clock] { clock.block(sync_time); };
    auto const begin = group.clock.now();
    (void)group.nodes[of]->it->take_load();
    while (group.clock.now() - begin < seconds{3})
    {
        group.propose(leader);
        group.run(milliseconds{1});
    }
    // Of n syncs, n - 1 are followed by a whole interval.
    auto const took = group.nodes[of]->it->take_load().sync_time - sync_time;
    auto const elapsed = group.clock.now() - begin;
    disk.during_sync = {};
    group.run(milliseconds{100});
    EXPECT_EQ(group.acknowledged.size(), group.proposed);
    return permille{static_cast<std::int32_t>(took * 1000 / elapsed)};
}

// A leader whose loop stands in syncs most of the time sends its heartbeats
// late and is deposed.
TEST(replica, leaves_most_of_the_time_to_other_work_when_syncs_are_slow)
{
    replica_group alone{1, 7};
    EXPECT_LE(measure_sync_share(alone, 0), config::max_sync_share);

    replica_group group{3, 8};
    auto const n = group.elect();
    EXPECT_LE(measure_sync_share(group, n), config::max_sync_share)
        << "of the leader";
    EXPECT_LE(measure_sync_share(group, (n + 1) % 3), config::max_sync_share)
        << "of a follower";
    EXPECT_EQ(group.leader(), n);
}

// The share of the disk must cost a caller nothing while there is no load.
TEST(replica, commits_at_once_after_a_quiet_time_when_syncs_are_slow)
{
    replica_group group{1, 9};
    auto const n = group.elect();
    group.nodes[n]->disk.sync_time = milliseconds{9};
    for (auto it = 0; it < 5; ++it)
    {
        group.run(milliseconds{40});
        group.propose(n);
        group.run(milliseconds{9});
        EXPECT_EQ(group.acknowledged.size(), group.proposed);
    }
}

// One sync that takes seconds must not hold the next entries back for as long.
TEST(replica, commits_soon_after_a_sync_that_took_seconds)
{
    replica_group group{1, 10};
    auto const n = group.elect();
    auto& disk = group.nodes[n]->disk;
    disk.during_sync = [&clock = group.clock] { clock.block(seconds{5}); };
    group.propose(n);
    group.run(milliseconds{1});
    disk.during_sync = {};
    group.propose(n);
    group.run(max_flush_delay + milliseconds{1});
    EXPECT_EQ(group.acknowledged.size(), 2);
}

// A vote that waits for the share of the disk would lengthen the time without a
// leader.
TEST(replica, makes_a_vote_durable_at_once_after_a_slow_sync)
{
    replica_group group{3, 11};
    for (std::size_t n = 0; n < 3; ++n)
    {
        group.isolate(n);
    }
    auto& voter = *group.nodes[0];
    voter.disk.sync_time = milliseconds{9};
    group.run(config::election_timeout_min);
    auto& receive = group.links.handlers[voter.id];
    receive(group.nodes[1]->id, request_vote{term{5}, false, {}});
    group.run(milliseconds{9});
    EXPECT_EQ(voter.disk.stored.term_and_vote.current, term{5});
    receive(group.nodes[2]->id, request_vote{term{6}, false, {}});
    group.run(milliseconds{9});
    EXPECT_EQ(voter.disk.stored.term_and_vote.current, term{6});
    EXPECT_EQ(voter.disk.stored.term_and_vote.vote, group.nodes[2]->id);
}

// Answers to heartbeats that wait for a slow sync arrive after the leader has
// lost its lease.
TEST(replica, keeps_no_message_back_during_a_sync)
{
    replica_group group{3, 7};
    auto const leader = group.elect();
    for (std::size_t n = 0; n < group.nodes.size(); ++n)
    {
        auto& it = *group.nodes[n];
        it.disk.during_sync = [&it]
        { EXPECT_EQ(it.transport->unsent, 0U) << it.id.value(); };
    }
    auto const before = group.nodes[leader]->disk.syncs;
    group.load(50);
    EXPECT_GT(group.nodes[leader]->disk.syncs, before);
}

// A leader that is cut off with callers attached must stop answering before
// another one acts, and must tell its callers that the fate is unknown.
TEST(replica, a_leader_that_is_cut_off_stops_before_another_acts)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        replica_group group{3, seed};
        auto const old = group.elect();
        group.load(20);
        auto const done = group.acknowledged.size();
        group.isolate(old);
        group.propose(old);
        group.run(config::election_timeout_min + milliseconds{10});
        EXPECT_FALSE(group.nodes[old]->it->is_leader());
        EXPECT_EQ(group.refused[error_kind::no_leader], 1);
        EXPECT_EQ(group.acknowledged.size(), done);
        group.run(seconds{2});
        auto const next = group.leader();
        ASSERT_TRUE(next && *next != old) << "no new leader within 2 s";
        group.load(200);
        group.run(seconds{60});
        group.settle();
        EXPECT_EQ(group.nodes[old]->leadership.front(), true);
    }
}

// A proposal of the leader itself that was reported as failed, and committed
// after a retransmission, would be made twice.
TEST(replica, a_leader_without_its_lease_keeps_its_own_proposals)
{
    replica_group group{3, 7};
    auto const n = group.elect();
    group.isolate(n);
    std::optional<result<log_index>> own;
    std::optional<result<log_index>> of_caller;
    group.nodes[n]->it->propose(
        "own", [&own](result<log_index> it) { own = std::move(it); },
        proposal_origin::leader);
    group.nodes[n]->it->propose("caller", [&of_caller](result<log_index> it)
                                { of_caller = std::move(it); });
    group.run(config::election_timeout_min);
    ASSERT_TRUE(of_caller);
    EXPECT_EQ(of_caller->error().kind, error_kind::no_leader);
    EXPECT_FALSE(own);
    group.run(raft::max_majority_silence);
    ASSERT_TRUE(own);
    EXPECT_EQ(own->error().kind, error_kind::no_leader);
}

// A caller was told that the outcome is unknown, and another one was answered
// by the state before it, once the lease had returned.
TEST(replica, a_lease_that_returns_shows_the_outcome_of_earlier_proposals)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        replica_group group{3, seed};
        auto const n = group.elect();
        auto& leader = *group.nodes[n];
        group.isolate(n);
        bool is_refused{false};
        leader.it->propose("late", [&is_refused](result<log_index> it)
                           { is_refused = it.has_error(); });
        group.run(config::election_timeout_min);
        ASSERT_TRUE(is_refused);
        group.links.cuts.clear();
        auto const is_applied = [&leader]
        {
            return std::ranges::any_of(leader.machine->applied,
                                       [](auto const& it)
                                       { return it.second == "late"; });
        };
        for (auto ms = 0; ms < 500; ++ms)
        {
            group.run(milliseconds{1});
            EXPECT_TRUE(is_applied() || !leader.it->is_leader());
        }
    }
}

// A leader that others hear but that hears nobody must not keep the others
// from electing one that works.
TEST(replica, a_leader_that_hears_nobody_is_replaced)
{
    replica_group group{3, 4};
    auto const old = group.elect();
    group.cut((old + 1) % 3, old);
    group.cut((old + 2) % 3, old);
    group.run(seconds{3});
    auto const next = group.leader();
    ASSERT_TRUE(next.has_value());
    EXPECT_NE(*next, old);
    group.load(20);
    group.settle();
}

// A leader that grants pre-votes once its lease is over is deposed when its
// messages arrive again, and callers wait for an election instead of for its
// next heartbeat.
TEST(replica, a_leader_whose_messages_were_lost_leads_again_without_an_election)
{
    constexpr auto longest_loss =
        raft::max_majority_silence - 2 * config::raft_heartbeat;
    constexpr auto step = milliseconds{100};
    for (auto lost = config::election_timeout_min; lost <= longest_loss;
         lost += step)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            SCOPED_TRACE("seed " + std::to_string(seed) + ", lost for " +
                         std::to_string(lost.count()) + " us");
            auto pre_votes = 0;
            replica_group group{5, seed};
            auto const old = group.elect();
            std::vector<std::size_t> const others{(old + 1) % 5, (old + 2) % 5};
            group.crash((old + 3) % 5);
            group.crash((old + 4) % 5);
            group.load(20);
            for (auto const n : others)
            {
                group.cut(old, n);
                group.nodes[n]->it->on_role(
                    [&pre_votes](role_change const& it)
                    { pre_votes += it.role == raft_role::pre_candidate; });
            }
            group.run(lost);
            EXPECT_FALSE(group.leader());
            EXPECT_TRUE(pre_votes > 0 || lost < config::election_timeout_max);
            group.links.cuts.clear();
            auto const way = milliseconds{1} + group.links.max_delay;
            group.run(config::raft_heartbeat + 2 * way);
            EXPECT_EQ(group.leader(), old);
            group.run(config::election_timeout_max);
            EXPECT_EQ(group.leader(), old);
        }
    }
}

// A resignation must lose nothing that was acknowledged, and answer what was
// proposed before it.
TEST(replica, a_leader_that_resigns_makes_way_for_a_higher_term)
{
    replica_group group{3, 8};
    auto const n = group.elect();
    group.load(20);
    auto const resigned = group.nodes[n]->it->status().log.in_term;
    group.propose(n);
    group.nodes[n]->it->resign();
    EXPECT_FALSE(group.nodes[n]->it->is_leader());
    EXPECT_EQ(group.nodes[n]->leadership, (std::vector<bool>{true, false}));
    EXPECT_EQ(group.refused[error_kind::no_leader], 1U);
    group.run(seconds{2});
    auto const next = group.leader();
    ASSERT_TRUE(next);
    EXPECT_GT(group.nodes[*next]->it->status().log.in_term, resigned);
    group.load(20);
    group.settle();
}

// A member that cannot hear the leader must not depose it by ever higher
// terms.
TEST(replica, a_member_that_hears_nobody_does_not_disturb_the_leader)
{
    replica_group group{3, 5};
    auto const n = group.elect();
    auto const before = group.nodes[n]->it->status().log.in_term;
    group.cut(n, (n + 1) % 3);
    group.cut((n + 2) % 3, (n + 1) % 3);
    group.run(seconds{30});
    EXPECT_EQ(group.leader(), n);
    EXPECT_EQ(group.nodes[n]->it->status().log.in_term, before);
    group.settle();
    EXPECT_EQ(group.nodes[n]->it->status().log.in_term, before);
}

// A member that only misses the leader must not be elected by voters that hear
// it: both would then answer for a while.
TEST(replica, a_member_that_misses_only_the_leader_is_not_elected)
{
    for (std::size_t const voters : {3U, 5U})
    {
        replica_group group{voters, 6};
        auto const n = group.elect();
        group.cut(n, (n + 1) % voters);
        // Without commands meanwhile the member's log is not behind, so that
        // only what the voters promised to the leader keeps them from it.
        for (auto it = 0; it < 30; ++it)
        {
            group.run(seconds{1});
            EXPECT_EQ(group.leader(), n);
        }
        group.load(10);
        EXPECT_EQ(group.acknowledged.size(), 10);
        group.settle();
    }
}

// All processes may be restarted at once; nothing acknowledged may be lost and
// no voter may forget what it promised.
TEST(replica, all_restarted_at_once)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        replica_group group{5, seed};
        group.elect();
        group.load(50);
        for (std::size_t n = 0; n < 5; ++n)
        {
            group.crash(n);
        }
        for (std::size_t n = 0; n < 5; ++n)
        {
            group.start(n);
        }
        group.elect();
        group.load(20);
        group.settle();
    }
}

// A replica that was away for hundreds of entries catches up from the log.
TEST(replica, restarted_hundreds_of_entries_late)
{
    replica_group group{3, 7};
    auto const n = group.elect();
    auto const late = (n + 1) % 3;
    group.crash(late);
    group.load(600);
    group.start(late);
    group.load(50);
    group.settle();
}

// A replica behind the compaction point gets a snapshot in chunks, also when
// chunks are lost and doubled, while commits go on.
TEST(replica, behind_the_compaction_point)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        replica_group group{3, seed};
        group.elect();
        for (std::size_t n = 0; n < 3; ++n)
        {
            group.crash(n);
        }
        group.snapshot_entries = 100;
        for (std::size_t n = 0; n < 3; ++n)
        {
            group.start(n);
        }
        auto const late = (group.elect() + 1) % 3;
        group.crash(late);
        // Larger than the entries that are kept behind a snapshot.
        for (std::size_t it = 0; it < config::log_tail_entries + 300; ++it)
        {
            group.propose(*group.leader());
            if (it % 500 == 0)
            {
                group.run(milliseconds{20});
            }
        }
        group.run(milliseconds{200});
        auto const leader = group.leader().value();
        ASSERT_GT(group.nodes[leader]->disk.stored.base.index, log_index{1});
        group.links.loss = permille{100};
        group.links.duplicates = permille{100};
        group.start(late);
        group.load(200);
        group.settle();
        EXPECT_GT(group.nodes[late]->disk.stored.base.index, log_index{1});
    }
}

// A VM that lost its disk joins under a new id: it is promoted by itself, the
// old id is removed, and a second loss right after the repair is survived.
TEST(replica, a_lost_disk_is_replaced_and_a_second_loss_survived)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        replica_group group{3, seed};
        auto const n = group.elect();
        auto const lost = (n + 1) % 3;
        group.load(300);
        group.crash(lost);
        group.links.loss = permille{50};
        auto const added = group.add_empty(node_id{"fresh"});
        std::vector<result<log_index>> answers;
        auto const keep = [&answers](result<log_index> it)
        { answers.push_back(std::move(it)); };
        auto& leader = *group.nodes[n]->it;
        leader.change_member(
            {member_change_kind::add_learner, node_id{"fresh"}, {}}, keep);
        // Two changes at once could create two majorities that do not meet.
        leader.change_member(
            {member_change_kind::remove, group.nodes[lost]->id, {}}, keep);
        group.load(500);
        ASSERT_EQ(answers.size(), 2);
        EXPECT_EQ(answers[0].error().kind, error_kind::membership_busy);
        EXPECT_TRUE(answers[1]);
        auto const members = leader.status().log.members;
        ASSERT_EQ(members.size(), 4);
        EXPECT_EQ(members[3].member.role, member_role::voter);
        leader.change_member(
            {member_change_kind::remove, group.nodes[lost]->id, {}}, keep);
        group.load(100);
        ASSERT_EQ(answers.size(), 3);
        EXPECT_TRUE(answers[2]);

        group.crash(n);
        group.run(seconds{3});
        auto const next = group.leader();
        ASSERT_TRUE(next && (*next == added || *next != lost));
        group.load(100);
        group.nodes.erase(group.nodes.begin() +
                          static_cast<std::ptrdiff_t>(lost));
        group.settle();
    }
}

// A removed leader must hand over, and a group of one must still commit.
TEST(replica, removes_members_down_to_one)
{
    replica_group group{3, 11};
    for (auto left = 2; left > 0; --left)
    {
        auto const n = group.elect();
        group.load(5);
        group.nodes[n]->it->change_member(
            {member_change_kind::remove, group.nodes[n]->id, {}},
            [](result<log_index> const& it) { EXPECT_TRUE(it); });
        group.run(seconds{4});
        ASSERT_TRUE(group.leader() && *group.leader() != n);
        group.crash(n);
        group.nodes.erase(group.nodes.begin() + static_cast<std::ptrdiff_t>(n));
    }
    auto const before = group.acknowledged.size();
    group.load(10);
    EXPECT_EQ(group.acknowledged.size(), before + 10);
    group.settle();
}

// After a failed sync the data may be lost although a second sync succeeds:
// the replica must stop and tell nobody that the entry is safe.
TEST(replica, stops_after_a_failed_sync)
{
    replica_group group{3, 12};
    auto const n = group.elect();
    group.nodes[n]->disk.fail_sync = true;
    group.propose(n);
    group.run(milliseconds{2});
    group.nodes[n]->disk.fail_sync = false;
    EXPECT_EQ(group.nodes[n]->failure.value().kind, error_kind::disk_failed);
    EXPECT_EQ(group.refused[error_kind::no_leader], 1);
    EXPECT_FALSE(group.nodes[n]->it->is_leader());
    group.run(seconds{3});
    EXPECT_NE(group.elect(), n);
    group.crash(n);
    group.settle();
}

// A full disk must refuse new commands while the process can still write what
// it needs to go on.
TEST(replica, refuses_commands_before_the_disk_is_full)
{
    replica_group group{3, 13};
    auto const n = group.elect();
    group.nodes[n]->disk.free_space = config::disk_reserve.value();
    group.propose(n);
    EXPECT_EQ(group.refused[error_kind::disk_full], 1);
    // A follower without room lags and catches up once it has room again.
    group.nodes[n]->disk.free_space = std::int64_t{1} << 40;
    auto const small = (n + 1) % 3;
    group.nodes[small]->disk.free_space = 0;
    group.load(50);
    EXPECT_EQ(group.acknowledged.size(), 50);
    EXPECT_EQ(group.leader(), n);
    group.nodes[small]->disk.free_space = std::int64_t{1} << 40;
    group.settle();
}

// Any mix of crashes, cuts, loss, doubles and reordering must neither lose nor
// change what was committed, nor give two replicas a lease.
auto random_faults(std::size_t voters, std::uint64_t seed,
                   duration apply_time = {}, duration max_sync_time = {})
    -> std::size_t
{
    replica_group group{voters, seed};
    auto& links = group.links;
    group.snapshot_entries = 50;
    group.set_apply_time(apply_time);
    group.elect();
    for (auto step = 0; step < 60; ++step)
    {
        auto const n = links.below(voters);
        if (max_sync_time > duration{})
        {
            auto& disk = group.nodes[n]->disk;
            disk.sync_time = duration{static_cast<std::int64_t>(links.below(
                static_cast<std::uint64_t>(max_sync_time.count())))};
            disk.keeps_unfinished_sync = links.below(2) == 0;
        }
        switch (links.below(8))
        {
        case 0:
            if (group.is_up(n))
            {
                group.crash(n);
            }
            break;
        case 1:
            group.isolate(n);
            break;
        case 2:
            group.cut(n, links.below(voters));
            break;
        case 3:
            links.loss = permille{static_cast<std::int32_t>(links.below(300))};
            links.duplicates = links.loss;
            links.max_delay = milliseconds{1 + links.below(80)};
            break;
        case 4:
            links.cuts.clear();
            break;
        default:
            if (!group.is_up(n))
            {
                group.start(n);
            }
        }
        // Proposals also go to leaders that have lost their lease.
        for (std::size_t each = 0; each < voters; ++each)
        {
            if (group.is_up(each))
            {
                group.propose(each);
            }
        }
        group.load(10 + links.below(60));
    }
    links.max_delay = milliseconds{5};
    group.set_apply_time({});
    for (auto const& it : group.nodes)
    {
        it->disk.sync_time = {};
    }
    group.settle();
    return group.acknowledged.size();
}

TEST(replica, three_survive_random_faults)
{
    std::size_t acknowledged{0};
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        SCOPED_TRACE(seed);
        acknowledged += random_faults(3, seed);
    }
    EXPECT_GT(acknowledged, 40 * 50);
}

TEST(replica, five_survive_random_faults)
{
    std::size_t acknowledged{0};
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        SCOPED_TRACE(seed);
        acknowledged += random_faults(5, seed);
    }
    EXPECT_GT(acknowledged, 20 * 50);
}

// Commands that take long to apply are left for later turns; what a member
// answers or leads with must not run ahead of them.
TEST(replica, three_survive_random_faults_while_applying_is_slow)
{
    std::size_t acknowledged{0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        SCOPED_TRACE(seed);
        acknowledged += random_faults(3, seed, milliseconds{8});
    }
    EXPECT_GT(acknowledged, 10 * 20);
}

// A member that is lost during a sync must have promised nothing that the sync
// would have made durable.
TEST(replica, five_survive_random_faults_while_syncs_are_slow)
{
    std::size_t acknowledged{0};
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        SCOPED_TRACE(seed);
        acknowledged += random_faults(5, seed, {}, milliseconds{300});
    }
    EXPECT_GT(acknowledged, 20 * 20);
}

TEST(replica, three_survive_random_faults_while_syncs_are_slow)
{
    std::size_t acknowledged{0};
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        SCOPED_TRACE(seed);
        acknowledged += random_faults(3, seed, {}, milliseconds{100});
    }
    EXPECT_GT(acknowledged, 40 * 20);
}

// After a stop of all members the new leader applied the whole log in one turn,
// lost its lease meanwhile, and so did the leaders after it.
TEST(replica, leads_on_while_it_applies_a_long_log_after_a_restart)
{
    replica_group it{3, 41};
    auto const first = it.elect();
    it.load(400);
    ASSERT_GT(it.acknowledged.size(), 300U);
    auto const before = it.nodes[first]->it->status().log.in_term;
    it.set_apply_time(milliseconds{2});
    for (std::size_t n = 0; n < 3; ++n)
    {
        it.crash(n);
        it.start(n);
    }
    it.run(seconds{6});
    ASSERT_TRUE(it.leader());
    auto const& leader = *it.nodes[*it.leader()];
    EXPECT_EQ(leader.it->status().log.in_term, before + term{1});
    for (auto const& [index, command] : it.acknowledged)
    {
        EXPECT_TRUE(leader.machine->applied.contains(index)) << index.value();
    }
}

// A leader that served reads before it had applied what earlier leaders had
// committed would show older state than they did.
TEST(replica, leads_only_with_all_that_was_acknowledged_before)
{
    replica_group it{3, 43};
    it.elect();
    it.load(400);
    it.set_apply_time(milliseconds{2});
    std::size_t led{0};
    for (std::size_t round = 0; round < 4; ++round)
    {
        for (std::size_t n = 0; n < 3; ++n)
        {
            it.crash(n);
            it.nodes[n]->leadership.clear(); // of its former life
            it.start(n);
        }
        auto const acknowledged = it.acknowledged;
        for (auto end = led + 300; led < end;)
        {
            it.run(milliseconds{1});
            auto const at = it.leader();
            if (!at || it.nodes[*at]->leadership.empty() ||
                !it.nodes[*at]->leadership.back())
            {
                continue;
            }
            ++led;
            auto const& applied = it.nodes[*at]->machine->applied;
            for (auto const& [index, command] : acknowledged)
            {
                ASSERT_TRUE(applied.contains(index))
                    << index.value() << " in round " << round;
            }
            if (led % 10 == 0)
            {
                it.propose(*at);
            }
        }
    }
}

} // namespace
} // namespace apricotlb
