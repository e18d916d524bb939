/// Port: durable storage of the replicated log.
#ifndef APRICOTLB_PORTS_LOG_STORE_HPP
#define APRICOTLB_PORTS_LOG_STORE_HPP

#include "core/log/raft_messages.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/units.hpp>

#include <concepts>
#include <optional>
#include <vector>

namespace apricotlb
{

/// What a store holds when a process starts.
struct stored_log
{
    hard_state term_and_vote;
    std::optional<raft_snapshot> snapshot;
    log_position base; ///< position before the first entry
    std::vector<log_entry> entries;
};

/// save and append only collect; sync makes all of it durable at once. After
/// a failure the store refuses every call: a failed sync may have dropped
/// data that a second one would report as durable. The process must exit.
template <class T>
concept log_store_port =
    requires(T& it, hard_state const& term_and_vote,
             std::vector<log_entry> const& entries,
             raft_snapshot const& snapshot, log_index keep_after) {
        {
            it.load()
        } -> std::same_as<result<stored_log>>;
        {
            it.save(term_and_vote)
        } -> std::same_as<void>;
        // An entry replaces the stored one of its index and all behind it.
        {
            it.append_entries(entries)
        } -> std::same_as<void>;
        {
            it.sync()
        } -> std::same_as<result<void>>;
        // Starts to save a snapshot; others may be called in between.
        {
            it.begin_snapshot(snapshot)
        } -> std::same_as<result<void>>;
        // Saves one more piece; true once the snapshot is durable.
        {
            it.continue_snapshot()
        } -> std::same_as<result<bool>>;
        // Both in one; durable on return, like the next two.
        {
            it.save_snapshot(snapshot)
        } -> std::same_as<result<void>>;
        // Saves the snapshot and drops the whole log.
        {
            it.install(snapshot)
        } -> std::same_as<result<void>>;
        // Frees entries up to keep_after; some may remain.
        {
            it.compact(keep_after)
        } -> std::same_as<result<void>>;
        {
            it.used_space()
        } -> std::same_as<byte_count>;
        // What may still be appended within the bound on the disk used.
        {
            it.free_space()
        } -> std::same_as<byte_count>;
    };

} // namespace apricotlb

#endif
