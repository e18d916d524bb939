#include "core/log/reach_meter.hpp"

#include <algorithm>

namespace apricotlb
{

auto reach_meter::update(time_point now, time_point lease_end) -> void
{
    auto const begin = std::min(std::max(lease_end_, updated_at_), now);
    if (begin < now && !gaps_.empty() && gaps_.back().end == begin)
    {
        gaps_.back().end = now;
    }
    else if (begin < now)
    {
        gaps_.push_back({begin, now});
    }
    while (!gaps_.empty() && gaps_.front().end <= now - window)
    {
        gaps_.pop_front();
    }
    updated_at_ = now;
    lease_end_ = lease_end;
}

auto reach_meter::measured(time_point now) const -> duration
{
    return std::min(now - since_, window);
}

auto reach_meter::without_lease(time_point now) const -> duration
{
    auto out = now - std::min(std::max(lease_end_, updated_at_), now);
    for (auto const& it : gaps_)
    {
        out += std::max(duration{}, it.end - std::max(it.begin, now - window));
    }
    return out;
}

} // namespace apricotlb
