/// What scavenging tasks cost the serving tasks beside them, by image.
#ifndef APRICOTLB_CORE_FLEET_IMAGE_INTERFERENCE_HPP
#define APRICOTLB_CORE_FLEET_IMAGE_INTERFERENCE_HPP

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

/// Whether an image is thought to slow a serving image down.
enum class interference_state : std::uint8_t
{
    none, ///< it is known to leave the latency nearly unchanged
    unknown,
    known,
};

/// Feeds the interference model with images instead of kinds and services,
/// and answers in shares of a latency target. What one serving task shows now
/// holds its load and the tasks beside it, so an estimate only adds to that.
class image_interference
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

    /// Expected tail of a serving task, as a share of its target, once one more
    /// task of each image that is listed runs beside it. `strain` is the share
    /// that it shows now.
    [[nodiscard]] auto expected_ratio(image_name const& serving,
                                      milliseconds target, permille strain,
                                      std::vector<image_name> const& more,
                                      time_point now) const -> permille;

    /// True when one task of an image alone is thought to take a serving image
    /// over its target at the crest of its load. Large effects count before
    /// they are trusted: their figures scatter most, so trust comes late.
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
    using run_place = std::pair<worker_id, task_run>;

    auto worker(worker_id const& it) -> worker_ref { return workers_.ref(it); }
    [[nodiscard]] auto effect(image_name const& scavenging,
                              image_name const& serving, time_point now) const
        -> pair_estimate;

    interference_model<multiplied_effects> model_;
    interner<worker_id, worker_ref> workers_;
    interner<image_name, kind_ref> scavenging_;
    interner<image_name, service_ref> serving_;
    std::map<run_place, task_ref> runs_;
    std::uint32_t last_run_{0};
};

} // namespace apricotlb

#endif
