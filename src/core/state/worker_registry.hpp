/// Registered workers with the attempts placed on each.
#ifndef APRICOTLB_CORE_STATE_WORKER_REGISTRY_HPP
#define APRICOTLB_CORE_STATE_WORKER_REGISTRY_HPP

#include "core/state/commands.hpp"

#include <map>
#include <set>
#include <vector>

namespace apricotlb
{

/// One worker, what is committed on it and which attempts hold it.
struct worker_record
{
    worker_info info;
    resources committed;
    std::set<customer_attempt> attempts;
};

/// Counts commitments; the last guard against over-commitment. A snapshot
/// holds the workers only: commitments follow from the placed tasks.
class worker_registry
{
public:
    worker_registry() = default;
    explicit worker_registry(std::vector<worker_info> const& from);

    /// Accepted with any capacity. While more is committed than the new
    /// capacity, nothing more is placed.
    auto apply(register_worker const& it, revision at) -> apply_result;

    /// Refused with worker_busy while attempts are placed.
    auto apply(retire_worker const& it, revision at) -> apply_result;

    /// True when the worker exists and has room.
    [[nodiscard]] auto has_capacity(worker_id const& id,
                                    resources const& requested) const -> bool;

    /// True when a task fits into the given share of some worker's whole
    /// capacity, or no worker is registered yet.
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
