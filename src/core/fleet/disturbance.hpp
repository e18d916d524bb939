/// What scavenging tasks cost the serving tasks beside them, by image.
#ifndef APRICOTLB_CORE_FLEET_DISTURBANCE_HPP
#define APRICOTLB_CORE_FLEET_DISTURBANCE_HPP

#include "core/scheduling/interference.hpp"
#include "core/scheduling/refs.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Feeds the interference model with images instead of kinds and services,
/// and answers in shares of a latency target.
class disturbance
{
public:
    auto started(worker_id const& at, task_run const& run,
                 image_name const& image, time_point now) -> void;
    auto paced(worker_id const& at, task_run const& run, permille to,
               time_point now) -> void;
    auto ended(worker_id const& at, task_run const& run, time_point now)
        -> void;

    /// A worker's figure for the latency tail of one of its serving tasks.
    auto learn(worker_id const& at, image_name const& serving,
               milliseconds tail, time_point now) -> void;

    /// Expected tail of a serving image, as a share of its target, beside one
    /// task of each image that is listed.
    [[nodiscard]] auto expected(image_name const& serving, milliseconds target,
                                std::vector<image_name> const& beside,
                                time_point now) const -> permille;

    /// True when one task of an image alone is thought to take a serving image
    /// over its target. Large slowdowns count before they are trusted: their
    /// figures scatter most, so trust comes late.
    [[nodiscard]] auto is_harmful(image_name const& scavenging,
                                  image_name const& serving,
                                  milliseconds target, time_point now) const
        -> bool;

    /// True unless the pair is known to leave the latency nearly unchanged.
    [[nodiscard]] auto may_disturb(image_name const& scavenging,
                                   image_name const& serving,
                                   time_point now) const -> bool;

private:
    using run_place = std::pair<worker_id, task_run>;

    auto worker(worker_id const& it) -> worker_ref { return workers_.ref(it); }
    [[nodiscard]] auto slowdown(image_name const& scavenging,
                                image_name const& serving, time_point now) const
        -> pair_estimate;

    interference model_;
    interner<worker_id, worker_ref> workers_;
    interner<image_name, kind_ref> scavenging_;
    interner<image_name, service_ref> serving_;
    std::map<run_place, task_ref> runs_;
    std::uint32_t last_run_{0};
};

} // namespace apricotlb

#endif
