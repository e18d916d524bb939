#include "app/replica.hpp"

#include <algorithm>

namespace apricotlb
{

auto name_of(disk_event it) -> std::string_view
{
    switch (it)
    {
    case disk_event::full:
        return "full";
    case disk_event::writable:
        return "writable";
    case disk_event::entries_dropped:
        return "entries_dropped";
    case disk_event::snapshot_dropped:
        return "snapshot_dropped";
    case disk_event::proposal_refused:
        return "proposal_refused";
    case disk_event::snapshot_postponed:
        break;
    }
    return "snapshot_postponed";
}

auto replica_options::builder::build() const -> result<replica_options>
{
    auto const refuse = [](std::string detail)
    { return fail(error_kind::bad_settings, std::move(detail)); };
    auto const& members = built_.bootstrap;
    if (built_.self.value().empty())
    {
        return refuse("the id of the replica is empty");
    }
    if (built_.snapshot_entries == 0 || built_.snapshot_bytes == 0)
    {
        return refuse(
            "the snapshot limits must be at least one entry and one byte");
    }
    if (members.size() > config::max_members)
    {
        return refuse("a group has at most " +
                      std::to_string(config::max_members) + " members");
    }
    if (!members.empty() &&
        std::ranges::count(members, built_.self, &raft_member::id) != 1)
    {
        return refuse("the members of a new group must list this replica "
                      "exactly once");
    }
    return built_;
}

} // namespace apricotlb
