/// Resources committed on each worker and by each customer.
#ifndef APRICOTLB_CORE_SCHEDULING_COMMITMENTS_HPP
#define APRICOTLB_CORE_SCHEDULING_COMMITMENTS_HPP

#include "core/scheduling/refs.hpp"

#include <apricotlb/units.hpp>

#include <utility>
#include <vector>

namespace apricotlb
{

/// Resources committed to a customer on all workers.
struct customer_use
{
    resources total; ///< batch tasks and services
    resources batch;
    task_count batch_tasks;
};

/// Counts resources as committed from the placement decision until the end of
/// the attempt is recorded in the log.
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

    /// Resources committed to a customer on one worker.
    [[nodiscard]] auto held(worker_ref worker, customer_ref customer) const
        -> resources;

    [[nodiscard]] auto use_of(customer_ref customer) const -> customer_use;

    /// Capacity of all registered workers.
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

/// The largest fraction of the total that is held of any resource (as in
/// dominant resource fairness).
[[nodiscard]] auto dominant_share(resources const& held, resources const& total)
    -> double;

} // namespace apricotlb

#endif
