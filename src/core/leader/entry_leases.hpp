/// The leader's view of the entries that may admit requests.
#ifndef APRICOTLB_CORE_LEADER_ENTRY_LEASES_HPP
#define APRICOTLB_CORE_LEADER_ENTRY_LEASES_HPP

#include "core/leader/replaced_lives.hpp"
#include "core/messages.hpp"
#include "core/state/commands.hpp"

#include <apricotlb/time.hpp>

#include <map>
#include <vector>

namespace apricotlb
{

/// State of one entry as of its last heartbeat.
struct entry_lease
{
    incarnation run;
    sequence number;    ///< of the newest heartbeat
    revision confirmed; ///< newest contract revision in force on the entry
    time_point ends;    ///< from then on the entry admits no requests
    bool draining{false};
    replaced_lives replaced{}; ///< by the recorded one, in this office
};

/// Records heartbeats and decides when a change is in force on every entry.
///
/// A new leader waits for one lease with clock drift before it reports a change
/// in force. Until then the confirmations that it has received are not enough:
/// the former leader may have granted a lease to an entry that has not yet
/// contacted the new leader, and the log does not list the entries.
class entry_leases
{
public:
    explicit entry_leases(time_point elected);

    /// Renews the lease of the sender. The answer must be sent at `now` or
    /// earlier. Returns false if the heartbeat is a duplicate, out of order or
    /// of a replaced incarnation; it must not be answered then.
    ///
    /// Another incarnation replaces the recorded one at once, whatever the
    /// order of their numbers: a node id belongs to one process, so the former
    /// one no longer admits requests. One that was replaced in this office is
    /// accepted only after the recorded lease has ended.
    [[nodiscard]] auto on_heartbeat(entry_heartbeat const& heartbeat,
                                    time_point now) -> bool;

    /// True when every entry that may still admit requests has confirmed the
    /// revision. The result stays true from then on: an entry that returns gets
    /// its lease in the same answer as the newer contracts.
    [[nodiscard]] auto in_force(revision at, time_point now) -> bool;

    /// Next time at which in_force() may change without a further heartbeat:
    /// the earliest end of a lease, or of the wait after the election.
    [[nodiscard]] auto next_end(time_point now) const -> time_point;

    /// True while the lease of this incarnation has not ended.
    [[nodiscard]] auto is_live(entry_session const& it, time_point now) const
        -> bool;

    /// Commands that end those sessions among `open` (sessions with open keys)
    /// whose lease ended at least one further lease ago, or that another
    /// incarnation has replaced in this office. The grace period lets an entry
    /// that was briefly disconnected record its outcomes first. For sessions
    /// without a recorded lease it starts when leases of the former leader have
    /// ended: the incarnation may be the next one, and not known yet. A
    /// session is returned again while it has open keys, so that a key opened
    /// by a delayed command after the end of its session is ended too.
    [[nodiscard]] auto sessions_to_end(std::vector<entry_session> const& open,
                                       time_point now) const
        -> std::vector<end_session>;

    /// Entries by node id, also those whose lease has ended.
    [[nodiscard]] auto all() const -> std::map<node_id, entry_lease> const&
    {
        return entries_;
    }

    /// Removes entries whose lease and grace period have ended.
    auto prune(time_point now) -> void;

private:
    // From then on all leases granted by a former leader have ended.
    time_point former_leases_end_;
    revision in_force_;
    std::map<node_id, entry_lease> entries_;
};

} // namespace apricotlb

#endif
