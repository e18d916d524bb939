/// Definitions of replica; included by replica.hpp only.
#ifndef APRICOTLB_APP_REPLICA_IMPL_HPP
#define APRICOTLB_APP_REPLICA_IMPL_HPP

#include "app/replica.hpp"

#include <algorithm>

namespace apricotlb
{

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
replica<Clock, Transport, LogStore, Machine>::~replica()
{
    for (auto const& it :
         {flush_timer_, apply_timer_, piece_timer_, tick_timer_, retry_timer_})
    {
        if (it)
        {
            clock_.cancel_timer(*it);
        }
    }
    if (core_)
    {
        transport_.on_message([](node_id const&, raft_message const&) {});
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::start() -> result<void>
{
    auto done = open();
    if (!done && done.error().kind == error_kind::disk_full)
    {
        wait_for_space(done.error());
        return outcome::success();
    }
    return done;
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::open() -> result<void>
{
    BOOST_OUTCOME_TRY(loaded, store_.load());
    auto const is_new = !loaded.snapshot && loaded.entries.empty() &&
                        loaded.term_and_vote == hard_state{};
    if (is_new && !options_.bootstrap.empty())
    {
        loaded.snapshot =
            raft_snapshot{{{}, options_.bootstrap}, machine_.snapshot()};
        BOOST_OUTCOME_TRYV(store_.save_snapshot(*loaded.snapshot));
    }
    raft::builder builder;
    builder.self(options_.self)
        .copies(options_.copies)
        .max_voters(options_.max_voters)
        .term_and_vote(loaded.term_and_vote)
        .log(loaded.base, std::move(loaded.entries))
        .started(clock_.now(), next_random());
    if (loaded.snapshot)
    {
        BOOST_OUTCOME_TRYV(machine_.restore(loaded.snapshot->data));
        snapshot_ = loaded.snapshot->info.last.index;
        applied_ = snapshot_;
        builder.snapshot(std::move(*loaded.snapshot));
    }
    BOOST_OUTCOME_TRY(core, builder.build());
    core_ = std::move(core);
    transport_.on_message([this](node_id const& from, raft_message message)
                          { receive(from, std::move(message)); });
    arm_timer();
    return outcome::success();
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::propose(
    encoded payload, completion callback, proposal_origin origin) -> void
{
    if (failure_ || !core_)
    {
        callback(outcome::failure(failure_.value_or(
            error{error_kind::not_leader, "the replica is not started"})));
        return;
    }
    if (core_->role() == raft_role::leader)
    {
        auto const has_reserve = origin == proposal_origin::system_operator;
        auto const max_proposals =
            config::max_pending_proposals +
            (has_reserve ? config::reserved_proposals : 0);
        auto const max_bytes =
            config::max_pending_bytes +
            (has_reserve ? config::reserved_proposal_bytes : 0);
        if (pending_.size() >= max_proposals ||
            pending_bytes_ + payload.size() > max_bytes)
        {
            callback(
                fail(error_kind::queue_full, "too many proposals are pending"));
            return;
        }
        auto const size = byte_count{static_cast<std::int64_t>(payload.size())};
        auto const is_low = store_.free_space() < config::disk_reserve + size;
        if (disk_full_ || is_low)
        {
            auto const refused = disk_full_.value_or(
                error{error_kind::disk_full,
                      "the free disk space of the log is down to the reserve"});
            report(disk_event::proposal_refused, refused.detail);
            callback(outcome::failure(refused));
            take_snapshot_if_due();
            return;
        }
    }
    auto const bytes = payload.size();
    add_pending(core_->propose(std::move(payload)), bytes, std::move(callback),
                origin);
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::change_member(
    member_change const& change, completion callback) -> void
{
    if (failure_ || !core_)
    {
        callback(outcome::failure(failure_.value_or(
            error{error_kind::not_leader, "the replica is not started"})));
        return;
    }
    if (disk_full_ && core_->role() == raft_role::leader)
    {
        report(disk_event::proposal_refused, disk_full_->detail);
        callback(outcome::failure(*disk_full_));
        return;
    }
    add_pending(core_->change_member(change), 0, std::move(callback),
                proposal_origin::caller);
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::resign() -> void
{
    if (core_ && !failure_)
    {
        perform(core_->step_down(clock_.now()));
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::add_pending(
    result<log_index> index, std::size_t bytes, completion callback,
    proposal_origin origin) -> void
{
    if (!index)
    {
        callback(std::move(index));
        return;
    }
    pending_[index.value()] = {core_->current_term(), bytes,
                               std::move(callback), origin};
    pending_bytes_ += bytes;
    office_.on_proposed(index.value(), core_->current_term(), clock_.now());
    schedule_flush();
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::status() const
    -> replica_status
{
    return {core_ ? core_->status() : raft_status{}, applied_, snapshot_,
            store_.used_space(), failure_};
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::receive(node_id const& from,
                                                           raft_message message)
    -> void
{
    if (failure_)
    {
        return;
    }
    if (auto const refused = refusal(message))
    {
        report(*refused, "");
        take_snapshot_if_due();
        return;
    }
    // The store takes no entries behind a snapshot that it has not installed.
    auto const* const append = std::get_if<append_entries>(&message);
    auto const has_entries = append != nullptr && !append->entries.empty();
    if (installing_ && !disk_full_ && has_entries)
    {
        if (waiting_messages_.size() < config::max_inflight_appends)
        {
            waiting_messages_.emplace_back(from, std::move(message));
        }
        return;
    }
    perform(core_->receive(clock_.now(), from, std::move(message)));
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::perform(raft_actions actions)
    -> void
{
    if (actions.term_and_vote)
    {
        store_.save(*actions.term_and_vote);
        unsynced_ = true;
        term_unsynced_ = true;
    }
    if (!actions.entries_to_persist.empty())
    {
        store_.append_entries(actions.entries_to_persist);
        unsynced_ = true;
    }
    unsynced_ = unsynced_ || actions.install;
    for (auto const& it : actions.messages)
    {
        transport_.send(it.to, it.message);
    }
    // Messages for which nothing can be made durable are lost; the other
    // members repeat theirs.
    if (!disk_full_)
    {
        auto& held =
            is_syncing_ && !unsynced_ ? syncing_messages_ : held_messages_;
        held.insert(
            held.end(),
            std::make_move_iterator(actions.messages_after_sync.begin()),
            std::make_move_iterator(actions.messages_after_sync.end()));
    }
    if (actions.install)
    {
        install(*actions.install);
    }
    if (failure_)
    {
        return;
    }
    committed_.insert(
        committed_.end(),
        std::make_move_iterator(actions.committed_entries.begin()),
        std::make_move_iterator(actions.committed_entries.end()));
    // With entries left over, each message would cost the time of a turn.
    if (!apply_timer_)
    {
        apply_committed();
    }
    if (!unsynced_ && !is_syncing_)
    {
        send_held();
    }
    else if (unsynced_ && !disk_full_)
    {
        schedule_flush();
    }
    update_leadership();
    update_meter();
    report_role();
    arm_timer();
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::install(
    raft_snapshot const& it) -> void
{
    if (auto const done = machine_.restore(it.data); !done)
    {
        stop(done.error());
        return;
    }
    saving_.reset();
    is_snapshot_postponed_ = false;
    if (piece_timer_)
    {
        clock_.cancel_timer(*piece_timer_);
        piece_timer_.reset();
    }
    std::erase_if(committed_, [&it](log_entry const& entry)
                  { return entry.index <= it.info.last.index; });
    applied_ = it.info.last.index;
    snapshot_ = applied_;
    bytes_since_snapshot_ = 0;
    installing_ = it;
    if (is_syncing_ || is_saving_piece_)
    {
        return;
    }
    if (auto const done = finish_install(); !done)
    {
        handle_failure(done.error());
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::finish_install()
    -> result<void>
{
    BOOST_OUTCOME_TRYV(store_.install(*installing_));
    installing_.reset();
    unsynced_ = false;
    term_unsynced_ = false;
    core_->sync_started();
    (void)core_->persisted(clock_.now()); // no actions on a follower
    return outcome::success();
}

/// After a restart the first leader commits all entries since the last snapshot
/// at once. Applied in one turn, they would keep it from its heartbeats for
/// longer than its lease, and so would they each of its successors.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::apply_committed() -> void
{
    auto const end = clock_.now() + config::max_apply_time;
    while (!committed_.empty() && !failure_ && clock_.now() < end)
    {
        auto const entry = std::move(committed_.front());
        committed_.pop_front();
        apply(entry);
    }
    if (!committed_.empty() && !failure_ && !apply_timer_)
    {
        apply_timer_ = clock_.start_timer(duration{0},
                                          [this]
                                          {
                                              apply_timer_.reset();
                                              apply_committed();
                                              update_leadership();
                                              update_meter();
                                          });
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::apply(log_entry const& entry)
    -> void
{
    if (entry.kind == entry_kind::proposal)
    {
        machine_.apply(entry.in_term, entry.index, entry.payload);
        bytes_since_snapshot_ += entry.payload.size();
    }
    applied_ = entry.index;
    office_.on_applied(entry.index, entry.in_term, clock_.now());
    auto node = pending_.extract(entry.index);
    if (node)
    {
        pending_bytes_ -= node.mapped().bytes;
        // An entry of a later leader may have replaced the proposal at this
        // index.
        node.mapped().callback(
            node.mapped().in_term == entry.in_term
                ? result<log_index>{entry.index}
                : fail(error_kind::no_leader,
                       "the leader changed before the proposal was committed"));
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::schedule_flush() -> void
{
    // The end of the sync in progress schedules the next one. Until then a
    // flush sends the entries of a leader.
    if (is_syncing_ && core_->role() != raft_role::leader)
    {
        return;
    }
    arm_flush(next_flush());
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::arm_flush(time_point at)
    -> void
{
    if (flush_timer_ && flush_due_ <= at)
    {
        return;
    }
    if (flush_timer_)
    {
        clock_.cancel_timer(*flush_timer_);
    }
    flush_due_ = at;
    flush_timer_ = clock_.start_timer(std::max(duration{0}, at - clock_.now()),
                                      [this]
                                      {
                                          flush_timer_.reset();
                                          flush();
                                      });
}

/// A leader under load collects the proposals of config::group_commit_interval
/// into one message to each follower. Votes and new terms are not delayed: an
/// election waits for them.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::next_flush() const
    -> time_point
{
    if (term_unsynced_)
    {
        return last_flush_;
    }
    return core_->role() == raft_role::leader
               ? last_flush_ + config::group_commit_interval
               : next_sync();
}

/// A sync costs wake-ups and processor time, however much it covers. So syncs
/// are spaced by a share of their duration. The flushes of a leader are not: a
/// slow disk of its own must not delay the other members.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::next_sync() const
    -> time_point
{
    if (term_unsynced_)
    {
        return sync_start_;
    }
    auto const least = core_->role() == raft_role::leader
                           ? config::group_commit_interval
                           : duration{};
    auto const paced =
        std::min(last_sync_time_ * 1000 / config::max_sync_share.value(),
                 last_sync_time_ + max_flush_delay);
    return sync_start_ + std::max(least, paced);
}

/// Sends pending entries, and starts to make all writes so far durable unless a
/// sync is in progress.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::flush() -> void
{
    if (failure_ || disk_full_)
    {
        return;
    }
    last_flush_ = clock_.now();
    // Sends the entries before the sync, so that the followers write them at
    // the same time.
    perform(core_->flush(clock_.now()));
    if (flush_timer_)
    {
        clock_.cancel_timer(*flush_timer_);
        flush_timer_.reset();
    }
    if (!unsynced_ || is_syncing_ || installing_ || failure_)
    {
        return;
    }
    if (clock_.now() >= next_sync())
    {
        start_sync();
    }
    else
    {
        arm_flush(next_sync());
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::start_sync() -> void
{
    // What the store does before it starts may block the loop. Answers to
    // heartbeats, on which the lease of the leader depends, must not wait for
    // it.
    transport_.flush();
    is_syncing_ = true;
    unsynced_ = false;
    term_unsynced_ = false;
    syncing_messages_ = std::exchange(held_messages_, {});
    core_->sync_started();
    sync_start_ = clock_.now();
    store_.start_sync(
        [this, lifetime = std::weak_ptr{lifetime_}](result<void> done)
        {
            if (!lifetime.expired())
            {
                end_sync(std::move(done));
            }
        });
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::end_sync(result<void> done)
    -> void
{
    is_syncing_ = false;
    auto const took = clock_.now() - sync_start_;
    last_sync_time_ = took;
    ++load_.syncs;
    load_.sync_time += took;
    load_.longest_sync = std::max(load_.longest_sync, took);
    auto const messages = std::exchange(syncing_messages_, {});
    if (failure_)
    {
        return;
    }
    if (!done)
    {
        unsynced_ = true;
        keep_waiting_or_fail(done.error());
        return;
    }
    for (auto const& it : messages)
    {
        transport_.send(it.to, it.message);
    }
    perform(core_->persisted(clock_.now()));
    if (installing_ && !is_saving_piece_ && !failure_)
    {
        done = finish_install();
    }
    if (!done)
    {
        keep_waiting_or_fail(done.error());
    }
    else if (!failure_)
    {
        go_on();
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::go_on() -> void
{
    if (disk_full_)
    {
        disk_full_.reset();
        report(disk_event::writable, {});
        perform(core_->set_writable(clock_.now(), true));
    }
    if (installing_)
    {
        return; // until the part of a snapshot that is being saved
    }
    for (auto& [from, message] : std::exchange(waiting_messages_, {}))
    {
        receive(from, std::move(message));
    }
    take_snapshot_if_due();
    if (failure_ || disk_full_ || is_syncing_)
    {
        return;
    }
    if (!unsynced_)
    {
        send_held();
    }
    else if (clock_.now() >= next_sync())
    {
        start_sync();
    }
    else
    {
        arm_flush(next_sync());
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::update_meter() -> void
{
    if (core_->role() != raft_role::leader)
    {
        office_.update(clock_.now(), std::nullopt);
        return;
    }
    // Until the proposals of unknown outcome are applied, the lease serves
    // nobody.
    auto const serves = applied_ >= last_unknown_;
    office_.update(clock_.now(),
                   serves ? core_->lease_until() : time_point::min());
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::take_load() -> replica_load
{
    auto out = std::exchange(load_, {});
    out.office = office_.take(clock_.now());
    if (is_syncing_)
    {
        out.longest_sync =
            std::max(out.longest_sync, clock_.now() - sync_start_);
    }
    if (core_)
    {
        out.office.longest_round_trip =
            core_->take_longest_round_trip(clock_.now());
    }
    return out;
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::report_role() -> void
{
    auto const is_same = reported_role_.role == core_->role() &&
                         reported_role_.in_term == core_->current_term() &&
                         reported_role_.leader == core_->leader();
    if (is_same || !on_role_)
    {
        return;
    }
    reported_role_ = {core_->role(), core_->current_term(), core_->leader(),
                      clock_.now() - core_->last_leader_contact(),
                      core_->take_ended_office()};
    on_role_(reported_role_);
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::send_held() -> void
{
    for (auto const& it : std::exchange(held_messages_, {}))
    {
        transport_.send(it.to, it.message);
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::update_leadership() -> void
{
    auto const current = core_->current_term();
    if (leading_term_ &&
        (core_->role() != raft_role::leader || *leading_term_ != current))
    {
        auto const ended = *std::exchange(leading_term_, std::nullopt);
        if (on_leadership_)
        {
            on_leadership_(false, ended);
        }
    }
    if (core_->role() != raft_role::leader)
    {
        last_unknown_ = {};
        fail_pending(
            {error_kind::no_leader,
             "this replica stepped down before the proposal was committed"});
    }
    else if (leading_term_ && !core_->has_lease(clock_.now()))
    {
        fail_callers();
    }
    else if (!leading_term_ && committed_.empty() &&
             core_->has_lease(clock_.now()))
    {
        leading_term_ = current;
        if (on_leadership_)
        {
            on_leadership_(true, current);
        }
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::fail_pending(error const& it)
    -> void
{
    pending_bytes_ = 0;
    for (auto& [index, proposal] : std::exchange(pending_, {}))
    {
        proposal.callback(outcome::failure(it));
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::fail_callers() -> void
{
    std::vector<completion> callers;
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        if (it->second.origin == proposal_origin::leader)
        {
            ++it;
            continue;
        }
        pending_bytes_ -= it->second.bytes;
        last_unknown_ = std::max(last_unknown_, it->first);
        callers.push_back(std::move(it->second.callback));
        it = pending_.erase(it);
    }
    for (auto const& callback : callers)
    {
        callback(fail(error_kind::no_leader,
                      "no majority of the group answers the leader"));
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::arm_timer() -> void
{
    auto const next = core_->next_tick();
    if (tick_timer_ && next_tick_ <= next)
    {
        return;
    }
    if (tick_timer_)
    {
        clock_.cancel_timer(*tick_timer_);
    }
    next_tick_ = next;
    tick_timer_ = clock_.start_timer(
        std::max(duration{0}, next - clock_.now()),
        [this]
        {
            tick_timer_.reset();
            load_.longest_delay =
                std::max(load_.longest_delay, clock_.now() - next_tick_);
            perform(core_->tick(clock_.now(), next_random()));
        });
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::stop(error const& it) -> void
{
    failure_ = it;
    for (auto* timer : {&flush_timer_, &apply_timer_, &piece_timer_,
                        &tick_timer_, &retry_timer_})
    {
        if (*timer)
        {
            clock_.cancel_timer(**timer);
            timer->reset();
        }
    }
    held_messages_.clear();
    syncing_messages_.clear();
    waiting_messages_.clear();
    if (auto const ended = std::exchange(leading_term_, std::nullopt);
        ended && on_leadership_)
    {
        on_leadership_(false, *ended);
    }
    fail_pending({error_kind::no_leader, it.detail});
    if (on_failure_)
    {
        on_failure_(it);
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::next_random() -> random_bits
{
    return random_bits{apricotlb::next_random(options_.seed)};
}

} // namespace apricotlb

#endif
