/// Randomized soak: runs the program as separate processes, harms them from
/// outside, and checks what callers, workers and operators see.
#include "adapters/glib_clock.hpp"
#include "soak/clients.hpp"
#include "soak/config_ledger.hpp"
#include "soak/faults.hpp"
#include "soak/ledger.hpp"
#include "soak/operators.hpp"
#include "soak/processes.hpp"
#include "soak/worker.hpp"

#include <cxxopts.hpp>
#include <glib.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace apricotlb::soak
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct options
{
    std::uint64_t seed{1};
    seconds length{60};
    std::size_t workers{24};
    double submissions_per_s{6};
    bool keep{false};
    clock_steps clocks{clock_steps::none};
    deployment_options deployment;
};

/// Steady state before the first fault, and what is allowed after the last.
constexpr auto lead = seconds{2};
constexpr auto recovery = seconds{12};
constexpr auto finish = seconds{14};
constexpr auto poll = milliseconds{100};
/// Without a run for longer than this, a workflow that could run stands still.
constexpr auto idle = seconds{6};
constexpr auto late_loop = milliseconds{300};

class soak_run
{
public:
    explicit soak_run(options chosen)
        : options_(std::move(chosen)), folder_(make_folder()),
          seen_(bounds{}, disturbed_), configs_(bounds{}, seen_),
          system_(clock_, seen_, disturbed_, options_.deployment),
          balancer_(clock_, system_),
          clients_(clock_, system_, balancer_, seen_, configs_,
                   options_.seed + 1, traffic{options_.submissions_per_s}),
          operators_(clock_, system_, configs_, clients_, options_.seed + 2),
          faults_(clock_, system_, workers_, disturbed_,
                  [this](std::string const& line) { log(line); })
    {
    }

    auto run() -> int
    {
        auto* const loop = g_main_loop_new(nullptr, FALSE);
        loop_ = loop;
        began_ = clock_.now();
        seen_.set_origin(began_);
        seen_.on_line = [this](std::string const& line) { log(line); };
        seen_.name_of_peer = [this](std::string const& it)
        { return system_.owner_of(it); };
        faults_.on_cancel_wave = [this](std::uint64_t seed)
        { clients_.cancel_wave(seed); };
        log("seed " + std::to_string(options_.seed) + ", logs in " +
            folder_.string());
        if (auto const& it = options_.deployment.disks;
            it.sync_delay.count() > 0)
        {
            log("syncs take " + std::to_string(it.sync_delay.count()) +
                " ms longer on " +
                (it.count == slow_disks::all ? "all disks"
                                             : std::to_string(it.count)));
        }
        system_.start_all();
        add_workers();
        operators_.start([this] { begin(); });
        clock_.start_timer(seconds{20}, [this] { expect_configured(); });
        g_main_loop_run(loop);
        g_main_loop_unref(loop);
        return conclude();
    }

private:
    [[nodiscard]] auto make_folder() -> std::filesystem::path
    {
        auto out = std::filesystem::temp_directory_path() /
                   ("apricotlb-soak-" + std::to_string(options_.seed) + "-" +
                    std::to_string(::getpid()));
        std::filesystem::create_directories(out);
        options_.deployment.folder = out;
        options_.deployment.first_octets = claim_octet(::getpid());
        return out;
    }

    auto add_workers() -> void
    {
        auto const net =
            "127." + std::to_string(options_.deployment.first_octets);
        constexpr std::size_t zones = 3;
        constexpr std::size_t rack = 8;
        for (std::size_t n = 0; n < options_.workers; ++n)
        {
            auto const zone = std::to_string(n % zones);
            auto const host = std::to_string(1 + n / zones);
            worker_place place;
            place.id = "i" + std::to_string(n);
            place.zone = "z" + zone;
            place.rack = "r" + std::to_string(n / zones / rack) + "-" + zone;
            auto ip = net;
            ip.append(".1").append(zone).append(".").append(host);
            place.listen_at = ip + ":8000";
            place.proxy_at = ip + ":8001";
            workers_.push_back(
                std::make_unique<worker>(clock_, seen_, options_.seed + n,
                                         place, system_.addresses('c')));
            // In a part of the seeds serving tasks suffer from others.
            constexpr std::uint64_t share = 3;
            constexpr std::int64_t disturbance_ms{25};
            if (options_.seed % share == 1)
            {
                workers_.back()->set_disturbance_ms(disturbance_ms);
            }
            workers_.back()->before_start = [this]
            {
                for (auto const& it : workers_)
                {
                    it->end_if_lapsed();
                }
            };
            workers_.back()->start(true);
        }
    }

    auto expect_configured() -> void
    {
        if (!configured_)
        {
            seen_.report(promise::config_missing,
                         "the first configuration was not acknowledged in 20 s",
                         clock_.now());
            g_main_loop_quit(loop_);
        }
    }

    auto begin() -> void
    {
        configured_ = true;
        log("configured");
        watch();
        clock_.start_timer(lead, [this] { clients_.start(); });
        auto const schedule =
            make_schedule(options_.seed, options_.length, options_.clocks);
        clock_.start_timer(lead, [this, schedule] { faults_.run(schedule); });
        clock_.start_timer(lead + options_.length, [this] { close(); });
    }

    /// A machine that is late with this loop is late with the processes too,
    /// which excuses them as a slow machine does.
    auto watch() -> void
    {
        clock_.start_timer(poll,
                           [this, due = clock_.now() + poll]
                           {
                               watch();
                               if (clock_.now() - due > late_loop)
                               {
                                   ++late_turns_;
                                   for (auto const& it : system_.names())
                                   {
                                       disturbed_.mark(it, clock_.now());
                                   }
                               }
                               seen_.check_cancelled(clock_.now());
                               seen_.check_standing(clock_.now(), rooms(),
                                                    ended_);
                               configs_.check(clock_.now());
                           });
    }

    /// The final fault comes while changes and work are under way.
    auto close() -> void
    {
        auto const how = options_.seed % 3;
        faults_.repair();
        auto delay = duration{};
        if (how != 0)
        {
            constexpr std::uint64_t forms = 3;
            delay = faults_.begin_farewell(
                static_cast<farewell>(options_.seed / forms % forms),
                options_.seed);
            clock_.start_timer(delay, [this, how]
                               { faults_.lose_all(how == 2, options_.seed); });
        }
        clock_.start_timer(delay + recovery,
                           [this]
                           {
                               clients_.stop();
                               operators_.stop();
                               log("traffic ends");
                               ended_ = clock_.now();
                               operators_.take_answering();
                               ask();
                           });
    }

    /// Asks until all is answered, or the time for that is over.
    auto ask() -> void
    {
        if (clock_.now() - *ended_ < finish)
        {
            clients_.ask_for_all();
            clock_.start_timer(seconds{2}, [this] { ask(); });
            return;
        }
        auto const now = clock_.now();
        for (auto const& id : clients_.unanswered())
        {
            seen_.report(promise::lost,
                         id + ": accepted, and its state is not answered", now);
        }
        for (auto const& id : is_half_free(rooms())
                                  ? seen_.accepted()
                                  : std::vector<std::string>{})
        {
            if (!seen_.is_shown_as_ended(id) &&
                seen_.is_idle_since(id, now - idle))
            {
                seen_.report(promise::lost,
                             "nothing runs of " + seen_.describe(id), now);
            }
        }
        seen_.check_refused(now);
        auto const answering = operators_.take_answering();
        for (auto const& name : system_.names('c'))
        {
            if (!answering.contains(name))
            {
                seen_.report(promise::config_missing,
                             name + " answers no read of the configuration",
                             now);
            }
        }
        if (operators_.has_open_changes())
        {
            seen_.report(promise::config_refused,
                         "a configuration was never acknowledged", now);
        }
        g_main_loop_quit(loop_);
    }

    [[nodiscard]] auto rooms() const -> std::vector<worker_room>
    {
        std::vector<worker_room> out;
        out.reserve(workers_.size());
        for (auto const& it : workers_)
        {
            out.push_back(it->room());
        }
        return out;
    }

    auto log(std::string const& line) -> void
    {
        auto const ms =
            std::chrono::duration_cast<milliseconds>(clock_.now() - began_);
        std::cout << std::setw(7) << ms.count() << " ms  " << line << std::endl;
    }

    auto conclude() -> int
    {
        std::ostringstream line;
        line << "starts " << seen_.starts() << ", accepted "
             << seen_.accepted_count() << ", cancelled " << seen_.cancels()
             << ", configurations " << configs_.acknowledged() << ", reads "
             << configs_.reads() << ", counts " << configs_.counts()
             << ", late turns " << late_turns_;
        for (auto const& [outcome, n] : clients_.calls())
        {
            line << ", " << outcome << " " << n;
        }
        log(line.str());
        log(seen_.recovery(clock_.now()));
        log(seen_.cancel_times(clock_.now()));
        auto const n = seen_.findings().size();
        // A run in which nothing was served shows nothing.
        auto const is_idle = seen_.starts() == 0 || configs_.reads() == 0;
        log("seed " + std::to_string(options_.seed) + ": " +
            (is_idle ? "nothing was served"
                     : std::to_string(n) + " promises broken"));
        if (n == 0 && !options_.keep)
        {
            std::error_code ec;
            std::filesystem::remove_all(folder_, ec);
        }
        return n == 0 && !is_idle ? 0 : 1;
    }

    options options_;
    std::filesystem::path folder_;
    glib_clock clock_;
    disturbances disturbed_;
    ledger seen_;
    config_ledger configs_;
    processes system_;
    balancer balancer_;
    clients clients_;
    operators operators_;
    std::vector<std::unique_ptr<worker>> workers_;
    fault_injector faults_;
    GMainLoop* loop_{nullptr};
    time_point began_{};
    std::optional<time_point> ended_; ///< the traffic
    std::size_t late_turns_{0};
    bool configured_{false};
};

/// MS or MS:COUNT.
auto parse_disks(std::string const& delay) -> slow_disks
{
    slow_disks out;
    std::istringstream text{delay};
    std::int64_t ms{0};
    char colon{};
    if (!(text >> ms) ||
        (text >> colon && (colon != ':' || !(text >> out.count))))
    {
        throw std::invalid_argument{"--sync-delay must be MS or MS:COUNT"};
    }
    out.sync_delay = milliseconds{ms};
    return out;
}

auto parse(int argc, char** argv) -> options
{
    options out;
    auto& processes = out.deployment;
    std::string binary;
    std::string delay;
    std::string clocks;
    auto templates = processes.templates.string();
    auto length = static_cast<int>(out.length.count());
    cxxopts::Options table{"soak", "Randomized soak of real processes"};
    auto add = table.add_options();
    add("binary", "program under test", cxxopts::value(binary));
    add("templates", "folder with the templates of the settings files",
        cxxopts::value(templates));
    add("seed", "of the schedule", cxxopts::value(out.seed));
    add("seconds", "of traffic with faults", cxxopts::value(length));
    add("entries", "entry processes", cxxopts::value(processes.entries));
    add("workers", "workers", cxxopts::value(out.workers));
    add("rate", "submissions a second", cxxopts::value(out.submissions_per_s));
    add("cores", "of this machine, for all processes together",
        cxxopts::value(processes.cores));
    add("unread-logs", "logs go to pipes that nobody reads",
        cxxopts::value(processes.unread_logs));
    add("sync-delay", "MS[:COUNT], mean of the first control processes",
        cxxopts::value(delay));
    add("clocks", "none, back, ahead or both ways", cxxopts::value(clocks));
    add("keep", "keep the logs", cxxopts::value(out.keep));
    table.parse(argc, argv);
    processes.disks =
        delay.empty() ? make_slow_disks(out.seed) : parse_disks(delay);
    out.clocks =
        clocks.empty() ? make_clock_steps(out.seed) : parse_clock_steps(clocks);
    processes.binary = binary;
    processes.templates = templates;
    out.length = seconds{length};
    return out;
}

} // namespace

} // namespace apricotlb::soak

auto main(int argc, char** argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        auto const chosen = apricotlb::soak::parse(argc, argv);
        apricotlb::soak::check_program(chosen.deployment.binary);
        return apricotlb::soak::soak_run{chosen}.run();
    }
    catch (std::exception const& it)
    {
        std::cerr << "soak: " << it.what() << '\n';
        return 2;
    }
}
