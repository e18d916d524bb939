/// Workers that restart with clocks that were set ahead, back, and back again,
/// among late announcements of former lives, order faults and changes of
/// leader, in seeded schedules.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

class life_schedule
{
public:
    explicit life_schedule(std::uint64_t seed)
        : fleet(seed), random_(seed * 7919 + 3)
    {
        for (auto const& id : ids_)
        {
            fleet.add_worker(id, 4000, next_born(id));
        }
        fleet.behaviour = [this](std::string const&)
        {
            milliseconds const time{
                static_cast<std::int64_t>(700 + below(500))};
            return platform_worker::run{
                0, time_point{below(100) < 8 ? time * 7 : time}, "done", 1000};
        };
        fleet.faults = {seed % 2 * 5, 0, seed % 5, 0};
    }

    auto run() -> void
    {
        for (auto n = 0; n < 120; ++n)
        {
            step(n);
            fleet.run(milliseconds{250});
        }
        fleet.cut.clear();
        fleet.faults = {};
        fleet.run(seconds{20});
    }

    /// Workers of which the leader does not know the living life.
    [[nodiscard]] auto unknown_lives() const -> std::set<std::string>
    {
        std::set<std::string> out;
        for (auto const& id : ids_)
        {
            auto const found = fleet.leader->workers().find(worker_id{id});
            if (found == fleet.leader->workers().end() ||
                found->second.incarnation !=
                    fleet.announcement_of(id).instance.incarnation)
            {
                out.insert(id);
            }
        }
        return out;
    }

    fake_fleet fleet;

private:
    auto below(std::uint64_t n) -> std::uint64_t
    {
        return next_random(random_) % n;
    }

    /// The time of day on the clock of a worker, which may have been set.
    auto next_born(std::string const& id) -> std::int64_t
    {
        constexpr std::array<std::int64_t, 8> offsets{
            0, 0, -1'000, 1'000, -40'000, 40'000, -18'000'000, 86'400'000};
        constexpr std::int64_t start = 1'000'000'000;
        auto born =
            start + offsets[below(offsets.size())] +
            std::chrono::duration_cast<milliseconds>(fleet.now - time_point{})
                .count();
        while (!born_[id].insert(born).second)
        {
            ++born;
        }
        return born;
    }

    auto step(int n) -> void
    {
        if (n < 90 && below(8) == 0)
        {
            fleet.submit(
                "f" + std::to_string(n),
                {fake_fleet::step(static_cast<std::int64_t>(1 + below(8)))});
        }
        auto const is_elected = below(24) == 0;
        if (is_elected)
        {
            fleet.lead();
        }
        auto const& id = ids_[below(ids_.size())];
        if (below(10) == 0)
        {
            held_up_.push_back(fleet.announcement_of(id));
            fleet.workers[id]->restart(next_born(id), fleet.now);
        }
        if (below(30) == 0)
        {
            fleet.cut.insert(id);
        }
        if (below(8) == 0)
        {
            fleet.cut.clear();
        }
        if (!held_up_.empty() && (is_elected || below(6) == 0))
        {
            auto& late = held_up_[below(held_up_.size())];
            ++late.number;
            fleet.leader->on_announcement(
                late, fleet.now,
                milliseconds{static_cast<std::int64_t>(below(3) * 700)});
        }
    }

    std::vector<std::string> const ids_{"w1", "w2", "w3", "w4"};
    std::map<std::string, std::set<std::int64_t>> born_;
    std::vector<worker_announcement> held_up_; ///< the last ones of lives
    std::uint64_t random_;
};

// Lives of workers were ordered by the times of day of their starts: a worker
// whose clock was set back was not heard, and a late announcement of a life
// whose clock was ahead ended the living one.
TEST(life_schedule, runs_no_task_twice_and_ends_all_work)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        life_schedule it{seed};
        it.run();
        EXPECT_TRUE(it.fleet.violations.empty())
            << "seed " << seed << ": " << it.fleet.violations.front();
        EXPECT_EQ(it.fleet.live_workflows(), 0U) << "seed " << seed;
        EXPECT_EQ(it.unknown_lives(), std::set<std::string>{})
            << "seed " << seed;
    }
}

} // namespace
} // namespace apricotlb
