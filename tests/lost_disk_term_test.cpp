/// Terms of leaders in groups whose members lose their disks and come back
/// under new ids.
#include "core/group/membership.hpp"
#include "replica_group.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

/// Five machines that run members of one group. The leader adds members that
/// have lost their disks under new ids and removes their former selves, as the
/// control role does.
class machines
{
public:
    static constexpr std::size_t count = 5;

    explicit machines(std::uint64_t seed) : group(count, seed, copies)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            member_at_.push_back(n);
        }
    }

    [[nodiscard]] auto node(std::size_t machine) -> replica_group::node&
    {
        return *group.nodes[member_at_[machine]];
    }
    [[nodiscard]] auto is_up(std::size_t machine) const -> bool
    {
        return group.is_up(member_at_[machine]);
    }
    [[nodiscard]] auto term_of(std::size_t machine) -> term
    {
        return node(machine).it->status().log.in_term;
    }

    /// The machine comes back without its disk, under a new id.
    auto wipe(std::size_t machine) -> void
    {
        auto const former = node(machine).id;
        if (is_up(machine))
        {
            group.crash(member_at_[machine]);
        }
        auto const id =
            member_id(served_address(former), std::to_string(++lives));
        member_at_[machine] = group.add_empty(id);
        for (auto const other : cut_machines_)
        {
            cut(other, machine);
        }
        if (cut_machines_.contains(machine))
        {
            isolate(machine);
        }
    }
    auto crash(std::size_t machine) -> void
    {
        if (is_up(machine))
        {
            group.crash(member_at_[machine]);
        }
    }
    auto start(std::size_t machine) -> void
    {
        if (!is_up(machine))
        {
            group.start(member_at_[machine]);
        }
    }
    auto isolate(std::size_t machine) -> void
    {
        cut_machines_.insert(machine);
        group.isolate(member_at_[machine]);
    }
    auto heal() -> void
    {
        cut_machines_.clear();
        group.links.cuts.clear();
    }

    /// Lets time pass. Checks that each term has one leader, and that no
    /// leader in office has a lower term than one before.
    auto run(duration d) -> void
    {
        for (auto const end = group.clock.now() + d; group.clock.now() < end;)
        {
            group.run(milliseconds{5});
            for (auto const& it : group.nodes)
            {
                if (it->it)
                {
                    check(*it);
                }
            }
            if (group.clock.now() >= next_review_)
            {
                next_review_ = group.clock.now() + milliseconds{200};
                review_members();
            }
        }
    }

    [[nodiscard]] auto has_leader() const -> bool
    {
        return group.leader().has_value();
    }

    replica_group group;
    term highest; ///< of a leader in office
    std::size_t lives{0};

private:
    static constexpr std::size_t copies = 3;

    auto cut(std::size_t a, std::size_t b) -> void
    {
        group.cut(member_at_[a], member_at_[b]);
        group.cut(member_at_[b], member_at_[a]);
    }

    auto check(replica_group::node const& it) -> void
    {
        auto const status = it.it->status().log;
        if (status.role == raft_role::leader)
        {
            auto const known =
                leader_of_.try_emplace(status.in_term, it.id).first;
            EXPECT_EQ(known->second, it.id)
                << "two leaders of term " << status.in_term.value();
        }
        if (it.it->is_leader())
        {
            EXPECT_GE(status.in_term, highest)
                << it.id.value() << " leads in a term that was exceeded";
            highest = std::max(highest, status.in_term);
        }
    }

    /// What control_process::join and control_role::check_members do.
    auto review_members() -> void
    {
        auto const leading = group.leader();
        if (!leading)
        {
            return;
        }
        auto& leader = *group.nodes[*leading];
        auto const status = leader.it->status().log;
        auto const ignore = [](result<log_index> const&) {};
        if (auto const change =
                next_removal(status, leader.id, group.clock.now()))
        {
            leader.it->change_member(*change, ignore);
            return;
        }
        for (std::size_t n = 0; n < count; ++n)
        {
            auto const& id = node(n).id;
            auto const is_member = std::ranges::any_of(
                status.members,
                [&id](member_status const& it) { return it.member.id == id; });
            if (is_up(n) && !is_member && !cut_machines_.contains(n))
            {
                leader.it->change_member(
                    {member_change_kind::add_learner, id, {}}, ignore);
                return;
            }
        }
    }

    std::vector<std::size_t> member_at_; ///< of each machine, in group.nodes
    std::set<std::size_t> cut_machines_;
    std::map<term, node_id> leader_of_;
    time_point next_review_{};
};

// The token of a leader is its term. If the two members that were wiped could
// help to elect another leader without the third one that knows the term, two
// leaders would have one token.
TEST(lost_disk_term, two_of_the_three_electors_are_wiped_and_the_third_is_dark)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        SCOPED_TRACE(seed);
        machines it{seed};
        it.run(seconds{3});
        ASSERT_TRUE(it.has_leader());
        // Leader of a term that machines 3 and 4 never learn.
        it.isolate(3);
        it.isolate(4);
        for (auto n = 0; n < 3; ++n)
        {
            auto const old = it.group.leader();
            if (old && *old < 3)
            {
                it.crash(*old);
                it.start(*old);
            }
            it.run(seconds{3});
        }
        ASSERT_TRUE(it.has_leader());
        auto const dark = *it.group.leader();
        ASSERT_LT(dark, 3U);
        auto const elected = it.highest;
        ASSERT_GT(elected, it.term_of(3));
        it.crash(dark);
        for (std::size_t n = 0; n < 3; ++n)
        {
            if (n != dark)
            {
                it.wipe(n);
            }
        }
        it.heal();
        it.run(seconds{20});
        EXPECT_FALSE(it.has_leader())
            << "elected by members that do not know term " << elected.value();
        it.start(dark);
        it.run(seconds{10});
        ASSERT_TRUE(it.has_leader());
        EXPECT_GT(it.highest, elected);
    }
}

// A leader in office whose term was exceeded gives orders that all workers
// refuse; two leaders of one term give orders that no worker can tell apart.
TEST(lost_disk_term, no_leader_in_office_has_a_term_that_was_exceeded)
{
    std::size_t wiped{0};
    term last;
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        SCOPED_TRACE(seed);
        machines it{seed};
        it.run(seconds{2});
        auto& links = it.group.links;
        for (auto n = 0; n < 60; ++n)
        {
            auto const machine = links.below(machines::count);
            switch (links.below(7))
            {
            case 0:
                it.crash(machine);
                break;
            case 1:
                it.isolate(machine);
                break;
            case 2:
                links.loss =
                    permille{static_cast<std::int32_t>(links.below(200))};
                links.duplicates = links.loss;
                links.max_delay = milliseconds{1 + links.below(80)};
                break;
            case 3:
                // Three lost disks at once are the end of the group.
                if (it.has_leader())
                {
                    it.wipe(machine);
                }
                break;
            case 4:
                it.heal();
                break;
            default:
                it.start(machine);
            }
            if (auto const leading = it.group.leader())
            {
                it.group.propose(*leading);
            }
            it.run(milliseconds{50 + links.below(2500)});
        }
        wiped += it.lives;
        last = std::max(last, it.highest);
    }
    EXPECT_GT(wiped, 60U);
    EXPECT_GT(last, term{10});
}

} // namespace
} // namespace apricotlb
