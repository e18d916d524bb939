/// Groups of which a majority needs a member whose links lose packets.
#include "replica_group.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace apricotlb
{
namespace
{

/// Five members, of which two never come back after a power loss; the links of
/// one of the others lose packets.
struct lossy_majority
{
    explicit lossy_majority(std::uint64_t seed, permille loss) : group(5, seed)
    {
        group.crash(3);
        group.crash(4);
        group.links.packet_loss[group.nodes[2]->id] = loss;
        for (std::size_t n = 0; n < 3; ++n)
        {
            group.nodes[n]->it->on_role(
                [this](role_change const& it)
                {
                    offices += it.role == raft_role::leader ? 1 : 0;
                    no_majority += it.office && it.office->reason ==
                                                    office_end::no_majority
                                       ? 1
                                       : 0;
                });
        }
    }

    replica_group group;
    int offices{0};
    int no_majority{0};
};

// Each lost packet ended the office of a leader, and callers waited for one
// election after the other.
TEST(lossy_link, a_retransmission_ends_no_office)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        lossy_majority it{seed, permille{50}};
        it.group.run(seconds{30});
        EXPECT_EQ(it.no_majority, 0);
        EXPECT_EQ(it.offices, 1);
    }
}

} // namespace
} // namespace apricotlb
