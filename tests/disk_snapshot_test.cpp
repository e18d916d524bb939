#include "adapters/disk_log.hpp"
#include "crash_files.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <string>

namespace apricotlb
{
namespace
{

disk_log_options const options{file_path{"d"}, byte_count{1 << 30},
                               byte_count{300}};

auto append_one(disk_log<crash_files>& log, std::uint64_t index) -> result<void>
{
    log.append_entries({{term{1},
                         log_index{index},
                         entry_kind::proposal,
                         std::string(100, 'x'),
                         {}}});
    return log.sync();
}

auto large_snapshot(std::uint64_t index) -> raft_snapshot
{
    return {{{log_index{index}, term{1}}, {}},
            std::string(3 * config::snapshot_piece_bytes, 's')};
}

// A large snapshot is written in pieces between other writes: no single call
// may write all of it, and a loss of power at any call must leave either the
// old or the new one, with every entry that was synced meanwhile.
TEST(disk_snapshot, is_saved_in_pieces_between_entries)
{
    auto finished = false;
    for (std::size_t at = 1; !finished; ++at)
    {
        std::mt19937_64 random{at};
        crash_files files;
        files.fail_at = at;
        std::uint64_t synced{0};
        auto pieces = 0;
        auto durable = false;
        {
            disk_log<crash_files> log{files, options};
            auto alive = log.load().has_value();
            auto const write = [&]
            {
                alive = alive && append_one(log, synced + 1);
                synced += alive ? 1 : 0;
            };
            write();
            write();
            alive = alive && log.begin_snapshot(large_snapshot(2));
            while (alive && !durable)
            {
                auto const done = log.continue_snapshot();
                alive = done.has_value();
                durable = alive && done.value();
                ++pieces;
                write();
            }
            alive = alive && log.compact(log_index{2});
            finished = alive;
        }
        files.lose_power(random);
        disk_log<crash_files> log{files, options};
        auto const loaded = log.load();
        ASSERT_TRUE(loaded) << "call " << at << loaded.error().detail;
        auto const& found = loaded.value();
        EXPECT_TRUE(!durable || found.snapshot) << "call " << at;
        EXPECT_GE(found.base.index.value() + found.entries.size(), synced)
            << "call " << at;
        EXPECT_TRUE(!finished || pieces == 4) << "three full pieces and a rest";
    }
}

// A snapshot that arrives while an own one is being written replaces it: the
// older one must not appear afterwards.
TEST(disk_snapshot, an_installed_one_ends_the_one_being_written)
{
    crash_files files;
    {
        disk_log<crash_files> log{files, options};
        ASSERT_TRUE(log.load());
        ASSERT_TRUE(append_one(log, 1));
        ASSERT_TRUE(log.begin_snapshot(large_snapshot(1)));
        ASSERT_FALSE(log.continue_snapshot().value());
        ASSERT_TRUE(log.install(large_snapshot(9)));
        ASSERT_TRUE(log.continue_snapshot().value());
        ASSERT_TRUE(append_one(log, 10));
    }
    disk_log<crash_files> log{files, options};
    auto const loaded = log.load();
    ASSERT_TRUE(loaded) << loaded.error().detail;
    EXPECT_EQ(loaded.value().snapshot, large_snapshot(9));
    EXPECT_EQ(loaded.value().entries.size(), 1);
}

} // namespace
} // namespace apricotlb
