/// Limits the latency that batch work adds to services on each worker.
#ifndef APRICOTLB_CORE_SCHEDULING_GUARD_HPP
#define APRICOTLB_CORE_SCHEDULING_GUARD_HPP

#include "core/scheduling/refs.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// Action that the guard asks for on a worker.
enum class guard_step : std::uint8_t
{
    none,
    throttle, ///< limit the processors of its batch tasks
    release,  ///< lift the limit
    move,     ///< checkpoint one batch task and place it elsewhere
};

/// Measured latency of one service on a worker and the limit from its contract.
struct guard_reading
{
    service_ref service;
    customer_ref customer;
    milliseconds p99{};
    milliseconds limit{};
    time_point taken;
};

/// Throttles the batch tasks of a worker above 80% of the contract's latency,
/// moves one task if the latency is still above it 2 s later, and releases them
/// below 60%. Throttling and release of a worker alternate at most
/// once a minute, so that throttling does not follow every change of load.
class guard
{
public:
    /// Without `may_throttle`, tasks are moved without being throttled first.
    explicit guard(bool may_throttle = true) : may_throttle_(may_throttle) {}

    auto observe(worker_ref worker, guard_reading const& it) -> void;

    /// Decides on the next action on a worker; a returned throttle or release
    /// is recorded as done.
    auto step(worker_ref worker, time_point now) -> guard_step;

    /// Records that a task on a throttled worker was limited. Throttling begins
    /// with the first such task, so the interval until the next change of
    /// direction is counted from it.
    auto on_task_limited(worker_ref worker, time_point now) -> void;

    /// Workers with recent readings or throttled tasks.
    [[nodiscard]] auto watched_workers() const -> std::vector<worker_ref>;

    [[nodiscard]] auto is_throttled(worker_ref worker) const -> bool;

    /// The recent reading with the highest latency relative to its limit.
    [[nodiscard]] auto worst_reading(worker_ref worker, time_point now) const
        -> std::optional<guard_reading>;

    /// Whether the customer has had fewer evictions in the last minute than
    /// max_evictions_per_window.
    [[nodiscard]] auto may_evict(customer_ref customer, time_point now) -> bool;
    auto on_task_evicted(worker_ref worker, customer_ref customer,
                         time_point now) -> void;

    /// Changes between throttling and release so far, over all workers.
    [[nodiscard]] auto direction_changes() const -> std::uint64_t
    {
        return direction_changes_;
    }

private:
    struct worker_entry
    {
        std::vector<guard_reading> readings;
        bool throttled{false};
        bool has_limited_task{false}; ///< since the last throttle
        std::optional<time_point> last_direction_change;
        std::optional<time_point> above_threshold_since;
        time_point last_action; ///< throttle or move
    };

    auto may_change(worker_entry const& it, time_point now) const -> bool;

    bool may_throttle_;
    std::unordered_map<worker_ref, worker_entry> workers_;
    std::unordered_map<customer_ref, std::deque<time_point>> evictions_;
    std::uint64_t direction_changes_{0};
};

/// The latency as a fraction of its limit.
[[nodiscard]] auto ratio_of(guard_reading const& it) -> permille;

} // namespace apricotlb

#endif
