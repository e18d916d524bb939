#include "core/fleet/straggler_watch.hpp"

#include <algorithm>
#include <limits>

namespace apricotlb
{

namespace
{

auto share_of(duration part, duration whole) -> permille
{
    constexpr std::int64_t most = std::numeric_limits<std::int32_t>::max();
    return permille{static_cast<std::int32_t>(std::clamp<std::int64_t>(
        part.count() / std::max<std::int64_t>(whole.count() / 1000, 1), 0,
        most))};
}

/// Time for which a straggler is expected to go on. One that exceeds even the
/// usual length of a straggler is held up by something else, which may last for
/// as long again.
auto expected_rest(duration lasted, duration usual) -> duration
{
    auto const end = usual * config::straggler_slowdown;
    // Tasks of one step differ by some tens of percent.
    auto const is_beyond = lasted > end * 3 / 2;
    return is_beyond ? lasted : std::max(end - lasted, duration{});
}

} // namespace

auto straggler_watch::step_of(workflow_task task) -> workflow_task
{
    task.index = {};
    return task;
}

auto straggler_watch::add(task_run const& run, image_ref image,
                          milliseconds estimate, time_point now) -> void
{
    auto const [known, is_new] = since_.try_emplace(run, now);
    if (is_new)
    {
        auto& step = steps_[step_of(run.task)];
        step.image = image;
        step.estimate = estimate;
        step.runs.emplace(now, run);
    }
}

auto straggler_watch::remove(task_run const& run) -> void
{
    auto const known = since_.find(run);
    if (known == since_.end())
    {
        return;
    }
    auto const step = steps_.find(step_of(run.task));
    step->second.runs.erase({known->second, run});
    if (step->second.runs.empty())
    {
        steps_.erase(step);
    }
    since_.erase(known);
}

auto straggler_watch::learn(workflow_task const& task, image_ref image,
                            milliseconds estimate, duration lasted,
                            bool is_watched, time_point now) -> void
{
    if (estimate > milliseconds{0})
    {
        ratios_[image].add(share_of(lasted, estimate));
    }
    if (is_watched)
    {
        auto& times = run_times_[step_of(task)];
        times.values.add(lasted);
        times.last = now;
    }
}

auto straggler_watch::usual_time(workflow_task const& task, image_ref image,
                                 milliseconds estimate) const
    -> std::optional<duration>
{
    auto const step = run_times_.find(step_of(task));
    if (step != run_times_.end() &&
        step->second.values.count() >= config::min_step_run_times)
    {
        return step->second.values.quantile(permille{500});
    }
    auto const ratios = ratios_.find(image);
    if (estimate <= milliseconds{0} || ratios == ratios_.end() ||
        ratios->second.count() < config::min_image_run_times)
    {
        return std::nullopt;
    }
    // Stragglers among the samples lie above this quantile.
    constexpr permille most{900};
    return duration{estimate} * ratios->second.quantile(most).value() / 1000;
}

auto straggler_watch::stragglers(time_point now) const -> std::vector<straggler>
{
    std::vector<straggler> out;
    for (auto const& [task, step] : steps_)
    {
        if (now - step.runs.begin()->first <= config::min_straggler_time)
        {
            continue;
        }
        auto const usual = usual_time(task, step.image, step.estimate);
        auto const compared = usual.value_or(duration{step.estimate});
        auto const limit = std::max<duration>(compared * config::copy_factor,
                                              config::min_straggler_time);
        for (auto const& [since, run] : step.runs)
        {
            auto const lasted = now - since;
            if (lasted <= limit)
            {
                break;
            }
            auto const worth = !usual ? copy_worth::no_evidence
                               : expected_rest(lasted, *usual) > *usual
                                   ? copy_worth::likely
                                   : copy_worth::ends_soon;
            out.push_back({run, share_of(lasted, compared), worth});
            if (!usual)
            {
                break;
            }
        }
    }
    // Runs decide between equal shares: the order of the map is not defined.
    std::ranges::sort(out,
                      [](straggler const& a, straggler const& b) {
                          return a.excess > b.excess ||
                                 (a.excess == b.excess && a.run < b.run);
                      });
    return out;
}

auto straggler_watch::prune(time_point now) -> void
{
    std::erase_if(run_times_,
                  [&](auto const& each)
                  {
                      return !steps_.contains(each.first) &&
                             now - each.second.last >=
                                 config::worker_removal_delay;
                  });
}

} // namespace apricotlb
