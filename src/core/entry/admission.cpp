#include "core/entry/admission.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

auto deadline_of(contract const& it, std::optional<milliseconds> asked,
                 time_point now) -> time_point
{
    auto const most = it.urgent_latency * config::deadline_factor;
    auto const wanted = asked.value_or(most);
    return now + std::clamp(wanted, milliseconds{1}, most);
}

auto queue_deadline(waiting_request const& it) -> time_point
{
    return std::min(it.deadline, it.arrived + it.urgent_latency);
}

auto admission::is_long(waiting_request const& it) const -> bool
{
    // A request that takes half of the contract's latency by itself delays
    // whatever waits behind it beyond that latency.
    return 2 * times_.expected(it.work) > it.urgent_latency;
}

auto admission::expected_wait(service_key const& key,
                              service_capacity const& capacity,
                              duration expected, bool is_long) const -> duration
{
    auto const it = queues_.find(key);
    if (capacity.usable <= slot_count{0})
    {
        // No share yet: the next heartbeat may bring one.
        return duration{};
    }
    auto ahead = duration{};
    if (it != queues_.end())
    {
        ahead = it->second.short_work;
        if (is_long)
        {
            ahead += it->second.long_work;
        }
    }
    if (capacity.free <= slot_count{0})
    {
        ahead += expected;
    }
    return ahead / capacity.usable.value();
}

auto admission::try_enqueue(waiting_request const& it,
                            service_capacity const& capacity, time_point now)
    -> std::optional<refusal>
{
    auto const retry_after = [](duration d)
    { return std::max(seconds{1}, std::chrono::ceil<seconds>(d)); };
    auto const key = service_key{it.work.customer, it.work.service};
    auto const expected = times_.expected(it.work);
    auto const slow = is_long(it);
    auto const wait = expected_wait(key, capacity, expected, slow);
    auto const count = queued_per_customer_.find(it.work.customer);
    if (count != queued_per_customer_.end() &&
        count->second >= max_queued_per_customer_)
    {
        return refusal{{error_kind::queue_full,
                        "the customer's queue on this entry is full"},
                       retry_after(wait)};
    }
    // The wait may use what the service time leaves of the contract's
    // latency; the rest of a fifth absorbs variation of service times.
    auto const room =
        std::max((it.urgent_latency - expected) * 4 / 5, it.urgent_latency / 4);
    if (wait > room || now + wait + expected > it.deadline)
    {
        return refusal{
            {error_kind::deadline_unmeetable,
             "the request would wait " +
                 std::to_string(std::chrono::ceil<milliseconds>(wait).count()) +
                 " ms for a slot"},
            retry_after(wait)};
    }
    requeue(it);
    return std::nullopt;
}

auto admission::requeue(waiting_request const& it) -> void
{
    constexpr int weight = 4;
    auto const expected = times_.expected(it.work);
    auto const slow = is_long(it);
    auto const delay = std::min(weight * expected, it.urgent_latency);
    auto const at = queue_position{it.arrived + delay, it.id};
    auto& queue = queues_[{it.work.customer, it.work.service}];
    (slow ? queue.long_requests : queue.short_requests).insert(at);
    (slow ? queue.long_work : queue.short_work) += expected;
    ++queued_per_customer_[it.work.customer];
    expiries_.emplace(queue_deadline(it), it.id);
    requests_.insert_or_assign(it.id, queued_request{it, expected, at, slow});
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
    auto const& at = take_long ? *longs.begin() : *shorts.begin();
    return &requests_.at(at.second).request;
}

auto admission::remove(request_id id) -> void
{
    auto const it = requests_.find(id);
    if (it == requests_.end())
    {
        return;
    }
    auto const& [request, expected, at, slow] = it->second;
    auto const key = service_key{request.work.customer, request.work.service};
    auto const queue = queues_.find(key);
    (slow ? queue->second.long_requests : queue->second.short_requests)
        .erase(at);
    (slow ? queue->second.long_work : queue->second.short_work) -= expected;
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
    // Sorted by how many services of the same customer came before, then by
    // customer, beginning after the one served last.
    std::vector<std::pair<std::pair<int, bool>, service_key>> order;
    order.reserve(queues_.size());
    auto nth = 0;
    for (auto const& [key, queue] : queues_)
    {
        auto const same =
            !order.empty() && order.back().second.first == key.first;
        nth = same ? nth + 1 : 0;
        order.push_back({{nth, key.first <= last_served_}, key});
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
