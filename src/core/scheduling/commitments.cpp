#include "core/scheduling/commitments.hpp"

#include <algorithm>

namespace apricotlb
{

auto commitments::set_capacity(worker_ref worker, resources const& capacity)
    -> void
{
    auto& entry = get_or_grow(workers_, worker);
    total_capacity_ -= entry.capacity;
    entry.capacity = capacity;
    total_capacity_ += capacity;
}

auto commitments::commit(worker_ref worker, customer_ref customer,
                         resources const& amount, bool is_batch) -> void
{
    auto& entry = get_or_grow(workers_, worker);
    entry.committed += amount;
    auto const held =
        std::ranges::find(entry.by_customer, customer,
                          &std::pair<customer_ref, resources>::first);
    if (held != entry.by_customer.end())
    {
        held->second += amount;
    }
    else
    {
        entry.by_customer.emplace_back(customer, amount);
    }
    auto& use = get_or_grow(customers_, customer);
    use.total += amount;
    if (is_batch)
    {
        use.batch += amount;
        ++use.batch_tasks;
    }
}

auto commitments::release(worker_ref worker, customer_ref customer,
                          resources const& amount, bool is_batch) -> void
{
    auto& entry = workers_[pos(worker)];
    entry.committed -= amount;
    auto const held =
        std::ranges::find(entry.by_customer, customer,
                          &std::pair<customer_ref, resources>::first);
    if (held != entry.by_customer.end())
    {
        held->second -= amount;
        if (held->second == resources{})
        {
            *held = entry.by_customer.back();
            entry.by_customer.pop_back();
        }
    }
    auto& use = customers_[pos(customer)];
    use.total -= amount;
    if (is_batch)
    {
        use.batch -= amount;
        use.batch_tasks -= task_count{1};
    }
}

auto commitments::free(worker_ref worker) const -> resources
{
    auto it = workers_[pos(worker)].capacity;
    it -= workers_[pos(worker)].committed;
    return it;
}

auto commitments::held(worker_ref worker, customer_ref customer) const
    -> resources
{
    for (auto const& [holder, it] : workers_[pos(worker)].by_customer)
    {
        if (holder == customer)
        {
            return it;
        }
    }
    return {};
}

auto commitments::use_of(customer_ref customer) const -> customer_use
{
    return pos(customer) < customers_.size() ? customers_[pos(customer)]
                                             : customer_use{};
}

auto dominant_share(resources const& held, resources const& total) -> double
{
    auto const fraction = [](auto a, auto b)
    {
        return b.value() > 0 ? static_cast<double>(a.value()) /
                                   static_cast<double>(b.value())
                             : 0.0;
    };
    return std::max({fraction(held.cores, total.cores),
                     fraction(held.memory, total.memory),
                     fraction(held.accels, total.accels)});
}

} // namespace apricotlb
