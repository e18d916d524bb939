#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <utility>

namespace apricotlb
{

namespace
{

auto draw_delay(random_bits random) -> duration
{
    constexpr auto range =
        config::election_timeout_max - config::election_timeout_min;
    return config::election_timeout_min +
           duration{static_cast<duration::rep>(
               random.value() % static_cast<std::uint64_t>(range.count()))};
}

} // namespace

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

auto raft::builder::most_voters(std::size_t n) -> builder&
{
    most_voters_ = n;
    return *this;
}

auto raft::builder::hard(hard_state it) -> builder&
{
    hard_ = std::move(it);
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
        return fail(error_kind::bad_settings, "a member needs an id");
    }
    raft it;
    it.self_ = self_;
    it.copies_ = copies_;
    it.most_voters_ = most_voters_;
    it.hard_ = hard_;
    auto members = snapshot_ ? snapshot_->info.members : raft_members{};
    it.log_ = raft_log{base_, std::move(members)};
    for (auto& each : entries_)
    {
        if (each.index != it.log_.last().index + log_index{1})
        {
            return fail(error_kind::log_damaged,
                        "gap in the log before entry " +
                            std::to_string(each.index.value()));
        }
        it.log_.push(std::move(each));
    }
    auto const last = snapshot_ ? snapshot_->info.last : log_position{};
    if (it.log_.term_at(last.index) != last.in_term)
    {
        return fail(error_kind::log_damaged,
                    "the log does not continue the snapshot at entry " +
                        std::to_string(last.index.value()));
    }
    if (snapshot_)
    {
        it.snapshot_ =
            std::make_shared<raft_snapshot const>(std::move(*snapshot_));
    }
    it.commit_ = last.index;
    it.durable_ = it.log_.last().index;
    it.heard_at_ = now_;
    it.election_delay_ = draw_delay(random_);
    it.election_at_ = now_ + it.election_delay_;
    return it;
}

auto raft::tick(time_point now, random_bits random) -> raft_actions
{
    if (role_ == raft_role::leader)
    {
        if (now >= quorum_ends())
        {
            become_follower(now, hard_.current, std::nullopt);
        }
        else if (now >= heartbeat_at_)
        {
            heartbeat(now);
        }
    }
    else if (now >= election_at_)
    {
        election_delay_ = draw_delay(random);
        election_at_ = now + election_delay_;
        leader_.reset();
        if (is_voter(self_))
        {
            start_pre_vote(now);
        }
    }
    return take_actions();
}

auto raft::next_tick() const -> time_point
{
    return role_ == raft_role::leader ? std::min(heartbeat_at_, quorum_ends())
                                      : election_at_;
}

auto raft::receive(time_point now, node_id const& from, raft_message message)
    -> raft_actions
{
    std::visit([&](auto& it) { on(now, from, std::move(it)); }, message);
    return take_actions();
}

auto raft::propose(std::string payload) -> result<log_index>
{
    if (role_ != raft_role::leader)
    {
        return fail(error_kind::not_leader,
                    leader_ ? "the leader is " + leader_->value()
                            : "no leader is known");
    }
    if (payload.size() > config::max_entry_bytes)
    {
        return fail(error_kind::bad_request,
                    "a command has at most " +
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
                    leader_ ? "the leader is " + leader_->value()
                            : "no leader is known");
    }
    // Before an entry of its own term is committed, a leader may not know of
    // a change that an earlier leader has committed.
    if (log_.members_index() > commit_ || commit_ < first_of_term_)
    {
        return fail(error_kind::membership_busy,
                    "another change of members is not yet committed");
    }
    auto members = log_.members();
    auto const it = std::ranges::find(members, change.id, &raft_member::id);
    switch (change.kind)
    {
    case member_change_kind::add_learner:
        if (it != members.end() || members.size() >= config::max_members)
        {
            return fail(error_kind::bad_request, it != members.end()
                                                     ? "already a member"
                                                     : "too many members");
        }
        members.push_back({change.id, change.address, member_role::learner});
        break;
    case member_change_kind::promote:
        if (it == members.end() || it->role == member_role::voter)
        {
            return fail(error_kind::not_found, "no such learner");
        }
        if (log_.last().index - peers_[change.id].match >
            log_index{config::max_promotion_lag})
        {
            return fail(error_kind::not_caught_up,
                        "the learner has not caught up");
        }
        it->role = member_role::voter;
        break;
    case member_change_kind::remove:
        if (it == members.end())
        {
            return fail(error_kind::not_found, "no such member");
        }
        if (it->role == member_role::voter && voter_count() == 1)
        {
            return fail(error_kind::bad_request,
                        "the last voter cannot be removed");
        }
        members.erase(it);
        break;
    }
    return add_entry(entry_kind::membership, {}, std::move(members));
}

auto raft::flush(time_point now) -> raft_actions
{
    if (role_ == raft_role::leader)
    {
        update_peers(now);
        for (auto& [id, it] : peers_)
        {
            replicate(now, id, it);
        }
    }
    return take_actions();
}

auto raft::persisted(time_point now) -> raft_actions
{
    durable_ = log_.last().index;
    if (role_ == raft_role::leader)
    {
        advance_commit(now);
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
    auto keep = log_.tail_before(last);
    // A member that is receiving an older snapshot continues from there. The
    // bound keeps one slow member from growing the log without end.
    for (auto const& [id, it] : peers_)
    {
        if (it.snapshot && it.snapshot->info.last.index < keep &&
            (last - it.snapshot->info.last.index).value() <
                config::log_tail_entries + 2 * config::snapshot_entries)
        {
            keep = std::max(log_.base().index, it.snapshot->info.last.index);
        }
    }
    log_.compact(keep);
    return keep;
}

auto raft::status() const -> raft_status
{
    raft_status out{role_,   hard_.current,     leader_,
                    commit_, log_.last().index, {}};
    for (auto const& member : log_.members())
    {
        member_status each{member, {}, {}};
        if (member.id == self_)
        {
            each.match = durable_;
        }
        else if (auto const it = peers_.find(member.id); it != peers_.end())
        {
            each.match = it->second.match;
            each.heard = it->second.heard;
        }
        each.lag = out.last - std::min(out.last, each.match);
        out.members.push_back(each);
    }
    return out;
}

auto raft::commit_to(log_index it) -> void
{
    while (commit_ < it)
    {
        ++commit_;
        actions_.committed.push_back(log_.at(commit_));
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
    actions_.after_sync.push_back({to, std::move(message)});
}

auto raft::take_actions() -> raft_actions
{
    return std::exchange(actions_, {});
}

} // namespace apricotlb
