/// Interference of scavenging tasks with colocated serving tasks, by image.
#ifndef APRICOTLB_CORE_FLEET_DISTURBANCE_HPP
#define APRICOTLB_CORE_FLEET_DISTURBANCE_HPP

#include "core/scheduling/interference.hpp"
#include "core/scheduling/refs.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// Reference to the image of a step, from an interner of the scheduler.
using image_ref = strong<struct image_ref_tag, std::uint32_t>;

/// Whether an image is measured to slow a serving image down.
enum class interference_state : std::uint8_t
{
    none,    ///< reliable estimate of at most config::min_significant_effect
    unknown, ///< too few samples for a reliable estimate
    known,   ///< reliable estimate above config::min_significant_effect
};

/// Name for logs.
[[nodiscard]] auto name_of(interference_state it) -> std::string_view;

/// Adapter of the interference model: takes images instead of batch kinds and
/// services, and returns estimates as shares of a latency target. The measured
/// latency of a serving task already includes its own load and the tasks
/// colocated with it, so an estimate only adds the effect of further tasks.
class image_interference
{
public:
    auto started(worker_id const& worker, task_run const& run, image_ref image,
                 time_point now) -> void;
    auto pace_changed(worker_id const& worker, task_run const& run,
                      permille pace, time_point now) -> void;
    auto ended(worker_id const& worker, task_run const& run, time_point now)
        -> void;

    /// Adds one tail latency that a worker reported for a serving task.
    auto learn(worker_id const& worker, image_ref serving,
               milliseconds tail_latency, time_point now) -> void;

    /// Expected tail latency of a serving task, as a share of its target, once
    /// one task of each image in `added_images` is added to its worker.
    /// `latency_ratio` is the currently measured share.
    [[nodiscard]] auto
    expected_ratio(image_ref serving, milliseconds target,
                   permille latency_ratio,
                   std::vector<image_ref> const& added_images,
                   time_point now) const -> permille;

    /// True when a single task of an image is estimated to push a serving image
    /// over its target at peak load. Estimates above
    /// config::min_significant_effect count before they are reliable: large
    /// effects scatter most and would take long to become reliable.
    [[nodiscard]] auto is_harmful(image_ref scavenging, image_ref serving,
                                  milliseconds target, time_point now) const
        -> bool;

    [[nodiscard]] auto interference_state_of(image_ref scavenging,
                                             image_ref serving,
                                             time_point now) const
        -> interference_state;

    /// Effect of one task of an image on a serving image, as the natural
    /// logarithm of a factor in thousandths.
    [[nodiscard]] auto effect(image_ref scavenging, image_ref serving,
                              time_point now) const -> pair_estimate;

private:
    auto worker_ref_of(worker_id const& it) -> worker_ref
    {
        return workers_.ref(it);
    }
    interference_model<multiplied_effects> model_;
    interner<worker_id, worker_ref> workers_;
    std::unordered_map<task_run, task_ref, task_run_hash> runs_;
    std::uint32_t last_run_{0};
};

} // namespace apricotlb

#endif
