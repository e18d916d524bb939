/// Port: orders to workers that receive orders by push.
#ifndef APRICOTLB_PORTS_RUN_WORKER_HPP
#define APRICOTLB_PORTS_RUN_WORKER_HPP

#include "core/fleet/worker_messages.hpp"

#include <apricotlb/ids.hpp>

#include <concepts>
#include <functional>
#include <optional>

namespace apricotlb
{

/// Sends an order once; the callback receives the answer on the event loop.
/// Each order has exactly one answer; after config::order_timeout it is
/// no_answer.
template <class T>
concept run_worker_port =
    requires(T& it, start_order const& start, stop_order const& stop,
             pace_order const& pace, poll_order const& poll,
             std::function<void(order_answer)> done,
             std::function<void(poll_answer)> polled) {
        it.send(start, std::move(done));
        it.send(stop, std::move(done));
        it.send(pace, std::move(done));
        it.send(poll, std::move(polled));
    };

/// Knows which processes take the announcements of workers.
template <class T>
concept intake_directory_port =
    requires(T const& it, node_id const& from, worker_id const& worker,
             zone_id const& zone) {
        {
            it.intake_for(from, worker, zone)
        } -> std::same_as<std::optional<intake_address>>;
    };

} // namespace apricotlb

#endif
