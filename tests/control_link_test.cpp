#include "app/control_link.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
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

    paused_clock clock;
    std::vector<sent_call> sent;
    std::optional<result<apply_result>> got;
    control_link<paused_clock, send_function> link{
        clock,
        [this](node_id const& to, call const& it) {
            sent.push_back({to.value(), it});
        },
        {node_id{"c1"}, node_id{"c2"}, node_id{"c3"}}};
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

} // namespace
} // namespace apricotlb
