#include "core/fleet/announcement_intake.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <tuple>
#include <utility>

namespace apricotlb
{

namespace
{

auto age_of(time_point received, time_point now) -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(now - received);
}

/// True if `it`, which came `later` than `known`, continues its warm-up.
auto is_same_warm_up(worker_announcement const& it,
                     worker_announcement const& known, duration later) -> bool
{
    auto const expected = std::max(duration{known.warm_up} - later, duration{});
    auto const difference = duration{it.warm_up} - expected;
    return difference <= config::warm_up_tolerance &&
           -difference <= config::warm_up_tolerance;
}

/// True if the two differ in nothing but the clock, the number and the time
/// that the warm-up has left.
auto is_same_description(worker_announcement const& a,
                         worker_announcement const& b) -> bool
{
    return a.instance == b.instance && a.phase == b.phase &&
           a.address == b.address && a.pool == b.pool && a.zone == b.zone &&
           a.rack == b.rack && a.labels == b.labels && a.capacity == b.capacity;
}

} // namespace

auto name_of(intake_reason it) -> std::string_view
{
    constexpr std::array<std::string_view, 4> names{"renewed", "late",
                                                    "waiting", "forwarded"};
    return names.at(static_cast<std::size_t>(it));
}

auto announcement_intake::is_in_contact(time_point now) const -> bool
{
    return last_answered_ && now - *last_answered_ < config::leader_timeout;
}

auto announcement_intake::wait(kept_worker& kept, intake_reason reason)
    -> intake_decision
{
    kept.last_ticket = ++last_ticket_;
    return {reason,
            intake_ticket{{kept.value.instance.id, false}, last_ticket_}};
}

/// Numbers of lives tell no order, and this process cannot ask the worker. A
/// life that was followed comes back if it is heard twice while the kept one is
/// not: a late announcement of a former life alone has no effect here, and if
/// the kept one was the former life, the living one is back after a second.
auto announcement_intake::is_late(worker_announcement const& it,
                                  kept_worker& kept) -> bool
{
    auto const& life = it.instance.incarnation;
    if (life == kept.value.instance.incarnation)
    {
        return it.number <= kept.value.number;
    }
    auto const known =
        std::ranges::find(kept.followed, life, &followed_life::life);
    if (known == kept.followed.end())
    {
        // The answer to a late announcement would acknowledge the draining.
        auto const is_held_back = kept.value.phase != worker_phase::ready &&
                                  life < kept.value.instance.incarnation;
        if (is_held_back)
        {
            remember(kept, {life, it.number, true});
        }
        return is_held_back;
    }
    if (it.number <= known->number)
    {
        return true;
    }
    known->number = it.number;
    // The acknowledgement of draining is a promise of the leader.
    return it.phase == worker_phase::ready &&
           !std::exchange(known->is_heard_since, true);
}

auto announcement_intake::follow(kept_worker& kept, worker_incarnation life)
    -> void
{
    auto const& former = kept.value;
    for (auto& each : kept.followed)
    {
        each.is_heard_since = false;
    }
    if (former.instance.incarnation == life)
    {
        return;
    }
    std::erase_if(kept.followed, [life](followed_life const& each)
                  { return each.life == life; });
    remember(kept, {former.instance.incarnation, former.number});
}

auto announcement_intake::remember(kept_worker& kept, followed_life it) -> void
{
    kept.followed.push_back(it);
    if (kept.followed.size() > max_followed_lives)
    {
        kept.followed.erase(kept.followed.begin());
    }
}

auto announcement_intake::leaving_life(worker_id const& worker,
                                       time_point now) const -> worker_instance
{
    if (auto const found = kept_.find(worker); found != kept_.end())
    {
        // The request names no life. It may have waited in a socket while the
        // next life announced itself here, which then has not drained.
        auto const& it = found->second.value;
        return it.phase == worker_phase::draining ? it.instance
                                                  : worker_instance{worker, {}};
    }
    // A repeated request is of the same life. After longer, the worker may have
    // drained once more and told another process.
    auto const repeated = std::ranges::find_if(
        leaving_,
        [&](auto const& each)
        {
            return each.first.id == worker &&
                   now - each.second.since < acknowledgement_timeout;
        });
    return repeated == leaving_.end() ? worker_instance{worker, {}}
                                      : repeated->first;
}

auto announcement_intake::take_departure(worker_id const& worker,
                                         time_point now) -> intake_decision
{
    auto& leaving = leaving_[leaving_life(worker, now)];
    kept_.erase(worker);
    leaving = {now, ++last_ticket_, {}, {}};
    return {intake_reason::forwarded,
            intake_ticket{{worker, true}, last_ticket_}};
}

auto announcement_intake::take(worker_announcement it, time_point now)
    -> intake_decision
{
    if (it.phase == worker_phase::left)
    {
        return take_departure(it.instance.id, now);
    }
    auto const [found, is_new] = kept_.try_emplace(it.instance.id);
    auto& kept = found->second;
    auto const is_ready = it.phase == worker_phase::ready;
    if (!is_new && is_late(it, kept))
    {
        if (is_ready && is_accepted(kept) && is_in_contact(now))
        {
            return {intake_reason::late, std::nullopt};
        }
        // The newest one is sent again, and its answer acknowledges this one.
        kept.accepted_in = {};
        return wait(kept, intake_reason::late);
    }
    if (!is_new)
    {
        follow(kept, it.instance.incarnation);
    }
    if (!is_new && is_ready && is_same_description(it, kept.value) &&
        is_same_warm_up(it, kept.value, now - kept.received))
    {
        kept.value.warm_up = it.warm_up;
        kept.value.number = it.number;
        kept.value.clock = it.clock;
        kept.received = now;
        kept.contact_due = true;
        if (is_accepted(kept) && is_in_contact(now))
        {
            return {intake_reason::renewed, std::nullopt};
        }
        return wait(kept, intake_reason::waiting);
    }
    kept.value = std::move(it);
    kept.received = now;
    kept.accepted_in = {};
    kept.contact_due = false;
    ++kept.change;
    return wait(kept, intake_reason::forwarded);
}

auto announcement_intake::drop_old(time_point now) -> void
{
    std::erase_if(
        kept_, [now](auto const& each)
        { return now - each.second.received >= config::worker_removal_delay; });
    drop_old_departures(now);
}

auto announcement_intake::drop_old_departures(time_point now) -> void
{
    auto const is_old = [now](departure const& it)
    { return now - it.since >= acknowledgement_timeout; };
    std::erase_if(leaving_,
                  [&](auto const& each)
                  {
                      auto const& [left, it] = each;
                      // Without a life it could end the next one of the worker.
                      if (left.incarnation == worker_incarnation{})
                      {
                          return is_old(it);
                      }
                      return now - it.since >= departure_retention ||
                             (it.taken_in != term{} &&
                              now - it.taken_at >= taken_departure_retention);
                  });
    // Those that a leader has taken go first, and then the oldest ones.
    std::vector<std::tuple<bool, time_point, worker_instance>> old;
    for (auto const& [left, it] : leaving_)
    {
        if (is_old(it))
        {
            old.emplace_back(it.taken_in == term{}, it.since, left);
        }
    }
    std::ranges::sort(old, std::ranges::greater{});
    for (auto n = max_kept_departures; n < old.size(); ++n)
    {
        leaving_.erase(std::get<worker_instance>(old[n]));
    }
}

auto announcement_intake::next_calls(time_point now) -> std::vector<intake_call>
{
    drop_old(now);
    std::vector<intake_call> calls;
    if (kept_.empty() && leaving_.empty())
    {
        return calls;
    }
    calls.emplace_back();
    auto const add_announcement =
        [&](worker_announcement const& it, time_point received)
    {
        if (calls.back().batch.announcements.size() ==
            max_announcements_per_call)
        {
            if (calls.size() == max_calls_per_round)
            {
                return false;
            }
            calls.emplace_back();
        }
        calls.back().batch.announcements.push_back({it, age_of(received, now)});
        return true;
    };
    for (auto const& [left, it] : leaving_)
    {
        if (it.taken_in != term{} && it.taken_in == leader_term_)
        {
            continue;
        }
        worker_announcement message;
        message.instance = left;
        message.phase = worker_phase::left;
        if (add_announcement(message, it.since))
        {
            calls.back().entries.push_back({{{left.id, true}, it.last_ticket},
                                            {},
                                            0,
                                            true,
                                            left.incarnation});
        }
    }
    std::optional<worker_id> left_out;
    auto next = kept_.lower_bound(resume_at_);
    for (auto n = kept_.size(); n > 0; --n, ++next)
    {
        next = next == kept_.end() ? kept_.begin() : next;
        auto& [worker, it] = *next;
        intake_call::entry entry{{{worker, false}, it.last_ticket},
                                 it.value.number,
                                 it.change,
                                 !is_accepted(it),
                                 it.value.instance.incarnation};
        if (!entry.is_full && !it.contact_due)
        {
            continue;
        }
        if (entry.is_full)
        {
            if (!add_announcement(it.value, it.received))
            {
                left_out = left_out.value_or(worker);
                continue;
            }
            calls.back().entries.push_back(std::move(entry));
        }
        else
        {
            if (calls.front().batch.contacts.size() == max_contacts_per_call)
            {
                left_out = left_out.value_or(worker);
                continue;
            }
            calls.front().batch.contacts.push_back(
                {it.value.instance, it.value.number, it.described,
                 it.value.clock, age_of(it.received, now)});
            calls.front().entries.push_back(std::move(entry));
        }
        it.contact_due = false;
    }
    resume_at_ = left_out.value_or(worker_id{});
    for (auto& call : calls)
    {
        call.sent_at = now;
    }
    return calls;
}

auto announcement_intake::on_answer(intake_call const& to,
                                    contact_answer const& answer)
    -> std::vector<intake_ticket>
{
    if (answer.leader_term < leader_term_)
    {
        on_no_answer(to);
        return {};
    }
    leader_term_ = answer.leader_term;
    last_answered_ = std::max(last_answered_.value_or(to.sent_at), to.sent_at);
    std::set<worker_id> const unknown{answer.unknown.begin(),
                                      answer.unknown.end()};
    for (auto const& it : answer.moves)
    {
        if (auto const found = kept_.find(it.worker); found != kept_.end())
        {
            found->second.moves_to = it.to;
        }
    }
    std::vector<intake_ticket> acknowledged;
    for (auto const& entry : to.entries)
    {
        auto const& worker = entry.up_to.subject.worker;
        if (entry.up_to.subject.leaves)
        {
            acknowledged.push_back(entry.up_to);
            auto const left = leaving_.find({worker, entry.life});
            if (left == leaving_.end() ||
                left->second.last_ticket != entry.up_to.number)
            {
                continue;
            }
            if (entry.life == worker_incarnation{})
            {
                leaving_.erase(left);
                continue;
            }
            left->second.taken_in = answer.leader_term;
            left->second.taken_at = to.sent_at;
            continue;
        }
        auto const found = kept_.find(worker);
        if (found == kept_.end())
        {
            continue;
        }
        auto& kept = found->second;
        auto const is_unchanged = kept.change == entry.change;
        if (!entry.is_full && unknown.contains(worker))
        {
            if (is_unchanged)
            {
                kept.accepted_in = {};
            }
            continue;
        }
        acknowledged.push_back(entry.up_to);
        if (is_unchanged)
        {
            kept.accepted_in = answer.leader_term;
            if (entry.is_full)
            {
                kept.described = entry.number;
            }
        }
    }
    return acknowledged;
}

auto announcement_intake::on_no_answer(intake_call const& to) -> void
{
    for (auto const& entry : to.entries)
    {
        auto const found = kept_.find(entry.up_to.subject.worker);
        if (!entry.up_to.subject.leaves && found != kept_.end() &&
            found->second.change == entry.change)
        {
            found->second.contact_due = true;
        }
    }
}

auto announcement_intake::release_moved(worker_id const& worker)
    -> std::optional<intake_address>
{
    auto const found = kept_.find(worker);
    // A worker that drains stays: its acknowledgement may have to be repeated.
    if (found == kept_.end() || !found->second.moves_to ||
        found->second.value.phase != worker_phase::ready)
    {
        return std::nullopt;
    }
    auto to = std::move(found->second.moves_to);
    kept_.erase(found);
    return to;
}

auto announcement_intake::on_leader(term in_term) -> void
{
    if (in_term > leader_term_)
    {
        leader_term_ = in_term;
        last_answered_.reset();
    }
}

} // namespace apricotlb
