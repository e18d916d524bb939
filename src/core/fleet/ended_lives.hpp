/// Lives of workers that are known to be over.
#ifndef APRICOTLB_CORE_FLEET_ENDED_LIVES_HPP
#define APRICOTLB_CORE_FLEET_ENDED_LIVES_HPP

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>

namespace apricotlb
{

/// Remembers which lives of a worker have ended. Their numbers are times of day
/// on the workers' clocks, which may go back, and so tell no order of lives.
class ended_lives
{
public:
    /// Lives that are remembered of one worker. Announcements are held up for
    /// less time than a worker needs for so many starts.
    static constexpr std::size_t max_per_worker = 8;

    auto record(worker_instance const& it, time_point now) -> void;
    /// Corrects what was recorded: this life has answered since.
    auto forget(worker_instance const& it) -> void;
    [[nodiscard]] auto contains(worker_instance const& it) const -> bool;
    /// True if some life of the worker is known to have ended.
    [[nodiscard]] auto knows(worker_id const& it) const -> bool;
    /// Drops the workers that are not kept and whose last life ended before
    /// `until`.
    auto prune(time_point until,
               std::function<bool(worker_id const&)> const& is_kept) -> void;

private:
    struct lives
    {
        std::deque<worker_incarnation> ended; ///< oldest first
        time_point newest_at{};
    };

    std::map<worker_id, lives> of_;
};

} // namespace apricotlb

#endif
