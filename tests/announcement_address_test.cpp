#include "core/group/announcement_address.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace apricotlb
{
namespace
{

constexpr time_point now{seconds{100}};

auto group_of(raft_role role) -> raft_status
{
    raft_status it;
    it.role = role;
    for (auto const* id : {"a:1", "b:1", "c:1~7", "d:1"})
    {
        it.members.push_back(
            {{node_id{id}, {}, member_role::voter}, {}, {}, now});
    }
    it.members[0].last_contact = {}; // this process itself
    it.members[3].last_contact = now - seconds{5};
    return it;
}

auto addresses(raft_status const& status) -> std::set<std::string>
{
    std::set<std::string> out;
    for (auto n = 0; n < 100; ++n)
    {
        worker_id const worker{"w" + std::to_string(n)};
        auto const at =
            announcement_address(status, node_id{"a:1"}, worker, now);
        EXPECT_EQ(at,
                  announcement_address(status, node_id{"a:1"}, worker, now));
        out.insert(at);
    }
    return out;
}

// Every worker that announces itself to the leader costs it an HTTP request a
// second.
TEST(announcement_address, spreads_the_workers_of_the_leader_over_the_others)
{
    EXPECT_EQ(addresses(group_of(raft_role::leader)),
              (std::set<std::string>{"b:1", "c:1"}));
}

// Workers that were sent to and fro would open a connection each time.
TEST(announcement_address, is_the_own_one_of_a_process_that_does_not_lead)
{
    EXPECT_EQ(addresses(group_of(raft_role::follower)),
              std::set<std::string>{"a:1"});
}

// A worker needs an address also when nobody else is there.
TEST(announcement_address, is_the_own_one_of_a_leader_without_others)
{
    auto alone = group_of(raft_role::leader);
    alone.members[1].last_contact = now - config::peer_timeout;
    alone.members[2].last_contact = now - config::peer_timeout;
    EXPECT_EQ(addresses(alone), std::set<std::string>{"a:1"});
}

} // namespace
} // namespace apricotlb
