/// The soak refuses a program that can't be run, instead of going on to its end
/// and reporting each process that ends.
#include "soak/processes.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace apricotlb::soak
{

namespace
{

class soak_program : public testing::Test
{
protected:
    soak_program() { std::filesystem::create_directories(folder); }
    ~soak_program() override { std::filesystem::remove_all(folder); }

    [[nodiscard]] auto file(std::string const& text, bool executable) const
        -> std::filesystem::path
    {
        auto out = folder / "program";
        std::ofstream{out} << text;
        std::filesystem::permissions(
            out, executable ? std::filesystem::perms::owner_all
                            : std::filesystem::perms::owner_read);
        return out;
    }
    /// The error text without the path; empty if the program can be run.
    static auto refusal(std::filesystem::path const& program) -> std::string
    {
        try
        {
            check_program(program);
        }
        catch (std::runtime_error const& it)
        {
            std::string const text{it.what()};
            auto const begin = "cannot run " + program.string() + ": ";
            EXPECT_TRUE(text.starts_with(begin)) << text;
            return text.substr(begin.size());
        }
        return {};
    }

    std::filesystem::path folder{
        std::filesystem::temp_directory_path() /
        ("apricotlb-soak-program-" + std::to_string(::getpid()))};
};

} // namespace

// Two runs on the same addresses mix their deployments.
TEST(soak_addresses, are_claimed_by_one_run_only)
{
    auto const first = claim_octet(100);
    EXPECT_NE(claim_octet(100), first);
}

TEST_F(soak_program, is_taken_if_it_runs)
{
    EXPECT_EQ(refusal("/bin/true"), "");
}

TEST_F(soak_program, is_refused_if_it_is_missing)
{
    EXPECT_EQ(refusal(folder / "program"), "No such file or directory");
}

TEST_F(soak_program, is_refused_if_it_is_not_executable)
{
    EXPECT_EQ(refusal(file("#!/bin/sh\n", false)), "Permission denied");
}

TEST_F(soak_program, is_refused_if_it_is_of_another_format)
{
    EXPECT_EQ(refusal(file("\x7f"
                           "ELF of another machine",
                           true)),
              "Exec format error");
}

TEST_F(soak_program, is_refused_if_it_ends_at_once)
{
    EXPECT_EQ(refusal(file("#!/bin/sh\nexit 127\n", true)),
              "--version ended with exit code 127");
    EXPECT_EQ(refusal(file("#!/bin/sh\nkill -9 $$\n", true)),
              "--version ended with signal 9");
}

} // namespace apricotlb::soak
