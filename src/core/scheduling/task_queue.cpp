#include "core/scheduling/task_queue.hpp"

#include <algorithm>

namespace apricotlb
{

auto level_of(duration expected) -> queue_level
{
    // Factors of four from 2 s, so that similar jobs keep their order.
    auto level = first_batch_level.value();
    for (duration it = seconds{2}; it < expected; it *= 4)
    {
        ++level;
        if (level + 1 == demoted_level.value())
        {
            break;
        }
    }
    return queue_level{level};
}

auto task_queue::set_weight(customer_ref customer,
                            std::optional<permille> weight) -> void
{
    grown(customers_, customer).weight = weight;
}

auto task_queue::insert(entry const& it) -> void
{
    auto& customer = grown(customers_, it.customer);
    if (it.at.level == service_level)
    {
        customer.services.insert(it.at);
    }
    else
    {
        customer.batch.insert(it.at);
        customer.by_age.emplace(it.at.order, it.at.item);
    }
    offering_.insert(it.customer.value());
}

auto task_queue::erase(entry const& it) -> void
{
    auto& customer = customers_[pos(it.customer)];
    customer.services.erase(it.at);
    customer.batch.erase(it.at);
    customer.by_age.erase({it.at.order, it.at.item});
    if (customer.services.empty() && customer.batch.empty())
    {
        offering_.erase(it.customer.value());
    }
}

auto task_queue::put(customer_ref customer, queue_item item, queue_level level,
                     std::uint64_t order, time_point since) -> void
{
    auto const [at, added] = entries_.try_emplace(
        key_of(item), entry{customer, {level, order, item}, since});
    if (!added)
    {
        if (at->second.at.level == level)
        {
            return;
        }
        if (!at->second.aside)
        {
            erase(at->second);
        }
        at->second.at.level = level;
    }
    if (!at->second.aside)
    {
        insert(at->second);
    }
}

auto task_queue::remove(queue_item item) -> void
{
    auto const it = entries_.find(key_of(item));
    if (it == entries_.end())
    {
        return;
    }
    if (it->second.aside)
    {
        std::erase(aside_, item);
    }
    else
    {
        erase(it->second);
    }
    entries_.erase(it);
}

auto task_queue::progressed(queue_item item, time_point now) -> void
{
    auto const it = entries_.find(key_of(item));
    if (it != entries_.end())
    {
        it->second.since = now;
    }
}

auto task_queue::put_aside(queue_item item) -> void
{
    auto const it = entries_.find(key_of(item));
    if (it != entries_.end() && !it->second.aside)
    {
        erase(it->second);
        it->second.aside = true;
        aside_.push_back(item);
    }
}

auto task_queue::wake() -> void
{
    for (auto const item : aside_)
    {
        auto& it = entries_.at(key_of(item));
        it.aside = false;
        insert(it);
    }
    aside_.clear();
}

auto task_queue::pick(customer_ref customer, bool is_service) -> queue_pick
{
    auto& it = customers_[pos(customer)];
    if (is_service)
    {
        auto const item = it.services.begin()->item;
        return {customer, item, entries_.at(key_of(item)).since, false};
    }
    auto const floor = ++it.turns % config::oldest_first_interval == 0;
    auto const item =
        floor ? it.by_age.begin()->second : it.batch.begin()->item;
    return {customer, item, entries_.at(key_of(item)).since, floor};
}

} // namespace apricotlb
