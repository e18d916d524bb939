/// The part of the log that is kept in memory, with the membership at each
/// entry.
#ifndef APRICOTLB_CORE_LOG_RAFT_LOG_HPP
#define APRICOTLB_CORE_LOG_RAFT_LOG_HPP

#include "core/log/raft_messages.hpp"

#include <apricotlb/ids.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Entries after base, without gaps.
class raft_log
{
public:
    raft_log() = default;
    /// members is the membership at base.
    raft_log(log_position base, raft_members members);

    [[nodiscard]] auto base() const -> log_position { return base_; }
    [[nodiscard]] auto last() const -> log_position;
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    /// Term of the entry at an index, or of base; nothing outside of the log.
    [[nodiscard]] auto term_at(log_index index) const -> std::optional<term>;
    [[nodiscard]] auto at(log_index index) const -> log_entry const&;
    /// As many entries from first on as fit into max_bytes, but at least one if
    /// there is any. None if the log does not hold the first one any more.
    [[nodiscard]] auto slice(log_index first, std::size_t max_bytes) const
        -> std::vector<log_entry>;
    /// First of the consecutive entries that have the term of the given entry.
    [[nodiscard]] auto first_index_of_term(log_index index) const -> log_index;
    /// Index up to which entries may be discarded, so that the entries kept
    /// after it, up to last, stay within config::log_tail_entries and
    /// config::log_tail_bytes.
    [[nodiscard]] auto compaction_point(log_index last) const -> log_index;

    auto push(log_entry entry) -> void;
    /// Removes the entries from first on.
    auto truncate(log_index first) -> void;
    /// Removes the entries up to last, which becomes the base.
    auto compact(log_index last) -> void;

    /// The membership of the newest membership entry (or of base), and the
    /// index of that entry. It applies from the time the entry is appended.
    [[nodiscard]] auto members() const -> raft_members const&;
    [[nodiscard]] auto members_index() const -> log_index;
    [[nodiscard]] auto members_at(log_index index) const -> raft_members const&;

private:
    /// Position of an entry in entries_.
    [[nodiscard]] auto offset(log_index index) const -> std::size_t;

    log_position base_;
    std::deque<log_entry> entries_;
    /// Membership at base, then one item for each membership entry.
    std::vector<std::pair<log_index, raft_members>> members_{{}};
};

} // namespace apricotlb

#endif
