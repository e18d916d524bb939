#include "soak/operators.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace apricotlb::soak
{

namespace
{

using std::chrono::milliseconds;

constexpr int max_open = 8;
constexpr int many_attempts = 1000;
constexpr std::size_t max_counted = 40;

auto route(std::string const& prefix, int priority)
{
    return nlohmann::json{{"name", "r" + prefix},  {"host", "q.example"},
                          {"path_prefix", prefix}, {"kind", "non_idempotent"},
                          {"timeout_ms", 3000},    {"target_duration_ms", 1000},
                          {"priority", priority},  {"service", "s"},
                          {"max_attempts", 4},     {"stretch", 2.0}};
}

} // namespace

operators::operators(glib_clock& clock, processes& system,
                     config_ledger& configs, clients& callers,
                     std::uint64_t seed)
    : clock_(clock), system_(system), configs_(configs), clients_(callers),
      random_(seed)
{
}

auto operators::document(std::int64_t version) const -> json
{
    auto routes = json::array(
        {route("/check/", 0), route("/report/", 2), route("/watch/", 0)});
    for (auto const& prefix : routes_)
    {
        routes.push_back(route(prefix, 0));
    }
    return {{"version", version},
            {"routes", routes},
            {"services", json::array({{{"name", "s"},
                                       {"health_path", "/health"},
                                       {"max_conns", 64},
                                       {"protocol", "h1"},
                                       {"tls", false},
                                       {"rejects_overload", true},
                                       {"standby", false}}})},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

auto operators::start(std::function<void()> configured) -> void
{
    auto const first = document(++version_);
    configs_.on_sent(version_, first, clock_.now());
    ++open_;
    send(std::make_shared<std::string const>(first.dump()), version_, true,
         many_attempts,
         [this, configured = std::move(configured)]
         {
             read_all();
             next_round();
             configured();
         });
}

auto operators::change_routes() -> void
{
    auto const add = [this](std::size_t n)
    {
        for (; n > 0; --n)
        {
            routes_.push_back("/idle" + std::to_string(++last_route_) + "/");
            clients_.counted_prefixes.push_back(routes_.back());
        }
    };
    constexpr std::size_t many = 350;
    constexpr std::size_t few = 40;
    auto const what = random_() % 12;
    if (what == 0 && routes_.size() < few)
    {
        add(many);
    }
    else if (what == 1 || routes_.size() > many)
    {
        routes_.resize(std::min<std::size_t>(routes_.size(), 5));
    }
    else
    {
        add(1);
        if (routes_.size() > 4 && random_() % 2 == 0)
        {
            routes_.erase(routes_.begin());
        }
    }
    // The newest ones, some that were removed, and one that never existed.
    auto& counted = clients_.counted_prefixes;
    if (counted.size() > max_counted)
    {
        counted.erase(counted.begin(),
                      counted.end() - static_cast<std::ptrdiff_t>(max_counted));
    }
    counted.push_back("/never" + std::to_string(random_() % 1000) + "/");
}

auto operators::next_round() -> void
{
    constexpr std::array gaps{milliseconds{40}, milliseconds{300},
                              milliseconds{1000}, milliseconds{2500}};
    clock_.start_timer(gaps[random_() % gaps.size()], [this] { change(); });
}

auto operators::change() -> void
{
    if (stopped_)
    {
        return;
    }
    next_round();
    constexpr std::array bursts{1, 1, 2, 3, 5};
    for (auto n = bursts[random_() % bursts.size()]; n > 0 && open_ < max_open;
         --n)
    {
        version_ += 1 + static_cast<std::int64_t>(random_() % 5);
        change_routes();
        send_change(document(version_));
        if (random_() % 6 == 0)
        {
            // Another operator sends other content as this version.
            change_routes();
            send_change(document(version_));
        }
        if (random_() % 4 == 0)
        {
            send_invalid();
        }
    }
}

auto operators::send_change(json const& it) -> void
{
    auto const number = it["version"].get<std::int64_t>();
    configs_.on_sent(number, it, clock_.now());
    ++open_;
    auto const body = std::make_shared<std::string const>(it.dump());
    send(body, number, true, many_attempts,
         [this, body, number]
         {
             if (random_() % 3 == 0)
             {
                 // The acknowledgement was lost on its way: sent again.
                 ++open_;
                 send(body, number, true, 1, [] {});
             }
         });
}

auto operators::send_invalid() -> void
{
    auto it = document(version_ + static_cast<std::int64_t>(random_() % 40));
    auto const number = it["version"].get<std::int64_t>();
    auto twin = it["routes"][0];
    twin["name"] = "twin";
    std::vector<std::pair<char const*, json>> const wrong{
        {"/routes/0/service", "unknown"},
        {"/routes/-", twin},
        {"/routes/1/timeout_ms", 0},
        {"/limits", "none"},
        {"/services/0/max_conns", "many"},
        {"/version", std::to_string(number)}};
    auto const what = random_() % (wrong.size() + 2);
    if (what < wrong.size())
    {
        it[json::json_pointer{wrong[what].first}] = wrong[what].second;
    }
    auto text = it.dump();
    if (what == wrong.size())
    {
        text.resize(text.size() - 1 - random_() % 200);
    }
    else if (what > wrong.size())
    {
        text.push_back('\0');
    }
    ++open_;
    send(std::make_shared<std::string const>(std::move(text)), number, false,
         many_attempts, [] {});
}

auto operators::send(std::shared_ptr<std::string const> body,
                     std::int64_t version, bool is_valid, int attempts_left,
                     std::function<void()> done) -> void
{
    auto const names = system_.names('c');
    auto const& node = names[random_() % names.size()];
    auto const to =
        std::make_shared<http_connection>(clock_, system_.at(node).served_at());
    constexpr std::size_t bytes_per_ms = 200;
    auto const timeout =
        std::chrono::seconds{1} + milliseconds{body->size() / bytes_per_ms};
    to->call({"PUT", "/config", "operator", *body, timeout},
             [this, to, node, body, version, is_valid, attempts_left,
              done = std::move(done)](call_result const& it)
             {
                 // The connection is destroyed after this callback.
                 clock_.start_timer(duration{0}, [to] {});
                 configs_.on_answer(version, is_valid, it.status, node,
                                    clock_.now());
                 auto const is_final = it.status == 200 || it.status == 400 ||
                                       it.status == 409 || it.status == 412 ||
                                       it.status == 413 || it.status == 422;
                 if (is_final || attempts_left <= 1)
                 {
                     --open_;
                     done();
                     return;
                 }
                 constexpr auto retry = milliseconds{100};
                 clock_.start_timer(
                     retry,
                     [this, body, version, is_valid, attempts_left, done] {
                         send(body, version, is_valid, attempts_left - 1, done);
                     });
             });
}

/// Looks for control processes that were added.
auto operators::read_all() -> void
{
    constexpr auto interval = std::chrono::seconds{1};
    clock_.start_timer(interval, [this] { read_all(); });
    for (auto const& name : system_.names('c'))
    {
        if (!readers_.contains(name))
        {
            readers_[name] = std::make_unique<http_connection>(
                clock_, system_.at(name).served_at());
            read_later(name);
        }
    }
}

auto operators::read_later(std::string const& node) -> void
{
    clock_.start_timer(
        milliseconds{100 + random_() % 100},
        [this, node]
        {
            if (system_.at(node).removed)
            {
                return;
            }
            readers_.at(node)->call(
                {"GET", "/config", "operator", "", std::chrono::seconds{2}},
                [this, node](call_result const& got)
                {
                    system_.on_read(node, service_of(got), got.sent_at);
                    if (got.status == 200)
                    {
                        answering_.insert(node);
                        configs_.on_read(node, got.answer.body, got.sent_at,
                                         clock_.now());
                    }
                    read_later(node);
                });
        });
}

} // namespace apricotlb::soak
