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

auto service_times::learn(work_class const& it, duration took) -> void
{
    learn_one({it.customer, it.service, {}}, took);
    if (!it.prefix.empty())
    {
        learn_one(it, took);
    }
}

auto service_times::learn_one(work_class const& it, duration took) -> void
{
    auto const at = times_.find(it);
    if (at != times_.end())
    {
        constexpr int weight = 8;
        at->second += (took - at->second) / weight;
    }
    else if (times_.size() < config::max_work_classes)
    {
        // Callers choose paths, so their number must not grow the table.
        times_.emplace(it, took);
    }
}

} // namespace apricotlb
