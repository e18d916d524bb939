#include "core/leader/entry_leases.hpp"
#include "property.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

using namespace std::chrono_literals;

constexpr auto lease = config::with_drift(config::entry_lease);
constexpr time_point elected{10s};
constexpr auto settled = elected + lease;

auto beat(std::string entry, std::uint64_t run, std::uint64_t number,
          std::uint64_t confirmed) -> entry_heartbeat
{
    entry_heartbeat it;
    it.session = {node_id{std::move(entry)}, incarnation{run}};
    it.number = sequence{number};
    it.contracts = revision{confirmed};
    return it;
}

// A new leader that counts only the entries it has heard of would report a
// change in force while another entry still admits under the old contract.
TEST(entry_leases, reports_nothing_in_force_before_one_lease_has_passed)
{
    entry_leases it{elected};
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 1, 1, 5), elected));
    EXPECT_FALSE(it.in_force(revision{5}, settled - 1us));
    EXPECT_EQ(it.next_end(elected), settled);
    EXPECT_TRUE(it.in_force(revision{5}, settled));
}

// A change must wait for an entry that was granted a lease and went silent,
// and must not wait for it any longer than that.
TEST(entry_leases, waits_for_a_silent_entry_until_its_lease_ends)
{
    entry_leases it{elected};
    auto const now = settled;
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 1, 1, 5), now));
    EXPECT_TRUE(it.on_heartbeat(beat("e2", 1, 1, 4), now));
    EXPECT_FALSE(it.in_force(revision{5}, now + lease - 1us));
    EXPECT_TRUE(it.in_force(revision{5}, now + lease));
    // The entry returns with the old revision; a reported change stays so.
    EXPECT_TRUE(it.on_heartbeat(beat("e2", 1, 2, 4), now + lease));
    EXPECT_TRUE(it.in_force(revision{5}, now + lease));
    EXPECT_FALSE(it.in_force(revision{6}, now + lease));
}

// A delayed heartbeat of an earlier moment or run must not undo a later one.
TEST(entry_leases, ignores_duplicates_and_former_runs)
{
    entry_leases it{elected};
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 1, 98, 4), settled));
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 2, 7, 5), settled));
    EXPECT_FALSE(it.on_heartbeat(beat("e1", 2, 7, 5), settled));
    EXPECT_FALSE(it.on_heartbeat(beat("e1", 2, 6, 4), settled));
    EXPECT_FALSE(it.on_heartbeat(beat("e1", 1, 99, 4), settled));
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 3, 1, 6), settled));
    EXPECT_TRUE(it.in_force(revision{6}, settled));
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 1, 1, 6), settled + lease));
}

// An entry whose clock was set back before it started again had no lease until
// that of its former life had ended. Late heartbeats of either former life must
// not bring it back.
TEST(entry_leases, lives_may_go_up_and_down)
{
    entry_leases it{elected};
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 9, 50, 4), settled));
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 3, 1, 5), settled));
    EXPECT_TRUE(it.is_live({node_id{"e1"}, incarnation{3}}, settled));
    EXPECT_FALSE(it.on_heartbeat(beat("e1", 9, 51, 4), settled));
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 6, 1, 5), settled));
    EXPECT_FALSE(it.on_heartbeat(beat("e1", 3, 2, 4), settled));
    EXPECT_FALSE(it.on_heartbeat(beat("e1", 9, 52, 4), settled));
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 6, 2, 5), settled));
    EXPECT_TRUE(it.is_live({node_id{"e1"}, incarnation{6}}, settled));
    EXPECT_TRUE(it.in_force(revision{5}, settled));
}

// Lives that are kept for as long as a leader is in office would add up at an
// entry that restarts again and again.
TEST(entry_leases, the_last_replaced_lives_of_many_are_refused)
{
    entry_leases it{elected};
    constexpr std::uint64_t lives = 100;
    for (std::uint64_t n = 0; n < lives; ++n)
    {
        EXPECT_TRUE(it.on_heartbeat(beat("e1", lives - n, 1, 5), settled));
    }
    for (std::uint64_t n = 0; n < replaced_lives::max_lives; ++n)
    {
        EXPECT_FALSE(it.on_heartbeat(beat("e1", 2 + n, 2, 5), settled));
    }
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 1, 2, 5), settled));
}

// The keys of a life that this leader has not met yet were ended because its
// number was lower than that of a late message.
TEST(entry_leases, a_life_not_met_yet_keeps_its_session_through_the_grace)
{
    entry_leases it{elected};
    auto const lower = entry_session{node_id{"e1"}, incarnation{3}};
    auto const higher = entry_session{node_id{"e1"}, incarnation{9}};
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 6, 1, 5), elected));
    auto const end = elected + lease;
    for (auto const& session : {lower, higher})
    {
        EXPECT_TRUE(it.sessions_to_end({session}, elected).empty());
        EXPECT_TRUE(it.sessions_to_end({session}, end + lease - 1us).empty());
        EXPECT_EQ(it.sessions_to_end({session}, end + lease).size(), 1U);
    }
    // Replaced by a lower number, a session ends at once.
    auto const met = entry_session{node_id{"e1"}, incarnation{6}};
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 3, 1, 5), elected));
    EXPECT_EQ(it.sessions_to_end({met}, elected).size(), 1U);
    EXPECT_TRUE(it.sessions_to_end({lower}, elected).empty());
}

// Keys of a dead entry must become unknown, but an entry that was cut off
// for a moment first gets time to record its outcomes.
TEST(entry_leases, ends_sessions_after_a_grace)
{
    entry_leases it{elected};
    auto const session = entry_session{node_id{"e1"}, incarnation{1}};
    auto const stranger = entry_session{node_id{"e9"}, incarnation{1}};
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 1, 1, 5), settled));
    auto const end = settled + lease;
    EXPECT_TRUE(it.sessions_to_end({session}, end + lease - 1us).empty());
    EXPECT_EQ(it.sessions_to_end({session}, end + lease).size(), 1U);
    // A session of which the new leader has never heard.
    EXPECT_TRUE(it.sessions_to_end({stranger}, end - 1us).empty());
    EXPECT_EQ(it.sessions_to_end({stranger}, end).size(), 1U);
    // A restart shows at once that the former run is gone.
    EXPECT_TRUE(it.on_heartbeat(beat("e1", 2, 1, 5), settled));
    EXPECT_EQ(it.sessions_to_end({session}, settled).size(), 1U);
}

// Guards against a change that is reported in force while some entry still
// holds a lease under an older contract, under lost and late messages.
TEST(entry_leases, in_force_means_that_no_entry_admits_under_older_contracts)
{
    struct model_entry
    {
        std::uint64_t number{0};
        std::uint64_t holds{0};
        time_point lease_ends{};
    };
    struct message
    {
        std::size_t entry{0};
        entry_heartbeat beat;
        time_point sent{};
    };
    check_property(
        11, 100, 300,
        [](steps const& drawn)
        {
            entry_leases leases{elected};
            std::array<model_entry, 3> entries;
            // One entry still holds a lease of the former leader.
            entries[2].lease_ends = elected + config::entry_lease;
            std::vector<message> flying;
            std::uint64_t newest{1};
            std::uint64_t reported{0};
            auto now = elected;
            for (auto const step : drawn)
            {
                choices pick{step};
                now += milliseconds{pick.below(120)};
                auto const n = pick.below(3);
                auto& entry = entries[n];
                auto const kind = pick.below(10);
                if (kind == 0)
                {
                    ++newest;
                }
                else if (kind < 5)
                {
                    flying.push_back({n,
                                      beat("e" + std::to_string(n), 1,
                                           ++entry.number, entry.holds),
                                      now});
                }
                else if (!flying.empty())
                {
                    auto const at =
                        pick.below(static_cast<std::uint32_t>(flying.size()));
                    auto const it = flying[at];
                    if (pick.below(6) != 0) // else it arrives again later
                    {
                        flying.erase(flying.begin() + at);
                    }
                    auto const answered = leases.on_heartbeat(it.beat, now);
                    if (answered && pick.below(4) != 0)
                    {
                        auto& to = entries[it.entry];
                        to.holds = newest;
                        to.lease_ends = std::max(to.lease_ends,
                                                 it.sent + config::entry_lease);
                    }
                }
                if (leases.in_force(revision{newest}, now))
                {
                    reported = newest;
                }
                for (auto const& it : entries)
                {
                    RC_ASSERT(now >= it.lease_ends || it.holds >= reported);
                }
            }
        });
}

} // namespace
} // namespace apricotlb
