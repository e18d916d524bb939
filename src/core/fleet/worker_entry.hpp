/// What the leader holds of one worker: its clock, its lease and its runs.
#ifndef APRICOTLB_CORE_FLEET_WORKER_ENTRY_HPP
#define APRICOTLB_CORE_FLEET_WORKER_ENTRY_HPP

#include "core/fleet/worker_messages.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace apricotlb
{

/// What is known of a run that holds room on a worker.
enum class run_phase : std::uint8_t
{
    proposed,  ///< not on record yet
    inherited, ///< on record by an earlier leader, not seen yet
    ordered,   ///< the start was sent and is not answered
    running,
    stopping, ///< has to stop; the stop is not confirmed
    closed,   ///< cannot start any more; the next lists show whether it ran
    ending,   ///< its end is proposed
};

/// What a task of a step counts against the capacity of a worker.
[[nodiscard]] inline auto room_of(step_spec const& step) -> resources
{
    auto room = step.each;
    if (step.scavenges)
    {
        room.cores = millicores{0};
    }
    return room;
}

/// A run and the room it holds, from the decision to its recorded end.
struct held_run
{
    run_phase phase{run_phase::proposed};
    resources room;       ///< what it counts against the capacity
    millicores scavenged; ///< processors it would use beyond that
    image_name image;
    milliseconds latency_target{};
    bool permanent{false};
    bool scavenges{false};
    bool unanswered{false}; ///< a start may be carried out later
    bool awaiting{false};   ///< an order is in flight
    run_end closed_as{run_end::not_started};
    time_point sent{};    ///< the last order
    time_point settled{}; ///< when it was confirmed or closed
    checkpoint_id checkpoint;
    std::int64_t load{0};
    permille strain{}; ///< smoothed latency tail, of the target
    permille pace{1000};
    time_point paced{}; ///< when the pace was last changed
    /// Since when the strain has been over the target without a break.
    std::optional<time_point> over_since;

    /// Serves users within a latency target.
    [[nodiscard]] auto is_serving() const -> bool
    {
        return latency_target > milliseconds{0};
    }

    /// Takes a worker's figure for its tail or its use of processors.
    auto measure(std::int64_t figure, time_point now) -> void
    {
        load = figure;
        if (is_serving())
        {
            auto const share = permille{static_cast<std::int32_t>(
                figure * 1000 / latency_target.count())};
            auto const change = (share - strain).value() *
                                config::latency_smoothing.value() / 1000;
            strain += permille{change};
            if (strain <= config::pace_cut_above)
            {
                over_since.reset();
            }
            else if (!over_since)
            {
                over_since = now;
            }
        }
    }
};

/// Converts between a worker's clock and the leader's, and bounds the end of
/// the worker's lease. The worker's clock may run slow by config::worker_drift.
class worker_lease
{
public:
    /// Longest time that a lease may last on the slowest clock.
    [[nodiscard]] static auto longest(duration lease) -> duration
    {
        return lease * 1000 / slowest_rate + config::lease_margin;
    }

    /// The lease may have been extended by others until this time.
    auto assume_until(time_point end) -> void
    {
        bound_ = std::max(bound_, end);
    }

    /// The worker's clock showed at least `clock` at `now`.
    auto sample(worker_clock clock, time_point now) -> void
    {
        if (!sampled_ || worker_now(now) <= clock)
        {
            clock_ = clock;
            sampled_at_ = now;
            sampled_ = true;
        }
    }
    [[nodiscard]] auto is_sampled() const -> bool { return sampled_; }

    /// The end of a lease granted now; bound() counts it.
    auto grant(time_point now, duration length) -> worker_clock
    {
        auto const end = worker_now(now) + to_clock(length);
        auto const left = milliseconds{(end - clock_).value()};
        assume_until(sampled_at_ + longest(left));
        return end;
    }

    /// From here on every lease granted has ended on the worker's clock.
    [[nodiscard]] auto bound() const -> time_point { return bound_; }

private:
    static constexpr std::int64_t slowest_rate =
        1000 - config::worker_clock_drift.value();

    static auto to_clock(duration d) -> worker_clock
    {
        return worker_clock{
            std::chrono::duration_cast<milliseconds>(d).count()};
    }
    /// A lower bound: the clock ran at its slowest since the sample.
    [[nodiscard]] auto worker_now(time_point now) const -> worker_clock
    {
        return clock_ + to_clock((now - sampled_at_) * slowest_rate / 1000);
    }

    worker_clock clock_;
    time_point sampled_at_{};
    time_point bound_{};
    bool sampled_{false};
};

struct worker_entry
{
    std::optional<worker_announcement> info; ///< none before the first one
    worker_incarnation incarnation;
    worker_lease lease;
    std::map<task_run, held_run> runs;
    resources held; ///< room of all runs
    millicores scavenged;
    /// Runs with a latency target, by image.
    std::map<image_name, std::int64_t> serving;
    end_number recorded;     ///< ends up to here are on record
    end_number acknowledged; ///< the worker was told so and answered
    time_point heard{};
    time_point paused_until{}; ///< it refused orders
    time_point poll_sent{};
    time_point poll_at{}; ///< earliest time of the next poll
    bool polling{false};
    bool recording{false}; ///< ends that it listed are proposed
    bool gone{false};      ///< this life has ended for certain

    auto add(task_run const& run, held_run it) -> void
    {
        held += it.room;
        scavenged += it.scavenged;
        if (it.is_serving())
        {
            ++serving[it.image];
        }
        runs.emplace(run, std::move(it));
    }
    auto remove(task_run const& run) -> void
    {
        auto const it = runs.find(run);
        if (it != runs.end())
        {
            held -= it->second.room;
            scavenged -= it->second.scavenged;
            auto const same = serving.find(it->second.image);
            if (it->second.is_serving() && --same->second == 0)
            {
                serving.erase(same);
            }
            runs.erase(it);
        }
    }
    [[nodiscard]] auto is_serving() const -> bool { return !serving.empty(); }
    [[nodiscard]] auto free() const -> resources
    {
        auto left = info ? info->capacity : resources{};
        left -= held;
        return left;
    }
};

} // namespace apricotlb

#endif
