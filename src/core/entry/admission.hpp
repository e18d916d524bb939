/// Admits, queues or refuses requests by the limits of their contract.
#ifndef APRICOTLB_CORE_ENTRY_ADMISSION_HPP
#define APRICOTLB_CORE_ENTRY_ADMISSION_HPP

#include "core/entry/router.hpp"
#include "core/entry/service_times.hpp"

#include <apricotlb/contract.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Error returned to a caller, with the delay after which it may retry.
struct refusal
{
    error reason;
    std::optional<seconds> retry_after;
};

/// A request that waits for a slot on a backend server.
struct waiting_request
{
    request_id id;
    work_class work;
    time_point arrived;
    time_point deadline;
    duration urgent_latency; ///< of the contract
};

/// One customer's service.
using service_key = std::pair<customer_id, service_name>;

/// Deadline of a request: a multiple of the contract's urgent latency, or the
/// timeout requested by the caller if that is shorter.
[[nodiscard]] auto deadline_of(contract const& it,
                               std::optional<milliseconds> requested,
                               time_point now) -> time_point;

/// Queues of waiting requests per customer and service. Requests with a short
/// expected service time go first, and the number of waiting requests is
/// limited per customer.
class admission
{
public:
    explicit admission(request_count per_customer)
        : max_queued_per_customer_(per_customer)
    {
    }

    /// Queues a request, or returns a refusal when the customer's queue is full
    /// or the expected wait is too long.
    [[nodiscard]] auto try_enqueue(waiting_request const& request,
                                   service_capacity const& capacity,
                                   time_point now) -> std::optional<refusal>;

    /// Queues a request without any check, as for a retry.
    auto requeue(waiting_request const& request) -> void;

    /// The next request of a service, or of its short requests only; null if
    /// none waits.
    [[nodiscard]] auto front(service_key const& key, bool short_only) const
        -> waiting_request const*;
    auto remove(request_id id) -> void;

    /// Removes and returns the requests whose time in the queue has ended.
    [[nodiscard]] auto take_expired(time_point now) -> std::vector<request_id>;
    /// The earliest time at which a waiting request expires.
    [[nodiscard]] auto next_expiry() const -> std::optional<time_point>;

    /// Services with waiting requests, in round-robin order of the customers:
    /// the first service of each customer, then the second of each, and so on,
    /// starting after the customer served last.
    [[nodiscard]] auto waiting_services() -> std::vector<service_key>;

    [[nodiscard]] auto queued_count(service_key const& key) const
        -> request_count;
    [[nodiscard]] auto is_long(waiting_request const& it) const -> bool;
    [[nodiscard]] auto learned_times() -> service_times& { return times_; }

private:
    /// Key of the queue order: arrival time plus a multiple of the expected
    /// service time.
    using queue_position = std::pair<time_point, request_id>;

    struct queued_request
    {
        waiting_request request;
        duration expected; ///< service time
        queue_position position;
        bool is_long;
    };

    struct service_queue
    {
        std::set<queue_position> short_requests;
        std::set<queue_position> long_requests;
        duration short_work{}; ///< sum of the expected service times
        duration long_work{};

        [[nodiscard]] auto size() const -> std::size_t
        {
            return short_requests.size() + long_requests.size();
        }
    };

    [[nodiscard]] auto expected_wait(service_key const& key,
                                     service_capacity const& capacity,
                                     duration expected, bool is_long) const
        -> duration;

    request_count max_queued_per_customer_;
    service_times times_;
    std::map<request_id, queued_request> requests_;
    std::map<service_key, service_queue> queues_;
    std::map<customer_id, request_count> queued_per_customer_;
    std::set<std::pair<time_point, request_id>> expiries_;
    customer_id last_served_;
};

/// Time at which a waiting request is refused if it has not been dispatched.
[[nodiscard]] auto queue_deadline(waiting_request const& it) -> time_point;

} // namespace apricotlb

#endif
