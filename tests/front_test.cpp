#include "platform/front.hpp"

#include "fake_entry.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

struct silent_group
{
    using send_function = std::function<void(node_id const&, call const&)>;

    paused_clock clock;
    int sent{0};
    control_link<paused_clock, send_function> link{
        clock, [this](node_id const&, call const&) { ++sent; }, {node_id{"c"}}};

    auto calls() -> auto& { return link; }
};

// While there is no leader, clients got a 504 after their whole timeout.
TEST(front, refuses_submissions_at_once_without_a_leader)
{
    silent_group group;
    fake_metrics metrics;
    platform::front<silent_group, fake_metrics> front{group, metrics};
    std::optional<http_answer> got;
    http_request request;
    request.method = "GET";
    request.path = "/q";
    front.handle(request, [&got](http_answer it) { got = std::move(it); });
    group.clock.advance(config::leader_silence);
    ASSERT_TRUE(got);
    EXPECT_EQ(got->status, http_status{503});
    EXPECT_EQ(group.sent, 1);

    got.reset();
    request.method = "POST";
    request.path = "/q/a";
    request.body = R"({"spec":"x","steps":[{"count":1}]})";
    front.handle(request, [&got](http_answer it) { got = std::move(it); });
    ASSERT_TRUE(got);
    EXPECT_EQ(got->status, http_status{503});
    EXPECT_NE(find_header(got->headers, "Retry-After"), nullptr);
    EXPECT_EQ(group.sent, 1);
    EXPECT_GE(metrics.of("apricotlb_refusals_total", "not_leader"), 2);
}

// A call that waits longer than the process lasts ends without an answer.
TEST(front, answers_before_the_process_ends)
{
    silent_group group;
    fake_metrics metrics;
    platform::front<silent_group, fake_metrics> front{group, metrics};
    std::optional<http_answer> got;
    http_request request;
    request.method = "DELETE";
    request.path = "/q/a";
    front.handle(
        request, [&got](http_answer it) { got = std::move(it); },
        milliseconds{500});
    group.clock.advance(milliseconds{300});
    EXPECT_FALSE(got);
    group.clock.advance(milliseconds{200});
    ASSERT_TRUE(got);
    EXPECT_EQ(got->status, http_status{504});
}

struct recording_group
{
    std::vector<workflow_call> sent;

    auto calls() -> auto& { return *this; }
    template <class Callback>
    auto start(workflow_call it, Callback const&, duration) -> void
    {
        sent.push_back(std::move(it));
    }
};

// A port or an address in brackets in the Host header led to a 404.
TEST(front, forwards_the_host_without_its_port)
{
    recording_group group;
    fake_metrics metrics;
    platform::front<recording_group, fake_metrics> front{group, metrics};
    for (auto const& [authority, host] :
         std::vector<std::pair<std::string, std::string>>{
             {"h.example", "h.example"},
             {"h.example:80", "h.example"},
             {"h.example:", "h.example"},
             {"10.0.0.1:8080", "10.0.0.1"},
             {"[::1]", "[::1]"},
             {"[::1]:80", "[::1]"},
             {"", ""},
             {"]", "]"}})
    {
        http_request request;
        request.method = "GET";
        request.path = "/q/";
        request.headers.push_back({"host", authority});
        front.handle(request, [](http_answer const&) {});
        EXPECT_EQ(group.sent.back().host, host_name{host}) << authority;
    }
}

} // namespace
} // namespace apricotlb
