/// The operators' client: decides what to send, when to send it again and
/// what an answer means. The HTTP library stands behind the port.
#ifndef APRICOTLB_APP_CLI_CLIENT_HPP
#define APRICOTLB_APP_CLI_CLIENT_HPP

#include "adapters/json_codec.hpp"
#include "app/api_bodies.hpp"
#include "ports/api_caller.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/contract.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/result.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace apricotlb
{

/// How long a change is sent again until it is answered and in force. Three
/// times the target of 5 s, so that an election in between is outlasted.
inline constexpr duration change_timeout = std::chrono::seconds{15};
inline constexpr duration change_pause = std::chrono::milliseconds{250};

/// A segment of a path; all but plain characters are written as %XX.
[[nodiscard]] auto path_segment(std::string_view text) -> std::string;

/// The body of a successful answer, or the error that the answer tells.
[[nodiscard]] auto accepted(api_answer const& it) -> result<std::string>;

/// Calls the API of one server.
template <api_caller Caller>
class operator_client
{
public:
    explicit operator_client(Caller& caller) : caller_(caller) {}

    /// The body of one request.
    auto text(api_request const& request) -> result<std::string>
    {
        BOOST_OUTCOME_TRY(answer, caller_.call(request));
        return accepted(answer);
    }

    /// The body of one request as JSON.
    auto json(api_request const& request) -> result<json_value>
    {
        BOOST_OUTCOME_TRY(body, text(request));
        if (body.empty())
        {
            return json_value{json_value::object{}};
        }
        return parse_json(body);
    }

    auto apply(contract const& it, change_id change) -> result<change_answer>
    {
        return send_change(
            {"PUT", "/v1/contracts/" + path_segment(it.customer.value()),
             json_codec::encode(it), std::move(change)});
    }

    auto remove(customer_id const& customer, contract_version version,
                change_id change) -> result<change_answer>
    {
        return send_change({"DELETE",
                            "/v1/contracts/" + path_segment(customer.value()) +
                                "?version=" + std::to_string(version.value()),
                            "", std::move(change)});
    }

private:
    /// Sends a change until it is answered and in force. Every resend bears
    /// the same change id, so that it is applied once and answered alike.
    auto send_change(api_request const& request) -> result<change_answer>
    {
        auto const deadline = caller_.now() + change_timeout;
        std::optional<change_answer> known;
        for (;;)
        {
            auto const body = text(request);
            if (body)
            {
                BOOST_OUTCOME_TRY(
                    answer, json_codec::decode<change_answer>(body.value()));
                known = answer;
            }
            auto const is_done = known && known->in_force;
            auto const is_final =
                body.has_error() && !known &&
                answer_of(body.error().kind).retry == retry_advice::never;
            if (is_done || is_final || caller_.now() >= deadline)
            {
                if (known)
                {
                    return *known;
                }
                return body.error();
            }
            caller_.pause(change_pause);
        }
    }

    Caller& caller_;
};

} // namespace apricotlb

#endif
