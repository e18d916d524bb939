#include "soak/ledger.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace apricotlb::soak
{

auto name_of(promise it) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>(
        {"unasked", "twice", "order", "refused", "drain", "lost", "cut",
         "shown", "config_order", "config_refused", "config_invalid",
         "config_missing", "unacknowledged", "unserved", "process"});
    return names.at(static_cast<std::size_t>(it));
}

auto task_name::parse(std::string const& text) -> std::optional<task_name>
{
    task_name out;
    int* const numbers[]{&out.index, &out.step, &out.occurrence};
    auto end = text.size();
    for (auto* const n : numbers)
    {
        auto const dot = text.rfind('.', end - 1);
        if (dot == std::string::npos || dot == 0)
        {
            return std::nullopt;
        }
        std::from_chars(text.data() + dot + 1, text.data() + end, *n);
        end = dot;
    }
    out.workflow = text.substr(0, end);
    return out;
}

auto text_of(run_key const& it) -> std::string
{
    return it.task + " run " + std::to_string(it.number) + " on " + it.worker +
           " life " + std::to_string(it.life);
}

auto ledger::report(promise broken, std::string text, time_point now) -> void
{
    // One fault may be seen by each read that follows.
    if (!reported_.insert(text).second)
    {
        return;
    }
    if (on_line)
    {
        on_line("BROKEN " + std::string{name_of(broken)} + ": " + text);
    }
    findings_.push_back({broken, now, std::move(text)});
}

auto ledger::note(std::string text) -> void
{
    if (on_line)
    {
        on_line("then " + text);
    }
    notes_.push_back(std::move(text));
}

/// All control and entry processes have been left alone since then.
auto ledger::is_calm(time_point since) const -> bool
{
    return is_core_calm(since) && disturbed_.are_undisturbed('e', since);
}

auto ledger::is_core_calm(time_point since) const -> bool
{
    return disturbed_.are_undisturbed('c', since) &&
           disturbed_.are_disks_good(since);
}

auto ledger::is_steady(time_point since) const -> bool
{
    return is_core_calm(since - limits_.contact) &&
           disturbed_.are_calm('l', since);
}

auto ledger::was_in_touch(order_origin const& from, time_point now) const
    -> bool
{
    auto const is_sound = [&](std::string const& sender)
    { return sender.starts_with('e') && is_undisturbed(sender, now); };
    return is_calm(now - limits_.contact) || is_sound(name_of_peer(from.relay));
}

auto ledger::on_submission(workflow_plan const& plan) -> void
{
    auto& it = workflows_[plan.id];
    it.plan = plan;
    ++it.attempts;
}

auto ledger::on_submission_answer(std::string const& id, submission_answer got,
                                  time_point now) -> void
{
    auto& it = workflows_.at(id);
    if (got == submission_answer::refused)
    {
        ++it.refused;
    }
    else if (got == submission_answer::accepted && !it.accepted_at)
    {
        it.accepted_at = now;
        ++accepted_count_;
    }
}

auto ledger::on_cancel_sent(std::string const& id, time_point now) -> void
{
    auto& it = workflows_.at(id);
    it.cancel_sent = it.cancel_sent.value_or(now);
}

auto ledger::on_cancel_answer(std::string const& id, time_point now,
                              bool is_known) -> void
{
    auto& it = workflows_.at(id);
    it.cancel_answered = it.cancel_answered.value_or(now);
    if (is_known && !std::exchange(it.cancel_acknowledged, true))
    {
        it.cancelled_at = it.cancelled_at.value_or(now);
        ++cancels_;
    }
}

auto ledger::is_step_done(workflow const& it, int occurrence, int step) const
    -> bool
{
    for (auto n = 0; n < it.plan.steps[static_cast<std::size_t>(step)].tasks;
         ++n)
    {
        auto const found =
            it.tasks.find(it.plan.id + "." + std::to_string(occurrence) + "." +
                          std::to_string(step) + "." + std::to_string(n));
        if (found == it.tasks.end() || !found->second.done)
        {
            return false;
        }
    }
    return true;
}

auto ledger::on_start(run_key const& key, std::string const& spec,
                      std::string const& checkpoint, bool is_late,
                      time_point now, std::optional<time_point> held_since,
                      order_origin const& origin) -> void
{
    ++starts_;
    auto const where = text_of(key);
    auto const broken = [&](promise it, std::string const& what)
    { report(it, where + ": " + what, now); };
    auto const name = task_name::parse(key.task);
    auto* const owner = owner_of(key.task);
    if (owner == nullptr)
    {
        broken(promise::unasked, "no caller sent this workflow");
        return;
    }
    auto& it = *owner;
    auto const step = static_cast<std::size_t>(name->step);
    if (spec != it.plan.spec || step >= it.plan.steps.size() ||
        name->index >= it.plan.steps[step].tasks || name->occurrence != 0)
    {
        broken(promise::unasked, "the order differs from what was sent");
        return;
    }
    auto& all = it.tasks[key.task];
    if (!checkpoint.empty() && !all.checkpoints.contains(checkpoint))
    {
        broken(promise::unasked,
               "checkpoint " + checkpoint + " is not the task's");
    }
    // The bound holds for the order, not for a worker that was late with it.
    if (it.cancelled_at &&
        held_since.value_or(now) > *it.cancelled_at + limits_.cancel &&
        was_in_touch(origin, now))
    {
        broken(promise::unasked, "starts after its cancel");
    }
    // A copy may already be on its way when the first end is recorded.
    constexpr auto copies_end = std::chrono::seconds{1};
    auto const has_copies = it.plan.steps[step].allow_duplicates;
    for (auto const& other : all.runs)
    {
        if (other.at_work && !has_copies)
        {
            broken(promise::twice, "starts beside run " +
                                       std::to_string(other.key.number) +
                                       " on " + other.key.worker);
        }
        else if (other.how == "done" && other.recorded &&
                 (!has_copies ||
                  (now > other.recorded_at + copies_end && !held_since &&
                   is_calm(now - limits_.contact))))
        {
            broken(promise::twice,
                   "starts after its recorded end on " + other.key.worker);
        }
    }
    for (auto const before : it.plan.steps[step].prerequisites)
    {
        if (!is_step_done(it, name->occurrence, before))
        {
            broken(promise::order,
                   "step " + std::to_string(before) + " is not done");
        }
    }
    auto const draining =
        draining_.find(key.worker + "/" + std::to_string(key.life));
    if (draining != draining_.end() && !is_late &&
        now > draining->second + limits_.drain &&
        is_calm(now - limits_.contact))
    {
        broken(promise::drain, "the worker is leaving");
    }
    auto& added = all.runs.emplace_back(key);
    added.late_start = held_since ? std::optional{now} : std::nullopt;
    added.started = now;
    added.origin = origin;
    ++all.at_work;
    ++it.at_work;
    for (auto& [other, each] : it.tasks)
    {
        auto const moves = other == key.task || !it.plan.steps[step].permanent;
        auto const stood = moves ? std::exchange(each.standing, {}) : stand{};
        if (auto const time = recovery_of(other, stood, now);
            time && !is_over(it))
        {
            recoveries_.push_back(*time);
        }
        if (stood.reported)
        {
            auto line = where;
            line.append(": starts at ").append(time_of(now));
            note(line.append(" after ").append(other).append(" stood still"));
        }
    }
}

auto ledger::on_checkpoint(std::string const& of, std::string const& it) -> void
{
    if (auto* const owner = owner_of(of))
    {
        owner->tasks[of].checkpoints.insert(it);
    }
}

auto ledger::owner_of(std::string const& of) -> workflow*
{
    auto const name = task_name::parse(of);
    auto const found =
        name ? workflows_.find(name->workflow) : workflows_.end();
    return found == workflows_.end() ? nullptr : &found->second;
}

auto ledger::on_end(run_key const& key, std::string const& how, time_point now)
    -> void
{
    auto* const owner = owner_of(key.task);
    if (owner == nullptr)
    {
        return;
    }
    owner->last_run_end = now;
    auto& all = owner->tasks[key.task];
    all.last_end = now;
    all.is_lost = how == "crashed" || how == "left" || how == "lapsed";
    owner->is_lost = all.is_lost;
    for (auto& it : all.runs)
    {
        if (it.key == key && it.at_work)
        {
            it.at_work = false;
            it.how = how;
            --all.at_work;
            --owner->at_work;
            if (it.reported)
            {
                note(text_of(key) + ": ended at " + time_of(now) + " as " +
                     how);
            }
        }
    }
    all.failures += how == "failed" ? 1 : 0;
    all.done = all.done || how == "done";
}

auto ledger::on_end_recorded(run_key const& key, time_point now) -> void
{
    auto* const owner = owner_of(key.task);
    if (owner == nullptr)
    {
        return;
    }
    for (auto& it : owner->tasks[key.task].runs)
    {
        if (it.key == key && !std::exchange(it.recorded, true))
        {
            it.recorded_at = now;
        }
    }
}

auto ledger::on_drain_acknowledged(std::string const& worker, int life,
                                   time_point now) -> void
{
    draining_.try_emplace(worker + "/" + std::to_string(life), now);
}

auto ledger::check_cancelled(time_point now) -> void
{
    // Ends are listed up to a tenth of a second after they happen.
    constexpr auto listing_time = std::chrono::milliseconds{100};
    auto const stretch = limits_.cancel + limits_.stop + listing_time;
    auto const all_calm = is_calm(now - stretch);
    auto const is_steady_by_now = is_steady(now - limits_.acknowledge);
    for (auto& [id, it] : workflows_)
    {
        // Tasks have to go from here on, whether an answer follows or not.
        if (it.cancel_sent && !it.cancel_answered && !it.cancelled_at &&
            now > *it.cancel_sent + limits_.acknowledge && is_steady_by_now)
        {
            report(promise::unacknowledged,
                   "the cancel of " + id + ", sent at " +
                       time_of(*it.cancel_sent),
                   now);
            it.cancelled_at = now;
        }
        // A disturbance puts the check off; it is never left out.
        if (!it.cancelled_at || !all_calm)
        {
            continue;
        }
        for (auto& [name, all] : it.tasks)
        {
            for (auto& each : all.runs)
            {
                auto const from = std::max(
                    *it.cancelled_at + limits_.cancel,
                    each.late_start.value_or(time_point{}) + limits_.contact);
                auto const due = from + limits_.stop + listing_time;
                if (each.at_work && now >= due &&
                    disturbed_.is_calm(each.key.worker,
                                       std::max(due, now - stretch)))
                {
                    each.reported = true;
                    report(promise::unasked,
                           text_of(each.key) +
                               ": is at work after its cancel (order from " +
                               name_of_peer(each.origin.relay) + " at " +
                               (each.origin.sent_at
                                    ? time_of(*each.origin.sent_at)
                                    : "?") +
                               ", start at " + time_of(each.started) +
                               ", cancel counts from " +
                               time_of(*it.cancelled_at) + ")",
                           now);
                }
            }
        }
    }
}

auto ledger::on_state(std::string const& id, std::string const& state,
                      std::string const& node, time_point sent_at,
                      time_point now) -> void
{
    auto& it = workflows_.at(id);
    it.shown = state;
    auto const seen = id + " shown as " + state + " by " + node;
    auto const in_touch = is_undisturbed(node, sent_at);
    if (state == "unknown")
    {
        if (it.accepted_at && !it.cancel_sent && in_touch &&
            sent_at > *it.accepted_at + limits_.visible)
        {
            report(promise::lost, seen + ": it was accepted", now);
        }
        return;
    }
    if (state == "completed")
    {
        for (std::size_t n = 0; n < it.plan.steps.size(); ++n)
        {
            if (!is_step_done(it, 0, static_cast<int>(n)))
            {
                report(promise::shown,
                       seen + ": step " + std::to_string(n) + " is not done",
                       now);
            }
        }
    }
    else if (state == "cancelled" && !it.cancel_sent)
    {
        report(promise::lost, seen + ": nobody cancelled it", now);
    }
    else if (state == "failed")
    {
        auto const has_failed =
            std::ranges::any_of(it.tasks, [](auto const& each)
                                { return each.second.failures > 0; });
        if (!has_failed)
        {
            report(promise::lost, seen + ": none of its tasks has failed", now);
        }
    }
}

auto ledger::on_cut(std::string const& node, std::string const& what,
                    time_point sent_at, time_point now) -> void
{
    constexpr auto end_margin = std::chrono::seconds{1};
    auto const calm_from = sent_at - limits_.contact;
    if (!disturbed_.is_calm(node, calm_from) ||
        !disturbed_.are_calm('c', calm_from) ||
        !disturbed_.are_disks_good(calm_from) ||
        now - sent_at <= limits_.loss_slack)
    {
        return;
    }
    auto const planned =
        disturbed_.was_planned(node, sent_at - limits_.grace - end_margin, now);
    auto const waited =
        std::chrono::duration_cast<milliseconds>(now - sent_at).count();
    report(promise::cut,
           what + " at " + node + " ended without an answer after " +
               std::to_string(waited) +
               (planned ? " ms, at the end of the process"
                        : " ms, without a disturbance"),
           now);
}

auto ledger::on_call(std::string const& node, std::string const& method,
                     call_service how, time_point sent_at, time_point now)
    -> void
{
    auto& it = silences_[node + " " + method];
    auto const is_due = [&](time_point since)
    {
        return is_steady(since) &&
               disturbed_.is_undisturbed(node, since - limits_.contact);
    };
    auto const text = [&]
    {
        return node + " serves no " + method + " from " + time_of(it.from) +
               " to " + time_of(it.to) + ", " + std::to_string(it.refused) +
               " refused, " + std::to_string(it.unanswered) + " unanswered";
    };
    auto const is_served = how == call_service::served;
    if (is_served || sent_at > it.to + limits_.call_gap || !is_due(it.from))
    {
        if (it.reported)
        {
            note(text());
        }
        auto const served_at = is_served ? now : it.served_at;
        it = {.from = std::max(sent_at, served_at), .served_at = served_at};
    }
    if (is_served || !is_due(it.from))
    {
        return;
    }
    it.to = now;
    ++(how == call_service::refused ? it.refused : it.unanswered);
    if (now - it.from > limits_.acknowledge &&
        !std::exchange(it.reported, true))
    {
        report(promise::unserved, text(), now);
    }
}

auto ledger::is_undisturbed(std::string const& node, time_point sent_at) const
    -> bool
{
    auto const since = sent_at - limits_.contact;
    return disturbed_.is_undisturbed(node, since) && is_core_calm(since);
}

auto ledger::on_process_end(std::string const& node, std::string const& how,
                            time_point now) -> void
{
    report(promise::process, node + " ended by itself with " + how, now);
}

auto ledger::accepted() const -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (auto const& [id, it] : workflows_)
    {
        if (it.accepted_at && !it.cancel_sent)
        {
            out.push_back(id);
        }
    }
    return out;
}

auto ledger::plan_of(std::string const& id) const -> workflow_plan const*
{
    auto const it = workflows_.find(id);
    return it == workflows_.end() ? nullptr : &it->second.plan;
}

auto ledger::is_permanent(std::string const& id) const -> bool
{
    return std::ranges::any_of(workflows_.at(id).plan.steps,
                               &step_plan::permanent);
}

auto ledger::is_idle_since(std::string const& id, time_point since) const
    -> bool
{
    auto const& it = workflows_.at(id);
    return it.last_run_end < since && it.at_work == 0;
}

auto ledger::is_shown_as_ended(std::string const& id) const -> bool
{
    auto const& it = workflows_.at(id).shown;
    return it == "completed" || it == "failed" || it == "cancelled";
}

auto ledger::describe(std::string const& id) const -> std::string
{
    auto const& it = workflows_.at(id);
    auto out = id + " in " + it.plan.queue_path + ", shown as " +
               (it.shown.empty() ? "nothing" : it.shown);
    for (auto const& [name, all] : it.tasks)
    {
        if (!all.done)
        {
            out += ", " + name.substr(id.size() + 1) + ":";
            for (auto const& each : all.runs)
            {
                out += " " + (each.at_work ? "at work" : each.how) +
                       (each.recorded ? " recorded" : "");
            }
        }
    }
    return out;
}

auto ledger::check_refused(time_point now) -> void
{
    for (auto const& [id, it] : workflows_)
    {
        if (!it.tasks.empty() && it.attempts == it.refused)
        {
            report(promise::refused,
                   id + " has run although all its submissions were refused",
                   now);
        }
    }
}

} // namespace apricotlb::soak
