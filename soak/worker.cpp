#include "soak/worker.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace apricotlb::soak
{

namespace
{

using std::chrono::milliseconds;

constexpr auto heartbeat = milliseconds{1100};
constexpr auto beat_timeout = milliseconds{1000};
constexpr auto lease_check = milliseconds{20};
constexpr auto stop_time = milliseconds{60};
constexpr auto drain_time = milliseconds{2000};
/// A worker whose drain nobody acknowledges leaves all the same.
constexpr auto unheard_drain = milliseconds{5000};
/// The clock of a life begins anywhere below this, so that deadlines of a
/// former one lie ahead of it or behind.
constexpr std::uint64_t last_clock_begin_ms = 10'000'000;
constexpr std::int64_t max_hold_ms = 10'000;
constexpr std::int64_t checkpoint_ms = 1000;
constexpr std::size_t max_listed = 500;
/// Of 1000 runs.
constexpr std::uint64_t failing = 15;
constexpr std::uint64_t stragglers = 30;
constexpr int straggler_factor = 7;

} // namespace

worker::worker(glib_clock& clock, ledger& seen, std::uint64_t seed,
               worker_place place, std::vector<std::string> control)
    : clock_(clock), ledger_(seen), random_(seed), place_(std::move(place)),
      control_(std::move(control)),
      server_([this](http_text const& request, http_server::reply const& reply)
              { serve(request, reply); }),
      proxy_(clock, place_.proxy_at, place_.listen_at), id_(place_.id)
{
    proxy_.on_request = [this](http_text const& it, std::string const& from)
    { note_order(it, from); };
    (void)proxy_.open();
    check_lease();
}

auto worker::clock_ms() const -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(clock_.now() - clock_zero_)
        .count();
}

auto worker::start(bool keeps_id) -> void
{
    ++life_;
    on_left = {};
    server_.close();
    if (!keeps_id)
    {
        id_ = place_.id + "-" + std::to_string(life_);
    }
    is_up_ = server_.open(place_.listen_at);
    is_frozen_ = false;
    is_leaving_ = false;
    state_ = "ready";
    clock_zero_ = clock_.now() - milliseconds{random_() % last_clock_begin_ms};
    born_ = (std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch()) +
             clock_offset_)
                .count();
    sequence_ = fence_ = deadline_ = last_end_ = 0;
    late_ = {};
    closed_.clear();
    reads_since_ = clock_.now();
    ends_.clear();
    beat_to_.clear();
    next_control_ = random_() % control_.size();
    beats_.reset();
    proxy_.regain_target(random_());
    // Until it is heard, calls are meant for its former life.
    in_life(milliseconds{random_() % heartbeat.count()}, [this] { beat(); });
}

auto worker::crash(bool dark) -> void
{
    if (dark)
    {
        proxy_.lose_target(random_());
    }
    end_life("crashed");
}

auto worker::end_life(std::string const& how) -> void
{
    is_up_ = false;
    server_.close();
    holds_.clear();
    for (auto& [task, it] : runs_)
    {
        clock_.cancel_timer(it.end_timer);
        ledger_.on_end(it.key, how, clock_.now());
    }
    runs_.clear();
    beats_.reset();
}

auto worker::freeze(bool frozen) -> void
{
    if (is_frozen_ && !frozen)
    {
        reads_since_ = clock_.now();
    }
    is_frozen_ = frozen;
    server_.pause(frozen);
}

auto worker::drain() -> void
{
    if (is_up_ && state_ == "ready")
    {
        state_ = "draining";
        beats_.reset();
        beat();
        in_life(unheard_drain,
                [this]
                {
                    if (!is_leaving_)
                    {
                        leave();
                    }
                });
    }
}

auto worker::in_life(duration after, std::function<void()> act) -> void
{
    clock_.start_timer(after,
                       [this, life = life_, act = std::move(act)]
                       {
                           if (life == life_ && is_up_)
                           {
                               act();
                           }
                       });
}

auto worker::beat() -> void
{
    if (is_frozen_ || proxy_.harm().holds_announcements ||
        (beats_ && beats_->is_busy()))
    {
        in_life(heartbeat, [this] { beat(); });
        return;
    }
    auto const target =
        beat_to_.empty() ? control_[next_control_ % control_.size()] : beat_to_;
    if (!beats_ || beats_->address() != target)
    {
        beats_ = std::make_unique<http_connection>(clock_, target);
    }
    json body{{"service", "s"},
              {"address", place_.proxy_at},
              {"zone", place_.zone},
              {"version", "v1"},
              {"slots", 8},
              {"state", state_},
              {"cold_remaining_ms", 0},
              {"capacity",
               {{"cpu", place_.cpu}, {"mem_mb", place_.mem_mb}, {"gpu", 0}}},
              {"labels", {"a", place_.rack}},
              {"clock_ms", clock_ms()},
              {"born", born_},
              {"seq", ++sequence_}};
    if (state_ == "draining")
    {
        body["drain_remaining_ms"] = milliseconds{drain_time}.count();
    }
    beats_->call(
        {"PUT", "/instances/" + id_, target, body.dump(), beat_timeout},
        [this, life = life_, state = state_](call_result const& it)
        {
            if (life == life_ && is_up_)
            {
                take_beat_answer(state, it);
            }
        });
}

auto worker::take_beat_answer(std::string const& state, call_result const& it)
    -> void
{
    constexpr auto retry_delay = milliseconds{20};
    if (!it.is_success())
    {
        beat_to_.clear();
        ++next_control_;
        in_life(retry_delay, [this] { beat(); });
        return;
    }
    auto const got = json::parse(it.answer.body, nullptr, false);
    if (got.is_object() && got.contains("heartbeat_addr"))
    {
        beat_to_ = got["heartbeat_addr"].get<std::string>();
    }
    if (state == "draining" && !std::exchange(is_leaving_, true))
    {
        ledger_.on_drain_acknowledged(name(), life_, clock_.now());
        in_life(drain_time + milliseconds{random_() % 2000},
                [this] { leave(); });
    }
    in_life(heartbeat, [this] { beat(); });
}

auto worker::leave() -> void
{
    auto const target = beat_to_.empty() ? control_.front() : beat_to_;
    end_life("left");
    beats_ = std::make_unique<http_connection>(clock_, target);
    beats_->call({"DELETE", "/instances/" + id_, target, "", beat_timeout},
                 [](call_result const&) {});
    if (on_left)
    {
        std::exchange(on_left, {})();
    }
}

auto worker::note_order(http_text const& request, std::string const& from)
    -> void
{
    auto const body = json::parse(request.body, nullptr, false);
    if (request.first_line.starts_with("POST /run-start ") && body.is_object())
    {
        ordered_[{body.value("task", std::string{}),
                  body.value("run_id", std::int64_t{0})}] = {from,
                                                             clock_.now()};
    }
}

auto worker::serve(http_text const& request, http_server::reply const& reply)
    -> void
{
    auto const path = request.first_line.substr(
        request.first_line.find(' ') + 1,
        request.first_line.rfind(' ') - request.first_line.find(' ') - 1);
    auto const target = request.header("target-instance");
    if (!target.empty() && target != id_)
    {
        reply(421, "{}");
        return;
    }
    auto const body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        reply(400, "{}");
        return;
    }
    if (late_ == duration{} || path == "/hold")
    {
        carry_out(path, body, reply, false);
        return;
    }
    in_life(late_,
            [this, path, body]
            {
                carry_out(
                    path, body, [](int, std::string const&) {}, true);
            });
}

auto worker::carry_out(std::string const& path, json const& body,
                       http_server::reply const& reply, bool is_late) -> void
{
    end_if_lapsed();
    auto const fence = body.value("fencing_token", std::int64_t{0});
    if (fence < fence_)
    {
        reject(reply, "fence");
        return;
    }
    fence_ = fence;
    if (body.contains("deadline_ms"))
    {
        deadline_ = std::max(deadline_,
                             std::min(body["deadline_ms"].get<std::int64_t>(),
                                      clock_ms() + max_hold_ms));
    }
    path == "/run-start"  ? start_run(body, reply, is_late)
    : path == "/run-stop" ? stop_run(body, reply)
    : path == "/pace"     ? pace_run(body, reply)
    : path == "/hold"     ? hold(body, reply)
                          : reply(404, "{}");
}

auto worker::reject(http_server::reply const& reply, char const* reason) -> void
{
    reply(409, json{{"clock_ms", clock_ms()}, {"reason", reason}}.dump());
}

auto worker::start_run(json const& body, http_server::reply const& reply,
                       bool is_late) -> void
{
    auto const task = body.value("task", std::string{});
    auto const number = body.value("run_id", std::int64_t{0});
    auto const known = runs_.find(task);
    if (known != runs_.end() && known->second.key.number == number)
    {
        reply(200, json{{"clock_ms", clock_ms()}}.dump());
        return;
    }
    auto const is_old = known != runs_.end() || number <= closed_[task];
    if (is_old || body.value("deadline_ms", std::int64_t{0}) <= clock_ms())
    {
        reject(reply, is_old ? "old" : "late");
        return;
    }
    run it;
    it.key = {task, number, name(), life_};
    it.checkpoint = body.value("checkpoint", std::string{});
    auto const parsed = task_name::parse(task);
    auto const* const plan =
        parsed ? ledger_.plan_of(parsed->workflow) : nullptr;
    if (plan != nullptr &&
        static_cast<std::size_t>(parsed->step) < plan->steps.size())
    {
        it.step = plan->steps[static_cast<std::size_t>(parsed->step)];
    }
    auto const left = room();
    if ((it.step.scavenges ? 0 : it.step.cpu) > left.cpu_free ||
        it.step.mem_mb > left.mem_free_mb)
    {
        reject(reply, "room");
        return;
    }
    auto const luck = random_() % 1000;
    it.fails = luck < failing;
    it.work_left =
        it.step.run_time * (luck >= 1000 - stragglers ? straggler_factor : 1);
    it.since = clock_.now();
    auto const order = ordered_.find({task, number});
    auto const origin =
        order == ordered_.end() ? order_origin{} : order->second;
    auto const held_since =
        origin.sent_at && (is_late || *origin.sent_at < reads_since_)
            ? origin.sent_at
            : std::nullopt;
    if (before_start)
    {
        before_start();
    }
    ledger_.on_start(it.key, body.value("spec", std::string{}), it.checkpoint,
                     is_late, clock_.now(), held_since, origin);
    auto& added = runs_[task] = std::move(it);
    arm_end(added);
    reply(200, json{{"clock_ms", clock_ms()}}.dump());
}

auto worker::room() const -> worker_room
{
    auto const& harm = proxy_.harm();
    worker_room out{.worker = name(),
                    .cpu = place_.cpu,
                    .mem_mb = place_.mem_mb,
                    .cpu_free = place_.cpu,
                    .mem_free_mb = place_.mem_mb,
                    .takes_starts = is_up_ && !is_frozen_ &&
                                    state_ == "ready" && !harm.holds_requests &&
                                    !harm.holds_answers};
    for (auto const& [task, it] : runs_)
    {
        out.cpu_free -= it.step.scavenges ? 0 : it.step.cpu;
        out.mem_free_mb -= it.step.mem_mb;
    }
    return out;
}

/// Counts the work since the last change of the pace.
auto worker::advance(run& it) -> void
{
    auto const now = clock_.now();
    it.work_left -= (now - it.since) * it.pace / 100;
    it.since = now;
}

auto worker::arm_end(run& it) -> void
{
    clock_.cancel_timer(std::exchange(it.end_timer, {}));
    if (it.step.permanent || it.pace == 0)
    {
        return;
    }
    auto const after = std::max(duration{}, it.work_left * 100 / it.pace);
    it.end_timer = clock_.start_timer(
        after,
        [this, key = it.key]
        {
            if (is_running(key))
            {
                runs_.at(key.task).end_timer = {};
                end_if_lapsed();
            }
            if (is_running(key))
            {
                end_run(key.task, runs_.at(key.task).fails ? "failed" : "done");
            }
        });
}

auto worker::is_running(run_key const& it) const -> bool
{
    auto const found = runs_.find(it.task);
    return found != runs_.end() && found->second.key == it;
}

auto worker::stop_run(json const& body, http_server::reply const& reply) -> void
{
    auto const task = body.value("task", std::string{});
    auto const number = body.value("run_id", std::int64_t{0});
    closed_[task] = std::max(closed_[task], number);
    auto const known = runs_.find(task);
    if (known != runs_.end() && known->second.key.number <= number)
    {
        clock_.start_timer(stop_time,
                           [this, key = known->second.key]
                           {
                               if (is_running(key))
                               {
                                   end_run(key.task, "stopped");
                               }
                           });
    }
    reply(200, json{{"clock_ms", clock_ms()}}.dump());
}

auto worker::pace_run(json const& body, http_server::reply const& reply) -> void
{
    auto const known = runs_.find(body.value("task", std::string{}));
    if (known != runs_.end() &&
        known->second.key.number == body.value("run_id", std::int64_t{0}))
    {
        advance(known->second);
        known->second.pace = body.value("percent", 100);
        arm_end(known->second);
    }
    reply(200, json{{"clock_ms", clock_ms()}}.dump());
}

auto worker::end_run(std::string const& task, std::string const& how) -> void
{
    auto node = runs_.extract(task);
    auto& it = node.mapped();
    clock_.cancel_timer(it.end_timer);
    if (it.step.checkpoints && (how == "stopped" || it.step.permanent))
    {
        save(it);
    }
    closed_[task] = std::max(closed_[task], it.key.number);
    ledger_.on_end(it.key, how, clock_.now());
    ends_.push_back({++last_end_, it.key, how, it.checkpoint, false});
    answer_holds();
}

auto worker::save(run& it) -> void
{
    it.checkpoint = id_ + "-" + std::to_string(born_) + "-" +
                    std::to_string(++checkpoints_);
    ledger_.on_checkpoint(it.key.task, it.checkpoint);
}

auto worker::answer_holds() -> void
{
    for (auto const& answer : std::exchange(holds_, {}))
    {
        answer();
    }
}

auto worker::hold(json const& body, http_server::reply const& reply) -> void
{
    auto const seen = body.value("ack_cursor", std::int64_t{0});
    while (!ends_.empty() && ends_.front().number <= seen)
    {
        if (!ends_.front().lapsed_since)
        {
            ledger_.on_end_recorded(ends_.front().key, clock_.now());
        }
        ends_.pop_front();
    }
    auto const is_answered = std::make_shared<bool>(false);
    auto const answer = [this, reply, is_answered, life = life_]
    {
        if (!std::exchange(*is_answered, true) && life == life_ && is_up_)
        {
            reply(200, lists());
        }
    };
    auto const wait = body.value("wait_ms", std::int64_t{0});
    if (wait == 0 || !ends_.empty())
    {
        answer();
        return;
    }
    holds_.push_back(answer);
    clock_.start_timer(milliseconds{wait}, answer);
}

auto worker::lists() const -> std::string
{
    auto rows = json::array();
    std::int64_t paces{0};
    for (auto const& [task, it] : runs_)
    {
        paces += it.step.scavenges ? it.pace : 0;
    }
    for (auto const& [task, it] : runs_)
    {
        // A serving task lists its tail latency in ms, another its processors.
        constexpr std::int64_t usual_tail{40};
        constexpr std::int64_t full_pace{100};
        rows.push_back({task, it.key.number, it.checkpoint, it.pace,
                        it.step.permanent
                            ? usual_tail + paces * disturbance_ms_ / full_pace
                            : it.step.cpu});
    }
    auto ended_rows = json::array();
    for (auto const& it : ends_)
    {
        if (ended_rows.size() < max_listed)
        {
            ended_rows.push_back(
                {it.number, it.key.task, it.key.number, it.how, it.checkpoint});
        }
    }
    return json{{"clock_ms", clock_ms()},
                {"born", born_},
                {"running", rows},
                {"finished", ended_rows}}
        .dump();
}

/// Ends all runs when the lease is over; between, runs save their progress.
auto worker::check_lease() -> void
{
    clock_.start_timer(lease_check, [this] { check_lease(); });
    if (!is_up_)
    {
        return;
    }
    for (auto& [task, it] : runs_)
    {
        auto const age =
            std::chrono::duration_cast<milliseconds>(clock_.now() - it.since)
                .count();
        if (it.step.checkpoints && age >= checkpoint_ms)
        {
            advance(it);
            save(it);
        }
    }
    end_if_lapsed();
}

auto worker::end_if_lapsed() -> void
{
    if (!is_up_ || clock_ms() <= deadline_)
    {
        return;
    }
    for (auto& it : ends_)
    {
        it.lapsed_since = true;
    }
    while (!runs_.empty())
    {
        end_run(std::string{runs_.begin()->first}, "lapsed");
    }
}

} // namespace apricotlb::soak
