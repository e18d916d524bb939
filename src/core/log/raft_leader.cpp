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
    log_entry it{term_and_vote_.current, log_.last().index + log_index{1}, kind,
                 std::move(payload), std::move(members)};
    auto const index = it.index;
    actions_.entries_to_persist.push_back(it);
    log_.push(std::move(it));
    return index;
}

/// Follows the members in force.
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
    for (auto const& it : members)
    {
        if (it.id != self_ && !peers_.contains(it.id))
        {
            peer added;
            added.next = log_.last().index + log_index{1};
            added.last_contact = now;
            added.round_end = log_.last().index;
            added.round_start = now;
            peers_.emplace(it.id, std::move(added));
        }
    }
}

auto raft::send_heartbeats(time_point now) -> void
{
    next_heartbeat_ = now + config::raft_heartbeat;
    for (auto& [id, it] : peers_)
    {
        // A silent member gets no entries and no part of a snapshot until it
        // answers again.
        auto const silent =
            now - it.last_contact >= config::election_timeout_min;
        if (it.mode == peer_mode::replicate && silent)
        {
            it.mode = peer_mode::probe;
            it.next = it.match + log_index{1};
            it.inflight.clear();
        }
        if (it.mode != peer_mode::snapshot &&
            !log_.term_at(it.next - log_index{1}))
        {
            it.mode = peer_mode::snapshot;
            it.snapshot = snapshot_;
            it.offset = 0;
        }
        if (it.mode != peer_mode::snapshot)
        {
            send_append(now, id, it, {});
        }
        else
        {
            send_snapshot_chunk(now, id, it,
                                silent ? 0 : config::snapshot_chunk_bytes);
        }
    }
}

auto raft::send_append(time_point now, node_id const& to, peer const& it,
                       std::vector<log_entry> entries) -> void
{
    auto const prev = it.next - log_index{1};
    send(to, append_entries{term_and_vote_.current,
                            {prev, log_.term_at(prev).value_or(term{})},
                            std::move(entries),
                            commit_,
                            now});
}

auto raft::send_snapshot_chunk(time_point now, node_id const& to,
                               peer const& it, std::size_t max_bytes) -> void
{
    auto const& data = it.snapshot->data;
    send(to,
         install_snapshot{term_and_vote_.current, it.snapshot->info,
                          byte_count{static_cast<std::int64_t>(it.offset)},
                          byte_count{static_cast<std::int64_t>(data.size())},
                          data.substr(it.offset, max_bytes), now});
}

auto raft::replicate(time_point now, node_id const& to, peer& it) -> void
{
    while (it.mode == peer_mode::replicate && it.next <= log_.last().index &&
           it.inflight.size() < config::max_inflight_appends)
    {
        // Entries that are committed already can wait.
        auto const behind = it.next <= commit_;
        if (behind && !it.inflight.empty())
        {
            break;
        }
        auto entries = log_.slice(it.next, behind ? config::catch_up_bytes
                                                  : config::max_append_bytes);
        auto const last = entries.back().index;
        send_append(now, to, it, std::move(entries));
        it.next = last + log_index{1};
        it.inflight.push_back({last, now});
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
    auto& to = found->second;
    to.last_contact = now;
    to.acked_send_time =
        std::max(to.acked_send_time.value_or(sent_at), sent_at);
    return &to;
}

auto raft::handle(time_point now, node_id const& from,
                  append_entries_answer const& it) -> void
{
    auto* const found = answering_peer(now, from, it.in_term, it.sent_at);
    if (found == nullptr)
    {
        return;
    }
    auto& to = *found;
    if (it.accepted)
    {
        to.match = std::max(to.match, it.match);
        while (!to.inflight.empty() && to.inflight.front().last <= to.match)
        {
            to.inflight.pop_front();
        }
        auto const installed =
            to.snapshot && to.match >= to.snapshot->info.last.index;
        if (to.mode == peer_mode::probe || installed)
        {
            to.mode = peer_mode::replicate;
            to.next = to.match + log_index{1};
            to.snapshot.reset();
            to.inflight.clear();
        }
        to.next = std::max(to.next, to.match + log_index{1});
        promote_if_caught_up(now, from, to);
        advance_commit(now);
        if (role_ != raft_role::leader)
        {
            return;
        }
    }
    else if (to.mode != peer_mode::snapshot && it.prev > to.match &&
             it.prev < to.next)
    {
        // Late refusals of entries that were sent before a step back are
        // recognised by their position.
        to.mode = peer_mode::probe;
        to.inflight.clear();
        to.next =
            std::max(to.match, std::min(it.match, it.prev)) + log_index{1};
        if (log_.term_at(to.next - log_index{1}))
        {
            send_append(now, from, to, {});
        }
        else
        {
            to.mode = peer_mode::snapshot;
            to.snapshot = snapshot_;
            to.offset = 0;
            send_snapshot_chunk(now, from, to, config::snapshot_chunk_bytes);
        }
    }
    replicate(now, from, to);
}

auto raft::handle(time_point now, node_id const& from,
                  snapshot_answer const& it) -> void
{
    auto* const found = answering_peer(now, from, it.in_term, it.sent_at);
    if (found == nullptr)
    {
        return;
    }
    auto& to = *found;
    auto const received = static_cast<std::size_t>(it.received.value());
    if (to.snapshot && to.snapshot->info.last.index == it.last &&
        received != to.offset && received <= to.snapshot->data.size())
    {
        to.offset = received;
        send_snapshot_chunk(now, from, to, config::snapshot_chunk_bytes);
    }
}

auto raft::advance_commit(time_point now) -> void
{
    std::vector<log_index> matches;
    for (auto const& it : log_.members())
    {
        if (it.role == member_role::voter)
        {
            auto const found = peers_.find(it.id);
            matches.push_back(it.id == self_          ? durable_index_
                              : found != peers_.end() ? found->second.match
                                                      : log_index{});
        }
    }
    std::ranges::sort(matches, std::greater{});
    auto const needed = std::min(std::max(quorum(), copies_), matches.size());
    auto const it = std::min(matches[needed - 1], log_.last().index);
    // Entries of earlier terms are committed only by one of the own term.
    if (it <= commit_ || log_.term_at(it) != term_and_vote_.current)
    {
        return;
    }
    commit_to(it);
    if (!is_voter(self_) && log_.members_index() <= commit_)
    {
        become_follower(now, term_and_vote_.current, std::nullopt);
    }
}

auto raft::promote_if_caught_up(time_point now, node_id const& id, peer& it)
    -> void
{
    if (is_voter(id) || it.match < it.round_end || voter_count() >= max_voters_)
    {
        return;
    }
    auto const fast = now - it.round_start <= config::election_timeout_min;
    it.round_end = log_.last().index;
    it.round_start = now;
    if (fast && commit_ >= first_index_of_term_ &&
        log_.members_index() <= commit_)
    {
        auto members = log_.members();
        std::ranges::find(members, id, &raft_member::id)->role =
            member_role::voter;
        add_entry(entry_kind::membership, {}, std::move(members));
    }
}

template <class At>
auto raft::majority_time(time_point own, At at) const -> time_point
{
    std::vector<time_point> times;
    for (auto const& it : log_.members())
    {
        if (it.role == member_role::voter)
        {
            auto const found = peers_.find(it.id);
            times.push_back(it.id == self_          ? own
                            : found != peers_.end() ? at(found->second)
                                                    : time_point::min());
        }
    }
    std::ranges::sort(times, std::greater{});
    return times.empty() ? time_point::min() : times[quorum() - 1];
}

auto raft::has_lease(time_point now) const -> bool
{
    if (role_ != raft_role::leader || commit_ < first_index_of_term_)
    {
        return false;
    }
    auto const since = majority_time(
        now, [](peer const& it)
        { return it.acked_send_time.value_or(time_point{time_point::min()}); });
    return since != time_point::min() && now < since + config::leader_lease;
}

/// When the leader steps down unless another answer arrives.
auto raft::quorum_deadline() const -> time_point
{
    auto const since = majority_time(
        time_point::max() - config::election_timeout_min,
        [this](peer const& it)
        {
            return std::max(it.acked_send_time.value_or(leader_since_),
                            leader_since_);
        });
    return std::max(since, leader_since_) + config::election_timeout_min;
}

} // namespace apricotlb
