/// Plays workers and backend servers for trials on one machine:
///   standin --entry http://127.0.0.1:8080 --token-file platform.token
///           --workers 8 --backends 8 --customer survey --service upload
#include "adapters/yaml_settings.hpp"
#include "standin_backend.hpp"
#include "standin_worker.hpp"

#include <cxxopts.hpp>
#include <glib-unix.h>

#include <array>
#include <iostream>
#include <list>
#include <string>
#include <vector>

namespace
{

using namespace apricotlb;
using namespace apricotlb::examples;

struct standin_options
{
    std::vector<std::string> entries;
    std::string token;
    int workers{0};
    int backends{0};
    std::string prefix;
    std::string customer;
    std::string service;
    std::string region;
    std::vector<std::string> zones;
    std::uint16_t port{0}; ///< of /stats; the others are free ones
    resources capacity;
    backend_faults faults;
};

auto make_options() -> cxxopts::Options
{
    cxxopts::Options options{"standin", "Plays workers and backend servers."};
    auto const text = [](char const* it)
    { return cxxopts::value<std::string>()->default_value(it); };
    auto const number = [](char const* it)
    { return cxxopts::value<std::int32_t>()->default_value(it); };
    options.add_options()("h,help", "Print help")(
        "entry", "URLs of entry processes",
        cxxopts::value<std::vector<std::string>>())("token-file",
                                                    "Platform token", text(""))(
        "workers", "Number of workers",
        number("0"))("backends", "Number of backend servers", number("0"))(
        "prefix", "Start of each id", text("standin"))(
        "customer", "Customer of the backend servers", text("survey"))(
        "service", "Service of the backend servers",
        text("upload"))("region", "Region of the workers", text("bohemia"))(
        "zones", "Zones, used in turn",
        cxxopts::value<std::vector<std::string>>()->default_value("a,b,c"))(
        "port", "Port of /stats, or 0 for a free one",
        number("0"))("cores", "Cores of each worker", number("16"))(
        "memory-gb", "Memory of each worker", number("60"))(
        "accelerators", "Accelerators of each worker",
        number("0"))("delay-ms", "Delay of each answer", number("0"))(
        "fail-permille", "Share of requests answered 500", number("0"))(
        "close-permille", "Share of answers cut halfway",
        number("0"))("silent-permille", "Share of requests never answered",
                     number("0"))("seed", "Seed of the faults", number("1"));
    return options;
}

auto read_options(cxxopts::ParseResult const& got) -> result<standin_options>
{
    auto const number = [&got](char const* name)
    { return got[name].as<std::int32_t>(); };
    auto const text = [&got](char const* name)
    { return got[name].as<std::string>(); };
    standin_options it;
    if (got.count("entry") == 0)
    {
        return fail(error_kind::bad_request, "--entry: must be given");
    }
    it.entries = got["entry"].as<std::vector<std::string>>();
    if (!text("token-file").empty())
    {
        BOOST_OUTCOME_TRY(token, read_secret(file_path{text("token-file")}));
        it.token = token;
    }
    it.workers = number("workers");
    it.backends = number("backends");
    it.prefix = text("prefix");
    it.customer = text("customer");
    it.service = text("service");
    it.region = text("region");
    it.zones = got["zones"].as<std::vector<std::string>>();
    it.port = static_cast<std::uint16_t>(number("port"));
    constexpr std::int64_t gb = 1'000'000'000;
    it.capacity = {millicores{std::int64_t{number("cores")} * 1000},
                   byte_count{number("memory-gb") * gb},
                   accelerators{number("accelerators")}};
    it.faults = {
        milliseconds{number("delay-ms")}, permille{number("fail-permille")},
        permille{number("close-permille")}, permille{number("silent-permille")},
        static_cast<std::uint32_t>(number("seed"))};
    return it;
}

auto worker_name(standin_options const& it, int n) -> std::string
{
    return it.prefix + "-w" + std::to_string(n);
}

auto zone_of(standin_options const& it, int n) -> zone_id
{
    return zone_id{it.zones[static_cast<std::size_t>(n) % it.zones.size()]};
}

/// The workers and backend servers of this process.
class standin_group
{
public:
    explicit standin_group(standin_options options)
        : options_(std::move(options)),
          stats_server_([this](http_request const& it)
                        { it.answer_json(200, stats()); })
    {
    }

    auto start() -> bool
    {
        auto const at = stats_server_.listen(options_.port);
        if (at.empty())
        {
            return false;
        }
        std::cout << "stats " << at << "/stats\n" << std::flush;
        for (auto n = 0; n < options_.workers; ++n)
        {
            auto& it = workers_.emplace_back(clock_, client_, entries(n),
                                             options_.token, tasks_);
            constexpr auto per_rack = 4;
            worker_info info{worker_id{worker_name(options_, n)},
                             {},
                             region_id{options_.region},
                             zone_of(options_, n),
                             rack_id{"rack-" + std::to_string(n / per_rack)},
                             options_.capacity,
                             slot_count{8},
                             connection_count{64}};
            if (!it.start(std::move(info), 0))
            {
                return false;
            }
        }
        return start_backends();
    }

    auto leave() -> void
    {
        for (auto& it : backends_)
        {
            it.leave();
        }
    }

private:
    auto start_backends() -> bool
    {
        for (auto n = 0; n < options_.backends; ++n)
        {
            auto faults = options_.faults;
            faults.seed += static_cast<std::uint32_t>(n);
            auto& it = backends_.emplace_back(
                clock_, client_, entries(n), options_.token, requests_, faults);
            backend_info info{
                backend_id{options_.prefix + "-b" + std::to_string(n)},
                customer_id{options_.customer},
                service_name{options_.service},
                {},
                zone_of(options_, n),
                {},
                slot_count{8},
                connection_count{64}};
            if (options_.workers > 0)
            {
                info.worker =
                    worker_id{worker_name(options_, n % options_.workers)};
            }
            if (!it.start(std::move(info), 0))
            {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] auto entries(int n) const -> entry_list
    {
        entry_list it{options_.entries};
        it.start_at(static_cast<std::size_t>(n));
        return it;
    }

    [[nodiscard]] auto stats() const -> std::string
    {
        return print_json(json_value::object{
            {"tasks", tasks_.to_json()}, {"requests", requests_.to_json()}});
    }

    standin_options options_;
    glib_clock clock_;
    http_client client_{seconds{5}};
    task_stats tasks_;
    backend_stats requests_;
    std::list<standin_worker> workers_;
    std::list<standin_backend> backends_;
    http_server stats_server_;
};

/// Leaves at the first SIGTERM or SIGINT and ends 4 s later: entry processes
/// may send requests for up to 3 s after a server has left.
auto run(standin_group& it) -> void
{
    std::unique_ptr<GMainLoop, decltype(&g_main_loop_unref)> const loop{
        g_main_loop_new(nullptr, FALSE), &g_main_loop_unref};
    std::pair<standin_group*, GMainLoop*> both{&it, loop.get()};
    auto const stop = [](gpointer data) -> gboolean
    {
        auto const& to =
            *static_cast<std::pair<standin_group*, GMainLoop*>*>(data);
        to.first->leave();
        auto const quit = [](gpointer ends) -> gboolean
        {
            g_main_loop_quit(static_cast<GMainLoop*>(ends));
            return G_SOURCE_REMOVE;
        };
        constexpr guint linger_s = 4;
        g_timeout_add_seconds(linger_s, quit, to.second);
        return G_SOURCE_CONTINUE;
    };
    auto const term = g_unix_signal_add(SIGTERM, stop, &both);
    auto const interrupt = g_unix_signal_add(SIGINT, stop, &both);
    g_main_loop_run(loop.get());
    g_source_remove(term);
    g_source_remove(interrupt);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try
    {
        auto options = make_options();
        auto const got = options.parse(argc, argv);
        if (got.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        auto const it = read_options(got);
        if (it.has_error())
        {
            std::cerr << "standin: " << it.error().detail << '\n';
            return 2;
        }
        standin_group all{it.value()};
        if (!all.start())
        {
            std::cerr << "standin: a port is taken\n";
            return 5;
        }
        run(all);
    }
    catch (std::exception const& it)
    {
        std::cerr << "standin: " << it.what() << '\n';
        return 2;
    }
    return 0;
}
