/// The commands of the command line and their arguments.
#ifndef APRICOTLB_APP_CLI_ARGS_HPP
#define APRICOTLB_APP_CLI_ARGS_HPP

#include "app/settings.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

enum class cli_command : std::uint8_t
{
    control,
    entry,
    standalone,
    check_config,
    check_contract,
    hash_token,
    completion,
    contract_apply,
    contract_list,
    contract_show,
    contract_remove,
    job_submit,
    job_status,
    job_cancel,
    job_list,
    status,
    workers,
    backends,
    members_list,
    members_add,
    members_remove,
    data_centre_list,
    data_centre_evacuate,
    data_centre_return,
    explain,
    metrics,
};

/// Description of a command for parsing, --help and shell completion.
struct command_info
{
    cli_command command;
    std::string_view words;     ///< one or two words, such as "job submit"
    std::string_view arguments; ///< names, such as "FILE"; optional in []
    std::string_view summary;
};

/// Every command, in the order of --help.
[[nodiscard]] auto all_commands() -> std::span<command_info const>;

enum class output_format : std::uint8_t
{
    text,
    json,
};

/// A parsed command line.
struct cli_request
{
    std::optional<cli_command> command; ///< none for a bare --help, --version
    std::vector<std::string> arguments;
    output_format output{output_format::text};
    url server;
    file_path token_file;
    /// Id of a change that an earlier command sent and this command resends;
    /// empty for a new change.
    change_id change;
    bool help{false};
    bool version{false};
};

/// Parses the arguments after the program's name. Fails with bad_request if a
/// command, an option or the number of arguments is invalid.
[[nodiscard]] auto parse_args(std::vector<std::string> const& args)
    -> result<cli_request>;

/// Help on the given command, or the list of all commands.
[[nodiscard]] auto help_text(std::optional<cli_command> command) -> std::string;

/// A completion script for bash.
[[nodiscard]] auto bash_completion() -> std::string;

} // namespace apricotlb

#endif
