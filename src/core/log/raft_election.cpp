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

/// True while the lease of a leader may rely on this voter: the voter must not
/// help to elect another leader during election_timeout_min after the last
/// contact.
auto raft::must_refuse_votes(time_point now) const -> bool
{
    return role_ == raft_role::leader ||
           now < last_leader_contact_ + config::election_timeout_min;
}

auto raft::is_released(request_vote const& request) const -> bool
{
    return request.handed_over_by && role_ != raft_role::leader &&
           request.in_term == term_and_vote_.current + term{1} &&
           (!leader_ || *leader_ == *request.handed_over_by);
}

auto raft::start_pre_vote(time_point now) -> void
{
    role_ = raft_role::pre_candidate;
    trial_.reset();
    pre_votes_ = {self_};
    if (pre_votes_.size() >= quorum())
    {
        start_election(now);
        return;
    }
    for (auto const& member : log_.members())
    {
        if (member.role == member_role::voter && member.id != self_)
        {
            send(member.id, request_vote{term_and_vote_.current + term{1}, true,
                                         log_.last(), std::nullopt});
        }
    }
}

auto raft::start_election(time_point now,
                          std::optional<node_id> const& handed_over_by) -> void
{
    role_ = raft_role::candidate;
    trial_.reset();
    election_deadline_ = now + election_timeout_;
    ++term_and_vote_.current;
    term_and_vote_.vote = self_;
    actions_.term_and_vote = term_and_vote_;
    votes_ = {self_};
    // The candidate's own vote must be durable before it counts, so the
    // requests are sent after the sync. A group with one voter does not commit
    // anything before that sync either.
    if (quorum() == 1)
    {
        become_leader(now);
        return;
    }
    for (auto const& member : log_.members())
    {
        if (member.role == member_role::voter && member.id != self_)
        {
            send_after_sync(member.id,
                            request_vote{term_and_vote_.current, false,
                                         log_.last(), handed_over_by});
        }
    }
}

auto raft::become_leader(time_point now) -> void
{
    role_ = raft_role::leader;
    leader_ = self_;
    leader_since_ = now;
    last_lease_ = now;
    reach_ = reach_meter{now};
    trial_.reset();
    peers_.clear();
    update_peers(now);
    first_index_of_term_ = add_entry(entry_kind::noop, {}, {});
    send_heartbeats(now);
}

auto raft::become_follower(time_point now, term in_term,
                           std::optional<node_id> leader, office_end reason)
    -> void
{
    if (role_ == raft_role::leader)
    {
        ended_office_ = describe_office(now, reason);
        election_deadline_ = now + election_timeout_;
    }
    if (in_term > term_and_vote_.current)
    {
        term_and_vote_ = {in_term, std::nullopt};
        actions_.term_and_vote = term_and_vote_;
    }
    role_ = raft_role::follower;
    leader_ = std::move(leader);
    trial_.reset();
    peers_.clear();
    pre_votes_.clear();
    votes_.clear();
}

auto raft::record_leader_contact(time_point now, node_id const& leader) -> void
{
    last_leader_contact_ = now;
    election_deadline_ = now + election_timeout_;
    leader_ = leader;
}

auto raft::handle(time_point now, node_id const& from,
                  request_vote const& request) -> void
{
    auto const answer = [&](bool granted)
    {
        auto const in_term = request.is_pre_vote && granted
                                 ? request.in_term
                                 : term_and_vote_.current;
        vote_answer const message{in_term, request.is_pre_vote, granted};
        if (granted && !request.is_pre_vote)
        {
            send_after_sync(from, message);
        }
        else
        {
            send_in_durable_term(from, message);
        }
    };
    // Refused without adopting the higher term: a member that was partitioned
    // off must not depose a leader that is in contact with the others.
    auto const must_refuse = must_refuse_votes(now) && !is_released(request);
    if (must_refuse || !is_writable_ ||
        request.in_term < term_and_vote_.current)
    {
        answer(false);
        return;
    }
    auto const behind = is_behind(request.last, log_.last());
    if (request.is_pre_vote)
    {
        answer(!behind && request.in_term > term_and_vote_.current);
        return;
    }
    if (request.in_term > term_and_vote_.current)
    {
        become_follower(now, request.in_term, std::nullopt);
    }
    auto const granted =
        !behind && (!term_and_vote_.vote || *term_and_vote_.vote == from);
    if (granted)
    {
        term_and_vote_.vote = from;
        actions_.term_and_vote = term_and_vote_;
        election_deadline_ = now + election_timeout_;
    }
    answer(granted);
}

auto raft::handle(time_point now, node_id const& from,
                  vote_answer const& answer) -> void
{
    if (!answer.granted && answer.in_term > term_and_vote_.current)
    {
        become_follower(now, answer.in_term, std::nullopt);
        return;
    }
    if (!answer.granted || !is_voter(from))
    {
        return;
    }
    if (answer.is_pre_vote)
    {
        if (role_ != raft_role::pre_candidate ||
            answer.in_term != term_and_vote_.current + term{1})
        {
            return;
        }
        pre_votes_.insert(from);
        if (pre_votes_.size() >= quorum())
        {
            start_election(now);
        }
        return;
    }
    // A vote may arrive after the candidacy has timed out. It counts as long as
    // its term is the current one.
    auto const is_standing =
        role_ == raft_role::candidate || role_ == raft_role::pre_candidate;
    if (is_standing && answer.in_term == term_and_vote_.current &&
        term_and_vote_.vote == self_)
    {
        votes_.insert(from);
        if (votes_.size() >= quorum())
        {
            become_leader(now);
        }
    }
}

} // namespace apricotlb
