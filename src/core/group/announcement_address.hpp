/// Choice of the control process that takes the announcements of a worker.
#ifndef APRICOTLB_CORE_GROUP_ANNOUNCEMENT_ADDRESS_HPP
#define APRICOTLB_CORE_GROUP_ANNOUNCEMENT_ADDRESS_HPP

#include "core/log/raft.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <string>

namespace apricotlb
{

/// The address for the later announcements of a worker that has announced
/// itself to `self`: this process, unless it leads and another member is in
/// contact. Workers of the leader are spread over the others by their ids.
[[nodiscard]] auto announcement_address(raft_status const& status,
                                        node_id const& self,
                                        worker_id const& worker, time_point now)
    -> std::string;

} // namespace apricotlb

#endif
