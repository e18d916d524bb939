#include "adapters/unix_signals.hpp"
#include "app/cli.hpp"
#include "app/settings_check.hpp"

#include "temporary_folder.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

/// Answers in the order given and keeps what it was sent; time passes only
/// in pause.
struct scripted_caller
{
    std::deque<result<api_answer>> answers;
    std::vector<api_request> sent;
    time_point at{};

    auto call(api_request const& request) -> result<api_answer>
    {
        sent.push_back(request);
        if (answers.empty())
        {
            return fail(error_kind::no_leader, "no answer");
        }
        auto it = answers.front();
        answers.pop_front();
        return it;
    }
    auto pause(duration d) -> void { at += d; }
    [[nodiscard]] auto now() const -> time_point { return at; }
};
static_assert(api_caller<scripted_caller>);

auto answered(int status, std::string body) -> result<api_answer>
{
    return api_answer{static_cast<http_status>(status), std::move(body)};
}

auto refused(error_kind kind) -> result<api_answer>
{
    return answered(static_cast<int>(answer_of(kind).status),
                    encode_problem(problem_of({kind, "why"})));
}

class contract_file
{
public:
    contract_file()
    {
        std::ofstream{path_} << "customer: survey\nversion: 3\nvm_share: 50%\n"
                                "urgent_latency: 400ms\ntokens: ["
                             << std::string(64, 'a') << "]\n";
    }
    contract_file(contract_file const&) = delete;
    auto operator=(contract_file const&) -> contract_file& = delete;
    ~contract_file() = default;
    [[nodiscard]] auto path() const -> std::string const& { return path_; }

private:
    temporary_folder folder_;
    std::string path_{folder_.path() + "/contract.yaml"};
};

struct client_run
{
    exit_code code;
    std::string out;
    std::string err;
};

auto run(std::vector<std::string> const& args, scripted_caller& caller)
    -> client_run
{
    std::ostringstream out;
    std::ostringstream err;
    auto const it = parse_args(args);
    EXPECT_TRUE(it.has_value());
    auto const code = run_client(it.value(), caller, change_id{"c-1"},
                                 {out, err, it.value().output});
    return {code, out.str(), err.str()};
}

auto const in_force = R"({"version":3,"revision":9,"in_force":true})";
auto const accepted_only = R"({"version":3,"revision":9,"in_force":false})";

// A change that is resent under a new id would be refused as a conflict, or
// be applied twice.
TEST(contract_apply, resends_with_the_same_change_id_after_lost_answers)
{
    contract_file const file;
    scripted_caller caller;
    caller.answers = {fail(error_kind::no_leader, "lost"),
                      refused(error_kind::not_leader),
                      answered(200, accepted_only), answered(200, in_force)};
    auto const got = run({"contract", "apply", file.path()}, caller);
    EXPECT_EQ(got.code, exit_code::ok);
    EXPECT_NE(got.out.find("in force on every entry"), std::string::npos);
    ASSERT_EQ(caller.sent.size(), 4U);
    for (auto const& it : caller.sent)
    {
        EXPECT_EQ(it.method, "PUT");
        EXPECT_EQ(it.path, "/v1/contracts/survey");
        EXPECT_EQ(it.change, change_id{"c-1"});
        EXPECT_EQ(it.body, caller.sent.front().body);
    }
}

// A conflict that is retried would hide the other operator's change.
TEST(contract_apply, reports_a_conflict_at_once)
{
    contract_file const file;
    scripted_caller caller;
    caller.answers = {refused(error_kind::version_conflict)};
    auto const got = run({"contract", "apply", file.path()}, caller);
    EXPECT_EQ(got.code, exit_code::conflict);
    EXPECT_EQ(caller.sent.size(), 1U);
    EXPECT_NE(got.err.find("version_conflict"), std::string::npos);
}

// Success must not be told before the change is in force.
TEST(contract_apply, ends_as_unavailable_when_never_in_force)
{
    contract_file const file;
    scripted_caller caller;
    caller.answers = {answered(200, accepted_only)};
    auto const got = run({"contract", "apply", file.path()}, caller);
    EXPECT_EQ(got.code, exit_code::unavailable);
    EXPECT_NE(got.out.find("not yet in force"), std::string::npos);
    EXPECT_GE(caller.at.time_since_epoch(), change_timeout);
    EXPECT_NE(got.err.find("--change-id c-1"), std::string::npos);
}

// A second run under a new id would be refused as a conflict with the change
// that the first run had accepted.
TEST(contract_apply, names_the_change_id_when_no_answer_arrived)
{
    contract_file const file;
    scripted_caller caller;
    auto const got = run({"contract", "apply", file.path()}, caller);
    EXPECT_EQ(got.code, exit_code::unavailable);
    EXPECT_NE(got.err.find("--change-id c-1"), std::string::npos);
    auto const again =
        parse_args({"contract", "apply", "f", "--change-id", "c-1"});
    EXPECT_EQ(again.value().change, change_id{"c-1"});
}

TEST(contract_remove, names_the_version)
{
    scripted_caller caller;
    caller.answers = {answered(200, in_force)};
    EXPECT_EQ(run({"contract", "remove", "a/b", "4"}, caller).code,
              exit_code::ok);
    EXPECT_EQ(caller.sent.at(0).path, "/v1/contracts/a%2Fb?version=4");
    EXPECT_EQ(caller.sent.at(0).method, "DELETE");
}

// A wrong path would ask for something else than the operator did.
TEST(cli, maps_each_command_to_its_path)
{
    std::vector<std::pair<std::vector<std::string>, std::string>> const cases{
        {{"status"}, "GET /v1/status"},
        {{"workers"}, "GET /v1/workers"},
        {{"backends"}, "GET /v1/backends"},
        {{"contract", "list"}, "GET /v1/contracts"},
        {{"job", "list"}, "GET /v1/jobs"},
        {{"job", "status", "j"}, "GET /v1/jobs/j"},
        {{"job", "cancel", "j"}, "DELETE /v1/jobs/j"},
        {{"members", "list"}, "GET /v1/members"},
        {{"members", "add", "c4", "127.0.0.1:1"}, "POST /v1/members"},
        {{"members", "remove", "c4"}, "DELETE /v1/members/c4"},
        {{"data-centre", "list"}, "GET /v1/evacuation"},
        {{"data-centre", "evacuate", "a b"}, "POST /v1/evacuation/a%20b"},
        {{"data-centre", "return", "a"}, "DELETE /v1/evacuation/a"},
        {{"explain", "j/7"}, "GET /v1/explain/j/7"},
        {{"metrics"}, "GET /metrics"},
    };
    for (auto const& [args, want] : cases)
    {
        auto const it = api_request_of(parse_args(args).value());
        ASSERT_TRUE(it.has_value());
        EXPECT_EQ(it.value().method + " " + it.value().path, want);
    }
}

// Scripts act on exit codes, so each must follow the table.
TEST(cli, exits_as_the_table_of_kinds_says)
{
    for (std::size_t n = 0; n < error_kind_count; ++n)
    {
        auto const kind = static_cast<error_kind>(n);
        scripted_caller caller;
        caller.answers = {refused(kind)};
        EXPECT_EQ(run({"status"}, caller).code, answer_of(kind).exit);
    }
    scripted_caller silent;
    EXPECT_EQ(run({"status"}, silent).code, exit_code::unavailable);
    scripted_caller odd;
    odd.answers = {answered(500, "<html>")};
    EXPECT_EQ(run({"status"}, odd).code, exit_code::failed);
}

TEST(cli, refuses_wrong_words_with_what_is_allowed)
{
    auto const detail = [](std::vector<std::string> const& args)
    {
        auto const it = parse_args(args);
        return it.has_error() ? it.error().detail : std::string{};
    };
    EXPECT_NE(detail({"contract", "aply", "f"}).find("apply, list"),
              std::string::npos);
    EXPECT_NE(detail({"contract", "apply"}).find("takes FILE"),
              std::string::npos);
    EXPECT_NE(detail({"status", "x"}).find("no argument"), std::string::npos);
    EXPECT_NE(detail({"status", "--output", "xml"}).find("text or json"),
              std::string::npos);
    EXPECT_FALSE(detail({"status", "--nope"}).empty());
    EXPECT_FALSE(detail({}).empty());
    EXPECT_TRUE(parse_args({"contract", "apply", "--help"}).value().help);
}

TEST(cli, lists_every_command_in_help_and_completion)
{
    auto const help = help_text(std::nullopt);
    auto const script = bash_completion();
    for (auto const& it : all_commands())
    {
        EXPECT_NE(help.find(it.words), std::string::npos);
        auto const last = it.words.substr(it.words.rfind(' ') + 1);
        EXPECT_NE(script.find(last), std::string::npos);
        EXPECT_NE(help_text(it.command).find(it.summary), std::string::npos);
    }
}

// Names from outside must not be able to drive the operator's terminal.
TEST(cli_table, replaces_control_characters)
{
    std::ostringstream out;
    auto const value =
        parse_json("[{\"id\":\"a\\u001b[2J\",\"n\":1},{\"n\":22,\"x\":null}]");
    print_text(out, value.value(), text_style::plain);
    EXPECT_EQ(out.str(), "id     n   x\na?[2J  1   -\n-      22  -\n");
}

auto control_settings() -> settings
{
    settings it;
    it.node = node_id{"c1"};
    it.region = region_id{"r"};
    it.zone = zone_id{"z"};
    it.data = file_path{"/tmp/x"};
    it.peers_at = endpoint{"127.0.0.1:7400"};
    it.key_file = file_path{"key"};
    it.control = {{node_id{"c1"}, endpoint{"127.0.0.1:7400"}}};
    return it;
}

// A group of two loses its majority with its first failure.
TEST(settings_check, names_the_key_that_a_role_lacks)
{
    EXPECT_TRUE(check(control_settings(), process_role::control));
    auto two = control_settings();
    two.control[node_id{"c2"}] = endpoint{"127.0.0.1:7401"};
    auto const even = check(two, process_role::control);
    EXPECT_NE(even.error().detail.find("control"), std::string::npos);
    auto const no_http = check(control_settings(), process_role::standalone);
    EXPECT_NE(no_http.error().detail.find("http_at"), std::string::npos);
    auto stranger = control_settings();
    stranger.node = node_id{"c9"};
    EXPECT_TRUE(check(stranger, process_role::control).has_error());
    stranger.joins = true;
    EXPECT_TRUE(check(stranger, process_role::control).has_value());
}

// An offset without a bound could bring the time of day before the epoch.
TEST(settings_check, bounds_the_offset_of_the_clock)
{
    constexpr std::chrono::hours bound{1000};
    auto it = control_settings();
    for (auto const size : {bound, -bound})
    {
        it.clock_offset = wall_offset{size};
        EXPECT_TRUE(check(it, process_role::control));
    }
    for (auto const size :
         {duration{bound} + duration{1}, duration{-bound} - duration{1}})
    {
        it.clock_offset = wall_offset{size};
        auto const refusal = check(it, process_role::control);
        ASSERT_TRUE(refusal.has_error());
        EXPECT_NE(refusal.error().detail.find("clock_offset"),
                  std::string::npos);
    }
}

TEST(settings_check, accepts_only_ip_addresses_with_a_port)
{
    EXPECT_TRUE(is_endpoint(endpoint{"127.0.0.1:1"}));
    EXPECT_TRUE(is_endpoint(endpoint{"[::1]:65535"}));
    for (auto const* it : {"", "127.0.0.1", "localhost:1", "127.0.0.1:0",
                           "127.0.0.1:65536", "127.0.0.1:1x", "::1:80"})
    {
        EXPECT_FALSE(is_endpoint(endpoint{it})) << it;
    }
}

// A line to a reader that has gone ended a process before its server listened.
TEST(broken_pipe, ends_no_role)
{
    for (auto const* const role : {"control", "entry", "standalone"})
    {
        EXPECT_EXIT(
            {
                std::signal(SIGPIPE, SIG_DFL);
                auto const code = run_cli({role, "/no/such/file"});
                std::raise(SIGPIPE);
                std::_Exit(code == exit_code::ok ? 1 : 0);
            },
            testing::ExitedWithCode(0), "")
            << role;
    }
}

// A SIGHUP just after the start of a process ended it.
TEST(reload_signal, ends_no_process_that_is_starting)
{
    for (auto const* const role : {"control", "entry", "standalone"})
    {
        EXPECT_EXIT(
            {
                std::signal(SIGHUP, SIG_DFL);
                auto const code = run_cli({role, "/no/such/file"});
                std::raise(SIGHUP);
                std::_Exit(code == exit_code::ok ? 1 : 0);
            },
            testing::ExitedWithCode(0), "")
            << role;
    }
}

// Settings that changed during the start of a process were not read.
TEST(reload_signal, is_taken_once_the_loop_runs)
{
    // A loop needs threads, which a plain fork leaves out.
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(
        {
            ::alarm(20);
            hold_reloads();
            std::raise(SIGHUP);
            unix_signals loop;
            loop.on_reload([&] { loop.quit(exit_code::ok); });
            std::_Exit(loop.run({}) == exit_code::ok ? 0 : 1);
        },
        testing::ExitedWithCode(0), "");
}

} // namespace
} // namespace apricotlb
