/// Interference of scavenging tasks with colocated serving tasks, by image.
#ifndef APRICOTLB_CORE_FLEET_DISTURBANCE_HPP
#define APRICOTLB_CORE_FLEET_DISTURBANCE_HPP

#include "core/scheduling/interference.hpp"
#include "core/scheduling/refs.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Whether an image is measured to slow a serving image down.
enum class interference_state : std::uint8_t
{
    none,    ///< reliable estimate of at most config::min_significant_effect
    unknown, ///< too few samples for a reliable estimate
    known,   ///< reliable estimate above config::min_significant_effect
};

/// Adapter of the interference model: takes images instead of batch kinds and
/// services, and returns estimates as shares of a latency target. The measured
/// latency of a serving task already includes its own load and the tasks
/// colocated with it, so an estimate only adds the effect of further tasks.
class image_interference
{
public:
    auto started(worker_id const& worker, task_run const& run,
                 image_name const& image, time_point now) -> void;
    auto pace_changed(worker_id const& worker, task_run const& run,
                      permille pace, time_point now) -> void;
    auto ended(worker_id const& worker, task_run const& run, time_point now)
        -> void;

    /// Adds one tail latency that a worker reported for a serving task.
    auto learn(worker_id const& worker, image_name const& serving,
               milliseconds tail_latency, time_point now) -> void;

    /// Expected tail latency of a serving task, as a share of its target, once
    /// one task of each image in `added_images` is added to its worker.
    /// `latency_ratio` is the currently measured share.
    [[nodiscard]] auto
    expected_ratio(image_name const& serving, milliseconds target,
                   permille latency_ratio,
                   std::vector<image_name> const& added_images,
                   time_point now) const -> permille;

    /// True when a single task of an image is estimated to push a serving image
    /// over its target at peak load. Estimates above
    /// config::min_significant_effect count before they are reliable: large
    /// effects scatter most and would take long to become reliable.
    [[nodiscard]] auto is_harmful(image_name const& scavenging,
                                  image_name const& serving,
                                  milliseconds target, time_point now) const
        -> bool;

    [[nodiscard]] auto interference_state_of(image_name const& scavenging,
                                             image_name const& serving,
                                             time_point now) const
        -> interference_state;

    /// Largest effect of one task of an image on any of the serving images.
    template <class Images>
    [[nodiscard]] auto largest_effect(image_name const& scavenging,
                                      Images const& serving,
                                      time_point now) const -> permille
    {
        permille most;
        for (auto const& [image, tasks] : serving)
        {
            most = std::max(most, effect(scavenging, image, now).slowdown);
        }
        return most;
    }

private:
    using worker_run = std::pair<worker_id, task_run>;

    auto worker_ref_of(worker_id const& it) -> worker_ref
    {
        return workers_.ref(it);
    }
    [[nodiscard]] auto effect(image_name const& scavenging,
                              image_name const& serving, time_point now) const
        -> pair_estimate;

    interference_model<multiplied_effects> model_;
    interner<worker_id, worker_ref> workers_;
    interner<image_name, kind_ref> scavenging_;
    interner<image_name, service_ref> serving_;
    std::map<worker_run, task_ref> runs_;
    std::uint32_t last_run_{0};
};

} // namespace apricotlb

#endif
