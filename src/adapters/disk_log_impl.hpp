/// Definitions of disk_log; included by disk_log.hpp only.
#ifndef APRICOTLB_ADAPTERS_DISK_LOG_IMPL_HPP
#define APRICOTLB_ADAPTERS_DISK_LOG_IMPL_HPP

#include "adapters/disk_log.hpp"

#include <algorithm>
#include <cstdint>

namespace apricotlb
{

template <file_system_port Files>
disk_log<Files>::~disk_log()
{
    if (unfinished_)
    {
        files_.close(unfinished_->file);
    }
    if (file_)
    {
        files_.close(*file_);
    }
    if (lock_)
    {
        files_.close(*lock_);
    }
}

template <file_system_port Files>
auto disk_log<Files>::path_of(std::string const& name) const -> file_path
{
    return file_path{options_.folder.value() + "/" + name};
}

template <file_system_port Files>
auto disk_log<Files>::name_of(segment_number it) -> std::string
{
    constexpr std::size_t width = 20;
    auto const digits = std::to_string(it.value());
    return "log-" + std::string(width - digits.size(), '0') + digits;
}

template <file_system_port Files>
auto disk_log<Files>::guard(result<void> done) -> result<void>
{
    if (!done && !failed_ && done.error().kind != error_kind::disk_full)
    {
        failed_ = done.error();
    }
    return done;
}

template <file_system_port Files>
auto disk_log<Files>::next_segment(log_position base, bool reset) -> new_segment
{
    disk_format::segment_header const header{
        .number = segments_.empty()
                      ? segment_number{1}
                      : segments_.back().number + segment_number{1},
        .term_and_vote = written_hard_,
        .base = base,
        .reset = reset};
    std::string payload;
    disk_format::add_record(payload, header);
    unfinished_segment_ = path_of(name_of(header.number));
    return {header.number, base,
            disk_format::make_frame(disk_format::frame_kind::records,
                                    header.number, 0, payload)};
}

template <file_system_port Files>
auto disk_log<Files>::use_segment(new_segment const& it, file_handle file)
    -> void
{
    unfinished_segment_.reset();
    if (file_)
    {
        files_.close(*file_);
    }
    file_ = file;
    segments_.push_back(
        {it.number, it.base.index,
         byte_count{static_cast<std::int64_t>(it.frame.size())}});
    written_ = it.base;
}

template <file_system_port Files>
auto disk_log<Files>::add_segment(log_position base, bool reset) -> result<void>
{
    auto const it = next_segment(base, reset);
    BOOST_OUTCOME_TRY(file, files_.create(*unfinished_segment_));
    if (auto done = fill_segment(file, it.frame); !done)
    {
        files_.close(file);
        return done;
    }
    use_segment(it, file);
    if (reset)
    {
        last_ = base;
    }
    return outcome::success();
}

/// Makes the next segment, and writes the pending records to it.
template <file_system_port Files>
auto disk_log<Files>::start_segment(std::function<void(result<void>)> done)
    -> void
{
    auto made = next_segment(written_, false);
    auto frame = made.frame;
    files_.start_file(*unfinished_segment_, options_.folder, std::move(frame),
                      [this, &files = files_,
                       lifetime = std::weak_ptr{lifetime_},
                       made = std::move(made),
                       done = std::move(done)](result<file_handle> file)
                      {
                          if (lifetime.expired())
                          {
                              if (file)
                              {
                                  files.close(file.value());
                              }
                              return;
                          }
                          if (!file)
                          {
                              done(guard(outcome::failure(file.error())));
                              return;
                          }
                          use_segment(made, file.value());
                          start_frame(done);
                      });
}

template <file_system_port Files>
auto disk_log<Files>::fill_segment(file_handle file, std::string_view frame)
    -> result<void>
{
    BOOST_OUTCOME_TRYV(files_.write(file, frame));
    BOOST_OUTCOME_TRYV(files_.sync(file));
    return files_.sync_folder(options_.folder);
}

/// Nothing may follow a torn record, and a segment must not have a successor
/// while it is appended to.
template <file_system_port Files>
auto disk_log<Files>::repair() -> result<void>
{
    if (unfinished_segment_)
    {
        BOOST_OUTCOME_TRYV(files_.remove(*unfinished_segment_));
        BOOST_OUTCOME_TRYV(files_.sync_folder(options_.folder));
        unfinished_segment_.reset();
    }
    if (is_torn_)
    {
        BOOST_OUTCOME_TRYV(files_.truncate(*file_, segments_.back().size));
        BOOST_OUTCOME_TRYV(files_.sync(*file_));
        is_torn_ = false;
    }
    return outcome::success();
}

template <file_system_port Files>
auto disk_log<Files>::save(hard_state const& it) -> void
{
    hard_ = it;
    disk_format::add_record(pending_, it);
}

template <file_system_port Files>
auto disk_log<Files>::append_entries(std::vector<log_entry> const& entries)
    -> void
{
    for (auto const& it : entries)
    {
        disk_format::add_record(pending_, it);
        last_ = {it.index, it.in_term};
    }
}

template <file_system_port Files>
auto disk_log<Files>::sync() -> result<void>
{
    if (failed_)
    {
        return outcome::failure(*failed_);
    }
    return pending_.empty() ? outcome::success() : guard(write_frame());
}

template <file_system_port Files>
auto disk_log<Files>::start_sync(std::function<void(result<void>)> done) -> void
{
    if (failed_ || pending_.empty())
    {
        done(failed_ ? result<void>{outcome::failure(*failed_)}
                     : outcome::success());
        return;
    }
    if (auto ready = guard(prepare_frame()); !ready)
    {
        done(std::move(ready));
        return;
    }
    if (segments_.back().size >= options_.segment)
    {
        start_segment(std::move(done));
        return;
    }
    start_frame(std::move(done));
}

template <file_system_port Files>
auto disk_log<Files>::start_frame(std::function<void(result<void>)> done)
    -> void
{
    files_.start_append(*file_, make_frame(),
                        [this, lifetime = std::weak_ptr{lifetime_},
                         done = std::move(done)](result<void> written)
                        {
                            if (!lifetime.expired())
                            {
                                done(guard(end_frame(std::move(written))));
                            }
                        });
}

template <file_system_port Files>
auto disk_log<Files>::write_frame() -> result<void>
{
    BOOST_OUTCOME_TRYV(prepare_frame());
    if (segments_.back().size >= options_.segment)
    {
        BOOST_OUTCOME_TRYV(add_segment(written_, false));
    }
    auto const frame = make_frame();
    auto written = files_.write(*file_, frame);
    return end_frame(written ? files_.sync(*file_) : std::move(written));
}

template <file_system_port Files>
auto disk_log<Files>::prepare_frame() -> result<void>
{
    if (byte_count{static_cast<std::int64_t>(pending_.size())} > free_space())
    {
        return fail(error_kind::disk_full,
                    "the log has reached its bound of " +
                        std::to_string(options_.max_disk.value()) + " bytes");
    }
    return repair();
}

template <file_system_port Files>
auto disk_log<Files>::make_frame() -> std::string
{
    auto const& it = segments_.back();
    auto frame = disk_format::make_frame(
        disk_format::frame_kind::records, it.number,
        static_cast<std::size_t>(it.size.value()), pending_);
    is_torn_ = true;
    started_ = started_frame{
        std::exchange(pending_, {}),
        byte_count{static_cast<std::int64_t>(frame.size())}, hard_, last_};
    return frame;
}

template <file_system_port Files>
auto disk_log<Files>::end_frame(result<void> done) -> result<void>
{
    auto it = *std::exchange(started_, std::nullopt);
    if (!done)
    {
        pending_.insert(0, it.records);
        return done;
    }
    is_torn_ = false;
    segments_.back().size += it.size;
    written_hard_ = std::move(it.term_and_vote);
    written_ = it.last;
    return outcome::success();
}

template <file_system_port Files>
auto disk_log<Files>::drop_unfinished() -> void
{
    if (unfinished_)
    {
        files_.close(unfinished_->file);
        // A failure is ignored: load and the next snapshot remove the file.
        (void)files_.remove(path_of("snapshot.tmp"));
        unfinished_.reset();
    }
}

template <file_system_port Files>
auto disk_log<Files>::open_snapshot(raft_snapshot const& it) -> result<void>
{
    drop_unfinished();
    BOOST_OUTCOME_TRY(file, files_.create(path_of("snapshot.tmp")));
    unfinished_ = unfinished{file, disk_format::make_snapshot(it), 0};
    return outcome::success();
}

/// Each piece is synced on its own: one sync of a large file would stop the
/// loop for as long as the disk needs for all of it.
template <file_system_port Files>
auto disk_log<Files>::write_piece() -> result<bool>
{
    auto& it = *unfinished_;
    auto const piece = std::string_view{it.bytes}.substr(
        it.done, config::snapshot_piece_bytes);
    BOOST_OUTCOME_TRYV(files_.write(it.file, piece));
    BOOST_OUTCOME_TRYV(files_.sync(it.file));
    it.done += piece.size();
    if (it.done < it.bytes.size())
    {
        return false;
    }
    BOOST_OUTCOME_TRYV(
        files_.rename(path_of("snapshot.tmp"), path_of("snapshot")));
    snapshot_size_ = byte_count{static_cast<std::int64_t>(it.bytes.size())};
    files_.close(it.file);
    unfinished_.reset();
    BOOST_OUTCOME_TRYV(files_.sync_folder(options_.folder));
    return true;
}

template <file_system_port Files>
auto disk_log<Files>::begin_snapshot(raft_snapshot const& it) -> result<void>
{
    // A snapshot needs no entry that is only buffered, and may free the space
    // for it.
    if (auto done = sync(); !done && done.error().kind != error_kind::disk_full)
    {
        return done;
    }
    return guard(open_snapshot(it));
}

template <file_system_port Files>
auto disk_log<Files>::continue_snapshot() -> result<bool>
{
    if (failed_)
    {
        return outcome::failure(*failed_);
    }
    if (!unfinished_)
    {
        return true;
    }
    auto done = write_piece();
    if (!done)
    {
        (void)guard(outcome::failure(done.error()));
    }
    if (!done && !failed_)
    {
        drop_unfinished();
    }
    return done;
}

template <file_system_port Files>
auto disk_log<Files>::start_piece(std::function<void(result<bool>)> done)
    -> void
{
    if (failed_ || !unfinished_)
    {
        done(failed_ ? result<bool>{outcome::failure(*failed_)} : true);
        return;
    }
    auto piece = unfinished_->bytes.substr(unfinished_->done,
                                           config::snapshot_piece_bytes);
    auto const size = piece.size();
    files_.start_append(unfinished_->file, std::move(piece),
                        [this, lifetime = std::weak_ptr{lifetime_}, size,
                         done = std::move(done)](result<void> const& written)
                        {
                            if (lifetime.expired())
                            {
                                return;
                            }
                            if (!written)
                            {
                                done(fail_piece(written.error()));
                                return;
                            }
                            unfinished_->done += size;
                            if (unfinished_->done < unfinished_->bytes.size())
                            {
                                done(false);
                                return;
                            }
                            start_publish(done);
                        });
}

/// Gives a complete snapshot its name.
template <file_system_port Files>
auto disk_log<Files>::start_publish(std::function<void(result<bool>)> done)
    -> void
{
    files_.start_rename(
        path_of("snapshot.tmp"), path_of("snapshot"), options_.folder,
        [this, lifetime = std::weak_ptr{lifetime_},
         done = std::move(done)](result<void> const& renamed)
        {
            if (lifetime.expired())
            {
                return;
            }
            // After a failure either snapshot may have the name.
            auto const size = byte_count{
                static_cast<std::int64_t>(unfinished_->bytes.size())};
            snapshot_size_ = renamed ? size : std::max(snapshot_size_, size);
            if (!renamed)
            {
                done(fail_piece(renamed.error()));
                return;
            }
            files_.close(unfinished_->file);
            unfinished_.reset();
            done(true);
        });
}

template <file_system_port Files>
auto disk_log<Files>::fail_piece(error const& it) -> result<bool>
{
    (void)guard(outcome::failure(it));
    if (!failed_)
    {
        drop_unfinished();
    }
    return outcome::failure(it);
}

template <file_system_port Files>
auto disk_log<Files>::save_snapshot(raft_snapshot const& it) -> result<void>
{
    BOOST_OUTCOME_TRYV(begin_snapshot(it));
    for (auto durable = false; !durable;)
    {
        BOOST_OUTCOME_TRY(done, continue_snapshot());
        durable = done;
    }
    return outcome::success();
}

template <file_system_port Files>
auto disk_log<Files>::install(raft_snapshot const& it) -> result<void>
{
    BOOST_OUTCOME_TRYV(sync());
    BOOST_OUTCOME_TRYV(save_snapshot(it));
    BOOST_OUTCOME_TRYV(guard(add_segment(it.info.last, true)));
    return guard(remove_segments(segments_.size() - 1));
}

template <file_system_port Files>
auto disk_log<Files>::remove_segments(std::size_t count) -> result<void>
{
    for (; count > 0; --count)
    {
        BOOST_OUTCOME_TRYV(
            files_.remove(path_of(name_of(segments_.front().number))));
        segments_.erase(segments_.begin());
    }
    return outcome::success();
}

template <file_system_port Files>
auto disk_log<Files>::compact(log_index keep_after) -> result<void>
{
    if (failed_)
    {
        return outcome::failure(*failed_);
    }
    // A segment is needed while the next one starts behind keep_after.
    std::size_t count{0};
    while (count + 1 < segments_.size() &&
           segments_[count + 1].base <= keep_after)
    {
        ++count;
    }
    return guard(remove_segments(count));
}

template <file_system_port Files>
auto disk_log<Files>::used_space() const -> byte_count
{
    auto total = snapshot_size_;
    for (auto const& it : segments_)
    {
        total += it.size;
    }
    return total;
}

/// The next snapshot is written before the present one is removed, so that
/// its size counts twice.
template <file_system_port Files>
auto disk_log<Files>::free_space() const -> byte_count
{
    auto const buffered =
        pending_.size() + (started_ ? started_->records.size() : 0);
    return options_.max_disk - used_space() - snapshot_size_ -
           byte_count{static_cast<std::int64_t>(buffered)};
}

} // namespace apricotlb

#endif
