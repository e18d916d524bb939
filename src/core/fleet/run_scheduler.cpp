#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace apricotlb
{

namespace
{

auto make_held_run(step_spec const& step, image_ref image, run_phase phase)
    -> held_run
{
    held_run run;
    run.phase = phase;
    run.reservation = reservation_of(step);
    run.scavenged_cores = step.each.cores - run.reservation.cores;
    run.image = image;
    run.latency_target = step.latency_target;
    run.permanent = step.permanent;
    run.scavenges = step.scavenges;
    return run;
}

auto needs_runs(workflow_record const& record, task_progress const& task)
    -> bool
{
    return record.is_open() && !task.finished;
}

auto find_active(task_progress const& task, run_number number)
    -> std::vector<active_run>::const_iterator
{
    return std::ranges::find(task.active, number, &active_run::number);
}

/// Grants a lease that counts from the last answer of the worker, not from the
/// order: an order to a worker that is gone or out of reach must not prolong
/// the time for which its tasks are held.
auto grant_lease(worker_entry& worker, duration length) -> worker_clock
{
    return worker.lease.grant(worker.leased_from, length);
}

} // namespace

run_scheduler::run_scheduler(state_machine const& state, term leading_in,
                             time_point now, fleet_policy policy,
                             submission_times const& submitted, wall_time wall,
                             lease_halts const& halts)
    : state_(state), leading_in_(leading_in), leading_since_(now),
      policy_(policy), forecast_(now)
{
    inherit_runs(halts, now);
    inherit_ages(submitted, now, wall);
    inherit_waits(now);
    inherit_forecast(now);
    for (auto& worker : workers_)
    {
        review_orders(worker, now);
        unconfirmed_ += worker.second.unconfirmed;
    }
}

auto run_scheduler::inherit_runs(lease_halts const& halts, time_point now)
    -> void
{
    for (auto const& [id, record] : state_.workflows().live())
    {
        record.for_each_active(
            [&, &record = record](workflow_task const& task,
                                  task_progress const& progress,
                                  active_run const& run) {
                inherit_run(record, {task, run.number}, progress, run, halts,
                            now);
            });
    }
    for (auto const& [id, record] : state_.workflows().live())
    {
        stop_unneeded_runs(id, now);
    }
}

auto run_scheduler::inherit_run(workflow_record const& record,
                                task_run const& name,
                                task_progress const& progress,
                                active_run const& run, lease_halts const& halts,
                                time_point now) -> void
{
    auto const [entry, is_unknown] = workers_.try_emplace(run.worker.id);
    auto& worker = entry->second;
    if (is_unknown)
    {
        worker.last_contact = now;
    }
    auto const* const place = state_.workflows().places().find(run.worker);
    worker.lease.assume_until(inherited_lease_end(place, halts, now),
                              lease_bound_cause::inherited);
    if (is_unknown || run.worker.incarnation > worker.incarnation)
    {
        worker.begin_incarnation(run.worker.incarnation, ++last_life_);
        if (place != nullptr)
        {
            inherit_place(*place);
        }
    }
    auto const is_halted = place != nullptr && place->halt.has_value();
    if (is_halted && run.worker.incarnation == worker.incarnation)
    {
        worker.grants = lease_grants::halted;
        worker.halted_at = now;
    }
    worker.has_inherited_lease = true;
    auto const& step = record.step(name.task);
    auto held =
        make_held_run(step, images_.ref(step.image), run_phase::inherited);
    held.has_halted_lease = is_halted;
    held.suspect = record.is_suspect(name.task);
    if (held.scavenges)
    {
        held.possible_pace = config::pace_step;
    }
    held.is_copy = progress.active.front().number != run.number;
    worker.add(name, std::move(held));
    worker_of_run_[name] = &*entry;
}

/// What was left when the lease was halted has run down since then. The clock
/// of the leader that measured it may have run slower than the own one.
auto run_scheduler::inherited_lease_end(worker_place const* place,
                                        lease_halts const& halts,
                                        time_point now) const -> time_point
{
    if (place == nullptr)
    {
        return now + worker_lease::max_duration(policy_.lease);
    }
    auto const end = now + worker_lease::max_duration(place->longest_lease);
    if (!place->halt)
    {
        return end;
    }
    auto const left = worker_lease::max_duration(place->halt->left);
    return std::min(end, halts.find(*place).value_or(now) +
                             config::with_drift(left));
}

/// Lets the worker be asked for its runs at once, and be replaced by a later
/// one at its address.
auto run_scheduler::inherit_place(worker_place const& place) -> void
{
    auto const& id = place.worker.id;
    auto& worker = workers_.at(id);
    worker.place = place;
    worker.recorded_lease = place.longest_lease;
    // Without an incarnation nothing tells which of two workers is the later.
    if (place.worker.incarnation == worker_incarnation{})
    {
        return;
    }
    auto const [known, is_new] = addresses_.try_emplace(place.address, id);
    if (!is_new &&
        workers_.at(known->second).incarnation < place.worker.incarnation)
    {
        known->second = id;
    }
}

auto run_scheduler::keeps_place(worker_entry const& worker) const -> bool
{
    return std::ranges::any_of(
        worker.runs,
        [](auto const& each)
        {
            return each.second.phase != run_phase::proposed &&
                   each.second.phase != run_phase::ending;
        });
}

auto run_scheduler::unrecorded_places(std::vector<placed_run> const& runs,
                                      time_point now) const
    -> std::optional<std::vector<worker_place>>
{
    std::vector<worker_place> out;
    std::set<worker_id> seen;
    for (auto const& each : runs)
    {
        auto const worker = workers_.find(each.worker.id);
        if (worker == workers_.end() || !worker->second.place ||
            worker->second.grants != lease_grants::open ||
            !seen.insert(each.worker.id).second)
        {
            continue;
        }
        auto place = *worker->second.place;
        // A lease of an earlier leader or of a former life may be longer, and
        // covers all runs. Once it is over, later leaders need not wait for it.
        auto const granted = policy_.granted_lease();
        auto const left = worker->second.lease.latest_end() - now;
        auto const is_long = has_long_lease(worker->second, now);
        place.longest_lease = is_long
                                  ? worker_lease::lease_covering(left)
                                  : std::chrono::ceil<milliseconds>(granted);
        // The place is dropped with the last run, whose end may come before
        // these starts in the log.
        auto const* const known =
            keeps_place(worker->second)
                ? state_.workflows().places().find(each.worker)
                : nullptr;
        if (known == nullptr || known->address != place.address ||
            known->zone != place.zone ||
            known->longest_lease < place.longest_lease ||
            (known->longest_lease > place.longest_lease && !is_long))
        {
            out.push_back(std::move(place));
        }
    }
    return out.empty() ? std::nullopt : std::optional{std::move(out)};
}

/// A later leader would wait for a long lease that is over by then.
auto run_scheduler::shorten_recorded_leases(time_point now) -> void
{
    if (now - recorded_leases_reviewed_at_ < config::fleet_report_interval)
    {
        return;
    }
    recorded_leases_reviewed_at_ = now;
    auto const granted =
        std::chrono::ceil<milliseconds>(policy_.granted_lease());
    std::vector<worker_place> places;
    for (auto const& [id, worker] : workers_)
    {
        auto const* const known =
            state_.workflows().places().find({id, worker.incarnation});
        if (known != nullptr && worker.grants == lease_grants::open &&
            known->longest_lease > granted && !has_long_lease(worker, now) &&
            places.size() < config::max_runs_per_command)
        {
            places.push_back(*known);
            places.back().longest_lease = granted;
        }
    }
    if (!places.empty())
    {
        actions_.emplace_back(propose_starts{{{}, std::move(places)}});
    }
}

/// A leader that does not know up to when its predecessors had reached a worker
/// has to wait for a whole lease from its own election, and changes of leader
/// within that time add up. A start on its way could give the next life of the
/// worker a lease, so that nothing is halted as long as there is one. A leader
/// that cannot reach most workers is the cause itself: the others would have to
/// wait for a commit before their leases are extended again.
auto run_scheduler::review_lease_halts(time_point now) -> void
{
    std::vector<worker_place> places;
    std::size_t with_runs{0};
    std::size_t to_halt{0};
    for (auto const& [id, worker] : workers_)
    {
        with_runs += worker.runs.empty() ? 0 : 1;
        to_halt +=
            worker.grants != lease_grants::open || should_halt(worker, now) ? 1
                                                                            : 0;
    }
    auto const halts = to_halt * 2 <= with_runs;
    for (auto& [id, worker] : workers_)
    {
        auto const is_due = worker.grants == lease_grants::halted ||
                            (halts && should_halt(worker, now));
        if (!is_due || places.size() >= config::max_runs_per_command)
        {
            continue;
        }
        auto const* const known =
            state_.workflows().places().find({id, worker.incarnation});
        if (known == nullptr)
        {
            // Nothing that the log has may run there.
            worker.grants = lease_grants::open;
        }
        else if (worker.grants == lease_grants::open)
        {
            auto const left = worker.lease.latest_end() - now;
            worker.grants = lease_grants::halting;
            worker.halted_at = now;
            places.push_back(*known);
            places.back().halt = lease_halt{
                std::max(milliseconds{0}, worker_lease::lease_covering(left)),
                leading_in_, ++last_halt_};
        }
        else if (worker.leased_from > worker.halted_at)
        {
            worker.grants = lease_grants::reopening;
            places.push_back(*known);
            places.back().halt.reset();
        }
    }
    if (!places.empty())
    {
        actions_.emplace_back(propose_starts{{{}, std::move(places)}});
    }
}

auto run_scheduler::should_halt(worker_entry const& worker,
                                time_point now) const -> bool
{
    return worker.grants == lease_grants::open && worker.unanswered_since &&
           !worker.is_reached(now) && !worker.incarnation_ended &&
           now < worker.lease.latest_end() && worker.may_have_runs() &&
           std::ranges::none_of(worker.runs, [this, now](auto const& each)
                                { return may_start_late(each.second, now); });
}

auto run_scheduler::apply_place(worker_entry& worker, worker_place const& place,
                                time_point now) -> void
{
    worker.recorded_lease = place.longest_lease;
    if (place.halt && worker.grants != lease_grants::reopening)
    {
        worker.halted_at =
            worker.grants == lease_grants::halting ? worker.halted_at : now;
        worker.grants = lease_grants::halted;
    }
    else if (!place.halt && worker.grants == lease_grants::reopening)
    {
        worker.grants = lease_grants::open;
    }
}

auto run_scheduler::granted_lease(worker_entry const& worker) const -> duration
{
    auto const granted = policy_.granted_lease();
    return worker.recorded_lease
               ? std::min(granted, duration{*worker.recorded_lease})
               : granted;
}

/// A lone leader whose disk is full reports a proposal as not applied, and may
/// commit it later.
auto run_scheduler::inherit_unexpected(task_run const& run, time_point now)
    -> void
{
    auto const* const record = state_.workflows().find(run.task.workflow);
    auto const* const task =
        record == nullptr ? nullptr : record->find(run.task);
    if (task == nullptr)
    {
        return;
    }
    auto const active = find_active(*task, run.number);
    if (active != task->active.end())
    {
        inherit_run(*record, run, *task, *active, {}, now);
    }
}

/// Occurrences that have a time of their own wait from then on, which is not
/// known here.
auto run_scheduler::inherit_ages(submission_times const& submitted,
                                 time_point now, wall_time wall) -> void
{
    for (auto const& [id, record] : state_.workflows().live())
    {
        if (record.spec.repeats.times.value() == 0)
        {
            // A snapshot has brought what this process has not applied.
            ready_since_[{record.accepted, {}}] =
                submitted.find(id).value_or(now - recorded_age(record, wall));
        }
    }
}

auto run_scheduler::find(task_run const& run)
    -> std::pair<identified_worker*, held_run*>
{
    auto const found = worker_of_run_.find(run);
    if (found == worker_of_run_.end())
    {
        return {nullptr, nullptr};
    }
    auto* const worker = found->second;
    return {worker, &worker->second.runs.find(run)->second};
}

/// Null if the worker is not known, or has another incarnation by now.
auto run_scheduler::find(worker_instance const& it) -> worker_entry*
{
    auto const found = workers_.find(it.id);
    return found == workers_.end() ||
                   found->second.incarnation != it.incarnation
               ? nullptr
               : &found->second;
}

auto run_scheduler::target_of(identified_worker const& worker,
                              time_point now) const -> order_target
{
    return {{worker.first, worker.second.incarnation},
            worker.second.place->address,
            worker.second.place->zone,
            make_fence(leading_in_, worker.second.life),
            now};
}

auto run_scheduler::is_wanted(task_run const& run) const -> bool
{
    auto const* const record = state_.workflows().find(run.task.workflow);
    auto const* const task =
        record == nullptr ? nullptr : record->find(run.task);
    return task != nullptr && needs_runs(*record, *task) &&
           find_active(*task, run.number) != task->active.end();
}

auto run_scheduler::may_start(identified_worker const& worker,
                              task_run const& run) const -> bool
{
    auto const& entry = worker.second;
    // A worker that has not announced itself to this leader receives no orders.
    auto const is_draining =
        entry.info && entry.info->phase != worker_phase::ready;
    // The capacity may have shrunk since the run was placed.
    auto const has_room = !entry.info || entry.has_room_for(run);
    if (!is_wanted(run) || entry.incarnation_ended || entry.is_fenced ||
        is_draining || is_evacuated(entry) || !has_room)
    {
        return false;
    }
    auto const& record = *state_.workflows().find(run.task.workflow);
    if (is_finishing_late(record, run.task))
    {
        return false;
    }
    // The queue may have moved to another pool since then.
    auto const is_in_pool = !entry.info || entry.info->pool == pool_of(record);
    return is_in_pool && find_active(*record.find(run.task), run.number)
                                 ->worker.incarnation == entry.incarnation;
}

auto run_scheduler::has_current_phase(worker_entry const& worker,
                                      time_point now) const -> bool
{
    return worker.announced_at >= leading_since_ ||
           now - worker.announced_at < announcement_validity;
}

auto run_scheduler::start_or_withdraw(identified_worker& worker,
                                      task_run const& run, held_run& held,
                                      time_point now) -> void
{
    if (!may_start(worker, run))
    {
        withdraw(worker, run, held, now);
        return;
    }
    if (held.phase != run_phase::ordered)
    {
        held.ordered_at = now;
    }
    // tick() repeats the order if there is no reading of the worker's clock or
    // no current phase yet.
    held.phase = run_phase::ordered;
    worker.second.has_open_orders = true;
    send_start(worker, run, held, now);
}

auto run_scheduler::withdraw(identified_worker& worker, task_run const& run,
                             held_run& held, time_point now) -> void
{
    if (held.start_unconfirmed || held.order_in_flight)
    {
        // An earlier send of the start order may still be executed.
        held.closed_as = run_end::not_started;
        send_stop(worker, run, held, now);
        return;
    }
    propose_end(worker, run, held, run_end::not_started,
                run_event_kind::withdrawn);
}

auto run_scheduler::send_start(identified_worker& worker, task_run const& run,
                               held_run& held, time_point now) -> void
{
    auto const* const record = state_.workflows().find(run.task.workflow);
    // The acknowledgement of draining also counts for a life that is not taken
    // for the living one yet.
    auto const& claim = worker.second.claim;
    auto const may_drain = claim && claim->value.phase != worker_phase::ready;
    if (!worker.second.info || worker.second.is_replaced || may_drain ||
        worker.second.is_fenced || !worker.second.is_listed ||
        !worker.second.lease.is_sampled() ||
        worker.second.grants != lease_grants::open ||
        !has_current_phase(worker.second, now) ||
        worker.second.holds_starts(now) || record == nullptr)
    {
        return;
    }
    // A worker without runs is not polled, so that its last answer is old.
    if (!worker.second.may_have_runs())
    {
        worker.second.leased_from = worker.second.last_contact;
    }
    held.order_in_flight = true;
    held.sent = now;
    held.start_sent = now;
    ++held.starts_sent;
    worker.second.interlock.on_start_sent();
    actions_.emplace_back(
        start_order{target_of(worker, now), run, record->spec.payload,
                    record->find(run.task)->checkpoint,
                    grant_lease(worker.second, granted_lease(worker.second))});
}

auto run_scheduler::send_stop(identified_worker& worker, task_run const& run,
                              held_run& held, time_point now) -> void
{
    // The answer to the start order no longer counts, so that the order may
    // still be executed by a later incarnation.
    held.start_unconfirmed =
        held.start_unconfirmed ||
        (held.phase == run_phase::ordered && held.order_in_flight);
    if (std::exchange(held.phase, run_phase::stopping) != run_phase::stopping)
    {
        held.stopping_since = now;
        held.stops_sent = 0;
    }
    worker.second.has_open_orders = true;
    if (!worker.second.place || worker.second.is_fenced)
    {
        return;
    }
    held.order_in_flight = true;
    held.sent = now;
    ++held.stops_sent;
    actions_.emplace_back(stop_order{target_of(worker, now), run});
}

auto run_scheduler::send_pending_stop(identified_worker& worker,
                                      task_run const& run, pending_stop& stop,
                                      time_point now) -> void
{
    worker.second.has_open_orders = true;
    if (worker.second.is_fenced)
    {
        return;
    }
    stop.order_in_flight = true;
    stop.is_confirmed = false;
    stop.sent = now;
    ++stop.orders;
    actions_.emplace_back(stop_order{target_of(worker, now), run});
}

auto run_scheduler::send_poll(identified_worker& worker, time_point now) -> void
{
    auto& entry = worker.second;
    // Ends are acknowledged soon after the worker has listed them: a later poll
    // may reach its next life, which numbers its ends anew. A poll that waits
    // would hold up the starts that follow.
    auto const releases = entry.may_release(now);
    if (entry.poll_in_flight || entry.recording_ends ||
        entry.incarnation_ended || entry.is_replaced || entry.is_fenced ||
        !entry.place || (now < entry.next_poll_at && !releases))
    {
        return;
    }
    // The worker would answer at once with the ends that it lists.
    if (entry.is_release_pending(now) && !releases)
    {
        return;
    }
    auto const is_sent = [](auto const& each)
    { return each.second.phase != run_phase::proposed; };
    auto const is_contact_wanted = now < entry.contact_wanted_until;
    auto const has_runs = std::ranges::any_of(entry.runs, is_sent);
    auto const is_needed = is_contact_wanted || entry.unanswered_since ||
                           entry.withheld_since || has_runs ||
                           may_run_unrecorded(worker, now);
    if (!is_needed && !entry.is_release_due())
    {
        return;
    }
    // After a lost poll, runs may have lapsed. An order that was answered since
    // tells nothing of them. A lease that counts from an old answer may end
    // before a poll that waits is answered.
    auto urgent = !is_needed || entry.unanswered_since || entry.has_lost_poll ||
                  !entry.is_listed || entry.grants != lease_grants::open ||
                  releases || entry.withheld_since ||
                  (entry.is_release_due() && !entry.is_answering) ||
                  (has_runs && (entry.has_inherited_lease ||
                                now - entry.leased_from >=
                                    config::lease_extension_timeout));
    auto serves = false;
    auto scavenges = false;
    for (auto const& [run, held] : entry.runs)
    {
        urgent = urgent || held.phase == run_phase::inherited ||
                 held.phase == run_phase::closed;
        serves = serves || held.is_serving();
        scavenges = scavenges || held.scavenges;
    }
    auto const is_contact_due = is_contact_wanted || !entry.unrecorded.empty();
    auto const wait = urgent                ? milliseconds{0}
                      : is_contact_due      ? config::poll_wait_for_contact
                      : serves && scavenges ? config::poll_wait_shared
                                            : config::poll_wait;
    entry.poll_in_flight = true;
    entry.poll_sent_at = now;
    poll_order order{target_of(worker, now),
                     releases ? entry.recorded : end_number{},
                     {},
                     wait};
    if (releases)
    {
        entry.released = entry.recorded;
        entry.release_due_since = now;
        entry.interlock.on_release_sent(now);
    }
    // A poll that arrives late must not extend the lease of a worker whose runs
    // may already count as lost. Without recorded runs, it would only prolong
    // those that the log has not, and before the first lists the doubt about a
    // worker that is gone.
    if (has_runs && entry.is_listed && entry.may_extend_lease(now))
    {
        order.lease_end = grant_lease(entry, granted_lease(entry));
    }
    actions_.emplace_back(std::move(order));
}

/// At the end of 3 s without a leader, a lease of 6 s may have 1.2 s left, and
/// a lost poll is known after 1 s at the earliest. The repetition grants
/// nothing, so that it prolongs no doubt about a worker that is gone; the poll
/// after its answer does.
auto run_scheduler::repeat_poll(identified_worker& worker, time_point now)
    -> bool
{
    auto& entry = worker.second;
    if (!entry.poll_in_flight || !entry.has_inherited_lease ||
        entry.repeated_poll_at || entry.outdated_poll_at ||
        entry.incarnation_ended || entry.is_replaced || entry.is_fenced ||
        !entry.place || now >= entry.lease.latest_end() ||
        now < entry.next_poll_at ||
        now - entry.poll_sent_at < config::order_retry_interval)
    {
        return false;
    }
    entry.repeated_poll_at = std::exchange(entry.poll_sent_at, now);
    actions_.emplace_back(poll_order{target_of(worker, now), {}, {}, {}});
    return true;
}

/// Repeats the orders of a worker that are due, and counts its runs that wait
/// for a sign of it.
auto run_scheduler::review_orders(identified_worker& worker, time_point now)
    -> void
{
    auto& entry = worker.second;
    entry.has_open_orders = false;
    entry.unconfirmed = 0;
    for (auto& [run, held] : entry.runs)
    {
        auto const is_open = is_unconfirmed(held.phase);
        entry.unconfirmed += is_open ? 1 : 0;
        if (!is_open && held.phase != run_phase::stopping)
        {
            continue;
        }
        entry.has_open_orders = true;
        if (held.order_in_flight ||
            now - held.sent < config::order_retry_interval)
        {
            continue;
        }
        if (held.phase == run_phase::ordered && entry.may_extend_lease(now))
        {
            start_or_withdraw(worker, run, held, now);
        }
        else if (held.phase == run_phase::stopping)
        {
            send_stop(worker, run, held, now);
        }
    }
    for (auto& [run, stop] : entry.unrecorded)
    {
        entry.has_open_orders = true;
        if (!stop.order_in_flight && !stop.is_confirmed &&
            now - stop.sent >= config::order_retry_interval)
        {
            send_pending_stop(worker, run, stop, now);
        }
    }
}

auto run_scheduler::tick(time_point now) -> void
{
    auto has_removed = false;
    unconfirmed_ = 0;
    std::int64_t in_contact{0};
    std::int64_t refusing{0};
    auto first_polls = config::max_first_polls_per_tick;
    for (auto worker = workers_.begin(); worker != workers_.end();)
    {
        auto& entry = worker->second;
        auto const is_silent =
            now - entry.last_contact >= config::worker_contact_timeout;
        auto const has_lapsed = now >= entry.lease.latest_end();
        if (entry.incarnation_ended)
        {
            end_runs_as_lost(*worker, run_event_kind::worker_gone, now);
        }
        else if (has_lapsed && entry.is_fenced)
        {
            end_runs_as_lost(*worker, run_event_kind::lease_over, now);
        }
        else if (has_lapsed && (is_silent || entry.is_unresponsive(now) ||
                                entry.is_unpolled_after_lease(now)))
        {
            end_runs_of_silent(*worker, now);
        }
        if (entry.runs.empty() &&
            (entry.incarnation_ended ||
             (!entry.is_fenced &&
              now - entry.last_contact >= config::worker_removal_delay)))
        {
            has_removed = true;
            worker = workers_.erase(worker);
            continue;
        }
        if (entry.has_open_orders)
        {
            review_orders(*worker, now);
        }
        // Runs on a silent worker may stay unconfirmed until its lease is over,
        // as do those on a worker that gets no orders.
        if (!is_silent && !entry.is_fenced && !entry.is_unresponsive(now))
        {
            unconfirmed_ += entry.unconfirmed;
        }
        if (!is_silent && entry.info && !entry.incarnation_ended)
        {
            ++in_contact;
            refusing += entry.is_fenced ? 1 : 0;
        }
        send_claim_poll(*worker, now);
        auto const is_first = !entry.info && entry.poll_sent_at == time_point{};
        if (!is_first || first_polls > 0)
        {
            send_poll(*worker, now);
            first_polls -= is_first && entry.poll_in_flight ? 1 : 0;
        }
        if (first_polls > 0 && repeat_poll(*worker, now))
        {
            --first_polls;
        }
        ++worker;
    }
    is_fenced_ = refusing >= config::fenced_workers_to_resign ||
                 (refusing > 0 && refusing == in_contact);
    if (now - ready_since_pruned_at_ >= config::worker_removal_delay)
    {
        ready_since_pruned_at_ = now;
        std::set<revision> live;
        for (auto const& [id, record] : state_.workflows().live())
        {
            live.insert(record.accepted);
        }
        std::erase_if(ready_since_, [&live](auto const& each)
                      { return !live.contains(each.first.first); });
        std::erase_if(
            lasting_suspects_, [this](workflow_task const& each)
            { return state_.workflows().find(each.workflow) == nullptr; });
        auto const is_kept = [this](worker_id const& each)
        { return workers_.contains(each); };
        ended_lives_.prune(now - config::worker_removal_delay, is_kept);
        displaced_lives_.prune(now - config::worker_removal_delay, is_kept);
    }
    std::erase_if(late_starts_until_,
                  [now](auto const& each) { return now >= each.second; });
    shorten_recorded_leases(now);
    review_lease_halts(now);
    if (has_removed)
    {
        std::erase_if(addresses_, [this](auto const& each)
                      { return !workers_.contains(each.second); });
    }
    needs_plan_ = true;
}

auto run_scheduler::on_applied(command const& applied, time_point now) -> void
{
    update_forecast(applied, now);
    if (auto const* const starts = std::get_if<start_runs>(&applied))
    {
        for (auto const& place :
             starts->places.value_or(std::vector<worker_place>{}))
        {
            if (auto* const entry = find(place.worker))
            {
                apply_place(*entry, place, now);
            }
        }
        for (auto const& placed : starts->runs)
        {
            proposed_.erase(placed.run.task);
            auto const [worker, held] = find(placed.run);
            if (held == nullptr)
            {
                inherit_unexpected(placed.run, now);
                continue;
            }
            if (held->phase != run_phase::proposed)
            {
                continue;
            }
            // A later leader may have recorded this number for another worker.
            if (worker->first != placed.worker.id ||
                !state_.workflows().is_active(placed.run))
            {
                release(placed.run, now);
            }
            else
            {
                start_or_withdraw(*worker, placed.run, *held, now);
            }
        }
    }
    else if (auto const* const ends = std::get_if<end_runs>(&applied))
    {
        for (auto const& ended : ends->runs)
        {
            report_winner(ended);
            stop_unneeded_after(ended.run.task, now);
            stop_incomplete_gang(ended, now);
            begin_wait(ended.run.task, now);
        }
        for (auto const& ended :
             ends->listed_late.value_or(std::vector<ended_run>{}))
        {
            stop_unneeded_after(ended.run.task, now);
        }
    }
    else if (auto const* const cancel = std::get_if<cancel_workflow>(&applied))
    {
        stop_unneeded_runs(cancel->id, now);
    }
    needs_plan_ = true;
}

auto run_scheduler::on_not_applied(propose_starts const& proposal,
                                   time_point now) -> void
{
    for (auto const& placed : proposal.value.runs)
    {
        proposed_.erase(placed.run.task);
        waits_.record(placed.run.task, pass_result::none);
        release(placed.run, now);
    }
    for (auto const& place :
         proposal.value.places.value_or(std::vector<worker_place>{}))
    {
        // Whether leases are halted for later leaders is not known.
        auto* const entry = find(place.worker);
        if (entry != nullptr && entry->grants != lease_grants::open)
        {
            entry->grants = lease_grants::halted;
        }
    }
    needs_plan_ = true;
}

auto run_scheduler::on_recorded(propose_ends const& proposal, time_point now)
    -> void
{
    for (auto const& ended : proposal.runs)
    {
        release(ended.run, now);
    }
    end_late_proposals(proposal);
    for (auto const& list : proposal.lists)
    {
        if (auto* const entry = find(list.from))
        {
            if (!entry->is_release_due())
            {
                entry->release_due_since = now;
            }
            entry->recorded = std::max(entry->recorded, list.last_number);
            entry->recording_ends = false;
            send_poll(*workers_.find(list.from.id), now);
        }
    }
}

auto run_scheduler::on_not_recorded(propose_ends const& proposal) -> void
{
    for (auto const& ended : proposal.runs)
    {
        // The next lists decide again whether the run has ended.
        if (auto const [worker, held] = find(ended.run); held != nullptr)
        {
            held->phase = run_phase::closed;
            held->closed_as = ended.outcome;
        }
    }
    end_late_proposals(proposal);
    for (auto const& list : proposal.lists)
    {
        if (auto* const entry = find(list.from))
        {
            entry->recording_ends = false;
        }
    }
}

auto run_scheduler::request_stop(task_run const& run, time_point now) -> void
{
    auto const [worker, held] = find(run);
    if (held == nullptr)
    {
        return;
    }
    if (held->phase == run_phase::ordered)
    {
        withdraw(*worker, run, *held, now);
    }
    else if (held->phase == run_phase::inherited ||
             held->phase == run_phase::running)
    {
        send_stop(*worker, run, *held, now);
    }
}

auto run_scheduler::stop_unneeded_runs(workflow_id const& id, time_point now)
    -> void
{
    auto const* const record = state_.workflows().find(id);
    if (record == nullptr)
    {
        return;
    }
    record->for_each_active(
        [&](workflow_task const& task, task_progress const& progress,
            active_run const& run)
        {
            if (!needs_runs(*record, progress))
            {
                request_stop({task, run.number}, now);
            }
        });
}

/// While a workflow is open, the end of a run makes only other runs of its own
/// task unneeded.
auto run_scheduler::stop_unneeded_after(workflow_task const& task,
                                        time_point now) -> void
{
    auto const* const record = state_.workflows().find(task.workflow);
    auto const* const progress =
        record == nullptr ? nullptr : record->find(task);
    // Members of a gang finish together.
    if (progress == nullptr || !record->is_open() || record->step(task).gang)
    {
        stop_unneeded_runs(task.workflow, now);
        return;
    }
    if (progress->finished)
    {
        for (auto const& run : progress->active)
        {
            request_stop({task, run.number}, now);
        }
    }
}

/// Workers end the members of a gang together, but not those that wait for a
/// member that never started.
auto run_scheduler::stop_incomplete_gang(ended_run const& ended, time_point now)
    -> void
{
    auto const& ended_task = ended.run.task;
    auto const* const record = state_.workflows().find(ended_task.workflow);
    if (record == nullptr || ended.outcome == run_end::finished ||
        !record->step(ended_task).gang)
    {
        return;
    }
    auto const& step = record->occurrences[ended_task.occurrence.value()]
                           .steps[ended_task.step.value()];
    auto task = ended_task;
    for (std::uint32_t n = 0; n < step.tasks.size(); ++n)
    {
        task.index = task_index{n};
        // The members share the number of their run; a later one goes on.
        if (find_active(step.tasks[n], ended.run.number) !=
            step.tasks[n].active.end())
        {
            request_stop({task, ended.run.number}, now);
        }
    }
}

auto run_scheduler::propose_end(identified_worker& worker, task_run const& run,
                                held_run& held, run_end outcome,
                                run_event_kind why,
                                std::optional<lease_report> const& lease)
    -> void
{
    held.phase = run_phase::ending;
    events_.push_back(
        {why, run, {worker.first, worker.second.incarnation}, {}, lease});
    pending_ends_.push_back({run, outcome, held.checkpoint});
    if (!held.permanent &&
        worker.second.written_off.size() < config::max_listed_ends)
    {
        worker.second.written_off.insert(run);
    }
}

auto run_scheduler::release(task_run const& run, time_point now) -> void
{
    auto const found = worker_of_run_.find(run);
    if (found != worker_of_run_.end())
    {
        auto& [id, worker] = *found->second;
        interference_.ended(id, run, now);
        auto const& held = worker.runs.at(run);
        if (held.start_unconfirmed || held.order_in_flight)
        {
            auto& until = late_starts_until_[id];
            until =
                std::max(until, held.start_sent + worker_lease::max_duration(
                                                      policy_.granted_lease()));
        }
        watch_.remove(run);
        auto reported = reported_no_copy_.lower_bound({run, {}});
        while (reported != reported_no_copy_.end() && reported->first == run)
        {
            reported = reported_no_copy_.erase(reported);
        }
        worker.remove(run);
        worker_of_run_.erase(found);
        gain_room(worker);
    }
}

auto run_scheduler::gain_room(worker_entry& worker) -> void
{
    worker.gained_room = ++last_room_change_;
}

auto run_scheduler::may_start_late(held_run const& held, time_point now) const
    -> bool
{
    auto const is_unanswered =
        is_unconfirmed(held.phase) || held.start_unconfirmed;
    return is_unanswered && now - start_given_at(held) < config::max_order_age;
}

/// An earlier leader gave its last orders before this one was elected, and none
/// that can still be carried out where it had halted the leases.
auto run_scheduler::start_given_at(held_run const& held) const -> time_point
{
    return held.has_halted_lease ? held.start_sent
                                 : std::max(held.start_sent, leading_since_);
}

/// Each life of a worker is polled once, so that it refuses the orders of
/// earlier leaders from then on.
auto run_scheduler::may_run_unrecorded(identified_worker const& worker,
                                       time_point now) const -> bool
{
    auto const until = late_starts_until_.find(worker.first);
    return !worker.second.is_listed || !worker.second.unrecorded.empty() ||
           (until != late_starts_until_.end() && now < until->second);
}

auto run_scheduler::end_runs_as_lost(identified_worker& worker,
                                     run_event_kind why, time_point now) -> void
{
    auto& entry = worker.second;
    auto const lease = why == run_event_kind::lease_over
                           ? std::optional{entry.report_lease(now)}
                           : std::nullopt;
    for (auto& [run, held] : entry.runs)
    {
        if (held.phase == run_phase::ending ||
            held.phase == run_phase::proposed || may_start_late(held, now))
        {
            continue;
        }
        propose_end(worker, run, held, run_end::lost, why, lease);
        if (lease && entry.ended_by_lease.size() < config::max_listed_ends)
        {
            entry.ended_by_lease.insert_or_assign(run, now);
        }
    }
}

auto run_scheduler::end_runs_of_silent(identified_worker& worker,
                                       time_point now) -> void
{
    auto& possible = worker.second.possible_crashes;
    for (auto const& run : runs_to_blame(worker.second))
    {
        possible.push_back(run);
    }
    end_runs_as_lost(worker, run_event_kind::lease_over, now);
}

auto run_scheduler::reserve(identified_worker& worker,
                            candidate_run const& candidate) -> void
{
    task_run const run{candidate.task, candidate.number};
    auto held =
        make_held_run(*candidate.step, candidate.image, run_phase::proposed);
    held.suspect = candidate.record->is_suspect(candidate.task);
    worker.second.add(run, std::move(held));
    worker_of_run_[run] = &worker;
    proposed_.insert(candidate.task);
}

auto run_scheduler::cancel_reservation(task_run const& run) -> void
{
    auto const found = worker_of_run_.find(run);
    found->second->second.remove(run);
    worker_of_run_.erase(found);
    proposed_.erase(run.task);
}

auto run_scheduler::take_events() -> std::vector<run_event>
{
    return std::exchange(events_, {});
}

auto run_scheduler::take_actions() -> std::vector<fleet_action>
{
    // The ends of all runs of a lost data centre would exceed a log entry.
    for (std::size_t begin = 0; begin < pending_ends_.size();
         begin += config::max_runs_per_command)
    {
        auto const end = std::min(begin + config::max_runs_per_command,
                                  pending_ends_.size());
        actions_.emplace_back(propose_ends{
            {pending_ends_.begin() + static_cast<std::ptrdiff_t>(begin),
             pending_ends_.begin() + static_cast<std::ptrdiff_t>(end)},
            {}});
    }
    pending_ends_.clear();
    return std::exchange(actions_, {});
}

} // namespace apricotlb
