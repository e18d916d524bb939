#include "core/fleet/relay_table.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace apricotlb
{
namespace
{

constexpr time_point start{seconds{100}};

auto relay(int n) -> node_id
{
    return node_id{"r" + std::to_string(n)};
}
auto worker(std::size_t n) -> worker_id
{
    return worker_id{"w" + std::to_string(n)};
}
zone_id const near{"near"};
zone_id const far{"far"};

// Orders between zones cost bytes and time.
TEST(relay_table, prefers_a_relay_in_the_zone_of_the_worker)
{
    relay_table it;
    it.on_contact(relay(0), far, start);
    it.on_contact(relay(1), near, start);
    for (std::size_t n = 0; n < 3 * config::workers_per_relay; ++n)
    {
        EXPECT_EQ(it.relay_for(worker(n), near, start), relay(1));
    }
    EXPECT_EQ(it.relay_for(worker(100), far, start), relay(0));
}

// A zone without entry processes would fall back to the leader's own requests.
TEST(relay_table, uses_relays_of_other_zones_for_a_zone_without_one)
{
    relay_table it;
    it.on_contact(relay(0), far, start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(0));
}

// Each change of the relay opens new connections to the worker.
TEST(relay_table, keeps_the_relay_of_a_worker_while_it_is_live)
{
    relay_table it;
    it.on_contact(relay(0), far, start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(0));
    it.on_contact(relay(1), near, start);
    auto now = start;
    for (auto n = 0; n < 10; ++n)
    {
        now += config::relay_timeout - milliseconds{1};
        it.on_contact(relay(0), far, now);
        EXPECT_EQ(it.relay_for(worker(0), near, now), relay(0));
    }
}

// Workers of a process that is gone would wait for a timeout each.
TEST(relay_table, releases_all_workers_of_a_silent_relay_at_once)
{
    relay_table it;
    it.on_contact(relay(0), near, start);
    for (std::size_t n = 0; n < 10; ++n)
    {
        EXPECT_EQ(it.relay_for(worker(n), near, start), relay(0));
    }
    auto const now = start + config::relay_timeout;
    it.on_contact(relay(1), near, now);
    EXPECT_EQ(it.relay_for(worker(0), near, now), relay(1));
    // Back in contact, it gets none of its former workers.
    it.on_contact(relay(0), near, now);
    for (std::size_t n = 0; n < 10; ++n)
    {
        EXPECT_EQ(it.relay_for(worker(n), near, now), relay(1)) << n;
    }
}

// A relay that answers pings and no orders would get its workers back at once.
TEST(relay_table, gives_a_suspended_relay_no_worker_until_its_time_is_over)
{
    relay_table it;
    it.on_contact(relay(0), near, start);
    it.on_contact(relay(1), far, start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(0));
    it.suspend(relay(0), start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(1));
    auto const end = start + config::relay_suspension;
    auto const before = end - milliseconds{1};
    it.on_contact(relay(0), near, before);
    it.on_contact(relay(1), far, before);
    EXPECT_EQ(it.relay_for(worker(1), near, before), relay(1));
    EXPECT_EQ(it.relay_for(worker(2), near, end), relay(0));
    it.suspend(relay(7), end);
}

// Each relay in use costs the leader messages of its own.
TEST(relay_table, uses_few_relays_while_they_have_room)
{
    relay_table it;
    for (auto n = 0; n < 10; ++n)
    {
        it.on_contact(relay(n), near, start);
    }
    std::set<node_id> used;
    for (std::size_t n = 0; n < config::workers_per_relay; ++n)
    {
        used.insert(*it.relay_for(worker(n), near, start));
    }
    EXPECT_EQ(used.size(), 1U);
    for (auto n = config::workers_per_relay; n < 3 * config::workers_per_relay;
         ++n)
    {
        used.insert(*it.relay_for(worker(n), near, start));
    }
    EXPECT_EQ(used.size(), 3U);
}

// Beyond their room the relays of a zone share its workers evenly.
TEST(relay_table, spreads_workers_over_full_relays)
{
    relay_table it;
    it.on_contact(relay(0), near, start);
    it.on_contact(relay(1), near, start);
    std::map<node_id, std::size_t> counts;
    for (std::size_t n = 0; n < 6 * config::workers_per_relay; ++n)
    {
        ++counts[*it.relay_for(worker(n), near, start)];
    }
    EXPECT_EQ(counts[relay(0)], 3 * config::workers_per_relay);
    EXPECT_EQ(counts[relay(1)], 3 * config::workers_per_relay);
}

// A relay that is cut off from a worker answers the leader, so that the worker
// would stay out of reach until its lease is over.
TEST(relay_table, gives_a_worker_that_does_not_answer_another_relay)
{
    relay_table it;
    it.on_contact(relay(0), near, start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(0));
    it.on_no_answer(worker(0), near, relay(0), start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(0));
    it.on_contact(relay(1), far, start);
    EXPECT_EQ(it.relay_for(worker(1), near, start), relay(0));
    it.on_no_answer(worker(0), near, relay(0), start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(1));
    // An answer of a former relay says nothing about this one.
    it.on_no_answer(worker(0), near, relay(0), start);
    it.on_no_answer(worker(9), near, relay(0), start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(1));
    EXPECT_EQ(it.relay_for(worker(1), near, start), relay(0));
}

// Workers that were replaced would fill the table and the room of the relays.
TEST(relay_table, forgets_workers_and_relays_that_are_gone)
{
    relay_table it;
    auto now = start;
    for (std::size_t n = 0; n < 100; ++n)
    {
        now += config::worker_removal_delay / 4;
        it.on_contact(relay(0), near, now);
        it.on_contact(node_id{"x" + std::to_string(n)}, far, now);
        EXPECT_EQ(it.relay_for(worker(0), near, now), relay(0));
        EXPECT_EQ(it.relay_for(worker(n + 1), near, now), relay(0));
        EXPECT_LE(it.worker_count(), 12U);
        EXPECT_LE(it.relay_count(), 12U);
    }
}

// Orders of a relay that was taken out of use in good order are still answered.
TEST(relay_table, takes_only_a_known_relay_without_contact_for_silent)
{
    relay_table it;
    EXPECT_FALSE(it.is_silent(relay(0), start));
    it.on_contact(relay(0), near, start);
    EXPECT_FALSE(it.is_silent(relay(0),
                              start + config::relay_timeout - milliseconds{1}));
    EXPECT_TRUE(it.is_silent(relay(0), start + config::relay_timeout));
}

// The leader then sends to workers itself.
TEST(relay_table, has_no_relay_for_a_worker_without_a_live_one)
{
    relay_table it;
    EXPECT_EQ(it.relay_for(worker(0), near, start), std::nullopt);
    it.on_contact(relay(0), near, start);
    EXPECT_EQ(it.relay_for(worker(0), near, start), relay(0));
    EXPECT_EQ(it.relay_for(worker(0), near, start + config::relay_timeout),
              std::nullopt);
    it.on_contact(relay(0), near, start + config::relay_timeout);
    it.clear();
    EXPECT_EQ(it.relay_for(worker(0), near, start + config::relay_timeout),
              std::nullopt);
}

// Five control processes that serve the announcements of 1,800 workers have no
// time left for their log.
TEST(relay_table, spreads_announcements_over_the_processes_of_the_zone)
{
    relay_table it;
    constexpr std::size_t processes = 30;
    for (std::size_t n = 0; n < processes; ++n)
    {
        it.on_contact(relay(static_cast<int>(n)), near, start,
                      intake_address{"10.0.0." + std::to_string(n) + ":7735"});
    }
    it.on_contact(relay(100), far, start, intake_address{"10.0.1.1:7735"});
    std::map<std::string, std::size_t> workers;
    for (std::size_t n = 0; n < 12 * processes; ++n)
    {
        auto const to = it.intake_for(worker(n), near, start);
        ASSERT_TRUE(to);
        EXPECT_EQ(it.intake_for(worker(n), near, start), to);
        ++workers[to->value()];
    }
    EXPECT_FALSE(workers.contains("10.0.1.1:7735"));
    EXPECT_EQ(workers.size(), processes);
    for (auto const& [address, n] : workers)
    {
        EXPECT_LE(n, 36U) << address;
    }
}

// A worker that is sent to a process that is down loses a second with it.
TEST(relay_table, sends_no_worker_to_a_process_that_is_silent_or_leaves)
{
    relay_table it;
    intake_address const intake{"10.0.0.1:7735"};
    EXPECT_FALSE(it.intake_for(worker(0), near, start));
    it.on_contact(relay(0), near, start);
    EXPECT_FALSE(it.intake_for(worker(0), near, start));
    it.on_contact(relay(0), near, start, intake);
    EXPECT_TRUE(it.is_intake(relay(0)));
    EXPECT_EQ(it.intake_for(worker(0), near, start), intake);
    EXPECT_FALSE(it.intake_for(worker(0), near, start + config::relay_timeout));
    it.on_contact(relay(0), near, start, intake);
    it.remove(relay(0));
    EXPECT_FALSE(it.is_intake(relay(0)));
    EXPECT_FALSE(it.intake_for(worker(0), near, start));
}

} // namespace
} // namespace apricotlb
