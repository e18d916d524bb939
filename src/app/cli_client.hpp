/// Client of the HTTP API for operators: builds requests, resends changes and
/// interprets answers. The api_caller port hides the HTTP library.
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

/// Time for which a change is resent until it is answered and in force. Three
/// times the target of 5 s, so that a leader election does not exceed it.
inline constexpr duration change_timeout = std::chrono::seconds{15};
/// Time between an answer to a change and the next send.
inline constexpr duration change_resend_interval =
    std::chrono::milliseconds{250};

/// Percent-encodes the text for one segment of a URL path. Letters, digits,
/// '-', '_' and '.' stay as they are.
[[nodiscard]] auto path_segment(std::string_view text) -> std::string;

/// The body of an answer with a status below 300, else the error in its problem
/// body.
[[nodiscard]] auto body_or_error(api_answer const& it) -> result<std::string>;

/// Calls the API of one server.
template <api_caller Caller>
class operator_client
{
public:
    explicit operator_client(Caller& caller) : caller_(caller) {}

    /// Sends a request once and returns the body of its answer.
    auto text(api_request const& request) -> result<std::string>
    {
        BOOST_OUTCOME_TRY(answer, caller_.call(request));
        return body_or_error(answer);
    }

    /// Sends a request once and returns the body of its answer as JSON, an
    /// empty object if the body is empty.
    auto json(api_request const& request) -> result<json_value>
    {
        BOOST_OUTCOME_TRY(body, text(request));
        if (body.empty())
        {
            return json_value{json_value::object{}};
        }
        return parse_json(body);
    }

    /// Adds or replaces a contract; resends as send_change does.
    auto apply(contract const& it, change_id change) -> result<change_answer>
    {
        return send_change(
            {"PUT", "/v1/contracts/" + path_segment(it.customer.value()),
             json_codec::encode(it), std::move(change)});
    }

    /// Removes the contract of a customer; resends as send_change does. The
    /// version is the successor of the contract's version.
    auto remove(customer_id const& customer, contract_version version,
                change_id change) -> result<change_answer>
    {
        return send_change({"DELETE",
                            "/v1/contracts/" + path_segment(customer.value()) +
                                "?version=" + std::to_string(version.value()),
                            "", std::move(change)});
    }

private:
    /// Sends a change until it is in force, until it is refused with
    /// retry_advice::never, or until change_timeout has passed. Every resend
    /// carries the same change id, so that the change is applied once and each
    /// answer is the same.
    auto send_change(api_request const& request) -> result<change_answer>
    {
        auto const deadline = caller_.now() + change_timeout;
        std::optional<change_answer> last_answer;
        for (;;)
        {
            auto const body = text(request);
            if (body)
            {
                BOOST_OUTCOME_TRY(
                    answer, json_codec::decode<change_answer>(body.value()));
                last_answer = answer;
            }
            auto const is_done = last_answer && last_answer->in_force;
            auto const is_final =
                body.has_error() && !last_answer &&
                answer_of(body.error().kind).retry == retry_advice::never;
            if (is_done || is_final || caller_.now() >= deadline)
            {
                if (last_answer)
                {
                    return *last_answer;
                }
                return body.error();
            }
            caller_.pause(change_resend_interval);
        }
    }

    Caller& caller_;
};

} // namespace apricotlb

#endif
