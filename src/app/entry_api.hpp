/// The HTTP API of an entry process for operators, customers' jobs, backend
/// servers and workers. It checks who asks and passes the rest to the leader.
#ifndef APRICOTLB_APP_ENTRY_API_HPP
#define APRICOTLB_APP_ENTRY_API_HPP

#include "app/api_bodies.hpp"
#include "app/settings.hpp"
#include "core/entry/api_route.hpp"
#include "core/entry/entry_view.hpp"
#include "core/messages.hpp"

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

/// A whole request to the API. The body is read up to a bound before.
struct api_message
{
    std::string method;
    std::string path;
    std::string query;
    std::optional<token_hash> token;
    std::optional<change_id> change; ///< from Apricotlb-Change-Id
    std::string body;
};

/// A whole answer of the API.
struct api_response
{
    http_status status{http_status{200}};
    std::string content_type{"application/json"};
    std::string body;
};

/// Who sent a request, and the customer or operator behind the token.
struct api_caller_identity
{
    api_role role{api_role::anyone};
    customer_id customer;
    operator_name name;
};

/// Finds who a token belongs to.
[[nodiscard]] auto identify(std::optional<token_hash> const& token,
                            settings const& own, entry_view const& view)
    -> api_caller_identity;

/// What a change of a job, a worker or a member is answered with.
struct accepted_answer
{
    revision at;

    static constexpr auto fields()
    {
        return field_list(field("revision", &accepted_answer::at));
    }
};

/// Serves the API over a link to the leader. Json is a codec; Problem turns
/// an error into a body.
template <class Link, class Json, class Metrics>
class entry_api
{
public:
    using reply = std::function<void(result<api_response>)>;

    entry_api(settings const& own, entry_view const& view, Link& link,
              Metrics& metrics)
        : own_(own), view_(view), link_(link), metrics_(metrics)
    {
    }

    /// Answers a request; done runs once, now or later.
    auto handle(api_message it, reply done) -> void
    {
        auto route = find_route(it.method, it.path);
        if (route.has_error())
        {
            done(outcome::failure(route.error()));
            return;
        }
        auto const who = identify(it.token, own_, view_);
        auto const action = route.value().action;
        if (!is_allowed(who.role, action))
        {
            done(who.role == api_role::anyone
                     ? fail(error_kind::unauthorized,
                            "this request needs a known bearer token")
                     : fail(error_kind::forbidden,
                            "this token may not make this request"));
            return;
        }
        dispatch(action, route.value().parameters, who, it, std::move(done));
    }

private:
    using call_body = decltype(call::body);
    using answer_body = decltype(call_answer::body);
    using parameters = std::vector<std::string>;

    auto dispatch(api_action action, parameters const& names,
                  api_caller_identity const& who, api_message const& it,
                  reply done) -> void
    {
        using enum api_action;
        switch (action)
        {
        case apply_contract:
            put_contract(names, who, it, std::move(done));
            return;
        case remove_contract:
            delete_contract(names, who, it, std::move(done));
            return;
        case submit_job:
            post_job(who, it, std::move(done));
            return;
        case list_jobs:
        case show_job:
        case cancel_job:
        case explain_task:
            use_job(action, names, who, it, std::move(done));
            return;
        case add_member:
        case remove_member:
            change_members(action, names, it, std::move(done));
            return;
        case announce_backend:
        case withdraw_backend:
            relay_announcement(action, names, it, std::move(done));
            return;
        case register_worker:
            post_worker(it, std::move(done));
            return;
        case report_worker:
            post_report(names, it, std::move(done));
            return;
        default:
            read(action, names, std::move(done));
            return;
        }
    }

    // Contracts.

    auto put_contract(parameters const& names, api_caller_identity const& who,
                      api_message const& it, reply done) -> void
    {
        auto value = read_body<contract>(it);
        if (value.has_error())
        {
            done(fail(error_kind::bad_contract, value.error().detail));
            return;
        }
        if (value.value().customer.value() != names.at(0))
        {
            done(fail(error_kind::bad_contract,
                      "customer: differs from the one in the path"));
            return;
        }
        auto const change = change_of(it);
        if (change.has_error())
        {
            done(outcome::failure(change.error()));
            return;
        }
        change_contract(apricotlb::apply_contract{std::move(value).value(),
                                                  change.value(), who.name},
                        std::move(done));
    }

    auto delete_contract(parameters const& names,
                         api_caller_identity const& who, api_message const& it,
                         reply done) -> void
    {
        auto const version = parse_number<contract_version>(
            query_parameter(it.query, "version"));
        auto const change = change_of(it);
        if (!version || change.has_error())
        {
            done(version ? fail(change.error().kind, change.error().detail)
                         : fail(error_kind::bad_request,
                                "version: give ?version=N, the successor of "
                                "the version in force"));
            return;
        }
        change_contract(apricotlb::remove_contract{customer_id{names.at(0)},
                                                   *version, change.value(),
                                                   who.name},
                        std::move(done));
    }

    auto change_contract(command it, reply done) -> void
    {
        auto applied = [this, done = std::move(done)](result<apply_result> got)
        {
            if (auto const bad = refusal_of(got))
            {
                done(outcome::failure(*bad));
                return;
            }
            auto const& what = got.value();
            change_answer out{what.version.value_or(contract_version{}),
                              what.at, false};
            link_.start(await_in_force{what.at},
                        [out, done](result<answer_body> waited) mutable
                        {
                            out.in_force = waited.has_value() &&
                                           std::holds_alternative<in_force>(
                                               waited.value());
                            done(json_response(Json::encode(out)));
                        });
        };
        link_.submit(std::move(it), std::move(applied));
    }

    static auto change_of(api_message const& it) -> result<change_id>
    {
        if (!it.change || it.change->value().empty() ||
            it.change->value().size() > config::max_key_length)
        {
            return fail(error_kind::bad_request,
                        "Apricotlb-Change-Id: must be given, 1 to 128 "
                        "characters; a resend uses the same one");
        }
        return *it.change;
    }

    // Jobs.

    auto post_job(api_caller_identity const& who, api_message const& it,
                  reply done) -> void
    {
        auto spec = read_body<job_spec>(it);
        if (spec.has_error())
        {
            done(outcome::failure(spec.error()));
            return;
        }
        if (!acts_for(who, spec.value().customer))
        {
            done(fail(error_kind::forbidden,
                      "customer: the token acts for another customer"));
            return;
        }
        submit(apricotlb::submit_job{std::move(spec).value()}, std::move(done));
    }

    auto use_job(api_action action, parameters const& names,
                 api_caller_identity const& who, api_message const& it,
                 reply done) -> void
    {
        auto const named = query_parameter(it.query, "customer");
        auto const whose = named ? customer_id{*named} : who.customer;
        if (!acts_for(who, whose))
        {
            done(fail(error_kind::forbidden,
                      "customer: the token acts for another customer"));
            return;
        }
        auto const job = names.empty() ? job_id{} : job_id{names.at(0)};
        if (action == api_action::cancel_job)
        {
            submit(apricotlb::cancel_job{whose, job}, std::move(done));
            return;
        }
        query ask;
        ask.customer = whose;
        ask.job = job;
        ask.kind = action == api_action::list_jobs  ? query_kind::jobs
                   : action == api_action::show_job ? query_kind::job
                                                    : query_kind::explain_task;
        if (action == api_action::explain_task)
        {
            ask.task = parse_number<task_index>(names.at(1));
            if (!ask.task)
            {
                done(fail(error_kind::bad_request,
                          "task: must be the number of a task"));
                return;
            }
        }
        send_query(std::move(ask), std::move(done));
    }

    static auto acts_for(api_caller_identity const& who,
                         customer_id const& whose) -> bool
    {
        return who.role == api_role::system_operator || who.customer == whose;
    }

    // Members, backend servers, workers.

    auto change_members(api_action action, parameters const& names,
                        api_message const& it, reply done) -> void
    {
        change_member out;
        if (action == api_action::remove_member)
        {
            out.action = member_action::remove;
            out.id = node_id{names.at(0)};
        }
        else
        {
            auto member = Json::template decode<member_request>(it.body);
            if (member.has_error())
            {
                done(outcome::failure(member.error()));
                return;
            }
            out.id = member.value().id;
            out.address = peer_url(member.value().address.value());
        }
        send_for_result(std::move(out), std::move(done));
    }

    auto relay_announcement(api_action action, parameters const& names,
                            api_message const& it, reply done) -> void
    {
        backend_announcement out;
        if (action == api_action::withdraw_backend)
        {
            out.info.id = backend_id{names.at(0)};
            out.leaving = true;
            send_for_result(std::move(out), std::move(done));
            return;
        }
        auto info = read_body<backend_info>(it);
        if (info.has_error())
        {
            done(outcome::failure(info.error()));
            return;
        }
        out.info = std::move(info).value();
        send_for_result(std::move(out), std::move(done));
    }

    auto post_worker(api_message const& it, reply done) -> void
    {
        auto info = read_body<worker_info>(it);
        if (info.has_error())
        {
            done(outcome::failure(info.error()));
            return;
        }
        submit(apricotlb::register_worker{std::move(info).value()},
               std::move(done));
    }

    auto post_report(parameters const& names, api_message const& it, reply done)
        -> void
    {
        auto report = Json::template decode<worker_report>(it.body);
        if (report.has_error())
        {
            done(outcome::failure(report.error()));
            return;
        }
        if (report.value().worker.value() != names.at(0))
        {
            done(fail(error_kind::bad_request,
                      "worker: differs from the one in the path"));
            return;
        }
        auto taken = expect<worker_report_answer>(
            std::move(done), [](worker_report_answer const& answer)
            { return json_response(Json::encode(answer)); });
        link_.start(std::move(report).value(), std::move(taken));
    }

    // Reads.

    auto read(api_action action, parameters const& names, reply done) -> void
    {
        using enum api_action;
        query ask;
        switch (action)
        {
        case list_contracts:
            ask.kind = query_kind::contracts;
            break;
        case show_contract:
            ask.kind = query_kind::contracts;
            ask.customer = customer_id{names.at(0)};
            break;
        case list_workers:
            ask.kind = query_kind::workers;
            break;
        case list_backends:
            ask.kind = query_kind::backends;
            break;
        case list_members:
            ask.kind = query_kind::members;
            break;
        case api_action::metrics:
            done(api_response{http_status{200}, "text/plain; version=0.0.4",
                              metrics_.text()});
            return;
        default:
            ask.kind = query_kind::status;
            break;
        }
        send_query(std::move(ask), std::move(done));
    }

    auto send_query(query ask, reply done) -> void
    {
        auto taken = expect<query_answer>(
            std::move(done), [](query_answer& answer)
            { return json_response(std::move(answer.json)); });
        link_.start(std::move(ask), std::move(taken));
    }

    // Changes.

    auto submit(command it, reply done) -> void
    {
        send_for_result(std::move(it), std::move(done));
    }

    auto send_for_result(call_body it, reply done) -> void
    {
        auto taken = expect<apply_result>(
            std::move(done),
            [](apply_result const& applied) -> result<api_response>
            {
                if (applied.refused)
                {
                    return fail(*applied.refused, applied.detail);
                }
                return json_response(Json::encode(accepted_answer{applied.at}));
            });
        link_.start(std::move(it), std::move(taken));
    }

    /// Decodes a body and checks what it holds.
    template <class Value>
    static auto read_body(api_message const& it) -> result<Value>
    {
        BOOST_OUTCOME_TRY(value, Json::template decode<Value>(it.body));
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

    /// Hands on an answer of one kind; to_response makes the response.
    template <class Body, class ToResponse>
    static auto expect(reply done, ToResponse to_response)
    {
        return [done = std::move(done),
                to_response](result<answer_body> got) -> void
        {
            if (got.has_error())
            {
                done(outcome::failure(got.error()));
                return;
            }
            if (auto* const body = std::get_if<Body>(&got.value()))
            {
                done(to_response(*body));
                return;
            }
            done(fail(error_kind::internal, "unexpected answer"));
        };
    }

    static auto refusal_of(result<apply_result> const& got)
        -> std::optional<error>
    {
        if (got.has_error())
        {
            return got.error();
        }
        if (got.value().refused)
        {
            return error{*got.value().refused, got.value().detail};
        }
        return std::nullopt;
    }

    template <class Number>
    static auto parse_number(std::optional<std::string> const& text)
        -> std::optional<Number>
    {
        typename Number::rep n{};
        if (!text)
        {
            return std::nullopt;
        }
        auto const* const end = text->data() + text->size();
        auto const parsed = std::from_chars(text->data(), end, n);
        if (parsed.ec != std::errc{} || parsed.ptr != end)
        {
            return std::nullopt;
        }
        return Number{n};
    }

    settings const& own_;
    entry_view const& view_;
    Link& link_;
    Metrics& metrics_;
};

} // namespace apricotlb

#endif
