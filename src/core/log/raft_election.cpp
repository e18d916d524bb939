#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <utility>

namespace apricotlb
{

namespace
{

auto is_behind(log_position a, log_position b) -> bool
{
    return a.in_term < b.in_term ||
           (a.in_term == b.in_term && a.index < b.index);
}

} // namespace

/// A leader may still count on the promise of this voter not to elect another.
auto raft::may_not_vote(time_point now) const -> bool
{
    return role_ == raft_role::leader ||
           now < heard_at_ + config::election_timeout_min;
}

auto raft::start_pre_vote(time_point now) -> void
{
    role_ = raft_role::pre_candidate;
    votes_ = {self_};
    if (votes_.size() >= quorum())
    {
        start_election(now);
        return;
    }
    for (auto const& it : log_.members())
    {
        if (it.role == member_role::voter && it.id != self_)
        {
            send(it.id,
                 request_vote{hard_.current + term{1}, true, log_.last()});
        }
    }
}

auto raft::start_election(time_point now) -> void
{
    role_ = raft_role::candidate;
    ++hard_.current;
    hard_.vote = self_;
    actions_.hard = hard_;
    votes_ = {self_};
    // The own vote must be durable before it counts: the requests wait for
    // the sync. A group of one commits nothing before that sync either.
    if (quorum() == 1)
    {
        become_leader(now);
        return;
    }
    for (auto const& it : log_.members())
    {
        if (it.role == member_role::voter && it.id != self_)
        {
            send_after_sync(it.id,
                            request_vote{hard_.current, false, log_.last()});
        }
    }
}

auto raft::become_leader(time_point now) -> void
{
    role_ = raft_role::leader;
    leader_ = self_;
    leader_since_ = now;
    peers_.clear();
    update_peers(now);
    first_of_term_ = add_entry(entry_kind::noop, {}, {});
    heartbeat(now);
}

auto raft::become_follower(time_point now, term in_term,
                           std::optional<node_id> leader) -> void
{
    if (role_ == raft_role::leader)
    {
        election_at_ = now + election_delay_;
    }
    if (in_term > hard_.current)
    {
        hard_ = {in_term, std::nullopt};
        actions_.hard = hard_;
    }
    role_ = raft_role::follower;
    leader_ = std::move(leader);
    peers_.clear();
    votes_.clear();
}

auto raft::heard_leader(time_point now, node_id const& leader) -> void
{
    heard_at_ = now;
    election_at_ = now + election_delay_;
    leader_ = leader;
}

auto raft::on(time_point now, node_id const& from, request_vote const& it)
    -> void
{
    auto const answer = [&](bool granted)
    {
        auto const in_term = it.pre && granted ? it.in_term : hard_.current;
        send_after_sync(from, vote_answer{in_term, it.pre, granted});
    };
    // Without a change of term: a member that was cut off must not disturb a
    // leader that the others hear.
    if (may_not_vote(now) || it.in_term < hard_.current)
    {
        answer(false);
        return;
    }
    auto const behind = is_behind(it.last, log_.last());
    if (it.pre)
    {
        answer(!behind && it.in_term > hard_.current);
        return;
    }
    if (it.in_term > hard_.current)
    {
        become_follower(now, it.in_term, std::nullopt);
    }
    auto const granted = !behind && (!hard_.vote || *hard_.vote == from);
    if (granted)
    {
        hard_.vote = from;
        actions_.hard = hard_;
        election_at_ = now + election_delay_;
    }
    answer(granted);
}

auto raft::on(time_point now, node_id const& from, vote_answer const& it)
    -> void
{
    if (!it.granted && it.in_term > hard_.current)
    {
        become_follower(now, it.in_term, std::nullopt);
        return;
    }
    auto const expected =
        it.pre ? raft_role::pre_candidate : raft_role::candidate;
    auto const in_term = it.pre ? hard_.current + term{1} : hard_.current;
    if (!it.granted || role_ != expected || it.in_term != in_term ||
        !is_voter(from))
    {
        return;
    }
    votes_.insert(from);
    if (votes_.size() < quorum())
    {
        return;
    }
    if (it.pre)
    {
        start_election(now);
    }
    else
    {
        become_leader(now);
    }
}

} // namespace apricotlb
