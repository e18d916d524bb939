/// Leaders that are in office without a lease while other members are well.
#include "adapters/msgpack_codec.hpp"
#include "replica_group.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// Five members whose offices and times with a lease are counted.
struct counted_group
{
    explicit counted_group(std::uint64_t seed) : group(5, seed)
    {
        for (auto const& each : group.nodes)
        {
            each->it->on_role(
                [this](role_change const& it)
                {
                    offices += it.role == raft_role::leader ? 1 : 0;
                    if (it.office)
                    {
                        ++ends[it.office->reason];
                    }
                });
        }
    }

    /// Returns the share of the time in which a member held the lease.
    auto run(seconds d) -> permille
    {
        auto served = 0;
        for (auto n = 0; n < d.count() * 1000; ++n)
        {
            group.run(milliseconds{1});
            served += group.leader() ? 1 : 0;
        }
        return permille{static_cast<std::int32_t>(served / d.count())};
    }

    replica_group group;
    int offices{0};
    std::map<office_end, int> ends;
};

// One moment of lease in each 4 s kept a leader in office that served nothing
// for most of the time, although all other members were well.
TEST(hand_over, ends_an_office_without_a_lease_if_others_are_well)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        counted_group it{seed};
        auto const n = it.group.elect();
        it.group.links.packet_loss[it.group.nodes[n]->id] = permille{200};
        it.run(seconds{10});
        EXPECT_GE(it.run(seconds{30}), permille{950});
        EXPECT_NE(it.group.leader(), n);
        it.group.links.packet_loss.clear();
        it.group.run(test_links::max_stall);
        it.group.settle();
    }
}

// A leader was judged by the time to its first commit, its successor by links
// alone, so that slow disks made leaders hand over again and again.
TEST(hand_over, does_not_follow_a_late_first_commit)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        counted_group it{seed};
        while (it.offices == 0)
        {
            it.group.run(milliseconds{1});
        }
        for (auto const& each : it.group.nodes)
        {
            each->disk.sync_time = seconds{2};
        }
        it.group.run(seconds{1});
        EXPECT_FALSE(it.group.leader()) << "the first commit is not late";
        it.group.run(seconds{2});
        for (auto const& each : it.group.nodes)
        {
            each->disk.sync_time = {};
        }
        it.group.run(seconds{20});
        EXPECT_EQ(it.offices, 1);
        EXPECT_EQ(it.ends[office_end::handed_over], 0);
    }
}

// A change of leader stops the service, and gains nothing if the successor has
// the same links.
TEST(hand_over, does_not_happen_where_all_links_are_alike)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        counted_group it{seed};
        it.group.elect();
        for (auto const& each : it.group.nodes)
        {
            it.group.links.packet_loss[each->id] = permille{200};
        }
        it.run(seconds{60});
        EXPECT_EQ(it.ends[office_end::handed_over], 0);
    }
}

/// A voter of three that has just heard from its leader "b" in term 1.
auto make_follower() -> raft
{
    raft_members members;
    for (auto const* const id : {"a", "b", "c"})
    {
        members.push_back({node_id{id}, {}, member_role::voter});
    }
    auto it = raft::builder{}
                  .self(node_id{"a"})
                  .snapshot({{{}, std::move(members)}, ""})
                  .started(time_point{seconds{100}}, random_bits{})
                  .build()
                  .value();
    it.receive(time_point{seconds{200}}, node_id{"b"},
               append_entries{term{1}, {}, {}, {}, {}});
    it.persisted(time_point{seconds{200}});
    return it;
}

template <class Message>
auto find_message(std::vector<addressed_message> const& list)
    -> std::optional<Message>
{
    for (auto const& each : list)
    {
        if (auto const* const found = std::get_if<Message>(&each.message))
        {
            return *found;
        }
    }
    return std::nullopt;
}

// A vote against a leader that still counts on its lease allows two leaders
// with valid leases.
TEST(hand_over, voters_wait_for_the_lease_of_all_but_the_leader_that_gave_it_up)
{
    auto const now = time_point{seconds{200}} + milliseconds{10};
    auto const is_granted = [now](request_vote const& request)
    {
        auto it = make_follower();
        auto const actions = it.receive(now, node_id{"c"}, request);
        auto const vote =
            find_message<vote_answer>(actions.messages_after_sync);
        return vote && vote->granted;
    };
    EXPECT_TRUE(is_granted({term{2}, false, {}, node_id{"b"}}));
    EXPECT_FALSE(is_granted({term{2}, false, {}, {}}));
    EXPECT_FALSE(is_granted({term{2}, false, {}, node_id{"c"}}));
    EXPECT_FALSE(is_granted({term{3}, false, {}, node_id{"b"}}));
}

// Only the leader may call a follower to stand, and only in its own term.
TEST(hand_over, a_successor_stands_at_the_word_of_its_leader_alone)
{
    auto const now = time_point{seconds{200}} + milliseconds{10};
    auto it = make_follower();
    it.receive(now, node_id{"c"}, timeout_now{term{1}});
    it.receive(now, node_id{"b"}, timeout_now{term{}});
    EXPECT_EQ(it.role(), raft_role::follower);
    auto const actions = it.receive(now, node_id{"b"}, timeout_now{term{1}});
    EXPECT_EQ(it.role(), raft_role::candidate);
    auto const request =
        find_message<request_vote>(actions.messages_after_sync);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->handed_over_by, node_id{"b"});
    EXPECT_EQ(request->in_term, term{2});
}

/// As earlier programs read and write it.
struct earlier_request_vote
{
    term in_term;
    bool is_pre_vote{false};
    log_position last;

    static constexpr auto fields()
    {
        return field_list(field("term", &earlier_request_vote::in_term),
                          field("pre", &earlier_request_vote::is_pre_vote),
                          field("last", &earlier_request_vote::last));
    }
};

// Members of two versions elect a leader during an upgrade.
TEST(hand_over, earlier_programs_read_ordinary_requests_for_votes)
{
    request_vote const ordinary{term{7}, true, {log_index{3}, term{6}}, {}};
    auto const read = msgpack_codec::decode<earlier_request_vote>(
        msgpack_codec::encode(ordinary));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().last, ordinary.last);
    earlier_request_vote const sent{term{8}, false, {}};
    auto const got =
        msgpack_codec::decode<request_vote>(msgpack_codec::encode(sent));
    ASSERT_TRUE(got);
    EXPECT_EQ(got.value().in_term, term{8});
    EXPECT_FALSE(got.value().handed_over_by);
}

} // namespace
} // namespace apricotlb
