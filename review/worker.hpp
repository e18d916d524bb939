/// Stand-in for a worker of the users' platform, and the ledger of what runs.
#ifndef APRICOTLB_REVIEW_WORKER_HPP
#define APRICOTLB_REVIEW_WORKER_HPP

#include "http.hpp"
#include "loop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review
{

using json = nlohmann::json;

/// Writes what happens to a file, one line for each event.
class record_file
{
public:
    record_file(event_loop& loop, std::string const& path)
        : loop_(loop), out_(path)
    {
    }
    auto line(std::string const& text) -> void
    {
        out_ << loop_.now() << " ms  " << text << std::endl;
    }

private:
    event_loop& loop_;
    std::ofstream out_;
};

/// Runs of tasks as the workers have seen them, for the rule TWICE.
class ledger
{
public:
    struct run
    {
        std::string task;
        std::int64_t number{0};
        std::string worker;
        int life{0};
        milliseconds begin{0};
        std::optional<milliseconds> end;
        std::string how;
        bool noted{false}; ///< its end was taken note of
    };

    ledger(event_loop& loop, record_file& record) : loop_(loop), record_(record)
    {
    }

    auto begin(std::string const& task, std::int64_t number,
               std::string const& worker, int life) -> std::size_t
    {
        record_.line("start    " + task + " run " + std::to_string(number) +
                     " on " + worker + " life " + std::to_string(life));
        for (auto const& it : runs_)
        {
            if (it.task != task)
            {
                continue;
            }
            if (!it.end)
            {
                breaks_.push_back(task + ": run " + std::to_string(number) +
                                  " starts on " + worker + " while run " +
                                  std::to_string(it.number) +
                                  " is at work on " + it.worker);
                record_.line("TWICE    " + breaks_.back());
            }
            else if (it.how == "done" && it.noted)
            {
                breaks_.push_back(task + ": run " + std::to_string(number) +
                                  " starts on " + worker + " after run " +
                                  std::to_string(it.number) +
                                  " ended as done and was taken note of");
                record_.line("TWICE    " + breaks_.back());
            }
        }
        runs_.push_back(
            {task, number, worker, life, loop_.now(), std::nullopt, {}, false});
        return runs_.size() - 1;
    }
    auto end(std::size_t at, std::string const& how) -> void
    {
        auto& it = runs_[at];
        it.end = loop_.now();
        it.how = how;
        record_.line("end      " + it.task + " run " +
                     std::to_string(it.number) + " on " + it.worker + " " +
                     how);
    }
    auto note(std::size_t at) -> void
    {
        auto& it = runs_[at];
        if (!std::exchange(it.noted, true))
        {
            record_.line("noted    " + it.task + " run " +
                         std::to_string(it.number) + " on " + it.worker + " " +
                         it.how);
        }
    }

    [[nodiscard]] auto runs() const -> std::vector<run> const& { return runs_; }
    [[nodiscard]] auto breaks() const -> std::vector<std::string> const&
    {
        return breaks_;
    }
    [[nodiscard]] auto count_running(std::string const& worker) const
        -> std::int64_t
    {
        return std::ranges::count_if(
            runs_,
            [&](run const& it) { return it.worker == worker && !it.end; });
    }

private:
    event_loop& loop_;
    record_file& record_;
    std::vector<run> runs_;
    std::vector<std::string> breaks_;
};

struct worker_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    std::vector<std::string> control; ///< the operator's list
    std::int64_t cpu{8000};
    std::int64_t mem_mb{64000};
    std::string rack{"r1"};
    milliseconds heartbeat{1500};
    milliseconds max_hold{6000};
    milliseconds stop_time{20};
    milliseconds drain{2000};
};

/// Guards its capacity, obeys fences and leases, lists ends until they are
/// acknowledged. The spec of a job names the run time of its tasks in
/// milliseconds; 0 is a task that lasts.
class worker
{
public:
    worker(event_loop& loop, ledger& all, record_file& record,
           worker_options options)
        : loop_(loop), ledger_(all), record_(record),
          options_(std::move(options)),
          server_(loop, [this](http_message const& request,
                               http_server::reply const& reply)
                  { serve(request, reply); })
    {
    }

    /// Begins a life: knows and runs nothing of before.
    auto start() -> void
    {
        ++life_;
        is_up_ = true;
        is_dark_ = false;
        state_ = "ready";
        started_ = loop_.now();
        born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        sequence_ = 0;
        fence_ = 0;
        deadline_ = 0;
        last_end_ = 0;
        running_.clear();
        closed_.clear();
        ends_.clear();
        waiting_.clear();
        beat_to_.clear();
        is_acknowledged_ = false;
        record_.line("up       " + options_.id + " life " +
                     std::to_string(life_));
        while (!server_.listen(options_.address))
        {
            loop_.run_for(5);
        }
        schedule_lease_check(life_);
        beat();
    }

    /// Ends at once, without a word.
    auto crash() -> void
    {
        record_.line("crash    " + options_.id + " life " +
                     std::to_string(life_));
        end_life("crashed");
    }

    /// Loses power: connections to it stay open and get no answer.
    auto go_dark() -> void
    {
        record_.line("dark     " + options_.id + " life " +
                     std::to_string(life_));
        is_dark_ = true;
        is_up_ = false;
        loop_.cancel(beat_timer_);
        end_runs("crashed");
    }

    /// Announces that it drains, and leaves after the time that the platform
    /// gives, as before a planned restart.
    auto drain_and_leave() -> void
    {
        state_ = "draining";
        record_.line("draining " + options_.id);
        loop_.cancel(beat_timer_);
        beat();
    }
    /// The control process that the next life calls first.
    auto call_first(std::size_t control) -> void { next_control_ = control; }
    /// True once the planned end has come.
    [[nodiscard]] auto is_up() const -> bool { return is_up_; }
    [[nodiscard]] auto is_acknowledged() const -> bool
    {
        return is_acknowledged_;
    }
    [[nodiscard]] auto beats_to() const -> std::string const&
    {
        return beat_to_;
    }
    [[nodiscard]] auto running() const -> std::size_t
    {
        return running_.size();
    }
    [[nodiscard]] auto id() const -> std::string const& { return options_.id; }
    [[nodiscard]] auto life() const -> int { return life_; }
    [[nodiscard]] auto ends() const -> std::int64_t { return last_end_; }

    /// Called right before the message that the worker leaves is sent.
    std::function<void()> before_leaving;
    /// Called at each start.
    std::function<void(std::string const& task)> on_start;

private:
    struct run
    {
        std::int64_t number{0};
        std::size_t entry{0}; ///< in the ledger
        std::int64_t cpu{0};
        milliseconds begin{0};
    };
    struct ended
    {
        std::int64_t number{0};
        std::string task;
        std::int64_t run{0};
        std::string how;
        std::size_t entry{0};
    };

    [[nodiscard]] auto clock() const -> std::int64_t
    {
        return loop_.now() - started_;
    }

    auto end_life(std::string const& how) -> void
    {
        is_up_ = false;
        loop_.cancel(beat_timer_);
        server_.close();
        end_runs(how);
    }
    auto end_runs(std::string const& how) -> void
    {
        for (auto const& [task, it] : running_)
        {
            ledger_.end(it.entry, how);
        }
        running_.clear();
        waiting_.clear();
    }

    // Heartbeats.

    auto beat() -> void
    {
        auto const target =
            beat_to_.empty()
                ? options_.control[next_control_ % options_.control.size()]
                : beat_to_;
        auto const life = life_;
        auto const state = state_;
        json body{
            {"service", options_.service},
            {"address", options_.address},
            {"zone", options_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", state_},
            {"cold_remaining_ms", 0},
            {"capacity",
             {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
            {"labels", {"a", options_.rack}},
            {"clock_ms", clock()},
            {"born", born_},
            {"seq", ++sequence_}};
        if (state_ == "draining")
        {
            body["drain_remaining_ms"] = options_.drain;
        }
        send_request(loop_, target, "PUT", "/instances/" + options_.id, {},
                     body.dump(), 1000,
                     [this, life, state](http_reply const& it)
                     {
                         if (life == life_ && is_up_)
                         {
                             take_beat_reply(state, it);
                         }
                     });
    }

    auto take_beat_reply(std::string const& state, http_reply const& it) -> void
    {
        if (it.status != 200)
        {
            beat_to_.clear();
            ++next_control_;
            beat_timer_ = loop_.after(20, [this] { beat(); });
            return;
        }
        auto const got = json::parse(it.body, nullptr, false);
        if (got.is_object() && got.contains("heartbeat_addr"))
        {
            beat_to_ = got["heartbeat_addr"].get<std::string>();
        }
        if (state == "draining" && !is_leaving_)
        {
            record_.line("drain acknowledged " + options_.id);
            is_leaving_ = true;
            loop_.after(options_.drain, [this] { leave(); });
        }
        is_acknowledged_ = true;
        beat_timer_ = loop_.after(options_.heartbeat, [this] { beat(); });
    }

    /// Tells that it leaves, to other nodes too if there is no answer, and
    /// ends.
    auto leave() -> void
    {
        loop_.cancel(beat_timer_);
        if (before_leaving)
        {
            before_leaving();
        }
        // Nothing runs any more once the worker says that it leaves.
        end_runs("left");
        server_.close();
        send_leave(beat_to_.empty() ? options_.control.front() : beat_to_, 2);
    }
    auto send_leave(std::string const& target, int tries) -> void
    {
        record_.line("leaving  " + options_.id + " tells " + target);
        send_request(
            loop_, target, "DELETE", "/instances/" + options_.id, {}, "", 1000,
            [this, target, tries](http_reply const& it)
            {
                record_.line("leaving  " + options_.id + " " + target +
                             " answers " + std::to_string(it.status));
                if (it.status != 200 && tries > 1)
                {
                    ++next_control_;
                    send_leave(options_.control[next_control_ %
                                                options_.control.size()],
                               tries - 1);
                    return;
                }
                record_.line("left     " + options_.id);
                is_leaving_ = false;
                end_life("left");
            });
    }

    // Orders.

    auto serve(http_message const& request, http_server::reply const& reply)
        -> void
    {
        if (is_dark_)
        {
            return;
        }
        auto const target = request.headers.find("target-instance");
        if (target != request.headers.end() && target->second != options_.id)
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
        auto const fence = body.value("fencing_token", std::int64_t{0});
        if (fence < fence_)
        {
            reject(reply, "fence");
            return;
        }
        fence_ = fence;
        if (body.contains("deadline_ms"))
        {
            deadline_ = std::max(
                deadline_, std::min(body["deadline_ms"].get<std::int64_t>(),
                                    clock() + options_.max_hold));
        }
        if (request.second == "/run-start")
        {
            start_run(body, reply);
        }
        else if (request.second == "/run-stop")
        {
            stop_run(body, reply);
        }
        else if (request.second == "/hold")
        {
            hold(body, reply);
        }
        else
        {
            reply(200, json{{"clock_ms", clock()}}.dump());
        }
    }

    auto reject(http_server::reply const& reply, std::string const& reason)
        -> void
    {
        reply(409, json{{"clock_ms", clock()}, {"reason", reason}}.dump());
    }

    auto start_run(json const& body, http_server::reply const& reply) -> void
    {
        auto const task = body["task"].get<std::string>();
        auto const number = body["run_id"].get<std::int64_t>();
        auto const known = running_.find(task);
        if (known != running_.end() && known->second.number == number)
        {
            reply(200, json{{"clock_ms", clock()}}.dump());
            return;
        }
        if (known != running_.end() || number <= closed_[task])
        {
            reject(reply, "old");
            return;
        }
        if (body["deadline_ms"].get<std::int64_t>() <= clock())
        {
            reject(reply, "late");
            return;
        }
        constexpr std::int64_t cpu_of_task{1000};
        auto const used =
            static_cast<std::int64_t>(running_.size()) * cpu_of_task;
        if (used + cpu_of_task > options_.cpu)
        {
            reject(reply, "room");
            return;
        }
        running_[task] = {number,
                          ledger_.begin(task, number, options_.id, life_),
                          cpu_of_task, loop_.now()};
        auto const time = std::atoll(body["spec"].get<std::string>().c_str());
        if (time > 0)
        {
            loop_.after(time, [this, task, number, life = life_]
                        { end_run(life, task, number, "done"); });
        }
        reply(200, json{{"clock_ms", clock()}}.dump());
        if (on_start)
        {
            on_start(task);
        }
    }

    auto stop_run(json const& body, http_server::reply const& reply) -> void
    {
        auto const task = body["task"].get<std::string>();
        auto const number = body["run_id"].get<std::int64_t>();
        auto const known = running_.find(task);
        if (known != running_.end() && known->second.number <= number)
        {
            auto const running = known->second.number;
            loop_.after(options_.stop_time, [this, task, running, life = life_]
                        { end_run(life, task, running, "stopped"); });
        }
        closed_[task] = std::max(closed_[task], number);
        reply(200, json{{"clock_ms", clock()}}.dump());
    }

    auto end_run(int life, std::string const& task, std::int64_t number,
                 std::string const& how) -> void
    {
        auto const it = running_.find(task);
        if (life != life_ || it == running_.end() ||
            it->second.number != number)
        {
            return;
        }
        ledger_.end(it->second.entry, how);
        closed_[task] = std::max(closed_[task], number);
        ends_.push_back({++last_end_, task, number, how, it->second.entry});
        running_.erase(it);
        for (auto const& answer : std::exchange(waiting_, {}))
        {
            answer();
        }
    }

    auto hold(json const& body, http_server::reply const& reply) -> void
    {
        auto const seen = body.value("ack_cursor", std::int64_t{0});
        std::erase_if(ends_,
                      [&](ended const& it)
                      {
                          if (it.number > seen)
                          {
                              return false;
                          }
                          ledger_.note(it.entry);
                          return true;
                      });
        auto const wait = body.value("wait_ms", std::int64_t{0});
        auto const is_answered = std::make_shared<bool>(false);
        auto const answer = [this, reply, is_answered, life = life_]
        {
            if (!std::exchange(*is_answered, true) && life == life_)
            {
                reply(200, lists());
            }
        };
        if (wait == 0 || !ends_.empty())
        {
            answer();
            return;
        }
        waiting_.push_back(answer);
        loop_.after(wait, answer);
    }

    [[nodiscard]] auto lists() const -> std::string
    {
        auto rows = json::array();
        for (auto const& [task, it] : running_)
        {
            rows.push_back({task, it.number, "", 100, 10});
        }
        auto ends = json::array();
        for (auto const& it : ends_)
        {
            ends.push_back({it.number, it.task, it.run, it.how, ""});
        }
        return json{{"clock_ms", clock()},
                    {"born", born_},
                    {"running", rows},
                    {"finished", ends}}
            .dump();
    }

    /// Everything that runs is ended once the lease is over.
    auto schedule_lease_check(int life) -> void
    {
        loop_.after(10,
                    [this, life]
                    {
                        if (life != life_ || !is_up_)
                        {
                            return;
                        }
                        if (clock() > deadline_)
                        {
                            auto const all = running_;
                            for (auto const& [task, it] : all)
                            {
                                end_run(life, task, it.number, "lapsed");
                            }
                        }
                        schedule_lease_check(life);
                    });
    }

    event_loop& loop_;
    ledger& ledger_;
    record_file& record_;
    worker_options options_;
    http_server server_;
    int life_{0};
    bool is_up_{false};
    bool is_dark_{false};
    bool is_leaving_{false};
    bool is_acknowledged_{false};
    std::string state_{"ready"};
    milliseconds started_{0};
    std::int64_t born_{0};
    std::int64_t sequence_{0};
    std::int64_t fence_{0};
    std::int64_t deadline_{0};
    std::int64_t last_end_{0};
    std::map<std::string, run> running_;
    std::map<std::string, std::int64_t> closed_;
    std::deque<ended> ends_;
    std::vector<std::function<void()>> waiting_;
    std::string beat_to_;
    std::size_t next_control_{0};
    event_loop::timer beat_timer_{0};
};

} // namespace review

#endif
