#include "soak/clients.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace apricotlb::soak
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr auto queue_host = "q.example";

auto body_of(workflow_plan const& it) -> std::string
{
    auto steps = json::array();
    for (auto const& step : it.steps)
    {
        auto const estimate =
            std::chrono::duration_cast<milliseconds>(step.run_time).count();
        json row{{"count", step.tasks},
                 {"cpu", step.cpu},
                 {"mem_mb", step.mem_mb},
                 {"estimate_ms", estimate}};
        if (!step.prerequisites.empty())
        {
            row["depends_on"] = step.prerequisites;
        }
        if (step.permanent)
        {
            row["long_running"] = true;
            row["target_ms"] = step.target_ms;
            row["miss_allowed"] = step.max_unavailable;
        }
        for (auto const& [key, is_set] :
             {std::pair{"fills", step.scavenges},
              {"checkpointing", step.checkpoints},
              {"allow_duplicates", step.allow_duplicates}})
        {
            if (is_set)
            {
                row[key] = true;
            }
        }
        if (step.anti_affinity > 0)
        {
            row["anti_affinity"] = step.anti_affinity;
        }
        if (!step.image.empty())
        {
            row["image"] = step.image;
        }
        steps.push_back(row);
    }
    return json{{"spec", it.spec}, {"steps", steps}}.dump();
}

auto name_of(call_result const& it) -> std::string
{
    return it.how == call_end::answered    ? std::to_string(it.status)
           : it.how == call_end::cut       ? "cut"
           : it.how == call_end::timed_out ? "timed out"
                                           : "not connected";
}

} // namespace

auto service_of(call_result const& it) -> call_service
{
    auto const is_admission =
        it.status == 503 &&
        (it.answer.body.find("queue_full: ") != std::string::npos ||
         it.answer.body.find("deadline_unmeetable: ") != std::string::npos);
    return it.how != call_end::answered ? call_service::unanswered
           : it.status == 504 || (it.status == 503 && !is_admission)
               ? call_service::refused
               : call_service::served;
}

balancer::balancer(glib_clock& clock, processes& system)
    : clock_(clock), system_(system)
{
    check();
}

auto balancer::check() -> void
{
    constexpr auto interval = std::chrono::seconds{1};
    constexpr auto timeout = milliseconds{900};
    clock_.start_timer(interval, [this] { check(); });
    for (auto const& name : system_.names('e'))
    {
        auto& it = entries_[name];
        it.connection = std::make_unique<http_connection>(
            clock_, system_.at(name).ready_at());
        it.connection->call({"GET", "/ready", "ready", "", timeout},
                            [&it](call_result const& got) {
                                it.misses =
                                    got.status == 200 ? 0 : it.misses + 1;
                            });
    }
}

auto balancer::entry_for(std::string const& zone, std::uint64_t hash) const
    -> std::string
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (auto const& name : system_.names('e'))
    {
        auto const found = entries_.find(name);
        if (found == entries_.end() || found->second.misses >= 2)
        {
            continue;
        }
        all.push_back(name);
        if (system_.at(name).zone == zone)
        {
            near.push_back(name);
        }
    }
    auto const& from = !near.empty()  ? near
                       : !all.empty() ? all
                                      : system_.names('e');
    return from[hash % from.size()];
}

clients::clients(glib_clock& clock, processes& system, balancer& entries,
                 ledger& seen, config_ledger& configs, std::uint64_t seed,
                 traffic rate)
    : clock_(clock), system_(system), entries_(entries), ledger_(seen),
      configs_(configs), random_(seed), rate_(rate)
{
    for (auto const& name : system_.names('e'))
    {
        for (std::size_t n = 0; n < rate_.callers_per_entry; ++n)
        {
            auto it = std::make_unique<caller>();
            it->zone = system_.at(name).zone;
            it->hash = random_();
            callers_.push_back(std::move(it));
        }
    }
}

auto clients::start() -> void
{
    constexpr int attempts = 4;
    constexpr double second_ms = 1000;
    repeat(
        [this]
        {
            std::exponential_distribution<double> gap{rate_.submissions_per_s /
                                                      second_ms};
            return milliseconds{static_cast<std::int64_t>(gap(random_))};
        },
        [this] { submit(new_plan(), attempts); });
    repeat([this] { return milliseconds{10 + random_() % 60}; },
           [this] { read(); });
    repeat([this] { return milliseconds{10 + random_() % 50}; },
           [this] { count(); });
}

auto clients::repeat(std::function<duration()> gap, std::function<void()> run)
    -> void
{
    auto const wait = gap();
    clock_.start_timer(wait,
                       [this, gap = std::move(gap), run = std::move(run)]
                       {
                           if (!stopped_)
                           {
                               repeat(gap, run);
                               run();
                           }
                       });
}

auto clients::idle_caller() -> caller*
{
    auto const first = random_() % callers_.size();
    for (std::size_t n = 0; n < callers_.size(); ++n)
    {
        auto& it = *callers_[(first + n) % callers_.size()];
        if (!it.connection || !it.connection->is_busy())
        {
            return &it;
        }
    }
    return nullptr;
}

/// Calls on an open connection if the caller has one; a new connection goes to
/// the entry that the balancer names.
auto clients::call(http_call const& it, callback done) -> void
{
    auto* const from = idle_caller();
    if (from == nullptr)
    {
        constexpr auto retry = milliseconds{20};
        clock_.start_timer(retry, [this, it, done = std::move(done)]
                           { call(it, done); });
        return;
    }
    if (!from->connection || !from->connection->is_open())
    {
        from->entry = entries_.entry_for(from->zone, ++from->hash);
        from->connection = std::make_unique<http_connection>(
            clock_, system_.at(from->entry).served_at());
    }
    auto const node = from->entry;
    from->connection->call(
        it,
        [this, node, method = it.method, what = it.method + " " + it.path,
         done = std::move(done)](call_result const& got)
        {
            ledger_.on_call(node, method, service_of(got), got.sent_at,
                            got.ended_at);
            auto const outcome = name_of(got);
            ++calls_[outcome];
            if (!got.is_success() && got.status != 404 && got.status != 410 &&
                ledger_.is_undisturbed(node, got.sent_at))
            {
                ++calls_["undisturbed " + outcome];
            }
            if (got.how == call_end::cut || got.how == call_end::timed_out)
            {
                ledger_.on_cut(node, what, got.sent_at, got.ended_at);
            }
            done(node, got);
        });
}

auto clients::new_plan() -> workflow_plan
{
    workflow_plan out;
    constexpr std::size_t id_digits = 16;
    for (std::size_t n = 0; n < id_digits; ++n)
    {
        out.id += "0123456789abcdef"[random_() % 16];
    }
    out.spec = "spec of " + out.id;
    auto const kind = random_() % 10;
    auto const width = [this](int most)
    { return 1 + static_cast<int>(random_() % static_cast<unsigned>(most)); };
    auto const steps = 1 + random_() % 3;
    if (kind == 0)
    {
        out.queue_path = "/watch/";
        step_plan step;
        step.tasks = width(5);
        step.cpu = 3000;
        step.mem_mb = 6000;
        step.run_time = milliseconds{400};
        step.permanent = step.checkpoints = true;
        step.max_unavailable = 1;
        step.target_ms = 125;
        step.image = "image-" + std::to_string(random_() % 3);
        step.anti_affinity = random_() % 3 == 0 ? 1 : 0;
        std::uniform_real_distribution<double> luck{0, 1};
        out.is_kept = luck(random_) < rate_.kept;
        if (out.is_kept)
        {
            // What stays must leave most of the room free in a long run.
            step.cpu = 1000;
            step.mem_mb = 1000;
        }
        out.steps.push_back(step);
        return out;
    }
    auto const scavenges = kind >= 6;
    out.queue_path = scavenges ? "/report/" : "/check/";
    for (std::size_t n = 0; n < steps; ++n)
    {
        step_plan step;
        step.tasks = width(scavenges ? 16 : 10);
        step.cpu = scavenges ? 1800 : 1600;
        step.mem_mb = 1024;
        step.run_time = milliseconds{300 + random_() % 1200};
        step.scavenges = step.checkpoints = scavenges;
        step.image = scavenges ? "fill-" + std::to_string(random_() % 4) : "";
        step.anti_affinity = random_() % 6 == 0 ? 1 : 0;
        step.allow_duplicates = random_() % 8 == 0;
        if (n > 0)
        {
            step.prerequisites.push_back(static_cast<int>(n) - 1);
        }
        out.steps.push_back(step);
    }
    return out;
}

auto clients::submit(workflow_plan const& plan, int attempts_left) -> void
{
    ledger_.on_submission(plan);
    http_call const post{"POST", plan.queue_path + plan.id, queue_host,
                         body_of(plan), std::chrono::seconds{3}};
    call(post,
         [this, plan, post, attempts_left](std::string const&,
                                           call_result const& it)
         {
             auto const is_refused = it.status == 429 || it.status == 503 ||
                                     it.status == 404 ||
                                     it.how == call_end::not_connected;
             auto const answer = it.is_success() ? submission_answer::accepted
                                 : is_refused    ? submission_answer::refused
                                                 : submission_answer::unknown;
             ledger_.on_submission_answer(plan.id, answer, clock_.now());
             if (answer == submission_answer::accepted)
             {
                 submitted_.push_back(plan.id);
                 cancel_later(plan);
                 // A copy of the request that was held up on its way.
                 if (random_() % 20 == 0)
                 {
                     clock_.start_timer(
                         milliseconds{1000 + random_() % 4000},
                         [this, plan, post]
                         {
                             ledger_.on_submission(plan);
                             call(post, [](auto const&, auto const&) {});
                         });
                 }
                 return;
             }
             if (attempts_left > 1 && (!is_refused || random_() % 2 == 0))
             {
                 clock_.start_timer(milliseconds{50 + random_() % 300},
                                    [this, plan, attempts_left]
                                    { submit(plan, attempts_left - 1); });
             }
         });
}

/// Permanent work stays for a while, a share of it for good; of the rest a
/// share is cancelled early.
auto clients::cancel_later(workflow_plan const& plan) -> void
{
    auto const stays = ledger_.is_permanent(plan.id);
    std::uniform_real_distribution<double> luck{0, 1};
    if (stopped_ || plan.is_kept ||
        (!stays && luck(random_) >= rate_.cancelled))
    {
        return;
    }
    auto const after = stays ? milliseconds{4000 + random_() % 12000}
                             : milliseconds{random_() % 3000};
    clock_.start_timer(after, [this, id = plan.id] { cancel(id); });
}

auto clients::cancel_wave(std::uint64_t seed) -> void
{
    constexpr std::size_t recent = 150;
    constexpr std::size_t share = 3;
    std::mt19937_64 random{seed};
    auto const n = std::min(recent, submitted_.size());
    for (auto const& id : std::vector<std::string>{
             submitted_.end() - static_cast<std::ptrdiff_t>(n),
             submitted_.end()})
    {
        if (random() % share == 0 && !ledger_.plan_of(id)->is_kept)
        {
            cancel(id);
        }
    }
}

auto clients::cancel(std::string const& id) -> void
{
    auto const* const plan = ledger_.plan_of(id);
    ledger_.on_cancel_sent(id, clock_.now());
    call({"DELETE", plan->queue_path + id, queue_host, "",
          std::chrono::seconds{3}},
         [this, id](std::string const&, call_result const& it)
         {
             if (it.is_success() || it.status == 410)
             {
                 ledger_.on_cancel_answer(id, clock_.now(), it.status != 410);
                 return;
             }
             clock_.start_timer(milliseconds{50 + random_() % 300},
                                [this, id] { cancel(id); });
         });
}

auto clients::take_state(std::string const& id, std::string const& node,
                         call_result const& it) -> void
{
    if (it.status == 410)
    {
        ledger_.on_state(id, "unknown", node, it.sent_at, clock_.now());
        return;
    }
    if (it.is_success())
    {
        unanswered_.erase(id);
    }
    auto const got = json::parse(it.answer.body, nullptr, false);
    if (it.is_success() && got.is_object() && got.contains("state"))
    {
        ledger_.on_state(id, got["state"].get<std::string>(), node, it.sent_at,
                         clock_.now());
    }
}

auto clients::read() -> void
{
    if (submitted_.empty())
    {
        return;
    }
    constexpr std::size_t recent = 200;
    auto const most = std::min(recent, submitted_.size());
    auto const id = submitted_[submitted_.size() - 1 - random_() % most];
    ask_for(id);
}

auto clients::ask_for(std::string const& id) -> void
{
    call({"GET", ledger_.plan_of(id)->queue_path + id, queue_host, "",
          std::chrono::seconds{2}},
         [this, id](std::string const& node, call_result const& it)
         { take_state(id, node, it); });
}

/// Counts are asked of each entry directly.
auto clients::count() -> void
{
    auto const names = system_.names('e');
    auto const& node = names[random_() % names.size()];
    auto& it = counts_[node];
    if (counted_prefixes.empty() || (it && it->is_busy()))
    {
        return;
    }
    if (!it)
    {
        it = std::make_unique<http_connection>(clock_,
                                               system_.at(node).served_at());
    }
    auto const prefix = counted_prefixes[random_() % counted_prefixes.size()];
    it->call({"GET", prefix, queue_host, "", std::chrono::seconds{2}},
             [this, node, prefix](call_result const& got)
             {
                 configs_.on_count(node, prefix, got.status, got.sent_at,
                                   clock_.now());
                 ledger_.on_call(node, "count", service_of(got), got.sent_at,
                                 got.ended_at);
                 if (got.how == call_end::cut)
                 {
                     ledger_.on_cut(node, "GET " + prefix, got.sent_at,
                                    got.ended_at);
                 }
             });
}

auto clients::ask_for_all() -> void
{
    for (auto const& id : ledger_.accepted())
    {
        unanswered_.insert(id);
    }
    for (auto const& id : unanswered())
    {
        ask_for(id);
    }
}

auto clients::unanswered() const -> std::vector<std::string>
{
    return {unanswered_.begin(), unanswered_.end()};
}

} // namespace apricotlb::soak
