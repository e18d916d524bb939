#include "adapters/unit_text.hpp"
#include "adapters/yaml_settings.hpp"

#include "temporary_folder.hpp"

#include <gtest/gtest.h>

#include <sys/stat.h>

#include <fstream>
#include <string>

namespace apricotlb
{
namespace
{

auto const name = file_path{"c.yaml"};

auto contract_text(std::string const& extra = "") -> std::string
{
    return "customer: survey\n"
           "version: 1\n"
           "vm_share: 50%\n"
           "urgent_latency: 400ms\n"
           "batch:\n"
           "  total: {cores: 12.5, memory: 60GB, accelerators: 2}\n"
           "  tasks: 500\n"
           "tokens: [" +
           std::string(64, 'a') +
           "]\n"
           "home_region: bohemia\n" +
           extra;
}

auto settings_error(std::string const& text) -> std::string
{
    auto const it = parse_settings(text, file_path{"s.yaml"});
    EXPECT_TRUE(it.has_error()) << text;
    return it.has_error() ? it.error().detail : "";
}

// A unit that is misread would commit a VM beyond its limits.
TEST(unit_text, reads_each_unit_exactly)
{
    EXPECT_EQ(parse_duration("250ms").value(), milliseconds{250});
    EXPECT_EQ(parse_duration("1.5h").value(), seconds{5400});
    EXPECT_EQ(parse_bytes("64MiB").value(), byte_count{64 << 20});
    EXPECT_EQ(parse_bytes("60GB").value(), byte_count{60'000'000'000});
    EXPECT_EQ(parse_cores("1.5").value(), millicores{1500});
    EXPECT_EQ(parse_cores("250m").value(), millicores{250});
    EXPECT_EQ(parse_share("12.5%").value(), permille{125});
}

// A number without its unit, or one that overflows, must not be guessed.
TEST(unit_text, refuses_what_is_ambiguous_or_impossible)
{
    for (auto const* it : {"", "5", "-5s", "5 s", "5sec", "1.0001s", "s",
                           "99999999999999999999s", "9223372036854775807d"})
    {
        EXPECT_TRUE(parse_duration(it).has_error()) << it;
    }
    for (auto const* it : {"64mb", "1.5", "-1", "9999999999TiB", "0x10"})
    {
        EXPECT_TRUE(parse_bytes(it).has_error()) << it;
    }
    for (auto const* it : {"50", "101%", "0.05%", "-1%"})
    {
        EXPECT_TRUE(parse_share(it).has_error()) << it;
    }
    EXPECT_TRUE(parse_cores("0.0001").has_error());
}

// A sign that is lost would set a clock forward that is to be set back.
TEST(unit_text, reads_a_sign_before_an_offset_only)
{
    EXPECT_EQ(parse_offset("-40s").value(), wall_offset{seconds{-40}});
    EXPECT_EQ(parse_offset("1.5h").value(), wall_offset{seconds{5400}});
    for (auto const* it : {"", "-", "5", "--5s", "+5s", "- 5s"})
    {
        EXPECT_TRUE(parse_offset(it).has_error()) << it;
    }
}

// A field that is skipped would put a wrong limit in force.
TEST(yaml_contract, reads_every_field)
{
    auto const it = parse_contract(contract_text(), name);
    ASSERT_TRUE(it.has_value()) << it.error().detail;
    EXPECT_EQ(it.value().vm_share, permille{500});
    EXPECT_EQ(it.value().batch.total.cores, millicores{12'500});
    EXPECT_EQ(it.value().batch.total.accels, accelerators{2});
    EXPECT_EQ(it.value().batch.tasks, task_count{500});
    EXPECT_EQ(it.value().key_retention, seconds{86'400});
}

// A mistyped key that is ignored leaves a default in force unnoticed.
TEST(yaml_contract, names_file_line_key_and_allowed_keys)
{
    auto const it =
        parse_contract(contract_text("on_region_los: stop\n"), name);
    ASSERT_TRUE(it.has_error());
    EXPECT_EQ(it.error().kind, error_kind::bad_contract);
    EXPECT_NE(it.error().detail.find("c.yaml:10: on_region_los"),
              std::string::npos)
        << it.error().detail;
    EXPECT_NE(it.error().detail.find("on_region_loss"), std::string::npos);
}

// The second of two equal keys would silently win or lose.
TEST(yaml_contract, refuses_a_duplicate_key)
{
    auto const it = parse_contract(contract_text("version: 2\n"), name);
    ASSERT_TRUE(it.has_error());
    EXPECT_NE(it.error().detail.find("version: is given twice"),
              std::string::npos);
}

// The line of a limit that is out of range must be given as well.
TEST(yaml_contract, gives_the_line_of_a_value_out_of_range)
{
    auto text = contract_text();
    text.replace(text.find("50%"), 3, "0%");
    auto const it = parse_contract(text, name);
    ASSERT_TRUE(it.has_error());
    EXPECT_NE(it.error().detail.find("c.yaml:3: vm_share"), std::string::npos)
        << it.error().detail;
}

// Text that is no YAML must end in an error, not in an exception.
TEST(yaml_settings, refuses_broken_text_of_any_kind)
{
    for (auto const* it : {"", "[", "a: [", "- 1", "a: b: c", "x", "? [1]\n: 2",
                           "&a [*a]", "node: {a: 1}"})
    {
        EXPECT_FALSE(settings_error(it).empty()) << it;
    }
}

TEST(yaml_settings, reads_control_members_and_operators)
{
    auto const it =
        parse_settings("node: c1\n"
                       "control: {c1: 127.0.0.1:1, c2: 127.0.0.1:2}\n"
                       "operators:\n"
                       "  - {name: ann, hash: abc}\n"
                       "balancer_wait: 3s\n"
                       "shutdown_grace: 6.0s\n"
                       "sync_delay: 150ms\n"
                       "clock_offset: -2.5s\n"
                       "max_body: 8MiB\n"
                       "guards: disabled\n"
                       "log_format: json\n",
                       file_path{"s.yaml"});
    ASSERT_TRUE(it.has_value()) << it.error().detail;
    EXPECT_EQ(it.value().control.at(node_id{"c2"}), endpoint{"127.0.0.1:2"});
    EXPECT_EQ(it.value().operators.at(0).name, operator_name{"ann"});
    EXPECT_EQ(it.value().balancer_wait, seconds{3});
    EXPECT_EQ(it.value().shutdown_grace, seconds{6});
    EXPECT_EQ(it.value().sync_delay, milliseconds{150});
    EXPECT_EQ(it.value().clock_offset, wall_offset{milliseconds{-2500}});
    EXPECT_EQ(it.value().max_body, byte_count{8 << 20});
    EXPECT_EQ(it.value().guards, guard_mode::disabled);
    EXPECT_EQ(it.value().format, log_format::json);
}

// Keys after a byte or a line that ends the parser's input would be lost.
TEST(yaml_settings, refuses_text_that_is_not_read_to_its_end)
{
    auto const text = std::string{"node: n\nregion: r\n"};
    for (auto const& whole : {text, "---\n" + text + "...\n"})
    {
        EXPECT_TRUE(parse_settings(whole, file_path{"s.yaml"})) << whole;
    }
    for (auto const& end : {std::string{'\0'}, std::string{'\4'},
                            std::string{"...\n"}, std::string{"---\n"}})
    {
        settings_error(text + end + "zone: z\n");
        settings_error(text + end + "no_such_key: 1\n");
    }
}

// A value of another type must not be read as a default.
TEST(yaml_settings, names_what_is_allowed_for_each_type)
{
    EXPECT_NE(settings_error("guards: on\n").find("enabled, disabled"),
              std::string::npos);
    EXPECT_NE(settings_error("max_connections: -1\n").find("from 0 to"),
              std::string::npos);
    EXPECT_NE(settings_error("balancer_wait: 5\n").find("250ms"),
              std::string::npos);
    EXPECT_NE(settings_error("joins: yes\n").find("true or false"),
              std::string::npos);
    EXPECT_NE(settings_error("control: {a: x, a: y}\n").find("given twice"),
              std::string::npos);
}

// A named pipe in place of the settings file stopped the loop.
TEST(settings_file, is_refused_without_waiting_when_it_is_a_named_pipe)
{
    temporary_folder const folder;
    auto const path = folder.path() + "/settings";
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    EXPECT_TRUE(read_file(file_path{path}).has_error());
    EXPECT_TRUE(read_secret(file_path{path}).has_error());
}

// A secret that others can read is no secret.
TEST(secret_file, is_refused_when_others_may_read_it)
{
    temporary_folder const folder;
    auto const path = folder.path() + "/secret";
    std::ofstream{path} << "s3cret\n";
    ASSERT_EQ(::chmod(path.c_str(), 0640), 0);
    EXPECT_TRUE(read_secret(file_path{path}).has_error());
    ASSERT_EQ(::chmod(path.c_str(), 0600), 0);
    EXPECT_EQ(read_secret(file_path{path}).value(), "s3cret");
}

} // namespace
} // namespace apricotlb
