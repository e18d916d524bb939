#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

constexpr auto start = time_point{seconds{100}};
/// Every voter has timed out by then.
constexpr auto late = start + config::election_timeout_max;

auto members(std::vector<std::string> const& voters) -> raft_members
{
    raft_members out;
    for (auto const& it : voters)
    {
        out.push_back({node_id{it}, {}, member_role::voter});
    }
    return out;
}

auto make(std::vector<std::string> const& voters,
          std::vector<log_entry> entries = {}, hard_state term_and_vote = {})
    -> raft
{
    return raft::builder{}
        .self(node_id{"a"})
        .term_and_vote(std::move(term_and_vote))
        .snapshot({{{}, members(voters)}, ""})
        .log({}, std::move(entries))
        .started(start, random_bits{0})
        .build()
        .value();
}

auto command(std::uint64_t index, std::uint64_t in_term) -> log_entry
{
    return {term{in_term}, log_index{index}, entry_kind::proposal, "x", {}};
}

/// All messages of one type that a step sends.
template <class Message>
auto sent(raft_actions const& it) -> std::vector<std::pair<node_id, Message>>
{
    std::vector<std::pair<node_id, Message>> out;
    for (auto const* list : {&it.messages, &it.messages_after_sync})
    {
        for (auto const& each : *list)
        {
            if (auto const* found = std::get_if<Message>(&each.message))
            {
                out.emplace_back(each.to, *found);
            }
        }
    }
    return out;
}

template <class Message>
auto answer(raft& to, time_point now, std::string const& from,
            Message const& message) -> raft_actions
{
    return to.receive(now, node_id{from}, message);
}

/// A sync that covers all that was written so far.
auto sync(raft& it, time_point now) -> raft_actions
{
    it.sync_started();
    return it.persisted(now);
}

/// Makes a the leader of a, b and c by the vote of b.
auto lead(raft& it, time_point now) -> term
{
    it.tick(now, random_bits{0});
    auto const next = it.current_term() + term{1};
    answer(it, now, "b", vote_answer{next, true, true});
    answer(it, now, "b", vote_answer{next, false, true});
    EXPECT_EQ(it.role(), raft_role::leader);
    sync(it, now);
    return next;
}

auto accept(raft& it, std::string const& from, time_point now,
            std::uint64_t match, time_point sent_at) -> raft_actions
{
    return answer(it, now, from,
                  append_entries_answer{it.current_term(), true,
                                        log_index{match}, log_index{match},
                                        sent_at});
}

// A voter that votes while a leader may count on it would allow two leaders
// with valid leases. A restart must not make it forget.
TEST(raft, a_voter_refuses_votes_soon_after_it_heard_from_a_leader)
{
    auto it = make({"a", "b", "c"});
    auto const ask = request_vote{term{5}, false, {log_index{9}, term{4}}};
    auto const soon = start + config::election_timeout_min - duration{1};
    EXPECT_FALSE(
        sent<vote_answer>(answer(it, soon, "b", ask))[0].second.granted);
    EXPECT_EQ(it.current_term(), term{});

    answer(it, soon, "c", append_entries{term{1}, {}, {}, {}, {}});
    auto const again = soon + config::election_timeout_min - duration{1};
    EXPECT_FALSE(
        sent<vote_answer>(answer(it, again, "b", ask))[0].second.granted);
    EXPECT_EQ(it.current_term(), term{1});
    auto const actions = answer(it, again + duration{1}, "b", ask);
    EXPECT_TRUE(sent<vote_answer>(actions)[0].second.granted);
    // The vote must be durable before it is told.
    EXPECT_TRUE(actions.messages.empty());
    EXPECT_EQ(actions.term_and_vote, (hard_state{term{5}, node_id{"b"}}));
}

// An answer to a heartbeat that waits for a sync makes the leader lose its
// lease; one that promises entries before the sync loses them in a crash.
TEST(raft, a_follower_answers_heartbeats_before_its_entries_are_durable)
{
    auto it = make({"a", "b", "c"}, {}, {term{1}, {}});
    auto const appended = answer(
        it, start, "b",
        append_entries{term{1}, {}, {command(1, 1), command(2, 1)}, {}, {}});
    EXPECT_TRUE(appended.messages.empty());
    append_entries const heartbeat{
        term{1}, {log_index{2}, term{1}}, {}, {}, start};
    auto const match_of = [](raft_actions const& actions)
    {
        EXPECT_TRUE(actions.messages_after_sync.empty());
        auto const answers = sent<append_entries_answer>(actions);
        EXPECT_EQ(answers.size(), 1);
        EXPECT_TRUE(answers.at(0).second.accepted);
        return answers.at(0).second.match;
    };
    EXPECT_EQ(match_of(answer(it, start, "b", heartbeat)), log_index{});
    sync(it, start);
    EXPECT_EQ(match_of(answer(it, start, "b", heartbeat)), log_index{2});

    // A term that is not durable is not told either.
    auto newer = heartbeat;
    newer.in_term = term{2};
    EXPECT_TRUE(answer(it, start, "c", newer).messages.empty());
    EXPECT_TRUE(answer(it, start, "c", newer).messages.empty());
    sync(it, start);
    EXPECT_EQ(answer(it, start, "c", newer).messages.size(), 1);
}

// What is written while a sync is in progress may be lost in a crash after it.
TEST(raft, a_sync_covers_only_what_was_written_before_it)
{
    auto it = make({"a", "b", "c"}, {}, {term{1}, {}});
    auto const append = [&it](std::uint64_t index)
    {
        answer(
            it, start, "b",
            append_entries{term{1},
                           {log_index{index - 1}, index > 1 ? term{1} : term{}},
                           {command(index, 1)},
                           {},
                           {}});
    };
    append(1);
    it.sync_started();
    append(2);
    append_entries const heartbeat{
        term{1}, {log_index{2}, term{1}}, {}, {}, start};
    auto const match = [&]
    {
        auto const actions = answer(it, start, "b", heartbeat);
        return sent<append_entries_answer>(actions).at(0).second.match;
    };
    EXPECT_EQ(match(), log_index{});
    it.persisted(start);
    EXPECT_EQ(match(), log_index{1});
    sync(it, start);
    EXPECT_EQ(match(), log_index{2});

    auto newer = heartbeat;
    newer.in_term = term{2};
    it.sync_started();
    answer(it, start, "c", newer);
    it.persisted(start);
    EXPECT_TRUE(answer(it, start, "c", newer).messages.empty());
    sync(it, start);
    EXPECT_EQ(answer(it, start, "c", newer).messages.size(), 1);
}

// An entry that is replaced while a sync is in progress must not count as
// durable by the sync of its predecessor.
TEST(raft, a_sync_does_not_cover_an_entry_replaced_meanwhile)
{
    auto it = make({"a", "b", "c"}, {}, {term{1}, {}});
    answer(it, start, "b",
           append_entries{term{1},
                          {},
                          {command(1, 1), command(2, 1), command(3, 1)},
                          {},
                          {}});
    it.sync_started();
    answer(it, start, "c",
           append_entries{term{2},
                          {log_index{1}, term{1}},
                          {command(2, 2), command(3, 2)},
                          {},
                          {}});
    it.persisted(start);
    append_entries const heartbeat{
        term{2}, {log_index{3}, term{2}}, {}, {}, start};
    auto const match = [&]
    {
        auto const actions = answer(it, start, "c", heartbeat);
        return sent<append_entries_answer>(actions).at(0).second.match;
    };
    EXPECT_EQ(match(), log_index{1});
    sync(it, start);
    EXPECT_EQ(match(), log_index{3});
}

// A leader whose own sync takes long must commit what the others hold.
TEST(raft, a_leader_commits_by_the_others_during_its_own_sync)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    accept(it, "b", late, 1, late);
    accept(it, "c", late, 1, late);
    ASSERT_TRUE(it.propose("x"));
    it.flush(late);
    it.sync_started();
    EXPECT_TRUE(accept(it, "b", late, 2, late).committed_entries.empty());
    EXPECT_EQ(accept(it, "c", late, 2, late).committed_entries.size(), 1);
}

// A snapshot that replaces the log is not covered by a sync of the old log.
TEST(raft, a_sync_does_not_cover_a_snapshot_received_meanwhile)
{
    auto it = make({"a", "b", "c"}, {}, {term{1}, {}});
    answer(it, start, "b",
           append_entries{term{1}, {}, {command(1, 1)}, {}, {}});
    it.sync_started();
    snapshot_info const info{{log_index{9}, term{1}}, members({"a", "b", "c"})};
    auto const actions =
        answer(it, start, "b",
               install_snapshot{term{1}, info, {}, byte_count{1}, "s", start});
    ASSERT_TRUE(actions.install);
    it.persisted(start);
    append_entries const heartbeat{
        term{1}, {log_index{9}, term{1}}, {}, {}, start};
    auto const match = [&]
    {
        auto const sent_now = answer(it, start, "b", heartbeat);
        return sent<append_entries_answer>(sent_now).at(0).second.match;
    };
    EXPECT_EQ(match(), log_index{});
    sync(it, start);
    EXPECT_EQ(match(), log_index{9});
}

// Two votes in one term would elect two leaders.
TEST(raft, a_voter_votes_once_per_term_also_after_a_restart)
{
    auto it = make({"a", "b", "c"}, {}, {term{5}, node_id{"b"}});
    auto const ask = request_vote{term{5}, false, {}};
    EXPECT_FALSE(
        sent<vote_answer>(answer(it, late, "c", ask))[0].second.granted);
    EXPECT_TRUE(
        sent<vote_answer>(answer(it, late, "b", ask))[0].second.granted);
}

// A candidate without all committed entries would lose them.
TEST(raft, a_voter_refuses_a_candidate_with_an_older_log)
{
    auto it =
        make({"a", "b", "c"}, {command(1, 1), command(2, 2)}, {term{2}, {}});
    for (auto const last :
         {log_position{log_index{9}, term{1}}, {log_index{1}, term{2}}})
    {
        for (auto const is_pre_vote : {true, false})
        {
            auto const told = sent<vote_answer>(answer(
                it, late, "b", request_vote{term{9}, is_pre_vote, last}));
            EXPECT_FALSE(told[0].second.granted);
        }
    }
}

// A member that is cut off must not raise its term: on return it would depose
// a working leader.
TEST(raft, a_pre_vote_changes_no_term)
{
    auto it = make({"a", "b", "c"});
    for (auto n = 1; n <= 20; ++n)
    {
        auto const actions =
            it.tick(start + n * config::election_timeout_max, random_bits{0});
        EXPECT_FALSE(actions.term_and_vote);
        EXPECT_EQ(sent<request_vote>(actions).size(), 2);
    }
    EXPECT_EQ(it.current_term(), term{});
}

// Reads under a lease that counts from the arrival of an answer, or that
// outlives the promise of the voters, could be stale.
TEST(raft, a_lease_counts_from_the_sending)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    EXPECT_FALSE(it.has_lease(late)) << "nothing of the term is committed";
    accept(it, "b", late + milliseconds{100}, 1, late);
    EXPECT_TRUE(it.has_lease(late + config::leader_lease - duration{1}));
    EXPECT_FALSE(it.has_lease(late + config::leader_lease));
    EXPECT_LT(config::leader_lease, config::election_timeout_min);

    // An old answer must not shorten it, an answer to an old term not renew it.
    accept(it, "b", late + milliseconds{110}, 1, late - seconds{1});
    answer(
        it, late + milliseconds{120}, "b",
        append_entries_answer{term{0}, true, {}, {}, late + milliseconds{115}});
    EXPECT_TRUE(it.has_lease(late + config::leader_lease - duration{1}));
    EXPECT_FALSE(it.has_lease(late + config::leader_lease));
}

// A leader without a majority must answer nothing once another one may have
// been elected, and must step down by itself.
TEST(raft, a_leader_steps_down_without_a_majority)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    accept(it, "b", late, 1, late);
    EXPECT_TRUE(it.has_lease(late + config::leader_lease - duration{1}));
    EXPECT_FALSE(it.has_lease(late + config::leader_lease));
    auto const end = late + raft::max_majority_silence;
    it.tick(end - duration{1}, random_bits{0});
    EXPECT_EQ(it.role(), raft_role::leader);
    EXPECT_LE(it.next_tick(), end);
    it.tick(end, random_bits{0});
    EXPECT_EQ(it.role(), raft_role::follower);
    EXPECT_EQ(it.propose("x").error().kind, error_kind::not_leader);
}

// A leader that gave its office up during a retransmission made everyone wait
// for an election over the same link.
TEST(raft, a_leader_goes_on_after_answers_that_come_late)
{
    auto it = make({"a", "b", "c"});
    auto const in_term = lead(it, late);
    accept(it, "b", late, 1, late);
    auto const sent_at = late + config::raft_heartbeat;
    it.tick(sent_at, random_bits{0});
    auto const now = late + milliseconds{1400};
    it.tick(now, random_bits{0});
    ASSERT_FALSE(it.has_lease(now));
    ASSERT_TRUE(it.propose("x"));
    it.flush(now);
    sync(it, now);
    accept(it, "b", now, 1, sent_at);
    EXPECT_FALSE(it.has_lease(now)) << "the answer is as old as its request";
    EXPECT_EQ(accept(it, "b", now, 2, now).committed_entries.size(), 1);
    EXPECT_TRUE(it.has_lease(now));
    EXPECT_EQ(it.current_term(), in_term);
}

// Elections that follow each other could not be told apart by their causes.
TEST(raft, describes_the_office_that_has_ended)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    accept(it, "b", late + milliseconds{30}, 1, late + milliseconds{20});
    EXPECT_FALSE(it.take_ended_office());
    auto const end = it.next_tick() + seconds{10};
    it.tick(end, random_bits{0});
    ASSERT_EQ(it.role(), raft_role::follower);
    auto const office = it.take_ended_office();
    ASSERT_TRUE(office);
    EXPECT_EQ(office->reason, office_end::no_majority);
    EXPECT_EQ(office->length, end - late);
    EXPECT_EQ(office->majority_silence, end - late - milliseconds{20});
    EXPECT_EQ(office->silent, (std::vector{node_id{"b"}, node_id{"c"}}));
    EXPECT_FALSE(it.take_ended_office()) << "reported twice";

    lead(it, end + seconds{1});
    answer(it, end + seconds{1}, "c", append_entries{term{99}, {}, {}, {}, {}});
    EXPECT_EQ(it.take_ended_office()->reason, office_end::higher_term);
}

// A candidate that had to wait for its pre-votes gave its candidacy up before
// the votes could arrive.
TEST(raft, a_candidate_waits_for_votes_as_long_as_for_pre_votes)
{
    auto it = make({"a", "b", "c"});
    it.tick(late, random_bits{0});
    ASSERT_EQ(it.role(), raft_role::pre_candidate);
    auto const next = it.current_term() + term{1};
    auto const granted = it.next_tick() - duration{1};
    answer(it, granted, "b", vote_answer{next, true, true});
    ASSERT_EQ(it.role(), raft_role::candidate);
    EXPECT_GE(it.next_tick(), granted + config::election_timeout_min);
    it.tick(granted + config::election_timeout_min - duration{1},
            random_bits{0});
    EXPECT_EQ(it.role(), raft_role::candidate);
}

// A vote that a retransmission delayed past the candidacy was dropped, and its
// voter had to vote again, over the same link.
TEST(raft, a_vote_counts_as_long_as_its_term_is_current)
{
    auto it = make({"a", "b", "c"});
    it.tick(late, random_bits{0});
    auto const stood_in = it.current_term() + term{1};
    answer(it, late, "b", vote_answer{stood_in, true, true});
    ASSERT_EQ(it.role(), raft_role::candidate);
    auto const after = it.next_tick();
    it.tick(after, random_bits{0});
    ASSERT_EQ(it.role(), raft_role::pre_candidate);
    answer(it, after, "b", vote_answer{stood_in, false, true});
    EXPECT_EQ(it.role(), raft_role::leader);
    EXPECT_EQ(it.current_term(), stood_in);

    auto voter = make({"a", "b", "c"});
    voter.tick(late, random_bits{0});
    answer(voter, late, "c", request_vote{term{3}, false, {}});
    ASSERT_EQ(voter.current_term(), term{3});
    voter.tick(late + config::election_timeout_max, random_bits{0});
    answer(voter, late + config::election_timeout_max, "b",
           vote_answer{term{3}, false, true});
    EXPECT_NE(voter.role(), raft_role::leader) << "it has voted for c";
}

// Answers that are always late kept an office for ever in which nothing was
// served and the leases of all workers ran out.
TEST(raft, a_leader_resigns_after_a_time_without_a_lease)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    auto const end = late + raft::max_time_without_lease;
    constexpr auto way = milliseconds{500};
    for (auto now = late; now < end; now += config::raft_heartbeat)
    {
        it.tick(now, random_bits{0});
        accept(it, "b", now, 1, now - way);
        ASSERT_EQ(it.role(), raft_role::leader);
        ASSERT_FALSE(it.has_lease(now));
    }
    EXPECT_LE(it.next_tick(), end);
    it.tick(end, random_bits{0});
    EXPECT_EQ(it.role(), raft_role::follower);
    EXPECT_EQ(it.take_ended_office()->reason, office_end::no_lease);
}

// A leader that resigns must lose its lease at once, and only a higher term
// may follow, also if it is the only voter.
TEST(raft, a_leader_that_resigns_is_followed_by_a_higher_term)
{
    auto it = make({"a", "b", "c"});
    auto const resigned = lead(it, late);
    accept(it, "b", late, 1, late);
    ASSERT_TRUE(it.has_lease(late));
    it.step_down(late);
    EXPECT_EQ(it.role(), raft_role::follower);
    EXPECT_FALSE(it.has_lease(late));
    EXPECT_EQ(it.current_term(), resigned);
    auto const after = late + config::election_timeout_max;
    EXPECT_LE(it.next_tick(), after);
    EXPECT_GT(lead(it, after), resigned);

    auto alone = make({"a"});
    alone.tick(late, random_bits{0});
    ASSERT_EQ(alone.role(), raft_role::leader);
    alone.step_down(late);
    EXPECT_EQ(alone.role(), raft_role::follower);
    alone.tick(after, random_bits{0});
    EXPECT_EQ(alone.role(), raft_role::leader);
    EXPECT_EQ(alone.current_term(), term{2});
}

// An entry of an earlier term on a majority can still be replaced: it may
// only be committed together with one of the own term.
TEST(raft, commits_no_entry_of_an_earlier_term_by_counting)
{
    auto it =
        make({"a", "b", "c"}, {command(1, 1), command(2, 2)}, {term{3}, {}});
    lead(it, late);
    EXPECT_TRUE(accept(it, "b", late, 2, late).committed_entries.empty());
    EXPECT_EQ(accept(it, "b", late, 3, late).committed_entries.size(), 3);
}

// An entry counts for its leader only once the leader's own sync is done.
TEST(raft, the_leaders_own_entry_counts_after_its_sync)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    accept(it, "b", late, 1, late);
    ASSERT_TRUE(it.propose("x"));
    auto const actions = it.flush(late);
    EXPECT_EQ(actions.entries_to_persist.size(), 1);
    EXPECT_EQ(sent<append_entries>(actions).size(), 1)
        << "c has not answered yet";
    EXPECT_TRUE(accept(it, "b", late, 2, late).committed_entries.empty());
    EXPECT_EQ(sync(it, late).committed_entries.size(), 1);
}

// A leader that compacted its log while a member was catching up read the last
// of no entries at the member's next answer, and ended by signal 11.
TEST(raft, a_member_that_catches_up_over_a_compaction_gets_the_snapshot)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    accept(it, "b", late, 1, late);
    constexpr auto large_entries =
        2 * config::log_tail_bytes / config::max_entry_bytes;
    for (std::size_t n = 0; n < large_entries; ++n)
    {
        ASSERT_TRUE(it.propose(std::string(config::max_entry_bytes, 'x')));
    }
    it.flush(late);
    sync(it, late);
    auto const last = it.log().last().index;
    accept(it, "b", late, last.value(), late);
    ASSERT_EQ(it.commit_index(), last);
    // c gets the first of the entries, alone, as they are committed.
    auto const first = sent<append_entries>(accept(it, "c", late, 1, late));
    ASSERT_EQ(first.size(), 1U);
    ASSERT_EQ(first[0].second.entries.back().index, log_index{2});
    it.compact({it.describe_snapshot(last), "state"});
    ASSERT_GT(it.log().base().index, log_index{3});

    auto const actions = accept(it, "c", late, 2, late);
    EXPECT_TRUE(sent<append_entries>(actions).empty());
    auto const chunks = sent<install_snapshot>(actions);
    ASSERT_EQ(chunks.size(), 1U);
    EXPECT_EQ(chunks[0].second.info.last.index, last);
    auto const after = accept(it, "c", late, last.value(), late);
    EXPECT_TRUE(sent<install_snapshot>(after).empty());
    EXPECT_EQ(it.status().members.at(2).match, last);
}

// A follower that answers before its sync could lose what the leader counts.
TEST(raft, a_follower_answers_after_its_sync_and_replaces_conflicts)
{
    auto it =
        make({"a", "b", "c"}, {command(1, 1), command(2, 1), command(3, 1)},
             {term{1}, {}});
    auto const gap = answer(
        it, start, "b",
        append_entries{term{2}, {log_index{7}, term{2}}, {}, log_index{1}, {}});
    EXPECT_EQ(sent<append_entries_answer>(gap)[0].second.match, log_index{3});
    auto const actions = answer(it, start, "b",
                                append_entries{term{2},
                                               {log_index{1}, term{1}},
                                               {command(2, 2)},
                                               log_index{1},
                                               {}});
    EXPECT_TRUE(actions.messages.empty());
    EXPECT_EQ(actions.entries_to_persist, std::vector{command(2, 2)});
    EXPECT_EQ(actions.committed_entries, std::vector{command(1, 1)});
    EXPECT_EQ(it.log().last().index, log_index{2});

    // A late double of an older message must not cut what came after it.
    answer(
        it, start, "b",
        append_entries{term{2}, {log_index{1}, term{1}}, {}, log_index{1}, {}});
    EXPECT_EQ(it.log().last().index, log_index{2});
}

// A message that contradicts a committed entry must change nothing.
TEST(raft, committed_entries_are_never_replaced)
{
    auto it = make({"a", "b", "c"}, {command(1, 1)}, {term{1}, {}});
    answer(
        it, start, "b",
        append_entries{term{1}, {log_index{1}, term{1}}, {}, log_index{1}, {}});
    ASSERT_EQ(it.commit_index(), log_index{1});
    auto const actions = answer(
        it, start, "b", append_entries{term{2}, {}, {command(1, 2)}, {}, {}});
    EXPECT_TRUE(actions.entries_to_persist.empty());
    EXPECT_TRUE(sent<append_entries_answer>(actions).empty());
    EXPECT_EQ(it.log().at(log_index{1}), command(1, 1));
}

// Sending without bound to a slow member would exhaust memory and links.
TEST(raft, messages_to_a_member_are_bounded)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    accept(it, "b", late, 1, late);
    for (auto n = 0; n < 200; ++n)
    {
        ASSERT_TRUE(it.propose(std::string(config::max_entry_bytes, 'x')));
    }
    EXPECT_FALSE(it.propose(std::string(config::max_entry_bytes + 1, 'x')));
    auto const out = sent<append_entries>(it.flush(late));
    EXPECT_EQ(out.size(), config::max_inflight_appends);
    for (auto const& [to, message] : out)
    {
        EXPECT_LE(message.entries.size(), 2);
    }
    EXPECT_TRUE(sent<append_entries>(it.flush(late)).empty());
}

// Learners must not count for majorities, and a member that has not caught up
// must not become a voter, since it would hold up commits.
TEST(raft, a_learner_does_not_count_and_is_promoted_when_caught_up)
{
    auto it = make({"a", "b", "c"});
    lead(it, late);
    EXPECT_EQ(
        it.change_member({member_change_kind::add_learner, node_id{"d"}, {}})
            .error()
            .kind,
        error_kind::membership_busy)
        << "no entry of the own term is committed yet";
    accept(it, "b", late, 1, late);
    ASSERT_TRUE(
        it.change_member({member_change_kind::add_learner, node_id{"d"}, {}}));
    for (std::uint64_t n = 0; n <= config::max_promotion_lag; ++n)
    {
        ASSERT_TRUE(it.propose("x"));
    }
    it.flush(late);
    sync(it, late);
    auto const last = it.log().last().index.value();
    accept(it, "d", late, 1, late);
    EXPECT_EQ(it.commit_index(), log_index{1});
    accept(it, "b", late, last, late);
    EXPECT_EQ(it.commit_index(), log_index{last});
    EXPECT_EQ(it.change_member({member_change_kind::promote, node_id{"d"}, {}})
                  .error()
                  .kind,
              error_kind::not_caught_up);

    // Too slow a round: the learner falls behind as fast as it catches up.
    accept(it, "d", late + seconds{2}, last, late);
    EXPECT_EQ(it.log().last().index, log_index{last});
    accept(it, "d", late + seconds{2}, last, late);
    EXPECT_EQ(it.log().last().index, log_index{last + 1});
    EXPECT_EQ(it.status().members.back().member.role, member_role::voter);
}

// A copy of a voter that is lost must not make an entry durable: its disk may
// be gone.
TEST(raft, a_lost_voter_neither_holds_up_commits_nor_counts_as_a_copy)
{
    auto it = raft::builder{}
                  .self(node_id{"a"})
                  .copies(3)
                  .snapshot({{{}, members({"a", "b", "c"})}, ""})
                  .started(start, random_bits{0})
                  .build()
                  .value();
    lead(it, late);
    accept(it, "b", late, 1, late);
    accept(it, "c", late, 1, late);
    ASSERT_TRUE(it.propose("x"));
    it.flush(late);
    sync(it, late);
    accept(it, "c", late, 2, late);
    EXPECT_EQ(it.commit_index(), log_index{1});
    auto const lost = late + config::voter_removal_delay;
    for (auto now = late; now <= lost; now += config::raft_heartbeat)
    {
        it.tick(now, random_bits{0});
        accept(it, "b", now, 1, now);
    }
    EXPECT_EQ(it.commit_index(), log_index{1});
    accept(it, "b", lost, 2, lost);
    EXPECT_EQ(it.commit_index(), log_index{2});
}

} // namespace
} // namespace apricotlb
