#include "app/control_link.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

struct sent_call
{
    std::string to;
    call message;
};

class control_link_test : public testing::Test
{
protected:
    using send_function = std::function<void(node_id const&, call const&)>;

    auto submit() -> void
    {
        link.submit(retire_worker{worker_id{"w"}},
                    [this](result<apply_result> it) { got = std::move(it); });
    }

    static auto refused(call_id id, std::optional<node_id> leader)
        -> call_answer
    {
        return {id,
                call_failure{error_kind::not_leader, "", std::move(leader)}};
    }

    using answer = result<decltype(call_answer::body)>;

    /// Returns where the answer will be.
    auto start(workflow_action action) -> std::shared_ptr<std::optional<answer>>
    {
        auto out = std::make_shared<std::optional<answer>>();
        link.start(
            workflow_call{action, host_name{"h"}, "/q", std::nullopt},
            [out](answer it) { *out = std::move(it); }, seconds{3});
        return out;
    }
    static auto count(std::int64_t n) -> workflow_answer
    {
        return {{}, true, task_count{n}};
    }
    static auto waiting(answer const& it) -> std::int64_t
    {
        return std::get<workflow_answer>(it.value()).waiting.value();
    }
    static auto kind_of(std::optional<answer> const& it)
        -> std::optional<error_kind>
    {
        return it && it->has_error() ? std::optional{it->error().kind}
                                     : std::nullopt;
    }

    paused_clock clock;
    std::vector<sent_call> sent;
    std::optional<result<apply_result>> got;
    std::vector<call_refusal> reasons;
    control_link<paused_clock, send_function> link{
        clock,
        [this](node_id const& to, call const& it) {
            sent.push_back({to.value(), it});
        },
        {node_id{"c1"}, node_id{"c2"}, node_id{"c3"}}};

    auto SetUp() -> void override
    {
        link.on_refused([this](call_refusal it) { reasons.push_back(it); });
    }
};

// A call sent to a follower must reach the leader without waiting.
TEST_F(control_link_test, follows_the_hint_to_the_leader)
{
    submit();
    link.take(node_id{"c1"}, refused(sent[0].message.id, node_id{"c3"}));
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[1].to, "c3");
    EXPECT_EQ(sent[1].message.id, sent[0].message.id);
    link.take(node_id{"c3"}, {sent[0].message.id, apply_result{}});
    ASSERT_TRUE(got.has_value());
    EXPECT_TRUE(got->has_value());
    EXPECT_EQ(link.leader(), node_id{"c3"});
}

// A leader that is cut off silently must not hold a call forever.
TEST_F(control_link_test, asks_the_next_process_when_no_answer_comes)
{
    submit();
    clock.advance(config::call_retry_interval + milliseconds{60});
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].to, "c1");
    EXPECT_EQ(sent[1].to, "c2");
}

// Without an answer the fate of the change is unknown and must be told so.
TEST_F(control_link_test, reports_no_leader_when_the_time_is_over)
{
    submit();
    clock.advance(config::call_timeout + milliseconds{60});
    ASSERT_TRUE(got.has_value());
    ASSERT_TRUE(got->has_error());
    EXPECT_EQ(got->error().kind, error_kind::no_leader);
    EXPECT_EQ(answer_of(got->error().kind).ran, work_ran::unknown);
}

// A late second answer must not run the callback of a finished call again.
TEST_F(control_link_test, ignores_a_second_answer)
{
    submit();
    auto const id = sent[0].message.id;
    link.take(node_id{"c1"}, {id, apply_result{}});
    got.reset();
    link.take(node_id{"c1"}, {id, apply_result{}});
    EXPECT_FALSE(got.has_value());
}

// Numbers of calls began anew with each start of a process: a late answer to
// its former life counted for a call of the next one.
TEST_F(control_link_test, answers_to_a_former_life_count_for_no_call)
{
    submit();
    auto const former = sent[0].message.id;
    control_link<paused_clock, send_function> next{
        clock,
        [this](node_id const& to, call const& it) {
            sent.push_back({to.value(), it});
        },
        {node_id{"c1"}},
        incarnation{1'700'000'000'000'000}};
    std::optional<result<apply_result>> got_next;
    next.submit(command{},
                [&](result<apply_result> it) { got_next = std::move(it); });
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_NE(sent[1].message.id, former);
    next.take(node_id{"c1"}, {former, apply_result{}});
    EXPECT_FALSE(got_next.has_value());
    next.take(node_id{"c1"}, {sent[1].message.id, apply_result{}});
    EXPECT_TRUE(got_next.has_value());
}

// The numbers of a life that began earlier by the time of day ran into those of
// the former one. The leader took a call for a copy of one that it had open,
// and answered it by the result of that one.
TEST_F(control_link_test, numbers_of_two_lives_never_meet)
{
    constexpr std::uint64_t first_life = 1'700'000'000'000'000;
    constexpr std::size_t calls = 200;
    std::set<call_id> ids;
    for (std::uint64_t back = 0; back < 5; ++back)
    {
        call_table table{{node_id{"c1"}},
                         incarnation{first_life - (back * calls / 2)}};
        for (std::size_t n = 0; n < calls; ++n)
        {
            ids.insert(table.start(command{}, clock.now(), config::call_timeout)
                           .message.id);
        }
    }
    EXPECT_EQ(ids.size(), 5 * calls);
}

// A read that was held over an election was answered by contracts that came
// into force later; another one, sent after it, by the ones before.
TEST_F(control_link_test, answers_no_read_by_a_leader_elected_long_after_it)
{
    auto const first = start(workflow_action::state);
    clock.advance(milliseconds{250});
    link.set_leader(node_id{"c2"}); // elected, with the old contracts
    auto const second = start(workflow_action::state);
    link.take(node_id{"c2"}, {sent.back().message.id, count(4)});
    ASSERT_TRUE(second->has_value());
    EXPECT_EQ(waiting(**second), 4);
    // From here on c2 counts by the new contracts.
    clock.advance(config::call_retry_interval);
    for (auto const& it : std::vector{sent})
    {
        if (it.to == "c2")
        {
            link.take(node_id{"c2"}, {it.message.id, count(8)});
        }
    }
    EXPECT_EQ(kind_of(*first), error_kind::not_leader);
    EXPECT_EQ(reasons, std::vector{call_refusal::leader_changed});
}

// A read that has just been sent need not fail when a leader is elected.
TEST_F(control_link_test, sends_a_fresh_read_to_the_new_leader)
{
    auto const read = start(workflow_action::state);
    link.set_leader(node_id{"c2"});
    clock.advance(milliseconds{60});
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[1].to, "c2");
    link.take(node_id{"c2"}, {sent[1].message.id, count(4)});
    EXPECT_TRUE(*read && (*read)->has_value());
}

// Reads waited for their callers' timeouts while there was no leader.
TEST_F(control_link_test, refuses_reads_soon_without_a_leader)
{
    auto const during_silence = start(workflow_action::state);
    clock.advance(config::call_retry_interval + milliseconds{60});
    EXPECT_EQ(kind_of(*during_silence), error_kind::not_leader);
    clock.advance(config::leader_silence);
    auto const later = start(workflow_action::state);
    clock.advance(config::read_search_time + milliseconds{60});
    EXPECT_EQ(kind_of(*later), error_kind::not_leader);

    // Processes that know no leader are asked once each.
    sent.clear();
    auto const refused_by_all = start(workflow_action::state);
    for (std::size_t n = 0; n < sent.size() && n < 10; ++n)
    {
        link.take(node_id{sent[n].to}, refused(sent[n].message.id, {}));
    }
    EXPECT_EQ(kind_of(*refused_by_all), error_kind::not_leader);
    EXPECT_EQ(sent.size(), 3U);
}

// A loaded leader answers reads late; they must not fail for it.
TEST_F(control_link_test, waits_for_a_slow_leader)
{
    link.set_leader(node_id{"c1"});
    auto const read = start(workflow_action::state);
    for (auto n = 0; n < 7; ++n)
    {
        clock.advance(milliseconds{100});
        link.set_leader(node_id{"c1"}); // it answers other calls
    }
    EXPECT_FALSE(read->has_value());
    EXPECT_EQ(sent.size(), 1U);
    link.take(node_id{"c1"}, {sent[0].message.id, count(4)});
    EXPECT_TRUE(*read && (*read)->has_value());
}

// Submissions waited at entries for seconds while no leader was there.
TEST_F(control_link_test, refuses_new_submissions_without_a_leader)
{
    link.set_leader(node_id{"c1"});
    // Answers that come late by less than the limit keep the door open.
    for (auto n = 0; n < 5; ++n)
    {
        clock.advance(config::leader_silence - milliseconds{1});
        start(workflow_action::submit);
        EXPECT_EQ(sent.back().to, "c1");
        link.take(node_id{"c1"}, {sent.back().message.id, count(0)});
    }
    EXPECT_TRUE(reasons.empty());
    clock.advance(config::leader_silence);
    sent.clear();
    auto const refused_at_once = start(workflow_action::submit);
    EXPECT_EQ(kind_of(*refused_at_once), error_kind::not_leader);
    EXPECT_EQ(answer_of(error_kind::not_leader).ran, work_ran::no);
    EXPECT_TRUE(sent.empty());
    EXPECT_EQ(reasons, std::vector{call_refusal::leader_silent});
    start(workflow_action::cancel);
    EXPECT_EQ(sent.size(), 1U);
    link.set_leader(node_id{"c2"});
    start(workflow_action::submit);
    EXPECT_EQ(sent.size(), 2U);
}

// A submission that a silent process may have taken must not be told as not
// run, and one that all processes have refused need not be told as unknown.
TEST_F(control_link_test, refuses_a_sent_submission_only_if_all_have_refused_it)
{
    auto const unanswered = start(workflow_action::submit);
    auto const refused_by_all = start(workflow_action::submit);
    auto const id = sent[1].message.id;
    auto const end =
        time_point{config::leader_silence + config::call_retry_interval};
    while (clock.now() < end)
    {
        for (auto const& it : std::exchange(sent, {}))
        {
            if (it.message.id == id || it.to != "c1")
            {
                link.take(node_id{it.to}, refused(it.message.id, {}));
            }
        }
        clock.advance(milliseconds{50});
        if (clock.now() >= time_point{config::leader_silence})
        {
            EXPECT_EQ(kind_of(*refused_by_all), error_kind::not_leader);
        }
    }
    EXPECT_FALSE(unanswered->has_value());
    clock.advance(seconds{3});
    EXPECT_EQ(kind_of(*unanswered), error_kind::no_leader);
    EXPECT_EQ(reasons, std::vector{call_refusal::not_accepted});
}

// The log of a cancel that timed out must say where it stood, and not repeat it
// with each copy.
TEST_F(control_link_test, reports_a_late_cancel_once_and_its_end)
{
    std::vector<late_cancel> late;
    std::vector<call_standing> unanswered;
    link.on_late([&](late_cancel const& it) { late.push_back(it); });
    link.on_unanswered([&](call_standing it) { unanswered.push_back(it); });
    link.set_leader(node_id{"c1"});
    auto const got_cancel = start(workflow_action::cancel);
    start(workflow_action::submit);
    auto const id = sent[0].message.id;
    link.take(node_id{"c1"}, refused(id, node_id{"c1"}));
    clock.advance(config::call_retry_interval + milliseconds{60});
    EXPECT_EQ(unanswered, (std::vector{call_standing::leader_without_lease,
                                       call_standing::waiting}));
    EXPECT_TRUE(late.empty());
    clock.advance(late_cancel_time);
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].path, "/q");
    EXPECT_EQ(late[0].end, late_cancel::call_end::open);
    EXPECT_EQ(late[0].standing, call_standing::silent);
    EXPECT_EQ(late[0].sends, 3U);
    link.take(node_id{"c1"}, {id, apply_result{}});
    ASSERT_EQ(late.size(), 2U);
    EXPECT_EQ(late[1].end, late_cancel::call_end::answered);
    EXPECT_TRUE(got_cancel->has_value());

    start(workflow_action::cancel);
    clock.advance(seconds{4});
    ASSERT_EQ(late.size(), 4U);
    EXPECT_EQ(late[3].end, late_cancel::call_end::expired);
}

// An entry turned away from a leader that was only late, so that each call
// passed through the followers and reached the leader once more.
TEST_F(control_link_test, stays_with_a_leader_that_answers_other_calls)
{
    link.set_leader(node_id{"c1"});
    start(workflow_action::cancel);
    for (auto n = 0; n < 14; ++n)
    {
        clock.advance(milliseconds{200});
        link.set_leader(node_id{"c1"});
    }
    for (auto const& it : sent)
    {
        EXPECT_EQ(it.to, "c1");
    }
    EXPECT_LE(sent.size(), 8U);
}

// A call that the leader has needs no copy in each 400 ms, and its caller must
// hear what is known of it.
TEST_F(control_link_test, waits_for_a_call_that_the_leader_has)
{
    link.set_leader(node_id{"c1"});
    auto const cancel = start(workflow_action::cancel);
    auto const id = sent[0].message.id;
    call_answer const has_it{
        id, call_failure{error_kind::no_leader, "", node_id{"c1"}}};
    std::size_t confirmed = 1;
    for (auto n = 0; n < 14; ++n)
    {
        clock.advance(milliseconds{200});
        link.set_leader(node_id{"c1"});
        for (; confirmed < sent.size(); ++confirmed)
        {
            link.take(node_id{"c1"}, has_it);
        }
    }
    EXPECT_LE(sent.size(), 5U);
    clock.advance(milliseconds{400});
    ASSERT_EQ(kind_of(*cancel), error_kind::no_leader);
    EXPECT_NE((*cancel)->error().detail.find("has taken the change"),
              std::string::npos);
}

// A confirmed call must leave a leader that has died since.
TEST_F(control_link_test, leaves_a_leader_that_dies_with_a_call)
{
    link.set_leader(node_id{"c1"});
    start(workflow_action::cancel);
    auto const id = sent[0].message.id;
    clock.advance(config::call_retry_interval + milliseconds{60});
    link.set_leader(node_id{"c1"});
    link.take(node_id{"c1"},
              {id, call_failure{error_kind::no_leader, "", node_id{"c1"}}});
    auto const copies = sent.size();
    clock.advance(leader_quiet_time + milliseconds{60});
    ASSERT_EQ(sent.size(), copies + 1);
    EXPECT_EQ(sent.back().to, "c2");
    // The next leader shows itself.
    link.set_leader(node_id{"c3"});
    clock.advance(config::call_retry_interval + milliseconds{60});
    EXPECT_EQ(sent.back().to, "c3");
}

// A leader without its lease refused calls, and its entries then asked all
// followers in turn for as long as that lasted.
TEST_F(control_link_test, waits_for_a_leader_without_its_lease)
{
    link.set_leader(node_id{"c1"});
    auto const first = start(workflow_action::cancel);
    auto const first_id = sent[0].message.id;
    for (auto n = 1; n < 10; ++n)
    {
        start(workflow_action::cancel);
    }
    auto elsewhere = 0;
    for (auto n = 0; n < 20; ++n)
    {
        for (std::size_t k = 0; k < sent.size() && k < 200; ++k)
        {
            auto const it = sent[k];
            elsewhere += it.to == "c1" ? 0 : 1;
            link.take(node_id{it.to}, refused(it.message.id, node_id{"c1"}));
        }
        sent.clear();
        clock.advance(milliseconds{100});
    }
    EXPECT_EQ(link.leader(), node_id{"c1"});
    EXPECT_LE(elsewhere, seconds{2} / config::call_retry_interval);
    link.take(node_id{"c1"}, {first_id, apply_result{}});
    EXPECT_TRUE(first->has_value());
}

// The notice of the next leader is lost, and the former one that is cut off
// from the others stays in office.
TEST_F(control_link_test, finds_the_next_leader_while_the_former_one_answers)
{
    link.set_leader(node_id{"c1"});
    auto const cancel = start(workflow_action::cancel);
    auto const begin = clock.now();
    while (!cancel->has_value() && clock.now() - begin < seconds{2})
    {
        for (auto const& it : std::exchange(sent, {}))
        {
            if (it.to == "c3")
            {
                link.take(node_id{"c3"}, {it.message.id, apply_result{}});
            }
            else
            {
                link.take(node_id{it.to},
                          refused(it.message.id,
                                  node_id{it.to == "c1" ? "c1" : "c3"}));
            }
        }
        clock.advance(milliseconds{10});
    }
    EXPECT_TRUE(cancel->has_value());
    EXPECT_LE(clock.now() - begin,
              config::call_retry_interval + milliseconds{100});
}

// A refused call need not wait for its repetition once a leader is known.
TEST_F(control_link_test, sends_a_refused_change_to_the_next_leader_at_once)
{
    auto const cancel = start(workflow_action::cancel);
    link.take(node_id{"c1"}, refused(sent[0].message.id, {}));
    link.set_leader(node_id{"c3"});
    clock.advance(milliseconds{60});
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[1].to, "c3");
}

// The late refusal of a follower that was asked before must not count as a sign
// of the leader, or as its silence.
TEST_F(control_link_test, a_late_refusal_of_a_follower_keeps_the_leader)
{
    link.set_leader(node_id{"c1"});
    start(workflow_action::cancel);
    start(workflow_action::cancel);
    link.take(node_id{"c1"}, refused(sent[0].message.id, node_id{"c1"}));
    link.take(node_id{"c1"}, refused(sent[1].message.id, node_id{"c1"}));
    link.take(node_id{"c2"}, refused(sent[1].message.id, node_id{"c1"}));
    clock.advance(config::call_retry_interval + milliseconds{10});
    ASSERT_EQ(sent.size(), 4U);
    EXPECT_EQ(sent[3].to, "c1");
    EXPECT_EQ(link.leader(), node_id{"c1"});
}

} // namespace
} // namespace apricotlb
