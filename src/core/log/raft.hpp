/// Raft: elections with pre-vote and check-quorum, pipelined replication,
/// snapshots, one membership change at a time, reads by leader lease.
///
/// The core performs no I/O and reads no clock. Each step takes the time and
/// returns what is to be done. raft.cpp holds the interface, the others the
/// steps: raft_election.cpp, raft_leader.cpp and raft_follower.cpp.
#ifndef APRICOTLB_CORE_LOG_RAFT_HPP
#define APRICOTLB_CORE_LOG_RAFT_HPP

#include "core/log/raft_log.hpp"
#include "core/log/raft_messages.hpp"
#include "core/random.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/strong.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotlb
{

enum class raft_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader,
};

struct addressed_message
{
    node_id to;
    raft_message message;
};

/// What a step asks for. The driver hands hard and persist to the store, then
/// sends messages; it sends after_sync once everything handed to the store so
/// far is durable. It installs before it applies.
struct raft_actions
{
    std::optional<hard_state> term_and_vote;
    /// In order; an entry replaces a stored one of the same index and drops
    /// those behind it.
    std::vector<log_entry> entries_to_persist;
    std::vector<addressed_message> messages;
    std::vector<addressed_message> messages_after_sync;
    std::optional<raft_snapshot> install;
    std::vector<log_entry> committed_entries;
};

enum class member_change_kind : std::uint8_t
{
    add_learner,
    promote,
    remove,
};

struct member_change
{
    member_change_kind kind{member_change_kind::add_learner};
    node_id id;
    url address; ///< of a new learner
};

/// One member as the leader sees it.
struct member_status
{
    raft_member member;
    log_index match;
    log_index lag;             ///< number of entries behind the leader's log
    time_point last_contact{}; ///< of a peer of the leader
};

struct raft_status
{
    raft_role role{raft_role::follower};
    term in_term;
    std::optional<node_id> leader;
    log_index commit_index;
    log_index last;
    std::vector<member_status> members; ///< match and lag on the leader only
};

/// One member of the group.
class raft
{
public:
    class builder;

    /// Fires timeouts; random is used when an election timeout is drawn.
    auto tick(time_point now, random_bits random) -> raft_actions;
    /// The next time at which tick has something to do.
    [[nodiscard]] auto next_tick() const -> time_point;
    auto receive(time_point now, node_id const& from, raft_message message)
        -> raft_actions;

    /// Appends a command to the leader's log. Any number may follow each other
    /// before flush, which hands them over together.
    auto propose(std::string payload) -> result<log_index>;
    /// Starts a change of members; its entry is handed over by flush.
    auto change_member(member_change const& change) -> result<log_index>;
    auto flush(time_point now) -> raft_actions;
    /// Everything handed over so far is durable.
    auto persisted(time_point now) -> raft_actions;

    /// Describes a snapshot of the state at a committed index.
    [[nodiscard]] auto describe_snapshot(log_index last) const -> snapshot_info;
    /// Takes over a durable snapshot; returns the position before the oldest
    /// entry that is still needed.
    auto compact(raft_snapshot snapshot) -> log_index;

    /// True while no other member can have been elected: reads of the applied
    /// state are then linearizable.
    [[nodiscard]] auto has_lease(time_point now) const -> bool;
    [[nodiscard]] auto role() const -> raft_role { return role_; }
    [[nodiscard]] auto leader() const -> std::optional<node_id> const&
    {
        return leader_;
    }
    [[nodiscard]] auto current_term() const -> term
    {
        return term_and_vote_.current;
    }
    [[nodiscard]] auto commit_index() const -> log_index { return commit_; }
    [[nodiscard]] auto log() const -> raft_log const& { return log_; }
    [[nodiscard]] auto status() const -> raft_status;

private:
    raft() = default;

    enum class peer_mode : std::uint8_t
    {
        probe,     ///< looks for the last entry in common
        replicate, ///< sends without waiting for answers
        snapshot,
    };

    struct sent_append
    {
        log_index last;
        time_point at;
    };

    /// What the leader knows of another member.
    struct peer
    {
        peer_mode mode{peer_mode::probe};
        log_index next;
        log_index match;
        std::deque<sent_append> inflight;
        std::optional<time_point>
            acked_send_time; ///< when that append was sent
        time_point last_contact{};
        /// Kept while it is sent, although a newer one may exist.
        std::shared_ptr<raft_snapshot const> snapshot;
        std::size_t offset{0};
        /// A learner is caught up when it reaches the end that the log had
        /// at the start of a round, within one election timeout.
        log_index round_end;
        time_point round_start{};
    };

    /// A snapshot that is arriving.
    struct incoming_snapshot
    {
        snapshot_info info;
        std::string data;
    };

    // raft_election.cpp
    auto start_pre_vote(time_point now) -> void;
    auto start_election(time_point now) -> void;
    auto become_leader(time_point now) -> void;
    auto become_follower(time_point now, term in_term,
                         std::optional<node_id> leader) -> void;
    auto record_leader_contact(time_point now, node_id const& leader) -> void;
    auto handle(time_point now, node_id const& from, request_vote const& it)
        -> void;
    auto handle(time_point now, node_id const& from, vote_answer const& it)
        -> void;
    [[nodiscard]] auto must_refuse_votes(time_point now) const -> bool;

    // raft_leader.cpp
    auto handle(time_point now, node_id const& from,
                append_entries_answer const& it) -> void;
    auto handle(time_point now, node_id const& from, snapshot_answer const& it)
        -> void;
    auto add_entry(entry_kind kind, std::string payload, raft_members members)
        -> log_index;
    auto update_peers(time_point now) -> void;
    auto replicate(time_point now, node_id const& to, peer& it) -> void;
    auto send_heartbeats(time_point now) -> void;
    auto send_append(time_point now, node_id const& to, peer const& it,
                     std::vector<log_entry> entries) -> void;
    auto send_snapshot_chunk(time_point now, node_id const& to, peer const& it,
                             std::size_t max_bytes) -> void;
    /// The peer behind an answer of this term; null when the answer is not for
    /// this leader. A higher term makes this member a follower.
    auto answering_peer(time_point now, node_id const& from, term in_term,
                        time_point sent_at) -> peer*;
    auto advance_commit(time_point now) -> void;
    auto promote_if_caught_up(time_point now, node_id const& id, peer& it)
        -> void;
    /// The time up to which a majority had been heard from, of those times
    /// that at gives for the peers.
    template <class At>
    [[nodiscard]] auto majority_time(time_point own, At at) const -> time_point;
    [[nodiscard]] auto quorum_deadline() const -> time_point;

    // raft_follower.cpp
    auto handle(time_point now, node_id const& from, append_entries it) -> void;
    auto handle(time_point now, node_id const& from, install_snapshot const& it)
        -> void;
    [[nodiscard]] auto is_valid(append_entries const& it) const -> bool;
    auto store_new_entries(std::vector<log_entry> entries) -> void;

    auto commit_to(log_index it) -> void;
    [[nodiscard]] auto is_voter(node_id const& id) const -> bool;
    [[nodiscard]] auto voter_count() const -> std::size_t;
    [[nodiscard]] auto quorum() const -> std::size_t;
    auto send(node_id const& to, raft_message message) -> void;
    auto send_after_sync(node_id const& to, raft_message message) -> void;
    auto take_actions() -> raft_actions;

    node_id self_;
    std::size_t copies_{1};
    std::size_t max_voters_{config::max_members};
    hard_state term_and_vote_;
    raft_log log_;
    std::shared_ptr<raft_snapshot const> snapshot_;
    log_index commit_;
    raft_role role_{raft_role::follower};
    std::optional<node_id> leader_;
    raft_actions actions_;

    /// Last time at which a leader may have counted on this member.
    time_point last_leader_contact_{};
    time_point election_deadline_{};
    duration election_timeout_{};
    std::set<node_id> votes_;
    std::optional<incoming_snapshot> incoming_;

    // On the leader.
    std::map<node_id, peer> peers_;
    time_point leader_since_{};
    time_point next_heartbeat_{};
    log_index durable_index_; ///< own match
    log_index first_index_of_term_;
};

/// Builds a member from what its store holds.
class raft::builder
{
public:
    auto self(node_id it) -> builder&;
    /// Least number of voters that must hold an entry before it is committed,
    /// as far as there are that many. A majority is always needed.
    auto copies(std::size_t n) -> builder&;
    /// A learner that has caught up is promoted while there are fewer voters.
    auto max_voters(std::size_t n) -> builder&;
    auto term_and_vote(hard_state it) -> builder&;
    /// A new group starts from a snapshot at entry 0 that names its members; a
    /// VM that joins a group starts without one.
    auto snapshot(raft_snapshot it) -> builder&;
    auto log(log_position base, std::vector<log_entry> entries) -> builder&;
    /// The start counts as hearing from a leader: a member does not know
    /// what it promised just before it was restarted.
    auto started(time_point now, random_bits random) -> builder&;

    /// The member, or log_damaged when the parts do not fit together.
    [[nodiscard]] auto build() -> result<raft>;

private:
    node_id self_;
    std::size_t copies_{1};
    std::size_t max_voters_{config::max_members};
    hard_state term_and_vote_;
    std::optional<raft_snapshot> snapshot_;
    log_position base_;
    std::vector<log_entry> entries_;
    time_point now_{};
    random_bits random_;
};

} // namespace apricotlb

#endif
