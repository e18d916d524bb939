/// Port: orders to workers that take pushed orders.
#ifndef APRICOTLB_PORTS_RUN_WORKER_HPP
#define APRICOTLB_PORTS_RUN_WORKER_HPP

#include "core/fleet/worker_messages.hpp"

#include <functional>

namespace apricotlb
{

/// Sends an order once and hands on the answer on the loop. Each order ends
/// with one answer; no_answer after config::order_timeout.
template <class T>
concept run_worker_port =
    requires(T& it, start_order const& start, stop_order const& stop,
             pace_order const& pace, poll_order const& poll,
             std::function<void(order_answer)> done,
             std::function<void(poll_answer)> listed) {
        it.send(start, std::move(done));
        it.send(stop, std::move(done));
        it.send(pace, std::move(done));
        it.send(poll, std::move(listed));
    };

} // namespace apricotlb

#endif
