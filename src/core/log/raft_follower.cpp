#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace apricotlb
{

auto raft::handle(time_point now, node_id const& from, append_entries request)
    -> void
{
    if (request.in_term < term_and_vote_.current)
    {
        send_in_durable_term(from, append_entries_answer{term_and_vote_.current,
                                                         false,
                                                         request.prev.index,
                                                         {},
                                                         request.sent_at});
        return;
    }
    if (request.in_term > term_and_vote_.current ||
        role_ != raft_role::follower)
    {
        become_follower(now, request.in_term, from);
    }
    record_leader_contact(now, from);
    if (!is_valid(request))
    {
        return;
    }
    auto const known_term = log_.term_at(request.prev.index);
    if (request.prev.index > log_.base().index &&
        known_term != request.prev.in_term)
    {
        // The hint skips all entries of the conflicting term at once.
        auto const first_index =
            known_term ? log_.first_index_of_term(request.prev.index)
                       : log_index{};
        auto const hint =
            known_term ? first_index - log_index{1} : log_.last().index;
        send_in_durable_term(
            from, append_entries_answer{
                      term_and_vote_.current, false, request.prev.index,
                      std::max(hint, commit_), request.sent_at});
        return;
    }
    auto const count = log_index{request.entries.size()};
    store_new_entries(std::move(request.entries));
    // Entries up to the base are committed and therefore equal to the leader's.
    auto const match = std::max(log_.base().index, request.prev.index + count);
    commit_to(std::min(request.commit_index, match));
    if (count == log_index{})
    {
        // The lease of the leader depends on the answers to its heartbeats, so
        // they don't wait for a sync. They promise only what is durable.
        send_in_durable_term(
            from, append_entries_answer{
                      term_and_vote_.current, true, request.prev.index,
                      std::min(match, durable_index_), request.sent_at});
        return;
    }
    send_after_sync(from, append_entries_answer{term_and_vote_.current, true,
                                                request.prev.index, match,
                                                request.sent_at});
}

/// False if the entries have a gap or contradict a committed entry. Such a
/// message is ignored without an answer.
auto raft::is_valid(append_entries const& request) const -> bool
{
    auto index = request.prev.index;
    for (auto const& entry : request.entries)
    {
        ++index;
        auto const known_term = log_.term_at(entry.index);
        if (entry.index != index || (entry.index <= commit_ && known_term &&
                                     known_term != entry.in_term))
        {
            return false;
        }
    }
    return true;
}

auto raft::store_new_entries(std::vector<log_entry> entries) -> void
{
    for (auto& entry : entries)
    {
        if (entry.index <= log_.base().index ||
            log_.term_at(entry.index) == entry.in_term)
        {
            continue;
        }
        if (entry.index <= log_.last().index)
        {
            log_.truncate(entry.index);
            auto const kept = entry.index - log_index{1};
            durable_index_ = std::min(durable_index_, kept);
            syncing_index_ = std::min(syncing_index_, kept);
        }
        actions_.entries_to_persist.push_back(entry);
        log_.push(std::move(entry));
    }
}

auto raft::handle(time_point now, node_id const& from,
                  install_snapshot const& chunk) -> void
{
    if (chunk.in_term < term_and_vote_.current)
    {
        send_after_sync(from, append_entries_answer{term_and_vote_.current,
                                                    false,
                                                    chunk.info.last.index,
                                                    {},
                                                    chunk.sent_at});
        return;
    }
    if (chunk.in_term > term_and_vote_.current || role_ != raft_role::follower)
    {
        become_follower(now, chunk.in_term, from);
    }
    record_leader_contact(now, from);

    auto const accept = [&](log_index match)
    {
        send_after_sync(from, append_entries_answer{term_and_vote_.current,
                                                    true, chunk.info.last.index,
                                                    match, chunk.sent_at});
    };
    if (chunk.info.last.index <= commit_)
    {
        incoming_.reset();
        accept(commit_);
        return;
    }
    auto const offset = static_cast<std::size_t>(chunk.offset.value());
    if (!incoming_ || incoming_->info != chunk.info)
    {
        incoming_ = incoming_snapshot{chunk.info, {}};
    }
    if (offset == incoming_->data.size() &&
        offset + chunk.data.size() <= config::max_snapshot_bytes)
    {
        incoming_->data += chunk.data;
    }
    auto const received = static_cast<std::int64_t>(incoming_->data.size());
    if (received != chunk.total.value())
    {
        send(from,
             snapshot_answer{term_and_vote_.current, chunk.info.last.index,
                             byte_count{received}, chunk.sent_at});
        return;
    }
    raft_snapshot snapshot{chunk.info, std::move(incoming_->data)};
    incoming_.reset();
    snapshot_ = std::make_shared<raft_snapshot const>(snapshot);
    log_ = raft_log{chunk.info.last, chunk.info.members};
    // The snapshot counts as durable after a sync that starts later.
    durable_index_ = std::min(durable_index_, commit_);
    syncing_index_ = std::min(syncing_index_, commit_);
    commit_ = chunk.info.last.index;
    actions_.install = std::move(snapshot);
    accept(commit_);
}

} // namespace apricotlb
