#include "app/cli.hpp"

#include "adapters/api_soup.hpp"
#include "adapters/log.hpp"
#include "adapters/sha256.hpp"
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

auto role_of(std::string_view name) -> std::optional<process_role>
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

auto run_role(file_path const& path, process_role role, cli_output const& to)
    -> exit_code
{
    auto const it = load_settings(path, role);
    if (it.has_error())
    {
        return to.refuse(it.error());
    }
    setup_log({it.value().level, it.value().format, nullptr, {}});
    process_start const start{it.value(), path};
    auto const native = it.value().interface == front_interface::native;
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

auto check_settings_file(cli_request const& it, cli_output const& to)
    -> exit_code
{
    file_path const path{it.arguments.at(0)};
    if (it.arguments.size() < 2)
    {
        auto const got = read_settings(path);
        if (got.has_error())
        {
            return to.refuse(got.error());
        }
    }
    else
    {
        auto const role = role_of(it.arguments.at(1));
        if (!role)
        {
            return to.refuse({error_kind::bad_request,
                              "ROLE: must be control, entry or standalone"});
        }
        auto const got = load_settings(path, *role);
        if (got.has_error())
        {
            return to.refuse(got.error());
        }
    }
    to.print(json_value::object{{"file", path.value()}, {"valid", true}});
    return exit_code::ok;
}

auto check_contract_file(cli_request const& it, cli_output const& to)
    -> exit_code
{
    auto const got = contract_argument(it);
    if (got.has_error())
    {
        return to.refuse(got.error());
    }
    to.print(json_value::object{
        {"file", it.arguments.at(0)},
        {"valid", true},
        {"customer", got.value().customer.value()},
        {"version", std::uint64_t{got.value().version.value()}}});
    return exit_code::ok;
}

auto print_token_hash(cli_request const& it, cli_output const& to) -> exit_code
{
    std::string token;
    if (it.arguments.empty())
    {
        std::getline(std::cin, token);
    }
    else
    {
        auto const got = read_secret(file_path{it.arguments.at(0)});
        if (got.has_error())
        {
            return to.refuse(got.error());
        }
        token = got.value();
    }
    if (token.empty())
    {
        return to.refuse({error_kind::bad_request, "the token is empty"});
    }
    auto const hash = hash_token(token).value();
    if (to.format == output_format::json)
    {
        to.print(json_value::object{{"hash", hash}});
    }
    else
    {
        to.out << hash << '\n';
    }
    return exit_code::ok;
}

auto from_environment(char const* name) -> std::string
{
    // The process has one thread, so nothing changes the environment.
    auto const* const it = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return it == nullptr ? std::string{} : std::string{it};
}

auto token_of(cli_request const& it) -> result<std::string>
{
    if (it.token_file.value().empty())
    {
        return from_environment("APRICOTLB_TOKEN");
    }
    return read_secret(it.token_file);
}

auto run_with_server(cli_request const& it, cli_output const& to) -> exit_code
{
    auto server = it.server.value().empty()
                      ? from_environment("APRICOTLB_SERVER")
                      : it.server.value();
    if (server.empty())
    {
        return to.refuse({error_kind::bad_request,
                          "no server; set --server or APRICOTLB_SERVER"});
    }
    auto const token = token_of(it);
    if (token.has_error())
    {
        return to.refuse(token.error());
    }
    api_soup caller{url{std::move(server)}, token.value()};
    auto const change =
        it.change.value().empty() ? make_change_id() : it.change;
    return run_client(it, caller, change, to);
}

/// TASK as JOB/INDEX.
auto explain_path(std::string const& task) -> result<std::string>
{
    auto const slash = task.rfind('/');
    std::uint32_t index{0};
    if (slash != std::string::npos)
    {
        auto const* const end = task.data() + task.size();
        auto const [at, ec] =
            std::from_chars(task.data() + slash + 1, end, index);
        if (ec == std::errc{} && at == end)
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
    auto const is_wanted = from_environment("NO_COLOR").empty();
    return is_wanted && ::isatty(STDOUT_FILENO) == 1 ? text_style::coloured
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

auto cli_output::refuse(error const& it) const -> exit_code
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
    std::uint64_t n{0};
    auto const* const end = text.data() + text.size();
    auto const [at, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || at != end || n == 0)
    {
        return fail(error_kind::bad_request,
                    "VERSION: must be a whole number from 1, got \"" + text +
                        "\"");
    }
    return contract_version{n};
}

auto contract_argument(cli_request const& it) -> result<contract>
{
    return read_contract(file_path{it.arguments.at(0)});
}

auto api_request_of(cli_request const& it) -> result<api_request>
{
    auto const argument = [&it](std::size_t n)
    { return path_segment(it.arguments.at(n)); };
    auto const get = [](std::string path) {
        return api_request{"GET", std::move(path)};
    };
    auto const remove = [](std::string path) {
        return api_request{"DELETE", std::move(path)};
    };
    using enum cli_command;
    switch (*it.command)
    {
    case contract_list:
        return get("/v1/contracts");
    case contract_show:
        return get("/v1/contracts/" + argument(0));
    case job_submit:
    {
        BOOST_OUTCOME_TRY(job, read_job(file_path{it.arguments.at(0)}));
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
            json_codec::encode(member_request{node_id{it.arguments.at(0)},
                                              url{it.arguments.at(1)}})};
    case members_remove:
        return remove("/v1/members/" + argument(0));
    case explain:
    {
        BOOST_OUTCOME_TRY(path, explain_path(it.arguments.at(0)));
        return get(std::move(path));
    }
    case metrics:
        return get("/metrics");
    default:
        return fail(error_kind::internal, "the command sends no request");
    }
}

auto report_change(cli_output const& to, change_request const& of,
                   result<change_answer> const& it) -> exit_code
{
    auto const again = "send it again with --change-id " + of.change.value();
    if (it.has_error())
    {
        auto told = it.error();
        auto const& row = answer_of(told.kind);
        if (row.ran != work_ran::no || row.retry != retry_advice::never)
        {
            told.detail += "; the change may have been accepted, " + again;
        }
        return to.refuse(told);
    }
    auto const& answer = it.value();
    if (to.format == output_format::json)
    {
        to.out << json_codec::encode(answer) << '\n';
    }
    else
    {
        to.out << "contract of " << of.customer.value() << ": version "
               << answer.version.value() << " accepted at revision "
               << answer.at.value()
               << (answer.in_force ? ", in force on every entry process\n"
                                   : ", not yet in force everywhere\n");
    }
    if (!answer.in_force)
    {
        to.err << "apricotlb: " << again << " to wait for it\n";
        return exit_code::unavailable;
    }
    return exit_code::ok;
}

auto run_cli(std::vector<std::string> const& args) -> exit_code
{
    cli_output to{std::cout, std::cerr, output_format::text, terminal_style()};
    auto const parsed = parse_args(args);
    if (parsed.has_error())
    {
        return to.refuse(parsed.error());
    }
    auto const& it = parsed.value();
    to.format = it.output;
    if (it.version)
    {
        to.out << "apricotlb " << version() << '\n';
        return exit_code::ok;
    }
    if (it.help)
    {
        to.out << help_text(it.command);
        return exit_code::ok;
    }
    using enum cli_command;
    switch (*it.command)
    {
    case control:
    case entry:
    case standalone:
    {
        auto const role = *it.command == control ? process_role::control
                          : *it.command == entry ? process_role::entry
                                                 : process_role::standalone;
        return run_role(file_path{it.arguments.at(0)}, role, to);
    }
    case check_config:
        return check_settings_file(it, to);
    case check_contract:
        return check_contract_file(it, to);
    case hash_token:
        return print_token_hash(it, to);
    case completion:
        if (it.arguments.at(0) != "bash")
        {
            return to.refuse(
                {error_kind::bad_request, "completion: only bash is known"});
        }
        to.out << bash_completion();
        return exit_code::ok;
    default:
        return run_with_server(it, to);
    }
}

} // namespace apricotlb
