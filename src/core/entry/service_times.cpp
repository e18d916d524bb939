#include "core/entry/service_times.hpp"

#include <apricotlb/config.hpp>

namespace apricotlb
{

auto service_times::expected(work_class const& it) const -> duration
{
    auto at = times_.find(it);
    if (at == times_.end())
    {
        at = times_.find({it.customer, it.service, {}});
    }
    return at == times_.end() ? duration{} : at->second;
}

auto service_times::add_sample(work_class const& it, duration elapsed) -> void
{
    add_to_class({it.customer, it.service, {}}, elapsed);
    if (!it.prefix.empty())
    {
        add_to_class(it, elapsed);
    }
}

auto service_times::add_to_class(work_class const& it, duration elapsed) -> void
{
    auto const at = times_.find(it);
    if (at != times_.end())
    {
        constexpr int weight = 8;
        at->second += (elapsed - at->second) / weight;
    }
    else if (times_.size() < config::max_work_classes)
    {
        // Callers choose paths, so their number must not grow the table.
        times_.emplace(it, elapsed);
    }
}

} // namespace apricotlb
