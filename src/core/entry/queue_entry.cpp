#include "core/entry/queue_entry.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

auto lapsed() -> refusal
{
    return {
        {error_kind::lease_lapsed, "this entry has no lease; another one may"},
        seconds{1}};
}

} // namespace

auto enter_queue(waiting_request ticket, route_query route,
                 entry_view const& view, router& routes, admission& queues,
                 time_point now) -> std::optional<refusal>
{
    if (!view.has_lease(now))
    {
        // Renewal is due every heartbeat; a short wait hides one lost
        // message, a long one would only delay the caller's next try.
        auto const until = view.lease_end() + config::lease_renewal_wait;
        ticket.deadline = std::min(ticket.deadline, until);
        if (until <= now)
        {
            return lapsed();
        }
    }
    route.is_long = queues.is_long(ticket);
    auto const capacity = routes.capacity(view, route, now);
    if (capacity.servers == 0)
    {
        return refusal{
            {error_kind::unknown_service,
             "no backend server announces " + ticket.work.service.value()},
            seconds{1}};
    }
    return queues.offer(ticket, capacity, now);
}

auto why_expired(std::optional<route_query> const& route,
                 entry_view const& view, router& routes, time_point now)
    -> refusal
{
    if (!view.has_lease(now))
    {
        return lapsed();
    }
    if (route && routes.capacity(view, *route, now).usable == slot_count{0})
    {
        return {{error_kind::no_backend,
                 "no backend server of the service has a free share"},
                seconds{1}};
    }
    return {{error_kind::deadline_unmeetable,
             "no slot became free within the contract's latency"},
            seconds{1}};
}

} // namespace apricotlb
