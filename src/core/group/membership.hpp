/// Automatic replacement of lost members of the control group.
#ifndef APRICOTLB_CORE_GROUP_MEMBERSHIP_HPP
#define APRICOTLB_CORE_GROUP_MEMBERSHIP_HPP

#include "core/log/raft.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace apricotlb
{

/// The id of a control process that discovers its group: its listen address
/// and, unless it founded the group, a suffix unique to this member. A machine
/// that lost its disk rejoins under the same address with a different suffix,
/// so that the group does not mistake it for the member whose log is lost.
[[nodiscard]] auto member_id(std::string const& address,
                             std::string const& suffix) -> node_id;

/// The listen address contained in a member's id.
[[nodiscard]] auto served_address(node_id const& id) -> std::string;

/// Number of voters with which a majority remains after the given losses.
[[nodiscard]] constexpr auto voters_for(std::size_t losses) -> std::size_t
{
    return 2 * losses + 1;
}

/// The next removal that the leader should propose, if any. raft itself
/// promotes learners. Removed are:
/// - a member that has been silent for config::peer_timeout while a live member
///   has the same address under another id: the machine lost its disk;
/// - a voter that has been silent for config::voter_removal_delay while a
///   learner that has caught up can replace it: one that is no successor of
///   another voter, while no place among the voters is free;
/// - a learner that has been silent for config::learner_removal_delay.
/// A voter is removed only if the live voters are a majority of those that
/// remain.
[[nodiscard]] auto next_removal(raft_status const& status, node_id const& self,
                                time_point now) -> std::optional<member_change>;

} // namespace apricotlb

#endif
