#include "core/entry/service_times.hpp"

#include <apricotlb/config.hpp>

namespace apricotlb
{

auto service_times::expected(work_class const& it) const -> duration
{
    auto found = times_.find(it);
    if (found == times_.end())
    {
        found = times_.find({it.customer, it.service, {}});
    }
    return found == times_.end() ? duration{} : found->second;
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
    auto const found = times_.find(it);
    if (found != times_.end())
    {
        constexpr int weight = 8;
        found->second += (elapsed - found->second) / weight;
    }
    else if (times_.size() < config::max_work_classes)
    {
        // Callers choose the paths, so the number of paths must not decide the
        // size of the table.
        times_.emplace(it, elapsed);
    }
}

} // namespace apricotlb
