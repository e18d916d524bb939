#include "fake_entry.hpp"

#include "core/entry/api_route.hpp"
#include "platform/control_api.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb::platform
{
namespace
{

using answer_body = decltype(call_answer::body);

/// A group that keeps the commands and gives each the same answer.
struct fake_group
{
    std::vector<command> sent;
    result<answer_body> answer{answer_body{apply_result{}}};

    auto calls() -> fake_group& { return *this; }
    template <class Body, class Callback>
    auto start(Body body, Callback const& done, duration /*timeout*/) -> void
    {
        if constexpr (std::is_same_v<Body, command>)
        {
            sent.push_back(std::move(body));
        }
        done(answer);
    }
};

class control_api_test : public testing::Test
{
protected:
    auto call(std::string const& method, std::string const& path) -> int
    {
        http_request request;
        request.method = method;
        request.path = path;
        auto status = 0;
        api.handle(request, [&status](http_answer const& it)
                   { status = static_cast<int>(it.status); });
        return status;
    }

    fake_group group;
    fake_metrics metrics;
    control_api<fake_group, fake_metrics> api{group, metrics};
};

// A request of the platform's operator that is read wrongly evacuates another
// data centre, or none.
TEST_F(control_api_test, reads_evacuations_and_returns)
{
    EXPECT_EQ(call("POST", "/evacuation/praha-a"), 200);
    EXPECT_EQ(call("DELETE", "/evacuation/praha%20a"), 200);
    ASSERT_EQ(group.sent.size(), 2U);
    EXPECT_EQ(std::get<evacuate_data_centre>(group.sent[0]).zone,
              zone_id{"praha-a"});
    EXPECT_EQ(std::get<return_data_centre>(group.sent[1]).zone,
              zone_id{"praha a"});
    EXPECT_EQ(call("PUT", "/evacuation/praha-a"), 404);
    EXPECT_EQ(call("POST", "/evacuation"), 404);
}

// A malformed name has to end the operator's call and must not reach the log.
TEST_F(control_api_test, refuses_malformed_names)
{
    for (auto const& name :
         {std::string{}, std::string{"a/b"}, std::string{"a%2Fb"},
          std::string{"a%0Ab"}, std::string{"a%"}, std::string{"%zz"},
          std::string{"%4"}, std::string{"%+1"}, std::string(129, 'a')})
    {
        EXPECT_EQ(call("POST", "/evacuation/" + name), 400) << name;
        EXPECT_EQ(call("DELETE", "/evacuation/" + name), 400) << name;
    }
    EXPECT_TRUE(group.sent.empty());
}

// A refusal that looks like an acknowledgement leaves the operator in the
// belief that the data centre empties.
TEST_F(control_api_test, passes_refusals_on)
{
    group.answer =
        answer_body{apply_result::refuse(error_kind::quota_exceeded, "full")};
    EXPECT_EQ(call("POST", "/evacuation/a"), 429);
    group.answer = fail(error_kind::queue_full, "busy");
    EXPECT_EQ(call("POST", "/evacuation/a"), 503);
    EXPECT_EQ(metrics.of("apricotlb_refusals_total", "queue_full"), 1);
}

// A customer that could evacuate a data centre would stop all others.
TEST(api_route, lets_only_operators_evacuate)
{
    for (auto const* method : {"POST", "DELETE"})
    {
        auto const route = find_route(method, "/v1/evacuation/a");
        ASSERT_TRUE(route);
        auto const action = route.value().action;
        EXPECT_TRUE(is_allowed(api_role::system_operator, action));
        EXPECT_FALSE(is_allowed(api_role::customer, action));
        EXPECT_FALSE(is_allowed(api_role::platform, action));
        EXPECT_FALSE(is_allowed(api_role::anyone, action));
    }
}

} // namespace
} // namespace apricotlb::platform
