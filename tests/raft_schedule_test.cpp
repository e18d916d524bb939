/// Members of a group under seeded schedules of messages, syncs, compactions,
/// pauses, restarts and changes of membership.
#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// A few entries of this size exceed config::log_tail_bytes, so that a
/// compaction soon passes a member that lags.
constexpr std::size_t payload_bytes = 512 * config::kib;
constexpr std::size_t member_count = 4;

struct packet
{
    std::size_t from;
    std::size_t to;
    raft_message message;
};

/// What a sync in progress makes durable.
struct started_sync
{
    hard_state written_term;
    std::optional<std::vector<log_entry>> written; ///< if it has changed
    std::vector<packet> held;                      ///< sent when it ends
};

struct member
{
    node_id id;
    std::optional<raft> core;
    std::vector<packet> held; ///< sent after the next sync
    // What the disk holds; a restart builds the core from it.
    hard_state durable_term;
    hard_state written_term;
    std::optional<raft_snapshot> snapshot;
    log_position base;
    std::vector<log_entry> durable;
    std::vector<log_entry> written;
    std::optional<started_sync> syncing;
    log_index applied;
    bool has_unsynced{false};
    bool is_paused{false};
};

class schedule
{
public:
    explicit schedule(std::uint64_t seed) : random_(seed)
    {
        raft_members voters;
        for (std::size_t n = 0; n < member_count; ++n)
        {
            node_id id{std::string(1, static_cast<char>('a' + n))};
            voters.push_back({id, {}, member_role::voter});
        }
        for (auto const& each : voters)
        {
            member it;
            it.id = each.id;
            it.snapshot = raft_snapshot{{{}, voters}, "0"};
            members_.push_back(std::move(it));
        }
        for (auto& it : members_)
        {
            start(it);
        }
    }

    auto run(std::size_t steps) -> void
    {
        for (std::size_t n = 0; n < steps && !testing::Test::HasFailure(); ++n)
        {
            step();
        }
        settle();
    }

    [[nodiscard]] auto snapshots_sent() const -> std::size_t
    {
        return snapshots_;
    }

private:
    auto below(std::size_t n) -> std::size_t { return random_() % n; }
    auto any() -> member& { return members_[below(members_.size())]; }
    auto position(node_id const& id) -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::find(members_, id, &member::id) - members_.begin());
    }

    auto start(member& it) -> void
    {
        // A sync that a crash cuts off may have reached the disk.
        if (it.syncing && below(2) == 0)
        {
            it.durable =
                std::move(it.syncing->written).value_or(std::move(it.durable));
            it.durable_term = it.syncing->written_term;
        }
        it.syncing.reset();
        it.held.clear();
        it.has_unsynced = false;
        it.written = it.durable;
        it.written_term = it.durable_term;
        it.core = raft::builder{}
                      .self(it.id)
                      .term_and_vote(it.durable_term)
                      .snapshot(*it.snapshot)
                      .log(it.base, it.durable)
                      .started(now_, random_bits{random_()})
                      .build()
                      .value();
        it.applied = it.snapshot->info.last.index;
    }

    auto store(member& it, log_entry const& entry) -> void
    {
        std::erase_if(it.written, [&entry](log_entry const& each)
                      { return each.index >= entry.index; });
        it.written.push_back(entry);
        it.has_unsynced = true;
    }

    auto check(packet const& it) -> void
    {
        snapshots_ += std::holds_alternative<install_snapshot>(it.message);
        auto const* const append = std::get_if<append_entries>(&it.message);
        if (append == nullptr)
        {
            return;
        }
        EXPECT_EQ(append->prev.index == log_index{},
                  append->prev.in_term == term{})
            << "the term before the entries was read outside of the log";
        auto next = append->prev.index;
        for (auto const& entry : append->entries)
        {
            EXPECT_EQ(entry.index, ++next);
        }
    }

    /// An accepted answer promises an entry that a crash must not lose.
    auto check_promise(packet const& it) -> void
    {
        auto const* const answer =
            std::get_if<append_entries_answer>(&it.message);
        auto const& from = members_[it.from];
        if (answer == nullptr || !answer->accepted ||
            answer->match <= from.base.index)
        {
            return;
        }
        EXPECT_LE(answer->in_term, from.durable_term.current);
        EXPECT_NE(
            std::ranges::find(from.durable, answer->match, &log_entry::index),
            from.durable.end())
            << "entry " << answer->match.value()
            << " was promised before it was durable";
    }

    auto post(member& from, std::vector<addressed_message>& list,
              std::vector<packet>& to) -> void
    {
        for (auto& each : list)
        {
            packet it{position(from.id), position(each.to),
                      std::move(each.message)};
            check(it);
            if (&to == &links_)
            {
                check_promise(it);
            }
            to.push_back(std::move(it));
        }
    }

    auto perform(member& it, raft_actions actions) -> void
    {
        if (actions.term_and_vote)
        {
            it.written_term = *actions.term_and_vote;
        }
        for (auto const& entry : actions.entries_to_persist)
        {
            store(it, entry);
        }
        post(it, actions.messages, links_);
        post(it, actions.messages_after_sync, it.held);
        if (actions.install)
        {
            it.snapshot = std::move(actions.install);
            it.base = it.snapshot->info.last;
            it.applied = it.base.index;
            it.written.clear();
            it.has_unsynced = true;
            sync(it);
        }
        for (auto const& entry : actions.committed_entries)
        {
            if (entry.index <= it.applied)
            {
                continue;
            }
            EXPECT_EQ(entry.index, it.applied + log_index{1});
            it.applied = entry.index;
            auto const known = committed_.emplace(entry.index, entry.in_term);
            EXPECT_EQ(known.first->second, entry.in_term)
                << "a committed entry changed";
        }
    }

    auto start_sync(member& it) -> void
    {
        if (!it.syncing)
        {
            it.syncing =
                started_sync{it.written_term, {}, std::exchange(it.held, {})};
            if (std::exchange(it.has_unsynced, false))
            {
                it.syncing->written = it.written;
            }
            it.core->sync_started();
        }
    }

    auto end_sync(member& it) -> void
    {
        if (!it.syncing)
        {
            return;
        }
        auto done = *std::exchange(it.syncing, std::nullopt);
        it.durable = std::move(done.written).value_or(std::move(it.durable));
        it.durable_term = done.written_term;
        std::ranges::for_each(done.held, [this](packet const& each)
                              { check_promise(each); });
        std::ranges::move(done.held, std::back_inserter(links_));
        perform(it, it.core->persisted(now_));
    }

    /// A sync of all that was written so far.
    auto sync(member& it) -> void
    {
        end_sync(it);
        start_sync(it);
        end_sync(it);
    }

    auto flush(member& it) -> void
    {
        perform(it, it.core->flush(now_));
        start_sync(it);
    }

    auto deliver(std::size_t n) -> void
    {
        // What a member that stands still does not take waits for it.
        while (n < links_.size() && members_[links_[n].to].is_paused)
        {
            ++n;
        }
        if (n == links_.size())
        {
            return;
        }
        auto it = std::move(links_[n]);
        auto& to = members_[it.to];
        links_.erase(links_.begin() + static_cast<std::ptrdiff_t>(n));
        perform(to, to.core->receive(now_, members_[it.from].id,
                                     std::move(it.message)));
    }

    auto compact(member& it) -> void
    {
        if (it.applied <= it.snapshot->info.last.index)
        {
            return;
        }
        // No sync is in progress when a replica begins a snapshot.
        sync(it);
        raft_snapshot taken{it.core->describe_snapshot(it.applied),
                            std::to_string(it.applied.value())};
        EXPECT_GT(taken.info.last.in_term, term{});
        it.snapshot = taken;
        auto const keep = it.core->compact(std::move(taken));
        EXPECT_LE(keep, it.applied);
        it.base = it.core->log().base();
        for (auto* const list : {&it.written, &it.durable})
        {
            std::erase_if(*list, [&it](log_entry const& each)
                          { return each.index <= it.base.index; });
        }
    }

    auto advance(duration d) -> void
    {
        now_ += d;
        for (auto& it : members_)
        {
            if (!it.is_paused && now_ >= it.core->next_tick())
            {
                perform(it, it.core->tick(now_, random_bits{random_()}));
            }
        }
    }

    auto change(member& leader) -> void
    {
        auto const& id = any().id;
        auto const kind = below(3) == 0 ? member_change_kind::remove
                                        : member_change_kind::add_learner;
        (void)leader.core->change_member({kind, id, {}});
        flush(leader);
    }

    auto step() -> void
    {
        // Mostly in order, as on one connection.
        for (auto n = below(8); n > 0 && !links_.empty(); --n)
        {
            deliver(below(8) == 0 ? below(links_.size()) : 0);
        }
        auto& it = any();
        switch (below(16))
        {
        case 0:
        case 1:
            advance(milliseconds{10 + static_cast<std::int64_t>(below(50))});
            break;
        case 2:
            // Long enough to fall behind what a compaction keeps.
            if (below(8) == 0)
            {
                pause();
            }
            break;
        case 3:
            // A leader's compaction is the one that members may fall behind.
            for (auto& each : members_)
            {
                if (!each.is_paused &&
                    (&each == &it || each.core->role() == raft_role::leader))
                {
                    compact(each);
                }
            }
            break;
        case 4:
            lose_or_double();
            break;
        case 5:
            if (below(8) == 0)
            {
                start(it);
            }
            break;
        case 6:
            if (!it.is_paused)
            {
                start_sync(it);
            }
            break;
        case 7:
        case 8:
        case 9:
            if (!it.is_paused)
            {
                end_sync(it);
            }
            break;
        default:
            // Links that fill up would end each leadership.
            if (links_.size() < 24)
            {
                propose();
            }
            break;
        }
    }

    /// One member at most stands still, so that the others go on.
    auto pause() -> void
    {
        for (auto& it : members_)
        {
            it.is_paused = false;
        }
        if (below(2) == 0)
        {
            any().is_paused = true;
        }
    }

    auto lose_or_double() -> void
    {
        if (links_.empty())
        {
            return;
        }
        auto const n = below(links_.size());
        if (below(2) == 0)
        {
            links_.push_back(packet{links_[n]});
        }
        else
        {
            links_.erase(links_.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }

    auto propose() -> void
    {
        for (auto& it : members_)
        {
            if (it.is_paused || it.core->role() != raft_role::leader)
            {
                continue;
            }
            for (auto n = below(4); n > 0; --n)
            {
                (void)it.core->propose(std::string(payload_bytes, 'x'));
            }
            if (below(20) == 0)
            {
                change(it);
            }
            flush(it);
        }
    }

    /// Without faults, all members of the group reach the leader's last entry.
    auto settle() -> void
    {
        for (auto& it : members_)
        {
            it.is_paused = false;
        }
        for (auto n = 0; n < 100; ++n)
        {
            advance(milliseconds{50});
            // A member that catches up gets one message per round trip.
            for (auto trips = 0; trips < 8; ++trips)
            {
                for (auto left = links_.size(); left > 0; --left)
                {
                    deliver(0);
                }
                for (auto& it : members_)
                {
                    flush(it);
                    sync(it);
                }
            }
        }
        for (auto const& it : members_)
        {
            if (it.core->role() != raft_role::leader)
            {
                continue;
            }
            for (auto const& row : it.core->status().members)
            {
                EXPECT_EQ(row.lag, log_index{}) << row.member.id.value();
            }
        }
    }

    std::mt19937_64 random_;
    time_point now_{seconds{100}};
    std::vector<member> members_;
    std::vector<packet> links_;
    std::map<log_index, term> committed_;
    std::size_t snapshots_{0};
};

// A leader whose log is compacted past what a member needs next must not read
// below its base, in whatever order answers, syncs, compactions, restarts and
// changes of leader and membership come. It ended by signal 11 when it did.
TEST(raft_schedule, reads_no_entry_below_the_base)
{
    std::size_t snapshots{0};
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        schedule it{seed};
        it.run(1500);
        snapshots += it.snapshots_sent();
        if (HasFailure())
        {
            return;
        }
    }
    EXPECT_GT(snapshots, 0U) << "no member fell behind a compaction";
}

} // namespace
} // namespace apricotlb
