/// The part of the log that is held in memory, and the members at each entry.
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

/// Entries behind base, without gaps.
class raft_log
{
public:
    raft_log() = default;
    /// members are those in force at base.
    raft_log(log_position base, raft_members members);

    [[nodiscard]] auto base() const -> log_position { return base_; }
    [[nodiscard]] auto last() const -> log_position;
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    /// Term of an entry, or nothing if it is unknown here.
    [[nodiscard]] auto term_at(log_index it) const -> std::optional<term>;
    [[nodiscard]] auto at(log_index it) const -> log_entry const&;
    /// Entries from first on, at least one if there is any, else as many as
    /// fit into max_bytes.
    [[nodiscard]] auto slice(log_index first, std::size_t max_bytes) const
        -> std::vector<log_entry>;
    /// First index of the run of entries with the term of the given one.
    [[nodiscard]] auto first_index_of_term(log_index it) const -> log_index;
    /// Oldest position to keep so that the entries up to last stay within the
    /// bounds of the tail.
    [[nodiscard]] auto compaction_point(log_index last) const -> log_index;

    auto push(log_entry it) -> void;
    /// Drops the entries from first on.
    auto truncate(log_index first) -> void;
    /// Drops the entries up to last, which becomes the base.
    auto compact(log_index last) -> void;

    /// Members in force now, and the entry that set them.
    [[nodiscard]] auto members() const -> raft_members const&;
    [[nodiscard]] auto members_index() const -> log_index;
    [[nodiscard]] auto members_at(log_index it) const -> raft_members const&;

private:
    [[nodiscard]] auto offset(log_index it) const -> std::size_t;

    log_position base_;
    std::deque<log_entry> entries_;
    std::vector<std::pair<log_index, raft_members>> members_{{}};
};

} // namespace apricotlb

#endif
