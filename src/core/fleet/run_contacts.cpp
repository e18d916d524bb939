#include "core/fleet/run_scheduler.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace apricotlb
{

auto run_scheduler::on_contact(worker_contact const& contact, time_point now)
    -> bool
{
    auto const found = workers_.find(contact.instance.id);
    if (found == workers_.end() || !found->second.info ||
        found->second.incarnation != contact.instance.incarnation)
    {
        return false;
    }
    auto& entry = found->second;
    if (entry.incarnation_ended || entry.answering_life ||
        contact.number <= entry.info->number)
    {
        return true;
    }
    // The sender compared the announcement with another description than this
    // leader holds.
    if (contact.described != entry.described)
    {
        return false;
    }
    entry.is_replaced = false;
    entry.info->number = contact.number;
    entry.info->clock = contact.clock;
    entry.announced_at = now - contact.age;
    entry.record_life_sign(entry.announced_at);
    // The worker's clock has only run on since it was read.
    entry.lease.sample(contact.clock, now);
    return true;
}

auto run_scheduler::may_follow(worker_entry const& known,
                               worker_incarnation life, time_point heard_at)
    -> bool
{
    if (known.answering_life)
    {
        return life == *known.answering_life;
    }
    return life > known.incarnation && heard_at >= known.last_contact;
}

auto run_scheduler::contest(identified_worker& worker,
                            worker_announcement const& announcement,
                            time_point now, duration age) -> void
{
    auto const life = announcement.instance.incarnation;
    auto& claim = worker.second.claim;
    // One without a number may be of any life.
    if (life == worker_incarnation{})
    {
        return;
    }
    if (!claim || claim->value.instance.incarnation != life)
    {
        claim = life_claim{announcement, now, now - age};
    }
    else if (announcement.number > claim->value.number)
    {
        claim->value = announcement;
        claim->heard_at = std::max(claim->heard_at, now - age);
    }
    send_claim_poll(worker, now);
}

/// The poll is apart from those for the known life, since it may go to another
/// address: without an answer it shows nothing about that life. It carries the
/// known life's token and no lease.
auto run_scheduler::send_claim_poll(identified_worker& worker, time_point now)
    -> void
{
    auto& claim = worker.second.claim;
    if (!claim || claim->is_asked)
    {
        return;
    }
    if (now - claim->heard_at >= config::worker_contact_timeout &&
        claim->asked_at != time_point{})
    {
        claim.reset();
        return;
    }
    if (now - claim->asked_at < config::order_retry_interval)
    {
        return;
    }
    claim->is_asked = true;
    claim->asked_at = now;
    auto const& it = claim->value;
    actions_.emplace_back(
        poll_order{{it.instance, it.address, it.zone,
                    make_fence(leading_in_, worker.second.life), now},
                   {},
                   {},
                   {}});
}

auto run_scheduler::on_claim_answer(identified_worker& worker,
                                    poll_order const& order,
                                    poll_answer const& answer, time_point now)
    -> bool
{
    auto& claim = worker.second.claim;
    if (!claim || !claim->is_asked ||
        claim->value.instance != order.to.instance ||
        claim->asked_at != order.to.given)
    {
        return false;
    }
    claim->is_asked = false;
    auto const living = answer.lists.incarnation;
    if (answer.outcome == order_outcome::other_incarnation)
    {
        claim.reset();
    }
    else if (answer.outcome == order_outcome::done &&
             living != worker_incarnation{})
    {
        on_living_life(worker, living, order.to.given, now);
        if (living != worker.second.incarnation)
        {
            on_other_life(worker, living, now);
        }
    }
    return true;
}

auto run_scheduler::on_living_life(identified_worker& worker,
                                   worker_incarnation living,
                                   time_point asked_at, time_point now) -> void
{
    auto const& id = worker.first;
    auto& entry = worker.second;
    ended_lives_.forget({id, living});
    for (auto const& life : std::exchange(entry.unproven_lives, {}))
    {
        if (life != living)
        {
            ended_lives_.record({id, life}, now);
        }
    }
    if (entry.incarnation != living &&
        entry.incarnation != worker_incarnation{})
    {
        ended_lives_.record({id, entry.incarnation}, now);
    }
    auto const is_refuted = entry.claim &&
                            entry.claim->value.instance.incarnation != living &&
                            entry.claim->made_at <= asked_at;
    if (is_refuted)
    {
        ended_lives_.record(entry.claim->value.instance, now);
        entry.claim.reset();
    }
}

auto run_scheduler::on_other_life(identified_worker& worker,
                                  worker_incarnation living, time_point now)
    -> void
{
    auto& entry = worker.second;
    entry.is_answering = false;
    entry.is_replaced = true;
    entry.answering_life = living;
    if (entry.claim && entry.claim->value.instance.incarnation == living)
    {
        auto const claim = *std::exchange(entry.claim, std::nullopt);
        take_announcement(claim.value, now, now - claim.heard_at);
    }
}

auto run_scheduler::is_recorded_for(task_run const& run,
                                    worker_incarnation life) const -> bool
{
    auto const* const record = state_.workflows().find(run.task.workflow);
    auto const* const task =
        record == nullptr ? nullptr : record->find(run.task);
    return task != nullptr &&
           std::ranges::any_of(task->active,
                               [&](active_run const& each) {
                                   return each.number == run.number &&
                                          each.worker.incarnation == life;
                               });
}

} // namespace apricotlb
