// Processes that restart under lower and higher lives, as the clock of their
// machine was set back or ahead meanwhile (issue 67).
#include "adapters/glib_clock.hpp"
#include "adapters/msgpack_codec.hpp"
#include "adapters/nng_link.hpp"
#include "app/peer_transport.hpp"
#include "core/random.hpp"
#include "core/state/commands.hpp"
#include "fake_peer_parts.hpp"
#include "loopback.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

constexpr duration latency = milliseconds{5};
constexpr duration round_trip = 2 * latency;

auto open_envelope(std::string_view bytes) -> envelope
{
    return msgpack_codec::decode<envelope>(bytes.substr(message_code_bytes))
        .value();
}

/// Carries bytes to the process that listens at an address. A connection stays
/// with the process that it was opened to: what is written to one that has
/// ended is lost without a sign, as after a loss of power.
class network
{
public:
    using handler = std::function<void(std::string_view)>;

    explicit network(paused_clock& clock) : clock_(clock) {}

    auto listen(url const& at, handler run) -> void
    {
        listeners_[at] = {++last_listener_, std::move(run)};
    }
    auto end(url const& at) -> void { listeners_.erase(at); }

    /// The process that listens there now, 0 if none does.
    [[nodiscard]] auto listener(url const& at) const -> std::uint64_t
    {
        auto const it = listeners_.find(at);
        return it == listeners_.end() ? 0 : it->second.first;
    }

    auto carry(url const& at, std::uint64_t to, std::string bytes) -> void
    {
        sent.push_back(bytes);
        if (is_lost && is_lost(open_envelope(bytes)))
        {
            return;
        }
        clock_.start_timer(latency,
                           [this, at, to, bytes = std::move(bytes)]
                           {
                               if (to != 0 && listener(at) == to)
                               {
                                   auto const run = listeners_[at].second;
                                   run(bytes);
                               }
                           });
    }

    std::vector<std::string> sent;
    std::function<bool(envelope const&)> is_lost;

private:
    paused_clock& clock_;
    std::uint64_t last_listener_{0};
    std::map<url, std::pair<std::uint64_t, handler>> listeners_;
};

/// The connections of one process.
class wire
{
public:
    explicit wire(network& net) : net_(net) {}

    auto open(node_id const& peer, url const& at) -> void
    {
        connections_[peer] = {at, net_.listener(at)};
        ++opened;
    }
    auto close(node_id const& peer) -> void { connections_.erase(peer); }
    auto send(node_id const& peer, std::string_view bytes) -> bool
    {
        auto const it = connections_.find(peer);
        if (it == connections_.end())
        {
            return false;
        }
        auto& [at, to] = it->second;
        if (to == 0)
        {
            to = net_.listener(at); // the attempts to connect go on
        }
        net_.carry(at, to, std::string{bytes});
        return true;
    }
    auto on_bytes(std::function<void(std::string_view)> run) -> void
    {
        receive = std::move(run);
    }

    std::function<void(std::string_view)> receive;
    int opened{0};

private:
    network& net_;
    std::map<node_id, std::pair<url, std::uint64_t>> connections_;
};

using wire_transport = peer_transport<command, paused_clock, wire,
                                      msgpack_codec, fake_auth, fake_metrics>;

/// One life of a process. Its end is that of a machine without power.
class process
{
public:
    process(network& net, paused_clock& clock, std::string const& id,
            std::uint64_t life, std::string const& at = {})
        : net_(net), at_("tcp://" + (at.empty() ? id : at)), link_(net),
          transport_({node_id{id}, incarnation{life}, at_}, clock, link_, auth_,
                     metrics)
    {
        net_.listen(at_,
                    [this](std::string_view bytes) { link_.receive(bytes); });
        transport_.on_message(
            [this](node_id const& from, command const& it)
            {
                got.push_back(from.value() + ":" +
                              std::get<retire_worker>(it).id.value());
            });
        transport_.on_life_refused(
            [this](refused_life const& it)
            {
                refused.push_back(it.peer.value() + ":" +
                                  std::to_string(it.refused.value()) + "/" +
                                  std::to_string(it.known.value()) + " " +
                                  std::string{name_of(it.cause)});
            });
    }
    process(process const&) = delete;
    auto operator=(process const&) -> process& = delete;
    ~process() { net_.end(at_); }

    auto meet(std::string const& peer) -> void
    {
        transport_.add_peer(node_id{peer}, url{"tcp://" + peer});
    }
    auto send(std::string const& peer, std::string const& text) -> void
    {
        transport_.send(node_id{peer}, retire_worker{worker_id{text}});
        transport_.flush();
    }
    /// Bytes arrive over a connection that was replaced.
    auto receive_late(std::string const& bytes) -> void
    {
        link_.receive(bytes);
    }
    [[nodiscard]] auto opened() const -> int { return link_.opened; }

    fake_metrics metrics;
    std::vector<std::string> got;
    std::vector<std::string> refused;

private:
    network& net_;
    url at_;
    fake_auth auth_;
    wire link_;
    wire_transport transport_;
};

using texts = std::vector<std::string>;

class peer_restart_test : public testing::Test
{
protected:
    auto start(std::string const& id, std::uint64_t life,
               std::string const& at = {}) -> std::unique_ptr<process>
    {
        return std::make_unique<process>(net, clock, id, life, at);
    }

    /// Starts both processes, which hear each other.
    auto meet(std::uint64_t life_of_a) -> void
    {
        a = start("a", life_of_a);
        b = start("b", 1000);
        a->meet("b");
        b->meet("a");
        clock.advance(config::peer_timeout);
        net.sent.clear();
    }

    auto restart_a(std::uint64_t life) -> void
    {
        a.reset();
        clock.advance(milliseconds{200});
        a = start("a", life);
        a->meet("b");
    }

    /// An envelope of a life of a as its transport sends it, which no link has
    /// carried yet.
    auto late_message(std::uint64_t life, std::string const& text,
                      std::uint64_t number = 1'000) const -> std::string
    {
        envelope it;
        it.from = node_id{"a"};
        it.to = node_id{"b"};
        it.run = incarnation{life};
        it.number = sequence{challenge_numbers_begin.value() + number};
        it.reply_to = url{"tcp://a"};
        it.body =
            msgpack_codec::encode(command{retire_worker{worker_id{text}}});
        return seal(it);
    }
    /// The same of a program that answers no challenges.
    auto earlier_message(std::uint64_t life, std::string const& text,
                         std::uint64_t number) const -> std::string
    {
        auto it = open_envelope(late_message(life, text));
        it.number = sequence{acknowledgement_numbers_begin.value() + number};
        return seal(it);
    }
    [[nodiscard]] auto seal(envelope const& it) const -> std::string
    {
        auto const bytes = msgpack_codec::encode(it);
        return auth.compute_mac(bytes) + bytes;
    }

    auto count_sent(std::uint32_t version) const -> std::ptrdiff_t
    {
        return std::count_if(net.sent.begin(), net.sent.end(),
                             [version](std::string const& bytes) {
                                 return open_envelope(bytes).version == version;
                             });
    }

    /// Time from now until a process has got a text from a peer, which sends it
    /// anew at each heartbeat if asked to.
    auto time_until_got(process const& it, std::string const& text,
                        std::function<void()> const& send = {}) -> duration
    {
        auto const start_time = clock.now();
        if (send)
        {
            send();
        }
        while (std::find(it.got.begin(), it.got.end(), text) == it.got.end() &&
               clock.now() - start_time < seconds{60})
        {
            clock.advance(milliseconds{1});
            if (send &&
                (clock.now() - start_time) % config::heartbeat_interval ==
                    duration{0})
            {
                send();
            }
        }
        return clock.now() - start_time;
    }

    paused_clock clock;
    network net{clock};
    fake_auth auth;
    std::unique_ptr<process> a;
    std::unique_ptr<process> b;
};

// A process whose clock was set back between two starts was heard by nobody who
// knew its former life, for 30 s after that one was last heard.
TEST_F(peer_restart_test, hears_a_lower_life_within_a_round_trip)
{
    meet(500);
    restart_a(400);
    EXPECT_LE(time_until_got(*b, "a:first", [&] { a->send("b", "first"); }),
              latency + round_trip);
    b->send("a", "answer");
    EXPECT_LE(time_until_got(*a, "b:answer"), latency);
    EXPECT_EQ(b->metrics.counts["former_life"], 0);
    EXPECT_EQ(b->metrics.counts["confirmed"], 1);
}

// The higher life is confirmed as the lower one is: a late message of a former
// life may have the higher number.
TEST_F(peer_restart_test, hears_a_higher_life_within_a_round_trip)
{
    meet(500);
    restart_a(600);
    a->send("b", "first");
    EXPECT_LE(time_until_got(*b, "a:first"), latency + round_trip);
    EXPECT_EQ(b->metrics.counts["confirmed"], 1);
}

// A process that comes back at another address has ended at the former one.
TEST_F(peer_restart_test, hears_a_lower_life_at_another_address)
{
    meet(500);
    a.reset();
    a = start("a", 400, "a2");
    a->meet("b");
    a->send("b", "first");
    EXPECT_LE(time_until_got(*b, "a:first"), latency + round_trip);
    b->send("a", "answer");
    EXPECT_LE(time_until_got(*a, "b:answer"), latency);
}

// What a replaced connection still delivers must not be taken for a message of
// the living process, nor bring its former life back, whichever number is
// higher and whether the receiver knew the former life.
TEST_F(peer_restart_test, late_messages_of_a_former_life_do_not_bring_it_back)
{
    for (auto const living : {400U, 600U})
    {
        for (auto const is_known : {true, false})
        {
            SCOPED_TRACE(std::to_string(living) + (is_known ? " known" : ""));
            a.reset();
            b.reset();
            if (is_known)
            {
                meet(500);
                restart_a(living);
            }
            else
            {
                meet(living);
            }
            a->send("b", "first");
            clock.advance(seconds{1});
            ASSERT_EQ(b->got, (texts{"a:first"}));
            b->receive_late(late_message(500, "late"));
            a->send("b", "second");
            clock.advance(seconds{1});
            b->receive_late(late_message(500, "later", 1'001));
            a->send("b", "third");
            clock.advance(seconds{1});
            EXPECT_EQ(b->got, (texts{"a:first", "a:second", "a:third"}));
            EXPECT_EQ(b->metrics.counts["former_life"], 2);
            EXPECT_EQ(b->refused,
                      (texts{"a:500/" + std::to_string(living) + " former"}));
        }
    }
}

// A late message with the address of a former life must not take the
// connection away from the living process.
TEST_F(peer_restart_test, a_late_message_does_not_move_the_connection)
{
    meet(400);
    auto late = open_envelope(late_message(500, "late"));
    late.reply_to = url{"tcp://gone"};
    b->receive_late(seal(late));
    b->send("a", "message");
    EXPECT_LE(time_until_got(*a, "b:message"), latency);
    clock.advance(round_trip);
    EXPECT_EQ(b->metrics.counts["former_life"], 1);
}

// Messages that wait for the answer must come once and in order.
TEST_F(peer_restart_test, held_messages_come_once_and_in_order)
{
    meet(500);
    restart_a(400);
    texts expected;
    for (auto n = 0; n < 5; ++n)
    {
        a->send("b", std::to_string(n));
        expected.push_back("a:" + std::to_string(n));
    }
    clock.advance(latency);
    for (auto const& bytes : texts{net.sent})
    {
        if (open_envelope(bytes).from == node_id{"a"})
        {
            b->receive_late(bytes); // doubled while it is held
        }
    }
    EXPECT_TRUE(b->got.empty());
    clock.advance(round_trip);
    EXPECT_EQ(b->got, expected);
    a->send("b", "next");
    clock.advance(seconds{2});
    expected.emplace_back("a:next");
    EXPECT_EQ(b->got, expected);
    EXPECT_GE(b->metrics.counts["duplicate"], 5);
}

// One lost challenge or answer must not leave a living process unheard.
TEST_F(peer_restart_test, repeats_a_lost_challenge_and_a_lost_answer)
{
    for (auto const version : {challenge_version, challenge_answer_version})
    {
        a.reset();
        b.reset();
        meet(500);
        auto losses = 3;
        net.is_lost = [&](envelope const& it)
        { return it.version == version && losses-- > 0; };
        restart_a(400);
        a->send("b", "first");
        EXPECT_LE(time_until_got(*b, "a:first"),
                  latency + round_trip + 4 * config::keepalive_interval / 6);
        net.is_lost = nullptr;
    }
}

// Both knew the former life of the other one until they restarted at once.
TEST_F(peer_restart_test, both_ends_that_restart_at_once_hear_each_other)
{
    meet(500);
    a.reset();
    b.reset();
    clock.advance(milliseconds{200});
    a = start("a", 400);
    b = start("b", 900);
    a->meet("b");
    b->meet("a");
    // The first word that each of them hears is of a former life.
    b->receive_late(late_message(500, "late"));
    auto of_b = open_envelope(late_message(1000, "late"));
    std::swap(of_b.from, of_b.to);
    of_b.reply_to = url{"tcp://b"};
    a->receive_late(seal(of_b));
    a->send("b", "first");
    b->send("a", "first");
    EXPECT_LE(time_until_got(*b, "a:first"), latency + round_trip);
    EXPECT_LE(time_until_got(*a, "b:first"), latency + round_trip);
    a->send("b", "second");
    b->send("a", "second");
    EXPECT_LE(time_until_got(*b, "a:second"), latency);
    EXPECT_LE(time_until_got(*a, "b:second"), latency);
}

// After a restart of all control processes, only the entries remember their
// former lives, and they heard no leader for 30 s.
TEST_F(peer_restart_test, entries_hear_a_core_that_restarted_lower)
{
    texts const core_ids{"c1", "c2", "c3"};
    texts const entry_ids{"e1", "e2", "e3"};
    std::map<std::string, std::unique_ptr<process>> all;
    auto const start_core = [&](std::uint64_t life)
    {
        for (auto const& id : core_ids)
        {
            all[id] = start(id, life);
            for (auto const& peer : core_ids)
            {
                if (peer != id)
                {
                    all[id]->meet(peer);
                }
            }
        }
    };
    start_core(5000);
    for (auto const& id : entry_ids)
    {
        all[id] = start(id, 100);
        for (auto const& peer : core_ids)
        {
            all[id]->meet(peer);
        }
    }
    clock.advance(seconds{3});
    for (auto const& id : core_ids)
    {
        all[id].reset();
    }
    clock.advance(seconds{2});
    start_core(4000);
    // The processes know each other once the keepalives of entries arrive.
    clock.advance(config::peer_timeout + config::keepalive_interval);
    for (auto const& from : core_ids)
    {
        for (auto const& to : entry_ids)
        {
            all[from]->send(to, "order");
            all[to]->send(from, "heartbeat");
        }
    }
    clock.advance(latency + round_trip);
    for (auto const& from : core_ids)
    {
        for (auto const& to : entry_ids)
        {
            EXPECT_EQ(std::count(all[to]->got.begin(), all[to]->got.end(),
                                 from + ":order"),
                      1)
                << from << " " << to;
            EXPECT_EQ(std::count(all[from]->got.begin(), all[from]->got.end(),
                                 to + ":heartbeat"),
                      1)
                << from << " " << to;
        }
    }
}

// Held messages must not fill the memory of the receiver.
TEST_F(peer_restart_test, holds_a_bounded_number_and_size_of_messages)
{
    meet(500);
    net.is_lost = [](envelope const& it)
    { return it.version == challenge_version; };
    restart_a(400);
    clock.advance(milliseconds{100});
    constexpr auto surplus = 10;
    auto const bound = static_cast<int>(peer_lives::max_held_messages);
    for (auto n = 0; n < bound + surplus; ++n)
    {
        b->receive_late(late_message(400, std::to_string(n),
                                     1'000 + static_cast<std::uint64_t>(n)));
    }
    EXPECT_GE(b->metrics.counts["hold_full"], surplus);
    EXPECT_LE(b->metrics.counts["hold_full"], surplus + 5); // keepalives
    EXPECT_TRUE(b->got.empty());
    net.is_lost = nullptr;
    clock.advance(seconds{1});
    EXPECT_GE(b->got.size(), peer_lives::max_held_messages - 5);
    EXPECT_LE(b->got.size(), peer_lives::max_held_messages);

    b->receive_late(
        late_message(300, std::string(peer_lives::max_held_bytes, 'x')));
    EXPECT_EQ(b->metrics.counts["hold_full"] > surplus, true);
}

// A life that is heard once and never again must not hold memory, and it ends
// without a challenge going on for ever.
TEST_F(peer_restart_test, forgets_a_claim_of_which_nothing_more_is_heard)
{
    meet(500);
    a.reset();
    b->receive_late(late_message(400, "late"));
    clock.advance(seconds{5});
    auto const challenges = count_sent(challenge_version);
    EXPECT_GE(challenges, 1);
    EXPECT_LE(challenges, (config::peer_timeout + config::keepalive_interval) /
                              peer_lives::challenge_interval);
    EXPECT_EQ(b->metrics.counts["former_life"], 1);
    clock.advance(seconds{5});
    EXPECT_EQ(count_sent(challenge_version), challenges);
    EXPECT_TRUE(b->got.empty());
}

// A burst of late messages must not become as many challenges.
TEST_F(peer_restart_test, limits_the_rate_of_challenges)
{
    meet(500);
    for (auto n = 0U; n < 1'000; ++n)
    {
        b->receive_late(late_message(400, "late", 1'000 + n));
        clock.advance(milliseconds{1});
    }
    EXPECT_LE(count_sent(challenge_version),
              1 + seconds{1} / peer_lives::challenge_interval);
    EXPECT_TRUE(b->got.empty());
    EXPECT_EQ(b->metrics.counts["former_life"], 1'000);
    EXPECT_EQ(b->refused, (texts{"a:400/500 former"}));
    // The living process is heard all the while.
    a->send("b", "message");
    EXPECT_LE(time_until_got(*b, "a:message"), latency);
}

// During a rolling upgrade, a process of an earlier program answers no
// challenge: its higher life counts at once, a lower one as soon as the known
// life is silent.
TEST_F(peer_restart_test, takes_lives_of_a_program_that_answers_no_challenge)
{
    meet(500);
    a.reset();
    b->receive_late(earlier_message(600, "higher", 1));
    EXPECT_EQ(b->got, (texts{"a:higher"}));
    b->receive_late(earlier_message(550, "lower", 1));
    b->receive_late(earlier_message(500, "former", 1));
    EXPECT_EQ(b->got, (texts{"a:higher"}));
    EXPECT_EQ(b->metrics.counts["former_life"], 2);
    clock.advance(config::peer_timeout + milliseconds{1});
    b->receive_late(earlier_message(500, "former", 2));
    EXPECT_EQ(b->got, (texts{"a:higher"}));
    b->receive_late(earlier_message(550, "lower", 2));
    b->receive_late(earlier_message(550, "lower", 2));
    EXPECT_EQ(b->got, (texts{"a:higher", "a:lower"}));
    EXPECT_EQ(b->metrics.counts["duplicate"], 1);
    EXPECT_EQ(b->metrics.counts["unconfirmed"], 1);
    EXPECT_EQ(count_sent(challenge_version), 0);
}

// An earlier program drops envelopes of versions that it does not know, and
// takes any number: nothing but a restart may send it one.
TEST_F(peer_restart_test, sends_a_program_of_earlier_versions_no_challenge)
{
    b = start("b", 1000);
    b->meet("a");
    for (auto n = 1U; n < 20; ++n)
    {
        b->receive_late(earlier_message(n < 10 ? 500 : 400, "m", n));
        clock.advance(milliseconds{330});
    }
    EXPECT_EQ(count_sent(challenge_version), 0);
    EXPECT_EQ(count_sent(challenge_answer_version), 0);
    EXPECT_EQ(b->metrics.counts["unconfirmed"], 1);
}

// A living process that is heard, and whose answers or challenges do not
// arrive, was dropped for 30 s without a sign.
TEST_F(peer_restart_test,
       takes_a_life_without_an_answer_when_the_known_is_silent)
{
    meet(500);
    net.is_lost = [](envelope const& it) { return it.to == node_id{"a"}; };
    restart_a(400);
    a->send("b", "first");
    auto const waited = time_until_got(*b, "a:first");
    EXPECT_GT(waited, config::peer_timeout);
    EXPECT_LE(waited, config::peer_timeout + 2 * config::keepalive_interval);
    EXPECT_EQ(b->metrics.counts["unconfirmed"], 1);
    EXPECT_EQ(b->refused, (texts{"a:500/400 silent"}));
    // Its former life does not come back by going on without an answer.
    for (auto n = 0U; n < 20; ++n)
    {
        b->receive_late(late_message(500, "late", 1'000 + n));
        clock.advance(milliseconds{100});
    }
    EXPECT_EQ(b->got, (texts{"a:first"}));
}

// A life that was refused and goes on must be seen in the log, and must be
// taken once it answers.
TEST_F(peer_restart_test, reports_a_refused_life_that_goes_on_and_takes_it)
{
    meet(500);
    b->receive_late(late_message(400, "late"));
    clock.advance(seconds{1});
    ASSERT_EQ(b->refused, (texts{"a:400/500 former"}));
    net.is_lost = [](envelope const& it)
    { return it.version == challenge_version; };
    restart_a(400);
    clock.advance(config::peer_timeout + 2 * config::keepalive_interval);
    EXPECT_EQ(b->refused, (texts{"a:400/500 former", "a:400/500 unanswered"}));
    EXPECT_EQ(b->metrics.counts["unanswered"], 1);
    net.is_lost = nullptr;
    clock.advance(config::keepalive_interval);
    a->send("b", "first");
    EXPECT_LE(time_until_got(*b, "a:first"), latency);
}

// A process that was suspended and replaced under its id goes on when it is
// resumed. It must not be heard in turn with the one that replaced it.
TEST_F(peer_restart_test, a_replaced_process_that_goes_on_is_not_heard)
{
    meet(500);
    auto const next = start("a", 400, "a2");
    next->meet("b");
    next->send("b", "first");
    // The suspended process does not answer before the other one does.
    net.is_lost = [](envelope const& it) { return it.run == incarnation{500}; };
    clock.advance(round_trip + latency);
    ASSERT_EQ(b->got, (texts{"a:first"}));
    net.is_lost = nullptr;
    for (auto n = 0; n < 100; ++n)
    {
        a->send("b", "former");
        clock.advance(milliseconds{50});
        next->send("b", "next");
        clock.advance(milliseconds{50});
    }
    EXPECT_EQ(std::count(b->got.begin(), b->got.end(), "a:former"), 0);
    EXPECT_EQ(std::count(b->got.begin(), b->got.end(), "a:next"), 100);
    EXPECT_EQ(b->refused, (texts{"a:500/400 former"}));
}

// Restarts under any life, losses and late messages in any order: nothing of a
// former life may come through, and the living process must be heard as soon as
// nothing is lost.
TEST_F(peer_restart_test, hears_the_living_life_alone_on_random_schedules)
{
    constexpr auto schedules = 200U;
    constexpr auto steps = 400;
    constexpr duration step = milliseconds{10};
    auto dropped = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        auto random = seed;
        auto const draw = [&random](std::uint64_t below)
        { return next_random(random) % below; };
        a.reset();
        b.reset();
        net.is_lost = nullptr;
        std::uint64_t life = 500;
        std::uint64_t former = 0;
        meet(life);
        auto ended = clock.now();
        auto lossy_until = clock.now();
        texts lost_of_former;
        texts lost;
        net.is_lost = [&](envelope const& it)
        {
            auto const is_lost = clock.now() < lossy_until && draw(2) == 0;
            if (is_lost && it.from == node_id{"a"})
            {
                lost.push_back(seal(it));
            }
            return is_lost;
        };
        std::size_t checked = 0;
        for (auto n = 0; n < steps; ++n)
        {
            switch (draw(40))
            {
            case 0: // one restart a second at most, as a process takes time
                if (clock.now() - ended > seconds{1})
                {
                    former = std::exchange(life, life + 1 + draw(1'000'000));
                    if (draw(2) == 0)
                    {
                        life = former - 1 - draw(former - 1);
                    }
                    ended = clock.now();
                    lost_of_former.insert(lost_of_former.end(), lost.begin(),
                                          lost.end());
                    lost.clear();
                    restart_a(life);
                }
                break;
            case 1:
                lossy_until = clock.now() + milliseconds{draw(300)};
                break;
            case 2:
            case 3:
                if (!lost_of_former.empty())
                {
                    b->receive_late(
                        lost_of_former[draw(lost_of_former.size())]);
                }
                break;
            default:
                a->send("b", std::to_string(life));
                break;
            }
            clock.advance(step);
            for (; checked < b->got.size(); ++checked)
            {
                // Until the new life is heard, nothing tells that the known one
                // has ended.
                auto const living = "a:" + std::to_string(life);
                auto const first =
                    std::find(b->got.begin(), b->got.end(), living);
                auto const is_of_former =
                    b->got[checked] == "a:" + std::to_string(former) &&
                    first >=
                        b->got.begin() + static_cast<std::ptrdiff_t>(checked);
                if (!is_of_former)
                {
                    EXPECT_EQ(b->got[checked], living);
                }
            }
        }
        dropped += b->metrics.counts["former_life"];
        net.is_lost = nullptr;
        clock.advance(config::peer_timeout);
        a->send("b", "end");
        EXPECT_LE(time_until_got(*b, "a:end"), latency);
        b->send("a", "end");
        EXPECT_LE(time_until_got(*a, "b:end"), latency);
        if (HasFailure())
        {
            return;
        }
    }
    // The schedules have late messages to refuse.
    EXPECT_GT(dropped, static_cast<int>(schedules));
}

// Challenges must not become a load of undisturbed processes.
TEST_F(peer_restart_test, sends_no_challenge_in_steady_state)
{
    meet(500);
    auto const opened = a->opened() + b->opened();
    clock.advance(seconds{10});
    EXPECT_EQ(count_sent(challenge_version), 0);
    EXPECT_EQ(count_sent(challenge_answer_version), 0);
    // Two processes, each with a keepalive at its interval.
    EXPECT_LE(
        net.sent.size(),
        2 * static_cast<std::size_t>(seconds{10} / config::keepalive_interval));
    EXPECT_EQ(a->opened() + b->opened(), opened);
}

using socket_transport = peer_transport<command, glib_clock, nng_link,
                                        msgpack_codec, fake_auth, fake_metrics>;

/// One life of a process on real sockets.
struct socket_process
{
    socket_process(glib_clock& clock, std::string const& id, std::uint64_t life,
                   url const& listen_at)
        : at(link.listen(listen_at).value()),
          transport({node_id{id}, incarnation{life}, at}, clock, link, auth,
                    metrics)
    {
        transport.on_message(
            [this](node_id const&, command const& it)
            { got.push_back(std::get<retire_worker>(it).id.value()); });
    }

    auto send(std::string const& peer, std::string const& text) -> void
    {
        transport.send(node_id{peer}, retire_worker{worker_id{text}});
    }

    fake_auth auth;
    fake_metrics metrics;
    std::vector<std::string> got;
    nng_link link;
    url at;
    socket_transport transport;
};

// The time until a control process that was restarted below its former life is
// heard again was 30 s; over real sockets the connection to its former life has
// to be replaced meanwhile.
TEST(peer_restart, hears_a_lower_life_at_the_same_port_over_real_sockets)
{
    glib_clock clock;
    socket_process b{clock, "b", 1000, url{"tcp://127.0.0.1:0"}};
    auto a = std::make_unique<socket_process>(clock, "a", 500,
                                              url{"tcp://127.0.0.1:0"});
    auto const at = a->at;
    a->transport.add_peer(node_id{"b"}, b.at);
    a->send("b", "of 500");
    ASSERT_TRUE(run_until([&] { return !b.got.empty(); }));
    b.send("a", "to 500");
    ASSERT_TRUE(run_until([&] { return !a->got.empty(); }));

    a.reset();
    a = std::make_unique<socket_process>(clock, "a", 400, at);
    a->transport.add_peer(node_id{"b"}, b.at);
    auto const start = clock.now();
    std::function<void()> repeat;
    timer_id timer;
    repeat = [&]
    {
        a->send("b", "of 400");
        timer = clock.start_timer(config::heartbeat_interval, repeat);
    };
    repeat();
    EXPECT_TRUE(run_until([&] { return b.got.size() > 1; }));
    auto const heard = clock.now() - start;
    clock.cancel_timer(timer);
    std::cout << "heard after " << heard / milliseconds{1} << " ms\n";
    EXPECT_LE(heard, config::peer_timeout);
    EXPECT_EQ(b.got, (texts{"of 500", "of 400"}));
    b.send("a", "to 400");
    ASSERT_TRUE(run_until([&] { return !a->got.empty(); }));
    EXPECT_EQ(a->got, (texts{"to 400"}));
}

} // namespace
} // namespace apricotlb
