#include "adapters/msgpack_codec.hpp"
#include "core/messages.hpp"
#include "core/state/commands.hpp"
#include "paused_clock.hpp"

#include <apricotlb/contract.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/job.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

auto sample_contract() -> contract
{
    return contract::builder{}
        .customer(customer_id{"survey"})
        .version(contract_version{1})
        .vm_share(permille{500})
        .urgent_latency(milliseconds{400})
        .token(token_hash{std::string(64, 'a')})
        .build()
        .value();
}

// A kind that is added to the list but not to the table would be answered
// with another kind's status.
TEST(error_table, every_kind_is_found_by_its_own_name)
{
    for (std::size_t n = 0; n < error_kind_count; ++n)
    {
        auto const kind = static_cast<error_kind>(n);
        EXPECT_EQ(error_kind_of(name_of(kind)), kind);
    }
}

// A contract with a limit out of range would be accepted by the log.
TEST(contract_builder, refuses_a_share_above_the_whole)
{
    auto it = sample_contract();
    it.vm_share = permille{1001};
    auto const checked = check(it);
    ASSERT_TRUE(checked.has_error());
    EXPECT_EQ(checked.error().kind, error_kind::bad_contract);
    EXPECT_NE(checked.error().detail.find("vm_share"), std::string::npos);
}

// A command that changes on its way through the log would apply differently
// on each replica.
TEST(msgpack_codec, returns_the_command_that_was_encoded)
{
    command const sent =
        apply_contract{sample_contract(), change_id{"c1"}, operator_name{"op"}};
    auto const bytes = msgpack_codec::encode(sent);
    auto const got = msgpack_codec::decode<command>(bytes);
    ASSERT_TRUE(got.has_value());
    EXPECT_EQ(std::get<apply_contract>(got.value()).value, sample_contract());
}

// A cut or altered message must be refused and must not end the process.
TEST(msgpack_codec, refuses_every_cut_message)
{
    command const sent =
        apply_contract{sample_contract(), change_id{"c1"}, operator_name{"op"}};
    auto const bytes = msgpack_codec::encode(sent);
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        EXPECT_TRUE(
            msgpack_codec::decode<command>(bytes.substr(0, n)).has_error());
    }
}

// An enumerator that this version does not know must not be read as a valid
// one.
TEST(msgpack_codec, refuses_an_unknown_enumerator)
{
    auto const bytes = msgpack_codec::encode(std::uint8_t{200});
    EXPECT_TRUE(msgpack_codec::decode<attempt_end>(bytes).has_error());
}

// Timers that run out of order would make every test of timeouts wrong.
TEST(paused_clock, runs_timers_in_order_of_time)
{
    paused_clock clock;
    std::vector<int> seen;
    clock.start_timer(milliseconds{20}, [&] { seen.push_back(2); });
    clock.start_timer(milliseconds{10}, [&] { seen.push_back(1); });
    auto const dropped =
        clock.start_timer(milliseconds{15}, [&] { seen.push_back(3); });
    clock.cancel_timer(dropped);
    clock.advance(milliseconds{30});
    EXPECT_EQ(seen, (std::vector<int>{1, 2}));
}

} // namespace
} // namespace apricotlb
