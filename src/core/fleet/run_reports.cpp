#include "core/fleet/run_scheduler.hpp"

#include "core/fleet/pace_control.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace apricotlb
{

namespace
{

/// True if the worker itself has answered.
auto is_from_worker(order_outcome it) -> bool
{
    return it != order_outcome::no_answer && it != order_outcome::not_sent;
}

/// True if the worker neither was out of reach nor failed at the order.
auto is_response(order_outcome it) -> bool
{
    return is_from_worker(it) && it != order_outcome::unhealthy &&
           it != order_outcome::malformed;
}

/// True if both announcements let the same tasks be placed on a worker.
auto has_same_offer(worker_announcement const& a, worker_announcement const& b)
    -> bool
{
    return a.pool == b.pool && a.capacity == b.capacity &&
           a.labels == b.labels && a.phase == b.phase;
}

auto place_of(worker_announcement const& it) -> worker_place
{
    return {it.instance, it.address, it.zone, {}};
}

/// True if the contracts in force name the pool, or if there are none yet.
auto may_be_pool(contract_set_registry const& contracts, pool_name const& name)
    -> bool
{
    auto const& set = contracts.current();
    return !set || std::ranges::find(set->pools, name, &pool_contract::name) !=
                       set->pools.end();
}

auto lists_any_up_to(end_number last, std::vector<ended_row> const& rows)
    -> bool
{
    return std::ranges::any_of(rows, [last](ended_row const& row)
                               { return row.number <= last; });
}

} // namespace

auto run_scheduler::on_announcement(worker_announcement const& announcement,
                                    time_point now, duration age) -> bool
{
    if (announcement.phase == worker_phase::left)
    {
        return on_departure(announcement.instance, now);
    }
    take_announcement(announcement, now, age);
    return true;
}

/// A worker drains before it leaves, so a life that has not done so is not the
/// one that has left: the message of its former life was held up. If it has
/// left all the same, its runs end with its lease.
auto run_scheduler::on_departure(worker_instance const& left, time_point now)
    -> bool
{
    auto const is_named = left.incarnation != worker_incarnation{};
    auto const found = workers_.find(left.id);
    if (found == workers_.end())
    {
        // Another process may still give a new leader an announcement of it.
        if (is_named)
        {
            ended_lives_.record(left, now);
        }
        return true;
    }
    auto& entry = found->second;
    auto const is_current =
        is_named ? left.incarnation == entry.incarnation : entry.is_leaving();
    if (!is_current)
    {
        return false;
    }
    ended_lives_.record({left.id, entry.incarnation}, now);
    on_leave(*found, now);
    needs_plan_ = true;
    return true;
}

auto run_scheduler::take_announcement(worker_announcement const& announcement,
                                      time_point now, duration age) -> void
{
    if (ended_lives_.contains(announcement.instance))
    {
        events_.push_back(
            {run_event_kind::former_life, {}, announcement.instance});
        return;
    }
    auto const [at, is_new] = workers_.try_emplace(announcement.instance.id);
    auto& worker = *at;
    auto& entry = worker.second;
    // Others are numbered as they replace the life before.
    if (is_new && announcement.instance.incarnation == worker_incarnation{})
    {
        entry.life = ++last_life_;
    }
    auto const is_known =
        announcement.instance.incarnation == entry.incarnation;
    auto const is_late =
        entry.info && announcement.number <= entry.info->number;
    if (is_known && (is_late || entry.incarnation_ended))
    {
        return;
    }
    if (!is_known)
    {
        if (!may_follow(entry, announcement.instance.incarnation, now - age))
        {
            contest(worker, announcement, now, age);
            return;
        }
        replace_incarnation(worker, announcement, now);
    }
    // A worker that started later at an address proves that the earlier one
    // there has ended. Without incarnations, the one heard from last counts: a
    // new leader may receive the other's last announcement after it.
    auto const known_address = addresses_.find(announcement.address);
    if (known_address != addresses_.end() &&
        known_address->second != announcement.instance.id)
    {
        // The former worker may have started again at another address, which
        // is not known if the log has no place of its present life.
        auto former = workers_.find(known_address->second);
        if (former != workers_.end() &&
            (!former->second.place ||
             former->second.place->address != announcement.address))
        {
            former = workers_.end();
        }
        auto const is_open =
            former != workers_.end() && !former->second.incarnation_ended;
        // A lower number may come from a clock that was set back. The worker
        // that is there now answers for itself.
        auto const is_doubtful =
            is_open &&
            (announcement.instance.incarnation < former->second.incarnation ||
             displaced_lives_.contains(announcement.instance));
        if (is_doubtful)
        {
            former->second.contact_wanted_until =
                now + config::worker_contact_timeout;
            send_poll(*former, now);
        }
        if (is_doubtful || (is_open && former->second.is_contacted() &&
                            former->second.last_contact > now - age))
        {
            return;
        }
        if (former != workers_.end())
        {
            // Whoever names a pool of no contract is no worker to use, and
            // proves nothing about the one that is known at its address.
            if (!may_be_pool(state_.contract_sets(), announcement.pool))
            {
                return;
            }
            on_incarnation_end(*former, now);
        }
    }
    addresses_[announcement.address] = announcement.instance.id;
    if (!entry.info || !has_same_offer(*entry.info, announcement))
    {
        gain_room(entry);
    }
    entry.info = announcement;
    entry.place = place_of(announcement);
    entry.warm_up.announce(announcement.warm_up, now - age);
    entry.is_replaced = false;
    entry.described = announcement.number;
    entry.announced_at = now - age;
    entry.record_life_sign(entry.announced_at);
    entry.lease.sample(announcement.clock, now);
    send_poll(worker, now);
    needs_plan_ = true;
}

/// A worker was restarted under its id. Runs of the former incarnation have
/// ended there. The new one may run starts that it received before its
/// announcement; its lists show them. A start order without an answer may still
/// arrive there until the new one has got an order with its own fencing token,
/// so that its run has to be stopped. The former incarnation has crashed unless
/// it had announced that it drains.
auto run_scheduler::replace_incarnation(identified_worker& worker,
                                        worker_announcement const& announcement,
                                        time_point now) -> void
{
    auto& entry = worker.second;
    auto const has_crashed = !entry.is_leaving();
    if (has_crashed)
    {
        report_late_crashes(entry);
    }
    auto const life = announcement.instance.incarnation;
    auto const is_known = entry.incarnation != worker_incarnation{};
    auto const is_proven = entry.answering_life == life;
    if (is_known && !is_proven)
    {
        entry.unproven_lives.push_back(entry.incarnation);
        if (entry.unproven_lives.size() > ended_lives::max_per_worker)
        {
            entry.unproven_lives.erase(entry.unproven_lives.begin());
        }
    }
    entry.begin_incarnation(life, ++last_life_);
    entry.follows_former_life = is_known || ended_lives_.knows(worker.first);
    entry.info = announcement;
    entry.place = place_of(announcement);
    gain_room(entry);
    entry.lease.sample(announcement.clock, now);
    auto const blamed =
        has_crashed ? runs_to_blame(entry) : std::set<task_run>{};
    for (auto& [run, held] : entry.runs)
    {
        if (held.phase == run_phase::ending ||
            held.phase == run_phase::proposed)
        {
            continue;
        }
        // An earlier leader has placed it on this life.
        if (held.phase == run_phase::inherited && is_recorded_for(run, life))
        {
            entry.has_inherited_lease = true;
            continue;
        }
        // A start on its way may still reach this life, or one after it.
        held.start_unconfirmed =
            held.start_unconfirmed ||
            (held.phase == run_phase::ordered && held.order_in_flight);
        held.order_in_flight = false;
        held.closed_as =
            blamed.contains(run) ? run_end::crashed : run_end::lost;
        // A late start order may give the new life the longest lease that
        // workers accept, since its end is on the clock of the former one. The
        // new life may also be the one that has confirmed a recent start.
        auto const arrives_until = start_given_at(held) + config::max_order_age;
        if (now < arrives_until)
        {
            entry.lease.assume_until(arrives_until + longest_lease(),
                                     lease_bound_cause::late_order);
        }
        if (held.start_unconfirmed || held.phase == run_phase::ordered ||
            held.phase == run_phase::inherited)
        {
            send_stop(worker, run, held, now);
        }
        else
        {
            held.phase = run_phase::closed;
            held.settled_at = {};
        }
    }
}

auto run_scheduler::on_leave(identified_worker& worker, time_point now) -> void
{
    worker.second.incarnation_ended = true;
    worker.second.possible_crashes.clear();
    end_runs_as_lost(worker, run_event_kind::worker_gone, now);
}

auto run_scheduler::on_incarnation_end(identified_worker& worker,
                                       time_point now) -> void
{
    auto& entry = worker.second;
    displaced_lives_.record({worker.first, entry.incarnation}, now);
    if (!entry.incarnation_ended && !entry.is_leaving())
    {
        report_late_crashes(entry);
        for (auto const& run : runs_to_blame(entry))
        {
            propose_end(worker, run, entry.runs.at(run), run_end::crashed,
                        run_event_kind::worker_gone);
        }
    }
    on_leave(worker, now);
}

/// A life that comes back gets a new token. A poll about a life that was only
/// announced has the token of the known one.
auto run_scheduler::is_for_present_life(worker_entry const& worker,
                                        order_target const& to) const -> bool
{
    return worker.incarnation == to.instance.incarnation &&
           to.fence == make_fence(leading_in_, worker.life);
}

/// A token that this leader has replaced by a higher one is refused as well.
auto run_scheduler::on_fenced(identified_worker& worker, order_target const& to,
                              task_run const& run) -> void
{
    if (!is_for_present_life(worker.second, to))
    {
        return;
    }
    if (!std::exchange(worker.second.is_fenced, true))
    {
        events_.push_back({run_event_kind::fenced,
                           run,
                           {worker.first, worker.second.incarnation}});
    }
}

/// A task that has lasted since the crash before does not crash its workers:
/// ordinary crashes meet each task that was just started.
auto run_scheduler::runs_to_blame(worker_entry const& worker)
    -> std::set<task_run>
{
    std::set<task_run> out;
    for (auto const& [run, held] : worker.runs)
    {
        if (worker.may_blame(held) && lasting_suspects_.erase(run.task) == 0)
        {
            out.insert(run);
        }
    }
    return out;
}

auto run_scheduler::report_late_crashes(worker_entry& worker) -> void
{
    for (auto const& run : std::exchange(worker.possible_crashes, {}))
    {
        pending_ends_.push_back({run, run_end::crashed, {}});
    }
}

auto run_scheduler::record_answer(identified_worker& worker,
                                  order_target const& to,
                                  order_answer const& answer, time_point now)
    -> bool
{
    auto& entry = worker.second;
    if (answer.outcome != order_outcome::not_sent)
    {
        entry.record_response(is_response(answer.outcome), now);
    }
    if (!is_from_worker(answer.outcome))
    {
        entry.is_answering =
            entry.is_answering && answer.outcome == order_outcome::not_sent;
        return true;
    }
    if (answer.clock &&
        (entry.lease.is_of_other_life(*answer.clock, to.given) ||
         entry.lease.is_ahead(*answer.clock, now)))
    {
        // Its announcement follows and replaces this one. It may have got the
        // longest lease with the order that it has answered.
        entry.is_answering = false;
        entry.is_replaced = true;
        entry.lease.assume_until(now + longest_lease(),
                                 lease_bound_cause::former_life);
        return false;
    }
    record_contact(worker, to, answer.clock, now);
    if (is_response(answer.outcome))
    {
        entry.leased_from = now;
    }
    return true;
}

auto run_scheduler::record_contact(identified_worker& worker,
                                   order_target const& to,
                                   std::optional<worker_clock> const& clock,
                                   time_point now) -> void
{
    worker.second.record_life_sign(now);
    if (clock)
    {
        worker.second.lease.sample_answer(*clock, to.given, now);
    }
}

auto run_scheduler::on_answer(start_order const& order,
                              order_answer const& answer, time_point now)
    -> void
{
    auto const found = workers_.find(order.to.instance.id);
    if (found == workers_.end())
    {
        return;
    }
    auto& worker = *found;
    auto const is_open =
        answer.outcome == order_outcome::no_answer ||
        answer.unanswered_tries.value_or(try_count{}) > try_count{};
    worker.second.interlock.on_start_answered(order.to.given, is_open);
    if (worker.second.incarnation != order.to.instance.incarnation)
    {
        return;
    }
    record_answer(worker, order.to, answer, now);
    auto const [holder, held] = find(order.run);
    if (held != nullptr && holder == &worker)
    {
        held->order_in_flight = false;
        held->start_unconfirmed = held->start_unconfirmed || is_open;
        take_start_answer(worker, order, *held, answer.outcome, now);
    }
    if (worker.second.is_release_due())
    {
        send_poll(worker, now);
    }
}

auto run_scheduler::take_start_answer(identified_worker& worker,
                                      start_order const& order, held_run& held,
                                      order_outcome outcome, time_point now)
    -> void
{
    switch (outcome)
    {
    case order_outcome::done:
        if (held.phase == run_phase::ordered)
        {
            set_running(worker, order.run, held, now);
            send_poll(worker, now);
        }
        break;
    case order_outcome::fenced:
        on_fenced(worker, order.to, order.run);
        if (held.phase == run_phase::ordered)
        {
            withdraw(worker, order.run, held, now);
        }
        break;
    case order_outcome::superseded:
        // The run has ended already, or its stop arrived before its start.
        if (held.phase == run_phase::ordered)
        {
            held.phase = run_phase::closed;
            held.closed_as = run_end::stopped;
            held.settled_at = now;
        }
        break;
    case order_outcome::late:
        held.sent = now - config::order_retry_interval;
        break;
    case order_outcome::insufficient_capacity:
        on_order_rejected(worker, order.run, held, config::no_room_pause, now);
        break;
    case order_outcome::unhealthy:
    case order_outcome::malformed:
        on_order_rejected(worker, order.run, held, config::unhealthy_pause,
                          now);
        break;
    case order_outcome::other_incarnation:
        if (is_for_present_life(worker.second, order.to))
        {
            on_incarnation_end(worker, now);
        }
        break;
    case order_outcome::not_sent:
    case order_outcome::no_answer:
        held.sent = now;
        break;
    }
}

auto run_scheduler::on_order_rejected(identified_worker& worker,
                                      task_run const& run, held_run& held,
                                      duration pause, time_point now) -> void
{
    worker.second.paused_until = now + pause;
    if (held.phase != run_phase::ordered)
    {
        return;
    }
    withdraw(worker, run, held, now);
}

auto run_scheduler::on_answer(stop_order const& order,
                              order_answer const& answer, time_point now)
    -> void
{
    auto const worker = workers_.find(order.to.instance.id);
    if (worker == workers_.end() ||
        worker->second.incarnation != order.to.instance.incarnation)
    {
        return;
    }
    auto& entry = worker->second;
    auto const at = entry.runs.find(order.run);
    auto* const held = at == entry.runs.end() ? nullptr : &at->second;
    auto const owed = entry.unrecorded.find(order.run);
    if (held == nullptr && owed == entry.unrecorded.end())
    {
        return;
    }
    if (held != nullptr)
    {
        held->order_in_flight = false;
        held->sent = now;
    }
    record_answer(*worker, order.to, answer, now);
    if (owed != entry.unrecorded.end())
    {
        on_pending_stop(*worker, owed->second, answer.outcome, now);
    }
    if (answer.outcome == order_outcome::fenced)
    {
        on_fenced(*worker, order.to, order.run);
    }
    else if (answer.outcome == order_outcome::other_incarnation &&
             is_for_present_life(entry, order.to))
    {
        on_incarnation_end(*worker, now);
    }
    else if ((answer.outcome == order_outcome::done ||
              answer.outcome == order_outcome::superseded) &&
             held != nullptr && held->phase == run_phase::stopping)
    {
        if (held->closed_as == run_end::not_started && !held->start_unconfirmed)
        {
            held->closed_as = run_end::stopped;
        }
        held->phase = run_phase::closed;
        held->settled_at = now;
        send_poll(*worker, now);
    }
}

auto run_scheduler::on_answer(pace_order const& order,
                              order_answer const& answer, time_point now)
    -> void
{
    auto const [worker, held] = find(order.run);
    if (held == nullptr ||
        worker->second.incarnation != order.to.instance.incarnation)
    {
        return;
    }
    held->order_in_flight = false;
    auto const is_current = record_answer(*worker, order.to, answer, now);
    if (answer.outcome == order_outcome::fenced)
    {
        on_fenced(*worker, order.to, order.run);
    }
    else if (answer.outcome == order_outcome::done && is_current)
    {
        held->pace = order.pace;
        held->possible_pace.reset();
        held->pace_changed_at = now;
        interference_.pace_changed(worker->first, order.run, order.pace, now);
    }
    else if (answer.outcome == order_outcome::no_answer)
    {
        held->possible_pace = std::min(held->lowest_pace(), order.pace);
        auto const& entry = worker->second;
        if (!entry.is_replaced &&
            now - entry.last_contact < config::lease_extension_timeout)
        {
            adjust_pace(*worker, order.run, *held, now);
        }
    }
}

auto run_scheduler::on_answer(poll_order const& order,
                              poll_answer const& answer, time_point now) -> void
{
    auto const found = workers_.find(order.to.instance.id);
    if (found == workers_.end() ||
        on_claim_answer(*found, order, answer, now) ||
        !is_for_present_life(found->second, order.to))
    {
        return;
    }
    auto& worker = *found;
    auto& entry = worker.second;
    if (!entry.end_poll(order.to.given, answer.outcome, now))
    {
        return;
    }
    entry.has_lost_poll =
        answer.outcome != order_outcome::done &&
        (entry.has_lost_poll || answer.outcome == order_outcome::no_answer);
    entry.next_poll_at = now + config::poll_retry_delay;
    if (answer.outcome != order_outcome::not_sent)
    {
        entry.record_response(is_response(answer.outcome), now);
    }
    switch (answer.outcome)
    {
    case order_outcome::done:
        if (answer.lists.incarnation == worker_incarnation{} &&
            entry.incarnation != worker_incarnation{})
        {
            entry.is_answering = false;
            return;
        }
        on_living_life(worker, answer.lists.incarnation, order.to.given, now);
        if (answer.lists.incarnation != entry.incarnation)
        {
            on_other_life(worker, answer.lists.incarnation, now);
            return;
        }
        entry.is_answering = true;
        record_release(entry, order, answer.lists.ended, now);
        entry.has_inherited_lease =
            entry.has_inherited_lease && !order.lease_end;
        record_contact(worker, order.to, answer.lists.clock, now);
        entry.leased_from = now;
        process_lists(worker, answer.lists, now);
        review_orders(worker, now);
        send_poll(worker, now);
        break;
    case order_outcome::fenced:
        on_fenced(worker, order.to, {});
        break;
    case order_outcome::other_incarnation:
        on_incarnation_end(worker, now);
        break;
    case order_outcome::not_sent:
        if (order.recorded > end_number{})
        {
            entry.interlock.on_release_over();
        }
        break;
    default:
        entry.is_answering = false;
        break;
    }
}

/// Records what lists show of the ends that were acknowledged, and when the
/// next poll may follow.
auto run_scheduler::record_release(worker_entry& worker,
                                   poll_order const& order,
                                   std::vector<ended_row> const& rows,
                                   time_point now) -> void
{
    if (lists_any_up_to(worker.released, rows))
    {
        worker.next_poll_at = now + config::min_poll_interval;
        return;
    }
    worker.interlock.on_release_over();
    worker.acknowledged = std::max(worker.acknowledged, worker.released);
    // A worker that has ends to list does not wait.
    if (lists_any_up_to(worker.recorded, rows))
    {
        worker.next_poll_at = now + (worker.interlock.may_start_late(now)
                                         ? config::poll_retry_delay
                                         : config::min_poll_interval);
        return;
    }
    worker.next_poll_at =
        order.wait > milliseconds{0} || worker.grants != lease_grants::open
            ? now + config::min_poll_interval
            : now;
}

auto run_scheduler::process_lists(identified_worker& worker,
                                  worker_lists const& lists, time_point now)
    -> void
{
    auto const poll_sent_at = worker.second.poll_sent_at;
    auto const list_age = worker.second.last_list > sequence{}
                              ? std::optional{now - worker.second.listed_at}
                              : std::nullopt;
    worker.second.are_shares_stale = true;
    ++worker.second.last_list;
    worker.second.listed_at = now;
    report_alive_after_lease(worker, lists.running, poll_sent_at);
    for (auto const& row : lists.running)
    {
        process_running(worker, row, now);
    }
    if (!worker.second.is_listed)
    {
        accept_first_lists(worker.second, now);
    }
    std::erase_if(worker.second.unrecorded, [&worker](auto const& each)
                  { return each.second.last_list != worker.second.last_list; });
    process_ended(worker, lists.ended, list_age, now);
    if (lists.ended.size() < config::max_listed_ends)
    {
        process_absent(worker, poll_sent_at, now);
    }
    adjust_pace(worker, now);
}

/// Only lists that were asked for after the end count: the answer to an earlier
/// poll may show the time before the lease was over.
auto run_scheduler::report_alive_after_lease(
    identified_worker& worker, std::vector<running_row> const& rows,
    time_point poll_sent_at) -> void
{
    auto& ended = worker.second.ended_by_lease;
    for (auto const& row : rows)
    {
        auto const it = ended.find(row.run);
        if (it != ended.end() && it->second <= poll_sent_at)
        {
            events_.push_back({run_event_kind::alive_after_lease,
                               row.run,
                               {worker.first, worker.second.incarnation}});
        }
    }
    std::erase_if(ended, [poll_sent_at](auto const& each)
                  { return each.second <= poll_sent_at; });
}

/// From the poll for these lists on, the worker refuses what was sent to its
/// former lives, late starts included. Until then such an order may have given
/// it the longest lease that workers accept.
auto run_scheduler::accept_first_lists(worker_entry& worker, time_point now)
    -> void
{
    worker.is_listed = true;
    needs_plan_ = true;
    if (worker.follows_former_life)
    {
        worker.lease.replace_bound(now + longest_lease(),
                                   lease_bound_cause::former_life);
    }
}

auto run_scheduler::process_running(identified_worker& worker,
                                    running_row const& row, time_point now)
    -> void
{
    auto const it = worker.second.runs.find(row.run);
    if (it == worker.second.runs.end())
    {
        process_unrecorded(worker, row.run, now);
        return;
    }
    auto& held = it->second;
    held.last_list = worker.second.last_list;
    held.record_measurement(row.load, now);
    // The latencies of a cold worker are high without scavenging tasks too.
    if (held.is_serving() && !worker.second.warm_up.is_cold(now))
    {
        interference_.learn(worker.first, held.image, milliseconds{row.load},
                            now);
    }
    if (!row.checkpoint.value().empty())
    {
        held.checkpoint = row.checkpoint;
    }
    auto const is_running_after_all =
        held.phase == run_phase::closed &&
        (held.closed_as == run_end::lost || held.closed_as == run_end::crashed);
    if (held.phase == run_phase::inherited ||
        held.phase == run_phase::ordered || is_running_after_all)
    {
        set_running(worker, row.run, held, now);
    }
    if (held.suspect && worker.second.has_lasted(held))
    {
        lasting_suspects_.insert(row.run.task);
    }
    auto const may_run =
        held.phase == run_phase::running || held.phase == run_phase::closed;
    if (may_run && now - held.sent >= config::order_retry_interval &&
        !is_wanted(row.run))
    {
        send_stop(worker, row.run, held, now);
    }
}

auto run_scheduler::process_unrecorded(identified_worker& worker,
                                       task_run const& run, time_point now)
    -> void
{
    auto const [at, is_new] = worker.second.unrecorded.try_emplace(run);
    auto& stop = at->second;
    stop.last_list = worker.second.last_list;
    if (is_new)
    {
        stop.since = now;
        events_.push_back({run_event_kind::unrecorded,
                           run,
                           {worker.first, worker.second.incarnation}});
    }
    if (!stop.order_in_flight &&
        (is_new || now - stop.sent >= config::order_retry_interval))
    {
        send_pending_stop(worker, run, stop, now);
    }
}

auto run_scheduler::on_pending_stop(identified_worker& worker,
                                    pending_stop& stop, order_outcome outcome,
                                    time_point now) -> void
{
    stop.order_in_flight = false;
    stop.sent = now;
    stop.is_confirmed =
        outcome == order_outcome::done || outcome == order_outcome::superseded;
    if (stop.is_confirmed)
    {
        send_poll(worker, now);
    }
}

/// Handles the runs that are missing from the last lists. `poll_sent_at` is
/// when the poll for these lists was sent. Lists prove nothing about a run that
/// was confirmed or closed after that.
auto run_scheduler::process_absent(identified_worker& worker,
                                   time_point poll_sent_at, time_point now)
    -> void
{
    for (auto& [run, held] : worker.second.runs)
    {
        if (held.last_list == worker.second.last_list)
        {
            continue;
        }
        if (held.phase == run_phase::inherited)
        {
            // The worker has accepted this leader's fencing token with the
            // poll, so that no order of an earlier leader can start the run.
            // Runs start at full speed.
            held.possible_pace.reset();
            if (worker.second.info)
            {
                start_or_withdraw(worker, run, held, now);
            }
            else if (!may_start_late(held, now))
            {
                withdraw(worker, run, held, now);
            }
            else
            {
                // A held up start may reach the next life of the worker.
                worker.second.next_poll_at = now + config::poll_retry_delay;
            }
        }
        else if (held.phase == run_phase::closed &&
                 held.settled_at < poll_sent_at)
        {
            if (may_start_late(held, now))
            {
                // The next life of the worker will not know that it is closed.
                worker.second.next_poll_at = now + config::poll_retry_delay;
                continue;
            }
            propose_end(worker, run, held, held.closed_as,
                        run_event_kind::missing);
        }
        else if (held.phase == run_phase::running &&
                 held.settled_at < poll_sent_at)
        {
            propose_end(worker, run, held, run_end::lost,
                        run_event_kind::missing);
        }
    }
}

auto run_scheduler::process_ended(identified_worker& worker,
                                  std::vector<ended_row> const& rows,
                                  std::optional<duration> list_age,
                                  time_point now) -> void
{
    propose_ends proposal;
    end_number last_number;
    auto last_usable = end_number{std::numeric_limits<std::uint64_t>::max()};
    std::optional<end_number> withheld;
    auto const has_lapsed = worker.second.has_lapsed_since_withheld(
        leading_since_ + longest_lease());
    worker.second.listed_ends = rows.size();
    for (auto const& row : rows)
    {
        last_number = std::max(last_number, row.number);
        auto const it = worker.second.runs.find(row.run.run);
        auto const is_held = it != worker.second.runs.end();
        if (is_held)
        {
            it->second.last_list = worker.second.last_list;
        }
        if (!is_held || it->second.phase == run_phase::ending)
        {
            if (row.number <= worker.second.recorded)
            {
                continue;
            }
            auto const proposed = proposal.listed_late.size();
            if (!take_late_end(worker, row.run, proposal) && !has_lapsed)
            {
                withheld = std::min(withheld.value_or(row.number), row.number);
            }
            // The end that was proposed before is not on record yet.
            if (is_held && proposal.listed_late.size() == proposed)
            {
                last_usable = std::min(last_usable, row.number - end_number{1});
            }
        }
        else
        {
            if (row.run.outcome == run_end::lapsed)
            {
                events_.push_back({run_event_kind::lapsed,
                                   row.run.run,
                                   {worker.first, worker.second.incarnation},
                                   list_age});
            }
            learn_run_time(row.run, it->second, now);
            it->second.phase = run_phase::ending;
            proposal.runs.push_back(row.run);
        }
    }
    withhold_ends(worker.second, withheld.has_value(), now);
    prune_written_off(worker.second, rows);
    if (withheld)
    {
        last_usable = std::min(last_usable, *withheld - end_number{1});
    }
    last_number = std::min(last_number, last_usable);
    if (last_number > worker.second.recorded)
    {
        worker.second.recording_ends = true;
        proposal.lists.push_back(
            {{worker.first, worker.second.incarnation}, last_number});
    }
    if (proposal.size() > 0 || !proposal.lists.empty())
    {
        actions_.emplace_back(std::move(proposal));
    }
}

auto run_scheduler::set_running(identified_worker& worker, task_run const& run,
                                held_run& held, time_point now) -> void
{
    if (held.ordered_at)
    {
        held.started_at = now;
    }
    held.phase = run_phase::running;
    held.settled_at = now;
    worker.second.are_shares_stale = true;
    waits_.remove(run.task);
    watch_run(run, held, now);
    if (held.scavenges)
    {
        interference_.started(worker.first, run, held.image, now);
    }
}

auto run_scheduler::adjust_pace(identified_worker& worker, time_point now)
    -> void
{
    for (auto& [run, held] : worker.second.runs)
    {
        adjust_pace(worker, run, held, now);
    }
}

auto run_scheduler::adjust_pace(identified_worker& worker, task_run const& run,
                                held_run& held, time_point now) -> void
{
    if (!held.scavenges || held.phase != run_phase::running ||
        held.order_in_flight || worker.second.is_fenced)
    {
        return;
    }
    auto const pace =
        apply_pace_step(held.lowest_pace(), next_pace_step(worker.second, held,
                                                           interference_, now));
    if (pace != held.pace || held.possible_pace)
    {
        held.order_in_flight = true;
        held.sent = now;
        actions_.emplace_back(pace_order{target_of(worker, now), run, pace});
    }
}

} // namespace apricotlb
