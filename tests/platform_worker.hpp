/// Stand-in for a worker that speaks the platform's protocol.
#ifndef APRICOTLB_TESTS_PLATFORM_WORKER_HPP
#define APRICOTLB_TESTS_PLATFORM_WORKER_HPP

#include "adapters/curl_requests.hpp"
#include "adapters/json_codec.hpp"
#include "platform/answers.hpp"
#include "platform/fields.hpp"
#include "platform/wire.hpp"

#include <apricotlb/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Runs tasks under one lease on its own clock, obeys fences, rejects what
/// does not fit, unless it accepts everything, and lists ends until they are
/// acknowledged.
class platform_worker
{
public:
    struct run
    {
        std::int64_t number{0};
        time_point ends{};
        std::string how{"done"};
        std::int64_t cpu{0};
        std::int64_t pace{100}; ///< percent
    };
    struct ended
    {
        std::int64_t number{0};
        std::string task;
        std::int64_t run{0};
        std::string how;
        time_point at{};
        bool has_lapsed{false}; ///< its lease was over since then
    };

    platform_worker(worker_id id, std::int64_t cpu,
                    std::int64_t incarnation_number)
        : id_(std::move(id)), cpu_(cpu), born_(incarnation_number)
    {
    }

    /// Called for each end that is acknowledged, before it is forgotten.
    std::function<void(ended const&)> on_released;

    /// Called for each run that begins.
    std::function<void(std::string const& task, time_point now)> on_started;

    /// What tasks need and how their runs go; set by the test.
    std::function<run(std::string const& task)> behaviour;

    /// Fifth entry of a task's row in the list; 0 if it is not set.
    std::function<std::int64_t(std::string const& task)> load;

    std::string rack{"r1"};
    std::string pool{"pool"};
    std::string address; ///< follows from its id if it is empty

    /// Starts also what exceeds the capacity.
    bool accepts_everything{false};
    /// Longer leases are shortened to this.
    milliseconds longest_lease{std::chrono::hours{10}};
    /// Rejects all orders as an unhealthy worker does, without any effect.
    bool rejects_everything{false};
    std::string zone{"z1"};
    /// When it is warm; it says in each heartbeat how long that takes.
    time_point warm_at{};

    /// Changes the capacity that the next heartbeat announces.
    auto resize(std::int64_t cpu) -> void { cpu_ = cpu; }
    auto note_announced() -> void { announced_cpu_ = cpu_; }
    /// Starts that brought the worker over the capacity that it had announced.
    [[nodiscard]] auto starts_over_capacity() const -> std::size_t
    {
        return starts_over_capacity_;
    }

    /// Lets time pass: runs end, and all end when the lease is over.
    auto advance(time_point now) -> void
    {
        for (auto it = running_.begin(); it != running_.end();)
        {
            if (it->second.ends <= now)
            {
                end(it->first, it->second.number, it->second.how,
                    it->second.ends);
                it = running_.erase(it);
            }
            else
            {
                ++it;
            }
        }
        if (clock(now) > lease_)
        {
            for (auto const& [task, it] : running_)
            {
                end(task, it.number, "lapsed", now);
            }
            running_.clear();
            for (auto& it : ended_)
            {
                it.has_lapsed = true;
            }
        }
    }

    /// Carries out one request.
    auto serve(outgoing_request const& it, time_point now) -> http_answer
    {
        advance(now);
        if (rejects_everything)
        {
            return platform::json_answer(503, "{}");
        }
        auto const tree = parse_json(it.body).value();
        platform::fields in{tree};
        for (auto const& [name, value] : it.headers)
        {
            if (name == "Target-Instance" && value != id_.value())
            {
                return platform::json_answer(421, "{}");
            }
        }
        auto const fence = in.integer("fencing_token");
        if (fence < fence_)
        {
            ++fenced_requests_;
            return reject(now, "fence");
        }
        fence_ = fence;
        auto const& to = it.to.value();
        if (to.ends_with("/run-start"))
        {
            return start(in, now);
        }
        if (to.ends_with("/run-stop"))
        {
            return stop(in, now);
        }
        if (to.ends_with("/hold"))
        {
            return hold(in, now);
        }
        return pace(in, now);
    }

    /// Another leader has used this fencing token.
    auto raise_fence(std::int64_t token) -> void { fence_ = token; }
    /// Orders and polls that were refused for their fencing tokens.
    [[nodiscard]] auto fenced_requests() const -> std::size_t
    {
        return fenced_requests_;
    }

    /// Forgets everything, as a crash does, and starts under the same id. The
    /// clock of the new life begins at `first_clock`.
    auto restart(std::int64_t incarnation_number, time_point now,
                 milliseconds first_clock = {}) -> void
    {
        auto released = std::move(on_released);
        auto begun = std::move(on_started);
        auto const accepts = accepts_everything;
        auto const shortened_to = longest_lease;
        auto const same_rack = rack;
        auto in_zone = zone;
        auto reported_load = std::move(load);
        auto in_pool = pool;
        auto at = address;
        *this = platform_worker{id_, cpu_, incarnation_number,
                                std::move(behaviour)};
        on_released = std::move(released);
        on_started = std::move(begun);
        first_clock_ = first_clock;
        accepts_everything = accepts;
        longest_lease = shortened_to;
        rack = same_rack;
        zone = std::move(in_zone);
        load = std::move(reported_load);
        pool = std::move(in_pool);
        address = std::move(at);
        started_ = now;
    }

    [[nodiscard]] auto heartbeat(time_point now, std::string const& state) const
        -> std::string
    {
        return print_json({json_value::object{
            {"service", {pool}},
            {"address", {address.empty() ? id_.value() + ":1" : address}},
            {"zone", {zone}},
            {"cold_remaining_ms",
             {std::max<std::int64_t>(
                 0, std::chrono::duration_cast<milliseconds>(warm_at - now)
                        .count())}},
            {"state", {state}},
            {"seq", {static_cast<std::int64_t>(clock(now) + 1)}},
            {"born", {born_}},
            {"clock_ms", {clock(now)}},
            {"labels", {json_value::array{{std::string{"a"}}, {rack}}}},
            {"capacity",
             {json_value::object{{"cpu", {cpu_}},
                                 {"mem_mb", {std::int64_t{64'000}}}}}}}});
    }

    [[nodiscard]] auto running() const -> std::map<std::string, run> const&
    {
        return running_;
    }
    [[nodiscard]] auto unacknowledged() const -> std::size_t
    {
        return ended_.size();
    }
    [[nodiscard]] auto most_used() const -> std::int64_t { return most_used_; }

private:
    platform_worker(worker_id id, std::int64_t cpu,
                    std::int64_t incarnation_number,
                    std::function<run(std::string const&)> how)
        : behaviour(std::move(how)), id_(std::move(id)), cpu_(cpu),
          born_(incarnation_number)
    {
    }

    [[nodiscard]] auto clock(time_point now) const -> std::int64_t
    {
        // 2 % slow, the worst that the platform allows.
        return first_clock_.count() +
               std::chrono::duration_cast<milliseconds>(now - started_)
                       .count() *
                   98 / 100;
    }
    [[nodiscard]] auto clock_body(time_point now) const -> std::string
    {
        return print_json({json_value::object{{"clock_ms", {clock(now)}}}});
    }
    auto reject(time_point now, std::string reason) const -> http_answer
    {
        return platform::json_answer(
            409, print_json({json_value::object{{"clock_ms", {clock(now)}},
                                                {"reason", {reason}}}}));
    }

    auto extend_lease(platform::fields& in, time_point now) -> void
    {
        lease_ = std::max(lease_, std::min(in.integer("deadline_ms"),
                                           clock(now) + longest_lease.count()));
    }

    auto start(platform::fields& in, time_point now) -> http_answer
    {
        auto const task = in.text("task");
        auto const number = in.integer("run_id");
        extend_lease(in, now);
        if (in.integer("deadline_ms") <= clock(now))
        {
            return reject(now, "late");
        }
        if (auto const it = running_.find(task); it != running_.end())
        {
            return it->second.number == number
                       ? platform::json_answer(200, clock_body(now))
                       : reject(now, "old");
        }
        if (number <= closed_[task])
        {
            return reject(now, "old");
        }
        auto made = behaviour(task);
        made.number = number;
        made.ends += now.time_since_epoch();
        auto used = made.cpu;
        for (auto const& [name, it] : running_)
        {
            used += it.cpu;
        }
        if (used > cpu_ && !accepts_everything)
        {
            return reject(now, "room");
        }
        starts_over_capacity_ += used > announced_cpu_ ? 1 : 0;
        most_used_ = std::max(most_used_, used);
        running_[task] = made;
        if (on_started)
        {
            on_started(task, now);
        }
        return platform::json_answer(200, clock_body(now));
    }

    auto stop(platform::fields& in, time_point now) -> http_answer
    {
        auto const task = in.text("task");
        auto const number = in.integer("run_id");
        closed_[task] = std::max(closed_[task], number);
        auto const it = running_.find(task);
        if (it != running_.end() && it->second.number <= number)
        {
            end(task, it->second.number, "stopped", now);
            running_.erase(it);
        }
        return platform::json_answer(200, clock_body(now));
    }

    auto pace(platform::fields& in, time_point now) -> http_answer
    {
        auto const it = running_.find(in.text("task"));
        if (it != running_.end() && it->second.number == in.integer("run_id"))
        {
            it->second.pace = in.integer("percent");
        }
        return platform::json_answer(200, clock_body(now));
    }

    auto hold(platform::fields& in, time_point now) -> http_answer
    {
        extend_lease(in, now);
        auto const seen = in.integer("ack_cursor");
        std::erase_if(ended_,
                      [this, seen](ended const& it)
                      {
                          auto const is_released = it.number <= seen;
                          if (is_released && on_released)
                          {
                              on_released(it);
                          }
                          return is_released;
                      });
        json_value::array rows;
        for (auto const& [task, it] : running_)
        {
            rows.push_back(
                {json_value::array{{task},
                                   {it.number},
                                   {std::string{}},
                                   {std::int64_t{100}},
                                   {load ? load(task) : std::int64_t{0}}}});
        }
        json_value::array ends;
        for (auto const& it : ended_)
        {
            ends.push_back({json_value::array{
                {it.number}, {it.task}, {it.run}, {it.how}, {std::string{}}}});
        }
        return platform::json_answer(
            200,
            print_json({json_value::object{{"clock_ms", {clock(now)}},
                                           {"born", {born_}},
                                           {"running", {std::move(rows)}},
                                           {"finished", {std::move(ends)}}}}));
    }

    auto end(std::string const& task, std::int64_t number, std::string how,
             time_point now) -> void
    {
        closed_[task] = std::max(closed_[task], number);
        ended_.push_back({++last_end_, task, number, std::move(how), now});
    }

    worker_id id_;
    std::int64_t cpu_;
    std::int64_t announced_cpu_{cpu_};
    std::int64_t born_;
    time_point started_{};
    milliseconds first_clock_{};
    std::int64_t fence_{0};
    std::int64_t lease_{0};
    std::int64_t last_end_{0};
    std::int64_t most_used_{0};
    std::size_t starts_over_capacity_{0};
    std::size_t fenced_requests_{0};
    std::map<std::string, run> running_;
    std::map<std::string, std::int64_t> closed_;
    std::vector<ended> ended_;
};

} // namespace apricotlb

#endif
