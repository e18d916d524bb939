#include "core/fleet/admission_forecast.hpp"

#include "core/fleet/urgency.hpp"

#include <functional>
#include <limits>
#include <numeric>
#include <string>

namespace apricotlb
{

namespace
{

/// Largest declared work of one task, in core milliseconds: 46 days of a core.
/// The work of all tasks of config::max_live_workflows then fits into 64 bits.
constexpr std::int64_t max_task_work = 4'000'000'000;

constexpr std::array all_kinds{room_kind::reserved, room_kind::idle};

auto index_of(room_kind it) -> std::size_t
{
    return static_cast<std::size_t>(it);
}

/// Until when the completion of a workflow has some value, as for
/// worth_left::none.
auto end_of_worth(time_point since, duration allowed, duration path)
    -> time_point
{
    return latest_in_time(since, allowed * config::max_lateness_factor, path);
}

/// Declared work of the tasks that use one kind of room.
auto own_work(workflow_spec const& spec, room_kind kind) -> core_time
{
    core_time out;
    for (auto const& step : spec.steps)
    {
        if (room_kind_of(step) == kind)
        {
            out += declared_work(step, step.tasks);
        }
    }
    return out;
}

auto scaled(duration d, permille by) -> duration
{
    return d * by.value() / 1000;
}

} // namespace

auto name_of(room_kind it) -> std::string_view
{
    return it == room_kind::reserved ? "reserved" : "idle";
}

auto name_of(admission_reason it) -> std::string_view
{
    constexpr std::array<std::string_view, 10> names{
        "no_limit",        "room_free", "in_time", "new_leader",
        "own_times",       "room_left", "late",    "finite_waits",
        "permanent_waits", "crest_room"};
    return names.at(static_cast<std::size_t>(it));
}

auto refusal_of(admission_decision const& it) -> error
{
    auto const millis = [](duration d) {
        return std::to_string(std::chrono::ceil<milliseconds>(d).count()) +
               " ms";
    };
    switch (it.reason)
    {
    case admission_reason::late:
        return {error_kind::deadline_unmeetable,
                "the workflow would wait for " + millis(it.wait) +
                    " and run for " + millis(it.run) +
                    ", and its contract allows " + millis(it.allowed),
                it.retry_after};
    case admission_reason::finite_waits:
        return {error_kind::queue_full,
                "tasks that end by themselves wait for processors of the pool",
                it.retry_after};
    case admission_reason::permanent_waits:
        return {error_kind::queue_full,
                "other permanent tasks wait for processors of the pool",
                it.retry_after};
    case admission_reason::crest_room:
        return {error_kind::queue_full,
                "the free processors of the pool were too few in the last "
                "crest",
                it.retry_after};
    default:
        break;
    }
    return {error_kind::internal, "the workflow was not refused"};
}

auto declared_work(step_spec const& step, task_count tasks) -> core_time
{
    if (step.permanent)
    {
        return core_time{};
    }
    // Both factors are at most 1e9 (config::max_declared_time and
    // config::max_reported_cores).
    auto const each =
        (step.estimate.count() * step.each.cores.value() + 999) / 1000;
    return core_time{std::min(each, max_task_work) * tasks.value()};
}

auto admission_forecast::has_permanent_step(workflow_spec const& spec) -> bool
{
    return std::ranges::any_of(spec.steps, &step_spec::permanent);
}

auto admission_forecast::find_room(pool_name const& pool, room_kind kind) const
    -> room const*
{
    auto const found = rooms_.find({pool, kind});
    return found == rooms_.end() ? nullptr : &found->second;
}

auto admission_forecast::count_waiting(entry const& it, int sign) -> void
{
    if (!it.has_worth || !it.is_counted)
    {
        return;
    }
    for (std::size_t n = 0; n < room_kind_count; ++n)
    {
        auto& sum = it.rooms[n]->waiting[it.priority];
        sum += core_time{sign * it.waiting[n].value()};
    }
}

auto admission_forecast::set_worth_end(workflow_id const& id, entry& it,
                                       time_point end) -> void
{
    by_worth_end_.erase({it.worth_end, id});
    it.worth_end = end;
    by_worth_end_.emplace(end, id);
}

auto admission_forecast::stage_of(task_progress const& task) -> task_stage
{
    return task.finished         ? task_stage::done
           : task.active.empty() ? task_stage::waiting
                                 : task_stage::running;
}

auto admission_forecast::set_stage(entry& it, step_spec const& step,
                                   task_stage& stage, task_stage to) -> void
{
    auto const add = [&](task_stage in, int sign)
    {
        auto const n = index_of(room_kind_of(step));
        auto& place = *it.rooms[n];
        millicores const cores{sign * step.each.cores.value()};
        if (in == task_stage::waiting && step.permanent)
        {
            place.permanent_waiting += cores;
            it.permanent_waiting[n] += cores;
        }
        else if (in == task_stage::waiting)
        {
            core_time const work{sign *
                                 declared_work(step, task_count{1}).value()};
            it.waiting[n] += work;
            if (it.has_worth && it.is_counted)
            {
                place.waiting[it.priority] += work;
            }
        }
        else if (in == task_stage::running && !step.permanent)
        {
            place.running[it.priority] += cores;
            it.running[n] += cores;
        }
    };
    if (stage != to)
    {
        add(stage, -1);
        add(to, 1);
        stage = to;
    }
}

auto admission_forecast::add_entry(workflow_spec const& spec,
                                   queue_contract const& terms,
                                   time_point since) -> entry&
{
    auto& it = entries_[spec.id];
    for (auto const kind : all_kinds)
    {
        it.rooms[index_of(kind)] =
            &rooms_.try_emplace({terms.pool, kind}).first->second;
    }
    it.priority = terms.priority;
    it.is_counted = spec.repeats.times.value() == 0;
    it.since = since;
    auto const occurrences = std::max(spec.repeats.times.value(), 1U);
    it.stages.reserve(occurrences * spec.steps.size());
    for (std::uint32_t n = 0; n < occurrences; ++n)
    {
        for (auto const& step : spec.steps)
        {
            // They are added as done, so that set_stage() counts each task.
            auto& stages = it.stages.emplace_back(
                static_cast<std::size_t>(step.tasks.value()), task_stage::done);
            for (auto& stage : stages)
            {
                set_stage(it, step, stage, task_stage::waiting);
            }
        }
    }
    duration const path = longest_path(spec, [&spec](std::size_t n)
                                       { return spec.steps[n].estimate; });
    if (it.is_counted)
    {
        set_worth_end(spec.id, it,
                      end_of_worth(since, allowed_time(spec, terms), path));
    }
    return it;
}

auto admission_forecast::on_proposed(workflow_spec const& spec,
                                     queue_contract const& terms,
                                     admission_decision const& decided,
                                     time_point now) -> void
{
    if (spec.repeats.times.value() > 0 || entries_.contains(spec.id))
    {
        return;
    }
    auto& it = add_entry(spec, terms, now);
    if (!has_permanent_step(spec) &&
        decided.reason == admission_reason::in_time)
    {
        it.forecast_end = now + decided.wait + decided.run;
    }
}

auto admission_forecast::read_stages(entry& it, workflow_record const& record)
    -> void
{
    auto const steps = record.spec.steps.size();
    for (std::size_t k = 0; k < record.occurrences.size(); ++k)
    {
        for (std::size_t n = 0; n < steps; ++n)
        {
            auto const& tasks = record.occurrences[k].steps[n].tasks;
            for (std::size_t i = 0; i < tasks.size(); ++i)
            {
                set_stage(it, record.spec.steps[n], it.stages[k * steps + n][i],
                          stage_of(tasks[i]));
            }
        }
    }
}

auto admission_forecast::on_accepted(workflow_record const& record,
                                     queue_contract const& terms,
                                     time_point since) -> void
{
    if (!record.is_open() || entries_.contains(record.spec.id))
    {
        return;
    }
    read_stages(add_entry(record.spec, terms, since), record);
}

auto admission_forecast::on_task_changed(workflow_record const& record,
                                         workflow_task const& task,
                                         time_point now) -> void
{
    auto const found = entries_.find(task.workflow);
    if (found == entries_.end())
    {
        return;
    }
    auto& it = found->second;
    auto const& step = record.step(task);
    auto const& tasks = record.occurrences[task.occurrence.value()]
                            .steps[task.step.value()]
                            .tasks;
    auto& stages =
        it.stages[task.occurrence.value() * record.spec.steps.size() +
                  task.step.value()];
    auto& place = *it.rooms[index_of(room_kind_of(step))];
    auto const work = declared_work(step, task_count{1});
    auto const update = [&](std::size_t n)
    {
        auto const from = stages[n];
        auto const to = stage_of(tasks[n]);
        set_stage(it, step, stages[n], to);
        if (from == task_stage::waiting && to != task_stage::waiting)
        {
            count_started(place, it.priority, work, now);
        }
        else if (from != task_stage::waiting && to == task_stage::waiting)
        {
            // Work that has to be done again was not taken off the queue.
            count_started(place, it.priority, core_time{-work.value()}, now);
        }
    };
    if (!step.gang)
    {
        update(task.index.value());
        return;
    }
    // The end of one member may end all.
    for (std::size_t n = 0; n < tasks.size(); ++n)
    {
        update(n);
    }
}

auto admission_forecast::on_run_time(step_spec const& step, duration ran)
    -> void
{
    if (step.permanent || step.estimate <= milliseconds{0})
    {
        return;
    }
    constexpr std::int64_t one = 1000;
    auto const seen = std::clamp<std::int64_t>(
        ran * one / step.estimate, config::min_run_time_ratio.value(),
        config::max_run_time_ratio.value());
    auto& ratio = ratios_[index_of(room_kind_of(step))];
    ratio += (seen * one - ratio) * config::run_time_ratio_weight.value() / one;
}

auto admission_forecast::run_time_ratio(room_kind kind) const -> permille
{
    return permille{static_cast<std::int32_t>(ratios_[index_of(kind)] / 1000)};
}

auto admission_forecast::on_ended(workflow_id const& id, time_point now)
    -> std::optional<duration>
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    auto& it = found->second;
    std::optional<duration> error;
    if (it.forecast_end)
    {
        error = now - *it.forecast_end;
    }
    count_waiting(it, -1);
    for (std::size_t n = 0; n < room_kind_count; ++n)
    {
        it.rooms[n]->running[it.priority] -= it.running[n];
        it.rooms[n]->permanent_waiting -= it.permanent_waiting[n];
    }
    by_worth_end_.erase({it.worth_end, id});
    entries_.erase(found);
    return error;
}

auto admission_forecast::advance(workflow_table const& table, time_point now)
    -> void
{
    while (!by_worth_end_.empty() && by_worth_end_.begin()->first < now)
    {
        auto const id = by_worth_end_.begin()->second;
        auto& it = entries_.at(id);
        auto const* const record = table.find(id);
        auto const end =
            record == nullptr
                ? it.worth_end
                : end_of_worth(it.since,
                               allowed_time(record->spec, record->terms),
                               remaining_critical_path(*record, {}));
        if (end >= now)
        {
            set_worth_end(id, it, end);
            continue;
        }
        count_waiting(it, -1);
        it.has_worth = false;
        by_worth_end_.erase(by_worth_end_.begin());
    }
}

auto admission_forecast::wait_in(room& it, room_kind kind,
                                 queue_priority priority, core_time own,
                                 time_point now) -> duration
{
    auto waiting = static_cast<double>(own.value());
    for (auto const& [each, work] : it.waiting)
    {
        waiting += each <= priority ? static_cast<double>(work.value()) : 0;
    }
    if (waiting <= 0)
    {
        return {};
    }
    auto const covered = static_cast<double>(
        std::max(std::min(config::forecast_window - start_bucket +
                              now.time_since_epoch() % start_bucket,
                          now - leading_since_),
                 duration{1})
            .count());
    // Work that is more urgent takes its share of the starts at later times as
    // well.
    double started{0};
    double started_from_here{0};
    for (auto& [each, amounts] : it.started)
    {
        auto const& last = amounts.amounts(now);
        auto const sum = static_cast<double>(
            std::accumulate(last.begin(), last.end(), core_time{}).value());
        started += sum;
        started_from_here += each >= priority ? sum : 0;
    }
    double running{0};
    double running_from_here{0};
    for (auto const& [each, cores] : it.running)
    {
        auto const amount = static_cast<double>(cores.value());
        running += amount;
        running_from_here += each >= priority ? amount : 0;
    }
    // Core milliseconds in a microsecond. Starts are few while the tasks that
    // run take longer than the window, and right after a time with little to
    // start.
    constexpr double millicore = 1e-6;
    auto const per_run = millicore * 1000 / run_time_ratio(kind).value();
    auto const rate = std::max(started / covered, running * per_run);
    auto const from_here =
        std::max(started_from_here / covered, running_from_here * per_run);
    // A burst of more urgent work passes.
    auto const least = rate * config::least_start_share.value() / 1000;
    auto const used = std::max(from_here, least);
    auto const longest =
        static_cast<double>(duration{config::max_expected_wait}.count());
    auto const wait = used > 0 ? std::min(waiting / used, longest) : longest;
    return duration{static_cast<duration::rep>(wait)};
}

auto admission_forecast::count_started(room& it, queue_priority priority,
                                       core_time work, time_point now) -> void
{
    it.started.try_emplace(priority, start_bucket).first->second.current(now) +=
        work;
}

auto admission_forecast::running_cores(room const& it) -> millicores
{
    millicores out;
    for (auto const& [priority, cores] : it.running)
    {
        out += cores;
    }
    return out;
}

auto admission_forecast::wait_for(pool_name const& pool, room_kind kind,
                                  queue_priority priority, time_point now)
    -> duration
{
    auto const found = rooms_.find({pool, kind});
    return found == rooms_.end()
               ? duration{}
               : wait_in(found->second, kind, priority, {}, now);
}

auto admission_forecast::is_short(pool_name const& pool, room_kind kind,
                                  time_point now) const -> bool
{
    auto const* const it = find_room(pool, kind);
    return it != nullptr && it->finite_short_since &&
           now - *it->finite_short_since >= config::admission_min_wait;
}

auto admission_forecast::finite_work_waits(pool_name const& pool,
                                           time_point now) const -> bool
{
    return is_short(pool, room_kind::reserved, now);
}

auto admission_forecast::permanent_work_waits(workflow_spec const& spec,
                                              pool_name const& pool,
                                              time_point now) const -> bool
{
    return std::ranges::any_of(spec.steps,
                               [&](step_spec const& step)
                               {
                                   auto const* const it =
                                       find_room(pool, room_kind_of(step));
                                   return step.permanent && it != nullptr &&
                                          it->permanent_short_since &&
                                          now - *it->permanent_short_since >=
                                              config::admission_min_wait;
                               });
}

auto admission_forecast::has_crest(pool_name const& pool, time_point now) const
    -> bool
{
    auto const* const it = find_room(pool, room_kind::reserved);
    return it != nullptr && it->last_shortage &&
           now - *it->last_shortage < config::crest_memory;
}

auto admission_forecast::leaves_crest_room(workflow_spec const& spec,
                                           pool_name const& pool,
                                           millicores free, time_point now)
    -> bool
{
    auto const found = rooms_.find({pool, room_kind::reserved});
    if (found == rooms_.end())
    {
        return true;
    }
    auto& it = found->second;
    auto left = free + running_cores(it) - it.permanent_waiting;
    for (auto const& step : spec.steps)
    {
        if (step.permanent && !step.scavenges)
        {
            left -= millicores{step.each.cores.value() * step.tasks.value()};
        }
    }
    return left >= std::ranges::max(it.needed.amounts(now));
}

auto admission_forecast::admit_finite(workflow_spec const& spec,
                                      queue_contract const& terms,
                                      time_point now) -> admission_decision
{
    static_assert(config::max_forecast_run_share <
                  config::admission_hysteresis);
    admission_decision out;
    out.allowed = allowed_time(spec, terms);
    auto const seen_time = [&](std::size_t n)
    {
        auto const& step = spec.steps[n];
        return step.estimate * run_time_ratio(room_kind_of(step)).value() /
               1000;
    };
    duration run = longest_path(spec, seen_time);
    // The last step waits for no other one to end.
    auto const last = seen_time(spec.steps.size() - 1);
    auto was_refusing = false;
    auto waits = false;
    std::array<room*, room_kind_count> used{};
    for (auto const& step : spec.steps)
    {
        auto const kind = room_kind_of(step);
        auto const found = rooms_.find({terms.pool, kind});
        if (found == rooms_.end() || used[index_of(kind)] != nullptr)
        {
            continue;
        }
        auto& it = found->second;
        used[index_of(kind)] = &it;
        was_refusing = was_refusing || it.refusing.contains(terms.priority);
        if (is_short(terms.pool, kind, now))
        {
            waits = true;
            auto const wait = wait_in(it, kind, terms.priority, {}, now);
            auto const placed =
                wait_in(it, kind, terms.priority, own_work(spec, kind), now);
            out.wait = std::max(out.wait, wait);
            run = std::max(run, placed - wait + last);
        }
    }
    out.run =
        std::min(run, scaled(out.allowed, config::max_forecast_run_share));
    auto const bound = was_refusing
                           ? scaled(out.allowed, config::admission_hysteresis)
                           : out.allowed;
    // A contract that allows no time sets no bound.
    auto const is_late =
        waits && out.allowed > duration{} && out.wait + out.run > bound;
    out.reason = is_late ? admission_reason::late
                 : waits ? admission_reason::in_time
                         : admission_reason::room_free;
    for (auto* const it : used)
    {
        if (it != nullptr && is_late)
        {
            it->refusing.insert(terms.priority);
        }
        else if (it != nullptr)
        {
            it->refusing.erase(terms.priority);
        }
    }
    return out;
}

auto admission_forecast::retry_delay(workflow_id const& id,
                                     queue_contract const& terms,
                                     admission_decision const& refused,
                                     time_point now) -> seconds
{
    duration delay{};
    if (refused.reason == admission_reason::late)
    {
        delay = refused.wait + refused.run -
                scaled(refused.allowed, config::admission_hysteresis);
    }
    else if (refused.reason == admission_reason::crest_room)
    {
        auto const* const it = find_room(terms.pool, room_kind::reserved);
        delay = *it->last_shortage + config::crest_memory - now;
    }
    else
    {
        constexpr queue_priority last{
            std::numeric_limits<queue_priority::rep>::max()};
        delay = wait_for(terms.pool, room_kind::reserved, last, now);
    }
    auto const least =
        std::clamp(std::chrono::ceil<seconds>(delay),
                   config::min_admission_retry, config::max_admission_retry);
    // Callers that were refused together come back at different times.
    auto const spread = static_cast<std::size_t>(least.count() / 2 + 2);
    return least + seconds{static_cast<seconds::rep>(
                       std::hash<workflow_id>{}(id) % spread)};
}

auto admission_forecast::on_terms_changed(workflow_record const& record,
                                          queue_contract const& terms,
                                          time_point now) -> void
{
    auto const found = entries_.find(record.spec.id);
    if (found == entries_.end())
    {
        return;
    }
    auto const& it = found->second;
    auto const* const place = find_room(terms.pool, room_kind::reserved);
    if (it.priority == terms.priority && it.rooms[0] == place)
    {
        return;
    }
    auto const since = it.since;
    auto const forecast_end = it.forecast_end;
    on_ended(record.spec.id, now);
    on_accepted(record, terms, since);
    if (auto const again = entries_.find(record.spec.id);
        again != entries_.end())
    {
        again->second.forecast_end = forecast_end;
    }
}

auto admission_forecast::on_cut_pass(
    std::map<pool_room, room_shortage> const& short_of, time_point now) -> void
{
    for (auto const& [name, found] : short_of)
    {
        auto& it = rooms_[name];
        if (found.finite && !it.finite_short_since)
        {
            it.finite_short_since = now;
        }
        if (found.new_permanent && !it.permanent_short_since)
        {
            it.permanent_short_since = now;
        }
        if (is_short(name.first, name.second, now))
        {
            it.last_shortage = now;
        }
    }
}

auto admission_forecast::on_pass(
    std::map<pool_room, room_shortage> const& short_of,
    std::map<pool_name, millicores> const& ready, time_point now) -> void
{
    for (auto& [name, it] : rooms_)
    {
        auto const found = short_of.find(name);
        auto const shortage =
            found == short_of.end() ? room_shortage{} : found->second;
        if (!shortage.finite)
        {
            it.finite_short_since.reset();
        }
        if (!shortage.new_permanent)
        {
            it.permanent_short_since.reset();
        }
        if (name.second == room_kind::reserved)
        {
            auto const waiting = ready.find(name.first);
            auto& needed = it.needed.current(now);
            needed =
                std::max(needed, running_cores(it) + (waiting == ready.end()
                                                          ? millicores{}
                                                          : waiting->second));
        }
    }
    on_cut_pass(short_of, now);
}

auto admission_forecast::expected_waits(time_point now)
    -> std::vector<expected_wait>
{
    std::vector<expected_wait> out;
    for (auto& [name, it] : rooms_)
    {
        for (auto const& [priority, work] : it.waiting)
        {
            if (work > core_time{})
            {
                out.push_back({name.first, name.second, priority,
                               wait_in(it, name.second, priority, {}, now),
                               it.refusing.contains(priority)});
            }
        }
    }
    return out;
}

} // namespace apricotlb
