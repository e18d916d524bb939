/// Messages and persisted data of the replicated log.
#ifndef APRICOTLB_CORE_LOG_RAFT_MESSAGES_HPP
#define APRICOTLB_CORE_LOG_RAFT_MESSAGES_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace apricotlb
{

enum class member_role : std::uint8_t
{
    voter,
    learner, ///< receives the log but does not count towards majorities
};

template <>
inline constexpr auto last_enumerator<member_role> = member_role::learner;

/// One member of the group. Only the transport uses the address.
struct raft_member
{
    node_id id;
    url address;
    member_role role{member_role::voter};

    auto operator==(raft_member const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("id", &raft_member::id),
                          field("address", &raft_member::address),
                          field("role", &raft_member::role));
    }
};

using raft_members = std::vector<raft_member>;

enum class entry_kind : std::uint8_t
{
    noop,       ///< first entry of a leader's term
    proposal,   ///< a command of the state machine
    membership, ///< a new list of members
};

template <>
inline constexpr auto last_enumerator<entry_kind> = entry_kind::membership;

struct log_entry
{
    term in_term;
    log_index index;
    entry_kind kind{entry_kind::noop};
    std::string payload;  ///< the encoded command of a proposal
    raft_members members; ///< all members, for a membership entry

    auto operator==(log_entry const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("term", &log_entry::in_term),
                          field("index", &log_entry::index),
                          field("kind", &log_entry::kind),
                          field("payload", &log_entry::payload),
                          field("members", &log_entry::members));
    }
};

/// Index and term of one entry.
struct log_position
{
    log_index index;
    term in_term;

    auto operator==(log_position const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("index", &log_position::index),
                          field("term", &log_position::in_term));
    }
};

/// Term and vote. Both must survive a restart, so that a member never votes
/// twice in one term.
struct hard_state
{
    term current;
    std::optional<node_id> vote; ///< candidate voted for in this term

    auto operator==(hard_state const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("current", &hard_state::current),
                          field("vote", &hard_state::vote));
    }
};

/// Metadata of a snapshot: its last entry and the members at that entry.
struct snapshot_info
{
    log_position last;
    raft_members members;

    auto operator==(snapshot_info const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("last", &snapshot_info::last),
                          field("members", &snapshot_info::members));
    }
};

struct raft_snapshot
{
    snapshot_info info;
    std::string data; ///< the encoded state of the state machine

    auto operator==(raft_snapshot const&) const -> bool = default;
};

/// Requests a vote. A pre-vote asks whether the vote would be granted and does
/// not change the term of the voter.
struct request_vote
{
    term in_term;
    bool is_pre_vote{false};
    log_position last; ///< last entry of the candidate's log
    /// The leader of the term before, which has given up its lease and office
    /// to this candidate. Voters need not wait for the end of its lease.
    std::optional<node_id> handed_over_by{};

    static constexpr auto fields()
    {
        return field_list(field("term", &request_vote::in_term),
                          field("pre", &request_vote::is_pre_vote),
                          field("last", &request_vote::last),
                          field("by", &request_vote::handed_over_by));
    }
};

/// Earlier programs neither send nor read it.
template <>
inline constexpr std::size_t optional_fields<request_vote> = 1;

/// A granted pre-vote contains the term of the request; every other answer
/// contains the current term of the voter.
struct vote_answer
{
    term in_term;
    bool is_pre_vote{false};
    bool granted{false};

    static constexpr auto fields()
    {
        return field_list(field("term", &vote_answer::in_term),
                          field("pre", &vote_answer::is_pre_vote),
                          field("granted", &vote_answer::granted));
    }
};

/// Entries after prev. Without entries, a heartbeat.
struct append_entries
{
    term in_term;
    log_position prev;
    std::vector<log_entry> entries;
    log_index commit_index;
    /// On the leader's clock. The answer returns it, so that the leader can
    /// compute the end of its lease.
    time_point sent_at;

    static constexpr auto fields()
    {
        return field_list(field("term", &append_entries::in_term),
                          field("prev", &append_entries::prev),
                          field("entries", &append_entries::entries),
                          field("commit", &append_entries::commit_index),
                          field("sent_at", &append_entries::sent_at));
    }
};

struct append_entries_answer
{
    term in_term;
    bool accepted{false};
    log_index prev; ///< of the request, to recognise a delayed rejection
    /// If accepted, all entries up to this index are durable. Otherwise, the
    /// index of the entry before those that the leader should try next.
    log_index match;
    time_point sent_at; ///< of the request

    static constexpr auto fields()
    {
        return field_list(field("term", &append_entries_answer::in_term),
                          field("accepted", &append_entries_answer::accepted),
                          field("prev", &append_entries_answer::prev),
                          field("match", &append_entries_answer::match),
                          field("sent_at", &append_entries_answer::sent_at));
    }
};

/// One chunk of a snapshot.
struct install_snapshot
{
    term in_term;
    snapshot_info info;
    byte_count offset; ///< of data in the snapshot
    byte_count total;  ///< size of the snapshot
    std::string data;
    time_point sent_at;

    static constexpr auto fields()
    {
        return field_list(field("term", &install_snapshot::in_term),
                          field("info", &install_snapshot::info),
                          field("offset", &install_snapshot::offset),
                          field("total", &install_snapshot::total),
                          field("data", &install_snapshot::data),
                          field("sent_at", &install_snapshot::sent_at));
    }
};

/// Reports the bytes of a snapshot received so far. The last chunk is answered
/// by an append_entries_answer once the snapshot is durable.
struct snapshot_answer
{
    term in_term;
    log_index last; ///< last entry of the snapshot
    byte_count received;
    time_point sent_at; ///< of the request

    static constexpr auto fields()
    {
        return field_list(field("term", &snapshot_answer::in_term),
                          field("last", &snapshot_answer::last),
                          field("received", &snapshot_answer::received),
                          field("sent_at", &snapshot_answer::sent_at));
    }
};

/// From a follower to another one: asks for an answer at once, to measure
/// whether the sender would have the lease as the leader. From the leader: asks
/// to measure this. To the leader: the result.
struct reach_probe
{
    term in_term;
    time_point sent_at;       ///< on the sender's clock; the answer returns it
    duration measured{};      ///< in a result: how long the sender has measured
    duration without_lease{}; ///< of it, the time without answers for a lease

    static constexpr auto fields()
    {
        return field_list(field("term", &reach_probe::in_term),
                          field("sent_at", &reach_probe::sent_at),
                          field("measured", &reach_probe::measured),
                          field("without", &reach_probe::without_lease));
    }
};

struct reach_answer
{
    term in_term;
    time_point sent_at; ///< of the probe

    static constexpr auto fields()
    {
        return field_list(field("term", &reach_answer::in_term),
                          field("sent_at", &reach_answer::sent_at));
    }
};

/// The leader of this term has given up its lease and its office. The receiver
/// stands for election at once.
struct timeout_now
{
    term in_term;

    static constexpr auto fields()
    {
        return field_list(field("term", &timeout_now::in_term));
    }
};

/// The order of the alternatives is part of the protocol: add new ones at the
/// end.
using raft_message =
    std::variant<request_vote, vote_answer, append_entries,
                 append_entries_answer, install_snapshot, snapshot_answer,
                 reach_probe, reach_answer, timeout_now>;

} // namespace apricotlb

#endif
