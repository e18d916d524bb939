#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace apricotlb
{
namespace
{

/// Callers that submit workflows of two steps of four tasks, one second each,
/// to a fleet of 16 cores: it can end two of them in a second. Allowed are
/// twice the chain of two seconds and one second.
class loaded_fleet
{
public:
    explicit loaded_fleet(std::uint64_t seed) : fleet_(seed)
    {
        for (auto n = 0; n < 4; ++n)
        {
            fleet_.add_worker("w" + std::to_string(n), 4000);
        }
        auto set = *fleet_.state.contract_sets().current();
        set.version = contract_set_version{2};
        set.queues[0].stretch = permille{2000};
        set.queues[0].target = milliseconds{1000};
        fleet_.apply(apply_contract_set{set});
        fleet_.run(seconds{2});
    }

    /// Submits one workflow every `interval` for a time.
    auto load(duration interval, duration time) -> void
    {
        auto first = fake_fleet::step(4);
        first.estimate = milliseconds{1000};
        auto second = first;
        second.prerequisites = {step_index{0}};
        for (auto const end = fleet_.now + time; fleet_.now < end;)
        {
            auto const id = "f" + std::to_string(submitted_.size());
            fleet_.submit(id, {first, second});
            submitted_[id] = fleet_.now;
            run(interval);
        }
    }

    auto run(duration time) -> void
    {
        for (auto const end = fleet_.now + time; fleet_.now < end;)
        {
            fleet_.run(milliseconds{50});
            for (auto const& [id, at] : submitted_)
            {
                if (!ended_.contains(id) &&
                    fleet_.state_of(id) == workflow_state::completed)
                {
                    ended_[id] = fleet_.now - at;
                }
            }
        }
    }

    auto change_leader() -> void { fleet_.lead(); }

    [[nodiscard]] auto submitted() const -> std::size_t
    {
        return submitted_.size();
    }
    [[nodiscard]] auto ended() const -> std::size_t { return ended_.size(); }
    [[nodiscard]] auto ended_in_time() const -> std::size_t
    {
        static constexpr duration allowed = seconds{5};
        return static_cast<std::size_t>(std::ranges::count_if(
            ended_, [](auto const& it) { return it.second <= allowed; }));
    }

private:
    fake_fleet fleet_;
    std::map<std::string, time_point> submitted_;
    std::map<std::string, duration> ended_; ///< after its submission
};

// With the least slack first, a backlog that does not clear makes each workflow
// start when its slack has ended, and nearly all of them are late.
TEST(overload_order, ends_what_the_fleet_can_serve_in_time)
{
    loaded_fleet it{31};
    // 1.5 times what the fleet can serve: two of three can be in time.
    it.load(milliseconds{333}, seconds{40});
    it.run(seconds{5});
    EXPECT_GE(it.ended_in_time() * 2, it.submitted());
    it.run(seconds{30});
    EXPECT_EQ(it.ended(), it.submitted());
}

// A short crest that fits into the slack of the work must make none of it late.
TEST(overload_order, ends_all_work_of_a_short_crest_in_time)
{
    loaded_fleet it{32};
    it.load(milliseconds{333}, seconds{3});
    it.run(seconds{10});
    EXPECT_EQ(it.ended_in_time(), it.submitted());
}

} // namespace
} // namespace apricotlb
