/// The proxy of the soak stalls a connection as TCP does over a link that loses
/// packets, and passes each byte on once and in order.
#include "adapters/glib_clock.hpp"
#include "soak/http.hpp"
#include "soak/processes.hpp"
#include "soak/proxy.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace apricotlb::soak
{

namespace
{

using std::chrono::milliseconds;

constexpr auto start = time_point{} + std::chrono::hours{1};

auto lossy(double share) -> link_harm
{
    link_harm out;
    out.loss = share;
    return out;
}

/// Waits of chunks that each have a connection of their own.
auto single_waits(std::uint64_t seed, int chunks) -> std::vector<duration>
{
    std::mt19937_64 random{seed};
    std::vector<duration> out(static_cast<std::size_t>(chunks));
    for (auto& it : out)
    {
        it = lane{}.add("a", start, lossy(0.4), random);
    }
    return out;
}

} // namespace

// Stalls of another length than those of TCP show faults that no link causes,
// or hide those that time-outs near a retransmission cause.
TEST(soak_lane, waits_for_each_retransmission_twice_as_long_as_for_the_last)
{
    constexpr auto chunks = 10'000;
    std::map<duration, int> count;
    for (auto const it : single_waits(1, chunks))
    {
        ++count[it];
    }
    EXPECT_NEAR(count[milliseconds{0}], chunks * 0.6, 200);
    EXPECT_NEAR(count[milliseconds{200}], chunks * 0.4 * 0.6, 200);
    EXPECT_NEAR(count[milliseconds{600}], chunks * 0.4 * 0.4 * 0.6, 200);
    EXPECT_NEAR(count[milliseconds{1400}], chunks * 0.4 * 0.4 * 0.4, 200);
    EXPECT_EQ(count.size(), 4U);
}

// Stalls that add up would outlast the end of the fault by any time.
TEST(soak_lane, lets_what_is_behind_a_lost_packet_leave_with_it)
{
    std::mt19937_64 random{1};
    lane it;
    duration longest{};
    for (auto n = 0; n < 10'000; ++n)
    {
        auto const now = start + milliseconds{n};
        longest = std::max(longest, it.add("a", now, lossy(0.4), random));
    }
    EXPECT_EQ(longest, milliseconds{1400});
}

// A run that can't be repeated by its seed can't be traced.
TEST(soak_lane, loses_the_same_packets_with_the_same_seed)
{
    EXPECT_EQ(single_waits(7, 100), single_waits(7, 100));
    EXPECT_NE(single_waits(7, 100), single_waits(8, 100));
}

// A chunk that overtakes a lost one breaks the framing of the messages.
TEST(soak_lane, keeps_what_is_behind_a_stalled_chunk_in_order)
{
    std::mt19937_64 random{1};
    lane it;
    auto last = start;
    auto behind = 0;
    for (auto n = 0; n < 1000; ++n)
    {
        auto const now = start + milliseconds{n};
        auto const due =
            now + it.add(std::to_string(n), now, lossy(0.1), random);
        EXPECT_GE(due, last);
        behind += due == last ? 1 : 0;
        last = due;
    }
    EXPECT_GT(behind, 500);
    for (auto n = 0; n < 1000; ++n)
    {
        EXPECT_EQ(it.take(), std::to_string(n));
    }
}

// Bytes that come after the end of a delay overtook those that were delayed.
TEST(soak_lane, keeps_the_order_when_its_delay_ends)
{
    std::mt19937_64 random;
    link_harm slow;
    slow.delay = milliseconds{900};
    lane it;
    EXPECT_EQ(it.add("a", start, slow, random), milliseconds{900});
    EXPECT_EQ(it.add("b", start + milliseconds{100}, {}, random),
              milliseconds{800});
}

namespace
{

/// A caller, the proxy and a server on loopback.
class soak_proxy : public testing::Test
{
protected:
    soak_proxy()
    {
        EXPECT_TRUE(server.open(ip + ":8001"));
        EXPECT_TRUE(link.open());
        caller = std::make_unique<stream>(connect_to(ip + ":8002"));
        caller->on_bytes = [this](std::string_view it) { answers += it; };
    }

    auto run_for(duration time) -> void
    {
        auto is_over = false;
        clock.start_timer(time, [&] { is_over = true; });
        while (!is_over)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
    }

    glib_clock clock;
    std::string ip{"127." + std::to_string(claim_octet(0)) + ".0.1"};
    std::string requests;
    time_point first_served_at{};
    std::string answers;
    std::unique_ptr<stream> served;
    listener server{[this](int fd)
                    {
                        served = std::make_unique<stream>(fd);
                        served->on_bytes = [this](std::string_view it)
                        {
                            first_served_at = requests.empty()
                                                  ? clock.now()
                                                  : first_served_at;
                            requests += it;
                            served->write(it);
                        };
                    }};
    proxy link{clock, ip + ":8002", ip + ":8001"};
    std::unique_ptr<stream> caller;
};

} // namespace

// A harmed link must be late, and nothing else: lost or exchanged bytes would
// be faults of the soak itself.
TEST_F(soak_proxy, passes_all_bytes_on_in_order_over_a_link_that_loses_packets)
{
    // The first draw of this seed loses the first chunk.
    link.set_harm(lossy(0.9));
    auto const began = clock.now();
    std::string sent;
    for (auto n = 0; n < 40; ++n)
    {
        auto const chunk = std::to_string(n) + ",";
        sent += chunk;
        caller->write(chunk);
        run_for(milliseconds{5});
    }
    while (answers.size() < sent.size() &&
           clock.now() < began + std::chrono::seconds{30})
    {
        run_for(milliseconds{20});
    }
    EXPECT_EQ(requests, sent);
    EXPECT_EQ(answers, sent);
    EXPECT_GE(first_served_at - began, milliseconds{200});
}

// What a caller sent before it closed is lost with the connection only if the
// link is cut.
TEST_F(soak_proxy, delivers_what_is_under_way_when_one_side_closes)
{
    link_harm slow;
    slow.delay = milliseconds{100};
    link.set_harm(slow);
    caller->write("last");
    run_for(milliseconds{20});
    caller.reset();
    run_for(milliseconds{200});
    EXPECT_EQ(requests, "last");
}

namespace
{

/// Callers of a server that is lost, and its successor at the same address.
class soak_lost_target : public testing::Test
{
protected:
    struct call
    {
        std::unique_ptr<stream> connection;
        std::string answer;
        time_point answered_at{};
        bool is_cut{false};
    };

    soak_lost_target()
    {
        EXPECT_TRUE(server.open(ip + ":8001"));
        EXPECT_TRUE(link.open());
        for (auto& it : calls)
        {
            it.connection = std::make_unique<stream>(connect_to(ip + ":8002"));
            it.connection->on_bytes = [this, &it](std::string_view bytes)
            {
                it.answer += bytes;
                it.answered_at = clock.now();
            };
            it.connection->on_closed = [&it] { it.is_cut = true; };
        }
        run_for(milliseconds{50});
    }

    auto send_all() -> void
    {
        for (std::size_t n = 0; n < calls.size(); ++n)
        {
            calls[n].connection->write("call " + std::to_string(n) + ".");
        }
        run_for(milliseconds{50});
    }
    auto end_life() -> void
    {
        link.lose_target(1);
        server.close();
        served.clear();
        requests.clear();
    }
    auto begin_life(std::uint64_t seed) -> void
    {
        EXPECT_TRUE(server.open(ip + ":8001"));
        link.regain_target(seed);
        begun_at = clock.now();
        run_for(milliseconds{1200});
    }
    auto run_for(duration time) -> void
    {
        auto is_over = false;
        clock.start_timer(time, [&] { is_over = true; });
        while (!is_over)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
    }

    glib_clock clock;
    std::string ip{"127." + std::to_string(claim_octet(0)) + ".0.1"};
    std::string requests;
    std::vector<std::unique_ptr<stream>> served;
    listener server{[this](int fd)
                    {
                        served.push_back(std::make_unique<stream>(fd));
                        auto& it = *served.back();
                        it.on_bytes = [this, &it](std::string_view bytes)
                        {
                            requests += bytes;
                            it.write(bytes);
                        };
                    }};
    proxy link{clock, ip + ":8002", ip + ":8001"};
    std::vector<call> calls{30};
    time_point begun_at{};
};

} // namespace

// The soak could not see a lease that an order to a former life sets: such
// orders never reached the next one.
TEST_F(soak_lost_target,
       hands_calls_of_its_absence_to_the_next_one_or_cuts_them)
{
    end_life();
    send_all();
    EXPECT_EQ(requests, "");
    begin_life(1);
    auto at_once = 0;
    auto late = 0;
    auto cut = 0;
    for (std::size_t n = 0; n < calls.size(); ++n)
    {
        auto const& it = calls[n];
        auto const text = "call " + std::to_string(n) + ".";
        EXPECT_EQ(it.answer, it.is_cut ? "" : text);
        EXPECT_EQ(requests.find(text) == std::string::npos, it.is_cut) << text;
        cut += it.is_cut ? 1 : 0;
        auto const wait = it.answered_at - begun_at;
        at_once += !it.is_cut && wait < milliseconds{50} ? 1 : 0;
        late += !it.is_cut && wait >= milliseconds{50} ? 1 : 0;
    }
    EXPECT_GT(at_once, 3);
    EXPECT_GT(late, 3);
    EXPECT_GT(cut, 3);
}

// An answer of a life that has crashed would acknowledge what nobody holds; a
// call that it has received isn't sent again by TCP.
TEST_F(soak_lost_target, passes_on_no_answer_and_no_received_call_after_a_crash)
{
    link_harm slow;
    slow.delay = milliseconds{100};
    link.set_harm(slow);
    send_all();
    run_for(milliseconds{80});
    EXPECT_FALSE(requests.empty());
    end_life();
    link.set_harm({});
    run_for(milliseconds{200});
    auto const cut = std::ranges::count_if(calls, &call::is_cut);
    EXPECT_GT(cut, 5);
    EXPECT_LT(cut, 25);
    begin_life(1);
    EXPECT_EQ(requests, "");
    for (auto const& it : calls)
    {
        EXPECT_EQ(it.answer, "");
    }
}

// A call whose caller has given up may be carried out later all the same.
TEST_F(soak_lost_target, hands_over_calls_that_nobody_waits_for)
{
    end_life();
    send_all();
    calls.clear();
    run_for(milliseconds{50});
    begin_life(1);
    EXPECT_NE(requests, "");
}

} // namespace apricotlb::soak
