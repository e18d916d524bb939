/// Resources committed on each worker and by each customer.
#ifndef APRICOTLB_CORE_SCHEDULING_COMMITMENTS_HPP
#define APRICOTLB_CORE_SCHEDULING_COMMITMENTS_HPP

#include "core/scheduling/refs.hpp"

#include <apricotlb/units.hpp>

#include <utility>
#include <vector>

namespace apricotlb
{

/// What a customer holds over all workers.
struct customer_use
{
    resources total;
    resources batch;
    task_count batch_tasks;
};

/// Counts a commitment from the decision until the recorded end.
class commitments
{
public:
    auto set_capacity(worker_ref worker, resources const& capacity) -> void;
    auto commit(worker_ref worker, customer_ref customer,
                resources const& amount, bool is_batch) -> void;
    auto release(worker_ref worker, customer_ref customer,
                 resources const& amount, bool is_batch) -> void;

    [[nodiscard]] auto capacity(worker_ref worker) const -> resources const&
    {
        return workers_[pos(worker)].capacity;
    }
    [[nodiscard]] auto committed(worker_ref worker) const -> resources const&
    {
        return workers_[pos(worker)].committed;
    }
    [[nodiscard]] auto free(worker_ref worker) const -> resources;

    /// What a customer holds on one worker.
    [[nodiscard]] auto held(worker_ref worker, customer_ref customer) const
        -> resources;

    [[nodiscard]] auto use_of(customer_ref customer) const -> customer_use;

    /// Capacity of all workers together.
    [[nodiscard]] auto total_capacity() const -> resources const&
    {
        return total_capacity_;
    }

private:
    struct worker_entry
    {
        resources capacity;
        resources committed;
        std::vector<std::pair<customer_ref, resources>> by_customer;
    };

    std::vector<worker_entry> workers_;
    std::vector<customer_use> customers_;
    resources total_capacity_;
};

/// The largest fraction of the whole that a customer holds in any dimension.
[[nodiscard]] auto dominant_share(resources const& held, resources const& total)
    -> double;

} // namespace apricotlb

#endif
