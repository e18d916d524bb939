/// The leader's view of the entries that may admit requests.
#ifndef APRICOTLB_CORE_LEADER_ENTRY_LEASES_HPP
#define APRICOTLB_CORE_LEADER_ENTRY_LEASES_HPP

#include "core/messages.hpp"
#include "core/state/commands.hpp"

#include <apricotlb/time.hpp>

#include <map>
#include <vector>

namespace apricotlb
{

/// One entry as last heard of.
struct entry_lease
{
    incarnation run;
    sequence number;    ///< newest heartbeat
    revision confirmed; ///< contracts in force on the entry
    time_point ends;    ///< when it has certainly stopped admitting
    bool draining{false};
};

/// Records heartbeats and decides when a change is in force everywhere.
///
/// A new leader waits one lease with drift before it reports anything in
/// force. Confirmations of the entries that it has heard of are not enough:
/// the former leader may have granted a lease to an entry that the new one
/// has not heard of, and nothing in the log lists the entries.
class entry_leases
{
public:
    explicit entry_leases(time_point elected);

    /// Renews the lease of the sender; the answer must be sent at `now` or
    /// earlier. Returns false when the heartbeat is a duplicate, out of
    /// order or of a former run; it then gets no answer.
    ///
    /// A higher incarnation replaces the former run at once: a node id
    /// belongs to one process, so the former run no longer admits anything.
    /// Any other incarnation waits for the end of the recorded lease.
    [[nodiscard]] auto on_heartbeat(entry_heartbeat const& it, time_point now)
        -> bool;

    /// True when every entry that may still admit has confirmed the
    /// revision. Once true for a revision it stays true: an entry that comes
    /// back gets its lease in the answer that brings the newer contracts.
    [[nodiscard]] auto in_force(revision at, time_point now) -> bool;

    /// When in_force() can change without a further heartbeat; the earliest
    /// end of a lease, or of the wait after the election.
    [[nodiscard]] auto next_end(time_point now) const -> time_point;

    /// True while the lease of this run has not ended.
    [[nodiscard]] auto is_live(entry_session const& it, time_point now) const
        -> bool;

    /// Commands for the sessions among `open` (those with open keys) whose
    /// lease ended at least one further lease ago. The grace lets an entry
    /// that was briefly cut off record its outcomes first. Sessions that are
    /// unknown here count from the election. A session is listed again while
    /// it has open keys, so a key that was begun by a delayed command after
    /// the end of its session is also ended.
    [[nodiscard]] auto sessions_to_end(std::vector<entry_session> const& open,
                                       time_point now) const
        -> std::vector<end_session>;

    /// Entries by node id, also those whose lease has ended.
    [[nodiscard]] auto all() const -> std::map<node_id, entry_lease> const&
    {
        return entries_;
    }

    /// Forgets entries whose lease and grace have ended.
    auto prune(time_point now) -> void;

private:
    time_point settled_; // no lease of a former leader is left from here on
    revision in_force_;
    std::map<node_id, entry_lease> entries_;
};

} // namespace apricotlb

#endif
