/// Port: orders to workers that receive orders by push.
#ifndef APRICOTLB_PORTS_RUN_WORKER_HPP
#define APRICOTLB_PORTS_RUN_WORKER_HPP

#include "core/fleet/worker_messages.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <concepts>
#include <functional>
#include <optional>
#include <type_traits>
#include <utility>

namespace apricotlb
{

/// The answer to an order.
template <class Order>
using answer_to = std::conditional_t<std::is_same_v<Order, poll_order>,
                                     poll_answer, order_answer>;

/// Time after which an order has no answer. The worker may take the wait of a
/// poll until it answers.
template <class Order>
[[nodiscard]] auto answer_time(Order const& it) -> duration
{
    if constexpr (std::is_same_v<Order, poll_order>)
    {
        return config::order_timeout + it.wait;
    }
    else
    {
        return config::order_timeout;
    }
}

/// Sends an order; the callback receives the answer on the event loop.
/// Each order has exactly one answer; after answer_time() it is no_answer.
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

/// Takes a shorter time after which an order has no answer.
template <class T>
concept timed_run_worker_port =
    run_worker_port<T> &&
    requires(T& it, start_order const& start, stop_order const& stop,
             pace_order const& pace, poll_order const& poll,
             std::function<void(order_answer)> done,
             std::function<void(poll_answer)> polled, duration timeout) {
        it.send(start, std::move(done), timeout);
        it.send(stop, std::move(done), timeout);
        it.send(pace, std::move(done), timeout);
        it.send(poll, std::move(polled), timeout);
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
