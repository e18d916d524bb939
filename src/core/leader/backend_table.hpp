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

/// What an announcement changed.
enum class announce_effect : std::uint8_t
{
    renewed, ///< known and unchanged
    updated, ///< new, or with other content
    left,    ///< leaves; it takes no new work
    ignored, ///< older than the departure of the backend server
};

/// Changes after `from`, complete up to `to`; the whole table if from is 0.
struct backend_delta
{
    revision from;
    revision to;
    bool complete{false};
    std::vector<backend_change> changes;
};

/// Keeps each backend server for config::announce_lifetime after its last
/// announcement. Revisions count from 1 in each term of a leader.
///
/// Announcements carry no number, so one that was sent before the departure
/// of its backend server cannot be told from a later one. For one lifetime
/// after the departure every announcement of that backend server is ignored.
class backend_table
{
public:
    backend_table(term leader_term, time_point elected);

    auto record_announcement(announce const& it, time_point now)
        -> announce_effect;

    /// Removes backend servers whose lifetime ended, and returns them; costs
    /// time in proportion to the announcements since the last call.
    auto expire(time_point now) -> std::vector<backend_id>;

    /// What a reader that holds revision `since` of term `of` lacks. The
    /// whole table is given for another term, a revision whose removals are
    /// no longer kept, and once when the table becomes complete, so that the
    /// reader can drop what no one announced to this leader.
    [[nodiscard]] auto changes_since(term of, revision since, time_point now)
        -> backend_delta;

    /// True once every live backend server had time to announce itself.
    [[nodiscard]] auto is_complete(time_point now) const -> bool;

    [[nodiscard]] auto find(backend_id const& id) const -> backend_info const*;
    /// The present backend servers.
    [[nodiscard]] auto all() const -> std::vector<backend_info>;

    [[nodiscard]] auto newest() const -> revision { return newest_; }

    /// Number of present backend servers.
    [[nodiscard]] auto size() const -> std::size_t { return present_; }

    /// Removals are kept while there are at most this many.
    static constexpr std::size_t max_tombstones = 4096;

private:
    struct table_row
    {
        backend_info info;
        revision at;
        time_point ends; // of its lifetime, or of the refusal after it left
        bool present{false};
        bool left{false};
    };

    auto complete(time_point now) -> void;
    auto touch(table_row& it) -> void;
    auto remove(table_row& it) -> void;
    auto drop_tombstones() -> void;

    term term_;
    time_point complete_at_;
    revision newest_{1};
    bool completed_{false};
    revision whole_below_; // readers below it get the whole table
    std::size_t present_{0};
    std::unordered_map<backend_id, table_row> rows_;
    std::map<revision, backend_id> by_revision_;
    std::deque<std::pair<time_point, backend_id>> ends_;
    std::deque<std::pair<revision, backend_id>> removed_;
};

} // namespace apricotlb

#endif
