#include "core/scheduling/task_queue.hpp"

#include <algorithm>

namespace apricotlb
{

auto level_of(duration run_time) -> queue_level
{
    // Levels are wide, factors of four from 2 s, so that jobs of similar run
    // time stay in order of submission.
    auto level = first_batch_level.value();
    for (duration limit = seconds{2}; limit < run_time; limit *= 4)
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
    get_or_grow(customers_, customer).weight = weight;
}

auto task_queue::insert(entry const& it) -> void
{
    auto& customer = get_or_grow(customers_, it.customer);
    if (it.key.level == service_level)
    {
        customer.services.insert(it.key);
    }
    else
    {
        customer.batch.insert(it.key);
        customer.by_age.emplace(it.key.order, it.key.item);
    }
    customers_with_work_.insert(it.customer.value());
}

auto task_queue::erase(entry const& it) -> void
{
    auto& customer = customers_[pos(it.customer)];
    customer.services.erase(it.key);
    customer.batch.erase(it.key);
    customer.by_age.erase({it.key.order, it.key.item});
    if (customer.services.empty() && customer.batch.empty())
    {
        customers_with_work_.erase(it.customer.value());
    }
}

auto task_queue::put(customer_ref customer, queue_item item, queue_level level,
                     std::uint64_t order, time_point since) -> void
{
    auto const [found, added] = entries_.try_emplace(
        key_of(item), entry{customer, {level, order, item}, since});
    if (!added)
    {
        if (found->second.key.level == level)
        {
            return;
        }
        if (!found->second.is_deferred)
        {
            erase(found->second);
        }
        found->second.key.level = level;
    }
    if (!found->second.is_deferred)
    {
        insert(found->second);
    }
}

auto task_queue::remove(queue_item item) -> void
{
    auto const it = entries_.find(key_of(item));
    if (it == entries_.end())
    {
        return;
    }
    if (it->second.is_deferred)
    {
        std::erase(deferred_, item);
    }
    else
    {
        erase(it->second);
    }
    entries_.erase(it);
}

auto task_queue::reset_wait(queue_item item, time_point now) -> void
{
    auto const it = entries_.find(key_of(item));
    if (it != entries_.end())
    {
        it->second.since = now;
    }
}

auto task_queue::defer(queue_item item) -> void
{
    auto const it = entries_.find(key_of(item));
    if (it != entries_.end() && !it->second.is_deferred)
    {
        erase(it->second);
        it->second.is_deferred = true;
        deferred_.push_back(item);
    }
}

auto task_queue::resume_deferred() -> void
{
    for (auto const item : deferred_)
    {
        auto& it = entries_.at(key_of(item));
        it.is_deferred = false;
        insert(it);
    }
    deferred_.clear();
}

auto task_queue::pick_item(customer_ref customer, bool is_service) -> queue_pick
{
    auto& waiting = customers_[pos(customer)];
    if (is_service)
    {
        auto const item = waiting.services.begin()->item;
        return {customer, item, entries_.at(key_of(item)).since, false};
    }
    auto const is_oldest =
        ++waiting.batch_picks % config::oldest_first_interval == 0;
    auto const item = is_oldest ? waiting.by_age.begin()->second
                                : waiting.batch.begin()->item;
    return {customer, item, entries_.at(key_of(item)).since, is_oldest};
}

} // namespace apricotlb
