/// Measures the replicated log: three voters in one process, links in memory
/// with encoding, and real syncs in a temporary folder. All three share one
/// thread and one disk, so that their syncs follow each other; on three VMs
/// they overlap.
#include "adapters/disk_log.hpp"
#include "adapters/glib_clock.hpp"
#include "adapters/msgpack_codec.hpp"
#include "adapters/posix_files.hpp"
#include "app/replica.hpp"

#include <glib.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

constexpr std::size_t change_bytes = 200;
constexpr std::size_t key_bytes = 8;
/// Few keys, so that the table costs little beside the log; the restart uses
/// more, so that there is a snapshot to load.
constexpr std::size_t few_keys = 1'000;
constexpr std::size_t many_keys = 50'000;

/// Delivers encoded messages on the next turn of the loop.
class memory_links
{
public:
    explicit memory_links(glib_clock& clock) : clock_(clock) {}

    auto send(node_id const& from, node_id const& to, raft_message const& it)
        -> void
    {
        queue_.push_back({from, to, msgpack_codec::encode(it)});
        if (!scheduled_)
        {
            scheduled_ = true;
            clock_.start_timer(duration{0}, [this] { deliver(); });
        }
    }

    std::map<node_id, std::function<void(node_id const&, raft_message)>>
        handlers;

private:
    struct sent
    {
        node_id from;
        node_id to;
        encoded bytes;
    };

    auto deliver() -> void
    {
        scheduled_ = false;
        for (auto const& it : std::exchange(queue_, {}))
        {
            auto const handler = handlers.find(it.to);
            if (handler != handlers.end())
            {
                handler->second(
                    it.from,
                    msgpack_codec::decode<raft_message>(it.bytes).value());
            }
        }
    }

    glib_clock& clock_;
    std::vector<sent> queue_;
    bool scheduled_{false};
};

struct memory_transport
{
    memory_links& links;
    node_id self;

    auto send(node_id const& to, raft_message const& it) -> void
    {
        links.send(self, to, it);
    }
    auto flush() -> void {}
    auto on_message(std::function<void(node_id const&, raft_message)> f) -> void
    {
        links.handlers[self] = std::move(f);
    }
};

/// A table of keys; a command is a key and its value.
struct table_machine
{
    std::unordered_map<std::string, std::string> values;

    auto apply(term, log_index, std::string_view command) -> void
    {
        values[std::string{command.substr(0, key_bytes)}] =
            command.substr(key_bytes);
    }
    [[nodiscard]] auto snapshot() const -> encoded
    {
        encoded out;
        for (auto const& [key, value] : values)
        {
            out += key;
            out += value;
        }
        return out;
    }
    auto restore(encoded const& state) -> result<void>
    {
        for (std::size_t at = 0; at < state.size(); at += change_bytes)
        {
            apply({}, {}, std::string_view{state}.substr(at, change_bytes));
        }
        return outcome::success();
    }
};

auto command(std::uint64_t n, std::size_t keys = few_keys) -> std::string
{
    auto out = std::to_string(n % keys);
    out.insert(0, key_bytes - out.size(), '0');
    out.resize(change_bytes, 'v');
    return out;
}

auto seconds_of(duration it) -> double
{
    return std::chrono::duration<double>(it).count();
}

class group
{
public:
    using replica_type = replica<glib_clock, memory_transport,
                                 disk_log<posix_files>, table_machine>;

    struct node
    {
        node_id id;
        memory_transport transport;
        std::unique_ptr<disk_log<posix_files>> store;
        std::unique_ptr<table_machine> machine;
        std::unique_ptr<replica_type> it;
    };

    group(std::string folder, std::size_t snapshot_entries,
          std::size_t keys = few_keys)
        : folder_(std::move(folder)), snapshot_entries_(snapshot_entries),
          keys_(keys)
    {
        for (auto const* id : {"a", "b", "c"})
        {
            members_.push_back({node_id{id}, {}, member_role::voter});
        }
        for (auto const& it : members_)
        {
            nodes.push_back({it.id, {links, it.id}, {}, {}, {}});
        }
        for (auto& it : nodes)
        {
            start(it);
        }
    }

    auto start(node& n) -> void
    {
        n.store = std::make_unique<disk_log<posix_files>>(
            files, disk_log_options{file_path{folder_ + "/" + n.id.value()},
                                    config::max_disk,
                                    byte_count{config::segment_bytes}});
        n.machine = std::make_unique<table_machine>();
        auto const options =
            replica_options::builder{}
                .self(n.id)
                .bootstrap(members_)
                .seed(random_bits{std::hash<node_id>{}(n.id)})
                .snapshot_after(snapshot_entries_, byte_count{1 << 30})
                .build()
                .value();
        n.it = std::make_unique<replica_type>(clock, n.transport, *n.store,
                                              *n.machine, options);
        if (auto const done = n.it->start(); !done)
        {
            std::fprintf(stderr, "start: %s\n", done.error().detail.c_str());
            std::exit(1);
        }
    }

    static auto stop(node& n) -> void
    {
        n.it.reset();
        n.store.reset();
        n.machine.reset();
    }

    /// Runs the loop until the condition holds or a minute has passed.
    auto run_until(std::function<bool()> const& condition) -> void
    {
        auto const end = clock.now() + seconds{60};
        while (!condition())
        {
            if (clock.now() > end)
            {
                std::fprintf(stderr, "no progress within 60 s\n");
                std::exit(1);
            }
            g_main_context_iteration(nullptr, TRUE);
        }
    }

    auto leader() -> node&
    {
        auto const leads = [](node const& n)
        { return n.it && n.it->is_leader(); };
        run_until([&] { return std::ranges::any_of(nodes, leads); });
        return *std::ranges::find_if(nodes, leads);
    }

    auto follower() -> node&
    {
        auto const& leading = leader();
        return *std::ranges::find_if(nodes, [&](node const& n)
                                     { return n.id != leading.id; });
    }

    /// Keeps the given number of changes outstanding while the condition
    /// holds; returns the number committed.
    auto commit_while(std::size_t outstanding,
                      std::function<bool()> const& condition) -> std::size_t
    {
        std::size_t committed{0};
        std::size_t open{0};
        auto& to = *leader().it;
        auto more = true;
        std::function<void()> const propose = [&]
        {
            ++open;
            to.propose(command(next_++, keys_),
                       [&](result<log_index> const& it)
                       {
                           --open;
                           committed += it ? 1 : 0;
                           if (more && it)
                           {
                               propose();
                           }
                       });
        };
        for (std::size_t n = 0; n < outstanding; ++n)
        {
            propose();
        }
        run_until([&] { return !(more = condition()); });
        auto const counted = committed;
        run_until([&] { return open == 0; });
        return counted;
    }

    auto commit(std::size_t count) -> void
    {
        auto const end = next_ + count;
        commit_while(256, [&] { return next_ < end; });
    }

    /// Commits per second over the given time.
    auto rate(std::size_t outstanding, duration d) -> double
    {
        auto const begin = clock.now();
        auto const n =
            commit_while(outstanding, [&] { return clock.now() < begin + d; });
        return static_cast<double>(n) / seconds_of(clock.now() - begin);
    }

    glib_clock clock;
    memory_links links{clock};
    posix_files files;
    std::vector<node> nodes;

private:
    std::string folder_;
    std::size_t snapshot_entries_;
    std::size_t keys_;
    raft_members members_;
    std::uint64_t next_{0};
};

auto median(std::vector<duration> it) -> duration
{
    std::ranges::sort(it);
    return it[it.size() / 2];
}

class table
{
public:
    table()
    {
        std::printf("%-52s %14s %14s  %s\n", "measure", "measured", "bound",
                    "verdict");
    }
    auto info(char const* name, double value, char const* unit) -> void
    {
        std::printf("%-52s %10.1f %-3s\n", name, value, unit);
    }
    auto at_least(char const* name, double value, double bound,
                  char const* unit) -> void
    {
        row(name, value, ">=", bound, unit, value >= bound);
    }
    auto at_most(char const* name, double value, double bound, char const* unit)
        -> void
    {
        row(name, value, "<=", bound, unit, value <= bound);
    }
    [[nodiscard]] auto all_met() const -> bool { return all_met_; }

private:
    auto row(char const* name, double value, char const* sign, double bound,
             char const* unit, bool met) -> void
    {
        std::printf("%-52s %10.2f %-3s %2s %7.2f %-3s  %s\n", name, value, unit,
                    sign, bound, unit, met ? "met" : "MISSED");
        std::fflush(stdout);
        all_met_ = all_met_ && met;
    }
    bool all_met_{true};
};

/// Appends and syncs one change at a time, without replication.
auto bare_syncs(glib_clock& clock, std::string const& folder)
    -> std::vector<duration>
{
    posix_files files;
    disk_log<posix_files> log{files, {file_path{folder + "/bare"}}};
    std::vector<duration> out;
    if (!log.load())
    {
        std::exit(1);
    }
    for (std::uint64_t n = 1; n <= 1000; ++n)
    {
        auto const begin = clock.now();
        log.append_entries(
            {{term{1}, log_index{n}, entry_kind::proposal, command(n), {}}});
        if (!log.sync())
        {
            std::exit(1);
        }
        out.push_back(clock.now() - begin);
    }
    return out;
}

auto measure_commits(table& out, std::string const& folder) -> void
{
    group it{folder + "/commits", 1'000'000};
    it.leader();
    auto const bare = bare_syncs(it.clock, folder);
    duration total{};
    for (auto const each : bare)
    {
        total += each;
    }
    auto const single = static_cast<double>(bare.size()) / seconds_of(total);
    auto const serial = it.rate(1, seconds{2});
    auto const many = it.rate(256, seconds{3});
    out.info("one sync per change, one replica without links", single, "/s");
    out.info("one sync per change, three voters", serial, "/s");
    out.info("256 outstanding, three voters", many, "/s");
    out.at_least("256 outstanding vs. one sync per change, three voters",
                 many / serial, 20, "x");
    out.at_least("256 outstanding vs. one sync per change, no links",
                 many / single, 20, "x");

    std::vector<duration> one;
    for (auto n = 0; n < 1000; ++n)
    {
        auto const begin = it.clock.now();
        auto done = false;
        it.leader().it->propose(command(0), [&](result<log_index> const& answer)
                                { done = answer.has_value(); });
        it.run_until([&] { return done; });
        one.push_back(it.clock.now() - begin);
    }
    auto const base = 1000 * seconds_of(median(bare));
    auto const commit = 1000 * seconds_of(median(one));
    out.info("median append and sync, 200 bytes", 1000 * base, "us");
    out.info("median commit, one outstanding", 1000 * commit, "us");
    out.at_most("median commit vs. append and sync", commit / base, 4, "x");
}

auto measure_restart(table& out, std::string const& folder) -> void
{
    group it{folder + "/restart", 100'000, many_keys};
    it.commit(199'000);
    auto& late = it.follower();
    auto const goal = it.leader().it->status().applied;
    it.run_until([&] { return late.it->status().applied >= goal; });
    auto const status = late.it->status();
    it.stop(late);
    auto const begin = it.clock.now();
    it.start(late);
    auto const loaded = it.clock.now() - begin;
    it.run_until([&] { return late.it->status().applied >= goal; });
    out.info("entries behind the snapshot at the restart",
             static_cast<double>((status.applied - status.snapshot).value()),
             "");
    out.info("of the restart, until the store is loaded", seconds_of(loaded),
             "s");
    out.at_most("restart after 100,000 changes plus snapshot",
                seconds_of(it.clock.now() - begin), 2, "s");
}

auto measure_catch_up(table& out, std::string const& folder, std::size_t behind,
                      char const* name) -> void
{
    group it{folder + "/" + std::to_string(behind), 1'000'000};
    it.commit(10'000);
    auto const before = it.rate(256, seconds{2});
    auto& late = it.follower();
    it.stop(late);
    it.commit(behind);
    it.start(late);
    auto const begin = it.clock.now();
    std::optional<time_point> end;
    // Caught up: within what is in flight at this rate.
    auto const is_behind = [&]
    {
        auto const goal = it.leader().it->status().applied;
        if (!end && late.it->status().applied + log_index{1024} >= goal)
        {
            end = it.clock.now();
        }
        return !end || it.clock.now() < begin + milliseconds{500};
    };
    auto const n = it.commit_while(256, is_behind);
    auto const elapsed = seconds_of(it.clock.now() - begin);
    std::printf("%s\n", name);
    out.info("  time until caught up", 1000 * seconds_of(*end - begin), "ms");
    out.info("  commits before", before, "/s");
    out.info("  commits meanwhile", static_cast<double>(n) / elapsed, "/s");
    out.at_least("  commits meanwhile vs. before",
                 static_cast<double>(n) / elapsed / before, 0.5, "x");
}

auto run() -> int
{
    auto name =
        (std::filesystem::temp_directory_path() / "apricotlb_XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        std::perror("mkdtemp");
        return 1;
    }
    table out;
    measure_commits(out, name);
    measure_restart(out, name);
    measure_catch_up(out, name, 1'000, "member 1,000 changes behind");
    measure_catch_up(out, name, 100'000, "member 100,000 changes behind");
    std::filesystem::remove_all(name);
    return out.all_met() ? 0 : 1;
}

} // namespace
} // namespace apricotlb

auto main() -> int
{
    return apricotlb::run();
}
