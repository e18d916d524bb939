/// Run times and resource usage learned for each kind of work.
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

/// Learns from finished tasks and usage reports. Declared sizes are used until
/// there are enough reports, and bound the learned ones.
class work_model
{
public:
    /// Records the run time of a finished task over all its attempts.
    auto add_run_time(kind_ref kind, duration run_time) -> void;

    /// Records the measured usage of a running attempt.
    auto add_usage(kind_ref kind, resources const& usage) -> void;

    /// A quantile of the run times of finished tasks, rounded up to the bound
    /// of its bucket; nullopt before min_run_time_samples tasks finished.
    [[nodiscard]] auto run_time_quantile(kind_ref kind, permille quantile) const
        -> std::optional<duration>;

    /// Resources to commit for a task: the measured peak with a margin, or the
    /// declared size before min_size_samples reports.
    [[nodiscard]] auto resources_for(kind_ref kind,
                                     resources const& declared) const
        -> resources;

private:
    // Bucket n holds run times up to 100 ms * 2^n; the last one, 15 h, also
    // holds all longer ones.
    static constexpr std::size_t bucket_count = 20;
    struct kind_entry
    {
        std::array<float, bucket_count> run_times{};
        float finished_weight{0}; ///< sum of run_times
        std::uint32_t usage_samples{0};
        resources peak;
    };

    std::vector<kind_entry> kinds_;
};

} // namespace apricotlb

#endif
