/// Commands of the command line.
#ifndef APRICOTLB_APP_CLI_HPP
#define APRICOTLB_APP_CLI_HPP

#include "app/cli_args.hpp"
#include "app/cli_client.hpp"
#include "app/cli_table.hpp"

#include <apricotlb/error.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace apricotlb
{

/// Output streams of a command and the format that it prints in.
struct cli_output
{
    std::ostream& out;
    std::ostream& err;
    output_format format{output_format::text};
    text_style style{text_style::plain};

    /// Prints a value in the chosen format.
    auto print(json_value const& value) const -> void;

    /// Prints an error and returns its exit code.
    [[nodiscard]] auto print_error(error const& it) const -> exit_code;
};

/// The API request of a command; bad_request if an argument is invalid. Changes
/// of contracts are excluded, since run_client resends them.
[[nodiscard]] auto api_request_of(cli_request const& it) -> result<api_request>;

/// Parses the VERSION argument of contract remove, a whole number from 1.
[[nodiscard]] auto parse_version(std::string const& text)
    -> result<contract_version>;

/// Customer and change id of a contract change that an operator requested.
struct change_request
{
    customer_id customer;
    change_id change;
};

/// Prints the result of a change and returns the exit code, which is
/// unavailable while the change is not yet in force. If the outcome is open,
/// also prints the change id to resend it with: under a new id, a change that
/// was accepted would be refused as a conflict.
[[nodiscard]] auto report_change(cli_output const& output,
                                 change_request const& request,
                                 result<change_answer> const& answered)
    -> exit_code;

/// Reads the contract from the file named by the FILE argument.
[[nodiscard]] auto contract_argument(cli_request const& it) -> result<contract>;

/// Runs a command that sends requests to a server. `change` is the id that a
/// contract change is sent with.
template <api_caller Caller>
auto run_client(cli_request const& command_line, Caller& caller,
                change_id const& change, cli_output const& output) -> exit_code
{
    operator_client<Caller> client{caller};
    if (*command_line.command == cli_command::contract_apply)
    {
        auto const value = contract_argument(command_line);
        if (value.has_error())
        {
            return output.print_error(value.error());
        }
        return report_change(output, {value.value().customer, change},
                             client.apply(value.value(), change));
    }
    if (*command_line.command == cli_command::contract_remove)
    {
        auto const version = parse_version(command_line.arguments.at(1));
        if (version.has_error())
        {
            return output.print_error(version.error());
        }
        customer_id const customer{command_line.arguments.at(0)};
        return report_change(output, {customer, change},
                             client.remove(customer, version.value(), change));
    }
    auto const request = api_request_of(command_line);
    if (request.has_error())
    {
        return output.print_error(request.error());
    }
    if (*command_line.command == cli_command::metrics)
    {
        auto const body = client.text(request.value());
        if (body.has_error())
        {
            return output.print_error(body.error());
        }
        output.out << body.value();
        return exit_code::ok;
    }
    auto const body = client.json(request.value());
    if (body.has_error())
    {
        return output.print_error(body.error());
    }
    output.print(body.value());
    return exit_code::ok;
}

/// Runs the command line given by the arguments after the program's name.
[[nodiscard]] auto run_cli(std::vector<std::string> const& args) -> exit_code;

} // namespace apricotlb

#endif
