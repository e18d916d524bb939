/// Loading and repair of disk_log; included by disk_log.hpp only.
#ifndef APRICOTLB_ADAPTERS_DISK_LOG_LOAD_HPP
#define APRICOTLB_ADAPTERS_DISK_LOG_LOAD_HPP

#include "adapters/disk_log.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <variant>

namespace apricotlb
{

template <file_system_port Files>
auto disk_log<Files>::load() -> result<stored_log>
{
    forget();
    auto out = load_all();
    if (!out)
    {
        (void)guard(outcome::failure(out.error()));
    }
    return out;
}

/// Undoes a load that found no space, except for the lock.
template <file_system_port Files>
auto disk_log<Files>::forget() -> void
{
    drop_unfinished();
    if (auto const file = std::exchange(file_, std::nullopt))
    {
        files_.close(*file);
    }
    segments_.clear();
    snapshot_size_ = {};
    is_torn_ = false;
    unfinished_segment_.reset();
    pending_.clear();
    started_.reset();
    hard_ = written_hard_ = {};
    last_ = written_ = {};
}

template <file_system_port Files>
auto disk_log<Files>::load_all() -> result<stored_log>
{
    BOOST_OUTCOME_TRYV(files_.make_folder(options_.folder));
    if (!lock_)
    {
        BOOST_OUTCOME_TRY(locked, files_.lock(path_of("lock")));
        lock_ = locked;
    }
    BOOST_OUTCOME_TRY(names, files_.list(options_.folder));
    stored_log out;
    std::vector<segment_number> numbers;
    for (auto const& it : names)
    {
        if (it == "snapshot")
        {
            BOOST_OUTCOME_TRY(bytes, files_.read(path_of(it)));
            BOOST_OUTCOME_TRY(snapshot, disk_format::read_snapshot(bytes));
            out.snapshot = std::move(snapshot);
            snapshot_size_ =
                byte_count{static_cast<std::int64_t>(bytes.size())};
        }
        else if (it == "snapshot.tmp")
        {
            BOOST_OUTCOME_TRYV(files_.remove(path_of(it)));
        }
        else if (std::uint64_t n{0};
                 it.starts_with("log-") &&
                 std::from_chars(it.data() + 4, it.data() + it.size(), n).ec ==
                     std::errc{})
        {
            numbers.emplace_back(n);
        }
    }
    std::ranges::sort(numbers);
    // Removals may have reached the disk in any order: only the run without
    // gaps up to the newest segment counts.
    auto first = numbers.size();
    while (first > 0 &&
           (first == numbers.size() ||
            numbers[first - 1] + segment_number{1} == numbers[first]))
    {
        --first;
    }
    for (std::size_t n = 0; n < first; ++n)
    {
        BOOST_OUTCOME_TRYV(files_.remove(path_of(name_of(numbers[n]))));
    }
    numbers.erase(numbers.begin(),
                  numbers.begin() + static_cast<std::ptrdiff_t>(first));
    BOOST_OUTCOME_TRYV(load_segments(out, std::move(numbers)));
    return out;
}

template <file_system_port Files>
auto disk_log<Files>::load_segments(stored_log& out,
                                    std::vector<segment_number> numbers)
    -> result<void>
{
    for (auto const it : numbers)
    {
        BOOST_OUTCOME_TRY(used, load_segment(out, it, it == numbers.back()));
        if (!used)
        {
            // The process stopped while it created this segment. If the name
            // came back, the segment before it would no longer be the last.
            BOOST_OUTCOME_TRYV(files_.remove(path_of(name_of(it))));
            BOOST_OUTCOME_TRYV(files_.sync_folder(options_.folder));
        }
    }
    if (segments_.empty())
    {
        if (out.snapshot)
        {
            return fail(error_kind::log_damaged,
                        "a snapshot without a log segment");
        }
        return add_segment({}, false);
    }
    hard_ = out.term_and_vote;
    written_hard_ = hard_;
    written_ = last_;
    BOOST_OUTCOME_TRY(file,
                      files_.open(path_of(name_of(segments_.back().number))));
    file_ = file;
    // The process before may have ended between a write and its sync, or
    // between the sync of a new segment and that of its name.
    BOOST_OUTCOME_TRYV(files_.sync(file));
    BOOST_OUTCOME_TRYV(files_.sync_folder(options_.folder));
    if (!out.snapshot)
    {
        return out.base == log_position{}
                   ? result<void>{outcome::success()}
                   : fail(error_kind::log_damaged,
                          "the log starts behind entry " +
                              std::to_string(out.base.index.value()) +
                              " and there is no snapshot");
    }
    auto const kept = out.snapshot->info.last;
    if (out.base.index > kept.index)
    {
        return fail(error_kind::log_damaged,
                    "entries between the snapshot and the log are missing");
    }
    // A snapshot that was received replaces the log; the process may have
    // stopped between the two.
    auto const n = (kept.index - out.base.index).value();
    auto const same =
        last_.index >= kept.index && n <= out.entries.size() &&
        (n == 0 ? out.base
                : log_position{out.entries[n - 1].index,
                               out.entries[n - 1].in_term}) == kept;
    if (same)
    {
        return outcome::success();
    }
    out.base = kept;
    out.entries.clear();
    BOOST_OUTCOME_TRYV(add_segment(kept, true));
    return remove_segments(segments_.size() - 1);
}

/// Returns false if the segment is one that was never completed.
template <file_system_port Files>
auto disk_log<Files>::load_segment(stored_log& out, segment_number number,
                                   bool last) -> result<bool>
{
    auto const path = path_of(name_of(number));
    BOOST_OUTCOME_TRY(bytes, files_.read(path));
    auto scanned =
        disk_format::scan(disk_format::frame_kind::records, number, bytes);
    if (!scanned)
    {
        return fail(scanned.error().kind,
                    path.value() + ": " + scanned.error().detail);
    }
    auto const& found = scanned.value();
    if (found.torn && !last)
    {
        return fail(error_kind::log_damaged, path.value() +
                                                 ": damaged record at offset " +
                                                 std::to_string(found.end));
    }
    if (found.payloads.empty() && last)
    {
        return false;
    }
    segments_.push_back(
        {number, {}, byte_count{static_cast<std::int64_t>(found.end)}});
    auto first = true;
    for (auto const payload : found.payloads)
    {
        BOOST_OUTCOME_TRY(records, disk_format::read_records(payload));
        for (auto& it : records)
        {
            auto const* const header =
                std::get_if<disk_format::segment_header>(&it);
            if (first != (header != nullptr) ||
                (header != nullptr && header->number != number))
            {
                return fail(error_kind::log_damaged,
                            path.value() + ": misplaced segment header");
            }
            first = false;
            BOOST_OUTCOME_TRYV(take(out, std::move(it)));
        }
    }
    if (found.torn)
    {
        BOOST_OUTCOME_TRY(file, files_.open(path));
        auto done = files_.truncate(file, segments_.back().size);
        if (done)
        {
            done = files_.sync(file);
        }
        files_.close(file);
        BOOST_OUTCOME_TRYV(std::move(done));
    }
    return true;
}

template <file_system_port Files>
auto disk_log<Files>::take(stored_log& out, disk_format::record it)
    -> result<void>
{
    if (auto const* header = std::get_if<disk_format::segment_header>(&it))
    {
        segments_.back().base = header->base.index;
        out.term_and_vote = header->term_and_vote;
        if (segments_.size() == 1 || header->reset)
        {
            out.base = header->base;
            out.entries.clear();
            last_ = header->base;
        }
        return outcome::success();
    }
    if (auto const* term_and_vote = std::get_if<hard_state>(&it))
    {
        out.term_and_vote = *term_and_vote;
        return outcome::success();
    }
    auto& entry = std::get<log_entry>(it);
    if (entry.index > last_.index + log_index{1})
    {
        return fail(error_kind::log_damaged,
                    "gap in the log before entry " +
                        std::to_string(entry.index.value()));
    }
    last_ = {entry.index, entry.in_term};
    if (entry.index <= out.base.index)
    {
        // It replaces entries of a removed segment. What lies at or before
        // the base is in the snapshot.
        out.entries.clear();
        out.base.in_term =
            entry.index == out.base.index ? entry.in_term : out.base.in_term;
        return outcome::success();
    }
    out.entries.resize(
        static_cast<std::size_t>((entry.index - out.base.index).value() - 1));
    out.entries.push_back(std::move(entry));
    return outcome::success();
}

} // namespace apricotlb

#endif
