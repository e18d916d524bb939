#include "core/scheduling/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace apricotlb
{

namespace
{

// Costs are relative to interference: a slowdown of services by 100 permille
// costs 1.
constexpr auto accelerator_waste_cost = 3.0;
constexpr auto same_rack_cost = 2.0;
constexpr auto imbalance_cost = 0.5;

auto fraction(std::int64_t a, std::int64_t b) -> double
{
    return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0.0;
}

} // namespace

auto placement::add(worker_ref worker, zone_ref zone, rack_ref rack,
                    resources const& capacity) -> void
{
    remove(worker);
    auto& it = get_or_grow(workers_, worker);
    it.zone = zone;
    it.rack = rack;
    it.capacity = capacity;
    it.is_registered = true;
    ++worker_count_;
    is_order_stale_ = true;
    auto const same =
        std::ranges::find(classes_, capacity, &size_class::capacity);
    if (same == classes_.end())
    {
        classes_.push_back({capacity, 1});
    }
    else
    {
        ++same->workers;
    }
}

auto placement::remove(worker_ref worker) -> void
{
    auto& it = get_or_grow(workers_, worker);
    if (!it.is_registered)
    {
        return;
    }
    auto const same =
        std::ranges::find(classes_, it.capacity, &size_class::capacity);
    if (--same->workers == 0)
    {
        *same = classes_.back();
        classes_.pop_back();
    }
    it.is_registered = false;
    --worker_count_;
    is_order_stale_ = true;
}

auto placement::refresh_order() -> void
{
    if (!is_order_stale_)
    {
        return;
    }
    is_order_stale_ = false;
    order_.clear();
    for (std::uint32_t n = 0; n < workers_.size(); ++n)
    {
        if (workers_[n].is_registered)
        {
            order_.emplace_back(n);
        }
    }
    std::ranges::sort(order_, {},
                      [this](worker_ref w)
                      {
                          auto const& it = workers_[pos(w)];
                          return std::tuple{it.zone, it.rack, w};
                      });
    index_.reset(order_.size());
    for (std::uint32_t position = 0; position < order_.size(); ++position)
    {
        auto& it = workers_[pos(order_[position])];
        it.index_position = position;
        update_index(it);
    }
}

auto placement::update_index(worker_entry const& it) -> void
{
    if (it.is_registered && !is_order_stale_)
    {
        index_.set(it.index_position,
                   it.open && !it.held ? std::optional{it.free} : std::nullopt);
    }
}

auto placement::set_free(worker_ref worker, resources const& free) -> void
{
    auto& it = get_or_grow(workers_, worker);
    it.free = free;
    update_index(it);
}

auto placement::set_open(worker_ref worker, bool open) -> void
{
    auto& it = get_or_grow(workers_, worker);
    if (it.open != open)
    {
        it.open = open;
        update_index(it);
    }
}

auto placement::set_held(worker_ref worker, bool held) -> void
{
    auto& it = get_or_grow(workers_, worker);
    it.held = held;
    update_index(it);
}

auto placement::fits_any(resources const& need, permille share,
                         std::span<worker_ref const> excluded) const -> bool
{
    std::size_t fitting{0};
    for (auto const& it : classes_)
    {
        fitting +=
            need.fits_into(share_of(it.capacity, share)) ? it.workers : 0;
    }
    auto const is_fitting = [&](worker_ref worker)
    {
        auto const& it = workers_[pos(worker)];
        return it.is_registered && need.fits_into(share_of(it.capacity, share));
    };
    return fitting > static_cast<std::size_t>(
                         std::ranges::count_if(excluded, is_fitting));
}

auto placement::is_allowed(placement_request const& request,
                           commitments const& used, worker_ref worker,
                           rejections& rejected) const -> bool
{
    auto const& entry = workers_[pos(worker)];
    if (std::ranges::find(request.excluded, worker) != request.excluded.end())
    {
        return false;
    }
    auto customer_total = used.held(worker, request.customer);
    customer_total += request.need;
    if (!customer_total.fits_into(share_of(entry.capacity, request.vm_share)))
    {
        ++rejected.share;
        return false;
    }
    if (request.is_straggler)
    {
        auto remaining = entry.free;
        remaining -= request.need;
        auto reserve = share_of(entry.capacity, config::straggler_reserve);
        reserve.accels = accelerators{};
        if (!reserve.fits_into(remaining))
        {
            ++rejected.last_capacity;
            return false;
        }
    }
    return true;
}

auto placement::base_cost(placement_request const& request,
                          worker_ref worker) const -> double
{
    auto const& entry = workers_[pos(worker)];
    auto cost = 0.0;
    if (request.need.accels == accelerators{} &&
        entry.free.accels > accelerators{})
    {
        cost += accelerator_waste_cost;
    }
    auto siblings = 0.0;
    auto siblings_in_rack = 0.0;
    for (auto const& [rack, tasks] : request.sibling_racks)
    {
        siblings += static_cast<double>(tasks.value());
        siblings_in_rack +=
            rack == entry.rack ? static_cast<double>(tasks.value()) : 0.0;
    }
    if (siblings > 0)
    {
        cost += same_rack_cost * siblings_in_rack / siblings;
    }
    // Free processors without free memory, or the reverse, cannot be used by
    // other tasks, so a balanced remainder costs less.
    auto remaining = entry.free;
    remaining -= request.need;
    auto const cores =
        fraction(remaining.cores.value(), entry.capacity.cores.value());
    auto const memory =
        fraction(remaining.memory.value(), entry.capacity.memory.value());
    return cost + imbalance_cost * std::abs(cores - memory);
}

} // namespace apricotlb
