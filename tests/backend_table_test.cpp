#include "core/leader/backend_table.hpp"
#include "property.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace apricotlb
{
namespace
{

using namespace std::chrono_literals;

constexpr time_point elected{10s};
constexpr auto lifetime = config::announce_lifetime;

auto backend_of(std::string id, std::int32_t slots = 8) -> backend_info
{
    backend_info it;
    it.id = backend_id{std::move(id)};
    it.service = service_name{"orders"};
    it.slots = slot_count{slots};
    return it;
}

/// What an entry holds after it applied deltas.
class reader
{
public:
    auto follow(backend_table& table, term of, time_point now) -> backend_delta
    {
        auto it = table.changes_since(of_, held_, now);
        if (it.from == revision{0} && it.complete)
        {
            rows.clear();
        }
        for (auto const& change : it.changes)
        {
            if (change.removed)
            {
                rows.erase(change.info.id);
            }
            else
            {
                rows[change.info.id] = change.info;
            }
        }
        of_ = of;
        held_ = it.to;
        return it;
    }

    std::map<backend_id, backend_info> rows;

private:
    term of_;
    revision held_;
};

// A backend server that is leaving must get no new work because of an
// announcement that was sent before and arrives late.
TEST(backend_table, a_late_announcement_does_not_bring_a_leaver_back)
{
    backend_table it{term{1}, elected};
    it.record_announcement({backend_of("b")}, elected);
    EXPECT_EQ(it.record_announcement({backend_of("b"), true}, elected),
              announce_effect::left);
    it.expire(elected + lifetime - 1us);
    EXPECT_EQ(
        it.record_announcement({backend_of("b")}, elected + lifetime - 1us),
        announce_effect::ignored);
    EXPECT_EQ(it.find(backend_id{"b"}), nullptr);
    it.expire(elected + lifetime);
    EXPECT_EQ(it.record_announcement({backend_of("b")}, elected + lifetime),
              announce_effect::updated);
}

// All backend servers expired at once when a leader that had refused their
// announcements got its lease back.
TEST(backend_table, keeps_backend_servers_that_could_not_announce_themselves)
{
    backend_table it{term{1}, elected};
    it.record_announcement({backend_of("a")}, elected);
    it.record_announcement({backend_of("b")}, elected + 100ms);
    it.record_announcement({backend_of("c"), true}, elected + 200ms);
    auto const back = elected + lifetime + 400ms;
    it.keep_until(back + lifetime);
    EXPECT_FALSE(it.is_complete(back));
    EXPECT_TRUE(it.expire(back).empty());
    EXPECT_EQ(it.find(backend_id{"c"}), nullptr);
    it.record_announcement({backend_of("b")}, back + 100ms);
    auto const removed = it.expire(back + lifetime);
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_EQ(removed[0], backend_id{"a"});
    EXPECT_TRUE(it.is_complete(back + lifetime));
}

// A backend server that vanished would keep receiving requests.
TEST(backend_table, removes_what_is_no_longer_announced)
{
    backend_table it{term{1}, elected};
    it.record_announcement({backend_of("a")}, elected);
    it.record_announcement({backend_of("b")}, elected);
    EXPECT_EQ(it.record_announcement({backend_of("b")}, elected + 500ms),
              announce_effect::renewed);
    auto const removed = it.expire(elected + lifetime);
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_EQ(removed[0], backend_id{"a"});
    EXPECT_EQ(it.size(), 1U);
}

// A new leader's partial table must not remove what entries already know;
// once it is complete, what nobody announced must go.
TEST(backend_table, says_when_it_is_complete)
{
    backend_table it{term{2}, elected};
    reader entry;
    entry.rows[backend_id{"old"}] = backend_of("old");
    it.record_announcement({backend_of("a")}, elected);
    EXPECT_FALSE(entry.follow(it, term{2}, elected).complete);
    EXPECT_EQ(entry.rows.size(), 2U);
    it.record_announcement({backend_of("a")}, elected + 1s);
    EXPECT_EQ(entry.follow(it, term{2}, elected + 1s).changes.size(), 0U);
    auto const whole = entry.follow(it, term{2}, elected + lifetime);
    EXPECT_TRUE(whole.complete);
    EXPECT_EQ(whole.from, revision{0});
    EXPECT_EQ(entry.rows.size(), 1U);
    // From now on only changes are sent.
    EXPECT_NE(entry.follow(it, term{2}, elected + lifetime).from, revision{0});
}

// An entry that follows the deltas, some of which it misses, must reach the
// same table as one that reads the whole.
TEST(backend_table, deltas_lead_to_the_whole_table)
{
    check_property(3, 50, 400,
                   [](steps const& drawn)
                   {
                       backend_table table{term{1}, elected};
                       reader follower;
                       auto now = elected;
                       for (auto const step : drawn)
                       {
                           choices pick{step};
                           now += milliseconds{pick.below(60)};
                           auto const id = "b" + std::to_string(pick.below(12));
                           table.record_announcement(
                               {backend_of(id, 4 + static_cast<std::int32_t>(
                                                       pick.below(2))),
                                pick.below(8) == 0},
                               now);
                           table.expire(now);
                           if (pick.below(3) == 0)
                           {
                               follower.follow(table, term{1}, now);
                               reader fresh;
                               fresh.follow(table, term{1}, now);
                               RC_ASSERT(follower.rows == fresh.rows);
                               RC_ASSERT(fresh.rows.size() == table.size());
                           }
                       }
                   });
}

// Removals of backend servers that never come back must not pile up.
TEST(backend_table, bounds_the_kept_removals)
{
    backend_table table{term{1}, elected};
    auto now = elected + lifetime;
    reader late;
    late.follow(table, term{1}, now);
    for (std::size_t n = 0; n < backend_table::max_tombstones + 10; ++n)
    {
        table.record_announcement({backend_of("b" + std::to_string(n))}, now);
    }
    now += lifetime;
    table.expire(now);
    auto const delta = late.follow(table, term{1}, now);
    EXPECT_EQ(delta.from, revision{0});
    EXPECT_TRUE(delta.changes.empty());
}

} // namespace
} // namespace apricotlb
