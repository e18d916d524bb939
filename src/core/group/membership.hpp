/// Decides how the control group replaces its members by itself.
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

/// The id of a control process that finds its group by itself: the address
/// that it serves and, unless it founded the group, a suffix of its own. A
/// machine that lost its disk comes back under the same address with another
/// suffix, so that the group never takes it for its former self.
[[nodiscard]] auto member_id(std::string const& address,
                             std::string const& suffix) -> node_id;

/// The address in a member's id.
[[nodiscard]] auto served_address(node_id const& id) -> std::string;

/// Voters needed so that a majority remains after the given losses.
[[nodiscard]] constexpr auto voters_for(std::size_t losses) -> std::size_t
{
    return 2 * losses + 1;
}

/// The next change that the leader should make, if any. Learners are promoted
/// by raft itself, so this only removes:
/// - a member whose address is served under a newer id: its disk is gone;
/// - a voter silent for config::member_dead_after, while a learner that has
///   caught up can take its place and the others keep a majority;
/// - a learner silent for config::learner_dead_after.
[[nodiscard]] auto next_removal(raft_status const& status, node_id const& self,
                                time_point now) -> std::optional<member_change>;

} // namespace apricotlb

#endif
