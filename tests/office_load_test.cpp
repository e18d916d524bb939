/// What a leader reports on its own service.
#include "core/log/office_meter.hpp"
#include "replica_group.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

namespace apricotlb
{
namespace
{

auto at(int ms) -> time_point
{
    return time_point{milliseconds{ms}};
}

// A loop that stands still past the end of the lease must not count that time
// as served because the lease had been renewed by the next event.
TEST(office_load, counts_the_time_from_the_end_of_the_lease_to_its_return)
{
    office_meter it;
    it.update(at(0), std::nullopt);
    it.update(at(1000), time_point::min()); // elected
    it.update(at(1010), at(1380));
    it.update(at(1700), at(2000));
    auto const load = it.take(at(1800));
    EXPECT_EQ(load.in_office, milliseconds{800});
    EXPECT_EQ(load.without_lease, milliseconds{10 + 320});
    EXPECT_EQ(it.take(at(2100)).without_lease, milliseconds{100});
    it.update(at(2200), std::nullopt);
    EXPECT_EQ(it.take(at(3000)).in_office, milliseconds{100});
}

// Commits that are still open are the slow ones.
TEST(office_load, times_commits_from_the_proposal_on)
{
    office_meter it;
    it.update(at(0), at(10'000));
    it.on_proposed(log_index{5}, term{2}, at(100));
    it.on_proposed(log_index{6}, term{2}, at(110));
    it.on_proposed(log_index{8}, term{2}, at(150));
    it.on_applied(log_index{5}, term{2}, at(120));
    it.on_applied(log_index{6}, term{2}, at(150));
    it.on_applied(log_index{7}, term{2}, at(151));
    auto const load = it.take(at(400));
    EXPECT_EQ(load.commits, 2);
    EXPECT_EQ(load.commit_time, milliseconds{20 + 40});
    EXPECT_EQ(load.longest_commit, milliseconds{250});
    // An entry of a later leader has taken the place of the proposal.
    it.on_applied(log_index{8}, term{3}, at(500));
    EXPECT_EQ(it.take(at(600)).commits, 0);
}

// Nothing told a leader in office without its lease from one that serves.
TEST(office_load, shows_a_leader_whose_majority_answers_late)
{
    replica_group group{3, 11};
    auto const n = group.elect();
    auto& leader = *group.nodes[n]->it;
    group.run(milliseconds{100});
    (void)leader.take_load();
    group.load(100);
    auto const calm = leader.take_load().office;
    EXPECT_EQ(calm.without_lease, duration{});
    EXPECT_EQ(calm.commits, 100);
    EXPECT_LE(calm.longest_commit, milliseconds{40});
    EXPECT_GT(calm.longest_round_trip, duration{});
    EXPECT_LE(calm.longest_round_trip, 2 * milliseconds{6});

    group.propose(n);
    group.cut((n + 1) % 3, n);
    group.cut((n + 2) % 3, n);
    group.run(seconds{1});
    auto const cut = leader.take_load().office;
    EXPECT_GE(cut.in_office, milliseconds{999});
    EXPECT_GE(cut.without_lease, seconds{1} - config::leader_lease);
    EXPECT_LE(cut.without_lease, seconds{1} - config::leader_lease +
                                     config::raft_heartbeat + milliseconds{12});
    EXPECT_GE(cut.longest_round_trip, seconds{1} - config::raft_heartbeat);
    EXPECT_GE(cut.longest_commit, milliseconds{999});

    group.links.cuts.clear();
    group.run(milliseconds{300});
    (void)leader.take_load();
    group.run(seconds{1});
    EXPECT_EQ(leader.take_load().office.without_lease, duration{});
    EXPECT_EQ(group.nodes[(n + 1) % 3]->it->take_load().office.in_office,
              duration{});
}

} // namespace
} // namespace apricotlb
