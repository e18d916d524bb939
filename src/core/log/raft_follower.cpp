#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace apricotlb
{

auto raft::handle(time_point now, node_id const& from, append_entries it)
    -> void
{
    if (it.in_term < term_and_vote_.current)
    {
        send_after_sync(
            from,
            append_entries_answer{
                term_and_vote_.current, false, it.prev.index, {}, it.sent_at});
        return;
    }
    if (it.in_term > term_and_vote_.current || role_ != raft_role::follower)
    {
        become_follower(now, it.in_term, from);
    }
    record_leader_contact(now, from);
    if (!is_valid(it))
    {
        return;
    }
    auto const known = log_.term_at(it.prev.index);
    if (it.prev.index > log_.base().index && known != it.prev.in_term)
    {
        // Skips the whole run of a term that the leader does not have.
        auto const first =
            known ? log_.first_index_of_term(it.prev.index) : log_index{};
        auto const hint = known ? first - log_index{1} : log_.last().index;
        send_after_sync(from, append_entries_answer{
                                  term_and_vote_.current, false, it.prev.index,
                                  std::max(hint, commit_), it.sent_at});
        return;
    }
    auto const count = log_index{it.entries.size()};
    store_new_entries(std::move(it.entries));
    // What lies at or before the base is committed and hence the same.
    auto const match = std::max(log_.base().index, it.prev.index + count);
    commit_to(std::min(it.commit_index, match));
    send_after_sync(from,
                    append_entries_answer{term_and_vote_.current, true,
                                          it.prev.index, match, it.sent_at});
}

/// A message that contradicts committed entries or has gaps is not answered.
auto raft::is_valid(append_entries const& it) const -> bool
{
    auto index = it.prev.index;
    for (auto const& each : it.entries)
    {
        ++index;
        auto const known = log_.term_at(each.index);
        if (each.index != index ||
            (each.index <= commit_ && known && known != each.in_term))
        {
            return false;
        }
    }
    return true;
}

auto raft::store_new_entries(std::vector<log_entry> entries) -> void
{
    for (auto& it : entries)
    {
        if (it.index <= log_.base().index ||
            log_.term_at(it.index) == it.in_term)
        {
            continue;
        }
        if (it.index <= log_.last().index)
        {
            log_.truncate(it.index);
            durable_index_ = std::min(durable_index_, it.index - log_index{1});
        }
        actions_.entries_to_persist.push_back(it);
        log_.push(std::move(it));
    }
}

auto raft::handle(time_point now, node_id const& from,
                  install_snapshot const& it) -> void
{
    if (it.in_term < term_and_vote_.current)
    {
        send_after_sync(from, append_entries_answer{term_and_vote_.current,
                                                    false,
                                                    it.info.last.index,
                                                    {},
                                                    it.sent_at});
        return;
    }
    if (it.in_term > term_and_vote_.current || role_ != raft_role::follower)
    {
        become_follower(now, it.in_term, from);
    }
    record_leader_contact(now, from);

    auto const accept = [&](log_index match)
    {
        send_after_sync(from, append_entries_answer{term_and_vote_.current,
                                                    true, it.info.last.index,
                                                    match, it.sent_at});
    };
    if (it.info.last.index <= commit_)
    {
        incoming_.reset();
        accept(commit_);
        return;
    }
    auto const offset = static_cast<std::size_t>(it.offset.value());
    if (!incoming_ || incoming_->info != it.info)
    {
        incoming_ = incoming_snapshot{it.info, {}};
    }
    if (offset == incoming_->data.size() &&
        offset + it.data.size() <= config::max_snapshot_bytes)
    {
        incoming_->data += it.data;
    }
    auto const received = static_cast<std::int64_t>(incoming_->data.size());
    if (received != it.total.value())
    {
        send(from, snapshot_answer{term_and_vote_.current, it.info.last.index,
                                   byte_count{received}, it.sent_at});
        return;
    }
    raft_snapshot whole{it.info, std::move(incoming_->data)};
    incoming_.reset();
    snapshot_ = std::make_shared<raft_snapshot const>(whole);
    log_ = raft_log{it.info.last, it.info.members};
    durable_index_ = it.info.last.index;
    commit_ = it.info.last.index;
    actions_.install = std::move(whole);
    accept(commit_);
}

} // namespace apricotlb
