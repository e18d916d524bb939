#include "core/group/membership.hpp"
#include "replica_group.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

constexpr time_point now{seconds{100}};

auto member(std::string const& id, member_role role, duration silence)
    -> member_status
{
    return {{node_id{id}, {}, role}, {}, {}, now - silence};
}

auto five_voters() -> raft_status
{
    raft_status it;
    for (auto const* id : {"a:1", "b:1", "c:1", "d:1", "e:1"})
    {
        it.members.push_back(member(id, member_role::voter, {}));
    }
    return it;
}

// Without anyone to take its place, the removal of a silent voter would only
// lower the number of copies.
TEST(membership, keeps_a_silent_voter_until_another_can_take_its_place)
{
    auto it = five_voters();
    it.members[1].last_contact = now - seconds{60};
    EXPECT_FALSE(next_removal(it, node_id{"a:1"}, now));
    it.members.push_back(member("f:1~9", member_role::learner, {}));
    auto const change = next_removal(it, node_id{"a:1"}, now);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->id, node_id{"b:1"});
    EXPECT_EQ(change->kind, member_change_kind::remove);
}

// The successor of one machine takes the place of its former self only. Counted
// for a silent voter as well, it left a group of four, of which two lost disks
// took the majority.
TEST(membership, keeps_a_silent_voter_while_another_machine_is_replaced)
{
    auto it = five_voters();
    it.max_voters = 5;
    it.members[1].last_contact = now - seconds{60};
    it.members[4].last_contact = now - config::peer_timeout;
    it.members.push_back(member("e:1~7", member_role::learner, {}));
    auto const change = next_removal(it, node_id{"a:1"}, now);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->id, node_id{"e:1"});
    // The place is free until the successor is promoted.
    it.members.erase(it.members.begin() + 4);
    EXPECT_FALSE(next_removal(it, node_id{"a:1"}, now));
    it.members.back().member.role = member_role::voter;
    EXPECT_FALSE(next_removal(it, node_id{"a:1"}, now));
    it.members.push_back(member("f:1", member_role::learner, {}));
    auto const next = next_removal(it, node_id{"a:1"}, now);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->id, node_id{"b:1"});
}

// A removal that the remaining voters could not commit would block the group.
TEST(membership, removes_no_voter_while_the_others_lack_a_majority)
{
    auto it = five_voters();
    it.members.push_back(member("f:1~9", member_role::learner, {}));
    for (auto const n : {1, 2, 3})
    {
        it.members[static_cast<std::size_t>(n)].last_contact =
            now - seconds{60};
    }
    EXPECT_FALSE(next_removal(it, node_id{"a:1"}, now));
}

// A machine that lost its disk comes back under its address. Its former self
// never answers again.
TEST(membership, removes_the_former_self_of_a_machine_first)
{
    auto it = five_voters();
    it.members[4].last_contact = now - config::peer_timeout;
    it.members.push_back(member("e:1~7", member_role::learner, {}));
    it.members.back().lag = log_index{100'000};
    auto const change = next_removal(it, node_id{"a:1"}, now);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->id, node_id{"e:1"});
    EXPECT_EQ(served_address(node_id{"e:1~7"}), "e:1");
}

TEST(membership, forgets_a_learner_that_left)
{
    auto it = five_voters();
    it.members.push_back(
        member("f:1~9", member_role::learner, config::learner_removal_delay));
    auto const change = next_removal(it, node_id{"a:1"}, now);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->id, node_id{"f:1~9"});
}

// What two lost disks may destroy must not be acknowledged: with three
// voters, a majority of two is not enough.
TEST(membership, commits_on_as_many_copies_as_asked)
{
    replica_group group{3, 1, 3};
    auto const leader = group.elect();
    auto committed = 0;
    auto const propose = [&]
    {
        group.nodes[leader]->it->propose("x", [&committed](result<log_index> it)
                                         { committed += it ? 1 : 0; });
    };
    propose();
    group.run(milliseconds{100});
    EXPECT_EQ(committed, 1);
    group.crash((leader + 1) % 3);
    propose();
    group.run(seconds{2});
    EXPECT_EQ(committed, 1);
    group.start((leader + 1) % 3);
    group.run(seconds{2});
    EXPECT_EQ(committed, 2);
}

} // namespace
} // namespace apricotlb
