/// Snapshots of replica, and how it goes on while its disk is full; included
/// by replica.hpp only.
#ifndef APRICOTLB_APP_REPLICA_DISK_HPP
#define APRICOTLB_APP_REPLICA_DISK_HPP

#include "app/replica.hpp"

namespace apricotlb
{

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::handle_failure(
    error const& it) -> void
{
    if (it.kind == error_kind::disk_full)
    {
        wait_for_space(it);
        return;
    }
    stop(it);
}

/// The replica keeps what could not be written, promises nothing that depends
/// on it, and leaves the lead to another member.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::wait_for_space(
    error const& it) -> void
{
    if (disk_full_)
    {
        return;
    }
    disk_full_ = it;
    held_messages_.clear();
    waiting_messages_.clear();
    if (flush_timer_)
    {
        clock_.cancel_timer(*flush_timer_);
        flush_timer_.reset();
    }
    report(disk_event::full, it.detail);
    arm_retry();
    if (!core_)
    {
        return;
    }
    perform(core_->set_writable(clock_.now(), false));
    fail_pending({error_kind::no_leader,
                  "the disk was full before the proposal was committed"});
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::arm_retry() -> void
{
    if (retry_timer_)
    {
        return;
    }
    retry_timer_ = clock_.start_timer(config::disk_retry_interval,
                                      [this]
                                      {
                                          retry_timer_.reset();
                                          retry();
                                      });
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::retry() -> void
{
    if (is_syncing_ || (installing_ && is_saving_piece_))
    {
        arm_retry();
        return;
    }
    if (core_ && !installing_)
    {
        start_sync();
        return;
    }
    if (auto const done = core_ ? finish_install() : open(); !done)
    {
        keep_waiting_or_fail(done.error());
        return;
    }
    go_on();
}

/// After a write has failed.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::keep_waiting_or_fail(
    error const& it) -> void
{
    if (!disk_full_ || it.kind != error_kind::disk_full)
    {
        handle_failure(it);
        return;
    }
    arm_retry();
    if (core_)
    {
        take_snapshot_if_due();
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::take_snapshot_if_due()
    -> void
{
    auto const entries = (applied_ - snapshot_).value();
    auto const now = clock_.now();
    auto const is_low = is_space_low();
    auto const frees_space =
        is_low && entries > 0 && now >= next_freeing_snapshot_;
    auto const is_due = entries >= options_.snapshot_entries ||
                        bytes_since_snapshot_ >= options_.snapshot_bytes ||
                        is_snapshot_postponed_ || frees_space;
    auto const is_useless = disk_full_ && !is_low;
    if (failure_ || is_syncing_ || saving_ || is_saving_piece_ || installing_ ||
        !is_due || is_useless || now < next_snapshot_)
    {
        return;
    }
    next_freeing_snapshot_ = now + config::low_disk_snapshot_interval;
    saving_ =
        raft_snapshot{core_->describe_snapshot(applied_), machine_.snapshot()};
    if (auto const done = store_.begin_snapshot(*saving_); !done)
    {
        postpone_snapshot(done.error());
        return;
    }
    snapshot_ = applied_;
    bytes_since_snapshot_ = 0;
    schedule_piece();
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::schedule_piece() -> void
{
    piece_timer_ = clock_.start_timer(duration{0},
                                      [this]
                                      {
                                          piece_timer_.reset();
                                          save_piece();
                                      });
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::save_piece() -> void
{
    // A snapshot that was installed in the meantime has replaced this one.
    if (failure_ || !saving_)
    {
        return;
    }
    is_saving_piece_ = true;
    store_.start_piece(
        [this, lifetime = std::weak_ptr{lifetime_}](result<bool> const& done)
        {
            if (!lifetime.expired())
            {
                end_piece(done);
            }
        });
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::end_piece(
    result<bool> const& done) -> void
{
    is_saving_piece_ = false;
    if (installing_ && !failure_ && !disk_full_ && !is_syncing_)
    {
        if (auto const installed = finish_install(); !installed)
        {
            handle_failure(installed.error());
            return;
        }
        go_on();
        return;
    }
    if (failure_ || !saving_)
    {
        return;
    }
    if (done && !done.value())
    {
        schedule_piece();
        return;
    }
    if (!done)
    {
        postpone_snapshot(done.error());
        return;
    }
    is_snapshot_postponed_ = false;
    auto const keep = core_->compact(*std::exchange(saving_, std::nullopt));
    if (auto const freed = store_.compact(keep); !freed)
    {
        handle_failure(freed.error());
    }
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::postpone_snapshot(
    error const& it) -> void
{
    saving_.reset();
    if (it.kind != error_kind::disk_full)
    {
        stop(it);
        return;
    }
    is_snapshot_postponed_ = true;
    next_snapshot_ = clock_.now() + config::low_disk_snapshot_interval;
    report(disk_event::snapshot_postponed, it.detail);
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::is_space_low() const -> bool
{
    return store_.free_space() <
           config::disk_reserve +
               byte_count{std::int64_t{config::max_entry_bytes}};
}

/// Heartbeats and votes need almost no space and are always accepted. The
/// leader sends the rest again, and a snapshot frees space in the meantime.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::refusal(
    raft_message const& it) const -> std::optional<disk_event>
{
    if (std::holds_alternative<install_snapshot>(it) && disk_full_)
    {
        return disk_event::snapshot_dropped;
    }
    auto const* const message = std::get_if<append_entries>(&it);
    auto const has_entries = message != nullptr && !message->entries.empty();
    auto const has_space =
        !disk_full_ &&
        store_.free_space() > byte_count{2 * config::max_append_bytes};
    return has_entries && !has_space
               ? std::optional{disk_event::entries_dropped}
               : std::nullopt;
}

template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
auto replica<Clock, Transport, LogStore, Machine>::report(
    disk_event it, std::string const& cause) -> void
{
    if (on_disk_event_)
    {
        on_disk_event_(it, cause);
    }
}

} // namespace apricotlb

#endif
