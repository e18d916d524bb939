/// Protects urgent work on each worker from batch work.
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

/// What to do on a worker now.
enum class guard_step : std::uint8_t
{
    none,
    throttle, ///< limit its batch tasks
    release,  ///< lift the limit
    move,     ///< checkpoint one batch task and place it elsewhere
};

/// Urgent latency of one service on a worker against its contract.
struct guard_reading
{
    service_ref service;
    customer_ref customer;
    milliseconds p99{};
    milliseconds limit{};
    time_point taken;
};

/// Throttles above 80% of the contract's latency, moves a task when this has
/// not helped 2 s later, releases below 60%. The direction of throttling on
/// a worker changes at most once a minute.
class guard
{
public:
    explicit guard(bool may_throttle = true) : may_throttle_(may_throttle) {}

    auto observe(worker_ref worker, guard_reading const& it) -> void;

    /// The next step on a worker; a throttle or release counts as taken.
    auto step(worker_ref worker, time_point now) -> guard_step;

    /// Tells that a task on a throttled worker was limited. The first one is
    /// when the direction really changed.
    auto on_task_limited(worker_ref worker, time_point now) -> void;

    /// Workers with recent readings or throttled tasks.
    [[nodiscard]] auto watched_workers() const -> std::vector<worker_ref>;

    [[nodiscard]] auto is_throttled(worker_ref worker) const -> bool;

    /// The worst recent reading of a worker.
    [[nodiscard]] auto worst_reading(worker_ref worker, time_point now) const
        -> std::optional<guard_reading>;

    /// Whether the customer's evictions of the last minute allow another.
    [[nodiscard]] auto may_evict(customer_ref customer, time_point now) -> bool;
    auto on_task_evicted(worker_ref worker, customer_ref customer,
                         time_point now) -> void;

    /// Changes of direction so far, over all workers.
    [[nodiscard]] auto direction_changes() const -> std::uint64_t
    {
        return direction_changes_;
    }

private:
    struct worker_entry
    {
        std::vector<guard_reading> readings;
        bool throttled{false};
        bool has_limited_task{false}; ///< a task, since throttled
        std::optional<time_point>
            last_direction_change; ///< last change of direction
        std::optional<time_point>
            above_threshold_since; ///< above the threshold since
        time_point last_action;    ///< last throttle or move
    };

    auto may_change(worker_entry const& it, time_point now) const -> bool;

    bool may_throttle_;
    std::unordered_map<worker_ref, worker_entry> workers_;
    std::unordered_map<customer_ref, std::deque<time_point>> evictions_;
    std::uint64_t direction_changes_{0};
};

/// A latency as a fraction of its limit.
[[nodiscard]] auto ratio_of(guard_reading const& it) -> permille;

} // namespace apricotlb

#endif
