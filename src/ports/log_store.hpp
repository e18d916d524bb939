/// Port: durable storage of the replicated log.
#ifndef APRICOTLB_PORTS_LOG_STORE_HPP
#define APRICOTLB_PORTS_LOG_STORE_HPP

#include "core/log/raft_messages.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/units.hpp>

#include <concepts>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace apricotlb
{

/// The contents of a store when a process starts.
struct stored_log
{
    hard_state term_and_vote;
    std::optional<raft_snapshot> snapshot;
    log_position base; ///< position before the first entry
    std::vector<log_entry> entries;
};

/// save and append_entries only buffer; sync makes everything buffered durable
/// at once, and start_sync does without keeping the loop. Until it has called
/// back, only save, append_entries, start_piece, compact and the functions
/// that return a size may be called. A call that fails with disk_full
/// leaves the durable contents as they were, keeps what is buffered, and may be
/// repeated. After any other failure the store refuses every call, because a
/// failed sync may have lost data that a second sync would report as durable.
/// The process must exit.
template <class T>
concept log_store_port =
    requires(T& it, hard_state const& term_and_vote,
             std::vector<log_entry> const& entries,
             raft_snapshot const& snapshot, log_index keep_after,
             std::function<void(result<void>)> done,
             std::function<void(result<bool>)> saved) {
        {
            it.load()
        } -> std::same_as<result<stored_log>>;
        {
            it.save(term_and_vote)
        } -> std::same_as<void>;
        // An entry replaces the stored entry of its index and all after it.
        {
            it.append_entries(entries)
        } -> std::same_as<void>;
        {
            it.sync()
        } -> std::same_as<result<void>>;
        // Starts to make all that is buffered at the call durable, and calls
        // back in a later turn of the loop, or at once if it cannot start. A
        // store that is destroyed meanwhile does not call back.
        {
            it.start_sync(std::move(done))
        } -> std::same_as<void>;
        // Starts to save a snapshot in parts. Other functions may be called
        // between the parts.
        {
            it.begin_snapshot(snapshot)
        } -> std::same_as<result<void>>;
        // Saves the next part; true once the snapshot is durable.
        {
            it.continue_snapshot()
        } -> std::same_as<result<bool>>;
        // The same without keeping the loop: calls back in a later turn, or at
        // once if it cannot start. Until then no snapshot may be begun, saved
        // or installed.
        {
            it.start_piece(std::move(saved))
        } -> std::same_as<void>;
        // Saves a snapshot at once. The effect of this function, install and
        // compact is durable on return.
        {
            it.save_snapshot(snapshot)
        } -> std::same_as<result<void>>;
        // Saves the snapshot and removes the complete log.
        {
            it.install(snapshot)
        } -> std::same_as<result<void>>;
        // Removes entries up to keep_after; some of them may remain.
        {
            it.compact(keep_after)
        } -> std::same_as<result<void>>;
        // Size of the stored files.
        {
            it.used_space()
        } -> std::same_as<byte_count>;
        // How many bytes may still be appended within the limit of disk space.
        {
            it.free_space()
        } -> std::same_as<byte_count>;
    };

} // namespace apricotlb

#endif
