/// Raft: elections with pre-vote and check-quorum, pipelined replication,
/// snapshots, one membership change at a time, reads by leader lease.
///
/// The class raft performs no I/O and reads no clock: each call takes the
/// current time and returns the actions for the driver. raft.cpp implements
/// the public interface; raft_election.cpp, raft_leader.cpp,
/// raft_follower.cpp and raft_succession.cpp implement the handling of
/// messages.
#ifndef APRICOTLB_CORE_LOG_RAFT_HPP
#define APRICOTLB_CORE_LOG_RAFT_HPP

#include "core/log/raft_log.hpp"
#include "core/log/raft_messages.hpp"
#include "core/log/reach_meter.hpp"
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
#include <string_view>
#include <utility>
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

/// Why a leader has left its office.
enum class office_end : std::uint8_t
{
    no_majority, ///< no majority of the voters has answered for too long
    no_lease,    ///< a majority has answered too late for a lease for too long
    higher_term, ///< another member has a higher term
    removed,     ///< the group has removed this member
    disk_full,
    resigned,
    handed_over, ///< to a member that would hold the lease for longer
};

[[nodiscard]] auto name_of(office_end it) -> std::string_view;

/// Describes an office that has ended.
struct ended_office
{
    office_end reason{office_end::resigned};
    duration length{};
    /// Time since the sending of the newest message that a majority answered.
    duration majority_silence{};
    /// Voters that have answered nothing sent within election_timeout_min.
    std::vector<node_id> silent;
};

struct addressed_message
{
    node_id to;
    raft_message message;
};

/// Actions that one call requests from the driver. The driver passes
/// term_and_vote and entries_to_persist to the store, then sends messages. It
/// sends messages_after_sync once everything passed to the store so far is
/// durable. It installs a snapshot before it applies committed entries.
struct raft_actions
{
    std::optional<hard_state> term_and_vote;
    /// In order of index. An entry replaces a stored entry of the same index
    /// and removes all stored entries after it.
    std::vector<log_entry> entries_to_persist;
    std::vector<addressed_message> messages;
    std::vector<addressed_message> messages_after_sync;
    std::optional<raft_snapshot> install; ///< replaces the state and the log
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
    url address; ///< for add_learner only
};

/// Replication status of one member, as recorded by the leader.
struct member_status
{
    raft_member member;
    log_index match;           ///< last entry known to be durable on the member
    log_index lag;             ///< number of entries behind the leader's log
    time_point last_contact{}; ///< unset for the leader itself
};

struct raft_status
{
    raft_role role{raft_role::follower};
    term in_term;
    std::optional<node_id> leader;
    log_index commit_index;
    log_index last;                     ///< index of the last entry of the log
    std::vector<member_status> members; ///< match and lag on the leader only
    std::size_t max_voters{0};          ///< learners are promoted up to it
};

/// One member of the group.
class raft
{
public:
    class builder;

    /// Time without an answer of a majority after which a leader resigns. Its
    /// lease ends earlier, with config::leader_lease. Three packets in a row
    /// that are lost stall a TCP connection for 1.4 s (retransmissions after
    /// 200, 400 and 800 ms); an election over the same link takes no less.
    static constexpr duration max_majority_silence = seconds{2};
    /// Time without a lease after which a leader resigns although a majority
    /// answers, late: nothing is served meanwhile, and the leases of workers
    /// run out.
    static constexpr duration max_time_without_lease = seconds{4};

    /// A leader that had no lease for this share of the last seconds hands its
    /// office over to a voter that would have had it for nearly all of them.
    /// Where all links are alike, so are the voters: a change of leader gains
    /// nothing there, and stops the service.
    static constexpr permille min_share_without_lease{250};
    static constexpr permille max_successor_share{25};
    /// From this time without a lease in the window on, voters measure whether
    /// they would have one.
    static constexpr duration max_unmeasured_time = milliseconds{500};
    /// Voters measure for this long after they were last asked to: what the
    /// leader sends may stall.
    static constexpr duration measuring_time = reach_meter::window;
    /// Time between two requests to measure, and between two results.
    static constexpr duration reach_interval = seconds{1};
    /// For how long the result of a voter counts.
    static constexpr duration result_validity = seconds{2};
    /// A leader that has handed over stands for election this much later than
    /// others, so that the two do not trade offices.
    static constexpr duration hand_over_back_off = seconds{2};

    /// Handles expired timeouts. random determines the next election timeout.
    auto tick(time_point now, random_bits random) -> raft_actions;
    /// The time at which tick is due next.
    [[nodiscard]] auto next_tick() const -> time_point;
    auto receive(time_point now, node_id const& from, raft_message message)
        -> raft_actions;

    /// Appends a command to the leader's log. Several proposals may precede
    /// one flush, which returns the actions for all of them.
    auto propose(std::string payload) -> result<log_index>;
    /// Appends a membership change to the leader's log; flush returns the
    /// actions.
    auto change_member(member_change const& change) -> result<log_index>;
    auto flush(time_point now) -> raft_actions;
    /// Called when the store begins to make all that was passed to it so far
    /// durable. One sync at a time is in progress.
    auto sync_started() -> void;
    /// Called once what the last started sync covers is durable.
    auto persisted(time_point now) -> raft_actions;
    /// While the store is not writable, this member votes for nobody and is no
    /// candidate; a leader steps down, unless it is the only voter.
    auto set_writable(time_point now, bool is_writable) -> raft_actions;
    /// Makes a leader a follower. The next leader, which may be this member,
    /// has a higher term.
    auto step_down(time_point now) -> raft_actions;

    /// Metadata of a snapshot of the state at a committed index.
    [[nodiscard]] auto describe_snapshot(log_index last) const -> snapshot_info;
    /// Records a durable snapshot and discards the entries that it replaces.
    /// Returns the index before the oldest entry that is still needed.
    auto compact(raft_snapshot snapshot) -> log_index;

    /// True while this leader holds its lease: no other member can have been
    /// elected, so reads of the applied state are linearizable.
    [[nodiscard]] auto has_lease(time_point now) const -> bool;
    /// When the lease ends unless more answers arrive; time_point::min() if
    /// this member holds none.
    [[nodiscard]] auto lease_until() const -> time_point;
    /// Returns the longest round trip of a heartbeat to a majority since the
    /// last call. It is at least the time for which a majority has left a
    /// heartbeat unanswered.
    [[nodiscard]] auto take_longest_round_trip(time_point now) -> duration;
    [[nodiscard]] auto role() const -> raft_role { return role_; }
    [[nodiscard]] auto leader() const -> std::optional<node_id> const&
    {
        return leader_;
    }
    [[nodiscard]] auto current_term() const -> term
    {
        return term_and_vote_.current;
    }
    /// When the last message of a leader arrived, or when this member started.
    [[nodiscard]] auto last_leader_contact() const -> time_point
    {
        return last_leader_contact_;
    }
    /// Returns the office that has ended since the last call, if any.
    [[nodiscard]] auto take_ended_office() -> std::optional<ended_office>
    {
        return std::exchange(ended_office_, std::nullopt);
    }
    [[nodiscard]] auto commit_index() const -> log_index { return commit_; }
    [[nodiscard]] auto log() const -> raft_log const& { return log_; }
    [[nodiscard]] auto status() const -> raft_status;

private:
    raft() = default;

    /// How the leader replicates to a peer.
    enum class peer_mode : std::uint8_t
    {
        probe,     ///< searches for the last entry that both logs share
        replicate, ///< pipelines entries without waiting for answers
        snapshot,  ///< sends a snapshot in chunks
    };

    struct sent_append
    {
        log_index last;
        time_point sent_at;
    };

    /// Replication progress of another member, kept by the leader.
    struct peer
    {
        peer_mode mode{peer_mode::probe};
        log_index next;  ///< next entry to send
        log_index match; ///< last entry known to be durable on the peer
        std::deque<sent_append> inflight;
        /// When the newest message that the peer has answered was sent.
        std::optional<time_point> acked_send_time;
        time_point last_contact{};
        /// The snapshot being sent; a newer one may exist already.
        std::shared_ptr<raft_snapshot const> snapshot;
        std::size_t offset{0}; ///< bytes of the snapshot that were received
        /// A learner has caught up when, within one election timeout, it
        /// replicates all entries that the log had at the start of a round.
        log_index round_end;
        time_point round_start{};
        /// What the peer has measured as a possible successor, and when it
        /// said so.
        duration measured{};
        duration without_lease{};
        time_point measured_at{};
    };

    /// A follower measures whether it would have the lease as the leader.
    struct reach_trial
    {
        reach_meter meter;
        time_point ends_at{};
        time_point next_probe{};
        time_point next_report{};
        /// When the newest probe that each voter has answered was sent.
        std::map<node_id, time_point> answered;
    };

    /// A snapshot that has been received in part.
    struct incoming_snapshot
    {
        snapshot_info info;
        std::string data;
    };

    // raft_election.cpp
    auto start_pre_vote(time_point now) -> void;
    auto start_election(time_point now,
                        std::optional<node_id> const& handed_over_by = {})
        -> void;
    auto become_leader(time_point now) -> void;
    auto become_follower(time_point now, term in_term,
                         std::optional<node_id> leader,
                         office_end reason = office_end::higher_term) -> void;
    [[nodiscard]] auto describe_office(time_point now, office_end reason) const
        -> ended_office;
    auto record_leader_contact(time_point now, node_id const& leader) -> void;
    auto handle(time_point now, node_id const& from,
                request_vote const& request) -> void;
    auto handle(time_point now, node_id const& from, vote_answer const& answer)
        -> void;
    [[nodiscard]] auto must_refuse_votes(time_point now) const -> bool;
    /// True if the leader that this voter follows has given up its lease in
    /// favour of the candidate.
    [[nodiscard]] auto is_released(request_vote const& request) const -> bool;

    // raft_succession.cpp
    auto handle(time_point now, node_id const& from, reach_probe const& probe)
        -> void;
    auto handle(time_point now, node_id const& from, reach_answer const& answer)
        -> void;
    auto handle(time_point now, node_id const& from, timeout_now const& request)
        -> void;
    /// Sends a probe to all voters but this member and the leader that it
    /// follows.
    auto send_probes(time_point now) -> void;
    auto continue_trial(time_point now) -> void;
    /// True if a majority answers without this leader: nobody could have the
    /// lease without it otherwise.
    [[nodiscard]] auto others_may_agree(time_point now) const -> bool;
    /// The voter to hand the office over to, if that is due.
    [[nodiscard]] auto find_successor(time_point now) const
        -> std::optional<node_id>;
    auto hand_over(time_point now, node_id const& successor) -> void;

    // raft_leader.cpp
    auto handle(time_point now, node_id const& from,
                append_entries_answer const& answer) -> void;
    auto handle(time_point now, node_id const& from,
                snapshot_answer const& answer) -> void;
    auto add_entry(entry_kind kind, std::string payload, raft_members members)
        -> log_index;
    auto update_peers(time_point now) -> void;
    auto replicate(time_point now, node_id const& to, peer& follower) -> void;
    /// True if the log does not hold the entries that the peer needs next.
    [[nodiscard]] auto needs_snapshot(peer const& follower) const -> bool;
    auto begin_snapshot(peer& follower) const -> void;
    auto send_heartbeats(time_point now) -> void;
    auto send_append(time_point now, node_id const& to, peer const& follower,
                     std::vector<log_entry> entries) -> void;
    auto send_snapshot_chunk(time_point now, node_id const& to,
                             peer const& follower, std::size_t max_bytes)
        -> void;
    /// Records that a peer answered and returns the peer; null when the answer
    /// is not for the current term of this leader. A higher term makes this
    /// member a follower.
    auto answering_peer(time_point now, node_id const& from, term in_term,
                        time_point sent_at) -> peer*;
    [[nodiscard]] auto required_copies(std::size_t lost) const -> std::size_t;
    auto advance_commit(time_point now) -> void;
    auto promote_if_caught_up(time_point now, node_id const& id, peer& follower)
        -> void;
    /// The latest time that a majority of the voters has reached. time_of
    /// returns the time of another voter; own is that of this member.
    template <class TimeOf>
    [[nodiscard]] auto majority_time(time_point own, TimeOf time_of) const
        -> time_point;
    /// When a majority of the voters last answered: the sending time of the
    /// newest message that each of them has answered, or the start of the
    /// office.
    [[nodiscard]] auto last_majority_answer(time_point own) const -> time_point;
    /// When the lease ends unless more answers arrive; time_point::min()
    /// without a majority.
    [[nodiscard]] auto lease_end() const -> time_point;
    /// When the lease would end that the answers to trial_ would give.
    [[nodiscard]] auto trial_lease_end() const -> time_point;
    [[nodiscard]] auto quorum_deadline() const -> time_point;
    [[nodiscard]] auto lease_deadline() const -> time_point;

    // raft_follower.cpp
    auto handle(time_point now, node_id const& from, append_entries request)
        -> void;
    auto handle(time_point now, node_id const& from,
                install_snapshot const& chunk) -> void;
    [[nodiscard]] auto is_valid(append_entries const& request) const -> bool;
    auto store_new_entries(std::vector<log_entry> entries) -> void;

    auto commit_to(log_index index) -> void;
    [[nodiscard]] auto is_voter(node_id const& id) const -> bool;
    [[nodiscard]] auto voter_count() const -> std::size_t;
    [[nodiscard]] auto quorum() const -> std::size_t;
    auto send(node_id const& to, raft_message message) -> void;
    auto send_after_sync(node_id const& to, raft_message message) -> void;
    /// Sends a message that promises nothing but the current term: at once if
    /// the term is durable.
    auto send_in_durable_term(node_id const& to, raft_message message) -> void;
    auto take_actions() -> raft_actions;

    node_id self_;
    std::size_t copies_{1};
    std::size_t max_voters_{config::max_members};
    hard_state term_and_vote_;
    term durable_term_; ///< the last one that is durable on this member
    term syncing_term_; ///< durable once the started sync has ended
    raft_log log_;
    std::shared_ptr<raft_snapshot const> snapshot_;
    log_index commit_;
    bool is_writable_{true};
    raft_role role_{raft_role::follower};
    std::optional<node_id> leader_;
    raft_actions actions_;

    /// Last message of a leader, or the start of this member. The lease of a
    /// leader may rely on this member until election_timeout_min after it.
    time_point last_leader_contact_{};
    time_point election_deadline_{};
    duration election_timeout_{}; ///< drawn at random
    std::set<node_id> pre_votes_;
    std::set<node_id> votes_; ///< in the current term
    std::optional<incoming_snapshot> incoming_;
    std::optional<reach_trial> trial_; ///< of a follower

    // Used on the leader only, except durable_index_ and syncing_index_.
    std::map<node_id, peer> peers_;
    time_point leader_since_{};
    time_point last_tick_{};
    time_point last_lease_{}; ///< when this leader was last seen to hold it
    /// Of this office. Voters measure no commits, so the time to the first one
    /// does not count here either.
    reach_meter reach_;
    time_point next_reach_request_{};
    duration longest_round_trip_{};
    std::optional<ended_office> ended_office_;
    time_point next_heartbeat_{};
    log_index durable_index_; ///< last entry that is durable on this member
    log_index syncing_index_; ///< durable once the started sync has ended
    log_index first_index_of_term_; ///< the no-op entry of the current term
};

/// Builds a member from the contents of its store.
class raft::builder
{
public:
    auto self(node_id it) -> builder&;
    /// Minimum number of voters on which an entry must be durable before it is
    /// committed; all voters, if there are fewer. A voter that is silent for
    /// config::voter_removal_delay reduces it. A majority is always required.
    auto copies(std::size_t n) -> builder&;
    /// The leader promotes a learner that has caught up while the group has
    /// fewer voters than this.
    auto max_voters(std::size_t n) -> builder&;
    auto term_and_vote(hard_state it) -> builder&;
    /// A new group starts from a snapshot at index 0 that lists its members. A
    /// member that joins an existing group starts without a snapshot.
    auto snapshot(raft_snapshot it) -> builder&;
    /// Entries after base.
    auto log(log_position base, std::vector<log_entry> entries) -> builder&;
    /// The start counts as contact with a leader: just before a restart the
    /// member may have answered a leader whose lease still relies on it.
    auto started(time_point now, random_bits random) -> builder&;

    /// The member, or log_damaged when the log has a gap or does not continue
    /// the snapshot.
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
