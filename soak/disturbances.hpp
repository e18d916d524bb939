/// Which processes were disturbed, and when.
#ifndef APRICOTLB_SOAK_DISTURBANCES_HPP
#define APRICOTLB_SOAK_DISTURBANCES_HPP

#include <apricotlb/time.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb::soak
{

/// Names of the parties: control processes begin with `c`, entry processes
/// with `e`, workers with `w`, the links of workers with `l`.
class disturbances
{
public:
    /// A disturbance begins; it lasts until end().
    auto begin(std::string const& who, time_point now) -> void
    {
        ++open_[who];
        last_[who] = now;
    }
    auto end(std::string const& who, time_point now) -> void
    {
        open_[who] = std::max(0, open_[who] - 1);
        last_[who] = now;
    }
    /// A disturbance without a length.
    auto mark(std::string const& who, time_point now) -> void
    {
        last_[who] = now;
    }
    /// SIGTERM or SIGHUP to a process, or its start after that.
    auto mark_planned(std::string const& who, time_point now) -> void
    {
        planned_[who].push_back(now);
    }

    /// A commit takes a majority of the disks: as long as there is one of good
    /// disks, slow ones excuse nothing. Without it what has a time bound may be
    /// late; what has none holds.
    auto set_slow_disks(std::size_t slow, std::size_t all, time_point now)
        -> void
    {
        auto const are_slow = (all - slow) * 2 <= all;
        if (are_slow != (open_[disks] > 0))
        {
            are_slow ? begin(disks, now) : end(disks, now);
        }
    }
    /// True if a majority of the disks has been good since a point of time.
    [[nodiscard]] auto are_disks_good(time_point since) const -> bool
    {
        return is_calm(disks, since);
    }

    /// True if `who` has not been disturbed since a point of time, other than
    /// by planned work.
    [[nodiscard]] auto is_calm(std::string const& who, time_point since) const
        -> bool
    {
        auto const open = open_.find(who);
        auto const last = last_.find(who);
        return (open == open_.end() || open->second == 0) &&
               (last == last_.end() || last->second < since);
    }
    /// The same for all parties whose names begin with a letter.
    [[nodiscard]] auto are_calm(char kind, time_point since) const -> bool
    {
        return std::ranges::all_of(
            last_, [&](auto const& it)
            { return it.first.front() != kind || is_calm(it.first, since); });
    }
    /// True if nothing at all has happened to these parties since then.
    [[nodiscard]] auto are_undisturbed(char kind, time_point since) const
        -> bool
    {
        return are_calm(kind, since) &&
               std::ranges::none_of(planned_,
                                    [&](auto const& it) {
                                        return it.first.front() == kind &&
                                               it.second.back() >= since;
                                    });
    }
    [[nodiscard]] auto is_undisturbed(std::string const& who,
                                      time_point since) const -> bool
    {
        return is_calm(who, since) &&
               !was_planned(who, since, time_point::max());
    }
    /// True if a signal for planned work came to `who` in a span of time.
    [[nodiscard]] auto was_planned(std::string const& who, time_point from,
                                   time_point to) const -> bool
    {
        auto const it = planned_.find(who);
        return it != planned_.end() &&
               std::ranges::any_of(it->second, [&](time_point at)
                                   { return at >= from && at <= to; });
    }

private:
    static constexpr auto disks = "disks";

    std::map<std::string, int> open_;
    std::map<std::string, time_point> last_;
    std::map<std::string, std::vector<time_point>> planned_;
};

} // namespace apricotlb::soak

#endif
