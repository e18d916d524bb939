/// Log store port in memory that loses everything unsynced.
#ifndef APRICOTLB_TESTS_MEMORY_LOG_HPP
#define APRICOTLB_TESTS_MEMORY_LOG_HPP

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
    /// Called during each sync, e.g. to let it take time.
    std::function<void()> during_sync{};
};

class memory_log
{
public:
    explicit memory_log(memory_disk& disk) : disk_(disk) {}

    auto load() -> result<stored_log>
    {
        BOOST_OUTCOME_TRYV(check_space(disk_.full));
        return disk_.stored;
    }
    auto save(hard_state const& it) -> void { hard_ = it; }
    auto append_entries(std::vector<log_entry> const& it) -> void
    {
        entries_.insert(entries_.end(), it.begin(), it.end());
    }

    auto sync() -> result<void>
    {
        if (disk_.fail_sync)
        {
            return fail(error_kind::disk_failed, "sync");
        }
        BOOST_OUTCOME_TRYV(check_space(disk_.full));
        ++disk_.syncs;
        if (disk_.during_sync)
        {
            disk_.during_sync();
        }
        disk_.stored.term_and_vote = hard_.value_or(disk_.stored.term_and_vote);
        auto& stored = disk_.stored.entries;
        for (auto const& it : entries_)
        {
            std::erase_if(stored, [&it](auto const& old)
                          { return old.index >= it.index; });
            stored.push_back(it);
        }
        entries_.clear();
        return outcome::success();
    }

    /// Takes two pieces, so that a process can be lost in between.
    auto begin_snapshot(raft_snapshot const& it) -> result<void>
    {
        BOOST_OUTCOME_TRYV(sync());
        unfinished_ = it;
        pieces_ = 0;
        return outcome::success();
    }

    auto continue_snapshot() -> result<bool>
    {
        BOOST_OUTCOME_TRYV(check_space(disk_.full || disk_.full_for_snapshots));
        if (++pieces_ == 2 && unfinished_)
        {
            disk_.stored.snapshot = std::exchange(unfinished_, {});
        }
        return pieces_ >= 2;
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
    static auto check_space(bool is_full) -> result<void>
    {
        return is_full ? fail(error_kind::disk_full, "no space")
                       : result<void>{outcome::success()};
    }

    memory_disk& disk_;
    std::optional<hard_state> hard_;
    std::optional<raft_snapshot> unfinished_;
    int pieces_{0};
    std::vector<log_entry> entries_;
};

static_assert(log_store_port<memory_log>);

} // namespace apricotlb

#endif
