/// Selection of a worker for one task.
#ifndef APRICOTLB_CORE_SCHEDULING_PLACEMENT_HPP
#define APRICOTLB_CORE_SCHEDULING_PLACEMENT_HPP

#include "core/scheduling/commitments.hpp"
#include "core/scheduling/free_index.hpp"
#include "core/scheduling/refs.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/units.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace apricotlb
{

/// Number of tasks of one job that run in one rack.
struct rack_use
{
    rack_ref rack;
    task_count tasks;
};

/// What a task needs from its worker.
struct placement_request
{
    customer_ref customer;
    resources need;
    permille vm_share; ///< largest share of each VM, from the contract
    bool is_straggler{false};
    std::span<worker_ref const> excluded; ///< workers on which the task failed
    std::span<rack_use const> sibling_racks; ///< other tasks of the job
    std::optional<worker_ref> held_worker;   ///< kept free for this task
};

/// Outcome of a search for a worker.
enum class placement_verdict : std::uint8_t
{
    chosen,
    too_large,    ///< exceeds the customer's share of every registered worker
    no_capacity,  ///< no open worker has enough free resources
    share_used,   ///< enough free only where the share is used up
    interference, ///< enough free only next to services at risk
    last_capacity ///< enough free only in the part reserved from stragglers
};

/// The result of one search.
struct placement_choice
{
    placement_verdict verdict{placement_verdict::no_capacity};
    worker_ref worker;
    std::uint32_t candidates{0}; ///< workers whose costs were compared
    permille slowdown;           ///< expected for services on the worker
};

/// Expected slowdown of the services on a worker by one more task.
struct interference_cost
{
    permille slowdown;
    bool rejected{false}; ///< the slowdown is not acceptable
};

/// Compares a few workers at positions spread evenly over zones and racks, and
/// chooses the one with the lowest cost.
class placement
{
public:
    auto add(worker_ref worker, zone_ref zone, rack_ref rack,
             resources const& capacity) -> void;
    auto remove(worker_ref worker) -> void;

    /// Sets the free resources of a worker.
    auto set_free(worker_ref worker, resources const& free) -> void;

    /// Sets whether a worker accepts new tasks.
    auto set_open(worker_ref worker, bool open) -> void;

    /// Sets whether a worker is reserved for the request that names it in
    /// held_worker.
    auto set_held(worker_ref worker, bool held) -> void;

    [[nodiscard]] auto is_open(worker_ref worker) const -> bool
    {
        return workers_[pos(worker)].open;
    }
    [[nodiscard]] auto rack_of(worker_ref worker) const -> rack_ref
    {
        return workers_[pos(worker)].rack;
    }
    [[nodiscard]] auto is_held(worker_ref worker) const -> bool
    {
        return workers_[pos(worker)].held;
    }
    [[nodiscard]] auto size() const -> std::size_t { return worker_count_; }

    /// The registered workers, sorted by zone and rack.
    [[nodiscard]] auto order() -> std::span<worker_ref const>
    {
        refresh_order();
        return order_;
    }

    /// Whether the need fits into the given share of the capacity of any
    /// registered worker that is not excluded, also a full one.
    [[nodiscard]] auto fits_any(resources const& need, permille share,
                                std::span<worker_ref const> excluded = {}) const
        -> bool;

    /// Chooses a worker. cost(worker) returns an interference_cost.
    template <class Cost>
    [[nodiscard]] auto choose(placement_request const& request,
                              commitments const& used, random_bits random,
                              Cost&& cost) -> placement_choice;

private:
    struct worker_entry
    {
        zone_ref zone;
        rack_ref rack;
        resources capacity;
        resources free;
        std::uint32_t index_position{0};
        bool is_registered{false};
        bool open{false};
        bool held{false};
    };
    struct size_class
    {
        resources capacity;
        std::uint32_t workers{0};
    };
    struct rejections
    {
        std::uint32_t share{0};
        std::uint32_t interference{0};
        std::uint32_t last_capacity{0};
    };

    auto refresh_order() -> void;
    auto update_index(worker_entry const& it) -> void;
    [[nodiscard]] auto is_allowed(placement_request const& request,
                                  commitments const& used, worker_ref worker,
                                  rejections& rejected) const -> bool;
    [[nodiscard]] auto base_cost(placement_request const& request,
                                 worker_ref worker) const -> double;

    std::vector<worker_entry> workers_;
    std::vector<worker_ref> order_;
    std::vector<size_class> classes_;
    free_index index_;
    std::size_t worker_count_{0}; ///< registered ones only
    bool is_order_stale_{false};  ///< set when workers are added or removed
};

template <class Cost>
auto placement::choose(placement_request const& request,
                       commitments const& used, random_bits random, Cost&& cost)
    -> placement_choice
{
    refresh_order();
    placement_choice best;
    rejections rejected;
    auto lowest_cost = 0.0;
    auto const consider = [&](worker_ref worker)
    {
        if (!is_allowed(request, used, worker, rejected))
        {
            return;
        }
        interference_cost const service_cost = cost(worker);
        if (service_cost.rejected)
        {
            ++rejected.interference;
            return;
        }
        ++best.candidates;
        auto const total =
            base_cost(request, worker) + service_cost.slowdown.value() / 100.0;
        if (best.verdict != placement_verdict::chosen || total < lowest_cost)
        {
            best.verdict = placement_verdict::chosen;
            best.worker = worker;
            best.slowdown = service_cost.slowdown;
            lowest_cost = total;
        }
    };
    if (request.held_worker)
    {
        auto const& it = workers_[pos(*request.held_worker)];
        if (it.open && request.need.fits_into(it.free))
        {
            consider(*request.held_worker);
        }
        if (best.verdict == placement_verdict::chosen)
        {
            return best;
        }
    }
    auto const worker_count = order_.size();
    auto state = random.value();
    auto const start =
        worker_count == 0 ? 0 : next_random(state) % worker_count;
    std::size_t visits = config::index_visits;
    auto last_position = worker_count;
    for (std::size_t tries = 0; tries < config::placement_tries && visits > 0;
         ++tries)
    {
        // The first probes divide the order evenly; later ones are placed
        // between them.
        auto const probe =
            (start + tries * worker_count / config::placement_candidates +
             (tries / config::placement_candidates) *
                 (worker_count / config::placement_tries + 1)) %
            std::max<std::size_t>(worker_count, 1);
        auto found = index_.find_next(probe, request.need, visits);
        if (!found)
        {
            found = index_.find_next(0, request.need, visits);
        }
        if (!found)
        {
            break;
        }
        if (*found == last_position)
        {
            continue;
        }
        last_position = *found;
        consider(order_[last_position]);
        if (best.candidates >= config::placement_candidates)
        {
            break;
        }
    }
    if (best.verdict != placement_verdict::chosen)
    {
        best.verdict =
            rejected.interference > 0    ? placement_verdict::interference
            : rejected.share > 0         ? placement_verdict::share_used
            : rejected.last_capacity > 0 ? placement_verdict::last_capacity
                                         : placement_verdict::no_capacity;
    }
    return best;
}

} // namespace apricotlb

#endif
