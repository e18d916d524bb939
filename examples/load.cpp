/// Sends requests through entry processes and checks each answer against its
/// own request:
///   load --entry http://127.0.0.1:8080 --token-file survey.token
///        --service upload --requests 2000 --concurrency 16
#include "adapters/glib_clock.hpp"
#include "adapters/yaml_settings.hpp"
#include "standin_backend.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace apricotlb;
using namespace apricotlb::examples;

struct load_options
{
    std::vector<std::string> entries;
    std::string token;
    std::string service;
    int requests{0};
    int concurrency{0};
    double min_bytes{0};
    double max_bytes{0};
    int max_echo_bytes{0};
    int tries{0};
    std::uint32_t seed{0};
    bool keys{false};
    bool json{false};
};

/// One request with all of its attempts.
struct request_state
{
    int number{0};
    std::string body;
    std::string echo;
    std::string key;
    int tries{0};
    time_point started{};
};

class load_run
{
public:
    explicit load_run(load_options options)
        : options_(std::move(options)), entries_(options_.entries),
          random_(options_.seed),
          loop_(g_main_loop_new(nullptr, FALSE), &g_main_loop_unref)
    {
    }

    auto run() -> void
    {
        auto const n = std::min(options_.concurrency, options_.requests);
        for (auto i = 0; i < n; ++i)
        {
            begin();
        }
        if (running_ > 0)
        {
            g_main_loop_run(loop_.get());
        }
    }

    /// True when every request got its own answer.
    [[nodiscard]] auto is_clean() const -> bool
    {
        return mismatched_ == 0 && answered() == options_.requests;
    }

    auto print(std::ostream& out) -> void
    {
        std::ranges::sort(latencies_);
        json_value::object reasons;
        for (auto const& [reason, n] : refused_)
        {
            reasons.push_back({reason, n});
        }
        json_value::object const all{
            {"requests", std::int64_t{options_.requests}},
            {"answered", std::int64_t{answered()}},
            {"lost", std::int64_t{options_.requests - answered()}},
            {"mismatched", mismatched_},
            {"resent", resent_},
            {"p50_ms", quantile(0.50)},
            {"p99_ms", quantile(0.99)},
            {"refused", std::move(reasons)}};
        if (options_.json)
        {
            out << print_json(all) << '\n';
            return;
        }
        for (auto const& it : all)
        {
            out << it.name << ' ' << print_json(it.value) << '\n';
        }
    }

private:
    [[nodiscard]] auto answered() const -> int
    {
        return static_cast<int>(latencies_.size());
    }

    [[nodiscard]] auto quantile(double q) const -> double
    {
        if (latencies_.empty())
        {
            return 0;
        }
        auto const n = static_cast<double>(latencies_.size() - 1) * q;
        auto const at = static_cast<std::size_t>(std::ceil(n));
        return static_cast<double>(latencies_[at].count()) / 1000.0;
    }

    /// Sizes are spread evenly over the orders of magnitude.
    auto make_body() -> std::string
    {
        std::uniform_real_distribution<double> spread{
            std::log(options_.min_bytes), std::log(options_.max_bytes)};
        auto const size = static_cast<std::size_t>(std::exp(spread(random_)));
        std::string body = "request " + std::to_string(begun_) + " ";
        auto word = random_();
        while (body.size() < size)
        {
            constexpr std::uint32_t step = 2'654'435'769U;
            word = word * step + 1;
            body += std::to_string(word);
        }
        body.resize(std::max<std::size_t>(size, 1));
        return body;
    }

    auto begin() -> void
    {
        auto it = std::make_shared<request_state>();
        it->number = begun_++;
        it->body = make_body();
        it->echo = std::to_string(
            std::uniform_int_distribution{0, options_.max_echo_bytes}(random_));
        if (options_.keys)
        {
            it->key = "load-" + std::to_string(options_.seed) + "-" +
                      std::to_string(it->number);
        }
        it->started = clock_.now();
        ++running_;
        send(it);
    }

    auto send(std::shared_ptr<request_state> const& it) -> void
    {
        ++it->tries;
        header_list headers{{"Authorization", "Bearer " + options_.token},
                            {"X-Echo-Bytes", it->echo}};
        if (!it->key.empty())
        {
            headers.emplace_back("Idempotency-Key", it->key);
        }
        entries_.next();
        client_.send("POST",
                     entries_.current() + "/s/" + options_.service + "/sum",
                     headers, it->body,
                     [this, it](http_reply const& reply) { take(it, reply); });
    }

    auto take(std::shared_ptr<request_state> const& it, http_reply const& reply)
        -> void
    {
        constexpr unsigned success = 200;
        if (reply.status == success)
        {
            auto const want = expected_answer(it->body, number_in(it->echo));
            if (reply.body == want)
            {
                latencies_.push_back(clock_.now() - it->started);
            }
            else
            {
                ++mismatched_;
            }
            finish();
            return;
        }
        auto const told = decode_problem(reply.body);
        auto reason = std::string{"no_answer"};
        if (told)
        {
            reason = name_of(told.value().what.kind);
        }
        else if (reply.status != 0)
        {
            reason = "status_" + std::to_string(reply.status);
        }
        ++refused_[reason];
        if (it->tries < options_.tries && may_resend(*it, reply, told))
        {
            ++resent_;
            constexpr auto pause = milliseconds{100};
            clock_.start_timer(pause, [this, it] { send(it); });
            return;
        }
        finish();
    }

    /// A request is sent again when it did not run, or under its key.
    [[nodiscard]] static auto may_resend(request_state const& it,
                                         http_reply const& reply,
                                         result<problem> const& told) -> bool
    {
        if (told)
        {
            return told.value().retry != retry_advice::never &&
                   (told.value().ran == work_ran::no || !it.key.empty());
        }
        return reply.status == 0 && !it.key.empty();
    }

    auto finish() -> void
    {
        --running_;
        if (begun_ < options_.requests)
        {
            begin();
        }
        else if (running_ == 0)
        {
            g_main_loop_quit(loop_.get());
        }
    }

    load_options options_;
    entry_list entries_;
    glib_clock clock_;
    http_client client_{seconds{30}};
    std::mt19937 random_;
    std::unique_ptr<GMainLoop, decltype(&g_main_loop_unref)> loop_;
    int begun_{0};
    int running_{0};
    std::vector<duration> latencies_;
    std::map<std::string, std::uint64_t> refused_;
    std::uint64_t mismatched_{0};
    std::uint64_t resent_{0};
};

auto make_options() -> cxxopts::Options
{
    cxxopts::Options options{"load", "Sends and checks requests."};
    auto const text = [](char const* it)
    { return cxxopts::value<std::string>()->default_value(it); };
    auto const number = [](char const* it)
    { return cxxopts::value<int>()->default_value(it); };
    options.add_options()("h,help", "Print help")(
        "entry", "URLs of entry processes, used in turn",
        cxxopts::value<std::vector<std::string>>())(
        "token-file", "The customer's token",
        text(""))("service", "Service to send to", text("upload"))(
        "requests", "Number of requests", number("2000"))(
        "concurrency", "Requests in flight at once",
        number("16"))("min-bytes", "Smallest body", number("1024"))(
        "max-bytes", "Largest body", number("8388608"))(
        "max-echo-bytes", "Most bytes that an answer echoes",
        number("65536"))("tries", "Attempts per request", number("50"))(
        "keys", "Send an Idempotency-Key with each request")(
        "seed", "Seed of sizes and contents",
        number("1"))("output", "text or json", text("text"));
    return options;
}

auto read_options(cxxopts::ParseResult const& got) -> result<load_options>
{
    auto const number = [&got](char const* name)
    { return got[name].as<int>(); };
    load_options it;
    if (got.count("entry") == 0)
    {
        return fail(error_kind::bad_request, "--entry: must be given");
    }
    it.entries = got["entry"].as<std::vector<std::string>>();
    if (auto const path = got["token-file"].as<std::string>(); !path.empty())
    {
        BOOST_OUTCOME_TRY(token, read_secret(file_path{path}));
        it.token = token;
    }
    it.service = got["service"].as<std::string>();
    it.requests = number("requests");
    it.concurrency = number("concurrency");
    it.min_bytes = number("min-bytes");
    it.max_bytes = number("max-bytes");
    it.max_echo_bytes = number("max-echo-bytes");
    it.tries = number("tries");
    it.keys = got.count("keys") > 0;
    it.seed = static_cast<std::uint32_t>(number("seed"));
    it.json = got["output"].as<std::string>() == "json";
    if (it.requests < 1 || it.concurrency < 1 || it.min_bytes < 1 ||
        it.max_bytes < it.min_bytes || it.max_echo_bytes < 0)
    {
        return fail(error_kind::bad_request, "a number is out of range");
    }
    return it;
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
            std::cerr << "load: " << it.error().detail << '\n';
            return 2;
        }
        load_run run{it.value()};
        run.run();
        run.print(std::cout);
        return run.is_clean() ? 0 : 1;
    }
    catch (std::exception const& it)
    {
        std::cerr << "load: " << it.what() << '\n';
        return 2;
    }
}
