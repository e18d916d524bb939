#include "core/scheduling/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace apricotlb
{

namespace
{

// Costs are in tenths of a doubled latency: a slowdown by 100 permille
// costs 1.
constexpr auto accelerator_waste_cost = 3.0;
constexpr auto same_rack_cost = 2.0;
constexpr auto uneven_cost = 0.5;

auto part(std::int64_t a, std::int64_t b) -> double
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
    it.known = true;
    ++count_;
    stale_ = true;
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
    if (!it.known)
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
    it.known = false;
    --count_;
    stale_ = true;
}

auto placement::refresh() -> void
{
    if (!stale_)
    {
        return;
    }
    stale_ = false;
    order_.clear();
    for (std::uint32_t n = 0; n < workers_.size(); ++n)
    {
        if (workers_[n].known)
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
    for (std::uint32_t n = 0; n < order_.size(); ++n)
    {
        auto& it = workers_[pos(order_[n])];
        it.at = n;
        publish(it);
    }
}

auto placement::publish(worker_entry const& it) -> void
{
    if (it.known && !stale_)
    {
        index_.set(it.at,
                   it.open && !it.held ? std::optional{it.free} : std::nullopt);
    }
}

auto placement::set_free(worker_ref worker, resources const& free) -> void
{
    auto& it = get_or_grow(workers_, worker);
    it.free = free;
    publish(it);
}

auto placement::set_open(worker_ref worker, bool open) -> void
{
    auto& it = get_or_grow(workers_, worker);
    if (it.open != open)
    {
        it.open = open;
        publish(it);
    }
}

auto placement::set_held(worker_ref worker, bool held) -> void
{
    auto& it = get_or_grow(workers_, worker);
    it.held = held;
    publish(it);
}

auto placement::fits_any(resources const& need, permille share) const -> bool
{
    return std::ranges::any_of(
        classes_, [&](size_class const& it)
        { return need.fits_into(share_of(it.capacity, share)); });
}

auto placement::is_allowed(placement_request const& request,
                           commitments const& used, worker_ref worker,
                           rejections& why) const -> bool
{
    auto const& it = workers_[pos(worker)];
    if (std::ranges::find(request.avoid, worker) != request.avoid.end())
    {
        return false;
    }
    auto wanted = used.held(worker, request.customer);
    wanted += request.need;
    if (!wanted.fits_into(share_of(it.capacity, request.vm_share)))
    {
        ++why.share;
        return false;
    }
    if (request.straggler)
    {
        auto left = it.free;
        left -= request.need;
        auto reserve = share_of(it.capacity, config::straggler_reserve);
        reserve.accels = accelerators{};
        if (!reserve.fits_into(left))
        {
            ++why.last_capacity;
            return false;
        }
    }
    return true;
}

auto placement::base_cost(placement_request const& request,
                          worker_ref worker) const -> double
{
    auto const& it = workers_[pos(worker)];
    auto cost = 0.0;
    if (request.need.accels == accelerators{} &&
        it.free.accels > accelerators{})
    {
        cost += accelerator_waste_cost;
    }
    auto siblings = 0.0;
    auto here = 0.0;
    for (auto const& [rack, tasks] : request.same_job)
    {
        siblings += static_cast<double>(tasks.value());
        here += rack == it.rack ? static_cast<double>(tasks.value()) : 0.0;
    }
    if (siblings > 0)
    {
        cost += same_rack_cost * here / siblings;
    }
    // An even remainder of processors and memory keeps both usable.
    auto left = it.free;
    left -= request.need;
    auto const cores = part(left.cores.value(), it.capacity.cores.value());
    auto const memory = part(left.memory.value(), it.capacity.memory.value());
    return cost + uneven_cost * std::abs(cores - memory);
}

} // namespace apricotlb
