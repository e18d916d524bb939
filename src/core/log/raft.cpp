#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <utility>

namespace apricotlb
{

namespace
{

auto random_election_timeout(random_bits random) -> duration
{
    constexpr auto range =
        config::election_timeout_max - config::election_timeout_min;
    return config::election_timeout_min +
           duration{static_cast<duration::rep>(
               random.value() % static_cast<std::uint64_t>(range.count()))};
}

} // namespace

auto name_of(office_end it) -> std::string_view
{
    switch (it)
    {
    case office_end::no_majority:
        return "no_majority";
    case office_end::no_lease:
        return "no_lease";
    case office_end::higher_term:
        return "higher_term";
    case office_end::removed:
        return "removed";
    case office_end::disk_full:
        return "disk_full";
    case office_end::handed_over:
        return "handed_over";
    case office_end::resigned:
        break;
    }
    return "resigned";
}

auto raft::builder::self(node_id it) -> builder&
{
    self_ = std::move(it);
    return *this;
}

auto raft::builder::copies(std::size_t n) -> builder&
{
    copies_ = n;
    return *this;
}

auto raft::builder::max_voters(std::size_t n) -> builder&
{
    max_voters_ = n;
    return *this;
}

auto raft::builder::term_and_vote(hard_state it) -> builder&
{
    term_and_vote_ = std::move(it);
    return *this;
}

auto raft::builder::snapshot(raft_snapshot it) -> builder&
{
    snapshot_ = std::move(it);
    return *this;
}

auto raft::builder::log(log_position base, std::vector<log_entry> entries)
    -> builder&
{
    base_ = base;
    entries_ = std::move(entries);
    return *this;
}

auto raft::builder::started(time_point now, random_bits random) -> builder&
{
    now_ = now;
    random_ = random;
    return *this;
}

auto raft::builder::build() -> result<raft>
{
    if (self_.value().empty())
    {
        return fail(error_kind::bad_settings,
                    "the id of a member of the group must not be empty");
    }
    raft built;
    built.self_ = self_;
    built.copies_ = copies_;
    built.max_voters_ = max_voters_;
    built.term_and_vote_ = term_and_vote_;
    built.durable_term_ = term_and_vote_.current;
    built.syncing_term_ = built.durable_term_;
    auto members = snapshot_ ? snapshot_->info.members : raft_members{};
    built.log_ = raft_log{base_, std::move(members)};
    for (auto& entry : entries_)
    {
        if (entry.index != built.log_.last().index + log_index{1})
        {
            return fail(error_kind::log_damaged,
                        "the log has a gap before entry " +
                            std::to_string(entry.index.value()));
        }
        built.log_.push(std::move(entry));
    }
    auto const last = snapshot_ ? snapshot_->info.last : log_position{};
    if (built.log_.term_at(last.index) != last.in_term)
    {
        return fail(error_kind::log_damaged,
                    "the log does not continue the snapshot at entry " +
                        std::to_string(last.index.value()));
    }
    if (snapshot_)
    {
        built.snapshot_ =
            std::make_shared<raft_snapshot const>(std::move(*snapshot_));
    }
    built.commit_ = last.index;
    built.durable_index_ = built.log_.last().index;
    built.syncing_index_ = built.durable_index_;
    built.last_leader_contact_ = now_;
    built.election_timeout_ = random_election_timeout(random_);
    built.election_deadline_ = now_ + built.election_timeout_;
    return built;
}

auto raft::tick(time_point now, random_bits random) -> raft_actions
{
    last_tick_ = now;
    if (role_ == raft_role::leader)
    {
        reach_.update(now, lease_end());
        if (now >= quorum_deadline())
        {
            become_follower(now, term_and_vote_.current, std::nullopt,
                            office_end::no_majority);
        }
        else if (auto const successor = find_successor(now))
        {
            hand_over(now, *successor);
        }
        else if (last_lease_ = has_lease(now) ? now : last_lease_;
                 now >= lease_deadline())
        {
            become_follower(now, term_and_vote_.current, std::nullopt,
                            office_end::no_lease);
        }
        else if (now >= next_heartbeat_)
        {
            send_heartbeats(now);
            if (now >= next_reach_request_ &&
                reach_.without_lease(now) >= max_unmeasured_time &&
                others_may_agree(now))
            {
                next_reach_request_ = now + reach_interval;
                send_probes(now);
            }
        }
    }
    else if (now >= election_deadline_)
    {
        election_timeout_ = random_election_timeout(random);
        election_deadline_ = now + election_timeout_;
        leader_.reset();
        if (is_voter(self_) && is_writable_)
        {
            start_pre_vote(now);
        }
    }
    else if (trial_ && now >= trial_->next_probe)
    {
        continue_trial(now);
    }
    return take_actions();
}

auto raft::next_tick() const -> time_point
{
    if (role_ != raft_role::leader)
    {
        return trial_ ? std::min(election_deadline_, trial_->next_probe)
                      : election_deadline_;
    }
    auto const next =
        std::min({next_heartbeat_, quorum_deadline(), lease_deadline()});
    // The driver refuses callers once the lease is over.
    auto const end = lease_end();
    return end > last_tick_ ? std::min(next, end) : next;
}

auto raft::receive(time_point now, node_id const& from, raft_message message)
    -> raft_actions
{
    std::visit([&](auto& it) { handle(now, from, std::move(it)); }, message);
    return take_actions();
}

auto raft::propose(std::string payload) -> result<log_index>
{
    if (role_ != raft_role::leader)
    {
        return fail(error_kind::not_leader,
                    leader_
                        ? "this member is not the leader; the leader is " +
                              leader_->value()
                        : "this member is not the leader; no leader is known");
    }
    if (payload.size() > config::max_entry_bytes)
    {
        return fail(error_kind::bad_request,
                    "command: must be at most " +
                        std::to_string(config::max_entry_bytes) +
                        " bytes, got " + std::to_string(payload.size()));
    }
    return add_entry(entry_kind::proposal, std::move(payload), {});
}

auto raft::change_member(member_change const& change) -> result<log_index>
{
    if (role_ != raft_role::leader)
    {
        return fail(error_kind::not_leader,
                    leader_
                        ? "this member is not the leader; the leader is " +
                              leader_->value()
                        : "this member is not the leader; no leader is known");
    }
    // Until an entry of its own term is committed, a leader cannot tell which
    // membership changes of earlier leaders are committed.
    if (log_.members_index() > commit_ || commit_ < first_index_of_term_)
    {
        return fail(error_kind::membership_busy,
                    "an earlier membership change may not be committed yet");
    }
    auto members = log_.members();
    auto const member = std::ranges::find(members, change.id, &raft_member::id);
    switch (change.kind)
    {
    case member_change_kind::add_learner:
        if (member != members.end() || members.size() >= config::max_members)
        {
            return fail(error_kind::bad_request,
                        member != members.end()
                            ? "the id is already a member of the group"
                            : "the group has the maximum number of members");
        }
        members.push_back({change.id, change.address, member_role::learner});
        break;
    case member_change_kind::promote:
        if (member == members.end() || member->role == member_role::voter)
        {
            return fail(error_kind::not_found,
                        "the id is not a learner of the group");
        }
        if (log_.last().index - peers_[change.id].match >
            log_index{config::max_promotion_lag})
        {
            return fail(error_kind::not_caught_up,
                        "the learner has not caught up with the leader's log");
        }
        member->role = member_role::voter;
        break;
    case member_change_kind::remove:
        if (member == members.end())
        {
            return fail(error_kind::not_found,
                        "the id is not a member of the group");
        }
        if (member->role == member_role::voter && voter_count() == 1)
        {
            return fail(error_kind::bad_request,
                        "the last voter cannot be removed");
        }
        members.erase(member);
        break;
    }
    return add_entry(entry_kind::membership, {}, std::move(members));
}

auto raft::flush(time_point now) -> raft_actions
{
    if (role_ == raft_role::leader)
    {
        update_peers(now);
        for (auto& [id, follower] : peers_)
        {
            replicate(now, id, follower);
        }
    }
    return take_actions();
}

auto raft::sync_started() -> void
{
    syncing_index_ = log_.last().index;
    syncing_term_ = term_and_vote_.current;
}

auto raft::persisted(time_point now) -> raft_actions
{
    durable_index_ = syncing_index_;
    durable_term_ = syncing_term_;
    if (role_ == raft_role::leader)
    {
        advance_commit(now);
    }
    return take_actions();
}

auto raft::set_writable(time_point now, bool is_writable) -> raft_actions
{
    is_writable_ = is_writable;
    auto const is_sole_leader = role_ == raft_role::leader && quorum() == 1;
    if (!is_writable && role_ != raft_role::follower && !is_sole_leader)
    {
        become_follower(now, term_and_vote_.current, std::nullopt,
                        office_end::disk_full);
    }
    return take_actions();
}

auto raft::step_down(time_point now) -> raft_actions
{
    if (role_ == raft_role::leader)
    {
        become_follower(now, term_and_vote_.current, std::nullopt,
                        office_end::resigned);
    }
    return take_actions();
}

auto raft::describe_snapshot(log_index last) const -> snapshot_info
{
    return {{last, log_.term_at(last).value_or(term{})}, log_.members_at(last)};
}

auto raft::compact(raft_snapshot snapshot) -> log_index
{
    auto const last = snapshot.info.last.index;
    snapshot_ = std::make_shared<raft_snapshot const>(std::move(snapshot));
    auto keep = log_.compaction_point(last);
    // Keeps the entries that a member needs after the older snapshot it is
    // receiving. The bound prevents one slow member from growing the log
    // without limit.
    for (auto const& [id, follower] : peers_)
    {
        if (follower.snapshot && follower.snapshot->info.last.index < keep &&
            (last - follower.snapshot->info.last.index).value() <
                config::log_tail_entries + 2 * config::snapshot_entries)
        {
            keep =
                std::max(log_.base().index, follower.snapshot->info.last.index);
        }
    }
    log_.compact(keep);
    return keep;
}

auto raft::status() const -> raft_status
{
    raft_status out{role_,      term_and_vote_.current, leader_,
                    commit_,    log_.last().index,      {},
                    max_voters_};
    for (auto const& member : log_.members())
    {
        member_status row{member, {}, {}};
        if (member.id == self_)
        {
            row.match = durable_index_;
        }
        else if (auto const found = peers_.find(member.id);
                 found != peers_.end())
        {
            row.match = found->second.match;
            row.last_contact = found->second.last_contact;
        }
        row.lag = out.last - std::min(out.last, row.match);
        out.members.push_back(row);
    }
    return out;
}

auto raft::commit_to(log_index index) -> void
{
    while (commit_ < index)
    {
        ++commit_;
        actions_.committed_entries.push_back(log_.at(commit_));
    }
}

auto raft::is_voter(node_id const& id) const -> bool
{
    return std::ranges::any_of(
        log_.members(), [&id](raft_member const& it)
        { return it.id == id && it.role == member_role::voter; });
}

auto raft::voter_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count(
        log_.members(), member_role::voter, &raft_member::role));
}

auto raft::quorum() const -> std::size_t
{
    return voter_count() / 2 + 1;
}

auto raft::send(node_id const& to, raft_message message) -> void
{
    actions_.messages.push_back({to, std::move(message)});
}

auto raft::send_after_sync(node_id const& to, raft_message message) -> void
{
    actions_.messages_after_sync.push_back({to, std::move(message)});
}

auto raft::send_in_durable_term(node_id const& to, raft_message message) -> void
{
    if (durable_term_ == term_and_vote_.current)
    {
        send(to, std::move(message));
    }
    else
    {
        send_after_sync(to, std::move(message));
    }
}

auto raft::take_actions() -> raft_actions
{
    return std::exchange(actions_, {});
}

} // namespace apricotlb
