#include "core/log/office_meter.hpp"

#include <algorithm>
#include <utility>

namespace apricotlb
{

auto office_meter::update(time_point now, std::optional<time_point> lease_end)
    -> void
{
    if (lease_end_)
    {
        auto const held_until = std::clamp(*lease_end_, updated_at_, now);
        load_.in_office += now - updated_at_;
        load_.without_lease += now - held_until;
    }
    updated_at_ = now;
    lease_end_ = lease_end;
    if (!lease_end)
    {
        open_.clear();
    }
}

auto office_meter::on_proposed(log_index index, term in_term, time_point now)
    -> void
{
    open_.push_back({index, in_term, now});
}

auto office_meter::on_applied(log_index index, term in_term, time_point now)
    -> void
{
    while (!open_.empty() && open_.front().index <= index)
    {
        auto const it = open_.front();
        open_.pop_front();
        if (it.index == index && it.in_term == in_term)
        {
            auto const took = now - it.proposed_at;
            ++load_.commits;
            load_.commit_time += took;
            load_.longest_commit = std::max(load_.longest_commit, took);
        }
    }
}

auto office_meter::take(time_point now) -> office_load
{
    update(now, lease_end_);
    auto out = std::exchange(load_, {});
    if (!open_.empty())
    {
        out.longest_commit =
            std::max(out.longest_commit, now - open_.front().proposed_at);
    }
    return out;
}

} // namespace apricotlb
