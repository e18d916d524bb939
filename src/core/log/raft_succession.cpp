#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <utility>

namespace apricotlb
{

namespace
{

auto is_at_most(duration part, duration whole, permille share) -> bool
{
    return part * 1000 <= whole * share.value();
}

} // namespace

auto raft::handle(time_point now, node_id const& from, reach_probe const& probe)
    -> void
{
    if (probe.in_term != term_and_vote_.current)
    {
        return;
    }
    if (role_ == raft_role::leader)
    {
        if (auto const found = peers_.find(from); found != peers_.end())
        {
            found->second.measured = probe.measured;
            found->second.without_lease = probe.without_lease;
            found->second.measured_at = now;
        }
        return;
    }
    if (leader_ != from)
    {
        send(from, reach_answer{probe.in_term, probe.sent_at});
        return;
    }
    if (role_ == raft_role::follower && is_voter(self_))
    {
        if (!trial_)
        {
            trial_ = reach_trial{reach_meter{now}, {}, now, {}, {}};
        }
        trial_->ends_at = now + measuring_time;
    }
}

auto raft::handle(time_point now, node_id const& from,
                  reach_answer const& answer) -> void
{
    if (!trial_ || answer.in_term != term_and_vote_.current)
    {
        return;
    }
    auto& newest = trial_->answered[from];
    newest = std::max(newest, answer.sent_at);
    trial_->meter.update(now, trial_lease_end());
}

auto raft::handle(time_point now, node_id const& from,
                  timeout_now const& request) -> void
{
    if (request.in_term == term_and_vote_.current &&
        role_ == raft_role::follower && leader_ == from && is_voter(self_) &&
        is_writable_)
    {
        start_election(now, from);
    }
}

auto raft::send_probes(time_point now) -> void
{
    for (auto const& member : log_.members())
    {
        if (member.role == member_role::voter && member.id != self_ &&
            member.id != leader_)
        {
            send(member.id, reach_probe{term_and_vote_.current, now, {}, {}});
        }
    }
}

/// Nothing but the result goes to the leader, and does not count on its
/// answers: on a link that loses packets, each further message delays those
/// that its lease rests on.
auto raft::continue_trial(time_point now) -> void
{
    auto& meter = trial_->meter;
    meter.update(now, trial_lease_end());
    if (now >= trial_->ends_at || !leader_)
    {
        trial_.reset();
        return;
    }
    trial_->next_probe = now + config::raft_heartbeat;
    send_probes(now);
    auto const measured = meter.measured(now);
    auto const without = meter.without_lease(now);
    if (now >= trial_->next_report && measured >= reach_meter::window &&
        is_at_most(without, measured, max_successor_share))
    {
        trial_->next_report = now + reach_interval;
        send(*leader_,
             reach_probe{term_and_vote_.current, now, measured, without});
    }
}

auto raft::others_may_agree(time_point now) const -> bool
{
    auto const answer = [this, now](auto const& each)
    {
        return is_voter(each.first) &&
               now - each.second.last_contact < max_majority_silence;
    };
    return static_cast<std::size_t>(std::ranges::count_if(peers_, answer)) >=
           quorum();
}

auto raft::find_successor(time_point now) const -> std::optional<node_id>
{
    auto const measured = reach_.measured(now);
    if (measured < reach_meter::window ||
        is_at_most(reach_.without_lease(now), measured,
                   min_share_without_lease))
    {
        return std::nullopt;
    }
    auto longest_log = commit_;
    for (auto const& [id, each] : peers_)
    {
        longest_log = std::max(longest_log, each.match);
    }
    peer const* best = nullptr;
    std::optional<node_id> out;
    for (auto const& [id, each] : peers_)
    {
        auto const is_known = each.measured >= reach_meter::window &&
                              now - each.measured_at < result_validity;
        auto const is_well =
            is_known &&
            is_at_most(each.without_lease, each.measured, max_successor_share);
        // Of several, the one that has answered soonest.
        auto const is_best =
            best == nullptr || best->acked_send_time < each.acked_send_time;
        // A candidate that lacks entries of others gets no votes.
        if (is_voter(id) && is_well && is_best && each.match == longest_log)
        {
            best = &each;
            out = id;
        }
    }
    return out;
}

auto raft::hand_over(time_point now, node_id const& successor) -> void
{
    send(successor, timeout_now{term_and_vote_.current});
    become_follower(now, term_and_vote_.current, std::nullopt,
                    office_end::handed_over);
    election_deadline_ = now + election_timeout_ + hand_over_back_off;
}

} // namespace apricotlb
