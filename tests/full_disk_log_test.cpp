#include "adapters/disk_log.hpp"
#include "crash_files.hpp"
#include "memory_log.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

using store_type = disk_log<crash_files>;

disk_log_options const options{file_path{"d"}, byte_count{1 << 20},
                               byte_count{300}};

auto entries(std::uint64_t first, std::uint64_t last, std::uint64_t in_term)
    -> std::vector<log_entry>
{
    std::vector<log_entry> out;
    for (auto n = first; n <= last; ++n)
    {
        out.push_back({term{in_term},
                       log_index{n},
                       entry_kind::proposal,
                       std::string(20 + n % 7, 'x') + std::to_string(n),
                       {}});
    }
    return out;
}

auto snapshot(std::uint64_t index, std::uint64_t in_term) -> raft_snapshot
{
    return {{{log_index{index}, term{in_term}}, {}},
            "state " + std::to_string(index)};
}

/// One operation: what is buffered first, and the call that can be repeated.
template <class Store>
struct operation
{
    std::string name;
    std::function<void(Store&)> buffer;
    std::function<result<void>(Store&)> call;
};

/// With segments of 300 bytes most operations start or remove one.
template <class Store>
auto operations(std::function<result<void>(Store&)> const& sync_call =
                    [](Store& it) { return it.sync(); })
    -> std::vector<operation<Store>>
{
    auto const sync = [sync_call](std::uint64_t first, std::uint64_t last,
                                  std::uint64_t in_term)
    {
        return operation<Store>{"append " + std::to_string(first),
                                [=](Store& it)
                                {
                                    it.save({term{in_term}, node_id{"v"}});
                                    it.append_entries(
                                        entries(first, last, in_term));
                                },
                                sync_call};
    };
    auto const vote = [sync_call](std::uint64_t in_term)
    {
        return operation<Store>{"vote " + std::to_string(in_term),
                                [=](Store& it) {
                                    it.save({term{in_term}, node_id{"w"}});
                                },
                                sync_call};
    };
    auto const save = [](std::uint64_t index, std::uint64_t in_term)
    {
        return operation<Store>{
            "save " + std::to_string(index), [](Store&) {},
            [=](Store& it)
            { return it.save_snapshot(snapshot(index, in_term)); }};
    };
    auto const install = [](std::uint64_t index, std::uint64_t in_term)
    {
        return operation<Store>{
            "install " + std::to_string(index),
            [=](Store& it) {
                it.save({term{in_term}, {}});
            },
            [=](Store& it) { return it.install(snapshot(index, in_term)); }};
    };
    auto const compact = [](std::uint64_t index)
    {
        return operation<Store>{
            "compact " + std::to_string(index), [](Store&) {},
            [=](Store& it) { return it.compact(log_index{index}); }};
    };
    return {sync(1, 3, 1),   sync(4, 9, 1),   sync(6, 7, 2),   save(5, 1),
            compact(3),      sync(8, 12, 2),  sync(13, 14, 2), vote(3),
            sync(13, 13, 3), sync(14, 20, 3), save(18, 3),     compact(17),
            sync(21, 22, 3), install(40, 4),  vote(5),         sync(41, 44, 5),
            sync(43, 43, 6), save(43, 6),     compact(43),     sync(44, 50, 6)};
}

/// A sync that the loop does not wait for.
auto start_and_end(crash_files& files)
    -> std::function<result<void>(store_type&)>
{
    return [&files](store_type& it)
    {
        std::optional<result<void>> ended;
        it.start_sync([&ended](result<void> done) { ended = std::move(done); });
        files.turn();
        return ended ? *ended : fail(error_kind::disk_failed, "no callback");
    };
}

/// All but the entries that a snapshot covers.
struct content
{
    hard_state term_and_vote;
    std::optional<raft_snapshot> snapshot;
    std::vector<log_entry> entries;

    auto operator==(content const&) const -> bool = default;
};

auto content_of(stored_log const& it) -> content
{
    content out{it.term_and_vote, it.snapshot, {}};
    for (auto const& each : it.entries)
    {
        if (!it.snapshot || each.index > it.snapshot->info.last.index)
        {
            out.entries.push_back(each);
        }
    }
    return out;
}

/// Where a run with a full disk ended.
struct outcome_of_run
{
    bool was_full{false};
    bool has_lost_power{false};
};

auto load_repeatedly(store_type& log) -> result<stored_log>
{
    auto out = log.load();
    for (auto n = 0; n < 50 && !out; ++n)
    {
        EXPECT_EQ(out.error().kind, error_kind::disk_full);
        out = log.load();
    }
    return out;
}

/// Repeats each operation until there is space. Power is lost after a number
/// of refused calls, if one is given.
auto run_on_full_disk(crash_files& files, std::optional<int> power_until,
                      std::mt19937_64& random, bool waits) -> outcome_of_run
{
    outcome_of_run out;
    memory_disk disk;
    memory_log model{disk};
    auto const on_disk = waits ? operations<store_type>()
                               : operations<store_type>(start_and_end(files));
    auto const in_memory = operations<memory_log>();
    auto refused = 0;
    {
        store_type log{files, options};
        auto const first = log.load();
        out.was_full = !first;
        EXPECT_TRUE(first || load_repeatedly(log));
        for (std::size_t n = 0; n < on_disk.size(); ++n)
        {
            SCOPED_TRACE(on_disk[n].name);
            auto const before = content_of(disk.stored);
            on_disk[n].buffer(log);
            in_memory[n].buffer(model);
            EXPECT_TRUE(in_memory[n].call(model));
            auto done = on_disk[n].call(log);
            for (auto again = 0; again < 50 && !done; ++again)
            {
                out.was_full = true;
                EXPECT_EQ(done.error().kind, error_kind::disk_full)
                    << done.error().detail;
                if (power_until && refused++ == *power_until)
                {
                    files.lose_power(random);
                    out.has_lost_power = true;
                    store_type next{files, options};
                    auto const loaded = next.load();
                    EXPECT_TRUE(loaded) << loaded.error().detail;
                    auto found = content_of(loaded.value());
                    auto const after = content_of(disk.stored);
                    // The term is buffered before the snapshot is installed.
                    auto const is_known = found.snapshot == before.snapshot ||
                                          found.snapshot == after.snapshot;
                    EXPECT_TRUE(is_known);
                    found.term_and_vote = after.term_and_vote;
                    auto with_term = before;
                    with_term.term_and_vote = after.term_and_vote;
                    EXPECT_TRUE(found == with_term || found == after);
                    return out;
                }
                done = on_disk[n].call(log);
            }
            EXPECT_TRUE(done) << "still refused when there is space";
        }
    }
    files.lose_power(random);
    auto const loaded = store_type{files, options}.load();
    EXPECT_TRUE(loaded) << loaded.error().detail;
    EXPECT_TRUE(loaded &&
                content_of(loaded.value()) == content_of(disk.stored));
    EXPECT_FALSE(files.names.contains("d/snapshot.tmp"));
    return out;
}

// A write without space must leave no torn record in the log and be possible
// again later.
auto refuse_at_every_call(bool waits) -> void
{
    for (std::size_t const span : {1U, 2U, 3U, 7U, 20U})
    {
        auto was_full = true;
        for (std::size_t at = 1; was_full; ++at)
        {
            SCOPED_TRACE(testing::Message()
                         << "call " << at << " for " << span);
            std::mt19937_64 random{at * 100 + span};
            crash_files files;
            files.full = {at, at + span - 1};
            auto const calls_without_space = at < 7;
            was_full =
                run_on_full_disk(files, std::nullopt, random, waits).was_full ||
                calls_without_space;
            if (testing::Test::HasFailure())
            {
                return;
            }
        }
    }
}

TEST(full_disk_log, goes_on_after_no_space_at_every_call)
{
    refuse_at_every_call(true);
}

TEST(full_disk_log, goes_on_after_no_space_at_every_call_of_started_syncs)
{
    refuse_at_every_call(false);
}

// A process that is lost while its disk is full must find what was durable.
auto lose_power_while_full(bool waits) -> void
{
    for (std::size_t at = 1; at < 150; ++at)
    {
        for (auto refused = 0; refused < 4; ++refused)
        {
            for (std::uint64_t seed = 1; seed <= 5; ++seed)
            {
                SCOPED_TRACE(testing::Message() << "call " << at << " refused "
                                                << refused << " seed " << seed);
                std::mt19937_64 random{seed};
                crash_files files;
                files.full = {at, at + 12};
                run_on_full_disk(files, refused, random, waits);
                if (testing::Test::HasFailure())
                {
                    return;
                }
            }
        }
    }
}

TEST(full_disk_log, survives_a_loss_of_power_while_the_disk_is_full)
{
    lose_power_while_full(true);
}

TEST(full_disk_log, survives_a_loss_of_power_while_started_syncs_find_no_space)
{
    lose_power_while_full(false);
}

// A failure of another kind must stay final, also after the disk was full.
TEST(full_disk_log, does_not_retry_a_failed_sync_after_the_disk_was_full)
{
    crash_files files;
    store_type log{files, options};
    ASSERT_TRUE(log.load());
    log.append_entries(entries(1, 2, 1));
    files.full = {files.calls + 1, files.calls + 2};
    EXPECT_EQ(log.sync().error().kind, error_kind::disk_full);
    files.full.reset();
    files.once = true;
    files.fail_at = files.calls + 1;
    EXPECT_EQ(log.sync().error().kind, error_kind::disk_failed);
    EXPECT_EQ(log.sync().error().kind, error_kind::disk_failed);
}

// A record that was written but not synced, because the process ended in
// between, must not be promised after a restart and then lost with the power.
TEST(full_disk_log, what_a_restart_reads_back_survives_a_loss_of_power)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        SCOPED_TRACE(seed);
        std::mt19937_64 random{seed};
        crash_files files;
        {
            store_type log{files, options};
            ASSERT_TRUE(log.load());
            log.append_entries(entries(1, 2, 1));
            files.full = {files.calls + 2, files.calls + 2};
            ASSERT_EQ(log.sync().error().kind, error_kind::disk_full);
        }
        files.full.reset();
        stored_log read_back;
        {
            store_type log{files, options};
            auto loaded = log.load();
            ASSERT_TRUE(loaded);
            read_back = loaded.value();
        }
        EXPECT_EQ(read_back.entries.size(), 2);
        files.lose_power(random);
        auto const loaded = store_type{files, options}.load();
        ASSERT_TRUE(loaded);
        EXPECT_EQ(loaded.value().entries, read_back.entries);
    }
}

} // namespace
} // namespace apricotlb
