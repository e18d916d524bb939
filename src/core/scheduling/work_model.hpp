/// Run times and sizes learned for each kind of work.
#ifndef APRICOTLB_CORE_SCHEDULING_WORK_MODEL_HPP
#define APRICOTLB_CORE_SCHEDULING_WORK_MODEL_HPP

#include "core/scheduling/refs.hpp"

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace apricotlb
{

/// Learns from ends and usage reports; declared values are only the start.
class work_model
{
public:
    /// Records the total run time of a finished task.
    auto add_run_time(kind_ref kind, duration run_time) -> void;

    /// Records a measured usage of a running attempt.
    auto add_usage(kind_ref kind, resources const& usage) -> void;

    /// The run time below which the given part of finished tasks stayed;
    /// nothing before enough of them finished.
    [[nodiscard]] auto run_time_quantile(kind_ref kind, permille quantile) const
        -> std::optional<duration>;

    /// What to commit for a task: the measured peak with a margin, or the
    /// declared size while there are too few measurements.
    [[nodiscard]] auto resources_for(kind_ref kind,
                                     resources const& declared) const
        -> resources;

private:
    // Buckets of a factor of two from 100 ms; the last holds all above 15 h.
    static constexpr std::size_t bucket_count = 20;
    struct kind_entry
    {
        std::array<float, bucket_count> run_times{};
        float finished_weight{0};
        std::uint32_t usage_samples{0};
        resources peak;
    };

    std::vector<kind_entry> kinds_;
};

} // namespace apricotlb

#endif
