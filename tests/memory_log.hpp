/// Log store port in memory that loses everything unsynced.
#ifndef APRICOTLB_TESTS_MEMORY_LOG_HPP
#define APRICOTLB_TESTS_MEMORY_LOG_HPP

#include "paused_clock.hpp"
#include "ports/log_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace apricotlb
{

/// What survives the loss of a process.
struct memory_disk
{
    stored_log stored;
    std::int64_t free_space{std::int64_t{1} << 40};
    std::size_t syncs{0};
    bool fail_sync{false};
    bool full{false}; ///< nothing can be written
    /// A snapshot needs more space than there is.
    bool full_for_snapshots{false};
    /// Called during each sync, e.g. to let it block the loop for a time.
    std::function<void()> during_sync{};
    duration sync_time{}; ///< of a sync; only sync() itself blocks the loop
    /// What a sync writes has reached the disk when the process is lost in it.
    bool keeps_unfinished_sync{false};
};

class memory_log
{
public:
    /// Without a clock the store has no start_sync that takes time.
    explicit memory_log(memory_disk& disk, paused_clock* clock = nullptr)
        : disk_(disk), clock_(clock)
    {
    }
    memory_log(memory_log const&) = delete;
    auto operator=(memory_log const&) -> memory_log& = delete;
    ~memory_log()
    {
        if (piece_timer_)
        {
            clock_->cancel_timer(*piece_timer_);
        }
        if (timer_)
        {
            clock_->cancel_timer(*timer_);
            if (disk_.keeps_unfinished_sync && !disk_.full)
            {
                store(*writing_);
            }
        }
    }

    auto load() -> result<stored_log>
    {
        BOOST_OUTCOME_TRYV(check_space(disk_.full));
        return disk_.stored;
    }
    auto save(hard_state const& it) -> void
    {
        hard_ = it;
        is_changed_ = true;
    }
    auto append_entries(std::vector<log_entry> const& it) -> void
    {
        is_changed_ = true;
        entries_.insert(entries_.end(), it.begin(), it.end());
    }

    auto sync() -> result<void>
    {
        if (writing_)
        {
            return fail(error_kind::disk_failed, "another sync is in progress");
        }
        if (clock_ != nullptr && is_changed_)
        {
            clock_->block(disk_.sync_time);
        }
        begin();
        return finish();
    }

    auto start_sync(std::function<void(result<void>)> done) -> void
    {
        if (writing_ || clock_ == nullptr)
        {
            done(fail(error_kind::disk_failed, "a sync cannot start"));
            return;
        }
        if (!is_changed_)
        {
            done(outcome::success());
            return;
        }
        begin();
        timer_ = clock_->start_timer(disk_.sync_time,
                                     [this, done = std::move(done)]
                                     {
                                         timer_.reset();
                                         done(finish());
                                     });
    }

    /// Takes two pieces, so that a process can be lost in between.
    auto begin_snapshot(raft_snapshot const& it) -> result<void>
    {
        if (piece_timer_)
        {
            return fail(error_kind::disk_failed, "a part is being saved");
        }
        BOOST_OUTCOME_TRYV(sync());
        unfinished_ = it;
        pieces_ = 0;
        return outcome::success();
    }

    auto continue_snapshot() -> result<bool>
    {
        if (clock_ != nullptr)
        {
            clock_->block(disk_.sync_time);
        }
        return save_piece();
    }

    auto start_piece(std::function<void(result<bool>)> done) -> void
    {
        if (clock_ == nullptr)
        {
            done(continue_snapshot());
            return;
        }
        piece_timer_ = clock_->start_timer(disk_.sync_time,
                                           [this, done = std::move(done)]
                                           {
                                               piece_timer_.reset();
                                               done(save_piece());
                                           });
    }

    auto save_snapshot(raft_snapshot const& it) -> result<void>
    {
        BOOST_OUTCOME_TRYV(begin_snapshot(it));
        BOOST_OUTCOME_TRYV(continue_snapshot());
        BOOST_OUTCOME_TRYV(continue_snapshot());
        return outcome::success();
    }

    auto install(raft_snapshot const& it) -> result<void>
    {
        BOOST_OUTCOME_TRYV(save_snapshot(it));
        disk_.stored.entries.clear();
        disk_.stored.base = it.info.last;
        return outcome::success();
    }

    auto compact(log_index keep_after) -> result<void>
    {
        auto& entries = disk_.stored.entries;
        while (!entries.empty() && entries.front().index <= keep_after)
        {
            disk_.stored.base = {entries.front().index,
                                 entries.front().in_term};
            entries.erase(entries.begin());
        }
        return outcome::success();
    }

    [[nodiscard]] auto used_space() const -> byte_count { return {}; }
    [[nodiscard]] auto free_space() const -> byte_count
    {
        return byte_count{disk_.free_space};
    }

private:
    /// What is buffered.
    struct changes
    {
        std::optional<hard_state> term_and_vote;
        std::vector<log_entry> entries;
    };

    auto save_piece() -> result<bool>
    {
        BOOST_OUTCOME_TRYV(check_space(disk_.full || disk_.full_for_snapshots));
        if (++pieces_ == 2 && unfinished_)
        {
            disk_.stored.snapshot = std::exchange(unfinished_, {});
        }
        return pieces_ >= 2;
    }

    auto begin() -> void
    {
        writing_ = changes{hard_, std::exchange(entries_, {})};
        is_changed_ = false;
        if (disk_.during_sync && !disk_.fail_sync && !disk_.full)
        {
            disk_.during_sync();
        }
    }

    auto finish() -> result<void>
    {
        auto written = *std::exchange(writing_, std::nullopt);
        if (disk_.fail_sync)
        {
            return fail(error_kind::disk_failed, "sync");
        }
        if (disk_.full)
        {
            entries_.insert(entries_.begin(), written.entries.begin(),
                            written.entries.end());
            is_changed_ = true;
            return check_space(true);
        }
        ++disk_.syncs;
        store(written);
        return outcome::success();
    }

    auto store(changes const& it) -> void
    {
        disk_.stored.term_and_vote =
            it.term_and_vote.value_or(disk_.stored.term_and_vote);
        auto& stored = disk_.stored.entries;
        for (auto const& each : it.entries)
        {
            std::erase_if(stored, [&each](auto const& old)
                          { return old.index >= each.index; });
            stored.push_back(each);
        }
    }

    static auto check_space(bool is_full) -> result<void>
    {
        return is_full ? fail(error_kind::disk_full, "no space")
                       : result<void>{outcome::success()};
    }

    memory_disk& disk_;
    paused_clock* clock_;
    std::optional<timer_id> timer_; ///< of the sync in progress
    std::optional<timer_id> piece_timer_;
    std::optional<changes> writing_; ///< by the sync in progress
    bool is_changed_{false};         ///< since the start of the last sync
    std::optional<hard_state> hard_;
    std::optional<raft_snapshot> unfinished_;
    int pieces_{0};
    std::vector<log_entry> entries_;
};

static_assert(log_store_port<memory_log>);

} // namespace apricotlb

#endif
