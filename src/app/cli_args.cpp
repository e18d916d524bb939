#include "app/cli_args.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>

namespace apricotlb
{

namespace
{

using enum cli_command;

constexpr std::array<command_info, 26> commands{{
    {control, "control", "FILE", "Run a control process."},
    {entry, "entry", "FILE", "Run an entry process."},
    {standalone, "standalone", "FILE", "Run both roles in one process."},
    {check_config, "check-config", "FILE [ROLE]",
     "Check settings, also for a role if it is given."},
    {check_contract, "check-contract", "FILE", "Check a contract."},
    {hash_token, "hash-token", "[FILE]",
     "Print the hash of a token read from a file or standard input."},
    {completion, "completion", "bash", "Print a completion script."},
    {contract_apply, "contract apply", "FILE",
     "Apply a contract and wait until it is in force."},
    {contract_list, "contract list", "", "List contracts."},
    {contract_show, "contract show", "CUSTOMER", "Show one contract."},
    {contract_remove, "contract remove", "CUSTOMER VERSION",
     "Remove a contract; VERSION is the successor of its version."},
    {job_submit, "job submit", "FILE", "Submit a job."},
    {job_status, "job status", "JOB", "Show a job and its tasks."},
    {job_cancel, "job cancel", "JOB", "Cancel a job."},
    {job_list, "job list", "", "List jobs."},
    {status, "status", "", "Show the state of the control group."},
    {workers, "workers", "", "List workers."},
    {backends, "backends", "", "List backend servers."},
    {members_list, "members list", "", "List voters and learners."},
    {members_add, "members add", "ID ADDRESS", "Add a control process."},
    {members_remove, "members remove", "ID", "Remove a control process."},
    {data_centre_list, "data-centre list", "",
     "List data centres and which of them are evacuated."},
    {data_centre_evacuate, "data-centre evacuate", "NAME",
     "Start nothing more on the workers of a data centre."},
    {data_centre_return, "data-centre return", "NAME",
     "Start work on the workers of a data centre again."},
    {explain, "explain", "TASK",
     "Show why a task (JOB/INDEX) waits or runs where it does."},
    {metrics, "metrics", "", "Print the metrics of the server."},
}};

auto split_words(std::string_view text) -> std::vector<std::string>
{
    std::istringstream in{std::string{text}};
    std::vector<std::string> out;
    for (std::string word; in >> word;)
    {
        out.push_back(word);
    }
    return out;
}

auto make_options() -> cxxopts::Options
{
    cxxopts::Options options{"apricotlb"};
    options.add_options()("h,help", "Print help")(
        "version", "Print the version")("o,output", "text or json",
                                        cxxopts::value<std::string>())(
        "server", "URL of an entry process, or APRICOTLB_SERVER",
        cxxopts::value<std::string>())(
        "token-file",
        "File with the token, readable by its owner only, or APRICOTLB_TOKEN",
        cxxopts::value<std::string>())("change-id",
                                       "Id of a change that is sent again",
                                       cxxopts::value<std::string>())(
        "words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

/// The command whose one or two words the given words start with, or null.
auto find_command(std::vector<std::string> const& words) -> command_info const*
{
    for (auto const& it : commands)
    {
        auto const name = split_words(it.words);
        if (words.size() >= name.size() &&
            std::equal(name.begin(), name.end(), words.begin()))
        {
            return &it;
        }
    }
    return nullptr;
}

auto unknown_command(std::vector<std::string> const& words) -> error
{
    std::set<std::string> allowed;
    for (auto const& it : commands)
    {
        auto const name = split_words(it.words);
        if (name.size() == 2 && name.front() == words.front())
        {
            allowed.insert(name.back());
        }
    }
    std::string detail = "unknown command \"" + words.front();
    if (allowed.empty())
    {
        return {error_kind::bad_request,
                detail + "\"; apricotlb --help lists all"};
    }
    detail += words.size() > 1 ? " " + words[1] + "\"; " : "\" alone; ";
    detail += words.front() + " takes";
    for (auto const& it : allowed)
    {
        detail += (it == *allowed.begin() ? " " : ", ") + it;
    }
    return {error_kind::bad_request, detail};
}

/// Sets the command and its arguments and checks the number of arguments.
auto set_command(cli_request& request, std::vector<std::string> const& words)
    -> result<void>
{
    auto const* info = find_command(words);
    if (info == nullptr)
    {
        return unknown_command(words);
    }
    request.command = info->command;
    auto const command_words = split_words(info->words).size();
    request.arguments.assign(words.begin() +
                                 static_cast<std::ptrdiff_t>(command_words),
                             words.end());
    auto const names = split_words(info->arguments);
    auto const is_optional = [](auto const& it) { return it.starts_with('['); };
    auto const min_count =
        names.size() -
        static_cast<std::size_t>(std::ranges::count_if(names, is_optional));
    auto const count = request.arguments.size();
    if (!request.help && (count < min_count || count > names.size()))
    {
        std::string expected{info->arguments.empty() ? "no argument"
                                                     : info->arguments};
        return fail(error_kind::bad_request,
                    std::string{info->words} + ": takes " + expected +
                        ", got " + std::to_string(count) + " arguments");
    }
    return outcome::success();
}

} // namespace

auto all_commands() -> std::span<command_info const>
{
    return commands;
}

auto parse_args(std::vector<std::string> const& args) -> result<cli_request>
{
    std::vector<char const*> argv{"apricotlb"};
    for (auto const& it : args)
    {
        argv.push_back(it.c_str());
    }
    cli_request request;
    // cxxopts reports invalid arguments by exceptions, which become results
    // here.
    try
    {
        auto options = make_options();
        auto const parsed =
            options.parse(static_cast<int>(argv.size()), argv.data());
        request.help = parsed.count("help") > 0;
        request.version = parsed.count("version") > 0;
        auto const text = [&parsed](char const* name)
        {
            return parsed.count(name) > 0 ? parsed[name].as<std::string>()
                                          : std::string{};
        };
        request.server = url{text("server")};
        request.token_file = file_path{text("token-file")};
        request.change = change_id{text("change-id")};
        auto const output = text("output");
        if (!output.empty() && output != "text" && output != "json")
        {
            return fail(error_kind::bad_request,
                        "--output: must be text or json, got \"" + output +
                            "\"");
        }
        request.output =
            output == "json" ? output_format::json : output_format::text;
        if (parsed.count("words") > 0)
        {
            BOOST_OUTCOME_TRYV(set_command(
                request, parsed["words"].as<std::vector<std::string>>()));
        }
        else if (!request.help && !request.version)
        {
            return fail(error_kind::bad_request,
                        "no command; apricotlb --help lists all");
        }
    }
    catch (std::exception const& it)
    {
        return fail(error_kind::bad_request, it.what());
    }
    return request;
}

auto help_text(std::optional<cli_command> command) -> std::string
{
    std::ostringstream out;
    out << "Usage: apricotlb ";
    if (command)
    {
        auto const it =
            std::ranges::find(commands, *command, &command_info::command);
        out << it->words << (it->arguments.empty() ? "" : " ") << it->arguments
            << " [options]\n\n"
            << it->summary << '\n';
    }
    else
    {
        out << "COMMAND [options]\n\nCommands:\n";
        for (auto const& it : commands)
        {
            std::string usage{it.words};
            usage += " ";
            usage += it.arguments;
            constexpr std::size_t column = 36;
            usage.resize(std::max(usage.size(), column), ' ');
            out << "  " << usage << it.summary << '\n';
        }
    }
    out << "\nOptions:\n"
           "  -h, --help            Print help.\n"
           "      --version         Print the version.\n"
           "  -o, --output FORMAT   text (default) or json.\n"
           "      --server URL      Entry process to talk to, or\n"
           "                        APRICOTLB_SERVER.\n"
           "      --token-file FILE File with the token, readable by its\n"
           "                        owner only, or APRICOTLB_TOKEN.\n"
           "      --change-id ID    Send a change again after a lost answer.\n"
           "\nExit codes: 0 done, 2 usage, 3 refused, 4 conflict,\n"
           "5 unavailable, 6 not found, 7 unauthorized, 8 failed.\n";
    return out.str();
}

auto bash_completion() -> std::string
{
    std::map<std::string, std::set<std::string>> second_words;
    std::string first_words;
    std::string before_file;
    for (auto const& it : commands)
    {
        auto const name = split_words(it.words);
        auto const& first_word = name.front();
        if (!second_words.contains(first_word))
        {
            first_words += (first_words.empty() ? "" : " ") + first_word;
        }
        auto& followers = second_words[first_word];
        if (name.size() > 1)
        {
            followers.insert(name.back());
        }
        if (it.arguments.find("FILE") != std::string_view::npos)
        {
            before_file += (before_file.empty() ? "" : "|") + name.back();
        }
    }
    second_words["completion"].insert("bash");
    std::ostringstream out;
    out << "# bash completion for apricotlb\n"
           "_apricotlb()\n{\n"
           "    local cur=${COMP_WORDS[COMP_CWORD]}\n"
           "    local prev=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    local words=\n"
           "    case $prev in\n"
           "    --output|-o) words='text json' ;;\n"
           "    --token-file|"
        << before_file
        << ")\n        COMPREPLY=($(compgen -f -- \"$cur\")); return ;;\n";
    for (auto const& [first_word, followers] : second_words)
    {
        if (!followers.empty())
        {
            out << "    " << first_word << ") words='";
            for (auto const& it : followers)
            {
                out << (it == *followers.begin() ? "" : " ") << it;
            }
            out << "' ;;\n";
        }
    }
    out << "    *) [ \"$COMP_CWORD\" -eq 1 ] && words='" << first_words
        << "' ;;\n    esac\n"
           "    [[ $cur == -* ]] && words='--help --version --output --server "
           "--token-file --change-id'\n"
           "    COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"
           "}\ncomplete -F _apricotlb apricotlb\n";
    return out.str();
}

} // namespace apricotlb
