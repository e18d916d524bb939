#include "core/group/announcement_address.hpp"

#include "core/group/membership.hpp"

#include <apricotlb/config.hpp>

#include <functional>
#include <vector>

namespace apricotlb
{

auto announcement_address(raft_status const& status, node_id const& self,
                          worker_id const& worker, time_point now)
    -> std::string
{
    auto own = served_address(self);
    if (status.role != raft_role::leader)
    {
        return own;
    }
    std::vector<std::string> others;
    for (auto const& it : status.members)
    {
        auto address = served_address(it.member.id);
        if (address != own && now - it.last_contact < config::peer_timeout)
        {
            others.push_back(std::move(address));
        }
    }
    return others.empty()
               ? own
               : others[std::hash<worker_id>{}(worker) % others.size()];
}

} // namespace apricotlb
