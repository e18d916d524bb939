/// Decides whether a request may wait for a slot, and why it got none.
#ifndef APRICOTLB_CORE_ENTRY_QUEUE_ENTRY_HPP
#define APRICOTLB_CORE_ENTRY_QUEUE_ENTRY_HPP

#include "core/entry/admission.hpp"
#include "core/entry/entry_view.hpp"
#include "core/entry/router.hpp"

#include <apricotlb/time.hpp>

#include <optional>

namespace apricotlb
{

/// Queues a request if the entry holds a lease, or may renew it soon, and the
/// service has a backend server; otherwise says why not.
[[nodiscard]] auto enter_queue(waiting_request request, route_query route,
                               entry_view const& view, router& routes,
                               admission& queues, time_point now)
    -> std::optional<refusal>;

/// Why a waiting request got no slot in time; the route is absent when the
/// request is gone.
[[nodiscard]] auto expiry_reason(std::optional<route_query> const& route,
                                 entry_view const& view, router& routes,
                                 time_point now) -> refusal;

} // namespace apricotlb

#endif
