/// Measures the request path over loopback: `backend` answers, `entry`
/// carries, `client` sends and prints. scripts/bench-path starts them.
#include "adapters/glib_clock.hpp"
#include "adapters/sha256.hpp"
#include "adapters/soup_client.hpp"
#include "adapters/soup_server.hpp"
#include "app/entry_role.hpp"
#include "path_sender.hpp"
#include "path_server.hpp"

#include <glib.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace apricotlb;

namespace
{

struct no_metrics
{
    auto count(std::string_view /*n*/, std::string_view /*l*/) -> void {}
    auto record(std::string_view /*n*/, std::string_view /*l*/, duration /*d*/)
        -> void
    {
    }
};

/// Grants every key; the log's own cost is measured elsewhere.
struct no_log
{
    auto submit(command const& /*it*/,
                std::function<void(result<apply_result>)> const& done) -> void
    {
        apply_result it;
        it.key = key_status{true, {}};
        done(it);
    }
};

auto run_loop() -> void
{
    g_main_loop_run(g_main_loop_new(nullptr, FALSE));
}

/// Grants one customer all slots of backend servers on consecutive ports.
auto answer_to(entry_heartbeat const& beat, revision from, int base,
               int backends) -> entry_heartbeat_answer
{
    entry_heartbeat_answer it;
    it.number = beat.number;
    it.leader_term = term{1};
    it.session = incarnation{1};
    it.contracts_from = from;
    it.contracts_to = revision{1};
    it.backends_to = revision{1};
    it.backends_complete = true;
    contract_change change;
    change.at = revision{1};
    change.value.customer = customer_id{"c"};
    change.value.vm_share = permille{1000};
    change.value.urgent_latency = milliseconds{200};
    change.value.tokens = {hash_token("t")};
    it.contracts = {change};
    for (auto n = 0; n < backends; ++n)
    {
        backend_info info;
        info.id = backend_id{"b" + std::to_string(n)};
        info.customer = customer_id{"c"};
        info.service = service_name{"s"};
        info.address = url{"http://127.0.0.1:" + std::to_string(base + n)};
        info.zone = zone_id{"z"};
        info.slots = slot_count{8};
        info.connections = connection_count{64};
        it.backends.push_back({info, false});
        it.shares.push_back({info.id, info.slots, info.connections});
    }
    return it;
}

/// Backends listen on consecutive ports from base.
auto run_entry(std::string const& at, int base, int backends) -> int
{
    glib_clock clock;
    soup_server source;
    soup_client upstream;
    no_log log;
    no_metrics metrics;
    auto view = entry_view::builder{}
                    .node(node_id{"e"})
                    .run(incarnation{1})
                    .zone(zone_id{"z"})
                    .build();
    entry_role<glib_clock, soup_server, soup_client, no_log, token_hasher,
               no_metrics>
        entry{clock, source, upstream, log, metrics, view, entry_options{}};
    std::function<void()> const renew = [&]
    {
        auto const beat = view.make_heartbeat(clock.now(), {}, {}, {}, false);
        auto const it =
            answer_to(beat, view.contracts_revision(), base, backends);
        view.take(it);
        entry.view_changed();
        clock.start_timer(config::heartbeat_interval, [&renew] { renew(); });
    };
    renew();
    if (source.listen(at).has_error())
    {
        return 1;
    }
    run_loop();
    return 0;
}

auto report(char const* what, double value, char const* sign, double target)
    -> void
{
    auto const met = sign[0] == '>' ? value >= target : value <= target;
    std::printf("%-52s %12.3f %s %10.3f  %s\n", what, value, sign, target,
                met ? "met" : "NOT MET");
}

/// Processor seconds and resident bytes of another process of this run.
auto usage(std::string const& pid) -> std::pair<double, double>
{
    std::ifstream stat{"/proc/" + pid + "/stat"};
    std::string word;
    std::vector<std::string> words;
    while (stat >> word)
    {
        words.push_back(word);
    }
    if (words.size() < 24)
    {
        return {};
    }
    auto const ticks = std::stod(words[13]) + std::stod(words[14]);
    return {ticks / 100.0, std::stod(words[23]) * 4096.0};
}

/// The processes that a part of the benchmark speaks to.
struct targets
{
    std::string direct; ///< a healthy backend server
    std::string entry;
    std::string pid; ///< of the entry
};

auto on(std::string const& to, std::string const& path,
        std::string const& token = "t") -> sender
{
    return sender{to, path, token};
}

auto add(tally& to, tally const& it) -> void
{
    to.ok += it.ok;
    to.refused += it.refused;
    to.failed += it.failed;
    to.bytes += it.bytes;
    to.seconds += it.seconds;
}

struct rate_tallies
{
    tally direct;
    tally entry;
    tally refused;
    tally big_direct;
    tally big_entry;
    double cpu{0}; ///< seconds of the entry, for its 1 KB requests
};

auto measure_rates(targets const& to) -> rate_tallies
{
    // Alternating rounds, so that other load on the machine hits both.
    rate_tallies out;
    auto& [d, e, r, big_d, big_e, cpu] = out;
    for (auto n = 0; n < 3; ++n)
    {
        add(d, on(to.direct, "/a?size=1024").closed(8, seconds{1}));
        auto const before = usage(to.pid).first;
        add(e, on(to.entry, "/s/s/a?size=1024").closed(8, seconds{1}));
        cpu += usage(to.pid).first - before;
        add(r, on(to.entry, "/s/s/a?size=1024", "bad").closed(8, seconds{1}));
        add(big_d, on(to.direct, "/a?size=8388608").closed(4, seconds{1}));
        add(big_e, on(to.entry, "/s/s/a?size=8388608").closed(4, seconds{1}));
    }
    return out;
}

auto report_rates(rate_tallies const& it) -> void
{
    auto const& [d, e, r, big_d, big_e, cpu] = it;
    auto const rate = [](long n, tally const& of)
    { return static_cast<double>(n) / of.seconds; };
    std::printf("1 KB: direct %.0f/s, entry %.0f/s, refusals %.0f/s; "
                "failed %ld %ld\n",
                rate(d.ok, d), rate(e.ok, e), rate(r.refused, r), d.failed,
                e.failed);
    std::printf("8 MB: direct %.0f MB/s, entry %.0f MB/s\n",
                big_d.bytes / big_d.seconds / 1e6,
                big_e.bytes / big_e.seconds / 1e6);
    std::printf("entry: %.1f us of processor time per 1 KB request\n",
                cpu * 1e6 / static_cast<double>(e.ok));
    report("1 KB through entry / direct", rate(e.ok, e) / rate(d.ok, d),
           ">=", 0.4);
    report("8 MB bandwidth through entry / direct", big_e.bytes / big_d.bytes,
           ">=", 0.6);
    report("refusals / answers", rate(r.refused, r) / rate(e.ok, e), ">=", 3);
}

auto run_overload(targets const& to) -> void
{
    // One server with 8 slots and 20 ms each: 400 requests/s.
    constexpr double capacity = 400;
    on(to.entry, "/s/s/a?size=100&ms=20").open(capacity / 2, seconds{2});
    auto const peak =
        on(to.entry, "/s/s/a?size=100&ms=20").open(capacity, seconds{4});
    auto const sends = count_at(to.direct);
    auto const over =
        on(to.entry, "/s/s/a?size=100&ms=20").open(2 * capacity, seconds{4});
    auto const sent = count_at(to.direct) - sends;
    std::printf("goodput at capacity %.0f/s, at twice %.0f/s; refused %ld, "
                "failed %ld, p99 %.1f ms\n",
                static_cast<double>(peak.good) / peak.seconds,
                static_cast<double>(over.good) / over.seconds, over.refused,
                over.failed, tally::percentile(over.ok_ms, 0.99));
    report("goodput at twice capacity / peak",
           static_cast<double>(over.good) / static_cast<double>(peak.good),
           ">=", 0.9);
    report("p99 of refusals, ms", tally::percentile(over.refused_ms, 0.99),
           "<=", 20);
    report("sends per request answered at twice capacity",
           sent / static_cast<double>(over.ok), "<=", 1.1);
}

/// One of the servers is slow or silent.
auto run_failing(targets const& to, std::string const& part) -> void
{
    auto const rate = 400.0;
    auto const path = "/s/s/a?size=100&ms=10";
    auto const first = on(to.entry, path).open(rate, seconds{5});
    auto const then = on(to.entry, path).open(rate, seconds{5});
    std::printf("%s: first 5 s: ok %ld refused %ld failed %ld p99 %.1f ms; "
                "then: ok %ld refused %ld failed %ld\n",
                part.c_str(), first.ok, first.refused, first.failed,
                tally::percentile(first.ok_ms, 0.99), then.ok, then.refused,
                then.failed);
    auto const usual =
        on(to.direct, "/a?size=100&ms=10").open(rate / 8, seconds{2});
    report("p99 after 5 s / a healthy server's p99",
           tally::percentile(then.ok_ms, 0.99) /
               tally::percentile(usual.ok_ms, 0.99),
           "<=", 2);
    report("lost or refused, of all",
           static_cast<double>(first.refused + first.failed + then.refused +
                               then.failed),
           "<=", 0);
}

auto run_client(std::string const& part, targets const& to) -> int
{
    if (part == "rates")
    {
        report_rates(measure_rates(to));
    }
    else if (part == "overload")
    {
        run_overload(to);
    }
    else if (part == "slow" || part == "silent")
    {
        run_failing(to, part);
    }
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    std::vector<std::string> const args(argv + 1, argv + argc);
    if (args.size() == 3 && args[0] == "backend")
    {
        backend_server const it{args[1], std::atoi(args[2].c_str())};
        run_loop();
        return 0;
    }
    if (args.size() == 4 && args[0] == "entry")
    {
        return run_entry(args[1], std::atoi(args[2].c_str()),
                         std::atoi(args[3].c_str()));
    }
    if (args.size() == 5 && args[0] == "client")
    {
        return run_client(args[1], {args[2], args[3], args[4]});
    }
    std::fprintf(stderr, "usage: path_bench backend AT SLOWER | entry AT BASE "
                         "COUNT | client PART DIRECT ENTRY PID\n");
    return 2;
}
