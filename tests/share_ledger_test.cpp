#include "core/leader/fair_targets.hpp"
#include "core/leader/share_ledger.hpp"
#include "share_history.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

using namespace share_history;

/// Fault: takes a lowered share for released as soon as it was lowered.
class hasty_ledger : public share_ledger
{
public:
    using share_ledger::share_ledger;

    auto on_heartbeat(entry_heartbeat it, time_point now)
        -> std::optional<std::vector<share>>
    {
        it.held.clear();
        it.applied = sequence{UINT64_MAX};
        return share_ledger::on_heartbeat(it, now);
    }
};

/// Fault: grants at once after an election.
class unsettled_ledger : public share_ledger
{
public:
    unsettled_ledger(term of, time_point now) : share_ledger(of, now - lease) {}
};

/// Fault: counts a lowered grant as applied when a heartbeat does not show
/// more as held, although the higher grant is still under way.
class late_answer_ledger : public share_ledger
{
public:
    using share_ledger::share_ledger;

    auto on_heartbeat(entry_heartbeat it, time_point now)
        -> std::optional<std::vector<share>>
    {
        it.applied = it.number;
        return share_ledger::on_heartbeat(it, now);
    }
};

/// Random histories of a ledger until one breaks the bound. Trials found each
/// fault within fewer histories than the tests run.
template <class Ledger>
auto first_fault(int runs, bool careful = true) -> std::string
{
    for (auto n = 0; n < runs; ++n)
    {
        choices pick{static_cast<std::uint32_t>(n)};
        steps drawn(500);
        std::ranges::generate(drawn, [&] { return pick.below(1U << 24U); });
        if (auto broken = run_history<Ledger>(drawn, careful); !broken.empty())
        {
            return broken;
        }
    }
    return {};
}

// Guards the capacity of a backend server: entries must never hold more
// slots than it has, whatever happens to messages, entries and leaders.
TEST(share_ledger, never_lets_entries_hold_more_than_the_slots)
{
    check_property(4, 300, 500,
                   [](steps const& drawn)
                   { RC_ASSERT(run_history<share_ledger>(drawn) == ""); });
}

// The property must notice a ledger with a fault, or it proves nothing.
TEST(share_ledger, the_property_finds_seeded_faults)
{
    EXPECT_EQ(first_fault<share_ledger>(2000), "");
    EXPECT_NE(first_fault<hasty_ledger>(2000), "");
    EXPECT_NE(first_fault<unsettled_ledger>(2000), "");
    // Entries that renew on the answer to a heartbeat sent before an election.
    EXPECT_NE(first_fault<share_ledger>(2000, false), "");
    EXPECT_NE(first_fault<late_answer_ledger>(2000), "");
}

// Max-min fairness must not give a small demand less than it asks for while
// a large one gets more.
TEST(fair_targets, serves_small_demands_first_and_idle_entries_last)
{
    auto const divide =
        [](std::vector<std::int32_t> const& wanted, std::int32_t slots)
    {
        std::vector<slot_demand> demand;
        demand.reserve(wanted.size());
        for (auto const n : wanted)
        {
            demand.push_back({slot_count{n}, n > 1});
        }
        std::vector<std::int32_t> got;
        for (auto const n : fair_targets(demand, slot_count{slots}))
        {
            got.push_back(n.value());
        }
        return got;
    };
    using list = std::vector<std::int32_t>;
    EXPECT_EQ(divide({2, 50, 50}, 20), (list{2, 9, 9}));
    EXPECT_EQ(divide({1, 5, 5}, 2), (list{0, 1, 1}));
    EXPECT_EQ(divide({3, 4}, 100), (list{3, 4}));
    EXPECT_EQ(divide({5, 5}, 0), (list{0, 0}));
}

/// A ledger with entries that exchange heartbeats without loss.
class steady
{
public:
    explicit steady(std::size_t n, std::int32_t backends = 4)
        : ledger(term{1}, elected)
    {
        for (std::size_t it = 0; it < n; ++it)
        {
            entries.emplace_back("e" + std::to_string(it), config::entry_lease);
            demand.push_back(0);
        }
        for (auto it = 0; it < backends; ++it)
        {
            ledger.set_backend(backend_of("b" + std::to_string(it), 8,
                                          "z" + std::to_string(it % 2)));
        }
        rounds(10);
    }

    auto rounds(int n) -> void
    {
        for (; n > 0; --n)
        {
            now += config::heartbeat_interval;
            for (std::size_t it = 0; it < entries.size(); ++it)
            {
                beat(it);
            }
        }
    }

    auto beat(std::size_t n) -> std::vector<share>
    {
        auto const sent = entries[n].beat(now, demand[n]);
        auto shares = ledger.on_heartbeat(sent, now).value();
        entries[n].apply(term{1}, sent.session.run, sent.number, shares, now);
        return shares;
    }

    auto slots(std::size_t n) -> std::int32_t
    {
        return ledger
            .granted(node_id{"e" + std::to_string(n)}, customer, orders)
            .value();
    }

    share_ledger ledger;
    std::vector<model_entry> entries;
    std::vector<std::int64_t> demand;
    time_point now{elected};
};

// An idle entry without a slot would delay the first request of a service by
// a round trip to the leader.
TEST(share_ledger, keeps_a_slot_on_idle_entries)
{
    steady it{3};
    it.demand[0] = 100;
    it.rounds(4);
    EXPECT_EQ(it.slots(0), 30);
    EXPECT_EQ(it.slots(1), 1);
    EXPECT_EQ(it.slots(2), 1);
}

// An entry whose demand rises while others hold everything must get its part
// within a few heartbeats.
TEST(share_ledger, moves_slots_to_new_demand_within_four_heartbeats)
{
    steady it{2};
    it.demand = {100, 0};
    it.rounds(4);
    it.demand = {100, 100};
    it.rounds(4);
    EXPECT_EQ(it.slots(0), 16);
    EXPECT_EQ(it.slots(1), 16);
}

// Slots that move back and forth with small changes of demand would make
// entries wait for them again and again.
TEST(share_ledger, small_changes_of_demand_move_nothing)
{
    steady it{2};
    it.demand = {20, 20};
    it.rounds(20);
    auto const before = it.slots(0);
    for (auto n = 0; n < 40; ++n)
    {
        it.demand = {20 - n % 3, 18 + n % 3};
        it.rounds(1);
        EXPECT_EQ(it.slots(0), before);
    }
}

// Requests that cross zones without need are slow and costly.
TEST(share_ledger, prefers_the_entrys_zone)
{
    steady it{1};
    it.demand[0] = 10;
    it.rounds(2);
    for (auto const& share : it.beat(0))
    {
        EXPECT_TRUE(share.backend == backend_id{"b0"} ||
                    share.backend == backend_id{"b2"});
    }
}

// A backend server that vanished, or an entry that drains, must give its
// slots back; what is in use counts until it is reported released.
TEST(share_ledger, takes_slots_back_and_counts_those_in_use)
{
    steady it{2, 1};
    it.demand = {8, 0};
    it.rounds(4);
    auto const b0 = backend_id{"b0"};
    it.entries[0].use(b0, 5, it.now);
    it.ledger.remove_backend(b0);
    it.rounds(2);
    EXPECT_EQ(it.slots(0), 0);
    EXPECT_EQ(it.ledger.committed(b0), slot_count{5});
    it.ledger.set_backend(backend_of("b0", 8));
    it.demand = {0, 100};
    it.rounds(1);
    EXPECT_LE(it.slots(1), 3);
    it.entries[0].use(b0, 0, it.now);
    it.rounds(20);
    EXPECT_EQ(it.slots(1), 7);
}

// After an election entries must keep the shares that they hold, and get no
// others until those of silent entries have ended.
TEST(share_ledger, a_new_leader_renews_what_is_held_and_grants_nothing_new)
{
    share_ledger it{term{2}, elected};
    entry_heartbeat beat;
    beat.session = {node_id{"e0"}, incarnation{1}};
    beat.number = sequence{7};
    beat.held = {{backend_id{"b0"}, slot_count{3}, connection_count{24}}};
    beat.demand = {{customer, orders, request_count{50}, request_count{0}}};
    EXPECT_EQ(it.on_heartbeat(beat, elected), beat.held);
    EXPECT_EQ(it.on_heartbeat(beat, elected), std::nullopt);
    it.set_backend(backend_of("b0", 8));
    beat.applied = sequence{7};
    beat.applied_term = term{2};
    beat.number = sequence{8};
    EXPECT_EQ(it.on_heartbeat(beat, settled - 1us), beat.held);
    beat.number = sequence{9};
    EXPECT_EQ(total(it.on_heartbeat(beat, settled).value()), 8);
}

// An entry whose clock was set back before it started again got no answer until
// the lease of its former life had ended, and a late heartbeat of a former life
// must not take the shares of the living one.
TEST(share_ledger, lives_of_an_entry_may_go_up_and_down)
{
    share_ledger it{term{2}, elected};
    it.set_backend(backend_of("b0", 8));
    it.set_backend(backend_of("b1", 4));
    entry_heartbeat beat;
    beat.applied_term = term{2};
    auto now = settled;
    auto const send = [&](std::uint64_t run, std::uint64_t number,
                          std::int64_t demand) -> std::optional<std::int32_t>
    {
        beat.session = {node_id{"e0"}, incarnation{run}};
        beat.number = sequence{number};
        beat.demand = {
            {customer, orders, request_count{demand}, request_count{0}}};
        auto const shares = it.on_heartbeat(beat, now);
        return shares ? std::optional{total(*shares)} : std::nullopt;
    };
    auto const committed = [&it]
    {
        return it.committed(backend_id{"b0"}).value() +
               it.committed(backend_id{"b1"}).value();
    };
    auto const first = send(9, 50, 6);
    ASSERT_TRUE(first);
    auto const lower = send(3, 1, 50);
    ASSERT_TRUE(lower);
    // What the former life holds counts until its lease has ended.
    EXPECT_EQ(*lower, 12 - *first);
    EXPECT_EQ(committed(), 12);
    EXPECT_EQ(send(9, 51, 6), std::nullopt);
    now += lease;
    EXPECT_EQ(send(3, 2, 50), 12);
    // A higher number replaces at once.
    EXPECT_EQ(send(6, 1, 50), 12);
    EXPECT_EQ(send(3, 3, 50), std::nullopt);
    EXPECT_EQ(send(9, 52, 50), std::nullopt);
    EXPECT_EQ(send(6, 2, 50), 12);
    EXPECT_EQ(committed(), 12);
}

} // namespace
} // namespace apricotlb
