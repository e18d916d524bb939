/// Cancelled workflows among order faults, cuts, frozen relays, restarts and
/// changes of leader, in seeded schedules.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace apricotlb
{
namespace
{

class cancel_schedule
{
public:
    explicit cancel_schedule(std::uint64_t seed)
        : fleet(seed), random_(seed * 6271 + 3)
    {
        fleet.behaviour = [](std::string const&)
        {
            return platform_worker::run{0, time_point{std::chrono::hours{1}},
                                        "done", 1000};
        };
        fleet.policy.lease = seconds{10};
        fleet.lead();
        fleet.polls_wait = seed % 2 == 0;
        for (std::uint64_t n = 0; n < workers; ++n)
        {
            fleet.add_worker(name(n), 4000);
        }
        if (seed % 3 == 0)
        {
            fleet.add_relay("r1");
            fleet.add_relay("r2");
        }
    }

    auto run() -> void
    {
        for (auto n = 0; n < 40; ++n)
        {
            step(n);
            fleet.run(milliseconds{300});
        }
        for (auto n = 0; n < 40; ++n)
        {
            fleet.apply(cancel_workflow{workflow_id{flow(n)}, {}});
        }
        fleet.cut.clear();
        fleet.deaf.clear();
        fleet.unheard.clear();
        fleet.faults = {};
        // Orders that are held up are carried out within 6 s.
        fleet.run(seconds{6});
        fleet.run(contact + cancel_time);
    }

    /// Runs at work although their workflows are cancelled.
    [[nodiscard]] auto left() const -> std::string
    {
        std::string out;
        for (auto const& [id, worker] : fleet.workers)
        {
            for (auto const& [task, run] : worker->running())
            {
                out.append(" ").append(task).append(" on ").append(id);
            }
        }
        return out;
    }

    fake_fleet fleet;

private:
    static constexpr std::uint64_t workers = 5;
    static constexpr duration contact = seconds{3};
    static constexpr duration cancel_time = milliseconds{3400};

    static auto name(std::uint64_t n) -> std::string
    {
        return "w" + std::to_string(n);
    }
    static auto flow(int n) -> std::string { return "f" + std::to_string(n); }
    auto below(std::uint64_t n) -> std::uint64_t
    {
        return next_random(random_) % n;
    }

    auto step(int n) -> void
    {
        fleet.submit(flow(n), {fake_fleet::step(
                                  static_cast<std::int64_t>(1 + below(3)))});
        auto const on = name(below(workers));
        switch (below(9))
        {
        case 0:
            fleet.lead();
            break;
        case 1:
            fleet.cut.insert(on);
            break;
        case 2:
            fleet.cut.clear();
            break;
        case 3:
            fleet.workers.at(on)->restart(++born_, fleet.now);
            break;
        case 4:
            fleet.faults = {below(40), below(30), below(10), below(30)};
            break;
        case 5:
            fleet.unheard.insert(on);
            break;
        case 6:
            fleet.deaf.insert(on);
            break;
        case 7:
            fleet.freeze_relay("r1", milliseconds{below(4000)});
            break;
        default:
            fleet.unheard.clear();
            fleet.deaf.clear();
        }
        for (auto k = 0; k < n; ++k)
        {
            if (below(6) == 0)
            {
                fleet.apply(cancel_workflow{workflow_id{flow(k)}, {}});
            }
        }
    }

    std::uint64_t random_;
    std::int64_t born_{1};
};

// A run that nobody asks for any more would go on until its lease is over.
TEST(cancel_schedule, leaves_no_run_of_a_cancelled_workflow)
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        cancel_schedule it{seed};
        it.run();
        EXPECT_EQ(it.left(), "");
    }
}

} // namespace
} // namespace apricotlb
