#include "core/entry/admission.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

auto deadline_of(contract const& it, std::optional<milliseconds> requested,
                 time_point now) -> time_point
{
    auto const max_timeout = it.urgent_latency * config::deadline_factor;
    auto const timeout = requested.value_or(max_timeout);
    return now + std::clamp(timeout, milliseconds{1}, max_timeout);
}

auto queue_deadline(waiting_request const& it) -> time_point
{
    return std::min(it.deadline, it.arrived + it.urgent_latency);
}

auto admission::is_long(waiting_request const& it) const -> bool
{
    // A request whose service time exceeds half of the contract's latency
    // would delay the requests behind it beyond that latency.
    return 2 * times_.expected(it.work) > it.urgent_latency;
}

auto admission::expected_wait(service_key const& key,
                              service_capacity const& capacity,
                              duration expected, bool is_long) const -> duration
{
    auto const queue = queues_.find(key);
    if (capacity.usable <= slot_count{0})
    {
        // This entry has no share yet; the next heartbeat may grant one.
        return duration{};
    }
    auto work_ahead = duration{};
    if (queue != queues_.end())
    {
        work_ahead = queue->second.short_work;
        if (is_long)
        {
            work_ahead += queue->second.long_work;
        }
    }
    if (capacity.free <= slot_count{0})
    {
        work_ahead += expected;
    }
    return work_ahead / capacity.usable.value();
}

auto admission::try_enqueue(waiting_request const& request,
                            service_capacity const& capacity, time_point now)
    -> std::optional<refusal>
{
    auto const retry_after = [](duration delay)
    { return std::max(seconds{1}, std::chrono::ceil<seconds>(delay)); };
    auto const key = service_key{request.work.customer, request.work.service};
    auto const expected = times_.expected(request.work);
    auto const is_long_request = is_long(request);
    auto const wait = expected_wait(key, capacity, expected, is_long_request);
    auto const count = queued_per_customer_.find(request.work.customer);
    if (count != queued_per_customer_.end() &&
        count->second >= max_queued_per_customer_)
    {
        return refusal{{error_kind::queue_full,
                        "the customer's queue on this entry is full"},
                       retry_after(wait)};
    }
    // A request may wait for 4/5 of the time that its service time leaves of
    // the contract's latency, and for at least a quarter of that latency. The
    // remaining fifth absorbs variation of the service times.
    auto const max_wait = std::max((request.urgent_latency - expected) * 4 / 5,
                                   request.urgent_latency / 4);
    if (wait > max_wait || now + wait + expected > request.deadline)
    {
        return refusal{
            {error_kind::deadline_unmeetable,
             "the request would wait " +
                 std::to_string(std::chrono::ceil<milliseconds>(wait).count()) +
                 " ms for a slot"},
            retry_after(wait)};
    }
    requeue(request);
    return std::nullopt;
}

auto admission::requeue(waiting_request const& request) -> void
{
    constexpr int weight = 4;
    auto const expected = times_.expected(request.work);
    auto const is_long_request = is_long(request);
    auto const delay = std::min(weight * expected, request.urgent_latency);
    auto const position = queue_position{request.arrived + delay, request.id};
    auto& queue = queues_[{request.work.customer, request.work.service}];
    (is_long_request ? queue.long_requests : queue.short_requests)
        .insert(position);
    (is_long_request ? queue.long_work : queue.short_work) += expected;
    ++queued_per_customer_[request.work.customer];
    expiries_.emplace(queue_deadline(request), request.id);
    requests_.insert_or_assign(
        request.id,
        queued_request{request, expected, position, is_long_request});
}

auto admission::front(service_key const& key, bool short_only) const
    -> waiting_request const*
{
    auto const it = queues_.find(key);
    if (it == queues_.end())
    {
        return nullptr;
    }
    auto const& [shorts, longs, short_work, long_work] = it->second;
    if (shorts.empty() && (longs.empty() || short_only))
    {
        return nullptr;
    }
    auto const take_long = !short_only && !longs.empty() &&
                           (shorts.empty() || *longs.begin() < *shorts.begin());
    auto const& position = take_long ? *longs.begin() : *shorts.begin();
    return &requests_.at(position.second).request;
}

auto admission::remove(request_id id) -> void
{
    auto const it = requests_.find(id);
    if (it == requests_.end())
    {
        return;
    }
    auto const& [request, expected, position, is_long_request] = it->second;
    auto const key = service_key{request.work.customer, request.work.service};
    auto const queue = queues_.find(key);
    (is_long_request ? queue->second.long_requests
                     : queue->second.short_requests)
        .erase(position);
    (is_long_request ? queue->second.long_work : queue->second.short_work) -=
        expected;
    if (queue->second.size() == 0)
    {
        queues_.erase(queue);
    }
    auto const count = queued_per_customer_.find(request.work.customer);
    count->second -= request_count{1};
    if (count->second == request_count{0})
    {
        queued_per_customer_.erase(count);
    }
    expiries_.erase({queue_deadline(request), id});
    last_served_ = request.work.customer;
    requests_.erase(it);
}

auto admission::take_expired(time_point now) -> std::vector<request_id>
{
    std::vector<request_id> out;
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        out.push_back(expiries_.begin()->second);
        remove(out.back());
    }
    return out;
}

auto admission::next_expiry() const -> std::optional<time_point>
{
    if (expiries_.empty())
    {
        return std::nullopt;
    }
    return expiries_.begin()->first;
}

auto admission::waiting_services() -> std::vector<service_key>
{
    // Sorted by the index of the service among those of its customer, then by
    // customer, starting after the customer served last.
    std::vector<std::pair<std::pair<int, bool>, service_key>> order;
    order.reserve(queues_.size());
    auto index = 0;
    for (auto const& [key, queue] : queues_)
    {
        auto const same_customer =
            !order.empty() && order.back().second.first == key.first;
        index = same_customer ? index + 1 : 0;
        order.push_back({{index, key.first <= last_served_}, key});
    }
    std::ranges::stable_sort(order, {},
                             [](auto const& it) { return it.first; });
    std::vector<service_key> out;
    out.reserve(order.size());
    for (auto& [rank, key] : order)
    {
        out.push_back(std::move(key));
    }
    return out;
}

auto admission::queued_count(service_key const& key) const -> request_count
{
    auto const it = queues_.find(key);
    return request_count{
        it == queues_.end() ? 0 : static_cast<std::int64_t>(it->second.size())};
}

} // namespace apricotlb
