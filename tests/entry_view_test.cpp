#include "core/entry/entry_view.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <string>

namespace apricotlb
{
namespace
{

auto new_view() -> entry_view
{
    return entry_view::builder{}
        .node(node_id{"e1"})
        .run(incarnation{7})
        .zone(zone_id{"z"})
        .build();
}

auto answer(sequence number, revision from, revision to)
    -> entry_heartbeat_answer
{
    entry_heartbeat_answer it;
    it.number = number;
    it.leader_term = term{1};
    it.session = incarnation{7};
    it.contracts_from = from;
    it.contracts_to = to;
    return it;
}

auto beat(entry_view& it, time_point now) -> sequence
{
    return it.make_heartbeat(now, {}, {}, {}, false).number;
}

/// A view that has heard from its first leader.
auto make_view() -> entry_view
{
    auto it = new_view();
    it.take(answer(beat(it, {}), {}, {}));
    return it;
}

auto change(std::string const& customer, contract_version version, revision at)
    -> contract_change
{
    contract_change it;
    it.value.customer = customer_id{customer};
    it.value.version = version;
    it.value.tokens = {token_hash{customer + "-token"}};
    it.at = at;
    return it;
}

// A lease counted from the arrival of the answer would outlast the leader's
// wait when the answer was slow.
TEST(entry_view, counts_its_lease_from_the_heartbeat_that_was_answered)
{
    auto it = new_view();
    time_point const start{};
    auto const number = beat(it, start);
    auto const late = start + seconds{1};
    EXPECT_FALSE(it.has_lease(late));
    EXPECT_TRUE(it.take(answer(number, {}, {})));
    EXPECT_EQ(it.lease_end(), start + config::entry_lease);
    EXPECT_FALSE(it.has_lease(start + config::entry_lease));
}

// A late message must not bring an older contract back, nor one that was
// removed.
TEST(entry_view, never_returns_to_an_older_contract)
{
    auto it = make_view();
    time_point const now{};
    auto first = answer(beat(it, now), revision{0}, revision{5});
    first.contracts = {change("a", contract_version{1}, revision{5})};
    auto second = answer(beat(it, now), revision{0}, revision{9});
    second.contracts = {change("a", contract_version{2}, revision{9})};
    ASSERT_TRUE(it.take(second));
    it.take(first);
    EXPECT_EQ(it.contract_of(customer_id{"a"})->version, contract_version{2});

    auto removed = answer(beat(it, now), revision{9}, revision{12});
    removed.contracts = {change("a", contract_version{3}, revision{12})};
    removed.contracts.front().removed = true;
    ASSERT_TRUE(it.take(removed));
    it.take(second);
    EXPECT_EQ(it.contract_of(customer_id{"a"}), nullptr);
    EXPECT_FALSE(it.customer_of(token_hash{"a-token"}).has_value());
}

// An answer that starts after what the entry holds would skip changes and
// still extend its lease.
TEST(entry_view, ignores_an_answer_with_a_gap)
{
    auto it = new_view();
    time_point const now{};
    EXPECT_FALSE(it.take(answer(beat(it, now), revision{4}, revision{6})));
    EXPECT_FALSE(it.has_lease(now));
}

// A delayed answer must not restore slots that went to another entry.
TEST(entry_view, takes_shares_from_the_newest_answer_only)
{
    auto it = make_view();
    time_point const now{};
    auto old = answer(beat(it, now), {}, {});
    old.shares = {{backend_id{"b"}, slot_count{8}, connection_count{64}}};
    auto fresh = answer(beat(it, now), {}, {});
    fresh.shares = {{backend_id{"b"}, slot_count{2}, connection_count{16}}};
    ASSERT_TRUE(it.take(fresh));
    it.take(old);
    EXPECT_EQ(it.share_of(backend_id{"b"}, now).slots, slot_count{2});
    EXPECT_EQ(it.share_of(backend_id{"b"}, now + seconds{2}).slots,
              slot_count{0});
}

// The first answer of a new leader may rest on a heartbeat that the former
// leader also answered, so its shares must not be taken.
TEST(entry_view, takes_no_shares_from_the_first_answer_of_a_new_leader)
{
    auto it = make_view();
    time_point const now{};
    auto first = answer(beat(it, now), {}, {});
    first.leader_term = term{2};
    first.shares = {{backend_id{"b"}, slot_count{8}, connection_count{64}}};
    ASSERT_TRUE(it.take(first));
    EXPECT_EQ(it.share_of(backend_id{"b"}, now).slots, slot_count{0});
    first.number = beat(it, now);
    ASSERT_TRUE(it.take(first));
    EXPECT_EQ(it.share_of(backend_id{"b"}, now).slots, slot_count{8});
}

// A new leader that has not heard from every backend server yet must not
// make the entry forget the others.
TEST(entry_view, keeps_backend_servers_until_a_complete_table)
{
    auto it = make_view();
    time_point const now{};
    backend_info info;
    info.id = backend_id{"b"};
    info.customer = customer_id{"a"};
    info.service = service_name{"s"};
    auto full = answer(beat(it, now), {}, {});
    full.backends = {{info, false}};
    full.backends_to = revision{3};
    full.backends_complete = true;
    ASSERT_TRUE(it.take(full));

    auto partial = answer(beat(it, now), {}, {});
    partial.leader_term = term{2};
    partial.backends_to = revision{1};
    ASSERT_TRUE(it.take(partial));
    EXPECT_NE(it.backend(info.id), nullptr);

    partial.number = beat(it, now);
    partial.backends_complete = true;
    ASSERT_TRUE(it.take(partial));
    EXPECT_EQ(it.backend(info.id), nullptr);
}

} // namespace
} // namespace apricotlb
