#include "core/fleet/run_scheduler.hpp"

#include "core/fleet/pace_control.hpp"

#include <algorithm>
#include <utility>

namespace apricotlb
{

auto run_scheduler::on_announcement(worker_announcement const& it,
                                    time_point now) -> void
{
    if (it.phase == worker_phase::left)
    {
        // Says nothing of its life; a worker leaves once, before its next.
        if (auto const known = workers_.find(it.life.id);
            known != workers_.end())
        {
            take_life_end(*known);
            wants_plan_ = true;
        }
        return;
    }
    auto& at = *workers_.try_emplace(it.life.id).first;
    auto& entry = at.second;
    if (it.life.incarnation < entry.incarnation)
    {
        return;
    }
    auto const is_late = entry.info &&
                         it.life.incarnation == entry.incarnation &&
                         it.number <= entry.info->number;
    if (is_late || (entry.gone && it.life.incarnation == entry.incarnation))
    {
        return;
    }
    if (it.life.incarnation > entry.incarnation)
    {
        replace_life(at, it, now);
    }
    // A later life at an address shows that the one before has ended.
    auto const before = addresses_.find(it.address);
    if (before != addresses_.end() && before->second != it.life.id)
    {
        auto const other = workers_.find(before->second);
        if (other != workers_.end() &&
            other->second.incarnation > it.life.incarnation)
        {
            return;
        }
        if (other != workers_.end())
        {
            take_life_end(*other);
        }
    }
    addresses_[it.address] = it.life.id;
    entry.info = it;
    entry.heard = now;
    entry.lease.sample(it.clock, now);
    send_poll(at, now);
    wants_plan_ = true;
}

/// A worker was started again under its id. It runs nothing of before, but it
/// may run what it was sent before it announced itself; its lists show that. A
/// start without an answer may still arrive there and has to be stopped.
auto run_scheduler::replace_life(entry_ref& at, worker_announcement const& it,
                                 time_point now) -> void
{
    auto& entry = at.second;
    entry.incarnation = it.life.incarnation;
    entry.info.reset();
    entry.gone = false;
    entry.recorded = {};
    entry.acknowledged = {};
    entry.recording = false;
    entry.polling = false;
    entry.lease = {};
    entry.info = it;
    entry.lease.sample(it.clock, now);
    for (auto& [run, held] : entry.runs)
    {
        if (held.phase == run_phase::ending ||
            held.phase == run_phase::proposed)
        {
            continue;
        }
        held.awaiting = false;
        if (held.unanswered || held.phase == run_phase::ordered ||
            held.phase == run_phase::inherited)
        {
            held.closed_as = run_end::lost;
            send_stop(at, run, held, now);
        }
        else
        {
            held.phase = run_phase::closed;
            held.closed_as = run_end::lost;
            held.settled = {};
        }
    }
}

auto run_scheduler::take_life_end(entry_ref& at) -> void
{
    at.second.gone = true;
    lose_runs(at);
}

auto run_scheduler::note_clock(entry_ref& at,
                               std::optional<worker_clock> const& clock,
                               time_point now) -> void
{
    at.second.heard = now;
    if (clock)
    {
        at.second.lease.sample(*clock, now);
    }
}

auto run_scheduler::on_answer(start_order const& to, order_answer const& it,
                              time_point now) -> void
{
    auto const [at, held] = find(to.run);
    if (held == nullptr || at->second.incarnation != to.to.life.incarnation)
    {
        return;
    }
    held->awaiting = false;
    if (it.outcome != order_outcome::no_answer)
    {
        note_clock(*at, it.clock, now);
    }
    switch (it.outcome)
    {
    case order_outcome::done:
        if (held->phase == run_phase::ordered)
        {
            note_running(*at, to.run, *held, now);
            send_poll(*at, now);
        }
        break;
    case order_outcome::fenced:
        fenced_ = true;
        break;
    case order_outcome::superseded:
        // It ran and ended, or was stopped before it came.
        if (held->phase == run_phase::ordered)
        {
            held->phase = run_phase::closed;
            held->closed_as = run_end::stopped;
            held->settled = now;
        }
        break;
    case order_outcome::late:
        held->sent = now - config::order_retry_interval;
        break;
    case order_outcome::no_room:
        take_rejection(*at, to.run, *held, config::no_room_pause, now);
        break;
    case order_outcome::unhealthy:
    case order_outcome::malformed:
        take_rejection(*at, to.run, *held, config::unhealthy_pause, now);
        break;
    case order_outcome::other_life:
        take_life_end(*at);
        break;
    case order_outcome::no_answer:
        held->unanswered = true;
        held->sent = now;
        break;
    }
}

auto run_scheduler::take_rejection(entry_ref& at, task_run const& run,
                                   held_run& it, duration pause, time_point now)
    -> void
{
    at.second.paused_until = now + pause;
    if (it.phase != run_phase::ordered)
    {
        return;
    }
    if (it.unanswered)
    {
        // An earlier send of this start may yet be carried out.
        it.closed_as = run_end::not_started;
        send_stop(at, run, it, now);
        return;
    }
    propose_end(run, it, run_end::not_started);
}

auto run_scheduler::on_answer(stop_order const& to, order_answer const& it,
                              time_point now) -> void
{
    auto const [at, held] = find(to.run);
    if (held == nullptr || at->second.incarnation != to.to.life.incarnation)
    {
        return;
    }
    held->awaiting = false;
    held->sent = now;
    if (it.outcome != order_outcome::no_answer)
    {
        note_clock(*at, it.clock, now);
    }
    if (it.outcome == order_outcome::fenced)
    {
        fenced_ = true;
    }
    else if (it.outcome == order_outcome::other_life)
    {
        take_life_end(*at);
    }
    else if ((it.outcome == order_outcome::done ||
              it.outcome == order_outcome::superseded) &&
             held->phase == run_phase::stopping)
    {
        if (held->closed_as == run_end::not_started && !held->unanswered)
        {
            held->closed_as = run_end::stopped;
        }
        held->phase = run_phase::closed;
        held->settled = now;
        send_poll(*at, now);
    }
}

auto run_scheduler::on_answer(pace_order const& to, order_answer const& it,
                              time_point now) -> void
{
    auto const [at, held] = find(to.run);
    if (held == nullptr || at->second.incarnation != to.to.life.incarnation)
    {
        return;
    }
    held->awaiting = false;
    if (it.outcome == order_outcome::fenced)
    {
        fenced_ = true;
    }
    else if (it.outcome == order_outcome::done)
    {
        note_clock(*at, it.clock, now);
        held->pace = to.pace;
        held->paced = now;
        disturbance_.paced(at->first, to.run, to.pace, now);
    }
}

auto run_scheduler::on_answer(poll_order const& to, poll_answer const& it,
                              time_point now) -> void
{
    auto const found = workers_.find(to.to.life.id);
    if (found == workers_.end() ||
        found->second.incarnation != to.to.life.incarnation)
    {
        return;
    }
    auto& at = *found;
    auto& entry = at.second;
    entry.polling = false;
    entry.poll_at = now + config::poll_retry_delay;
    switch (it.outcome)
    {
    case order_outcome::done:
        if (it.lists.incarnation != entry.incarnation)
        {
            // Another life answered under the same id. Its announcement
            // follows and takes the entry over.
            return;
        }
        entry.poll_at =
            to.wait > milliseconds{0} ? now + config::min_poll_interval : now;
        note_clock(at, it.lists.clock, now);
        entry.acknowledged = std::max(entry.acknowledged, to.recorded);
        take_lists(at, it.lists, now);
        send_poll(at, now);
        break;
    case order_outcome::fenced:
        fenced_ = true;
        break;
    case order_outcome::other_life:
        take_life_end(at);
        break;
    default:
        break;
    }
}

auto run_scheduler::take_lists(entry_ref& at, worker_lists const& it,
                               time_point now) -> void
{
    auto const sent = at.second.poll_sent;
    std::set<task_run> listed;
    for (auto const& row : it.running)
    {
        listed.insert(row.run);
        take_running(at, row, now);
    }
    for (auto const& row : it.ended)
    {
        listed.insert(row.run.run);
    }
    take_ended(at, it.ended);
    if (it.ended.size() < config::max_listed_ends)
    {
        take_absent(at, listed, sent, now);
    }
    adjust_pace(at, now);
}

auto run_scheduler::take_running(entry_ref& at, running_row const& row,
                                 time_point now) -> void
{
    auto const it = at.second.runs.find(row.run);
    if (it == at.second.runs.end())
    {
        // Not on record here: an order of an earlier leader that came late.
        if (!fenced_)
        {
            actions_.emplace_back(stop_order{target(at), row.run});
        }
        return;
    }
    auto& held = it->second;
    held.measure(row.load, now);
    if (held.is_serving())
    {
        disturbance_.learn(at.first, held.image, milliseconds{row.load}, now);
    }
    if (!row.checkpoint.value().empty())
    {
        held.checkpoint = row.checkpoint;
    }
    auto const* const record = state_.workflows().find(row.run.task.workflow);
    auto const is_wanted = record != nullptr && record->is_open() &&
                           !record->find(row.run.task)->finished;
    auto const is_found =
        held.phase == run_phase::closed && held.closed_as == run_end::lost;
    if (held.phase == run_phase::inherited ||
        held.phase == run_phase::ordered || is_found)
    {
        note_running(at, row.run, held, now);
    }
    auto const runs_on =
        held.phase == run_phase::running || held.phase == run_phase::closed;
    if (!is_wanted && runs_on &&
        now - held.sent >= config::order_retry_interval)
    {
        send_stop(at, row.run, held, now);
    }
}

/// Runs that a list sent after they were settled does not show.
auto run_scheduler::take_absent(entry_ref& at, std::set<task_run> const& listed,
                                time_point sent, time_point now) -> void
{
    for (auto& [run, it] : at.second.runs)
    {
        if (listed.contains(run))
        {
            continue;
        }
        if (it.phase == run_phase::inherited)
        {
            // This leader's fence is in force there, so that no order of an
            // earlier one can start the run any more.
            send_start(at, run, it, now);
        }
        else if (it.phase == run_phase::closed && it.settled < sent)
        {
            propose_end(run, it, it.closed_as);
        }
        else if (it.phase == run_phase::running && it.settled < sent)
        {
            propose_end(run, it, run_end::lost);
        }
    }
}

auto run_scheduler::take_ended(entry_ref& at,
                               std::vector<ended_row> const& rows) -> void
{
    propose_ends out;
    out.from = at.first;
    for (auto const& row : rows)
    {
        out.upto = std::max(out.upto, row.number);
        auto const it = at.second.runs.find(row.run.run);
        if (it != at.second.runs.end() && it->second.phase != run_phase::ending)
        {
            it->second.phase = run_phase::ending;
            out.runs.push_back(row.run);
        }
    }
    if (out.upto > at.second.recorded)
    {
        at.second.recording = true;
        actions_.emplace_back(std::move(out));
    }
}

auto run_scheduler::note_running(entry_ref& at, task_run const& run,
                                 held_run& it, time_point now) -> void
{
    it.phase = run_phase::running;
    it.settled = now;
    if (it.scavenges)
    {
        disturbance_.started(at.first, run, it.image, now);
    }
}

/// A task that stands still beside one that it is known to harm goes on
/// elsewhere from its checkpoint.
auto run_scheduler::must_move(worker_entry const& at, held_run const& it,
                              time_point now) const -> bool
{
    auto const is_harmed = [&](auto const& each)
    {
        auto const& beside = each.second;
        return beside.is_serving() &&
               disturbance_.is_harmful(it.image, beside.image,
                                       beside.latency_target, now);
    };
    return it.pace == permille{0} &&
           now - it.paced >= config::max_paused_time &&
           !it.checkpoint.value().empty() &&
           std::ranges::any_of(at.runs, is_harmed);
}

auto run_scheduler::adjust_pace(entry_ref& at, time_point now) -> void
{
    for (auto& [run, it] : at.second.runs)
    {
        if (!it.scavenges || it.phase != run_phase::running || it.awaiting ||
            fenced_)
        {
            continue;
        }
        if (must_move(at.second, it, now))
        {
            send_stop(at, run, it, now);
            continue;
        }
        auto const pace =
            paced(it.pace, pace_change(at.second, it, disturbance_, now));
        if (pace != it.pace)
        {
            it.awaiting = true;
            it.sent = now;
            actions_.emplace_back(pace_order{target(at), run, pace});
        }
    }
}

} // namespace apricotlb
