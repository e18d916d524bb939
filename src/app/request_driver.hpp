/// Executes the actions that the state machines of urgent requests return.
#ifndef APRICOTLB_APP_REQUEST_DRIVER_HPP
#define APRICOTLB_APP_REQUEST_DRIVER_HPP

#include "app/due_times.hpp"
#include "app/key_writer.hpp"
#include "app/live_request.hpp"
#include "app/problem.hpp"
#include "app/whole_body.hpp"
#include "core/entry/admission.hpp"
#include "core/entry/entry_request.hpp"
#include "core/entry/entry_view.hpp"
#include "core/entry/load_report.hpp"
#include "core/entry/queue_entry.hpp"
#include "core/entry/request_flow.hpp"
#include "core/entry/router.hpp"
#include "core/entry/service_path.hpp"
#include "core/random.hpp"
#include "ports/clock.hpp"
#include "ports/http.hpp"
#include "ports/key_log.hpp"
#include "ports/metrics.hpp"

#include <apricotlb/config.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Owns the live requests of an entry and the state that they share: queues,
/// router, retry budget, load report and timer. Events are processed one after
/// another, and each may return actions that the driver executes.
template <clock_port Clock, request_source_port Source, upstream_port Upstream,
          key_log_port KeyLog, metrics_port Metrics>
class request_driver
{
public:
    using exchange = typename Source::exchange;
    using call = typename Upstream::call;

    request_driver(Clock& clock, Upstream& upstream, KeyLog& log,
                   Metrics& metrics, entry_view& view,
                   request_count queue_per_customer, random_bits seed)
        : clock_(clock), upstream_(upstream), metrics_(metrics), view_(view),
          keys_(clock, log), queues_(queue_per_customer), seed_(seed.value()),
          due_times_(clock, [this] { on_timer(); })
    {
    }
    request_driver(request_driver const&) = delete;
    auto operator=(request_driver const&) -> request_driver& = delete;

    /// Accepts a request and owns it until its exchange has ended.
    auto accept(exchange from, entry_request const& it, contract const& limits)
        -> void
    {
        auto const now = clock_.now();
        auto const id = request_id{++last_request_id_};
        auto accepted = request::make(
            from, id, it, limits, {view_.session(), now, clock_.wall_now()});
        due_times_.add(accepted->scheduled_check, id);
        requests_.emplace(id, std::move(accepted));
        budget_.add_credit(limits.customer, now);
        metrics_.count(metric::requests, it.service.value());
        from->listen(events_of(id));
        post(id, flow_event::start{});
    }

    /// Call when the view has changed: waiting requests may get new slots.
    auto view_changed() -> void
    {
        router_.remove_departed(view_);
        for (auto const& key : queues_.waiting_services())
        {
            services_to_dispatch_.insert(key);
        }
        process_events();
    }

    [[nodiscard]] auto in_flight() const -> request_count
    {
        return request_count{static_cast<std::int64_t>(requests_.size())};
    }
    [[nodiscard]] auto demand() -> std::vector<service_demand>
    {
        return load_.demand(queues_);
    }
    [[nodiscard]] auto latency() -> std::vector<latency_report>
    {
        return load_.latency(clock_.now());
    }
    [[nodiscard]] auto in_use() const -> std::vector<share>
    {
        return router_.in_use();
    }

    /// Sets the handler that runs whenever a request has ended.
    auto on_end(std::function<void()> handler) -> void
    {
        end_handler_ = std::move(handler);
    }

private:
    using request = live_request<exchange, call>;

    auto find(request_id id) -> request*
    {
        auto const it = requests_.find(id);
        return it == requests_.end() ? nullptr : it->second.get();
    }

    auto events_of(request_id id) -> exchange_events
    {
        return {.body = [this, id](std::string_view bytes)
                { take_body(id, bytes); },
                .body_end = [this, id] { take_body_end(id); },
                .writable = [this, id] { resume_answer(id); },
                .closed = [this, id]
                { post(id, flow_event::caller_disconnected{}); }};
    }

    auto take_body(request_id id, std::string_view bytes) -> void
    {
        with_relay(id, [bytes](auto& it) { it.take(bytes); });
    }
    auto take_body_end(request_id id) -> void
    {
        with_relay(id, [](auto& it) { it.take_end(); });
    }
    auto resume_body(request_id id) -> void
    {
        with_relay(id, [](auto& it) { it.resume_if_writable(); });
    }

    template <class Use>
    auto with_relay(request_id id, Use const& use) -> void
    {
        if (auto* const r = find(id); r != nullptr)
        {
            use(r->relay);
            r->on_body_progress(clock_.now());
        }
    }

    auto resume_answer(request_id id) -> void
    {
        if (auto* const r = find(id); r != nullptr)
        {
            r->resume_answer(clock_.now());
        }
    }

    auto post(request_id id, flow_input event) -> void
    {
        pending_events_.emplace_back(id, std::move(event));
        process_events();
    }

    /// Processes the pending events in order, then assigns slots to waiting
    /// requests. Events posted meanwhile are appended, so a step never runs
    /// within another step.
    auto process_events() -> void
    {
        if (is_processing_events_)
        {
            return;
        }
        is_processing_events_ = true;
        while (!pending_events_.empty() || !services_to_dispatch_.empty())
        {
            if (!pending_events_.empty())
            {
                auto [id, event] = std::move(pending_events_.front());
                pending_events_.pop_front();
                step(id, event);
                continue;
            }
            auto const key = std::move(
                services_to_dispatch_.extract(services_to_dispatch_.begin())
                    .value());
            dispatch_waiting(key);
        }
        is_processing_events_ = false;
        due_times_.arm(queues_.next_expiry());
        if (std::exchange(has_request_ended_, false) && end_handler_)
        {
            end_handler_();
        }
    }

    auto step(request_id id, flow_input const& event) -> void
    {
        auto* const r = find(id);
        if (r == nullptr)
        {
            // The request has ended, so the slot reserved for it is freed.
            if (auto const* dispatched =
                    std::get_if<flow_event::dispatched>(&event))
            {
                router_.call_ended(view_, dispatched->backend,
                                   attempt_result::cancelled, clock_.now());
            }
            return;
        }
        flow_context const context{.now = clock_.now(),
                                   .deadline = r->deadline,
                                   .budget = budget_,
                                   .body_forwarded = r->relay.sent_bytes() > 0,
                                   .replayable = r->relay.is_replayable()};
        for (auto const& output : r->flow.step(event, context))
        {
            std::visit([&](auto const& action) { execute(*r, action); },
                       output);
        }
        if (r->flow.phase() == flow_phase::done)
        {
            due_times_.remove(r->scheduled_check, id);
            requests_.erase(id);
            has_request_ended_ = true;
            return;
        }
        r->resume_answer(clock_.now());
        schedule_check(*r);
    }

    /// Moves the next check of the time limits forward if it is now due
    /// earlier.
    auto schedule_check(request& r) -> void
    {
        auto const check_time = r.next_check();
        if (check_time < r.scheduled_check)
        {
            auto const id = r.flow.facts().id;
            due_times_.remove(r.scheduled_check, id);
            r.scheduled_check = check_time;
            due_times_.add(check_time, id);
        }
    }

    auto execute(request& r, flow_action::begin_key const& it) -> void
    {
        keys_.submit(
            it.it, r.deadline,
            [this, id = r.flow.facts().id](result<apply_result> applied)
            { post(id, flow_event::key_begun{std::move(applied)}); });
    }

    auto execute(request& r, flow_action::finish_key const& it) -> void
    {
        keys_.submit(
            it.it, clock_.now() + config::key_close_timeout,
            [this, id = r.flow.facts().id](result<apply_result> applied)
            { post(id, flow_event::key_finished{std::move(applied)}); });
    }

    auto execute(request& r, flow_action::release_key const& it) -> void
    {
        keys_.submit(
            it.it, clock_.now() + config::key_close_timeout,
            [this, id = r.flow.facts().id](result<apply_result> applied)
            { post(id, flow_event::key_released{std::move(applied)}); });
    }

    auto execute(request& r, flow_action::enqueue const& it) -> void
    {
        auto const now = clock_.now();
        auto const id = r.flow.facts().id;
        r.ticket.deadline = r.deadline;
        if (it.is_retry)
        {
            r.ticket.arrived = now;
            queues_.requeue(r.ticket);
        }
        else if (auto reason = enter_queue(r.ticket, r.make_route_query(false),
                                           view_, router_, queues_, now))
        {
            pending_events_.emplace_back(
                id, flow_event::refused{std::move(*reason)});
            return;
        }
        services_to_dispatch_.insert(r.service());
    }

    auto execute(request& r, flow_action::leave_queue const& /*it*/) -> void
    {
        queues_.remove(r.flow.facts().id);
    }

    auto events_of(request_id id, attempt_number attempt) -> upstream_events
    {
        return {
            .writable = [this, id] { resume_body(id); },
            .head =
                [this, id, attempt](answer_head head) {
                    post(id, flow_event::head{attempt, std::move(head)});
                },
            .chunk =
                [this, id, attempt](std::string_view bytes)
            {
                post(id, flow_event::chunk{attempt, bytes});
                resume_answer(id);
            },
            .end =
                [this, id, attempt](result<void> status)
            {
                post(id, flow_event::call_ended{attempt, std::move(status)});
            }};
    }

    auto execute(request& r, flow_action::send const& action) -> void
    {
        auto const now = clock_.now();
        auto const id = r.flow.facts().id;
        load_.call_started(r.service());
        r.sent_at = now;
        r.silence_deadline =
            now + r.silence_limit(
                      queues_.learned_times().expected(r.ticket.work), now);
        auto const attempt = action.attempt;
        auto const* const info = view_.backend(action.backend);
        if (info == nullptr)
        {
            pending_events_.emplace_back(
                id,
                flow_event::call_ended{
                    attempt,
                    fail(error_kind::backend_refused,
                         "the chosen backend server is no longer announced")});
            return;
        }
        r.call = upstream_.open(
            {action.backend, info->address,
             view_.share_of(action.backend, now).connections, r.forwarded},
            events_of(id, attempt));
        r.relay.attach(r.call);
    }

    auto execute(request& r, flow_action::cancel_call const& /*it*/) -> void
    {
        if (r.call)
        {
            r.call->cancel();
        }
        drop_call(r);
    }

    auto drop_call(request& r) -> void
    {
        r.relay.detach();
        r.call = {};
    }

    auto execute(request& r, flow_action::first_byte const& it) -> void
    {
        auto const now = clock_.now();
        auto const elapsed = now - r.sent_at;
        router_.record_latency(it.from, elapsed, now);
        load_.sample(it.from, elapsed, now);
        metrics_.record(metric::backend_latency, r.ticket.work.service.value(),
                        elapsed);
    }

    auto execute(request& r, flow_action::free_slot const& it) -> void
    {
        auto const now = clock_.now();
        drop_call(r);
        load_.call_ended(r.service());
        router_.call_ended(view_, it.backend, it.status, now);
        if (it.status == attempt_result::ok ||
            it.status == attempt_result::timed_out)
        {
            queues_.learned_times().add_sample(r.ticket.work, now - r.sent_at);
        }
        services_to_dispatch_.insert(r.service());
    }

    auto execute(request& r, flow_action::start_answer const& it) -> void
    {
        r.exchange->start(it.it);
    }
    auto execute(request& r, flow_action::write_answer const& it) -> void
    {
        r.exchange->write(it.bytes);
    }
    auto execute(request& r, flow_action::end_answer const& /*it*/) -> void
    {
        r.exchange->end();
    }
    auto execute(request& r, flow_action::cut_answer const& /*it*/) -> void
    {
        metrics_.count(metric::cut_answers, r.ticket.work.service.value());
        r.exchange->abort();
    }

    auto execute(request& r, flow_action::fail const& it) -> void
    {
        metrics_.count(metric::refusals, name_of(it.reason.reason.kind));
        send_answer(*r.exchange, answer_for(it.reason));
    }

    auto execute(request& /*r*/, flow_action::retry const& it) -> void
    {
        metrics_.count(metric::retries, name_of(it.reason));
    }

    auto execute(request& /*r*/, flow_action::finished const& /*it*/) -> void {}

    /// Assigns free slots to the waiting requests of a service. When no slot
    /// is free for a long request, short ones are still tried, since a long
    /// request may not take the last free slot of a server.
    auto dispatch_waiting(service_key const& key) -> void
    {
        auto const now = clock_.now();
        auto short_only = false;
        while (auto const* const waiting = queues_.front(key, short_only))
        {
            auto const id = waiting->id;
            auto* const r = find(id);
            if (r == nullptr)
            {
                queues_.remove(id);
                continue;
            }
            auto const is_long = queues_.is_long(*waiting);
            auto const backend =
                router_.choose_backend(view_, r->make_route_query(is_long), now,
                                       random_bits{next_random(seed_)});
            if (backend.has_error())
            {
                if (!is_long || short_only)
                {
                    return;
                }
                short_only = true;
                continue;
            }
            queues_.remove(id);
            step(id, flow_event::dispatched{backend.value()});
        }
    }

    auto on_timer() -> void
    {
        auto const now = clock_.now();
        for (auto const id : queues_.take_expired(now))
        {
            auto const* const r = find(id);
            auto reason = expiry_reason(
                r == nullptr ? std::nullopt
                             : std::optional{r->make_route_query(false)},
                view_, router_, now);
            pending_events_.emplace_back(
                id, flow_event::refused{std::move(reason)});
        }
        while (auto const id = due_times_.take_due(now))
        {
            check_time_limits(*find(*id), now);
        }
        process_events();
    }

    auto check_time_limits(request& r, time_point now) -> void
    {
        auto const id = r.flow.facts().id;
        if (r.has_call() && now >= r.silence_deadline)
        {
            if (!r.can_write_to_caller())
            {
                // The caller does not read its answer, so the slot is freed for
                // other requests.
                r.exchange->abort();
                pending_events_.emplace_back(id,
                                             flow_event::caller_disconnected{});
            }
            else
            {
                pending_events_.emplace_back(
                    id, flow_event::answer_timed_out{r.flow.attempt()});
            }
        }
        else if (now >= r.deadline && !r.flow.is_forwarding())
        {
            pending_events_.emplace_back(id, flow_event::deadline_passed{});
        }
        r.scheduled_check =
            std::max(r.next_check(), now + config::deadline_check_interval);
        due_times_.add(r.scheduled_check, id);
    }

    Clock& clock_;
    Upstream& upstream_;
    Metrics& metrics_;
    entry_view& view_;
    key_writer<Clock, KeyLog> keys_;
    router router_;
    admission queues_;
    retry_budget budget_;
    load_report load_;
    std::uint64_t seed_;
    std::uint64_t last_request_id_{0};
    std::unordered_map<request_id, std::unique_ptr<request>> requests_;
    due_times<Clock> due_times_;
    std::deque<std::pair<request_id, flow_input>> pending_events_;
    std::set<service_key> services_to_dispatch_;
    std::function<void()> end_handler_;
    bool is_processing_events_{false};
    bool has_request_ended_{false};
};

} // namespace apricotlb

#endif
