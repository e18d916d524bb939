#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace apricotlb
{

auto raft::add_entry(entry_kind kind, std::string payload, raft_members members)
    -> log_index
{
    log_entry entry{term_and_vote_.current, log_.last().index + log_index{1},
                    kind, std::move(payload), std::move(members)};
    auto const index = entry.index;
    actions_.entries_to_persist.push_back(entry);
    log_.push(std::move(entry));
    return index;
}

/// Adds and removes peers so that they match the current membership.
auto raft::update_peers(time_point now) -> void
{
    auto const& members = log_.members();
    std::erase_if(peers_,
                  [&members](auto const& it)
                  {
                      return std::ranges::find(members, it.first,
                                               &raft_member::id) ==
                             members.end();
                  });
    for (auto const& member : members)
    {
        if (member.id != self_ && !peers_.contains(member.id))
        {
            peer added;
            added.next = log_.last().index + log_index{1};
            added.last_contact = now;
            added.round_end = log_.last().index;
            added.round_start = now;
            peers_.emplace(member.id, std::move(added));
        }
    }
}

auto raft::send_heartbeats(time_point now) -> void
{
    next_heartbeat_ = now + config::raft_heartbeat;
    for (auto& [id, follower] : peers_)
    {
        // A member that has not answered for election_timeout_min receives no
        // entries and no snapshot data until it answers again.
        auto const is_silent =
            now - follower.last_contact >= config::election_timeout_min;
        if (follower.mode == peer_mode::replicate && is_silent)
        {
            follower.mode = peer_mode::probe;
            follower.next = follower.match + log_index{1};
            follower.inflight.clear();
        }
        if (follower.mode != peer_mode::snapshot && needs_snapshot(follower))
        {
            begin_snapshot(follower);
        }
        if (follower.mode != peer_mode::snapshot)
        {
            send_append(now, id, follower, {});
        }
        else
        {
            send_snapshot_chunk(now, id, follower,
                                is_silent ? 0 : config::snapshot_chunk_bytes);
        }
    }
}

auto raft::send_append(time_point now, node_id const& to, peer const& follower,
                       std::vector<log_entry> entries) -> void
{
    auto const prev = follower.next - log_index{1};
    send(to, append_entries{term_and_vote_.current,
                            {prev, log_.term_at(prev).value_or(term{})},
                            std::move(entries),
                            commit_,
                            now});
}

auto raft::send_snapshot_chunk(time_point now, node_id const& to,
                               peer const& follower, std::size_t max_bytes)
    -> void
{
    auto const& data = follower.snapshot->data;
    send(to, install_snapshot{
                 term_and_vote_.current, follower.snapshot->info,
                 byte_count{static_cast<std::int64_t>(follower.offset)},
                 byte_count{static_cast<std::int64_t>(data.size())},
                 data.substr(follower.offset, max_bytes), now});
}

auto raft::needs_snapshot(peer const& follower) const -> bool
{
    return !log_.term_at(follower.next - log_index{1});
}

auto raft::begin_snapshot(peer& follower) const -> void
{
    follower.mode = peer_mode::snapshot;
    follower.inflight.clear();
    follower.snapshot = snapshot_;
    follower.offset = 0;
}

auto raft::replicate(time_point now, node_id const& to, peer& follower) -> void
{
    if (follower.mode == peer_mode::replicate && needs_snapshot(follower))
    {
        // The log was compacted while the follower was catching up.
        begin_snapshot(follower);
        send_snapshot_chunk(now, to, follower, config::snapshot_chunk_bytes);
        return;
    }
    while (follower.mode == peer_mode::replicate &&
           follower.next <= log_.last().index &&
           follower.inflight.size() < config::max_inflight_appends)
    {
        // Entries that are already committed are sent in one message per round
        // trip, so that a member that catches up does not delay new entries.
        auto const is_catching_up = follower.next <= commit_;
        if (is_catching_up && !follower.inflight.empty())
        {
            break;
        }
        auto entries = log_.slice(follower.next,
                                  is_catching_up ? config::catch_up_bytes
                                                 : config::max_append_bytes);
        auto const last = entries.back().index;
        send_append(now, to, follower, std::move(entries));
        follower.next = last + log_index{1};
        follower.inflight.push_back({last, now});
    }
}

auto raft::answering_peer(time_point now, node_id const& from, term in_term,
                          time_point sent_at) -> peer*
{
    if (in_term > term_and_vote_.current)
    {
        become_follower(now, in_term, std::nullopt);
        return nullptr;
    }
    auto const found = peers_.find(from);
    if (role_ != raft_role::leader || in_term != term_and_vote_.current ||
        found == peers_.end())
    {
        return nullptr;
    }
    auto& follower = found->second;
    auto const before = last_majority_answer(now);
    follower.last_contact = now;
    follower.acked_send_time =
        std::max(follower.acked_send_time.value_or(sent_at), sent_at);
    if (auto const newest = last_majority_answer(now); newest > before)
    {
        longest_round_trip_ = std::max(longest_round_trip_, now - newest);
    }
    last_lease_ = has_lease(now) ? now : last_lease_;
    reach_.update(now, lease_end());
    return &follower;
}

auto raft::handle(time_point now, node_id const& from,
                  append_entries_answer const& answer) -> void
{
    auto* const sender =
        answering_peer(now, from, answer.in_term, answer.sent_at);
    if (sender == nullptr)
    {
        return;
    }
    auto& follower = *sender;
    if (answer.accepted)
    {
        follower.match = std::max(follower.match, answer.match);
        while (!follower.inflight.empty() &&
               follower.inflight.front().last <= follower.match)
        {
            follower.inflight.pop_front();
        }
        auto const installed =
            follower.snapshot &&
            follower.match >= follower.snapshot->info.last.index;
        if (follower.mode == peer_mode::probe || installed)
        {
            follower.mode = peer_mode::replicate;
            follower.next = follower.match + log_index{1};
            follower.snapshot.reset();
            follower.inflight.clear();
        }
        follower.next = std::max(follower.next, follower.match + log_index{1});
        promote_if_caught_up(now, from, follower);
        advance_commit(now);
        if (role_ != raft_role::leader)
        {
            return;
        }
    }
    else if (follower.mode != peer_mode::snapshot &&
             answer.prev > follower.match && answer.prev < follower.next)
    {
        // A rejection of a message that was sent before next was decreased
        // arrives late; its prev is then outside of (match, next).
        follower.mode = peer_mode::probe;
        follower.inflight.clear();
        follower.next =
            std::max(follower.match, std::min(answer.match, answer.prev)) +
            log_index{1};
        if (needs_snapshot(follower))
        {
            begin_snapshot(follower);
            send_snapshot_chunk(now, from, follower,
                                config::snapshot_chunk_bytes);
        }
        else
        {
            send_append(now, from, follower, {});
        }
    }
    replicate(now, from, follower);
}

auto raft::handle(time_point now, node_id const& from,
                  snapshot_answer const& answer) -> void
{
    auto* const sender =
        answering_peer(now, from, answer.in_term, answer.sent_at);
    if (sender == nullptr)
    {
        return;
    }
    auto& follower = *sender;
    auto const received = static_cast<std::size_t>(answer.received.value());
    if (follower.snapshot &&
        follower.snapshot->info.last.index == answer.last &&
        received != follower.offset &&
        received <= follower.snapshot->data.size())
    {
        follower.offset = received;
        send_snapshot_chunk(now, from, follower, config::snapshot_chunk_bytes);
    }
}

/// Number of voters on which an entry must be durable. A lost voter is one of
/// the losses that the copies are for. Without it, a group that has not yet all
/// its voters could commit nothing, not even the change that replaces it.
auto raft::required_copies(std::size_t lost) const -> std::size_t
{
    return std::max(quorum(),
                    std::min(copies_, voter_count()) - std::min(copies_, lost));
}

auto raft::advance_commit(time_point now) -> void
{
    auto const is_lost = [this, now](node_id const& id)
    {
        auto const found = peers_.find(id);
        return found != peers_.end() &&
               now - found->second.last_contact >= config::voter_removal_delay;
    };
    std::vector<node_id> voters;
    for (auto const& member : log_.members())
    {
        if (member.role == member_role::voter)
        {
            voters.push_back(member.id);
        }
    }
    auto const lost =
        static_cast<std::size_t>(std::ranges::count_if(voters, is_lost));
    auto const needed = required_copies(lost);
    // The copy of a voter that makes one copy less enough may be lost with it.
    auto const leaves_out_lost = needed < required_copies(0);
    std::vector<log_index> matches;
    for (auto const& id : voters)
    {
        auto const found = peers_.find(id);
        auto const counts =
            found != peers_.end() && !(leaves_out_lost && is_lost(id));
        matches.push_back(id == self_ ? durable_index_
                          : counts    ? found->second.match
                                      : log_index{});
    }
    std::ranges::sort(matches, std::greater{});
    auto const index = std::min(matches[needed - 1], log_.last().index);
    // Entries of earlier terms are committed only together with an entry of the
    // current term (section 5.4.2 of the Raft paper).
    if (index <= commit_ || log_.term_at(index) != term_and_vote_.current)
    {
        return;
    }
    commit_to(index);
    if (!is_voter(self_) && log_.members_index() <= commit_)
    {
        become_follower(now, term_and_vote_.current, std::nullopt,
                        office_end::removed);
    }
}

auto raft::promote_if_caught_up(time_point now, node_id const& id,
                                peer& follower) -> void
{
    if (is_voter(id) || follower.match < follower.round_end ||
        voter_count() >= max_voters_)
    {
        return;
    }
    auto const has_caught_up =
        now - follower.round_start <= config::election_timeout_min;
    follower.round_end = log_.last().index;
    follower.round_start = now;
    if (has_caught_up && commit_ >= first_index_of_term_ &&
        log_.members_index() <= commit_)
    {
        auto members = log_.members();
        std::ranges::find(members, id, &raft_member::id)->role =
            member_role::voter;
        add_entry(entry_kind::membership, {}, std::move(members));
    }
}

template <class TimeOf>
auto raft::majority_time(time_point own, TimeOf time_of) const -> time_point
{
    std::vector<time_point> times;
    for (auto const& member : log_.members())
    {
        if (member.role == member_role::voter)
        {
            times.push_back(member.id == self_ ? own : time_of(member.id));
        }
    }
    std::ranges::sort(times, std::greater{});
    return times.empty() ? time_point::min() : times[quorum() - 1];
}

auto raft::lease_end() const -> time_point
{
    auto const since =
        majority_time(time_point::max() - config::leader_lease,
                      [this](node_id const& id)
                      {
                          auto const found = peers_.find(id);
                          return found == peers_.end()
                                     ? time_point::min()
                                     : found->second.acked_send_time.value_or(
                                           time_point{time_point::min()});
                      });
    return since == time_point::min() ? since : since + config::leader_lease;
}

auto raft::trial_lease_end() const -> time_point
{
    auto const since = majority_time(time_point::max() - config::leader_lease,
                                     [this](node_id const& id)
                                     {
                                         auto const found =
                                             trial_->answered.find(id);
                                         return found == trial_->answered.end()
                                                    ? time_point::min()
                                                    : found->second;
                                     });
    return since == time_point::min() ? since : since + config::leader_lease;
}

auto raft::lease_until() const -> time_point
{
    auto const has_committed =
        role_ == raft_role::leader && commit_ >= first_index_of_term_;
    return has_committed ? lease_end() : time_point::min();
}

auto raft::has_lease(time_point now) const -> bool
{
    return now < lease_until();
}

auto raft::take_longest_round_trip(time_point now) -> duration
{
    auto const taken = std::exchange(longest_round_trip_, duration{});
    if (role_ != raft_role::leader)
    {
        return taken;
    }
    // The next heartbeat followed the newest answered one within this time.
    auto const open =
        now - last_majority_answer(now) - duration{config::raft_heartbeat};
    return std::max(taken, open);
}

auto raft::last_majority_answer(time_point own) const -> time_point
{
    auto const since = majority_time(
        own,
        [this](node_id const& id)
        {
            auto const found = peers_.find(id);
            return found == peers_.end()
                       ? time_point::min()
                       : std::max(found->second.acked_send_time.value_or(
                                      leader_since_),
                                  leader_since_);
        });
    return std::max(since, leader_since_);
}

/// Check-quorum: the leader steps down at this time unless more answers arrive.
auto raft::quorum_deadline() const -> time_point
{
    return last_majority_answer(time_point::max() - max_majority_silence) +
           max_majority_silence;
}

auto raft::lease_deadline() const -> time_point
{
    return last_lease_ + max_time_without_lease;
}

auto raft::describe_office(time_point now, office_end reason) const
    -> ended_office
{
    ended_office out{
        reason, now - leader_since_, now - last_majority_answer(now), {}};
    for (auto const& member : log_.members())
    {
        auto const found = peers_.find(member.id);
        if (member.role == member_role::voter && found != peers_.end() &&
            now - found->second.acked_send_time.value_or(leader_since_) >=
                config::election_timeout_min)
        {
            out.silent.push_back(member.id);
        }
    }
    return out;
}

} // namespace apricotlb
