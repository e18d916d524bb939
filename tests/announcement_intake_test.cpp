#include "core/fleet/announcement_intake.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

class announcement_intake_test : public testing::Test
{
protected:
    static auto announcement(std::string const& id, std::uint64_t number)
        -> worker_announcement
    {
        worker_announcement it;
        it.instance = {worker_id{id}, worker_incarnation{1}};
        it.address = url{"http://" + id};
        it.capacity.cores = millicores{8000};
        it.clock = worker_clock{static_cast<std::int64_t>(number) * 1000};
        it.number = sequence{number};
        return it;
    }

    /// Sends a round to the leader of `in_term`, which answers at once.
    auto round(term in_term, std::vector<worker_id> const& unknown = {})
        -> std::vector<intake_ticket>
    {
        std::vector<intake_ticket> acknowledged;
        calls = intake.next_calls(now);
        for (auto const& it : calls)
        {
            auto const more = intake.on_answer(it, {in_term, unknown, {}});
            acknowledged.insert(acknowledged.end(), more.begin(), more.end());
        }
        return acknowledged;
    }

    /// Makes the leader of term 1 take the first announcement of a worker.
    auto accept(std::string const& id) -> void
    {
        intake.take(announcement(id, 1), now);
        round(first);
    }

    static auto life(std::string const& id) -> worker_instance
    {
        return {worker_id{id}, worker_incarnation{1}};
    }

    /// A worker drains and leaves.
    auto leave(std::string const& id) -> void
    {
        auto it = announcement(id, 1);
        it.phase = worker_phase::draining;
        intake.take(it, now);
        it.phase = worker_phase::left;
        it.instance.incarnation = {};
        intake.take(it, now);
    }

    /// The lives whose departures a round tells the leader of `in_term`.
    auto departures(term in_term) -> std::vector<worker_instance>
    {
        round(in_term);
        return sent_departures();
    }

    [[nodiscard]] auto sent_departures() const -> std::vector<worker_instance>
    {
        std::vector<worker_instance> out;
        for (auto const& call : calls)
        {
            for (auto const& it : call.batch.announcements)
            {
                if (it.value.phase == worker_phase::left)
                {
                    out.push_back(it.value.instance);
                }
            }
        }
        return out;
    }

    static constexpr term first{1};
    static constexpr term second{2};
    static constexpr term third{3};
    time_point now{seconds{100}};
    announcement_intake intake;
    std::vector<intake_call> calls;
};

// A cold worker counts down in each announcement: to forward each one would
// cost the leader a call per worker and second. Another warm-up is news.
TEST_F(announcement_intake_test, forwards_a_new_warm_up_and_no_countdown)
{
    auto it = announcement("w", 1);
    it.warm_up = seconds{20};
    intake.take(it, now);
    round(first);
    auto number = std::uint64_t{2};
    for (; number <= 30; ++number)
    {
        now += seconds{1};
        it = announcement("w", number);
        it.warm_up =
            std::max(milliseconds{seconds{21}} - milliseconds{1000 * number},
                     milliseconds{0});
        EXPECT_EQ(intake.take(it, now).reason, intake_reason::renewed)
            << number;
        round(first);
    }
    now += seconds{1};
    it = announcement("w", number);
    it.warm_up = seconds{20};
    EXPECT_EQ(intake.take(it, now).reason, intake_reason::forwarded);
}

// A renewal that waited for the leader would cost it one call per worker and
// second.
TEST_F(announcement_intake_test, acknowledges_a_renewal_at_once)
{
    auto const taken = intake.take(announcement("w", 1), now);
    EXPECT_EQ(taken.reason, intake_reason::forwarded);
    ASSERT_TRUE(taken.ticket);
    EXPECT_EQ(round(first), std::vector{*taken.ticket});
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements.size(), 1U);

    now += milliseconds{1100};
    auto const renewed = intake.take(announcement("w", 2), now);
    EXPECT_EQ(renewed.reason, intake_reason::renewed);
    EXPECT_FALSE(renewed.ticket);
    now += milliseconds{150};
    round(first);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_TRUE(calls[0].batch.announcements.empty());
    ASSERT_EQ(calls[0].batch.contacts.size(), 1U);
    auto const& contact = calls[0].batch.contacts[0];
    EXPECT_EQ(contact.number, sequence{2});
    EXPECT_EQ(contact.described, sequence{1});
    EXPECT_EQ(contact.clock, worker_clock{2000});
    EXPECT_EQ(contact.age, milliseconds{150});
    round(first);
    EXPECT_TRUE(calls[0].batch.contacts.empty());
}

// The acknowledgement of a draining worker promises that the leader sends it
// no more tasks.
TEST_F(announcement_intake_test, acknowledges_draining_only_after_the_leader)
{
    accept("w");
    for (auto number : {2U, 3U})
    {
        auto draining = announcement("w", number);
        draining.phase = worker_phase::draining;
        auto const taken = intake.take(draining, now);
        EXPECT_EQ(taken.reason, intake_reason::forwarded);
        ASSERT_TRUE(taken.ticket);
        auto const lost = intake.next_calls(now);
        intake.on_no_answer(lost[0]);
        EXPECT_EQ(round(first), std::vector{*taken.ticket});
        ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
        EXPECT_EQ(calls[0].batch.announcements[0].value.phase,
                  worker_phase::draining);
    }
}

// An answer to an announcement from before the worker drained must not
// acknowledge its draining.
TEST_F(announcement_intake_test, an_earlier_answer_does_not_cover_draining)
{
    intake.take(announcement("w", 1), now);
    auto const earlier = intake.next_calls(now);
    auto draining = announcement("w", 2);
    draining.phase = worker_phase::draining;
    auto const taken = intake.take(draining, now);
    ASSERT_TRUE(taken.ticket);
    auto const answered = intake.on_answer(earlier[0], {first, {}, {}});
    EXPECT_TRUE(std::ranges::all_of(answered, [&](intake_ticket const& it)
                                    { return it < *taken.ticket; }));
    EXPECT_EQ(round(first), std::vector{*taken.ticket});
    EXPECT_EQ(calls[0].batch.announcements.size(), 1U);
}

// A worker that leaves may end once it is acknowledged. Its earlier
// announcements must not reach a new leader.
TEST_F(announcement_intake_test, acknowledges_a_departure_only_after_the_leader)
{
    accept("w");
    auto leaving = announcement("w", 0);
    leaving.phase = worker_phase::left;
    auto const taken = intake.take(leaving, now);
    ASSERT_TRUE(taken.ticket);
    EXPECT_EQ(round(first), std::vector{*taken.ticket});
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.phase, worker_phase::left);
    intake.on_leader(second);
    EXPECT_TRUE(intake.next_calls(now).empty());
}

// The request of a departure names no life of the worker. One that was held up
// must not be taken for that of the next life, which has not drained.
TEST_F(announcement_intake_test, names_the_life_that_has_drained_in_a_departure)
{
    for (auto const phase : {worker_phase::ready, worker_phase::draining})
    {
        auto known = announcement("w", 1);
        known.instance.incarnation = worker_incarnation{5};
        known.phase = phase;
        intake.take(known, now);
        worker_announcement leaving;
        leaving.instance.id = worker_id{"w"};
        leaving.phase = worker_phase::left;
        intake.take(leaving, now);
        auto const sent = intake.next_calls(now);
        auto const& announcements = sent.at(0).batch.announcements;
        ASSERT_EQ(announcements.size(), 1U);
        EXPECT_EQ(announcements[0].value.phase, worker_phase::left);
        EXPECT_EQ(announcements[0].value.instance.incarnation,
                  worker_incarnation{phase == worker_phase::draining ? 5 : 0});
        (void)intake.on_answer(sent[0], {first, {}, {}});
    }
}

// A worker that left while there was no leader, or whose leader died before it
// recorded the ends, would hold its tasks for a lease under the next one.
TEST_F(announcement_intake_test, tells_each_new_leader_who_has_left)
{
    leave("w");
    (void)intake.next_calls(now);
    now += seconds{3};
    intake.on_leader(first);
    EXPECT_EQ(departures(first), std::vector{life("w")});
    EXPECT_TRUE(departures(first).empty());
    now += seconds{5};
    intake.on_leader(second);
    EXPECT_EQ(departures(second), std::vector{life("w")});
    now += announcement_intake::taken_departure_retention;
    EXPECT_TRUE(departures(third).empty());
}

// Memory, and the calls to a new leader, must not grow with each worker that
// has left.
TEST_F(announcement_intake_test, bounds_the_departures_that_it_keeps)
{
    for (auto n = 0U; n < 2 * announcement_intake::max_kept_departures; ++n)
    {
        leave("w" + std::to_string(n));
        now += milliseconds{1};
    }
    now += announcement_intake::acknowledgement_timeout;
    auto const kept = departures(first);
    EXPECT_EQ(kept.size(), announcement_intake::max_kept_departures);
    EXPECT_EQ(std::ranges::count(kept, life("w0")), 0);
    leave("w");
    now += announcement_intake::departure_retention;
    EXPECT_TRUE(departures(first).empty());
}

// A new leader would wait a lease for the workers of those it was not told of.
TEST_F(announcement_intake_test, keeps_departures_that_no_leader_has_taken)
{
    leave("z");
    now += milliseconds{1};
    for (auto n = 0U; n < announcement_intake::max_kept_departures; ++n)
    {
        leave("w" + std::to_string(n));
    }
    auto const told = intake.next_calls(now);
    ASSERT_EQ(told.size(), 2U);
    (void)intake.on_answer(told[0], {first, {}, {}});
    now += announcement_intake::acknowledgement_timeout;
    EXPECT_EQ(std::ranges::count(departures(second), life("z")), 1);
}

// Its next departure, which may be of a life that drained elsewhere, must not
// be taken for that of the life which left before.
TEST_F(announcement_intake_test, names_no_earlier_life_in_a_later_departure)
{
    leave("w");
    now += announcement_intake::acknowledgement_timeout;
    auto leaving = announcement("w", 0);
    leaving.phase = worker_phase::left;
    auto const taken = intake.take(leaving, now);
    ASSERT_TRUE(taken.ticket);
    auto const acknowledged = round(first);
    EXPECT_EQ(std::ranges::count(acknowledged, *taken.ticket), 1);
    EXPECT_EQ(sent_departures(),
              (std::vector{worker_instance{worker_id{"w"}, {}}, life("w")}));
}

// A departure that is sent much later could end the next life of the worker.
TEST_F(announcement_intake_test, gives_up_a_departure_with_its_acknowledgement)
{
    auto leaving = announcement("w", 0);
    leaving.phase = worker_phase::left;
    intake.take(leaving, now);
    now += announcement_intake::acknowledgement_timeout;
    EXPECT_TRUE(intake.next_calls(now).empty());
}

// Behind a cut nobody else hears from the worker, which has to call a process
// that reaches the leader.
TEST_F(announcement_intake_test, acknowledges_nothing_at_once_without_a_leader)
{
    accept("w");
    now += config::leader_timeout;
    auto const taken = intake.take(announcement("w", 2), now);
    EXPECT_EQ(taken.reason, intake_reason::waiting);
    ASSERT_TRUE(taken.ticket);
    intake.on_no_answer(intake.next_calls(now)[0]);
    now += milliseconds{300};
    EXPECT_EQ(round(first), std::vector{*taken.ticket});
    ASSERT_EQ(calls[0].batch.contacts.size(), 1U);
    EXPECT_EQ(calls[0].batch.contacts[0].age, milliseconds{300});
    EXPECT_EQ(intake.take(announcement("w", 3), now).reason,
              intake_reason::renewed);
}

// An answer counts from when its call was sent: one that took long shows
// nothing about the leader now.
TEST_F(announcement_intake_test, a_slow_answer_does_not_renew_the_contact)
{
    accept("w");
    auto const slow = intake.next_calls(now);
    now += config::leader_timeout;
    (void)intake.on_answer(slow[0], {first, {}, {}});
    EXPECT_FALSE(intake.is_in_contact(now));
}

// A new leader that waited for each worker would know none for a second.
TEST_F(announcement_intake_test, gives_all_announcements_to_a_new_leader)
{
    constexpr auto workers = 150U;
    for (auto n = 0U; n < workers; ++n)
    {
        intake.take(announcement("w" + std::to_string(n), 1), now);
    }
    round(first);
    now += milliseconds{500};
    for (auto n = 0U; n < workers; ++n)
    {
        intake.take(announcement("w" + std::to_string(n), 2), now);
    }
    intake.on_leader(second);
    EXPECT_FALSE(intake.is_in_contact(now));
    now += milliseconds{40};
    round(second);
    std::size_t known{0};
    for (auto const& call : calls)
    {
        auto const& batch = call.batch;
        EXPECT_LE(batch.announcements.size(),
                  announcement_intake::max_announcements_per_call);
        EXPECT_TRUE(batch.contacts.empty());
        known += batch.announcements.size();
        for (auto const& it : batch.announcements)
        {
            EXPECT_EQ(it.value.number, sequence{2});
            EXPECT_EQ(it.age, milliseconds{40});
        }
    }
    EXPECT_EQ(known, workers);
    EXPECT_EQ(calls.size(), 3U);
}

// A large fleet must not reach a new leader as one burst of messages.
TEST_F(announcement_intake_test, bounds_the_calls_of_one_round)
{
    constexpr auto bound = announcement_intake::max_announcements_per_call *
                           announcement_intake::max_calls_per_round;
    for (auto n = 0U; n < bound + 10; ++n)
    {
        intake.take(announcement("w" + std::to_string(n), 1), now);
    }
    EXPECT_EQ(round(first).size(), bound);
    EXPECT_EQ(calls.size(), announcement_intake::max_calls_per_round);
    EXPECT_EQ(round(first).size(), 10U);
}

// Workers that drain are given in full with each announcement; a worker behind
// more of them than fit into a round would never be heard of.
TEST_F(announcement_intake_test, leaves_no_worker_out_for_good)
{
    constexpr auto bound = announcement_intake::max_announcements_per_call *
                           announcement_intake::max_calls_per_round;
    auto const drain_all = [&](std::uint64_t number)
    {
        for (auto n = 0U; n < bound + 10; ++n)
        {
            auto it = announcement("d" + std::to_string(n), number);
            it.phase = worker_phase::draining;
            intake.take(it, now);
        }
    };
    auto const is_named = [&](std::string const& id)
    {
        return std::ranges::any_of(
            calls,
            [&](intake_call const& call)
            {
                return std::ranges::any_of(
                    call.batch.announcements, [&](auto const& it)
                    { return it.value.instance.id == worker_id{id}; });
            });
    };
    intake.take(announcement("w", 1), now);
    drain_all(1);
    round(first);
    ASSERT_FALSE(is_named("w"));
    drain_all(2);
    round(first);
    EXPECT_TRUE(is_named("w"));
}

// The tail of a large fleet would count as silent.
TEST_F(announcement_intake_test, leaves_no_contact_out_for_good)
{
    constexpr auto workers = announcement_intake::max_contacts_per_call + 10;
    auto const announce_all = [&](std::uint64_t number)
    {
        for (auto n = 0U; n < workers; ++n)
        {
            intake.take(announcement("w" + std::to_string(n), number), now);
        }
    };
    announce_all(1);
    for (auto n = 0U; n < 6; ++n)
    {
        round(first);
    }
    std::set<worker_id> known;
    for (std::uint64_t number = 2; number < 4; ++number)
    {
        announce_all(number);
        round(first);
        for (auto const& it : calls.front().batch.contacts)
        {
            known.insert(it.instance.id);
        }
    }
    EXPECT_EQ(known.size(), workers);
}

// The notice of a new leader may be lost; its first answer shows its term.
TEST_F(announcement_intake_test, learns_of_a_new_leader_from_its_answer)
{
    accept("a");
    accept("b");
    intake.take(announcement("a", 2), now);
    round(second, {worker_id{"a"}});
    EXPECT_EQ(intake.leader_term(), second);
    round(second);
    EXPECT_EQ(calls[0].batch.announcements.size(), 2U);
}

// A late answer of the former leader shows nothing about the new one.
TEST_F(announcement_intake_test, ignores_the_answer_of_a_former_leader)
{
    intake.take(announcement("w", 1), now);
    auto const former = intake.next_calls(now);
    intake.on_leader(second);
    EXPECT_TRUE(intake.on_answer(former[0], {first, {}, {}}).empty());
    EXPECT_FALSE(intake.is_in_contact(now));
    EXPECT_EQ(intake.next_calls(now)[0].batch.announcements.size(), 1U);
}

// A worker that the leader does not know gets no tasks.
TEST_F(announcement_intake_test, sends_in_full_what_the_leader_does_not_know)
{
    accept("w");
    intake.take(announcement("w", 2), now);
    EXPECT_TRUE(round(first, {worker_id{"w"}}).empty());
    EXPECT_EQ(calls[0].batch.contacts.size(), 1U);
    round(first);
    EXPECT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_TRUE(calls[0].batch.contacts.empty());
}

// A change that is taken for a renewal never reaches the leader.
TEST_F(announcement_intake_test, forwards_what_has_changed)
{
    accept("w");
    auto moved = announcement("w", 2);
    moved.address = url{"http://elsewhere"};
    EXPECT_EQ(intake.take(moved, now).reason, intake_reason::forwarded);
    auto larger = announcement("w", 3);
    larger.capacity.cores = millicores{9000};
    EXPECT_EQ(intake.take(larger, now).reason, intake_reason::forwarded);
    auto restarted = announcement("w", 1);
    restarted.instance.incarnation = worker_incarnation{2};
    EXPECT_EQ(intake.take(restarted, now).reason, intake_reason::forwarded);
    round(first);
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.instance,
              restarted.instance);
}

// A delayed announcement must not bring back an earlier state, or an earlier
// life, of the worker.
TEST_F(announcement_intake_test, a_late_announcement_changes_nothing)
{
    accept("w");
    auto draining = announcement("w", 3);
    draining.phase = worker_phase::draining;
    intake.take(draining, now);
    round(first);
    EXPECT_EQ(intake.take(announcement("w", 2), now).reason,
              intake_reason::late);
    intake.on_leader(second);
    round(second);
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.phase,
              worker_phase::draining);

    auto restarted = announcement("w", 1);
    restarted.instance.incarnation = worker_incarnation{2};
    intake.take(restarted, now);
    EXPECT_EQ(intake.take(announcement("w", 9), now).reason,
              intake_reason::late);
    round(second);
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.instance,
              restarted.instance);
}

// A worker whose clock was set back before it came again was not passed on to
// the leader: all its announcements counted as late.
TEST_F(announcement_intake_test, passes_a_life_with_a_lower_number_on)
{
    auto former = announcement("w", 5);
    former.instance.incarnation = worker_incarnation{50'000};
    intake.take(former, now);
    round(first);
    auto next = announcement("w", 1);
    next.instance.incarnation = worker_incarnation{10'000};
    EXPECT_EQ(intake.take(next, now).reason, intake_reason::forwarded);
    round(first);
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.instance, next.instance);
    next.number = sequence{2};
    EXPECT_EQ(intake.take(next, now).reason, intake_reason::renewed);
    former.number = sequence{6};
    EXPECT_EQ(intake.take(former, now).reason, intake_reason::late);
    intake.on_leader(second);
    round(second);
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.instance, next.instance);
}

// A late announcement of a life whose clock was ahead made the living one a
// former one for as long as this process remembered it.
TEST_F(announcement_intake_test, a_life_that_goes_on_comes_back)
{
    auto living = announcement("w", 1);
    living.instance.incarnation = worker_incarnation{10'000};
    intake.take(living, now);
    round(first);
    auto late = announcement("w", 30);
    late.instance.incarnation = worker_incarnation{50'000};
    intake.take(late, now);
    round(first);
    living.number = sequence{2};
    EXPECT_EQ(intake.take(living, now).reason, intake_reason::late);
    living.number = sequence{3};
    EXPECT_EQ(intake.take(living, now).reason, intake_reason::forwarded);
    std::size_t sent = 0;
    for (std::uint64_t n = 0; n < 10; ++n)
    {
        round(first);
        sent += calls[0].batch.announcements.size();
        ++late.number;
        EXPECT_EQ(intake.take(late, now).reason, intake_reason::late);
        ++living.number;
        EXPECT_EQ(intake.take(living, now).reason, intake_reason::renewed);
    }
    EXPECT_EQ(sent, 1U);
}

// The leader never got the announcement that the worker drains, and placed
// tasks there after the acknowledgement.
TEST_F(announcement_intake_test, a_late_life_acknowledges_no_draining)
{
    auto draining = announcement("w", 3);
    draining.instance.incarnation = worker_incarnation{50'000};
    draining.phase = worker_phase::draining;
    intake.take(draining, now);
    auto late = announcement("w", 30);
    late.instance.incarnation = worker_incarnation{10'000};
    EXPECT_EQ(intake.take(late, now).reason, intake_reason::late);
    round(first);
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.instance,
              draining.instance);
    EXPECT_EQ(calls[0].batch.announcements[0].value.phase,
              worker_phase::draining);
}

// Of two processes, one may hold the former life only; a worker that drains
// must not be kept waiting.
TEST_F(announcement_intake_test, passes_the_draining_of_a_followed_life_on)
{
    auto living = announcement("w", 1);
    living.instance.incarnation = worker_incarnation{10'000};
    intake.take(living, now);
    auto late = announcement("w", 30);
    late.instance.incarnation = worker_incarnation{50'000};
    intake.take(late, now);
    round(first);
    living.number = sequence{2};
    living.phase = worker_phase::draining;
    EXPECT_EQ(intake.take(living, now).reason, intake_reason::forwarded);
    round(first);
    ASSERT_EQ(calls[0].batch.announcements.size(), 1U);
    EXPECT_EQ(calls[0].batch.announcements[0].value.instance, living.instance);
}

// A renewal was acknowledged, so a lost call must not lose it.
TEST_F(announcement_intake_test, repeats_contacts_that_got_no_answer)
{
    accept("w");
    intake.take(announcement("w", 2), now);
    intake.on_no_answer(intake.next_calls(now)[0]);
    now += milliseconds{400};
    round(first);
    ASSERT_EQ(calls[0].batch.contacts.size(), 1U);
    EXPECT_EQ(calls[0].batch.contacts[0].age, milliseconds{400});
}

// Memory must not grow with workers that went elsewhere.
TEST_F(announcement_intake_test, forgets_silent_workers)
{
    accept("w");
    now += config::worker_removal_delay;
    EXPECT_TRUE(intake.next_calls(now).empty());
    EXPECT_EQ(intake.size(), 0U);
}

// A control process that kept a worker which announces itself elsewhere would
// give a later leader an outdated announcement of it.
TEST_F(announcement_intake_test, forgets_a_worker_that_it_sends_elsewhere)
{
    intake_address const elsewhere{"10.0.0.1:7735"};
    accept("w");
    EXPECT_FALSE(intake.release_moved(worker_id{"w"}));
    intake.take(announcement("w", 2), now);
    calls = intake.next_calls(now);
    (void)intake.on_answer(calls[0],
                           {first, {}, {{worker_id{"w"}, elsewhere}}});
    EXPECT_EQ(intake.release_moved(worker_id{"w"}), elsewhere);
    EXPECT_EQ(intake.size(), 0U);
    EXPECT_FALSE(intake.release_moved(worker_id{"w"}));
    EXPECT_EQ(intake.take(announcement("w", 3), now).reason,
              intake_reason::forwarded);
}

// The acknowledgement of a worker that drains is repeated by the process that
// knows what the leader has taken.
TEST_F(announcement_intake_test, keeps_a_worker_that_drains)
{
    accept("w");
    auto draining = announcement("w", 2);
    draining.phase = worker_phase::draining;
    intake.take(draining, now);
    calls = intake.next_calls(now);
    (void)intake.on_answer(
        calls[0],
        {first, {}, {{worker_id{"w"}, intake_address{"10.0.0.1:7735"}}}});
    EXPECT_FALSE(intake.release_moved(worker_id{"w"}));
    EXPECT_EQ(intake.size(), 1U);
}

} // namespace
} // namespace apricotlb
