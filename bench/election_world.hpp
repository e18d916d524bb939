/// Members of a group on a clock of their own, with links that stall as TCP
/// connections do when the network loses packets.
#ifndef APRICOTLB_BENCH_ELECTION_WORLD_HPP
#define APRICOTLB_BENCH_ELECTION_WORLD_HPP

#include "core/log/raft.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// What callers of a group see while it plays.
struct election_report
{
    duration without_lease{}; ///< time in which no member held the lease
    duration longest_without_lease{};
    duration longest_without_commit{};
    int offices{0};
};

class election_world
{
public:
    static constexpr duration sync_time = milliseconds{9};
    static constexpr duration min_retransmission = milliseconds{200};
    static constexpr duration max_retransmission = seconds{120};
    static constexpr duration step = milliseconds{1};
    static constexpr duration proposal_interval = milliseconds{50};

    election_world(std::size_t voters, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t n = 0; n < voters; ++n)
        {
            ids_.emplace_back(std::string(1, static_cast<char>('a' + n)));
        }
    }

    /// Starts a member with the log that it had; all are down at first.
    auto start(std::size_t n) -> void
    {
        raft_members members;
        for (auto const& id : ids_)
        {
            members.push_back({id, {}, member_role::voter});
        }
        auto& it = members_[n];
        it.core = raft::builder{}
                      .self(ids_[n])
                      .copies(3)
                      .term_and_vote(it.durable)
                      .snapshot({{{}, std::move(members)}, ""})
                      .log({}, it.log)
                      .started(now_, random_bits{random_()})
                      .build()
                      .value();
    }
    auto crash(std::size_t n) -> void
    {
        members_[n].core.reset();
        ++members_[n].life;
    }
    /// The links of a member lose this share of the packets, each way.
    auto set_loss(std::size_t n, double share) -> void { loss_[n] = share; }
    auto cut(std::size_t from, std::size_t to) -> void
    {
        cuts_.insert({from, to});
    }

    /// Plays for d and returns what callers saw meanwhile.
    auto play(duration d) -> election_report
    {
        election_report out;
        duration without_lease{};
        auto last_commit = now_;
        for (auto const end = now_ + d; now_ < end;)
        {
            now_ += step;
            deliver_due();
            advance();
            auto const holder = lease_holder();
            without_lease = holder ? duration{} : without_lease + step;
            out.without_lease += holder ? duration{} : step;
            out.longest_without_lease =
                std::max(out.longest_without_lease, without_lease);
            if (std::exchange(has_committed_, false))
            {
                last_commit = now_;
            }
            out.longest_without_commit =
                std::max(out.longest_without_commit, now_ - last_commit);
        }
        out.offices = std::exchange(offices_, 0);
        return out;
    }

    [[nodiscard]] auto lease_holder() const -> std::optional<std::size_t>
    {
        for (auto const& [n, it] : members_)
        {
            if (it.core && it.core->has_lease(now_))
            {
                return n;
            }
        }
        return std::nullopt;
    }

private:
    struct member
    {
        std::optional<raft> core;
        int life{0};
        hard_state written;
        hard_state durable;
        std::vector<log_entry> log; ///< as written
        std::vector<addressed_message> held;
        bool is_syncing{false};
        bool needs_sync{false};
        bool was_leader{false};
    };

    auto after(duration d, std::function<void()> run) -> void
    {
        events_.emplace(std::pair{now_ + d, ++last_event_}, std::move(run));
    }

    auto deliver_due() -> void
    {
        while (!events_.empty() && events_.begin()->first.first <= now_)
        {
            auto const it = events_.extract(events_.begin());
            it.mapped()();
        }
    }

    auto advance() -> void
    {
        auto const proposes = now_ >= next_proposal_;
        next_proposal_ = proposes ? now_ + proposal_interval : next_proposal_;
        for (auto& [n, it] : members_)
        {
            if (it.core && now_ >= it.core->next_tick())
            {
                perform(n, it.core->tick(now_, random_bits{random_()}));
            }
            if (proposes && it.core && it.core->has_lease(now_))
            {
                (void)it.core->propose("x");
                perform(n, it.core->flush(now_));
            }
        }
    }

    /// A packet is lost with the larger share of its two ends. The stall of a
    /// connection ends with the retransmission that arrives; what was sent
    /// later waits for it.
    auto send(std::size_t from, addressed_message const& it) -> void
    {
        auto const to = static_cast<std::size_t>(
            std::ranges::find(ids_, it.to) - ids_.begin());
        auto const share = std::max(loss_[from], loss_[to]);
        std::uniform_real_distribution<double> chance;
        duration delay = milliseconds{4};
        auto wait = min_retransmission;
        while (chance(random_) < share && delay < max_retransmission)
        {
            delay += wait;
            wait *= 2;
        }
        auto& last = last_arrival_[{from, to}];
        last = std::max(last, now_ + delay);
        after(last - now_,
              [this, from, to, message = it.message]
              {
                  auto& at = members_[to];
                  if (at.core && !cuts_.contains({from, to}))
                  {
                      perform(to, at.core->receive(now_, ids_[from], message));
                  }
              });
    }

    auto perform(std::size_t n, raft_actions actions) -> void
    {
        auto& it = members_[n];
        if (actions.term_and_vote)
        {
            it.written = *actions.term_and_vote;
            it.needs_sync = true;
        }
        for (auto const& entry : actions.entries_to_persist)
        {
            std::erase_if(it.log, [&entry](log_entry const& each)
                          { return each.index >= entry.index; });
            it.log.push_back(entry);
            it.needs_sync = true;
        }
        for (auto const& each : actions.messages)
        {
            send(n, each);
        }
        std::ranges::move(actions.messages_after_sync,
                          std::back_inserter(it.held));
        has_committed_ |= !actions.committed_entries.empty();
        auto const leads = it.core->role() == raft_role::leader;
        offices_ += leads && !it.was_leader ? 1 : 0;
        it.was_leader = leads;
        sync(n);
    }

    auto sync(std::size_t n) -> void
    {
        auto& it = members_[n];
        if (it.is_syncing || (!it.needs_sync && it.held.empty()))
        {
            return;
        }
        it.is_syncing = true;
        it.needs_sync = false;
        it.core->sync_started();
        after(sync_time,
              [this, n, life = it.life, held = std::exchange(it.held, {}),
               written = it.written]
              {
                  auto& at = members_[n];
                  at.is_syncing = false;
                  if (at.life != life || !at.core)
                  {
                      return;
                  }
                  at.durable = written;
                  for (auto const& each : held)
                  {
                      send(n, each);
                  }
                  perform(n, at.core->persisted(now_));
                  sync(n);
              });
    }

    std::mt19937_64 random_;
    time_point now_{seconds{100}};
    std::vector<node_id> ids_;
    std::map<std::size_t, member> members_;
    std::map<std::size_t, double> loss_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<std::pair<std::size_t, std::size_t>, time_point> last_arrival_;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events_;
    std::uint64_t last_event_{0};
    time_point next_proposal_{};
    bool has_committed_{false};
    int offices_{0};
};

} // namespace apricotlb

#endif
