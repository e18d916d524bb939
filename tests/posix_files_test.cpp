#include "adapters/posix_files.hpp"
#include "temporary_folder.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

/// Enough that an append takes a while.
auto many_bytes() -> std::string
{
    std::string out;
    out.resize(10'000'000, 'x');
    return out;
}

/// Turns of the main loop until the condition holds; each of them waits.
template <class Condition>
auto turn_until(Condition holds) -> void
{
    while (!holds())
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

auto path_in(temporary_folder const& it) -> file_path
{
    return file_path{it.path() + "/file"};
}

// The loop must go on while a file is written, and be told when it is durable.
TEST(posix_files, appends_without_keeping_the_loop)
{
    temporary_folder folder;
    posix_files files;
    auto const file = files.create(path_in(folder)).value();
    std::string expected;
    for (std::size_t n = 0; n < 20; ++n)
    {
        std::string const bytes(n * 100'000 + 1,
                                static_cast<char>('a' + n % 26));
        expected += bytes;
        std::optional<result<void>> ended;
        files.start_append(
            file, bytes, [&ended](result<void> it) { ended = std::move(it); });
        EXPECT_FALSE(ended) << "called back in the same turn";
        turn_until([&ended] { return ended.has_value(); });
        EXPECT_TRUE(*ended);
    }
    files.close(file);
    EXPECT_EQ(files.read(path_in(folder)).value(), expected);
}

TEST(posix_files, reports_an_append_that_fails)
{
    temporary_folder folder;
    posix_files files;
    files.close(files.create(path_in(folder)).value());
    auto const locked = files.lock(path_in(folder)).value();
    files.close(locked);
    std::optional<result<void>> ended;
    files.start_append(locked, "x",
                       [&ended](result<void> it) { ended = std::move(it); });
    turn_until([&ended] { return ended.has_value(); });
    ASSERT_FALSE(*ended);
    EXPECT_EQ(ended->error().kind, error_kind::disk_failed);
}

// A descriptor that is closed while the library uses it may be given to
// another file, which would receive the bytes.
TEST(posix_files, closes_a_file_only_after_the_append_to_it)
{
    temporary_folder folder;
    posix_files files;
    auto const bytes = many_bytes();
    auto const file = files.create(path_in(folder)).value();
    auto called = false;
    files.start_append(file, bytes,
                       [&called](result<void> const&) { called = true; });
    files.close(file);
    auto const other =
        files.create(file_path{folder.path() + "/other"}).value();
    EXPECT_NE(other, file);
    std::optional<result<void>> ended;
    files.start_append(other, "y",
                       [&ended](result<void> it) { ended = std::move(it); });
    turn_until([&ended] { return ended.has_value(); });
    EXPECT_TRUE(*ended);
    files.close(other);
    EXPECT_FALSE(called);
    EXPECT_EQ(files.read(path_in(folder)).value(), bytes);
    EXPECT_EQ(files.read(file_path{folder.path() + "/other"}).value(), "y");
}

// A segment or a snapshot that is made without keeping the loop must be the
// same as one that the loop waits for.
TEST(posix_files, makes_and_renames_files_without_keeping_the_loop)
{
    temporary_folder folder;
    posix_files files;
    file_path const at{folder.path()};
    file_path const renamed{folder.path() + "/renamed"};
    std::optional<result<file_handle>> made;
    files.start_file(path_in(folder), at, "abc",
                     [&made](result<file_handle> it) { made = std::move(it); });
    EXPECT_FALSE(made);
    turn_until([&made] { return made.has_value(); });
    ASSERT_TRUE(*made);
    ASSERT_TRUE(files.write(made->value(), "def"));
    files.close(made->value());
    std::optional<result<void>> moved;
    files.start_rename(path_in(folder), renamed, at,
                       [&moved](result<void> it) { moved = std::move(it); });
    EXPECT_FALSE(moved);
    turn_until([&moved] { return moved.has_value(); });
    EXPECT_TRUE(*moved);
    EXPECT_EQ(files.read(renamed).value(), "abcdef");
    EXPECT_EQ(files.list(at).value(), std::vector<std::string>{"renamed"});
}

TEST(posix_files, reports_files_that_cannot_be_made)
{
    temporary_folder folder;
    posix_files files;
    file_path const missing{folder.path() + "/missing"};
    std::optional<result<file_handle>> made;
    files.start_file(file_path{missing.value() + "/file"}, missing, "abc",
                     [&made](result<file_handle> it) { made = std::move(it); });
    turn_until([&made] { return made.has_value(); });
    EXPECT_EQ(made->error().kind, error_kind::disk_failed);
    std::optional<result<file_handle>> unnamed;
    files.start_file(path_in(folder), missing, "abc",
                     [&unnamed](result<file_handle> it)
                     { unnamed = std::move(it); });
    turn_until([&unnamed] { return unnamed.has_value(); });
    EXPECT_EQ(unnamed->error().kind, error_kind::disk_failed);
}

// A process that ends during a sync must not call back into what is gone.
TEST(posix_files, waits_at_its_end_for_an_append)
{
    temporary_folder folder;
    auto const bytes = many_bytes();
    auto called = false;
    {
        posix_files files;
        auto const file = files.create(path_in(folder)).value();
        files.start_append(file, bytes,
                           [&called](result<void> const&) { called = true; });
        files.close(file);
    }
    EXPECT_FALSE(called);
    EXPECT_EQ(posix_files{}.read(path_in(folder)).value(), bytes);
}

} // namespace
} // namespace apricotlb
