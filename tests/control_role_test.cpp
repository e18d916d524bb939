#include "adapters/json_codec.hpp"
#include "adapters/msgpack_codec.hpp"
#include "app/control_role.hpp"
#include "fake_entry.hpp"
#include "memory_log.hpp"
#include "paused_clock.hpp"
#include "state_fixture.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// Keeps the last answer to each call.
struct answer_list
{
    std::map<call_id, call_answer> answers;

    auto flush() -> void {}
    auto send(node_id const& /*to*/, peer_message const& it) -> void
    {
        if (auto const* const found = std::get_if<call_answer>(&it))
        {
            answers[found->id] = *found;
        }
    }
    auto add_peer(node_id const& /*id*/, url const& /*address*/) -> void {}
};

struct silent_workers
{
    auto send(url const& /*to*/, worker_command const& /*command*/,
              std::function<void(result<void>)> const& /*done*/) -> void
    {
    }
};

struct silent_run_workers
{
    template <class Order, class Callback>
    auto send(Order const& order, Callback const& done) -> void
    {
        if constexpr (std::is_same_v<Order, start_order>)
        {
            started.push_back(order.run.task.workflow);
        }
        if constexpr (std::is_same_v<Order, poll_order>)
        {
            polled = [order, done]
            {
                poll_answer it;
                it.outcome = order_outcome::done;
                it.lists.incarnation = order.to.instance.incarnation;
                done(it);
            };
        }
    }

    std::vector<workflow_id> started{};
    std::function<void()> polled; ///< answers the last poll with empty lists
};

/// A control process that is its own group and leads it.
class lone_leader
{
public:
    lone_leader()
    {
        clock_.advance(seconds{100});
        start();
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_contract queue;
        queue.name = queue_name{"q"};
        queue.host = host_name{"h"};
        queue.prefix = queue_path{"/"};
        queue.pool = pool_name{"pool"};
        queue.timeout = milliseconds{3000};
        queue.target = milliseconds{5000};
        set.queues.push_back(queue);
        call(command{apply_contract_set{set}});
        clock_.advance(milliseconds{100});
    }

    /// The process is lost and started again.
    auto restart() -> void
    {
        role_.reset();
        store_.emplace(disk_, &clock_);
        start();
    }

    /// Sends a call and returns its id.
    template <class Body>
    auto call(Body body) -> call_id
    {
        ++last_id_;
        send(call_id{last_id_}, std::move(body));
        return call_id{last_id_};
    }
    template <class Body>
    auto send(call_id id, Body body) -> void
    {
        role_->take(node_id{"entry"}, apricotlb::call{id, std::move(body)});
    }

    static auto submission(std::string const& id) -> workflow_call
    {
        workflow_spec spec;
        spec.steps.resize(1);
        spec.steps[0].each.cores = millicores{1000};
        return {workflow_action::submit, host_name{"h"}, "/" + id, spec};
    }

    static auto cancel(std::string const& id) -> workflow_call
    {
        return {workflow_action::cancel, host_name{"h"}, "/" + id,
                std::nullopt};
    }

    /// A task of a second on one core; the contract allows two of them.
    static auto timed_submission(std::string const& id) -> workflow_call
    {
        auto out = submission(id);
        out.spec->steps[0].each.cores = millicores{1000};
        out.spec->steps[0].estimate = milliseconds{1000};
        return out;
    }
    auto allow(milliseconds target) -> void
    {
        auto set = *role_->state().contract_sets().current();
        set.version = contract_set_version{set.version.value() + 1};
        set.queues[0].target = target;
        call(command{apply_contract_set{set}});
        clock_.advance(milliseconds{100});
    }
    [[nodiscard]] auto retry_after(call_id id) const -> std::optional<seconds>
    {
        return std::get<call_failure>(transport_.answers.at(id).body)
            .retry_after;
    }

    /// The loop stands still, so that its timers are late.
    auto stall(duration d) -> void
    {
        clock_.block(d);
        clock_.advance({});
    }
    auto set_sync_time(duration d) -> void
    {
        disk_.during_sync = [this, d] { clock_.block(d); };
    }
    /// After a slow sync the next commit waits.
    auto delay_next_commit() -> void
    {
        call(submission("a"));
        run(milliseconds{100});
        set_sync_time(milliseconds{100});
        call(submission("slow"));
        run(milliseconds{1});
        set_sync_time({});
    }
    auto set_free_space(std::int64_t bytes) -> void
    {
        disk_.free_space = bytes;
    }
    auto set_disk_full(bool is_full) -> void { disk_.full = is_full; }
    /// Answers the last poll, and later the next ones, with empty lists.
    auto answer_polls() -> void
    {
        clock_.start_timer(milliseconds{100},
                           [this]
                           {
                               if (auto const it =
                                       std::exchange(runs_.polled, {}))
                               {
                                   it();
                               }
                               answer_polls();
                           });
    }
    auto run(duration d) -> void { clock_.advance(d); }

    [[nodiscard]] auto is_answered(call_id id) const -> bool
    {
        return transport_.answers.contains(id);
    }
    /// The kind of a refusal, if the call was refused.
    [[nodiscard]] auto refusal(call_id id) const -> std::optional<error_kind>
    {
        auto const* const failure =
            std::get_if<call_failure>(&transport_.answers.at(id).body);
        return failure != nullptr ? std::optional{failure->kind} : std::nullopt;
    }
    /// The leader that a refusal names.
    [[nodiscard]] auto named_leader(call_id id) const -> std::optional<node_id>
    {
        return std::get<call_failure>(transport_.answers.at(id).body).leader;
    }
    [[nodiscard]] auto last_index() const -> log_index
    {
        return role_->status().log.last;
    }
    [[nodiscard]] auto accepted() const -> std::size_t
    {
        return role_->state().workflows().live().size();
    }
    /// The workflows whose tasks were started, in order.
    [[nodiscard]] auto started() const -> std::vector<workflow_id> const&
    {
        return runs_.started;
    }
    [[nodiscard]] auto read_reports() const -> std::vector<read_report> const&
    {
        return read_reports_;
    }
    /// Each read of the wall clock is off by this from then on.
    auto set_wall_error(seconds it) -> void { clock_.wall_error = it; }
    [[nodiscard]] auto keys() const -> std::size_t
    {
        return role_->state().keys().size();
    }
    [[nodiscard]] auto state() const -> state_machine const&
    {
        return role_->state();
    }
    /// The kind of a refusal by the check or the state, if there was one.
    [[nodiscard]] auto refused(call_id id) const -> std::optional<error_kind>
    {
        return std::get<apply_result>(transport_.answers.at(id).body).refused;
    }
    /// The text that answers a query.
    [[nodiscard]] auto text(call_id id) const -> std::string
    {
        return std::get<query_answer>(transport_.answers.at(id).body).json;
    }
    [[nodiscard]] auto metrics() const -> fake_metrics const&
    {
        return metrics_;
    }

private:
    fleet_policy policy_{seconds{10}, true};
    paused_clock clock_;
    answer_list transport_;
    memory_disk disk_;
    std::optional<memory_log> store_{std::in_place, disk_, &clock_};
    silent_workers workers_;
    silent_run_workers runs_;
    fake_metrics metrics_;
    std::uint64_t last_id_{0};
    using role_type =
        control_role<paused_clock, answer_list, memory_log, silent_workers,
                     silent_run_workers, msgpack_codec, snapshot_codec,
                     json_codec, fake_metrics>;

    auto start() -> void
    {
        auto options = replica_options::builder{}
                           .self(node_id{"a"})
                           .bootstrap({{node_id{"a"}, {}, {}}})
                           .build()
                           .value();
        role_.emplace(clock_, transport_, *store_, workers_, runs_, metrics_,
                      control_options{std::move(options), {}, policy_, false});
        role_->on_reads([this](read_report const& it)
                        { read_reports_.push_back(it); });
        EXPECT_TRUE(role_->start());
        clock_.advance(seconds{1});
        EXPECT_TRUE(role_->is_leader());
    }

    std::vector<read_report> read_reports_;
    std::optional<role_type> role_;
};

// A leader that goes on accepting work while it is late grows its backlog until
// it loses its leadership.
TEST(control_role, refuses_new_workflows_while_it_is_behind)
{
    lone_leader it;
    auto const before = it.call(lone_leader::submission("before"));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(before), std::nullopt);

    it.stall(config::scheduler_tick + config::overload_delay);
    auto const during = it.call(lone_leader::submission("during"));
    EXPECT_EQ(it.refusal(during), error_kind::overloaded);
    EXPECT_EQ(it.metrics().of("apricotlb_call_refusals_total", "overloaded"),
              1);

    // What was accepted stays acknowledged, and can be read and cancelled.
    auto const again = it.call(lone_leader::submission("before"));
    EXPECT_EQ(it.refusal(again), std::nullopt);
    auto const read = it.call(workflow_call{
        workflow_action::state, host_name{"h"}, "/before", std::nullopt});
    EXPECT_EQ(it.refusal(read), std::nullopt);
    auto const cancel = it.call(workflow_call{
        workflow_action::cancel, host_name{"h"}, "/before", std::nullopt});
    auto const announced = it.call(worker_announcement{});
    EXPECT_EQ(it.refusal(announced), std::nullopt);
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(cancel), std::nullopt);

    it.run(config::overload_recovery_time + config::scheduler_tick);
    auto const after = it.call(lone_leader::submission("after"));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(after), std::nullopt);
}

// A task that started later than a cancelling was acknowledged, with an answer
// that knows no such workflow, was never asked for.
TEST(control_role, starts_nothing_of_a_workflow_cancelled_before_it_arrived)
{
    lone_leader it;
    auto const cancel = [&it]
    {
        return it.call(workflow_call{workflow_action::cancel, host_name{"h"},
                                     "/late", std::nullopt});
    };
    auto const read = [&it]
    {
        return it.call(workflow_call{workflow_action::state, host_name{"h"},
                                     "/late", std::nullopt});
    };
    auto const early = cancel();
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(early), error_kind::unknown_workflow);
    EXPECT_EQ(it.refusal(read()), error_kind::unknown_workflow);

    auto const late = it.call(lone_leader::submission("late"));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(late), std::nullopt);
    EXPECT_EQ(it.accepted(), 0U);
    EXPECT_EQ(it.refusal(read()), std::nullopt);
    auto const again = cancel();
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(again), std::nullopt);
}

// A clock that was set forward by 150 s forgot the cancelling at the next
// expiry, and what had been cancelled ran when it arrived.
TEST(control_role, keeps_a_cancelling_over_a_step_of_the_time_of_day)
{
    for (auto const step : {seconds{-3600}, seconds{150}, seconds{3600}})
    {
        lone_leader it;
        // Past the time in which nothing is forgotten after a start.
        it.run(2 * config::workflow_retention);
        it.call(lone_leader::cancel("late"));
        it.run(milliseconds{100});
        it.set_wall_error(step);
        it.call(lone_leader::cancel("other"));
        it.run(config::key_expiry_interval + seconds{1});
        it.set_wall_error({});
        it.run(config::key_expiry_interval + seconds{1});
        it.call(lone_leader::submission("late"));
        it.run(milliseconds{100});
        EXPECT_EQ(it.accepted(), 0U) << step.count();
    }
}

// Ended workflows that are never forgotten would fill the memory.
TEST(control_role, forgets_ended_workflows_after_their_time)
{
    lone_leader it;
    for (auto n = 0; n < 6; ++n)
    {
        it.call(lone_leader::cancel("w" + std::to_string(n)));
        it.run(config::key_expiry_interval / 2);
    }
    EXPECT_GT(it.state().workflows().ended_count(), 0U);
    it.run(config::workflow_retention + config::key_expiry_interval +
           seconds{5});
    EXPECT_EQ(it.state().workflows().ended_count(), 0U);
}

// The submission waits for its commit while its cancelling arrives.
TEST(control_role, cancels_a_workflow_whose_submission_is_not_committed_yet)
{
    lone_leader it;
    auto const submitted = it.call(lone_leader::submission("a"));
    auto const cancelled = it.call(workflow_call{
        workflow_action::cancel, host_name{"h"}, "/a", std::nullopt});
    it.run(milliseconds{200});
    EXPECT_EQ(it.refusal(submitted), std::nullopt);
    EXPECT_EQ(it.refusal(cancelled), std::nullopt);
    EXPECT_EQ(it.accepted(), 0U);
}

// A caller that has been refused does not expect the workflow to run: a copy of
// its call that is handled after the overload must not start it.
TEST(control_role, refuses_all_copies_of_a_refused_submission)
{
    lone_leader it;
    it.stall(config::scheduler_tick + config::overload_delay);
    auto const call = it.call(lone_leader::submission("a"));
    EXPECT_EQ(it.refusal(call), error_kind::overloaded);
    it.run(config::overload_recovery_time + milliseconds{200});
    it.send(call, lone_leader::submission("a"));
    EXPECT_EQ(it.refusal(call), error_kind::overloaded);
    it.run(milliseconds{100});
    EXPECT_EQ(it.accepted(), 0);
    // A new call is not a copy.
    auto const next = it.call(lone_leader::submission("a"));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(next), std::nullopt);
    EXPECT_EQ(it.accepted(), 1);
}

// The same holds for any refusal that says that the workflow never runs.
TEST(control_role, refuses_all_copies_of_a_submission_refused_for_a_full_disk)
{
    lone_leader it;
    it.set_free_space(0);
    auto const call = it.call(lone_leader::submission("a"));
    EXPECT_EQ(it.refusal(call), error_kind::disk_full);
    it.set_free_space(std::int64_t{1} << 40);
    it.send(call, lone_leader::submission("a"));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(call), error_kind::disk_full);
    EXPECT_EQ(it.accepted(), 0);
}

// Keys that are begun faster than they expire would fill the memory.
TEST(control_role, expires_all_keys_that_are_due)
{
    constexpr auto keys = 2 * config::max_keys_expired_at_once + 3;
    lone_leader it;
    it.call(command{change_of(1, "c1", "ann")});
    for (std::uint64_t n = 0; n < keys; ++n)
    {
        it.call(command{begin_of(std::to_string(n), 1, n)});
    }
    it.run(milliseconds{200});
    ASSERT_EQ(it.keys(), keys);
    it.call(command{end_session{session_of(1)}});
    it.run(2 * config::key_expiry_interval + seconds{1});
    EXPECT_EQ(it.keys(), 0U);
}

// A copy of a submission whose first copy waits for its commit must not be
// answered as refused: the workflow runs.
TEST(control_role,
     acknowledges_copies_of_a_submission_that_is_not_committed_yet)
{
    lone_leader it;
    // After a slow sync the next commit waits, while the late tick runs.
    it.set_sync_time(config::scheduler_tick + config::overload_delay);
    it.call(lone_leader::submission("x"));
    it.run(milliseconds{1});
    it.set_sync_time({});
    auto const first = it.call(lone_leader::submission("a"));
    it.run({});
    auto const other = it.call(lone_leader::submission("b"));
    EXPECT_EQ(it.refusal(other), error_kind::overloaded);
    it.send(first, lone_leader::submission("a"));
    auto const copy = it.call(lone_leader::submission("a"));
    EXPECT_FALSE(it.is_answered(first));
    EXPECT_FALSE(it.is_answered(copy));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(first), std::nullopt);
    EXPECT_EQ(it.refusal(copy), std::nullopt);
    EXPECT_EQ(it.accepted(), 2);
}

// Work that cannot end in time was accepted, and made the next work late. A
// refused copy must not be accepted later, and no accepted one be refused: its
// caller would believe that it does not run.
TEST(control_role, refuses_what_cannot_end_in_time_but_no_accepted_id)
{
    lone_leader it;
    it.allow(milliseconds{1000});
    it.run(config::forecast_window);
    auto const accepted = it.call(lone_leader::timed_submission("a"));
    it.run(2 * config::admission_min_wait);
    EXPECT_EQ(it.refusal(accepted), std::nullopt);
    auto const refused = it.call(lone_leader::timed_submission("b"));
    EXPECT_EQ(it.refusal(refused), error_kind::deadline_unmeetable);
    EXPECT_GE(it.retry_after(refused), config::min_admission_retry);
    auto const repeated = it.call(lone_leader::timed_submission("a"));
    EXPECT_EQ(it.refusal(repeated), std::nullopt);
    it.run(seconds{2});
    it.send(refused, lone_leader::timed_submission("b"));
    EXPECT_EQ(it.refusal(refused), error_kind::deadline_unmeetable);
    EXPECT_EQ(it.accepted(), 1);
    // What waits has lost its value by now, and makes no other work late.
    it.run(seconds{4});
    auto const again = it.call(lone_leader::timed_submission("b"));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refusal(again), std::nullopt);
    EXPECT_EQ(it.accepted(), 2);
}

// The logs could not tell by which contracts, and in which term, a read was
// answered.
TEST(control_role, reports_the_terms_and_versions_of_reads)
{
    lone_leader it;
    for (auto n = 0; n < 50; ++n)
    {
        it.call(query{query_kind::contract_set, {}, {}, {}});
        it.call(workflow_call{workflow_action::state, host_name{"h"}, "/",
                              std::nullopt});
        it.run(milliseconds{100});
    }
    auto const& reports = it.read_reports();
    ASSERT_GE(reports.size(), 4U);
    EXPECT_LE(reports.size(), 6U);
    for (auto const& each : reports)
    {
        EXPECT_EQ(each.in_term, term{1});
        EXPECT_EQ(each.last, contract_set_version{1});
    }
    EXPECT_EQ(reports[1].reads, 20);
}

/// Lets two submissions wait for 40 s and for no time before a restart, and
/// returns which of them a small worker gets first after it.
auto first_after_restart(seconds wall_error) -> std::string
{
    lone_leader it;
    it.call(lone_leader::submission("old"));
    it.run(seconds{40});
    it.call(lone_leader::submission("fresh"));
    it.run(milliseconds{100});
    it.set_wall_error(wall_error);
    it.restart();
    worker_announcement worker;
    worker.instance = {worker_id{"w1"}, worker_incarnation{1}};
    worker.pool = pool_name{"pool"};
    worker.capacity.cores = millicores{1000};
    worker.number = sequence{1};
    it.call(worker);
    it.answer_polls();
    it.run(milliseconds{300});
    EXPECT_EQ(it.accepted(), 2U);
    return it.started().empty() ? "" : it.started().front().value();
}

// After a restart of the whole group all waiting work counted as fresh, and old
// work went before work that could still be in time.
TEST(control_role, knows_the_age_of_work_after_a_restart)
{
    EXPECT_EQ(first_after_restart(seconds{0}), "fresh");
    EXPECT_EQ(first_after_restart(seconds{2}), "fresh");
}

// A wall clock that has jumped back must not make work younger than new.
TEST(control_role, treats_work_from_the_future_as_fresh)
{
    EXPECT_EQ(first_after_restart(-seconds{100}), "old");
}

// A lone leader with a full disk gave its proposals up, and committed them once
// it could write: the recorded run was never started.
TEST(control_role, starts_a_run_whose_record_waited_for_a_full_disk)
{
    lone_leader it;
    it.call(lone_leader::submission("a"));
    it.run(milliseconds{100});
    it.set_disk_full(true);
    worker_announcement worker;
    worker.instance = {worker_id{"w1"}, worker_incarnation{1}};
    worker.pool = pool_name{"pool"};
    worker.capacity.cores = millicores{1000};
    worker.number = sequence{1};
    it.call(worker);
    it.answer_polls();
    it.run(milliseconds{400});
    EXPECT_TRUE(it.started().empty());
    it.set_disk_full(false);
    it.run(seconds{2});
    ASSERT_FALSE(it.started().empty());
    EXPECT_EQ(it.started().front(), workflow_id{"a"});
}

// A caller that waits for a disk without space gives up; its copies must get
// the outcome of the entry once there is one.
TEST(control_role, answers_a_submission_whose_entry_waits_for_a_full_disk)
{
    lone_leader it;
    it.set_disk_full(true);
    auto const call = it.call(lone_leader::submission("a"));
    it.run(milliseconds{400});
    ASSERT_TRUE(it.is_answered(call));
    EXPECT_EQ(it.refusal(call), error_kind::no_leader);
    it.set_disk_full(false);
    it.run(seconds{1});
    auto const copy = it.call(lone_leader::submission("a"));
    it.run(milliseconds{100});
    ASSERT_TRUE(it.is_answered(copy));
    EXPECT_EQ(it.refusal(copy), std::nullopt);
    EXPECT_EQ(it.accepted(), 1);
}

// An evacuation that is acknowledged before its commit is gone with the leader;
// one that needs an entry for each repetition fills the log.
TEST(control_role, answers_an_evacuation_once_committed_and_again_without_entry)
{
    lone_leader it;
    command const request{evacuate_data_centre{zone_id{"a"}}};
    auto const first = it.call(request);
    EXPECT_FALSE(it.is_answered(first));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refused(first), std::nullopt);
    EXPECT_TRUE(it.state().evacuations().contains(zone_id{"a"}));

    auto const applied = it.state().applied();
    auto const again = it.call(request);
    ASSERT_TRUE(it.is_answered(again));
    EXPECT_EQ(it.refused(again), std::nullopt);
    auto const other = it.call(command{return_data_centre{zone_id{"b"}}});
    EXPECT_EQ(it.refused(other), std::nullopt);
    it.run(milliseconds{100});
    EXPECT_EQ(it.state().applied(), applied);
    EXPECT_EQ(it.metrics().of("apricotlb_evacuations_total", "evacuated"), 1);
    EXPECT_EQ(it.metrics().of("apricotlb_evacuations_total", "repeated"), 2);

    query request_list;
    request_list.kind = query_kind::data_centres;
    EXPECT_NE(it.text(it.call(request_list)).find(R"("evacuated":true)"),
              std::string::npos);
}

// A return that is acknowledged from the state while the evacuation before it
// waits for its commit would leave the data centre evacuated.
TEST(control_role, takes_a_return_after_an_evacuation_that_is_not_committed)
{
    lone_leader it;
    auto const first = it.call(command{evacuate_data_centre{zone_id{"a"}}});
    auto const second = it.call(command{return_data_centre{zone_id{"a"}}});
    EXPECT_FALSE(it.is_answered(second));
    it.run(milliseconds{100});
    EXPECT_EQ(it.refused(first), std::nullopt);
    EXPECT_EQ(it.refused(second), std::nullopt);
    EXPECT_EQ(it.state().evacuations().size(), 0U);
}

// A leader that is behind refuses new work; an operator must still be able to
// empty a data centre then.
TEST(control_role, takes_an_evacuation_while_it_is_behind)
{
    lone_leader it;
    it.stall(config::scheduler_tick + config::overload_delay);
    auto const call = it.call(command{evacuate_data_centre{zone_id{"a"}}});
    it.run(milliseconds{100});
    EXPECT_EQ(it.refused(call), std::nullopt);
}

// Callers that fill the queue of proposals must not keep an operator out.
TEST(control_role, takes_an_evacuation_while_the_queue_of_proposals_is_full)
{
    lone_leader it;
    // Nothing is committed before the loop goes on.
    call_id last;
    for (std::size_t n = 0; n <= config::max_pending_proposals; ++n)
    {
        last = it.call(command{end_session{{node_id{"e"}, incarnation{n}}}});
    }
    ASSERT_TRUE(it.is_answered(last));
    EXPECT_EQ(it.refusal(last), error_kind::queue_full);
    auto const call = it.call(command{evacuate_data_centre{zone_id{"a"}}});
    EXPECT_FALSE(it.is_answered(call));
    it.run(seconds{1});
    EXPECT_EQ(it.refused(call), std::nullopt);
}

// An entry or control process of another version may let a malformed name pass.
TEST(control_role, refuses_malformed_names_of_data_centres)
{
    lone_leader it;
    for (auto const& name : {std::string{}, std::string(129, 'a'),
                             std::string{"a/b"}, std::string{"a\nb"}})
    {
        auto const call = it.call(command{evacuate_data_centre{zone_id{name}}});
        EXPECT_EQ(it.refused(call), error_kind::bad_request) << name;
        auto const back = it.call(command{return_data_centre{zone_id{name}}});
        EXPECT_EQ(it.refused(back), error_kind::bad_request) << name;
    }
}

// One short turn of the loop does not mean that the overload is over.
TEST(overload_guard, ends_an_overload_only_after_a_time_without_delays)
{
    overload_guard it;
    auto now = time_point{seconds{100}};
    it.record(config::overload_delay - duration{1}, now);
    EXPECT_FALSE(it.is_overloaded());
    it.record(config::overload_delay, now);
    EXPECT_TRUE(it.is_overloaded());
    for (auto n = 0; n < 20; ++n)
    {
        now += config::overload_recovery_time / 2;
        auto const is_late = n % 2 == 1;
        it.record(is_late ? config::on_time_delay + duration{1} : duration{},
                  now);
        EXPECT_TRUE(it.is_overloaded());
    }
    now += config::overload_recovery_time - duration{1};
    it.record({}, now);
    EXPECT_TRUE(it.is_overloaded());
    now += duration{1};
    it.record(config::on_time_delay, now);
    EXPECT_FALSE(it.is_overloaded());
}

// Repetitions of a cancel that feed the load of a late leader must show.
TEST(control_role, counts_cancels_it_proposes_and_copies_of_open_calls)
{
    lone_leader it;
    it.delay_next_commit();
    auto const cancel = lone_leader::cancel("a");
    auto const id = it.call(cancel);
    EXPECT_FALSE(it.is_answered(id));
    EXPECT_EQ(it.metrics().of("apricotlb_cancels_total", "proposed"), 1);
    it.send(id, cancel);
    EXPECT_EQ(it.metrics().of("apricotlb_call_copies_total", "change"), 1);
    it.run(milliseconds{500});
    EXPECT_TRUE(it.is_answered(id));
    it.send(id, cancel);
    EXPECT_EQ(it.metrics().of("apricotlb_call_copies_total", "change"), 1);
}

// Each copy of a cancel was proposed anew, so that callers that repeat theirs
// made a late log later.
TEST(control_role, proposes_a_cancel_once_for_all_its_callers)
{
    lone_leader it;
    it.delay_next_commit();
    auto const last = it.last_index();
    auto const first = it.call(lone_leader::cancel("a"));
    auto const other = it.call(lone_leader::cancel("a"));
    for (auto n = 0; n < 6; ++n)
    {
        it.send(first, lone_leader::cancel("a"));
    }
    EXPECT_EQ(it.last_index(), last + log_index{1});
    EXPECT_FALSE(it.is_answered(other));
    it.run(milliseconds{500});
    ASSERT_TRUE(it.is_answered(other));
    EXPECT_EQ(it.refusal(first), std::nullopt);
    EXPECT_EQ(it.refusal(other), std::nullopt);
    EXPECT_EQ(it.last_index(), last + log_index{1});
    EXPECT_EQ(it.metrics().of("apricotlb_cancels_total", "joined"), 1);
}

// A cancel whose answer was lost must not wait for another commit.
TEST(control_role, answers_a_cancel_that_is_on_record_at_once)
{
    lone_leader it;
    it.call(lone_leader::submission("b"));
    it.run(milliseconds{100});
    it.call(lone_leader::cancel("b"));
    it.run(milliseconds{100});
    it.delay_next_commit();
    auto const last = it.last_index();
    auto const again = it.call(lone_leader::cancel("b"));
    ASSERT_TRUE(it.is_answered(again));
    EXPECT_EQ(it.refusal(again), std::nullopt);
    EXPECT_EQ(it.last_index(), last);
}

// The caller of an open call must hear that the leader has it, and the answer
// once; a copy was proposed anew.
TEST(control_role, tells_a_copy_that_its_call_is_open_and_proposes_it_once)
{
    lone_leader it;
    it.delay_next_commit();
    auto const last = it.last_index();
    command const change{retire_worker{worker_id{"w"}}};
    auto const call = it.call(change);
    it.send(call, change);
    it.send(call, change);
    EXPECT_EQ(it.last_index(), last + log_index{1});
    EXPECT_EQ(it.refusal(call), error_kind::no_leader);
    EXPECT_EQ(it.named_leader(call), node_id{"a"});
    it.run(milliseconds{500});
    EXPECT_EQ(it.refusal(call), std::nullopt);
}

} // namespace
} // namespace apricotlb
