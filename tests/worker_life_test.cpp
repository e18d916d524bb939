#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace apricotlb
{
namespace
{

/// One worker whose runs take 30 ms; counts the starts of each task.
struct short_runs : fake_fleet
{
    explicit short_runs(std::uint64_t seed) : fake_fleet(seed)
    {
        add_worker("w", 8000);
        behaviour = [this](std::string const& task)
        {
            ++starts_of[task];
            return platform_worker::run{0, time_point{milliseconds{30}}, "done",
                                        1000};
        };
    }

    [[nodiscard]] auto known() const -> worker_entry const&
    {
        return leader->workers().at(worker_id{"w"});
    }

    std::map<std::string, int> starts_of;
};

// Until the leader had heard of a worker's next life, its polls released the
// ends of that life under the numbers of the former one. Tasks that had ended
// as done ran again.
TEST(worker_life, polls_release_no_ends_of_a_life_that_is_not_known)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        short_runs it{seed};
        it.run(milliseconds{1500});
        it.submit("a", {fake_fleet::step(8)});
        it.run(milliseconds{1500});
        ASSERT_EQ(it.state_of("a"), workflow_state::completed);
        it.unheard.insert("w");
        it.workers["w"]->restart(2, it.now);
        it.submit("b", {fake_fleet::step(4)});
        it.run(milliseconds{20 * seed});
        it.submit("c", {fake_fleet::step(4)});
        it.run(milliseconds{800});
        it.unheard.clear();
        it.run(seconds{10});
        for (auto const& [task, starts] : it.starts_of)
        {
            EXPECT_EQ(starts, 1) << task;
        }
        EXPECT_EQ(it.state_of("b"), workflow_state::completed);
        EXPECT_EQ(it.state_of("c"), workflow_state::completed);
        EXPECT_TRUE(it.violations.empty());
    }
}

// The commit of a life's last ends may take longer than the restart. It raised
// the number up to which the next life's ends were released.
TEST(worker_life, ends_of_a_former_life_release_none_of_the_next_one)
{
    short_runs it{1};
    it.run(milliseconds{1500});
    it.workers["w"]->restart(2, it.now);
    it.run(milliseconds{1500});
    ASSERT_EQ(it.known().incarnation, worker_incarnation{2});
    it.leader->on_recorded(
        {{}, {{{worker_id{"w"}, worker_incarnation{1}}, end_number{9}}}},
        it.now);
    EXPECT_EQ(it.known().recorded, end_number{});
    it.leader->on_recorded(
        {{}, {{{worker_id{"w"}, worker_incarnation{2}}, end_number{9}}}},
        it.now);
    EXPECT_EQ(it.known().recorded, end_number{9});
}

// Answers to starts name no life, but the clock of the next one begins anew.
TEST(worker_life, a_clock_that_goes_back_shows_another_life)
{
    worker_lease lease;
    auto const at = [](std::int64_t ms)
    { return time_point{milliseconds{ms}}; };
    EXPECT_FALSE(lease.is_of_other_life(worker_clock{0}, at(0)));
    lease.sample(worker_clock{10'000}, at(5'000));
    // 2 % slow since the sample, and as fast as possible before it.
    EXPECT_FALSE(lease.is_of_other_life(worker_clock{10'980}, at(6'000)));
    EXPECT_TRUE(lease.is_of_other_life(worker_clock{10'900}, at(6'000)));
    EXPECT_FALSE(lease.is_of_other_life(worker_clock{9'000}, at(4'000)));
    EXPECT_TRUE(lease.is_of_other_life(worker_clock{8'900}, at(4'000)));
}

} // namespace
} // namespace apricotlb
