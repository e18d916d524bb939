/// When a member of the group has applied the halts of workers' leases.
#ifndef APRICOTLB_CORE_FLEET_LEASE_HALTS_HPP
#define APRICOTLB_CORE_FLEET_LEASE_HALTS_HPP

#include "core/state/commands.hpp"
#include "core/state/worker_places.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/workflow.hpp>

#include <map>
#include <optional>
#include <vector>

namespace apricotlb
{

/// Kept by followers too, so that a new leader need not wait for what was over
/// before its election. Times are on the loop's clock and are not stored: a
/// halt is applied after it was proposed, so that what was left then is over
/// no later than as much time after the applying.
class lease_halts
{
public:
    auto record(start_runs const& it, time_point now) -> void
    {
        for (auto const& place :
             it.places.value_or(std::vector<worker_place>{}))
        {
            if (place.halt)
            {
                halts_.insert_or_assign(place.worker,
                                        applied_halt{*place.halt, now});
            }
        }
    }
    /// Forgets the workers without places in the log.
    auto prune(worker_places const& places) -> void
    {
        std::erase_if(halts_, [&places](auto const& each)
                      { return places.find(each.first) == nullptr; });
    }
    /// When the halt was applied here; none if a snapshot has brought it.
    [[nodiscard]] auto find(worker_place const& it) const
        -> std::optional<time_point>
    {
        auto const known = halts_.find(it.worker);
        return known != halts_.end() && known->second.value == it.halt
                   ? std::optional{known->second.at}
                   : std::nullopt;
    }

private:
    struct applied_halt
    {
        lease_halt value;
        time_point at{};
    };

    std::map<worker_instance, applied_halt> halts_;
};

} // namespace apricotlb

#endif
