/// Replicas on one paused clock, with seeded faults of links and processes.
#ifndef APRICOTLB_TESTS_REPLICA_GROUP_HPP
#define APRICOTLB_TESTS_REPLICA_GROUP_HPP

#include "app/replica.hpp"
#include "memory_log.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Links that lose, double, delay and hence reorder messages. The links of a
/// member with packet loss keep the order and stall as TCP connections do.
struct test_links
{
    static constexpr duration min_retransmission = milliseconds{200};
    static constexpr duration max_stall = seconds{60};

    paused_clock& clock;
    std::mt19937_64 random;
    permille loss;
    permille duplicates;
    duration max_delay{milliseconds{5}};
    std::set<std::pair<node_id, node_id>> cuts; ///< from, to
    std::map<node_id, std::function<void(node_id const&, raft_message)>>
        handlers;
    std::map<node_id, permille> packet_loss{}; ///< of all links of a member
    std::map<std::pair<node_id, node_id>, time_point> last_arrival{};

    auto below(std::uint64_t n) -> std::uint64_t { return random() % n; }
    auto happens(permille it) -> bool
    {
        return static_cast<std::int32_t>(below(1000)) < it.value();
    }

    auto send(node_id const& from, node_id const& to, raft_message const& it)
        -> void
    {
        if (packet_loss.contains(from) || packet_loss.contains(to))
        {
            send_over_lossy_link(from, to, it);
            return;
        }
        auto const copies = happens(loss) ? 0 : happens(duplicates) ? 2 : 1;
        for (auto n = 0; n < copies && !cuts.contains({from, to}); ++n)
        {
            auto const delay =
                duration{1000} +
                duration{static_cast<std::int64_t>(
                    below(static_cast<std::uint64_t>(max_delay.count())))};
            deliver(from, to, it, delay);
        }
    }

private:
    auto deliver(node_id const& from, node_id const& to, raft_message const& it,
                 duration delay) -> void
    {
        clock.start_timer(delay,
                          [this, from, to, it]
                          {
                              if (!cuts.contains({from, to}) && handlers[to])
                              {
                                  handlers[to](from, it);
                              }
                          });
    }

    auto send_over_lossy_link(node_id const& from, node_id const& to,
                              raft_message const& it) -> void
    {
        auto const share = std::max(packet_loss[from], packet_loss[to]);
        auto delay = max_delay;
        for (auto wait = min_retransmission;
             happens(share) && delay < max_stall; wait *= 2)
        {
            delay += wait;
        }
        auto& last = last_arrival[{from, to}];
        last = std::max(last, clock.now() + delay);
        deliver(from, to, it, last - clock.now());
    }
};

struct test_transport
{
    test_links& links;
    node_id self;

    std::size_t unsent{0}; ///< messages since the last flush

    auto send(node_id const& to, raft_message const& it) -> void
    {
        ++unsent;
        links.send(self, to, it);
    }
    auto flush() -> void { unsent = 0; }
    auto on_message(std::function<void(node_id const&, raft_message)> f) -> void
    {
        links.handlers[self] = std::move(f);
    }
};

/// Keeps every applied command; the record shared by the group shows a
/// command that differs between replicas.
struct list_machine
{
    std::map<log_index, std::string>& record;
    std::map<log_index, std::string> applied;
    paused_clock* clock;
    duration apply_time; ///< of one command

    auto apply(term, log_index index, std::string_view payload) -> void
    {
        clock->block(apply_time);
        auto const first = record.emplace(index, payload).first;
        EXPECT_EQ(first->second, payload) << "a committed entry changed";
        applied[index] = payload;
    }
    [[nodiscard]] auto snapshot() const -> encoded
    {
        encoded out;
        for (auto const& [index, it] : applied)
        {
            out += std::to_string(index.value()) + " " + it + "\n";
        }
        return out;
    }
    auto restore(encoded const& state) -> result<void>
    {
        applied.clear();
        for (std::size_t at = 0; at < state.size();)
        {
            auto const end = state.find('\n', at);
            auto const space = state.find(' ', at);
            auto const index =
                log_index{std::stoull(state.substr(at, space - at))};
            apply({}, index, state.substr(space + 1, end - space - 1));
            at = end + 1;
        }
        return outcome::success();
    }
};

class replica_group
{
public:
    using replica_type =
        replica<paused_clock, test_transport, memory_log, list_machine>;

    struct node
    {
        node_id id;
        raft_members bootstrap;
        memory_disk disk{};
        std::unique_ptr<test_transport> transport{};
        std::unique_ptr<memory_log> store{};
        std::unique_ptr<list_machine> machine{};
        std::unique_ptr<replica_type> it{};
        std::vector<bool> leadership{};
        std::optional<error> failure{};
    };

    replica_group(std::size_t voters, std::uint64_t seed,
                  std::size_t least_copies = 1,
                  std::size_t most_voters = config::max_members)
        : copies{least_copies}, max_voters{most_voters},
          links{clock, std::mt19937_64{seed}, {}, {}, milliseconds{5}, {}, {}}
    {
        raft_members members;
        for (std::size_t n = 0; n < voters; ++n)
        {
            members.push_back({node_id{"n" + std::to_string(n)}, {}, {}});
        }
        for (auto const& it : members)
        {
            nodes.push_back(std::make_unique<node>(node{it.id, members}));
            start(nodes.size() - 1);
        }
    }

    /// A VM without a log, under a new id.
    auto add_empty(node_id id) -> std::size_t
    {
        nodes.push_back(std::make_unique<node>(node{std::move(id), {}}));
        start(nodes.size() - 1);
        return nodes.size() - 1;
    }

    auto start(std::size_t n) -> void
    {
        auto& it = *nodes[n];
        it.transport =
            std::make_unique<test_transport>(test_transport{links, it.id});
        it.store = std::make_unique<memory_log>(it.disk, &clock);
        it.machine = std::make_unique<list_machine>(
            list_machine{record, {}, &clock, apply_time});
        auto options =
            replica_options::builder{}
                .self(it.id)
                .bootstrap(it.bootstrap)
                .seed(random_bits{links.random()})
                .copies(copies)
                .max_voters(max_voters)
                .snapshot_after(snapshot_entries, byte_count{1 << 20})
                .build();
        it.it = std::make_unique<replica_type>(clock, *it.transport, *it.store,
                                               *it.machine, options.value());
        it.it->on_leadership([&it](bool leads, term)
                             { it.leadership.push_back(leads); });
        it.it->on_failure([&it](error const& e) { it.failure = e; });
        ASSERT_TRUE(it.it->start());
    }

    /// Stops a process at once; unsynced data is lost.
    auto crash(std::size_t n) -> void
    {
        nodes[n]->it.reset();
        nodes[n]->store.reset();
    }

    /// How long each member takes to apply one command.
    auto set_apply_time(duration it) -> void
    {
        apply_time = it;
        for (auto const& each : nodes)
        {
            each->machine->apply_time = it;
        }
    }

    /// How long each member takes to make its writes durable.
    auto set_sync_time(duration it) -> void
    {
        for (auto const& each : nodes)
        {
            each->disk.sync_time = it;
        }
    }

    [[nodiscard]] auto is_up(std::size_t n) const -> bool
    {
        return nodes[n]->it != nullptr;
    }

    auto cut(std::size_t from, std::size_t to) -> void
    {
        links.cuts.insert({nodes[from]->id, nodes[to]->id});
    }
    /// Cuts all links of one member, in both directions.
    auto isolate(std::size_t n) -> void
    {
        for (std::size_t each = 0; each < nodes.size(); ++each)
        {
            cut(n, each);
            cut(each, n);
        }
    }

    /// Runs in steps of 1 ms and checks that leases never overlap.
    auto run(duration d) -> void
    {
        for (auto const end = clock.now() + d; clock.now() < end;)
        {
            clock.advance(milliseconds{1});
            auto const leaders = std::ranges::count_if(
                nodes,
                [](auto const& it) { return it->it && it->it->is_leader(); });
            EXPECT_LE(leaders, 1) << "two leaders with valid leases";
        }
    }

    [[nodiscard]] auto leader() const -> std::optional<std::size_t>
    {
        for (std::size_t n = 0; n < nodes.size(); ++n)
        {
            if (nodes[n]->it && nodes[n]->it->is_leader())
            {
                return n;
            }
        }
        return std::nullopt;
    }

    auto elect() -> std::size_t
    {
        for (auto n = 0; n < 100 && !leader(); ++n)
        {
            run(milliseconds{100});
        }
        EXPECT_TRUE(leader()) << "no leader within 10 s";
        return leader().value_or(0);
    }

    /// Proposes one command; an acknowledged one must never be lost.
    auto propose(std::size_t n) -> void
    {
        auto const payload = "c" + std::to_string(++proposed);
        nodes[n]->it->propose(payload,
                              [this, payload](result<log_index> it)
                              {
                                  if (it)
                                  {
                                      acknowledged[it.value()] = payload;
                                  }
                                  else
                                  {
                                      ++refused[it.error().kind];
                                  }
                              });
    }

    /// Proposes on the leader, if any, one command per 2 ms, and waits for the
    /// answers.
    auto load(std::size_t count) -> void
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            if (auto const it = leader())
            {
                propose(*it);
            }
            run(milliseconds{2});
        }
        run(milliseconds{100});
    }

    /// Heals everything and checks that all replicas have the same state with
    /// every acknowledged command.
    auto settle() -> void
    {
        links.cuts.clear();
        links.loss = links.duplicates = permille{0};
        for (std::size_t n = 0; n < nodes.size(); ++n)
        {
            if (!is_up(n))
            {
                start(n);
            }
        }
        auto const n = elect();
        propose(n);
        run(seconds{3});
        auto const& state = nodes[elect()]->machine->applied;
        for (auto const& [index, payload] : acknowledged)
        {
            auto const found = state.find(index);
            ASSERT_TRUE(found != state.end() && found->second == payload)
                << "entry " << index.value() << " was acknowledged and lost";
        }
        for (auto const& it : nodes)
        {
            EXPECT_EQ(it->machine->applied, state) << it->id.value();
        }
    }

    std::size_t copies; ///< of an entry before it counts
    std::size_t max_voters;
    paused_clock clock;
    test_links links;
    std::vector<std::unique_ptr<node>> nodes;
    std::size_t snapshot_entries{1'000'000};
    duration apply_time{}; ///< of one command by members that start later
    std::size_t proposed{0};
    std::map<log_index, std::string> record;
    std::map<log_index, std::string> acknowledged;
    std::map<error_kind, std::size_t> refused;
};

} // namespace apricotlb

#endif
