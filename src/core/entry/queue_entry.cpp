#include "core/entry/queue_entry.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

auto no_lease() -> refusal
{
    return {{error_kind::lease_lapsed,
             "this entry holds no valid lease; another entry may hold one"},
            seconds{1}};
}

} // namespace

auto enter_queue(waiting_request request, route_query route,
                 entry_view const& view, router& routes, admission& queues,
                 time_point now) -> std::optional<refusal>
{
    if (!view.has_lease(now))
    {
        // Each heartbeat renews the lease, so a short wait covers one lost
        // message. A longer wait would only delay the caller's retry.
        auto const until = view.lease_end() + config::lease_renewal_wait;
        request.deadline = std::min(request.deadline, until);
        if (until <= now)
        {
            return no_lease();
        }
    }
    route.is_long = queues.is_long(request);
    auto const capacity = routes.capacity(view, route, now);
    if (capacity.servers == 0)
    {
        return refusal{
            {error_kind::unknown_service,
             "no backend server announces " + request.work.service.value()},
            seconds{1}};
    }
    return queues.try_enqueue(request, capacity, now);
}

auto expiry_reason(std::optional<route_query> const& route,
                   entry_view const& view, router& routes, time_point now)
    -> refusal
{
    if (!view.has_lease(now))
    {
        return no_lease();
    }
    if (route && routes.capacity(view, *route, now).usable == slot_count{0})
    {
        return {{error_kind::no_backend, "this entry has no usable slot on a "
                                         "backend server of the service"},
                seconds{1}};
    }
    return {{error_kind::deadline_unmeetable,
             "no slot became free within the contract's latency"},
            seconds{1}};
}

} // namespace apricotlb
