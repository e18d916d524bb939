#include "app/cli.hpp"

#include "adapters/api_soup.hpp"
#include "adapters/log.hpp"
#include "adapters/sha256.hpp"
#include "adapters/unix_signals.hpp"
#include "adapters/yaml_settings.hpp"
#include "app/roles.hpp"
#include "app/settings_load.hpp"
#include "app/version.hpp"
#include "platform/roles.hpp"

#include <unistd.h>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <utility>

namespace apricotlb
{

namespace
{

auto parse_role(std::string_view name) -> std::optional<process_role>
{
    if (name == "control")
    {
        return process_role::control;
    }
    if (name == "entry")
    {
        return process_role::entry;
    }
    if (name == "standalone")
    {
        return process_role::standalone;
    }
    return std::nullopt;
}

auto run_role(process_start const& start, process_role role) -> exit_code
{
    auto const native = start.own.interface == front_interface::native;
    switch (role)
    {
    case process_role::control:
        return native ? run_control(start) : platform::run_control(start);
    case process_role::entry:
        return native ? run_entry(start) : platform::run_entry(start);
    case process_role::standalone:
        break;
    }
    return run_standalone(start);
}

auto run_role(file_path const& path, process_role role,
              cli_output const& output) -> exit_code
{
    hold_reloads();
    ignore_broken_pipes();
    auto const loaded = load_settings(path, role);
    if (loaded.has_error())
    {
        return output.print_error(loaded.error());
    }
    glib_clock clock{loaded.value().clock_offset};
    log_options logs{loaded.value().level, loaded.value().format, nullptr, {}};
    logs.now = [&clock] { return clock.exact_wall_now(); };
    setup_log(logs);
    auto const ended = run_role({loaded.value(), path, clock}, role);
    // The clock ends here, and lines may still follow.
    logs.now = {};
    setup_log(logs);
    return ended;
}

auto check_settings_file(cli_request const& request, cli_output const& output)
    -> exit_code
{
    file_path const path{request.arguments.at(0)};
    if (request.arguments.size() < 2)
    {
        auto const got = read_settings(path);
        if (got.has_error())
        {
            return output.print_error(got.error());
        }
    }
    else
    {
        auto const role = parse_role(request.arguments.at(1));
        if (!role)
        {
            return output.print_error(
                {error_kind::bad_request,
                 "ROLE: must be control, entry or standalone"});
        }
        auto const got = load_settings(path, *role);
        if (got.has_error())
        {
            return output.print_error(got.error());
        }
    }
    output.print(json_value::object{{"file", path.value()}, {"valid", true}});
    return exit_code::ok;
}

auto check_contract_file(cli_request const& request, cli_output const& output)
    -> exit_code
{
    auto const got = contract_argument(request);
    if (got.has_error())
    {
        return output.print_error(got.error());
    }
    output.print(json_value::object{
        {"file", request.arguments.at(0)},
        {"valid", true},
        {"customer", got.value().customer.value()},
        {"version", std::uint64_t{got.value().version.value()}}});
    return exit_code::ok;
}

auto print_token_hash(cli_request const& request, cli_output const& output)
    -> exit_code
{
    std::string token;
    if (request.arguments.empty())
    {
        std::getline(std::cin, token);
    }
    else
    {
        auto const got = read_secret(file_path{request.arguments.at(0)});
        if (got.has_error())
        {
            return output.print_error(got.error());
        }
        token = got.value();
    }
    if (token.empty())
    {
        return output.print_error(
            {error_kind::bad_request, "the token is empty"});
    }
    auto const hash = hash_token(token).value();
    if (output.format == output_format::json)
    {
        output.print(json_value::object{{"hash", hash}});
    }
    else
    {
        output.out << hash << '\n';
    }
    return exit_code::ok;
}

auto from_environment(char const* name) -> std::string
{
    // getenv is safe here: the process has one thread and never changes its
    // environment.
    auto const* const it = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return it == nullptr ? std::string{} : std::string{it};
}

auto token_of(cli_request const& request) -> result<std::string>
{
    if (request.token_file.value().empty())
    {
        return from_environment("APRICOTLB_TOKEN");
    }
    return read_secret(request.token_file);
}

auto run_with_server(cli_request const& request, cli_output const& output)
    -> exit_code
{
    auto server = request.server.value().empty()
                      ? from_environment("APRICOTLB_SERVER")
                      : request.server.value();
    if (server.empty())
    {
        return output.print_error(
            {error_kind::bad_request,
             "no server given; set --server or APRICOTLB_SERVER"});
    }
    auto const token = token_of(request);
    if (token.has_error())
    {
        return output.print_error(token.error());
    }
    api_soup caller{url{std::move(server)}, token.value()};
    auto const change =
        request.change.value().empty() ? make_change_id() : request.change;
    return run_client(request, caller, change, output);
}

/// Path of the explain request for a TASK argument, JOB/INDEX.
auto explain_path(std::string const& task) -> result<std::string>
{
    auto const slash = task.rfind('/');
    std::uint32_t index{0};
    if (slash != std::string::npos)
    {
        auto const* const end = task.data() + task.size();
        auto const [parsed_end, ec] =
            std::from_chars(task.data() + slash + 1, end, index);
        if (ec == std::errc{} && parsed_end == end)
        {
            return "/v1/explain/" + path_segment(task.substr(0, slash)) + "/" +
                   std::to_string(index);
        }
    }
    return fail(error_kind::bad_request,
                "TASK: must be JOB/INDEX such as render-7/0, got \"" + task +
                    "\"");
}

auto terminal_style() -> text_style
{
    auto const may_colour = from_environment("NO_COLOR").empty();
    return may_colour && ::isatty(STDOUT_FILENO) == 1 ? text_style::coloured
                                                      : text_style::plain;
}

} // namespace

auto cli_output::print(json_value const& value) const -> void
{
    if (format == output_format::json)
    {
        out << print_json(value) << '\n';
        return;
    }
    print_text(out, value, style);
}

auto cli_output::print_error(error const& it) const -> exit_code
{
    if (format == output_format::json)
    {
        err << encode_problem(problem_of(it)) << '\n';
    }
    else
    {
        err << "apricotlb: " << it.detail << " (" << name_of(it.kind) << ")\n";
    }
    return answer_of(it.kind).exit;
}

auto parse_version(std::string const& text) -> result<contract_version>
{
    std::uint64_t number{0};
    auto const* const end = text.data() + text.size();
    auto const [parsed_end, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc{} || parsed_end != end || number == 0)
    {
        return fail(error_kind::bad_request,
                    "VERSION: must be a whole number from 1, got \"" + text +
                        "\"");
    }
    return contract_version{number};
}

auto contract_argument(cli_request const& request) -> result<contract>
{
    return read_contract(file_path{request.arguments.at(0)});
}

auto api_request_of(cli_request const& request) -> result<api_request>
{
    auto const argument = [&request](std::size_t n)
    { return path_segment(request.arguments.at(n)); };
    auto const get = [](std::string path) {
        return api_request{"GET", std::move(path)};
    };
    auto const remove = [](std::string path) {
        return api_request{"DELETE", std::move(path)};
    };
    using enum cli_command;
    switch (*request.command)
    {
    case contract_list:
        return get("/v1/contracts");
    case contract_show:
        return get("/v1/contracts/" + argument(0));
    case job_submit:
    {
        BOOST_OUTCOME_TRY(job, read_job(file_path{request.arguments.at(0)}));
        return api_request{"POST", "/v1/jobs", json_codec::encode(job)};
    }
    case job_status:
        return get("/v1/jobs/" + argument(0));
    case job_cancel:
        return remove("/v1/jobs/" + argument(0));
    case job_list:
        return get("/v1/jobs");
    case status:
        return get("/v1/status");
    case workers:
        return get("/v1/workers");
    case backends:
        return get("/v1/backends");
    case members_list:
        return get("/v1/members");
    case members_add:
        return api_request{
            "POST", "/v1/members",
            json_codec::encode(member_request{node_id{request.arguments.at(0)},
                                              url{request.arguments.at(1)}})};
    case members_remove:
        return remove("/v1/members/" + argument(0));
    case data_centre_list:
        return get("/v1/evacuation");
    case data_centre_evacuate:
        return api_request{"POST", "/v1/evacuation/" + argument(0)};
    case data_centre_return:
        return remove("/v1/evacuation/" + argument(0));
    case explain:
    {
        BOOST_OUTCOME_TRY(path, explain_path(request.arguments.at(0)));
        return get(std::move(path));
    }
    case metrics:
        return get("/metrics");
    default:
        return fail(error_kind::internal, "the command sends no request");
    }
}

auto report_change(cli_output const& output, change_request const& request,
                   result<change_answer> const& answered) -> exit_code
{
    auto const resend_hint =
        "send it again with --change-id " + request.change.value();
    if (answered.has_error())
    {
        auto failure = answered.error();
        auto const& row = answer_of(failure.kind);
        if (row.ran != work_ran::no || row.retry != retry_advice::never)
        {
            failure.detail +=
                "; the change may have been accepted, " + resend_hint;
        }
        return output.print_error(failure);
    }
    auto const& answer = answered.value();
    if (output.format == output_format::json)
    {
        output.out << json_codec::encode(answer) << '\n';
    }
    else
    {
        output.out << "contract of " << request.customer.value() << ": version "
                   << answer.version.value() << " accepted at revision "
                   << answer.at.value()
                   << (answer.in_force
                           ? ", in force on every entry process\n"
                           : ", not yet in force on every entry process\n");
    }
    if (!answer.in_force)
    {
        output.err << "apricotlb: " << resend_hint
                   << " to wait until it is in force\n";
        return exit_code::unavailable;
    }
    return exit_code::ok;
}

auto run_cli(std::vector<std::string> const& args) -> exit_code
{
    cli_output output{std::cout, std::cerr, output_format::text,
                      terminal_style()};
    auto const parsed = parse_args(args);
    if (parsed.has_error())
    {
        return output.print_error(parsed.error());
    }
    auto const& request = parsed.value();
    output.format = request.output;
    if (request.version)
    {
        output.out << "apricotlb " << version() << '\n';
        return exit_code::ok;
    }
    if (request.help)
    {
        output.out << help_text(request.command);
        return exit_code::ok;
    }
    using enum cli_command;
    switch (*request.command)
    {
    case control:
    case entry:
    case standalone:
    {
        auto const role = *request.command == control ? process_role::control
                          : *request.command == entry
                              ? process_role::entry
                              : process_role::standalone;
        return run_role(file_path{request.arguments.at(0)}, role, output);
    }
    case check_config:
        return check_settings_file(request, output);
    case check_contract:
        return check_contract_file(request, output);
    case hash_token:
        return print_token_hash(request, output);
    case completion:
        if (request.arguments.at(0) != "bash")
        {
            return output.print_error(
                {error_kind::bad_request, "completion: must be bash"});
        }
        output.out << bash_completion();
        return exit_code::ok;
    default:
        return run_with_server(request, output);
    }
}

} // namespace apricotlb
