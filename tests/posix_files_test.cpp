#include "adapters/posix_files.hpp"
#include "temporary_folder.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <string>

namespace apricotlb
{
namespace
{

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
    std::string const bytes(10'000'000, 'x');
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

// A process that ends during a sync must not call back into what is gone.
TEST(posix_files, waits_at_its_end_for_an_append)
{
    temporary_folder folder;
    std::string const bytes(10'000'000, 'x');
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
