/// Log store port over files in one data folder.
///
/// Files: `lock`, `snapshot`, and segments `log-<number>` of frames (see
/// disk_format.hpp). Segments are only appended to: an entry that replaces
/// another is written behind it. A segment starts with the hard state and the
/// position before it, so that older ones can be removed without it.
#ifndef APRICOTLB_ADAPTERS_DISK_LOG_HPP
#define APRICOTLB_ADAPTERS_DISK_LOG_HPP

#include "adapters/disk_format.hpp"
#include "ports/file_system.hpp"
#include "ports/log_store.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/units.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Settings of a disk log.
struct disk_log_options
{
    file_path folder;
    byte_count max_disk{config::max_disk};
    byte_count segment{static_cast<std::int64_t>(config::segment_bytes)};
};

/// One process at a time holds the folder, from load on.
template <file_system_port Files>
class disk_log
{
public:
    disk_log(Files& files, disk_log_options options)
        : files_(files), options_(std::move(options))
    {
    }
    disk_log(disk_log const&) = delete;
    auto operator=(disk_log const&) -> disk_log& = delete;
    ~disk_log();

    auto load() -> result<stored_log>;
    auto save(hard_state const& it) -> void;
    auto append_entries(std::vector<log_entry> const& entries) -> void;
    auto sync() -> result<void>;
    auto start_sync(std::function<void(result<void>)> done) -> void;
    auto begin_snapshot(raft_snapshot const& it) -> result<void>;
    auto continue_snapshot() -> result<bool>;
    auto start_piece(std::function<void(result<bool>)> done) -> void;
    auto save_snapshot(raft_snapshot const& it) -> result<void>;
    auto install(raft_snapshot const& it) -> result<void>;
    auto compact(log_index keep_after) -> result<void>;
    [[nodiscard]] auto used_space() const -> byte_count;
    [[nodiscard]] auto free_space() const -> byte_count;

private:
    using segment_number = disk_format::segment_number;

    /// A snapshot that is being written.
    struct unfinished
    {
        file_handle file;
        std::string bytes;
        std::size_t done{0};
    };

    /// A segment that is being made.
    struct new_segment
    {
        segment_number number;
        log_position base;
        std::string frame;
    };

    /// A frame that is being written, and the state after it.
    struct started_frame
    {
        std::string records;
        byte_count size;
        hard_state term_and_vote;
        log_position last;
    };

    struct segment
    {
        segment_number number;
        log_index base;
        byte_count size;
    };

    [[nodiscard]] auto path_of(std::string const& name) const -> file_path;
    [[nodiscard]] static auto name_of(segment_number it) -> std::string;
    auto load_all() -> result<stored_log>;
    auto load_segments(stored_log& out, std::vector<segment_number> numbers)
        -> result<void>;
    auto load_segment(stored_log& out, segment_number number, bool last)
        -> result<bool>;
    auto take(stored_log& out, disk_format::record it) -> result<void>;
    auto add_segment(log_position base, bool reset) -> result<void>;
    /// Describes the next segment and notes it as unfinished.
    auto next_segment(log_position base, bool reset) -> new_segment;
    auto use_segment(new_segment const& it, file_handle file) -> void;
    auto start_segment(std::function<void(result<void>)> done) -> void;
    auto fill_segment(file_handle file, std::string_view frame) -> result<void>;
    auto open_snapshot(raft_snapshot const& it) -> result<void>;
    auto write_piece() -> result<bool>;
    auto start_publish(std::function<void(result<bool>)> done) -> void;
    auto fail_piece(error const& it) -> result<bool>;
    auto drop_unfinished() -> void;
    auto write_frame() -> result<void>;
    /// Checks that the pending records can be written.
    auto prepare_frame() -> result<void>;
    /// The frame of all pending records, for the last segment.
    auto make_frame() -> std::string;
    auto start_frame(std::function<void(result<void>)> done) -> void;
    auto end_frame(result<void> done) -> result<void>;
    /// Removes what a write without space has left behind.
    auto repair() -> result<void>;
    auto forget() -> void;
    auto remove_segments(std::size_t count) -> result<void>;
    /// Keeps the first failure other than disk_full; every later call returns
    /// it.
    auto guard(result<void> done) -> result<void>;

    Files& files_;
    disk_log_options options_;
    std::optional<file_handle> lock_;
    std::optional<file_handle> file_; ///< the last segment
    std::vector<segment> segments_;
    byte_count snapshot_size_;
    std::optional<unfinished> unfinished_;
    /// Bytes may follow the last durable record.
    bool is_torn_{false};
    std::optional<file_path> unfinished_segment_;
    std::string pending_;
    std::optional<started_frame> started_;
    hard_state hard_;
    log_position last_;
    // The same without what is pending.
    hard_state written_hard_;
    log_position written_;
    std::optional<error> failed_;
    /// Expires with the log, which a write may outlive.
    std::shared_ptr<bool> lifetime_{std::make_shared<bool>(true)};
};

} // namespace apricotlb

#include "adapters/disk_log_impl.hpp"
#include "adapters/disk_log_load.hpp"

#endif
