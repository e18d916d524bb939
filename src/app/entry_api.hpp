/// The HTTP API of an entry process for operators, customers' jobs, backend
/// servers and workers. It authorizes the caller and forwards the request to
/// the control leader.
#ifndef APRICOTLB_APP_ENTRY_API_HPP
#define APRICOTLB_APP_ENTRY_API_HPP

#include "app/api_bodies.hpp"
#include "app/settings.hpp"
#include "core/entry/api_route.hpp"
#include "core/entry/entry_view.hpp"
#include "core/messages.hpp"
#include "core/state/evacuation_registry.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/result.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace apricotlb
{

/// A complete request to the API. The size of the body was checked before.
struct api_message
{
    std::string method;
    std::string path;
    std::string query;
    std::optional<token_hash> token;
    std::optional<change_id> change; ///< from Apricotlb-Change-Id
    std::string body;
};

/// A complete response of the API.
struct api_response
{
    http_status status{http_status{200}};
    std::string content_type{"application/json"};
    std::string body;
};

/// Role of a caller, and the customer or operator that its token belongs to.
struct api_caller_identity
{
    api_role role{api_role::anyone};
    customer_id customer;
    operator_name name;
};

/// Finds the role and owner of a token. Operators come before the platform and
/// the platform before customers.
[[nodiscard]] auto identify_caller(std::optional<token_hash> const& token,
                                   settings const& own_settings,
                                   entry_view const& view)
    -> api_caller_identity;

/// Response to a change of a job, a worker, a member or a backend server.
struct accepted_answer
{
    revision at; ///< of the log, at which the change was applied

    static constexpr auto fields()
    {
        return field_list(field("revision", &accepted_answer::at));
    }
};

/// Serves the API over a link to the control leader. Json encodes and decodes
/// bodies; Metrics provides the text of /metrics.
template <class Link, class Json, class Metrics>
class entry_api
{
public:
    using reply = std::function<void(result<api_response>)>;

    entry_api(settings const& own_settings, entry_view const& view, Link& link,
              Metrics& metrics)
        : settings_(own_settings), view_(view), link_(link), metrics_(metrics)
    {
    }

    /// Handles a request. `done` runs once, before handle() returns or later.
    auto handle(api_message message, reply done) -> void
    {
        auto route = find_route(message.method, message.path);
        if (route.has_error())
        {
            done(outcome::failure(route.error()));
            return;
        }
        auto const caller = identify_caller(message.token, settings_, view_);
        auto const action = route.value().action;
        if (!is_allowed(caller.role, action))
        {
            done(caller.role == api_role::anyone
                     ? fail(error_kind::unauthorized,
                            "the bearer token is missing or unknown")
                     : fail(error_kind::forbidden,
                            "the role of this token does "
                            "not permit this request"));
            return;
        }
        dispatch(action, route.value().parameters, caller, message,
                 std::move(done));
    }

private:
    using call_body = decltype(call::body);
    using answer_body = decltype(call_answer::body);
    using parameters = std::vector<std::string>;

    auto dispatch(api_action action, parameters const& path_parameters,
                  api_caller_identity const& caller, api_message const& message,
                  reply done) -> void
    {
        using enum api_action;
        switch (action)
        {
        case apply_contract:
            put_contract(path_parameters, caller, message, std::move(done));
            return;
        case remove_contract:
            delete_contract(path_parameters, caller, message, std::move(done));
            return;
        case submit_job:
            post_job(caller, message, std::move(done));
            return;
        case list_jobs:
        case show_job:
        case cancel_job:
        case explain_task:
            handle_job(action, path_parameters, caller, message,
                       std::move(done));
            return;
        case add_member:
        case remove_member:
            change_members(action, path_parameters, message, std::move(done));
            return;
        case announce_backend:
        case withdraw_backend:
            relay_announcement(action, path_parameters, message,
                               std::move(done));
            return;
        case register_worker:
            post_worker(message, std::move(done));
            return;
        case evacuate_data_centre:
        case return_data_centre:
            change_evacuation(action, path_parameters, std::move(done));
            return;
        case report_worker:
            post_report(path_parameters, message, std::move(done));
            return;
        default:
            answer_query(action, path_parameters, std::move(done));
            return;
        }
    }

    // Contracts.

    auto put_contract(parameters const& path_parameters,
                      api_caller_identity const& caller,
                      api_message const& message, reply done) -> void
    {
        auto value = read_body<contract>(message);
        if (value.has_error())
        {
            done(fail(error_kind::bad_contract, value.error().detail));
            return;
        }
        if (value.value().customer.value() != path_parameters.at(0))
        {
            done(fail(error_kind::bad_contract,
                      "customer: must be the same as in the path"));
            return;
        }
        auto const change = read_change_id(message);
        if (change.has_error())
        {
            done(outcome::failure(change.error()));
            return;
        }
        change_contract(apricotlb::apply_contract{std::move(value).value(),
                                                  change.value(), caller.name},
                        std::move(done));
    }

    auto delete_contract(parameters const& path_parameters,
                         api_caller_identity const& caller,
                         api_message const& message, reply done) -> void
    {
        auto const version = parse_number<contract_version>(
            query_parameter(message.query, "version"));
        auto const change = read_change_id(message);
        if (!version || change.has_error())
        {
            done(version ? fail(change.error().kind, change.error().detail)
                         : fail(error_kind::bad_request,
                                "version: must be given as ?version=N, the "
                                "successor of the version in force"));
            return;
        }
        change_contract(
            apricotlb::remove_contract{customer_id{path_parameters.at(0)},
                                       *version, change.value(), caller.name},
            std::move(done));
    }

    /// Submits a change of contracts, then waits until every process that
    /// admits work applies it. A failed wait is reported by in_force = false.
    auto change_contract(command it, reply done) -> void
    {
        auto on_applied =
            [this, done = std::move(done)](result<apply_result> answer)
        {
            if (auto const failure = refusal_of(answer))
            {
                done(outcome::failure(*failure));
                return;
            }
            auto const& applied = answer.value();
            change_answer out{applied.version.value_or(contract_version{}),
                              applied.at, false};
            link_.start(await_in_force{applied.at},
                        [out, done](result<answer_body> wait_result) mutable
                        {
                            out.in_force = wait_result.has_value() &&
                                           std::holds_alternative<in_force>(
                                               wait_result.value());
                            done(json_response(Json::encode(out)));
                        });
        };
        link_.submit(std::move(it), std::move(on_applied));
    }

    static auto read_change_id(api_message const& message) -> result<change_id>
    {
        if (!message.change || message.change->value().empty() ||
            message.change->value().size() > config::max_key_length)
        {
            return fail(error_kind::bad_request,
                        "Apricotlb-Change-Id: must be given, 1 to 128 "
                        "characters; a repeated request must use the same id");
        }
        return *message.change;
    }

    // Jobs.

    auto post_job(api_caller_identity const& caller, api_message const& message,
                  reply done) -> void
    {
        auto spec = read_body<job_spec>(message);
        if (spec.has_error())
        {
            done(outcome::failure(spec.error()));
            return;
        }
        if (!may_act_for(caller, spec.value().customer))
        {
            done(fail(error_kind::forbidden,
                      "customer: the token does not belong to this customer"));
            return;
        }
        submit(apricotlb::submit_job{std::move(spec).value()}, std::move(done));
    }

    auto handle_job(api_action action, parameters const& path_parameters,
                    api_caller_identity const& caller,
                    api_message const& message, reply done) -> void
    {
        auto const named_customer = query_parameter(message.query, "customer");
        auto const customer =
            named_customer ? customer_id{*named_customer} : caller.customer;
        if (!may_act_for(caller, customer))
        {
            done(fail(error_kind::forbidden,
                      "customer: the token does not belong to this customer"));
            return;
        }
        auto const job =
            path_parameters.empty() ? job_id{} : job_id{path_parameters.at(0)};
        if (action == api_action::cancel_job)
        {
            submit(apricotlb::cancel_job{customer, job}, std::move(done));
            return;
        }
        query request;
        request.customer = customer;
        request.job = job;
        request.kind = action == api_action::list_jobs ? query_kind::jobs
                       : action == api_action::show_job
                           ? query_kind::job
                           : query_kind::explain_task;
        if (action == api_action::explain_task)
        {
            request.task = parse_number<task_index>(path_parameters.at(1));
            if (!request.task)
            {
                done(fail(error_kind::bad_request,
                          "task: must be a task number, 0 or greater"));
                return;
            }
        }
        send_query(std::move(request), std::move(done));
    }

    /// Operators may act for every customer.
    static auto may_act_for(api_caller_identity const& caller,
                            customer_id const& customer) -> bool
    {
        return caller.role == api_role::system_operator ||
               caller.customer == customer;
    }

    // Members, backend servers, workers.

    auto change_members(api_action action, parameters const& path_parameters,
                        api_message const& message, reply done) -> void
    {
        change_member change;
        if (action == api_action::remove_member)
        {
            change.action = member_action::remove;
            change.id = node_id{path_parameters.at(0)};
        }
        else
        {
            auto member = Json::template decode<member_request>(message.body);
            if (member.has_error())
            {
                done(outcome::failure(member.error()));
                return;
            }
            change.id = member.value().id;
            change.address = peer_url(member.value().address.value());
        }
        send_for_result(std::move(change), std::move(done));
    }

    auto relay_announcement(api_action action,
                            parameters const& path_parameters,
                            api_message const& message, reply done) -> void
    {
        backend_announcement announcement;
        if (action == api_action::withdraw_backend)
        {
            announcement.info.id = backend_id{path_parameters.at(0)};
            announcement.leaving = true;
            send_for_result(std::move(announcement), std::move(done));
            return;
        }
        auto info = read_body<backend_info>(message);
        if (info.has_error())
        {
            done(outcome::failure(info.error()));
            return;
        }
        announcement.info = std::move(info).value();
        send_for_result(std::move(announcement), std::move(done));
    }

    auto post_worker(api_message const& message, reply done) -> void
    {
        auto info = read_body<worker_info>(message);
        if (info.has_error())
        {
            done(outcome::failure(info.error()));
            return;
        }
        submit(apricotlb::register_worker{std::move(info).value()},
               std::move(done));
    }

    auto post_report(parameters const& path_parameters,
                     api_message const& message, reply done) -> void
    {
        auto report = Json::template decode<worker_report>(message.body);
        if (report.has_error())
        {
            done(outcome::failure(report.error()));
            return;
        }
        if (report.value().worker.value() != path_parameters.at(0))
        {
            done(fail(error_kind::bad_request,
                      "worker: must be the same as in the path"));
            return;
        }
        auto on_answer = make_answer_handler<worker_report_answer>(
            std::move(done), [](worker_report_answer const& answer)
            { return json_response(Json::encode(answer)); });
        link_.start(std::move(report).value(), std::move(on_answer));
    }

    // Data centres.

    auto change_evacuation(api_action action, parameters const& path_parameters,
                           reply done) -> void
    {
        auto name = decode_path_part(path_parameters.at(0));
        zone_id zone{std::move(name).value_or(std::string{})};
        if (auto const checked = check_data_centre(zone); checked.has_error())
        {
            done(outcome::failure(checked.error()));
            return;
        }
        if (action == api_action::evacuate_data_centre)
        {
            submit(apricotlb::evacuate_data_centre{std::move(zone)},
                   std::move(done));
            return;
        }
        submit(apricotlb::return_data_centre{std::move(zone)}, std::move(done));
    }

    // Queries.

    auto answer_query(api_action action, parameters const& path_parameters,
                      reply done) -> void
    {
        using enum api_action;
        query request;
        switch (action)
        {
        case list_contracts:
            request.kind = query_kind::contracts;
            break;
        case show_contract:
            request.kind = query_kind::contracts;
            request.customer = customer_id{path_parameters.at(0)};
            break;
        case list_workers:
            request.kind = query_kind::workers;
            break;
        case list_backends:
            request.kind = query_kind::backends;
            break;
        case list_members:
            request.kind = query_kind::members;
            break;
        case list_data_centres:
            request.kind = query_kind::data_centres;
            break;
        case api_action::metrics:
            done(api_response{http_status{200}, "text/plain; version=0.0.4",
                              metrics_.text()});
            return;
        default:
            request.kind = query_kind::status;
            break;
        }
        send_query(std::move(request), std::move(done));
    }

    auto send_query(query request, reply done) -> void
    {
        auto on_answer = make_answer_handler<query_answer>(
            std::move(done), [](query_answer& answer)
            { return json_response(std::move(answer.json)); });
        link_.start(std::move(request), std::move(on_answer));
    }

    // Changes.

    auto submit(command it, reply done) -> void
    {
        send_for_result(std::move(it), std::move(done));
    }

    auto send_for_result(call_body it, reply done) -> void
    {
        auto on_answer = make_answer_handler<apply_result>(
            std::move(done),
            [](apply_result const& applied) -> result<api_response>
            {
                if (applied.refused)
                {
                    return fail(*applied.refused, applied.detail);
                }
                return json_response(Json::encode(accepted_answer{applied.at}));
            });
        link_.start(std::move(it), std::move(on_answer));
    }

    /// Decodes a body and validates the value if a check() for it exists.
    template <class Value>
    static auto read_body(api_message const& message) -> result<Value>
    {
        BOOST_OUTCOME_TRY(value, Json::template decode<Value>(message.body));
        if constexpr (requires { check(value); })
        {
            BOOST_OUTCOME_TRYV(check(value));
        }
        return std::move(value);
    }

    static auto json_response(std::string text) -> api_response
    {
        return {http_status{200}, "application/json", std::move(text)};
    }

    /// Returns a callback for an answer of type Body: it converts the answer
    /// with to_response and passes the response, or the error, to `done`.
    template <class Body, class ToResponse>
    static auto make_answer_handler(reply done, ToResponse to_response)
    {
        return [done = std::move(done),
                to_response](result<answer_body> answer) -> void
        {
            if (answer.has_error())
            {
                done(outcome::failure(answer.error()));
                return;
            }
            if (auto* const body = std::get_if<Body>(&answer.value()))
            {
                done(to_response(*body));
                return;
            }
            done(fail(error_kind::internal,
                      "the control leader sent an answer of another type"));
        };
    }

    static auto refusal_of(result<apply_result> const& answer)
        -> std::optional<error>
    {
        if (answer.has_error())
        {
            return answer.error();
        }
        if (answer.value().refused)
        {
            return error{*answer.value().refused, answer.value().detail};
        }
        return std::nullopt;
    }

    template <class Number>
    static auto parse_number(std::optional<std::string> const& text)
        -> std::optional<Number>
    {
        typename Number::rep number{};
        if (!text)
        {
            return std::nullopt;
        }
        auto const* const end = text->data() + text->size();
        auto const parsed = std::from_chars(text->data(), end, number);
        if (parsed.ec != std::errc{} || parsed.ptr != end)
        {
            return std::nullopt;
        }
        return Number{number};
    }

    settings const& settings_;
    entry_view const& view_;
    Link& link_;
    Metrics& metrics_;
};

} // namespace apricotlb

#endif
