/// The leader's table of announced backend servers.
#ifndef APRICOTLB_CORE_LEADER_BACKEND_TABLE_HPP
#define APRICOTLB_CORE_LEADER_BACKEND_TABLE_HPP

#include "core/messages.hpp"

#include <apricotlb/job.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Effect of an announcement on the table.
enum class announce_effect : std::uint8_t
{
    renewed, ///< lifetime extended; content unchanged
    updated, ///< added, or with changed content
    left,    ///< removed: the backend server leaves and takes no new requests
    ignored, ///< may be older than the departure of the backend server
};

/// All changes after revision `from` up to `to`; the full table if `from` is 0.
struct backend_delta
{
    revision from;
    revision to;
    bool complete{false}; ///< as backend_table::is_complete()
    std::vector<backend_change> changes;
};

/// Keeps each backend server for config::announce_lifetime after its last
/// announcement. Revisions count from 1 in each term of a leader.
///
/// Announcements carry no number, so one that was sent before the departure
/// of its backend server cannot be distinguished from a later one. For one
/// lifetime after the departure all announcements of that backend server are
/// ignored.
class backend_table
{
public:
    backend_table(term leader_term, time_point elected);

    auto record_announcement(backend_announcement const& announcement,
                             time_point now) -> announce_effect;

    /// Removes the backend servers whose lifetime has ended and returns them.
    /// The cost is proportional to the announcements since the last call.
    auto expire(time_point now) -> std::vector<backend_id>;
    /// Keeps the present backend servers until then, and later than any expiry
    /// before, since their announcements were refused for a while.
    auto keep_until(time_point end) -> void;

    /// Changes that a reader with revision `since` of term `known_term` needs.
    /// The reader gets the full table if the term differs, if removals after
    /// `since` are no longer kept, and once when the table becomes complete, so
    /// that it can remove backend servers that were not announced to this
    /// leader.
    [[nodiscard]] auto changes_since(term known_term, revision since,
                                     time_point now) -> backend_delta;

    /// True once every live backend server has had time to announce itself
    /// since the election.
    [[nodiscard]] auto is_complete(time_point now) const -> bool;

    [[nodiscard]] auto find(backend_id const& id) const -> backend_info const*;
    /// The present backend servers.
    [[nodiscard]] auto all() const -> std::vector<backend_info>;

    [[nodiscard]] auto newest() const -> revision { return newest_; }

    /// Number of present backend servers.
    [[nodiscard]] auto size() const -> std::size_t { return present_count_; }

    /// Above this number of kept removals the oldest are discarded.
    static constexpr std::size_t max_tombstones = 4096;

private:
    struct table_row
    {
        backend_info info;
        revision changed_at;
        /// End of the lifetime or, if it has left, of the time in which
        /// announcements are ignored.
        time_point expires_at;
        bool present{false};
        bool has_left{false};
    };

    auto update_completeness(time_point now) -> void;
    auto assign_revision(table_row& row) -> void;
    auto remove(table_row& row) -> void;
    auto prune_tombstones() -> void;

    term term_;
    time_point complete_at_;
    revision newest_{1};
    bool was_complete_{false};
    revision full_table_below_; // readers below it get the full table
    std::size_t present_count_{0};
    std::unordered_map<backend_id, table_row> rows_;
    std::map<revision, backend_id> by_revision_;
    std::deque<std::pair<time_point, backend_id>> expiries_;
    std::deque<std::pair<revision, backend_id>> tombstones_;
};

} // namespace apricotlb

#endif
