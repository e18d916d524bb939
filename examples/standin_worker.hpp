/// Stand-in of a worker: runs tasks as timers under leases.
#ifndef APRICOTLB_EXAMPLES_STANDIN_WORKER_HPP
#define APRICOTLB_EXAMPLES_STANDIN_WORKER_HPP

#include "adapters/glib_clock.hpp"
#include "adapters/json_codec.hpp"
#include "core/messages.hpp"
#include "http.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/job.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace apricotlb::examples
{

/// Names a task among those of all customers.
using task_key = std::pair<customer_id, task_id>;

/// What the workers of this process did, seen from outside the system.
struct task_stats
{
    std::map<task_key, std::uint64_t> ends; ///< runs to the end, by task
    std::map<task_key, int> running;        ///< attempts running now
    std::uint64_t started{0};
    std::uint64_t overlaps{0};
    std::uint64_t checkpoints{0};
    std::uint64_t stopped{0};
    std::uint64_t lease_ends{0};
    std::uint64_t refused{0};
    std::uint64_t malformed{0}; ///< answers that could not be read

    auto begin(task_key const& it) -> void
    {
        ++started;
        overlaps += ++running[it] > 1 ? 1U : 0U;
    }
    auto end(task_key const& it) -> void { --running[it]; }

    [[nodiscard]] auto to_json() const -> json_value
    {
        std::uint64_t doubled{0};
        std::uint64_t now{0};
        for (auto const& [key, n] : ends)
        {
            doubled += n > 1 ? 1U : 0U;
        }
        for (auto const& [key, n] : running)
        {
            now += n > 0 ? 1U : 0U;
        }
        return json_value::object{{"started", started},
                                  {"running", now},
                                  {"finished", std::uint64_t{ends.size()}},
                                  {"doubled", doubled},
                                  {"overlaps", overlaps},
                                  {"checkpoints", checkpoints},
                                  {"stopped", stopped},
                                  {"lease_ends", lease_ends},
                                  {"refused", refused},
                                  {"malformed", malformed}};
    }
};

/// The number after "name=" in a payload.
inline auto payload_number(std::string const& payload, std::string const& name)
    -> std::optional<std::int64_t>
{
    auto const at = payload.find(name + "=");
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    return std::atoll(payload.c_str() + at + name.size() + 1);
}

class standin_worker
{
public:
    standin_worker(glib_clock& clock, http_client& client, entry_list entries,
                   std::string const& token, task_stats& stats)
        : clock_(clock), client_(client), entries_(std::move(entries)),
          headers_{{"Authorization", "Bearer " + token}}, stats_(stats),
          server_([this](http_request const& it) { serve(it); })
    {
    }
    standin_worker(standin_worker const&) = delete;
    auto operator=(standin_worker const&) -> standin_worker& = delete;
    ~standin_worker()
    {
        clock_.cancel_timer(timer_);
        for (auto const& [key, it] : tasks_)
        {
            clock_.cancel_timer(it.end_timer);
            clock_.cancel_timer(it.lease_timer);
        }
    }

    auto start(worker_info info, std::uint16_t port) -> bool
    {
        info_ = std::move(info);
        info_.address = url{server_.listen(port)};
        if (info_.address.value().empty())
        {
            return false;
        }
        report();
        return true;
    }

private:
    struct running_task
    {
        attempt_number attempt;
        resources committed;
        std::optional<duration> length; ///< none: runs until it is stopped
        bool fails{false};
        duration done{};
        permille rate{1000};
        time_point since{}; ///< when done and rate were last set
        timer_id end_timer;
        timer_id lease_timer;
    };

    /// What a command carries, as far as it is given.
    struct command_body
    {
        task_key key;
        attempt_number attempt;
        json_value const* tree;
    };

    auto serve(http_request const& it) -> void
    {
        if (it.path == "/stats")
        {
            it.answer_json(200, print_json(stats_.to_json()));
            return;
        }
        auto const parsed = parse_json(it.body);
        auto const command =
            parsed ? read_command(it, parsed.value()) : std::nullopt;
        if (!command)
        {
            refuse(it, error_kind::bad_request, "not a task command");
            return;
        }
        auto& newest = newest_[command->key];
        if (command->attempt < newest)
        {
            ++stats_.refused;
            refuse(it, error_kind::job_conflict,
                   "a later attempt of the task has been seen");
            return;
        }
        auto const verb = it.path.substr(it.path.rfind('/') + 1);
        if (verb == "start")
        {
            if (command->attempt == newest)
            {
                it.answer_json(200, "{}");
                return;
            }
            // The lease counts from a report of this run, so a start that
            // was meant for an earlier run or arrives late is refused.
            auto const lease = lease_left(*command->tree);
            if (lease <= duration{0})
            {
                ++stats_.refused;
                refuse(it, error_kind::lease_lapsed,
                       "the lease of this start has ended");
                return;
            }
            newest = command->attempt;
            drop(command->key, std::nullopt);
            begin(*command, lease);
            it.answer_json(200, "{}");
            return;
        }
        // A command for an attempt that has not started here also fences an
        // earlier one, so that a start that arrives late is refused.
        newest = command->attempt;
        auto const found = tasks_.find(command->key);
        if (found == tasks_.end() || found->second.attempt != command->attempt)
        {
            refuse(it, error_kind::not_found, "the attempt does not run here");
            return;
        }
        if (verb == "checkpoint")
        {
            auto const id = checkpoint(found->first, found->second);
            it.answer_json(200, print_json(json_value::object{
                                    {"checkpoint", id.value()}}));
        }
        else if (verb == "throttle")
        {
            set_rate(found->first, found->second,
                     permille{static_cast<std::int32_t>(
                         number(*command->tree, "to").value_or(1000))});
            it.answer_json(200, "{}");
        }
        else
        {
            ++stats_.stopped;
            drop(found->first, ended(found->first, attempt_end::stopped));
            it.answer_json(200, "{}");
        }
    }

    static auto refuse(http_request const& it, error_kind kind,
                       std::string detail) -> void
    {
        auto const status = answer_of(kind).status;
        it.answer(static_cast<unsigned>(status), "application/problem+json",
                  encode_problem(problem_of({kind, std::move(detail)})));
    }

    static auto number(json_value const& tree, std::string_view name)
        -> std::optional<std::int64_t>
    {
        auto const* it = tree.find(name);
        if (it == nullptr)
        {
            return std::nullopt;
        }
        if (auto const* n = it->get<std::uint64_t>())
        {
            return static_cast<std::int64_t>(*n);
        }
        // An attempt may be given with its task.
        return number(*it, "number");
    }

    static auto text(json_value const& tree, std::string_view name)
        -> std::string
    {
        auto const* it = tree.find(name);
        auto const* value = it == nullptr ? nullptr : it->get<std::string>();
        return value == nullptr ? std::string{} : *value;
    }

    /// Reads /v1/tasks/{job}/{index}/{verb} and the body's customer and
    /// attempt.
    static auto read_command(http_request const& it, json_value const& tree)
        -> std::optional<command_body>
    {
        std::string const prefix{"/v1/tasks/"};
        auto const verb = it.path.rfind('/');
        auto const index = verb == 0 ? 0 : it.path.rfind('/', verb - 1);
        auto const attempt = number(tree, "attempt");
        if (it.method != "POST" || !it.path.starts_with(prefix) ||
            index < prefix.size() || !attempt || text(tree, "customer").empty())
        {
            return std::nullopt;
        }
        job_id job{it.path.substr(prefix.size(), index - prefix.size())};
        task_index const n{static_cast<std::uint32_t>(
            std::atoll(it.path.c_str() + index + 1))};
        return command_body{
            {customer_id{text(tree, "customer")}, {std::move(job), n}},
            attempt_number{static_cast<std::uint32_t>(*attempt)},
            &tree};
    }

    /// What is left of the lease that a start grants.
    [[nodiscard]] auto lease_left(json_value const& tree) const -> duration
    {
        auto const report = number(tree, "report");
        auto const lease = number(tree, "lease_ms");
        if (!report || !lease)
        {
            return duration{0};
        }
        auto const sent =
            sent_reports_.find(sequence{static_cast<std::uint64_t>(*report)});
        if (sent == sent_reports_.end())
        {
            return duration{0};
        }
        return sent->second + milliseconds{*lease} - clock_.now();
    }

    auto begin(command_body const& it, duration lease) -> void
    {
        auto const payload = text(*it.tree, "payload");
        running_task task;
        task.attempt = it.attempt;
        if (auto const* committed = it.tree->find("committed"))
        {
            std::ignore =
                json_detail::read(*committed, task.committed, "committed");
        }
        if (auto const ms = payload_number(payload, "run_ms"))
        {
            task.length = milliseconds{*ms};
        }
        task.fails = payload_number(payload, "fail").value_or(0) != 0;
        // A checkpoint's id holds the work that it saved.
        task.done =
            milliseconds{payload_number(text(*it.tree, "checkpoint"), "done_ms")
                             .value_or(0)};
        task.since = clock_.now();
        stats_.begin(it.key);
        auto& stored = tasks_.insert_or_assign(it.key, task).first->second;
        schedule_end(it.key, stored);
        set_lease(it.key, stored, lease);
    }

    auto schedule_end(task_key const& key, running_task& it) -> void
    {
        clock_.cancel_timer(it.end_timer);
        if (!it.length || it.rate <= permille{0})
        {
            return;
        }
        auto const left = (*it.length - it.done) * 1000 / it.rate.value();
        auto const finish = [this, key]
        {
            auto const how = tasks_.at(key).fails ? attempt_end::failed
                                                  : attempt_end::finished;
            if (how == attempt_end::finished)
            {
                ++stats_.ends[key];
            }
            drop(key, ended(key, how));
        };
        it.end_timer = clock_.start_timer(std::max(left, duration{0}), finish);
    }

    auto set_lease(task_key const& key, running_task& it, duration left) -> void
    {
        clock_.cancel_timer(it.lease_timer);
        auto const expire = [this, key]
        {
            ++stats_.lease_ends;
            drop(key, ended(key, attempt_end::stopped));
        };
        it.lease_timer =
            clock_.start_timer(std::max(left, duration{0}), expire);
    }

    /// Brings the work done up to now.
    auto settle(running_task& it) -> void
    {
        auto const now = clock_.now();
        it.done += (now - it.since) * it.rate.value() / 1000;
        it.since = now;
    }

    auto set_rate(task_key const& key, running_task& it, permille rate) -> void
    {
        settle(it);
        it.rate = rate;
        schedule_end(key, it);
    }

    auto checkpoint(task_key const& key, running_task& it) -> checkpoint_id
    {
        settle(it);
        ++stats_.checkpoints;
        auto const ms =
            std::chrono::duration_cast<milliseconds>(it.done).count();
        checkpoint_id id{"done_ms=" + std::to_string(ms)};
        auto end = ended(key, attempt_end::checkpointed);
        end.checkpoint = id;
        drop(key, std::move(end));
        return id;
    }

    auto ended(task_key const& key, attempt_end how) const -> ended_report
    {
        return {key.first, {key.second, tasks_.at(key).attempt}, how, {}};
    }

    /// Ends a task here; the end is reported until it is acknowledged.
    auto drop(task_key const& key, std::optional<ended_report> end) -> void
    {
        auto const found = tasks_.find(key);
        if (found == tasks_.end())
        {
            return;
        }
        clock_.cancel_timer(found->second.end_timer);
        clock_.cancel_timer(found->second.lease_timer);
        stats_.end(key);
        // The key may belong to the element, so it is not used after this.
        tasks_.erase(found);
        if (end)
        {
            ended_.push_back(std::move(*end));
        }
    }

    auto report() -> void
    {
        timer_ =
            clock_.start_timer(config::report_interval, [this] { report(); });
        if (!registered_)
        {
            client_.send("POST", entries_.current() + "/v1/workers", headers_,
                         json_codec::encode(info_),
                         [this](http_reply const& it)
                         {
                             registered_ = it.status >= 200 && it.status < 300;
                             if (!registered_)
                             {
                                 entries_.next();
                             }
                         });
            return;
        }
        ++report_;
        worker_report body{info_.id, {}, ended_, report_};
        sent_reports_[report_] = clock_.now();
        if (sent_reports_.size() > kept_reports)
        {
            sent_reports_.erase(sent_reports_.begin());
        }
        for (auto const& [key, it] : tasks_)
        {
            body.running.push_back({key.first,
                                    {key.second, it.attempt},
                                    it.committed,
                                    milliseconds{0},
                                    it.rate});
        }
        auto const sent = clock_.now();
        client_.send("POST",
                     entries_.current() + "/v1/workers/" + info_.id.value() +
                         "/report",
                     headers_, json_codec::encode(body),
                     [this, sent](http_reply const& it) { take(it, sent); });
    }

    auto take(http_reply const& reply, time_point sent) -> void
    {
        if (reply.status != 200)
        {
            auto const told = decode_problem(reply.body);
            auto const is_unknown =
                told && told.value().what.kind == error_kind::unknown_worker;
            registered_ = registered_ && !is_unknown;
            entries_.next();
            return;
        }
        auto const answer =
            json_codec::decode<worker_report_answer>(reply.body);
        if (answer.has_error())
        {
            ++stats_.malformed;
            return;
        }
        auto const& it = answer.value();
        // Counted from the moment the report was sent.
        auto const left = sent + it.lease - clock_.now();
        for (auto& [key, task] : tasks_)
        {
            customer_attempt const id{key.first, {key.second, task.attempt}};
            if (std::ranges::find(it.renewed, id) != it.renewed.end())
            {
                set_lease(key, task, left);
            }
        }
        stop_listed(it.stop);
        std::erase_if(
            ended_,
            [&it](ended_report const& end)
            {
                return std::ranges::find(
                           it.recorded,
                           customer_attempt{end.customer, end.attempt}) !=
                       it.recorded.end();
            });
    }

    auto stop_listed(std::vector<customer_attempt> const& ids) -> void
    {
        std::vector<task_key> keys;
        for (auto const& [key, task] : tasks_)
        {
            customer_attempt const id{key.first, {key.second, task.attempt}};
            if (std::ranges::find(ids, id) != ids.end())
            {
                keys.push_back(key);
            }
        }
        for (auto const& key : keys)
        {
            ++stats_.stopped;
            drop(key, ended(key, attempt_end::stopped));
        }
    }

    /// Reports whose sending is remembered for the leases of starts.
    static constexpr std::size_t kept_reports = 64;

    glib_clock& clock_;
    http_client& client_;
    entry_list entries_;
    header_list headers_;
    task_stats& stats_;
    http_server server_;
    /// Starts from the wall clock, so that it grows over restarts.
    sequence report_{static_cast<std::uint64_t>(
        clock_.wall_now().time_since_epoch().count() * 1000)};
    std::map<sequence, time_point> sent_reports_;
    worker_info info_;
    timer_id timer_;
    bool registered_{false};
    std::map<task_key, running_task> tasks_;
    std::map<task_key, attempt_number> newest_;
    std::vector<ended_report> ended_;
};

} // namespace apricotlb::examples

#endif
