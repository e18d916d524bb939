/// Usual run times of workflow tasks, and the runs that exceed them by far.
#ifndef APRICOTLB_CORE_FLEET_STRAGGLER_WATCH_HPP
#define APRICOTLB_CORE_FLEET_STRAGGLER_WATCH_HPP

#include "core/fleet/disturbance.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// The newest values of a quantity, up to config::kept_run_times.
template <class Value>
class recent_values
{
public:
    auto add(Value value) -> void
    {
        values_.at(next_) = value;
        next_ = (next_ + 1) % values_.size();
        count_ = std::min(count_ + 1, values_.size());
    }
    [[nodiscard]] auto count() const -> std::size_t { return count_; }

    /// The value below which a share of them lies; there must be one.
    [[nodiscard]] auto quantile(permille share) const -> Value
    {
        auto sorted = values_;
        auto const last = static_cast<std::int64_t>(count_) - 1;
        auto const nth = sorted.begin() + last * share.value() / 1000;
        std::nth_element(sorted.begin(), nth,
                         sorted.begin() + static_cast<std::ptrdiff_t>(count_));
        return *nth;
    }

private:
    std::array<Value, config::kept_run_times> values_{};
    std::size_t count_{0};
    std::size_t next_{0};
};

/// Whether another run of a task is likely to end before the first one.
enum class copy_worth : std::uint8_t
{
    likely,
    ends_soon,   ///< the first run is expected to end before a copy would
    no_evidence, ///< over its declared run time, and no usual one is known
};

/// A run that has lasted for much longer than is usual.
struct straggler
{
    task_run run;
    permille excess; ///< time that it has run, as a share of the usual one
    copy_worth worth;
};

/// Learns run times, and watches the runs of which a copy may be made. A check
/// looks at the stragglers, and at one more run of each step that is watched.
class straggler_watch
{
public:
    /// A run was seen to start, or to run under a new leader: then it has run
    /// for at least the time since.
    auto add(task_run const& run, image_ref image, milliseconds estimate,
             time_point now) -> void;
    auto remove(task_run const& run) -> void;

    /// A run has finished after `lasted`. `is_watched` says whether runs of
    /// the step are watched.
    auto learn(workflow_task const& task, image_ref image,
               milliseconds estimate, duration lasted, bool is_watched,
               time_point now) -> void;

    /// The stragglers, the longest over its usual time first; of a step
    /// without evidence only the oldest run.
    [[nodiscard]] auto stragglers(time_point now) const
        -> std::vector<straggler>;

    /// Forgets the run times of steps without watched runs of which nothing
    /// has ended for config::worker_removal_delay.
    auto prune(time_point now) -> void;

    /// Run time of most tasks of the step: the median of those that have
    /// ended, or else the declared one times the high quantile of the ratios
    /// of its image.
    [[nodiscard]] auto usual_time(workflow_task const& task, image_ref image,
                                  milliseconds estimate) const
        -> std::optional<duration>;

    [[nodiscard]] auto watched_runs() const -> std::size_t
    {
        return since_.size();
    }
    [[nodiscard]] auto known_steps() const -> std::size_t
    {
        return run_times_.size();
    }

private:
    struct watched_step
    {
        image_ref image;
        milliseconds estimate{};
        std::set<std::pair<time_point, task_run>> runs; ///< the longest first
    };
    struct step_run_times
    {
        recent_values<duration> values;
        time_point last{};
    };
    struct image_hash
    {
        auto operator()(image_ref it) const noexcept -> std::size_t
        {
            return it.value();
        }
    };

    [[nodiscard]] static auto step_of(workflow_task task) -> workflow_task;

    std::unordered_map<workflow_task, watched_step, workflow_task_hash> steps_;
    std::unordered_map<task_run, time_point, task_run_hash> since_;
    std::unordered_map<workflow_task, step_run_times, workflow_task_hash>
        run_times_;
    /// Ratios of seen to declared run times.
    std::unordered_map<image_ref, recent_values<permille>, image_hash> ratios_;
};

} // namespace apricotlb

#endif
