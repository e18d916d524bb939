#include "adapters/disk_log.hpp"
#include "adapters/posix_files.hpp"
#include "crash_files.hpp"
#include "memory_log.hpp"
#include "temporary_folder.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

auto entry(std::uint64_t index, std::uint64_t in_term) -> log_entry
{
    return {term{in_term},
            log_index{index},
            entry_kind::proposal,
            std::string(20 + index % 7, 'x') + std::to_string(index),
            {}};
}

auto snapshot(std::uint64_t index, std::uint64_t in_term) -> raft_snapshot
{
    return {{{log_index{index}, term{in_term}},
             {{node_id{"a"}, url{"x"}, member_role::learner}}},
            "state " + std::to_string(index)};
}

/// One call on a store. Entries first to last of the term are appended, or a
/// snapshot at last is saved or installed.
struct store_call
{
    enum kind_type
    {
        sync,
        save,
        install,
        compact,
    };
    kind_type kind{sync};
    std::uint64_t first{0};
    std::uint64_t last{0};
    std::uint64_t in_term{0};
};

template <log_store_port Store>
auto buffer(Store& store, store_call const& it) -> void
{
    store.save({term{it.in_term}, node_id{"v"}});
    std::vector<log_entry> entries;
    for (auto n = it.first; n <= it.last; ++n)
    {
        entries.push_back(entry(n, it.in_term));
    }
    store.append_entries(entries);
}

template <log_store_port Store>
auto run(Store& store, store_call const& it) -> result<void>
{
    switch (it.kind)
    {
    case store_call::sync:
        buffer(store, it);
        return store.sync();
    case store_call::save:
        return store.save_snapshot(snapshot(it.last, it.in_term));
    case store_call::install:
        return store.install(snapshot(it.last, it.in_term));
    case store_call::compact:
        break;
    }
    return store.compact(log_index{it.last});
}

/// The same with syncs that the loop does not wait for.
auto run_started(crash_files& files, disk_log<crash_files>& log,
                 store_call const& it) -> result<void>
{
    if (it.kind == store_call::save)
    {
        BOOST_OUTCOME_TRYV(log.begin_snapshot(snapshot(it.last, it.in_term)));
        for (auto is_durable = false; !is_durable;)
        {
            std::optional<result<bool>> saved;
            log.start_piece([&saved](result<bool> done)
                            { saved = std::move(done); });
            files.turn();
            BOOST_OUTCOME_TRY(done, saved.value());
            is_durable = done;
        }
        return outcome::success();
    }
    if (it.kind != store_call::sync)
    {
        return run(log, it);
    }
    buffer(log, it);
    std::optional<result<void>> ended;
    log.start_sync([&ended](result<void> done) { ended = std::move(done); });
    files.turn();
    return ended ? *ended : fail(error_kind::disk_failed, "no callback");
}

/// With segments of 300 bytes most calls start or remove one.
std::vector<store_call> const script{
    {store_call::sync, 1, 3, 1},     {store_call::sync, 4, 9, 1},
    {store_call::sync, 6, 7, 2},     {store_call::save, 0, 5, 1},
    {store_call::compact, 0, 3, 0},  {store_call::sync, 8, 12, 2},
    {store_call::sync, 13, 14, 2},   {store_call::sync, 13, 13, 3},
    {store_call::sync, 14, 20, 3},   {store_call::save, 0, 18, 3},
    {store_call::compact, 0, 17, 0}, {store_call::sync, 21, 22, 3},
    {store_call::install, 0, 40, 4}, {store_call::sync, 41, 44, 5},
    {store_call::sync, 43, 43, 6},   {store_call::save, 0, 43, 6},
    {store_call::compact, 0, 43, 0}, {store_call::sync, 44, 50, 6},
};

disk_log_options const small{file_path{"d"}, byte_count{1 << 20},
                             byte_count{300}};

disk_log_options const large{file_path{"d"}, byte_count{1 << 20},
                             byte_count{1 << 20}};

/// What matters of a log: all but the entries that a snapshot covers.
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

auto load(crash_files& files) -> result<stored_log>
{
    return disk_log<crash_files>{files, small}.load();
}

// Runs the script until a call fails; before and after are the contents that
// the failed call may leave behind. Returns false if none failed.
auto run_script(crash_files& files, bool waits, content& before, content& after)
    -> bool
{
    memory_disk disk;
    memory_log model{disk};
    disk_log<crash_files> log{files, small};
    if (!log.load())
    {
        return true;
    }
    for (auto const& it : script)
    {
        before = content_of(disk.stored);
        EXPECT_TRUE(run(model, it));
        after = content_of(disk.stored);
        if (!(waits ? run(log, it) : run_started(files, log, it)))
        {
            return true;
        }
    }
    return false;
}

// Power may be lost at every write and sync, and again during the repair: what
// was synced must be there, and what was not must be there whole or not at all.
auto lose_power_at_every_call(bool waits) -> void
{
    auto crashed = true;
    for (std::size_t at = 1; crashed; ++at)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            SCOPED_TRACE(testing::Message()
                         << "call " << at << " seed " << seed);
            std::mt19937_64 random{seed};
            crash_files files;
            files.fail_at = at;
            content before;
            content after;
            crashed = run_script(files, waits, before, after);
            files.lose_power(random);
            for (std::size_t again = 1; again < 30; ++again)
            {
                files.fail_at = again;
                if (load(files))
                {
                    break;
                }
                files.lose_power(random);
            }
            files.fail_at.reset();
            auto const loaded = load(files);
            ASSERT_TRUE(loaded) << loaded.error().detail;
            auto const found = content_of(loaded.value());
            ASSERT_TRUE(found == before || found == after);

            // The repaired log must be one that can be continued.
            auto const last = found.entries.empty() && found.snapshot
                                  ? found.snapshot->info.last.index.value()
                              : found.entries.empty()
                                  ? 0
                                  : found.entries.back().index.value();
            {
                disk_log<crash_files> log{files, small};
                ASSERT_TRUE(log.load());
                ASSERT_TRUE(
                    run(log, {store_call::sync, last + 1, last + 2, 9}));
            }
            auto const reloaded = load(files);
            ASSERT_TRUE(reloaded) << reloaded.error().detail;
            EXPECT_EQ(reloaded.value().entries.back(), entry(last + 2, 9));
        }
    }
}

TEST(disk_log, survives_a_loss_of_power_at_every_call)
{
    lose_power_at_every_call(true);
}

TEST(disk_log, survives_a_loss_of_power_at_every_call_of_started_syncs)
{
    lose_power_at_every_call(false);
}

// A second sync after a failed one may report data as durable that the first
// one has lost: after a failure the store must not call the disk again.
auto fail_every_call(bool waits) -> void
{
    for (std::size_t at = 1;; ++at)
    {
        crash_files files;
        files.fail_at = at;
        files.once = true;
        disk_log<crash_files> log{files, small};
        auto failed = !log.load();
        for (std::size_t n = 0; n < script.size() && !failed; ++n)
        {
            failed = !(waits ? run(log, script[n])
                             : run_started(files, log, script[n]));
        }
        if (!failed)
        {
            EXPECT_GT(at, 2 * script.size());
            break;
        }
        auto const calls = files.calls;
        for (auto const& it : script)
        {
            auto const done =
                waits ? run(log, it) : run_started(files, log, it);
            ASSERT_FALSE(done);
            EXPECT_EQ(done.error().kind, error_kind::disk_failed);
        }
        EXPECT_EQ(files.calls, calls) << "call " << at;
    }
}

TEST(disk_log, never_retries_after_a_failed_call)
{
    fail_every_call(true);
}

TEST(disk_log, never_retries_after_a_failed_call_of_a_started_sync)
{
    fail_every_call(false);
}

// What is buffered during a sync must not be reported as durable with it, and
// must not be left out by the next one.
TEST(disk_log, a_started_sync_covers_what_was_buffered_before_it)
{
    crash_files files;
    disk_log<crash_files> log{files, large};
    ASSERT_TRUE(log.load());
    buffer(log, {store_call::sync, 1, 2, 1});
    auto const free = log.free_space();
    auto syncs = 0;
    auto const count = [&syncs](result<void> const& it)
    {
        EXPECT_TRUE(it);
        ++syncs;
    };
    log.start_sync(count);
    EXPECT_EQ(syncs, 0) << "called back in the same turn";
    EXPECT_EQ(log.free_space(), free);
    buffer(log, {store_call::sync, 3, 4, 2});
    files.turn();
    EXPECT_EQ(syncs, 1);
    std::mt19937_64 random{1};
    crash_files lost;
    for (auto const& [name, it] : files.durable_names)
    {
        lost.names[name] = std::make_shared<crash_files::file>(
            crash_files::file{it->durable, it->durable});
    }
    lost.durable_names = lost.names;
    auto const first = disk_log<crash_files>{lost, large}.load();
    ASSERT_TRUE(first);
    EXPECT_EQ(first.value().entries.size(), 2U);
    EXPECT_EQ(first.value().term_and_vote.current, term{1});
    log.start_sync(count);
    files.turn();
    EXPECT_EQ(syncs, 2);
    files.lose_power(random);
    auto const second = disk_log<crash_files>{files, large}.load();
    ASSERT_TRUE(second);
    EXPECT_EQ(second.value().entries.size(), 4U);
    EXPECT_EQ(second.value().term_and_vote.current, term{2});
}

// A leader that waits for the disk at the start of each segment loses its
// lease.
TEST(disk_log, begins_segments_without_keeping_the_loop)
{
    crash_files files;
    disk_log<crash_files> log{files, small};
    ASSERT_TRUE(log.load());
    auto const waits = files.waits;
    for (std::uint64_t n = 1; n <= 40; ++n)
    {
        ASSERT_TRUE(run_started(files, log, {store_call::sync, n, n, 1}));
    }
    EXPECT_GT(files.names.size(), 5U) << "too few segments";
    EXPECT_EQ(files.waits, waits);
}

// A log that is gone must not be called back, and its file is closed.
TEST(disk_log, a_log_that_is_gone_is_not_called_back)
{
    crash_files files;
    auto called = false;
    {
        disk_log<crash_files> log{files, large};
        ASSERT_TRUE(log.load());
        buffer(log, {store_call::sync, 1, 2, 1});
        log.start_sync([&called](result<void> const&) { called = true; });
    }
    files.turn();
    EXPECT_FALSE(called);
}

/// A segment of three frames behind its header, and where each one starts.
struct three_frames
{
    crash_files files;
    std::vector<std::size_t> starts;
    std::shared_ptr<crash_files::file> segment;
    std::string* bytes{nullptr};

    three_frames()
    {
        disk_log<crash_files> log{files, large};
        EXPECT_TRUE(log.load());
        segment = files.names.at("d/log-00000000000000000001");
        bytes = &segment->current;
        for (std::uint64_t n = 1; n <= 3; ++n)
        {
            starts.push_back(bytes->size());
            EXPECT_TRUE(run(log, {store_call::sync, n, n, 1}));
        }
    }
};

// A torn last record must be cut and everything before it kept.
TEST(disk_log, cuts_a_torn_record_at_every_offset)
{
    three_frames base;
    auto const whole = *base.bytes;
    for (std::size_t size = 0; size <= whole.size(); ++size)
    {
        *base.bytes = whole.substr(0, size);
        auto const loaded = load(base.files);
        ASSERT_TRUE(loaded) << loaded.error().detail;
        auto const frames = std::ranges::count_if(base.starts, [&](auto start)
                                                  { return start < size; });
        auto const complete =
            size == whole.size() || std::ranges::count(base.starts, size) > 0;
        EXPECT_EQ(std::ssize(loaded.value().entries),
                  std::max<std::ptrdiff_t>(0, frames - (complete ? 0 : 1)))
            << "cut at " << size;
        // Without a whole header the file was replaced by a new one.
        base.files.names["d/log-00000000000000000001"] = base.segment;
    }
}

// A damaged record before sound ones was once acknowledged: starting without
// it would lose it silently.
TEST(disk_log, a_flipped_byte_at_every_offset_is_noticed)
{
    three_frames base;
    auto const whole = *base.bytes;
    for (std::size_t at = 0; at < whole.size(); ++at)
    {
        for (auto const flip : {0x01, 0x80, 0xff})
        {
            *base.bytes = whole;
            (*base.bytes)[at] = static_cast<char>((*base.bytes)[at] ^ flip);
            auto const loaded = load(base.files);
            if (at < base.starts.back())
            {
                ASSERT_FALSE(loaded) << "offset " << at;
                EXPECT_EQ(loaded.error().kind, error_kind::log_damaged);
            }
            else
            {
                ASSERT_TRUE(loaded) << "offset " << at;
                EXPECT_EQ(loaded.value().entries.size(), 2);
            }
        }
    }
}

// A customer can put the bytes of a frame into a command: behind a torn record
// they must not pass for a sound one and refuse the start.
TEST(disk_log, a_frame_inside_a_payload_is_not_taken_for_a_record)
{
    three_frames base;
    auto const frame =
        base.bytes->substr(base.starts[0], base.starts[1] - base.starts[0]);
    {
        disk_log<crash_files> log{base.files, large};
        ASSERT_TRUE(log.load());
        auto it = entry(4, 1);
        it.payload = frame;
        log.append_entries({it});
        ASSERT_TRUE(log.sync());
    }
    ASSERT_NE(base.bytes->find(frame, base.starts[1]), std::string::npos);
    base.bytes->pop_back();
    auto const loaded = load(base.files);
    ASSERT_TRUE(loaded) << loaded.error().detail;
    EXPECT_EQ(loaded.value().entries.size(), 3);
}

// A missing segment or a damaged snapshot must refuse the start.
TEST(disk_log, refuses_missing_parts)
{
    for (auto const* name :
         {"d/log-00000000000000000001", "d/log-00000000000000000002"})
    {
        crash_files files;
        {
            disk_log<crash_files> log{files, small};
            ASSERT_TRUE(log.load());
            for (std::uint64_t n = 1; n <= 6; ++n)
            {
                ASSERT_TRUE(
                    run(log, {store_call::sync, n * 10 - 9, n * 10, 1}));
            }
        }
        ASSERT_EQ(files.names.erase(name), 1);
        auto const loaded = load(files);
        ASSERT_FALSE(loaded);
        EXPECT_EQ(loaded.error().kind, error_kind::log_damaged);
    }
    crash_files files;
    {
        disk_log<crash_files> log{files, small};
        ASSERT_TRUE(log.load());
        ASSERT_TRUE(run(log, {store_call::sync, 1, 9, 1}));
        ASSERT_TRUE(run(log, {store_call::save, 0, 5, 1}));
    }
    auto& bytes = files.names.at("d/snapshot")->current;
    bytes[bytes.size() / 2] ^= 1;
    EXPECT_EQ(load(files).error().kind, error_kind::log_damaged);
}

auto real(temporary_folder const& it, std::int64_t max) -> disk_log_options
{
    return {file_path{it.path() + "/data"}, byte_count{max}, byte_count{300}};
}

// The script must read back the same from real files.
TEST(disk_log, reads_back_what_was_written_to_real_files)
{
    temporary_folder folder;
    posix_files files;
    memory_disk disk;
    memory_log model{disk};
    for (auto const& it : script)
    {
        disk_log<posix_files> log{files, real(folder, 1 << 20)};
        ASSERT_TRUE(log.load());
        ASSERT_TRUE(run(model, it));
        ASSERT_TRUE(run(log, it));
    }
    disk_log<posix_files> log{files, real(folder, 1 << 20)};
    auto const loaded = log.load();
    ASSERT_TRUE(loaded);
    EXPECT_EQ(content_of(loaded.value()), content_of(disk.stored));
}

// Two processes that write to one folder would destroy each other's log.
TEST(disk_log, a_second_process_is_refused)
{
    temporary_folder folder;
    posix_files files;
    disk_log<posix_files> first{files, real(folder, 1 << 20)};
    ASSERT_TRUE(first.load());
    disk_log<posix_files> second{files, real(folder, 1 << 20)};
    EXPECT_EQ(second.load().error().kind, error_kind::data_folder_locked);
}

// The bound on the disk must hold, and compaction must give room back.
TEST(disk_log, keeps_to_its_bound)
{
    temporary_folder folder;
    posix_files files;
    disk_log<posix_files> log{files, real(folder, 4000)};
    ASSERT_TRUE(log.load());
    std::uint64_t n{0};
    auto const write = [&] { return run(log, {store_call::sync, ++n, n, 1}); };
    while (log.free_space() > byte_count{1000})
    {
        ASSERT_TRUE(write());
    }
    auto const used_space = log.used_space();
    ASSERT_TRUE(run(log, {store_call::save, 0, n, 1}));
    ASSERT_TRUE(run(log, {store_call::compact, 0, n, 0}));
    EXPECT_LT(log.used_space().value(), used_space.value() / 2);
    auto done = write();
    while (done)
    {
        ASSERT_LE(log.used_space().value(), 4000);
        done = write();
    }
    EXPECT_EQ(done.error().kind, error_kind::disk_full);
}

// Any order of appends, replacements and snapshots must read back like the
// plain model.
TEST(disk_log, any_sequence_reads_back)
{
    rc::detail::TestParams params;
    params.seed = 20'261'204;
    auto const outcome = rc::detail::checkTestable(
        []
        {
            crash_files files;
            memory_disk disk;
            memory_log model{disk};
            std::uint64_t last{0};
            std::uint64_t floor{0};
            auto const steps = *rc::gen::inRange(1, 40);
            for (auto n = 0; n < steps; ++n)
            {
                disk_log<crash_files> log{files, small};
                RC_ASSERT(log.load().has_value());
                auto const in_term = static_cast<std::uint64_t>(n) + 1;
                auto const kind = *rc::gen::inRange(0, 5);
                store_call call{store_call::sync, 0, 0, in_term};
                if (kind < 3 || last == floor)
                {
                    call.first = *rc::gen::inRange(floor + 1, last + 2);
                    call.last =
                        call.first + *rc::gen::inRange<std::uint64_t>(0, 5);
                    last = call.last;
                }
                else if (kind == 3)
                {
                    floor = *rc::gen::inRange(floor + 1, last + 1);
                    call.kind = store_call::save;
                    call.last = floor;
                    call.in_term = 0;
                    for (auto const& it : disk.stored.entries)
                    {
                        call.in_term = it.index.value() == floor
                                           ? it.in_term.value()
                                           : call.in_term;
                    }
                }
                else
                {
                    floor = last =
                        last + *rc::gen::inRange<std::uint64_t>(1, 5);
                    call.kind = store_call::install;
                    call.last = last;
                }
                RC_ASSERT(run(model, call).has_value());
                RC_ASSERT(run(log, call).has_value());
                RC_ASSERT(log.compact(log_index{floor}).has_value());
            }
            auto const loaded = load(files);
            RC_ASSERT(loaded.has_value());
            RC_ASSERT(content_of(loaded.value()) == content_of(disk.stored));
        },
        rc::detail::TestMetadata{}, params);
    rc::detail::SuccessResult success;
    EXPECT_TRUE(outcome.match(success));
}

} // namespace
} // namespace apricotlb
