/// Registered workers and the attempts placed on each.
#ifndef APRICOTLB_CORE_STATE_WORKER_REGISTRY_HPP
#define APRICOTLB_CORE_STATE_WORKER_REGISTRY_HPP

#include "core/state/commands.hpp"

#include <map>
#include <set>
#include <vector>

namespace apricotlb
{

/// A worker, the attempts placed on it and the sum of their resources.
struct worker_record
{
    worker_info info;
    resources committed;
    std::set<customer_attempt> attempts;
};

/// Keeps the resources committed on each worker. It makes the final check
/// against over-commitment. A snapshot contains the workers only, because
/// commitments follow from the placed tasks.
class worker_registry
{
public:
    worker_registry() = default;
    explicit worker_registry(std::vector<worker_info> const& from);

    /// Accepts any capacity. No attempt is placed on a worker while its
    /// commitments exceed its new capacity.
    auto apply(register_worker const& it, revision at) -> apply_result;

    /// Refuses with worker_busy while attempts are placed on the worker.
    auto apply(retire_worker const& it, revision at) -> apply_result;

    /// True if the worker exists and has the requested resources free.
    [[nodiscard]] auto has_capacity(worker_id const& id,
                                    resources const& requested) const -> bool;

    /// True if a task fits into the given share of the total capacity of some
    /// worker, or if no worker is registered yet.
    [[nodiscard]] auto can_hold(resources const& each, permille share) const
        -> bool;

    auto commit(worker_id const& id, customer_attempt const& it,
                resources const& amount) -> void;
    auto release(worker_id const& id, customer_attempt const& it,
                 resources const& amount) -> void;

    [[nodiscard]] auto find(worker_id const& id) const -> worker_record const*;
    [[nodiscard]] auto all() const -> std::map<worker_id, worker_record> const&
    {
        return workers_;
    }
    [[nodiscard]] auto snapshot() const -> std::vector<worker_info>;

private:
    std::map<worker_id, worker_record> workers_;
};

} // namespace apricotlb

#endif
