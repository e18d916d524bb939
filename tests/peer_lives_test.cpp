// Decisions between the lives of a peer, without a transport.
#include "core/group/peer_lives.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>

namespace apricotlb
{
namespace
{

class peer_lives_test : public testing::Test
{
protected:
    auto hear(std::uint64_t life, std::uint64_t number = 0) -> life_decision
    {
        return lives.hear({incarnation{life},
                           sequence{number == 0 ? ++last_number : number}, 100,
                           true},
                          now);
    }
    auto challenge() -> std::optional<challenge_nonce>
    {
        return lives.take_due_challenge(now, random);
    }
    auto answer(std::uint64_t life, challenge_nonce nonce) -> life_event
    {
        return lives.take_answer(incarnation{life}, nonce, now);
    }
    /// Makes a life the known one by its answer.
    auto confirm(std::uint64_t life) -> void
    {
        now += peer_lives::former_answer_delay + milliseconds{1};
        hear(life);
        ASSERT_EQ(answer(life, challenge().value()), life_event::confirmed);
    }

    peer_lives lives;
    time_point now{seconds{100}};
    std::uint64_t random{17};
    std::uint64_t last_number{0};
};

// A late answer to the nonce of an earlier claim is of a process that may have
// ended since.
TEST_F(peer_lives_test, takes_no_answer_to_an_earlier_nonce)
{
    hear(5);
    hear(4);
    auto const first = challenge().value();
    EXPECT_EQ(answer(5, first), life_event::refused);
    EXPECT_EQ(answer(5, first), life_event::none);
    now += seconds{1};
    hear(3);
    auto const second = challenge().value();
    EXPECT_NE(first, second);
    EXPECT_EQ(answer(4, first), life_event::none);
    EXPECT_EQ(answer(3, second), life_event::confirmed);
    EXPECT_EQ(lives.known(), incarnation{3});
}

// A round trip may be longer than the interval of challenges: with a nonce for
// each of them no answer would count.
TEST_F(peer_lives_test, repeats_the_nonce_of_a_claim)
{
    hear(5);
    hear(4);
    auto const first = challenge();
    ASSERT_TRUE(first);
    EXPECT_FALSE(challenge());
    now += peer_lives::challenge_interval;
    EXPECT_EQ(challenge(), first);
}

// Late messages of one former life must not keep a living one from being taken.
TEST_F(peer_lives_test, a_third_life_that_answers_is_the_living_one)
{
    hear(5);
    hear(6);
    auto const nonce = challenge().value();
    EXPECT_EQ(hear(4).verdict, life_verdict::held);
    EXPECT_EQ(answer(4, nonce), life_event::confirmed);
    EXPECT_EQ(hear(5).verdict, life_verdict::refused);
    EXPECT_EQ(hear(4).verdict, life_verdict::taken);
}

// A life that was replaced by mistake and comes back must not have its messages
// taken twice.
TEST_F(peer_lives_test, a_life_that_comes_back_keeps_its_numbers)
{
    hear(5, 10);
    confirm(4);
    EXPECT_EQ(hear(5, 11).verdict, life_verdict::refused);
    confirm(5);
    EXPECT_EQ(hear(5, 10).verdict, life_verdict::duplicate);
    EXPECT_EQ(hear(5, 11).verdict, life_verdict::taken);
}

// The answer of a process that was replaced must not bring it back while the
// process that replaced it is heard.
TEST_F(peer_lives_test, a_replaced_life_answers_for_nothing_beside_the_known)
{
    hear(5);
    confirm(4);
    hear(5);
    now += peer_lives::challenge_interval;
    auto const nonce = challenge().value();
    EXPECT_EQ(answer(5, nonce), life_event::none);
    EXPECT_EQ(answer(4, nonce), life_event::refused);
    now += peer_lives::former_answer_delay + milliseconds{1};
    hear(5);
    EXPECT_EQ(answer(5, challenge().value()), life_event::confirmed);
}

// A late message of a remembered life must not prolong the time until a living
// process is taken without an answer.
TEST_F(peer_lives_test, a_remembered_life_does_not_interrupt_a_claim)
{
    hear(5);
    confirm(4);
    auto const start = now;
    while (hear(3).verdict == life_verdict::held)
    {
        hear(5);
        now += milliseconds{100};
        ASSERT_LE(now - start, 2 * config::peer_timeout);
    }
    EXPECT_EQ(lives.known(), incarnation{3});
}

// A living process that was remembered by mistake and cannot be asked must not
// stay unheard for good.
TEST_F(peer_lives_test, takes_a_remembered_life_after_the_time_of_connections)
{
    hear(5);
    confirm(4);
    auto const start = now;
    auto reports = 0;
    for (;;)
    {
        auto const it = hear(5);
        reports += it.event == life_event::unanswered ? 1 : 0;
        if (it.verdict != life_verdict::refused)
        {
            EXPECT_EQ(it.event, life_event::unconfirmed);
            break;
        }
        now += config::keepalive_interval;
        ASSERT_LE(now - start, 2 * peer_lives::former_life_delay);
    }
    EXPECT_GT(now - start, peer_lives::former_life_delay);
    EXPECT_EQ(reports, 1);
}

// A process that restarts for ever must not fill the memory of its peers.
TEST_F(peer_lives_test, remembers_a_bounded_number_of_lives)
{
    constexpr std::uint64_t count = peer_lives::max_former_lives + 2;
    hear(1);
    for (std::uint64_t life = 2; life <= count; ++life)
    {
        confirm(life);
    }
    EXPECT_EQ(hear(1).verdict, life_verdict::held);
    EXPECT_EQ(hear(count - 1).verdict, life_verdict::refused);
    EXPECT_TRUE(lives.note_refusal(incarnation{count - 1}));
    EXPECT_FALSE(lives.note_refusal(incarnation{count - 1}));
}

} // namespace
} // namespace apricotlb
