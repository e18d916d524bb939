#include "adapters/msgpack_codec.hpp"
#include "app/announcement_relay.hpp"
#include "app/control_link.hpp"
#include "core/fleet/run_scheduler.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{
namespace
{

struct label_counts
{
    auto count(std::string_view /*name*/, std::string_view label) -> void
    {
        ++counts[std::string{label}];
    }
    auto record(std::string_view /*name*/, std::string_view /*label*/,
                duration /*d*/) -> void
    {
    }

    std::map<std::string, std::int64_t> counts;
};

/// The part of group_link that the relay uses.
struct fake_group
{
    using send_function = std::function<void(node_id const&, call const&)>;

    [[nodiscard]] auto calls() -> auto& { return link; }

    control_link<paused_clock, send_function> link;
};

/// Control processes that take announcements, and one that leads. Messages
/// take 1 ms.
class relay_group
{
public:
    explicit relay_group(std::size_t processes,
                         round_trigger trigger = round_trigger::interval)
    {
        lead();
        for (std::size_t n = 0; n < processes; ++n)
        {
            auto& it = *members.emplace_back(std::make_unique<member>());
            it.group.reset(new fake_group{
                {clock,
                 [this, &it](node_id const& /*to*/, call const& message)
                 { deliver(it, message); },
                 {node_id{"leader"}}}});
            it.relay = std::make_unique<
                announcement_relay<paused_clock, fake_group, label_counts>>(
                clock, *it.group, it.metrics, trigger);
        }
        if (trigger == round_trigger::ping)
        {
            ping();
        }
    }

    /// A leader of the next term that knows nothing.
    auto lead() -> void
    {
        ++leader_term;
        scheduler = std::make_unique<run_scheduler>(
            state, leader_term, clock.now(), fleet_policy{seconds{10}});
    }

    /// Starts workers that announce themselves every 1.1 s, spread over the
    /// processes and over time.
    auto add_workers(std::size_t count) -> void
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            clock.start_timer(announcement_interval * n / count,
                              [this, n] { announce(n); });
        }
    }

    [[nodiscard]] auto silent_workers() const -> std::int64_t
    {
        return std::ranges::count_if(
            scheduler->workers(),
            [this](auto const& each)
            {
                return clock.now() - each.second.last_contact >
                       announcement_interval + config::worker_renewal_interval +
                           milliseconds{5};
            });
    }

    struct member
    {
        label_counts metrics;
        std::unique_ptr<fake_group> group;
        std::unique_ptr<
            announcement_relay<paused_clock, fake_group, label_counts>>
            relay;
        std::size_t calls{0}; ///< that reached the leader
    };

    static constexpr duration announcement_interval = milliseconds{1100};
    paused_clock clock;
    state_machine state;
    term leader_term;
    std::unique_ptr<run_scheduler> scheduler;
    bool answers{true}; ///< false: messages to the leader are lost
    std::vector<std::unique_ptr<member>> members;
    std::size_t acknowledged{0};
    std::size_t refused{0};

private:
    auto ping() -> void
    {
        clock.start_timer(config::leader_ping_interval, [this] { ping(); });
        for (auto& it : members)
        {
            it->relay->on_ping();
        }
    }

    auto announce(std::size_t worker) -> void
    {
        clock.start_timer(announcement_interval,
                          [this, worker] { announce(worker); });
        auto const id = "w" + std::to_string(worker);
        worker_announcement it;
        it.instance = {worker_id{id}, worker_incarnation{1}};
        it.address = url{"http://" + id};
        auto const since = clock.now().time_since_epoch();
        it.clock = worker_clock{
            std::chrono::duration_cast<milliseconds>(since).count()};
        it.number = sequence{static_cast<std::uint64_t>(since.count()) + 1};
        members[worker % members.size()]->relay->announce(
            it, [this](result<void> const& taken)
            { ++(taken ? acknowledged : refused); });
    }

    auto deliver(member& from, call const& message) -> void
    {
        constexpr auto delay = milliseconds{1};
        auto const bytes = msgpack_codec::encode(message);
        clock.start_timer(
            delay,
            [this, &from, bytes, delay]
            {
                if (!answers)
                {
                    return;
                }
                ++from.calls;
                call_answer const answer =
                    serve(msgpack_codec::decode<call>(
                              std::string_view{bytes.data(), bytes.size()})
                              .value());
                clock.start_timer(
                    delay, [&from, answer]
                    { from.group->link.take(node_id{"leader"}, answer); });
            });
    }

    auto serve(call const& it) -> call_answer
    {
        contact_answer out{leader_term, {}, {}};
        auto const& batch = std::get<contact_batch>(it.body);
        for (auto const& each : batch.announcements)
        {
            scheduler->on_announcement(each.value, clock.now(), each.age);
        }
        for (auto const& each : batch.contacts)
        {
            if (!scheduler->on_contact(each, clock.now()))
            {
                out.unknown.push_back(each.instance.id);
            }
        }
        (void)scheduler->take_actions();
        return {it.id, out};
    }
};

/// Calls of each process in ten seconds of steady announcements.
auto steady_calls(std::size_t workers) -> std::vector<std::size_t>
{
    relay_group it{4};
    it.add_workers(workers);
    it.clock.advance(seconds{4});
    for (auto& member : it.members)
    {
        member->calls = 0;
    }
    auto const before = it.acknowledged;
    it.clock.advance(seconds{10});
    EXPECT_EQ(it.scheduler->workers().size(), workers);
    EXPECT_EQ(it.silent_workers(), 0);
    EXPECT_EQ(it.refused, 0U);
    EXPECT_GE(it.acknowledged - before, workers * 9);
    std::vector<std::size_t> out;
    for (auto const& member : it.members)
    {
        EXPECT_EQ(member->metrics.counts["waiting"], 0);
        out.push_back(member->calls);
    }
    return out;
}

// A leader whose work grows with each announcement of each worker sends its
// heartbeats late and is deposed.
TEST(leader_load, does_not_grow_with_the_announcements_of_workers)
{
    constexpr auto calls_per_second =
        seconds{1} / config::worker_renewal_interval;
    for (auto const workers :
         {std::size_t{35}, std::size_t{350}, std::size_t{1400}})
    {
        for (auto const calls : steady_calls(workers))
        {
            EXPECT_LE(calls, 10 * calls_per_second) << workers << " workers";
        }
    }
}

// A leader that learns of each worker only with its next announcement places
// nothing for a second and calls all of them one by one.
TEST(leader_load, a_new_leader_knows_all_workers_at_once)
{
    relay_group it{4};
    it.add_workers(350);
    it.clock.advance(seconds{4});
    it.answers = false;
    it.clock.advance(milliseconds{700});
    it.answers = true;
    it.lead();
    for (auto& member : it.members)
    {
        member->calls = 0;
        member->relay->on_leader(it.leader_term);
    }
    it.clock.advance(milliseconds{3});
    EXPECT_EQ(it.scheduler->workers().size(), 350U);
    for (auto const& member : it.members)
    {
        EXPECT_LE(member->calls, announcement_intake::max_calls_per_round);
    }
}

// Without its notice the new leader is found by the next round.
TEST(leader_load, a_new_leader_without_notice_knows_all_workers_soon)
{
    relay_group it{4};
    it.add_workers(350);
    it.clock.advance(seconds{4});
    it.lead();
    it.clock.advance(config::worker_renewal_interval + milliseconds{5});
    EXPECT_EQ(it.scheduler->workers().size(), 350U);
}

// A worker whose process does not reach the leader has to hear of it within
// the second after which it calls another one.
TEST(announcement_relay, refuses_in_time_while_the_leader_is_out_of_contact)
{
    relay_group it{1};
    it.add_workers(1);
    it.clock.advance(seconds{3});
    it.answers = false;
    it.clock.advance(seconds{3});
    EXPECT_EQ(it.refused, 1U);
    auto& counts = it.members[0]->metrics.counts;
    EXPECT_EQ(counts["unanswered"], 1);
    EXPECT_GE(counts["waiting"], 1);
    it.answers = true;
    it.clock.advance(seconds{3});
    EXPECT_EQ(it.refused, 1U);
}

// A worker that drains waits for its acknowledgement, and the leader must have
// taken it by then.
TEST(announcement_relay, answers_a_draining_worker_after_the_leader)
{
    relay_group it{1};
    worker_announcement draining;
    draining.instance = {worker_id{"w"}, worker_incarnation{1}};
    draining.phase = worker_phase::draining;
    draining.number = sequence{1};
    auto known = false;
    it.members[0]->relay->announce(draining,
                                   [&](result<void> const& taken)
                                   {
                                       known = taken.has_value() &&
                                               it.scheduler->workers().contains(
                                                   worker_id{"w"});
                                   });
    EXPECT_FALSE(known);
    it.clock.advance(announcement_relay<paused_clock, fake_group,
                                        label_counts>::reply_delay);
    EXPECT_TRUE(known);
}

// Workers that were answered in one moment called again in one moment, and the
// backlog of the listening socket dropped some of the connections.
TEST(announcement_relay, does_not_line_up_the_workers)
{
    relay_group it{1};
    constexpr auto spacing = milliseconds{30};
    std::vector<time_point> sent;
    std::vector<time_point> answered;
    for (auto n = 0; n < 6; ++n)
    {
        worker_announcement announcement;
        announcement.instance.id = worker_id{"w" + std::to_string(n)};
        announcement.number = sequence{1};
        sent.push_back(it.clock.now());
        it.members[0]->relay->announce(announcement,
                                       [&](result<void> const& /*taken*/)
                                       { answered.push_back(it.clock.now()); });
        it.clock.advance(spacing);
    }
    it.clock.advance(seconds{1});
    ASSERT_EQ(answered.size(), sent.size());
    for (std::size_t n = 1; n < sent.size(); ++n)
    {
        EXPECT_EQ(answered[n] - answered[n - 1], spacing);
    }
}

// 147 entry processes that call the leader five times a second each, beside
// their pings, would take most of its messages.
TEST(leader_load, calls_of_an_entry_process_leave_with_its_pings)
{
    relay_group it{8, round_trigger::ping};
    constexpr std::size_t workers = 96;
    it.add_workers(workers);
    it.clock.advance(seconds{4});
    for (auto& member : it.members)
    {
        member->calls = 0;
    }
    auto const before = it.acknowledged;
    it.clock.advance(seconds{10});
    EXPECT_EQ(it.refused, 0U);
    EXPECT_GE(it.acknowledged - before, workers * 9);
    constexpr auto pings_per_second = seconds{1} / config::leader_ping_interval;
    for (auto const& member : it.members)
    {
        EXPECT_LE(member->calls, 10 * (pings_per_second + 1));
    }
}

// A worker that drains must not wait for the next ping but one: after a second
// it calls another process.
TEST(announcement_relay, an_entry_process_acknowledges_draining_in_time)
{
    relay_group it{1, round_trigger::ping};
    it.clock.advance(config::leader_ping_interval + milliseconds{1});
    worker_announcement draining;
    draining.instance = {worker_id{"w"}, worker_incarnation{1}};
    draining.phase = worker_phase::draining;
    draining.number = sequence{1};
    std::optional<time_point> acknowledged_at;
    auto const sent_at = it.clock.now();
    it.members[0]->relay->announce(draining,
                                   [&](result<void> const& taken)
                                   {
                                       ASSERT_TRUE(taken);
                                       acknowledged_at = it.clock.now();
                                   });
    it.clock.advance(seconds{1});
    ASSERT_TRUE(acknowledged_at);
    EXPECT_LE(*acknowledged_at - sent_at,
              announcement_intake::acknowledgement_timeout);
}

} // namespace
} // namespace apricotlb
