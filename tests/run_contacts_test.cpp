#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

class run_contacts : public testing::Test
{
protected:
    static auto announcement(std::string const& id, std::uint64_t number)
        -> worker_announcement
    {
        worker_announcement it;
        it.instance = {worker_id{id}, worker_incarnation{1}};
        it.address = url{"http://" + id};
        it.pool = pool_name{"pool"};
        it.capacity.cores = millicores{4000};
        it.clock = worker_clock{static_cast<std::int64_t>(number) * 1000};
        it.number = sequence{number};
        return it;
    }
    static auto contact(std::string const& id, std::uint64_t number,
                        milliseconds age = {}) -> worker_contact
    {
        auto const it = announcement(id, number);
        return {it.instance, it.number, sequence{1}, it.clock, age};
    }
    [[nodiscard]] auto entry(std::string const& id) const -> worker_entry const&
    {
        return scheduler.workers().at(worker_id{id});
    }
    auto tick() -> void
    {
        scheduler.tick(now);
        (void)scheduler.take_actions();
    }

    time_point now{seconds{100}};
    state_machine state;
    run_scheduler scheduler{state, term{1}, now, fleet_policy{seconds{10}}};
};

// Without contacts a worker counts as silent and gets no tasks.
TEST_F(run_contacts, keep_a_worker_in_contact)
{
    scheduler.on_announcement(announcement("w", 1), now);
    now += milliseconds{1100};
    EXPECT_TRUE(scheduler.on_contact(contact("w", 2, milliseconds{200}), now));
    EXPECT_EQ(entry("w").last_contact, now - milliseconds{200});
    EXPECT_EQ(entry("w").info->number, sequence{2});
    EXPECT_EQ(entry("w").info->clock, worker_clock{2000});
    now += config::worker_removal_delay - milliseconds{201};
    tick();
    EXPECT_EQ(scheduler.workers().size(), 1U);
}

// Contacts arrive through several processes and in any order.
TEST_F(run_contacts, never_move_the_last_contact_back)
{
    scheduler.on_announcement(announcement("w", 1), now);
    now += milliseconds{100};
    EXPECT_TRUE(scheduler.on_contact(contact("w", 3, seconds{2}), now));
    EXPECT_EQ(entry("w").last_contact, now - milliseconds{100});
    EXPECT_TRUE(scheduler.on_contact(contact("w", 2), now));
    EXPECT_EQ(entry("w").info->number, sequence{3});
    EXPECT_EQ(entry("w").last_contact, now - milliseconds{100});
    scheduler.on_announcement(announcement("w", 4), now, seconds{3});
    EXPECT_EQ(entry("w").last_contact, now - milliseconds{100});
}

// The lease counts on a lower bound of the worker's clock. A sample that took
// long is one, since that clock has only run on; it must neither lower the
// bound nor let the leader take the lease for over while it lasts.
TEST_F(run_contacts, late_samples_keep_the_bound_of_the_lease)
{
    scheduler.on_announcement(announcement("w", 1), now);
    // The worker's clock shows 2000 now, and 2300 when the contact arrives.
    now += seconds{1};
    auto const read_at = now;
    now += milliseconds{300};
    EXPECT_TRUE(scheduler.on_contact(contact("w", 2, milliseconds{300}), now));
    auto lease = entry("w").lease;
    auto const end = lease.grant(now, seconds{10});
    EXPECT_LE(end, worker_clock{2300 + 10'000});
    EXPECT_GE(end, worker_clock{1000 + 1274 + 10'000});
    auto const ends_there =
        read_at + milliseconds{(end - worker_clock{2000}).value()};
    EXPECT_GE(lease.latest_end(), ends_there);
}

// A poll about an announced life carries the token of the known one, so that
// its answer says nothing about which orders the new life refuses; it counted
// as the answer to the poll that was open.
TEST_F(run_contacts, of_a_claim_do_not_answer_the_poll_of_the_life_that_came)
{
    scheduler.on_announcement(announcement("w", 5), now);
    auto const polls = [&]
    {
        std::vector<poll_order> out;
        for (auto const& each : scheduler.take_actions())
        {
            if (auto const* const it = std::get_if<poll_order>(&each))
            {
                out.push_back(*it);
            }
        }
        return out;
    };
    scheduler.tick(now);
    auto const of_known = polls();
    ASSERT_EQ(of_known.size(), 1U);

    now += milliseconds{100};
    auto next = announcement("w", 1);
    next.instance.incarnation = worker_incarnation{-7};
    scheduler.on_announcement(next, now);
    auto const of_claim = polls();
    ASSERT_EQ(of_claim.size(), 1U);
    EXPECT_EQ(of_claim.front().to.instance, next.instance);

    now += milliseconds{10};
    poll_answer answer;
    answer.outcome = order_outcome::done;
    answer.lists.incarnation = next.instance.incarnation;
    answer.lists.clock = next.clock;
    scheduler.on_answer(of_known.front(), answer, now);
    EXPECT_EQ(entry("w").incarnation, next.instance.incarnation);
    now += config::poll_retry_delay;
    scheduler.tick(now);
    EXPECT_TRUE(entry("w").poll_in_flight);
    auto const of_next = polls();
    ASSERT_EQ(of_next.size(), 1U);
    EXPECT_NE(of_next.front().to.fence, of_claim.front().to.fence);

    now += milliseconds{10};
    scheduler.on_answer(of_claim.front(), answer, now);
    EXPECT_TRUE(entry("w").poll_in_flight);
    EXPECT_FALSE(entry("w").is_listed);
    EXPECT_TRUE(polls().empty());
    scheduler.on_answer(of_next.front(), answer, now);
    EXPECT_TRUE(entry("w").is_listed);
}

// The sender then gives the full announcement.
TEST_F(run_contacts, of_unknown_workers_change_nothing)
{
    EXPECT_FALSE(scheduler.on_contact(contact("w", 2), now));
    EXPECT_TRUE(scheduler.workers().empty());
    scheduler.on_announcement(announcement("w", 1), now);
    auto other = contact("w", 2);
    other.instance.incarnation = worker_incarnation{2};
    EXPECT_FALSE(scheduler.on_contact(other, now));
    EXPECT_EQ(entry("w").info->number, sequence{1});
    EXPECT_EQ(entry("w").incarnation, worker_incarnation{1});
}

// Two processes may hold different descriptions of a worker; a contact that
// repeats the older one must not pass for the newer.
TEST_F(run_contacts, of_another_description_need_the_full_announcement)
{
    scheduler.on_announcement(announcement("w", 1), now);
    scheduler.on_announcement(announcement("w", 5), now);
    EXPECT_FALSE(scheduler.on_contact(contact("w", 6), now));
    scheduler.on_announcement(announcement("w", 6), now);
    auto next = contact("w", 7);
    next.described = sequence{6};
    EXPECT_TRUE(scheduler.on_contact(next, now));
}

// A worker that has left runs nothing more; orders to it stay unanswered.
TEST_F(run_contacts, do_not_bring_back_a_worker_that_left)
{
    scheduler.on_announcement(announcement("w", 1), now);
    auto leaving = announcement("w", 0);
    leaving.phase = worker_phase::left;
    scheduler.on_announcement(leaving, now);
    scheduler.on_contact(contact("w", 2), now);
    EXPECT_TRUE(entry("w").incarnation_ended);
    tick();
    EXPECT_TRUE(scheduler.workers().empty());
    EXPECT_FALSE(scheduler.on_contact(contact("w", 3), now));
    scheduler.on_announcement(announcement("w", 3), now);
    EXPECT_TRUE(scheduler.workers().empty());

    auto restarted = announcement("w", 1);
    restarted.instance.incarnation = worker_incarnation{2};
    scheduler.on_announcement(restarted, now);
    EXPECT_EQ(scheduler.workers().size(), 1U);
}

// Its clock was set back before it came again: it was refused for a minute, as
// if its announcements were late ones.
TEST_F(run_contacts, bring_back_a_worker_that_left_with_a_lower_number)
{
    auto former = announcement("w", 1);
    former.instance.incarnation = worker_incarnation{50'000};
    scheduler.on_announcement(former, now);
    worker_announcement left;
    left.instance = former.instance;
    left.phase = worker_phase::left;
    scheduler.on_announcement(left, now);
    tick();
    ASSERT_TRUE(scheduler.workers().empty());
    auto next = announcement("w", 1);
    next.instance.incarnation = worker_incarnation{10'000};
    scheduler.on_announcement(next, now);
    ASSERT_EQ(scheduler.workers().size(), 1U);
    ++former.number;
    scheduler.on_announcement(former, now);
    EXPECT_EQ(entry("w").incarnation, worker_incarnation{10'000});
}

// A departure that waited in a frozen process ended the next life of a worker
// that was restarted under its id: its runs started elsewhere beside
// themselves, and the worker was ignored for a minute.
TEST_F(run_contacts, a_late_departure_does_not_end_the_next_life)
{
    auto drained = announcement("w", 2);
    drained.phase = worker_phase::draining;
    scheduler.on_announcement(drained, now);
    auto restarted = announcement("w", 1);
    restarted.instance.incarnation = worker_incarnation{2};
    scheduler.on_announcement(restarted, now);

    worker_announcement left;
    left.phase = worker_phase::left;
    for (auto const life : {0, 1})
    {
        left.instance = {worker_id{"w"}, worker_incarnation{life}};
        EXPECT_FALSE(scheduler.on_announcement(left, now)) << life;
        EXPECT_FALSE(entry("w").incarnation_ended) << life;
    }
    restarted.number = sequence{2};
    scheduler.on_announcement(restarted, now);
    EXPECT_EQ(entry("w").info->number, sequence{2});
}

// A worker may leave through a process that does not know it, when its own one
// does not answer.
TEST_F(run_contacts, a_departure_without_a_life_ends_one_that_drains)
{
    auto drained = announcement("w", 1);
    drained.phase = worker_phase::draining;
    scheduler.on_announcement(drained, now);
    worker_announcement left;
    left.instance.id = worker_id{"w"};
    left.phase = worker_phase::left;
    EXPECT_TRUE(scheduler.on_announcement(left, now));
    EXPECT_TRUE(entry("w").incarnation_ended);
}

// An incarnation that another address has proved over stays over.
TEST_F(run_contacts, do_not_bring_back_an_ended_incarnation)
{
    scheduler.on_announcement(announcement("w", 1), now);
    auto successor = announcement("v", 1);
    successor.instance.incarnation = worker_incarnation{2};
    successor.address = url{"http://w"};
    scheduler.on_announcement(successor, now);
    ASSERT_TRUE(entry("w").incarnation_ended);
    scheduler.on_contact(contact("w", 2), now);
    EXPECT_TRUE(entry("w").incarnation_ended);
    EXPECT_EQ(entry("w").info->number, sequence{1});
}

// A new leader may receive the last announcement of a worker that crashed
// after the one of its successor at the same address.
TEST_F(run_contacts, an_old_announcement_does_not_end_the_successor)
{
    auto successor = announcement("v", 1);
    successor.address = url{"http://w"};
    scheduler.on_announcement(successor, now, milliseconds{300});
    scheduler.on_announcement(announcement("w", 9), now, seconds{20});
    EXPECT_FALSE(entry("v").incarnation_ended);
}

// An announcement of another writer under a good worker's address ended the
// runs of that worker, which were then started twice.
TEST(run_contacts_address,
     stays_with_its_worker_when_no_contract_names_the_pool)
{
    fake_fleet fleet{40};
    fleet.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{20}}, "done", 1000};
    };
    fleet.add_worker("w1", 4000);
    fleet.add_worker("w2", 4000);
    ASSERT_TRUE(fleet.run_until_known("w2"));
    fleet.submit("a", {fake_fleet::step(4)});
    fleet.run(seconds{3});
    auto const before = fleet.starts;
    auto odd = fleet.announcement_of("w1");
    odd.instance = {worker_id{"odd"}, worker_incarnation{9000}};
    odd.pool = pool_name{"nowhere"};
    for (auto n = 0; n < 5; ++n)
    {
        odd.number = sequence{9000U + static_cast<std::uint64_t>(n)};
        fleet.leader->on_announcement(odd, fleet.now);
        fleet.run(seconds{1});
    }
    EXPECT_EQ(fleet.starts, before);
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
}

// A smaller bound would hide what the one that ends runs rests on.
TEST(worker_lease, keeps_the_cause_of_the_latest_end)
{
    using enum lease_bound_cause;
    worker_entry it;
    EXPECT_FALSE(it.report_lease(time_point{}).bound_age);
    it.lease.assume_until(time_point{seconds{5}}, inherited);
    it.lease.assume_until(time_point{seconds{3}}, late_order);
    it.begin_incarnation(worker_incarnation{2}, life_number{1});
    EXPECT_EQ(it.lease.cause(), inherited);
    EXPECT_EQ(it.report_lease(time_point{seconds{6}}).bound_age, seconds{1});
    it.lease.assume_until(time_point{seconds{9}}, late_order);
    EXPECT_EQ(it.lease.cause(), late_order);
}

} // namespace
} // namespace apricotlb
