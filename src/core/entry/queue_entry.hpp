/// Decides whether a request may wait for a slot, and the reason for its
/// refusal if it receives none.
#ifndef APRICOTLB_CORE_ENTRY_QUEUE_ENTRY_HPP
#define APRICOTLB_CORE_ENTRY_QUEUE_ENTRY_HPP

#include "core/entry/admission.hpp"
#include "core/entry/entry_view.hpp"
#include "core/entry/router.hpp"

#include <apricotlb/time.hpp>

#include <optional>

namespace apricotlb
{

/// Queues a request if the entry holds a lease or may renew it soon, the
/// service has a backend server and the queue admits the request. Otherwise
/// returns the reason for the refusal.
[[nodiscard]] auto enter_queue(waiting_request request, route_query route,
                               entry_view const& view, router& routes,
                               admission& queues, time_point now)
    -> std::optional<refusal>;

/// Reason why a waiting request received no slot in time. The route is absent
/// if the request has been removed in the meantime.
[[nodiscard]] auto expiry_reason(std::optional<route_query> const& route,
                                 entry_view const& view, router& routes,
                                 time_point now) -> refusal;

} // namespace apricotlb

#endif
