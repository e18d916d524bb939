/// Runs the workflow scheduler while this process is the leader.
#ifndef APRICOTLB_APP_WORKFLOW_DRIVER_HPP
#define APRICOTLB_APP_WORKFLOW_DRIVER_HPP

#include "core/fleet/run_scheduler.hpp"
#include "core/fleet/submission_times.hpp"
#include "core/state/state_machine.hpp"
#include "ports/clock.hpp"
#include "ports/metrics.hpp"
#include "ports/run_worker.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// The replicated log of the leader, as its workflow scheduler needs it.
template <class T>
concept run_log = requires(T& it, command const& value,
                           std::function<void(result<void>)> done) {
    it.propose(value, std::move(done));
    /// True while no later leader can have committed anything.
    {
        it.is_current()
    } -> std::same_as<bool>;
    /// Ends this leadership, so that the next one has a higher term.
    it.resign();
};

/// Connects the run scheduler to the clock, the log and the workers.
template <clock_port Clock, run_worker_port Workers, run_log Log,
          metrics_port Metrics>
class workflow_driver
{
public:
    workflow_driver(Clock& clock, Workers& workers, Metrics& metrics, Log log,
                    fleet_policy policy)
        : clock_(clock), workers_(workers), metrics_(metrics),
          log_(std::move(log)), policy_(policy)
    {
    }
    workflow_driver(workflow_driver const&) = delete;
    auto operator=(workflow_driver const&) -> workflow_driver& = delete;
    ~workflow_driver() { stop(); }

    /// Starts a scheduler from the replicated state. The fencing tokens of its
    /// orders rise with the term.
    auto start(state_machine const& state, term in_term) -> void
    {
        stop();
        leader_term_ = in_term;
        leading_since_ = clock_.now();
        scheduler_.emplace(state, in_term, clock_.now(), policy_, submitted_,
                           clock_.wall_now(), halts_);
        arm();
    }

    /// Discards the scheduler and its timers; answers that arrive later are
    /// dropped.
    auto stop() -> void
    {
        ++epoch_;
        scheduler_.reset();
        ends_ = {};
        for (auto* const timer : {&tick_timer_, &plan_timer_, &ends_timer_})
        {
            if (*timer)
            {
                clock_.cancel_timer(**timer);
                timer->reset();
            }
        }
    }

    auto on_announcement(worker_announcement const& it) -> void
    {
        if (scheduler_)
        {
            take(it, clock_.now(), {});
            execute_actions();
        }
    }

    /// Handles what a process has received from workers.
    auto on_contacts(contact_batch const& batch) -> contact_answer
    {
        contact_answer out;
        if (!scheduler_)
        {
            return out;
        }
        out.leader_term = leader_term_;
        auto const now = clock_.now();
        for (auto const& it : batch.announcements)
        {
            take(it.value, now, it.age);
        }
        for (auto const& it : batch.contacts)
        {
            auto const is_known = scheduler_->on_contact(it, now);
            metrics_.count(metric::announcements,
                           is_known ? "contact" : "unknown");
            if (!is_known)
            {
                out.unknown.push_back(it.instance.id);
            }
        }
        execute_actions();
        return out;
    }

    /// Zone of a worker that has announced itself; null for others.
    [[nodiscard]] auto zone_of(worker_id const& id) const -> zone_id const*
    {
        if (!scheduler_)
        {
            return nullptr;
        }
        auto const found = scheduler_->workers().find(id);
        return found != scheduler_->workers().end() && found->second.info
                   ? &found->second.info->zone
                   : nullptr;
    }

    /// To be called at the start of the process with the end of its log.
    auto set_log_at_start(revision last) -> void { submitted_.set_start(last); }

    /// To be called for each command, whether this process leads or not.
    auto on_applied(command const& it, state_machine const& state) -> void
    {
        if (auto const* const submit = std::get_if<submit_workflow>(&it))
        {
            auto const* const record = state.workflows().find(submit->spec.id);
            if (record != nullptr)
            {
                submitted_.record(*record, clock_.now(), clock_.wall_now());
            }
        }
        else if (std::holds_alternative<expire_workflows>(it))
        {
            submitted_.prune(state.workflows());
        }
        else if (auto const* const starts = std::get_if<start_runs>(&it))
        {
            halts_.record(*starts, clock_.now());
        }
        else if (std::holds_alternative<end_runs>(it))
        {
            halts_.prune(state.workflows().places());
        }
        if (scheduler_)
        {
            scheduler_->on_applied(it, clock_.now());
            execute_actions();
        }
    }

    /// Decides on a submission. An accepted one counts as waiting from now on,
    /// so that a burst is seen before its first workflow is committed.
    auto admit(workflow_spec const& spec, queue_contract const& terms)
        -> admission_decision
    {
        if (!scheduler_)
        {
            return {};
        }
        auto const now = clock_.now();
        auto const decided = policy_.refuses_late_work
                                 ? scheduler_->admit(spec, terms, now)
                                 : admission_decision{};
        metrics_.count(metric::admissions, name_of(decided.reason));
        if (!decided.is_refused())
        {
            scheduler_->on_submission_proposed(spec, terms, decided, now);
            return decided;
        }
        ++unlogged_refusals_;
        if (on_refusal_ &&
            now - last_refusal_log_ >= config::refusal_log_interval)
        {
            last_refusal_log_ = now;
            on_refusal_({spec.id, terms.name, decided,
                         request_count{std::exchange(unlogged_refusals_, 0)}});
        }
        return decided;
    }

    /// An accepted submission was not recorded.
    auto on_submission_dropped(workflow_id const& id) -> void
    {
        if (scheduler_)
        {
            scheduler_->on_submission_dropped(id, clock_.now());
        }
    }

    /// Called for a refused submission once in config::refusal_log_interval.
    auto on_refusal(std::function<void(refused_workflow const&)> callback)
        -> void
    {
        on_refusal_ = std::move(callback);
    }

    using report_callback =
        std::function<void(fleet_summary const&, waiting_work const&)>;

    /// Called every config::fleet_report_interval with the state of the fleet
    /// and the work that has waited for longest.
    auto on_report(report_callback callback) -> void
    {
        on_report_ = std::move(callback);
    }

    /// Called for up to config::max_logged_run_events events of runs in a
    /// report interval; all are counted.
    auto on_run_event(std::function<void(run_event const&)> callback) -> void
    {
        on_run_event_ = std::move(callback);
    }

    [[nodiscard]] auto scheduler() const -> std::optional<run_scheduler> const&
    {
        return scheduler_;
    }

private:
    static constexpr permille max_pass_share{200};

    auto take(worker_announcement const& it, time_point now, duration age)
        -> void
    {
        auto const is_taken = scheduler_->on_announcement(it, now, age);
        metrics_.count(metric::announcements,
                       is_taken ? "received" : "departure_of_other_life");
    }

    auto arm() -> void
    {
        tick_timer_ = clock_.start_timer(config::scheduler_tick,
                                         [this]
                                         {
                                             arm();
                                             scheduler_->tick(clock_.now());
                                             execute_actions();
                                             report();
                                             resign_if_fenced();
                                         });
    }

    auto report() -> void
    {
        auto const now = clock_.now();
        if (!scheduler_ || now - last_report_ < config::fleet_report_interval)
        {
            return;
        }
        last_report_ = now;
        logged_run_events_ = 0;
        auto const waiting =
            scheduler_->longest_waiting(now, clock_.wall_now());
        for (auto const& it : waiting.steps)
        {
            if (is_contradiction(it.cause))
            {
                metrics_.count(metric::contradictions, name_of(it.cause));
            }
        }
        if (on_report_)
        {
            on_report_(scheduler_->summary(now), waiting);
        }
    }

    /// Ends this leadership, and with it the scheduler.
    auto resign_if_fenced() -> void
    {
        auto const now = clock_.now();
        if (!scheduler_->is_fenced() ||
            now - leading_since_ < config::min_time_before_resignation ||
            (resigned_at_ &&
             now - *resigned_at_ < config::resignation_interval))
        {
            return;
        }
        resigned_at_ = now;
        log_.resign();
    }

    auto plan() -> void
    {
        auto const begin = clock_.now();
        scheduler_->plan(begin, clock_.wall_now());
        last_pass_time_ = clock_.now() - begin;
        execute_actions();
    }

    /// Passes take at most max_pass_share of the time: with many tasks that
    /// find no room, one pass after the other would leave none for answers.
    [[nodiscard]] auto delay_of_plan() const -> duration
    {
        auto const least = scheduler_->is_behind()
                               ? config::plan_delay_when_behind
                               : config::plan_delay;
        auto const share = max_pass_share.value();
        return std::max(least, last_pass_time_ * (1000 - share) / share);
    }

    auto report_run_events() -> void
    {
        for (auto const& it : scheduler_->take_events())
        {
            metrics_.count(metric::run_events, name_of(it.kind));
            if (on_run_event_ &&
                logged_run_events_ < config::max_logged_run_events)
            {
                ++logged_run_events_;
                on_run_event_(it);
            }
        }
    }

    auto report_forecast_errors() -> void
    {
        for (auto const it : scheduler_->take_forecast_errors())
        {
            metrics_.record(metric::forecast_errors,
                            it < duration{} ? "earlier" : "later",
                            it < duration{} ? -it : it);
        }
    }

    auto execute_actions() -> void
    {
        report_run_events();
        report_forecast_errors();
        auto const epoch = epoch_;
        for (auto& it : scheduler_->take_actions())
        {
            std::visit(
                [this](auto& action) { this->execute(std::move(action)); }, it);
            // A failed disk ends the leadership within a proposal.
            if (epoch != epoch_)
            {
                return;
            }
        }
        if (scheduler_ && scheduler_->needs_plan() && !plan_timer_)
        {
            plan_timer_ = clock_.start_timer(delay_of_plan(),
                                             [this]
                                             {
                                                 plan_timer_.reset();
                                                 plan();
                                             });
        }
    }

    /// Wraps a callback so that it does nothing once the leadership in which it
    /// was created has ended.
    template <class Callback>
    auto in_current_epoch(Callback callback)
    {
        return
            [this, epoch = epoch_, callback = std::move(callback)](auto answer)
        {
            if (epoch == this->epoch_)
            {
                callback(std::move(answer));
                this->execute_actions();
            }
        };
    }

    auto execute(propose_starts it) -> void
    {
        command const proposal{it.value};
        log_.propose(proposal,
                     in_current_epoch(
                         [this, it = std::move(it)](result<void> done)
                         {
                             if (done.has_error())
                             {
                                 scheduler_->on_not_applied(it, clock_.now());
                             }
                         }));
    }

    auto execute(propose_ends it) -> void
    {
        for (auto const& ended : it.runs)
        {
            metrics_.count(metric::run_ends, name_of(ended.outcome));
        }
        if (it.size() == 0)
        {
            scheduler_->on_recorded(it, clock_.now());
            return;
        }
        if (ends_.size() + it.size() > config::max_runs_per_command)
        {
            propose_collected_ends();
        }
        ends_.runs.insert(ends_.runs.end(), it.runs.begin(), it.runs.end());
        ends_.lists.insert(ends_.lists.end(), it.lists.begin(), it.lists.end());
        ends_.listed_late.insert(ends_.listed_late.end(),
                                 it.listed_late.begin(), it.listed_late.end());
        if (!ends_timer_)
        {
            ends_timer_ = clock_.start_timer(duration{0},
                                             [this]
                                             {
                                                 ends_timer_.reset();
                                                 propose_collected_ends();
                                             });
        }
    }

    /// Proposes the ends of one turn of the loop as one command: each command
    /// costs every member of the group, however few runs it ends.
    auto propose_collected_ends() -> void
    {
        auto it = std::exchange(ends_, {});
        if (it.size() == 0)
        {
            return;
        }
        command const proposal{it.to_command(clock_.wall_now())};
        log_.propose(proposal, in_current_epoch(
                                   [this, it = std::move(it)](result<void> done)
                                   {
                                       if (done.has_error())
                                       {
                                           scheduler_->on_not_recorded(it);
                                           return;
                                       }
                                       scheduler_->on_recorded(it,
                                                               clock_.now());
                                   }));
    }

    template <class Order>
    auto execute(Order it) -> void
    {
        using answer = std::conditional_t<std::is_same_v<Order, poll_order>,
                                          poll_answer, order_answer>;
        std::function<void(answer)> done = in_current_epoch(
            [this, it](answer const& got)
            {
                metrics_.count(std::is_same_v<Order, poll_order>
                                   ? metric::polls
                                   : metric::orders,
                               name_of(got.outcome));
                if constexpr (std::is_same_v<Order, pace_order>)
                {
                    metrics_.count(metric::pace_orders, name_of(got.outcome));
                }
                scheduler_->on_answer(it, got, clock_.now());
            });
        // A process without the leader's lease may have a successor, which may
        // have cancelled the run or counted the worker's lease as over.
        if (!log_.is_current())
        {
            answer refused;
            refused.outcome = order_outcome::not_sent;
            done(refused);
            return;
        }
        workers_.send(it, std::move(done));
    }

    Clock& clock_;
    Workers& workers_;
    Metrics& metrics_;
    Log log_;
    fleet_policy policy_;
    term leader_term_;
    time_point leading_since_{};
    std::optional<time_point> resigned_at_; ///< by this process, the last time
    submission_times submitted_;
    lease_halts halts_;
    std::optional<run_scheduler> scheduler_;
    report_callback on_report_;
    std::function<void(run_event const&)> on_run_event_;
    std::function<void(refused_workflow const&)> on_refusal_;
    request_count::rep unlogged_refusals_{0};
    time_point last_refusal_log_{};
    std::size_t logged_run_events_{0};
    time_point last_report_{};
    duration last_pass_time_{};
    std::uint64_t epoch_{0};
    std::optional<timer_id> tick_timer_;
    std::optional<timer_id> plan_timer_;
    propose_ends ends_; ///< of this turn of the loop
    std::optional<timer_id> ends_timer_;
};

} // namespace apricotlb

#endif
