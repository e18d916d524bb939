/// Time without a leader in a group of five, over clean and over lossy links.
/// usage: election_bench [SEEDS]
#include "bench/election_world.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace
{

using namespace apricotlb;

constexpr std::size_t voter_count = 5;
constexpr duration play_time = seconds{60};

auto to_ms(duration d) -> long
{
    return static_cast<long>(
        std::chrono::duration_cast<milliseconds>(d).count());
}

/// The three members that are left must agree on everything; the links of one
/// of them lose packets.
auto play_lossy_majority(std::uint64_t seed, double loss) -> election_report
{
    election_world it{voter_count, seed};
    for (std::size_t n = 0; n < 3; ++n)
    {
        it.start(n);
    }
    it.set_loss(2, loss);
    return it.play(play_time);
}

/// All members run; the links of one of them lose packets.
auto play_lossy_member(std::uint64_t seed, double loss) -> election_report
{
    election_world it{voter_count, seed};
    for (std::size_t n = 0; n < voter_count; ++n)
    {
        it.start(n);
    }
    it.set_loss(2, loss);
    return it.play(play_time);
}

/// All members run, and all links lose packets.
auto play_lossy_links(std::uint64_t seed, double loss) -> election_report
{
    election_world it{voter_count, seed};
    for (std::size_t n = 0; n < voter_count; ++n)
    {
        it.start(n);
        it.set_loss(n, loss);
    }
    return it.play(play_time);
}

/// All members run; the links of the first leader lose packets from then on.
auto play_lossy_leader(std::uint64_t seed, double loss) -> election_report
{
    election_world it{voter_count, seed};
    for (std::size_t n = 0; n < voter_count; ++n)
    {
        it.start(n);
    }
    it.play(seconds{5});
    it.set_loss(it.lease_holder().value_or(0), loss);
    return it.play(play_time);
}

enum class leader_fault
{
    crash,
    cut,          ///< from all others
    cut_inward,   ///< hears nobody; the others hear it
    cut_from_one, ///< of the two that its majority needs
};

auto play_leader_fault(std::uint64_t seed, leader_fault fault)
    -> election_report
{
    election_world it{voter_count, seed};
    auto const members =
        fault == leader_fault::cut_from_one ? std::size_t{3} : voter_count;
    for (std::size_t n = 0; n < members; ++n)
    {
        it.start(n);
    }
    it.play(seconds{5});
    auto const leader = it.lease_holder();
    if (!leader)
    {
        return {play_time, play_time, play_time, 0};
    }
    auto const other = *leader == 0 ? std::size_t{1} : std::size_t{0};
    for (std::size_t n = 0; n < voter_count; ++n)
    {
        if (fault == leader_fault::cut_from_one && n != other)
        {
            continue;
        }
        if (fault != leader_fault::crash)
        {
            it.cut(n, *leader);
        }
        if (fault == leader_fault::cut || fault == leader_fault::cut_from_one)
        {
            it.cut(*leader, n);
        }
    }
    if (fault == leader_fault::crash)
    {
        it.crash(*leader);
    }
    return it.play(seconds{20});
}

template <class Play>
auto print(std::string const& name, std::uint64_t seeds, Play play) -> void
{
    std::vector<duration> without;
    std::vector<duration> longest;
    std::vector<duration> commit;
    auto offices = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        auto const it = play(seed);
        without.push_back(it.without_lease);
        longest.push_back(it.longest_without_lease);
        commit.push_back(it.longest_without_commit);
        offices += it.offices;
    }
    for (auto* const list : {&without, &longest, &commit})
    {
        std::ranges::sort(*list);
    }
    auto const middle = seeds / 2;
    auto const high = seeds * 9 / 10;
    std::printf("%-28s %8ld %8ld   %8ld %8ld %8ld   %8ld %8ld   %7.1f\n",
                name.c_str(), to_ms(without[middle]), to_ms(without[high]),
                to_ms(longest[middle]), to_ms(longest[high]),
                to_ms(longest.back()), to_ms(commit[middle]),
                to_ms(commit[high]),
                static_cast<double>(offices) / static_cast<double>(seeds));
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const seeds =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : std::uint64_t{50};
    std::printf("%-28s %17s   %26s   %17s   %7s\n", "ms", "without a lease",
                "longest without a lease", "without a commit", "offices");
    std::printf("%-28s %8s %8s   %8s %8s %8s   %8s %8s\n", "", "p50", "p90",
                "p50", "p90", "max", "p50", "p90");
    for (auto const loss : {0, 5, 10, 20, 40})
    {
        auto const share = loss / 100.0;
        print("three of five, loss " + std::to_string(loss) + " %", seeds,
              [share](std::uint64_t seed)
              { return play_lossy_majority(seed, share); });
    }
    for (auto const loss : {20, 40})
    {
        auto const share = loss / 100.0;
        print("all five, loss " + std::to_string(loss) + " %", seeds,
              [share](std::uint64_t seed)
              { return play_lossy_member(seed, share); });
    }
    for (auto const loss : {5, 10, 20, 40})
    {
        auto const share = loss / 100.0;
        print("all links, loss " + std::to_string(loss) + " %", seeds,
              [share](std::uint64_t seed)
              { return play_lossy_links(seed, share); });
    }
    for (auto const loss : {20, 40})
    {
        auto const share = loss / 100.0;
        print("first leader, loss " + std::to_string(loss) + " %", seeds,
              [share](std::uint64_t seed)
              { return play_lossy_leader(seed, share); });
    }
    auto const play = [seeds](std::string const& name, leader_fault fault)
    {
        print(name, seeds,
              [fault](std::uint64_t seed)
              { return play_leader_fault(seed, fault); });
    };
    play("leader crashes", leader_fault::crash);
    play("leader cut off", leader_fault::cut);
    play("leader hears nobody", leader_fault::cut_inward);
    play("three: leader cut from one", leader_fault::cut_from_one);
    return 0;
}
