/// Carries out what the state machines of urgent requests decide.
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

/// Owns the live requests of an entry and everything they share.
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
          dues_(clock, [this] { on_timer(); })
    {
    }
    request_driver(request_driver const&) = delete;
    auto operator=(request_driver const&) -> request_driver& = delete;

    /// Takes a request and owns it until its exchange ends.
    auto accept(exchange from, entry_request const& it, contract const& limits)
        -> void
    {
        auto const now = clock_.now();
        auto const id = request_id{++last_request_};
        auto made = request::make(from, id, it, limits,
                                  {view_.session(), now, clock_.wall_now()});
        dues_.add(made->due, id);
        requests_.emplace(id, std::move(made));
        budget_.earn(limits.customer, now);
        metrics_.count(metric::requests, it.service.value());
        from->listen(events_of(id));
        post(id, flow_event::start{});
    }

    /// Looks for slots after the view changed.
    auto view_changed() -> void
    {
        router_.forget_gone(view_);
        for (auto const& key : queues_.waiting())
        {
            pumps_.insert(key);
        }
        run();
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

    /// Runs whenever a request has ended.
    auto on_end(std::function<void()> run) -> void { ended_ = std::move(run); }

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
                .gone = [this, id] { post(id, flow_event::caller_gone{}); }};
    }

    auto take_body(request_id id, std::string_view bytes) -> void
    {
        relay(id, [bytes](auto& it) { it.take(bytes); });
    }
    auto take_body_end(request_id id) -> void
    {
        relay(id, [](auto& it) { it.take_end(); });
    }
    auto take_drained(request_id id) -> void
    {
        relay(id, [](auto& it) { it.drained(); });
    }

    template <class Step>
    auto relay(request_id id, Step const& run) -> void
    {
        if (auto* const r = find(id); r != nullptr)
        {
            run(r->relay);
            r->body_moved(clock_.now());
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
        inbox_.emplace_back(id, std::move(event));
        run();
    }

    /// Handles events one after another; those that arise meanwhile follow.
    auto run() -> void
    {
        if (running_)
        {
            return;
        }
        running_ = true;
        while (!inbox_.empty() || !pumps_.empty())
        {
            if (!inbox_.empty())
            {
                auto [id, event] = std::move(inbox_.front());
                inbox_.pop_front();
                step(id, event);
                continue;
            }
            auto const key = std::move(pumps_.extract(pumps_.begin()).value());
            pump(key);
        }
        running_ = false;
        dues_.arm(queues_.next_expiry());
        if (std::exchange(any_ended_, false) && ended_)
        {
            ended_();
        }
    }

    auto step(request_id id, flow_input const& event) -> void
    {
        auto* const r = find(id);
        if (r == nullptr)
        {
            // The slot was taken for a request that is gone.
            if (auto const* it = std::get_if<flow_event::dispatched>(&event))
            {
                router_.ended(view_, it->to, attempt_result::cancelled,
                              clock_.now());
            }
            return;
        }
        flow_context const with{.now = clock_.now(),
                                .deadline = r->deadline,
                                .budget = budget_,
                                .body_taken = r->relay.sent() > 0,
                                .replayable = r->relay.is_replayable()};
        for (auto const& it : r->flow.step(event, with))
        {
            std::visit([&](auto const& action) { carry_out(*r, action); }, it);
        }
        if (r->flow.phase() == flow_phase::done)
        {
            dues_.remove(r->due, id);
            requests_.erase(id);
            any_ended_ = true;
            return;
        }
        r->resume_answer(clock_.now());
        schedule(*r);
    }

    auto schedule(request& r) -> void
    {
        auto const at = r.next_check();
        if (at < r.due)
        {
            auto const id = r.flow.facts().id;
            dues_.remove(r.due, id);
            r.due = at;
            dues_.add(at, id);
        }
    }

    auto carry_out(request& r, flow_action::begin_key const& it) -> void
    {
        keys_.submit(it.it, r.deadline,
                     [this, id = r.flow.facts().id](result<apply_result> a)
                     { post(id, flow_event::key_begun{std::move(a)}); });
    }

    auto carry_out(request& r, flow_action::finish_key const& it) -> void
    {
        keys_.submit(it.it, clock_.now() + config::key_close_timeout,
                     [this, id = r.flow.facts().id](result<apply_result> a)
                     { post(id, flow_event::key_finished{std::move(a)}); });
    }

    auto carry_out(request& r, flow_action::release_key const& it) -> void
    {
        keys_.submit(it.it, clock_.now() + config::key_close_timeout,
                     [this, id = r.flow.facts().id](result<apply_result> a)
                     { post(id, flow_event::key_released{std::move(a)}); });
    }

    auto carry_out(request& r, flow_action::enqueue const& it) -> void
    {
        auto const now = clock_.now();
        auto const id = r.flow.facts().id;
        r.ticket.deadline = r.deadline;
        if (it.again)
        {
            r.ticket.arrived = now;
            queues_.requeue(r.ticket);
        }
        else if (auto why = enter_queue(r.ticket, r.route(false), view_,
                                        router_, queues_, now))
        {
            inbox_.emplace_back(id, flow_event::refused{std::move(*why)});
            return;
        }
        pumps_.insert(r.key());
    }

    auto carry_out(request& r, flow_action::leave_queue const& /*it*/) -> void
    {
        queues_.remove(r.flow.facts().id);
    }

    auto events_of(request_id id, attempt_number n) -> upstream_events
    {
        return {.writable = [this, id] { take_drained(id); },
                .head =
                    [this, id, n](answer_head head) {
                        post(id, flow_event::head{n, std::move(head)});
                    },
                .chunk =
                    [this, id, n](std::string_view bytes)
                {
                    post(id, flow_event::chunk{n, bytes});
                    resume_answer(id);
                },
                .end =
                    [this, id, n](result<void> how) {
                        post(id, flow_event::ended{n, std::move(how)});
                    }};
    }

    auto carry_out(request& r, flow_action::send const& it) -> void
    {
        auto const now = clock_.now();
        auto const id = r.flow.facts().id;
        load_.started(r.key());
        r.sent_at = now;
        r.silent_at =
            now + r.silence_limit(queues_.times().expected(r.ticket.work), now);
        auto const n = it.attempt;
        auto const* const info = view_.backend(it.to);
        if (info == nullptr)
        {
            inbox_.emplace_back(
                id, flow_event::ended{n, fail(error_kind::backend_refused,
                                              "the backend server left")});
            return;
        }
        r.call = upstream_.open({it.to, info->address,
                                 view_.share_of(it.to, now).connections,
                                 r.forwarded},
                                events_of(id, n));
        r.relay.attach(r.call);
    }

    auto carry_out(request& r, flow_action::cancel_call const& /*it*/) -> void
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

    auto carry_out(request& r, flow_action::first_byte const& it) -> void
    {
        auto const now = clock_.now();
        auto const took = now - r.sent_at;
        router_.answered(it.from, took, now);
        load_.sample(it.from, took, now);
        metrics_.record(metric::backend_latency, r.ticket.work.service.value(),
                        took);
    }

    auto carry_out(request& r, flow_action::free_slot const& it) -> void
    {
        auto const now = clock_.now();
        drop_call(r);
        load_.ended(r.key());
        router_.ended(view_, it.of, it.how, now);
        if (it.how == attempt_result::ok || it.how == attempt_result::timed_out)
        {
            queues_.times().learn(r.ticket.work, now - r.sent_at);
        }
        pumps_.insert(r.key());
    }

    auto carry_out(request& r, flow_action::start_answer const& it) -> void
    {
        r.exchange->start(it.it);
    }
    auto carry_out(request& r, flow_action::write_answer const& it) -> void
    {
        r.exchange->write(it.bytes);
    }
    auto carry_out(request& r, flow_action::end_answer const& /*it*/) -> void
    {
        r.exchange->end();
    }
    auto carry_out(request& r, flow_action::cut_answer const& /*it*/) -> void
    {
        metrics_.count(metric::cut_answers, r.ticket.work.service.value());
        r.exchange->cut();
    }

    auto carry_out(request& r, flow_action::fail const& it) -> void
    {
        metrics_.count(metric::refusals, name_of(it.why.why.kind));
        send_answer(*r.exchange, answer_for(it.why));
    }

    auto carry_out(request& /*r*/, flow_action::retry const& it) -> void
    {
        metrics_.count(metric::retries, name_of(it.why));
    }

    auto carry_out(request& /*r*/, flow_action::finished const& /*it*/) -> void
    {
    }

    /// Gives free slots to the waiting requests of a service.
    auto pump(service_key const& key) -> void
    {
        auto const now = clock_.now();
        auto short_only = false;
        while (auto const* const it = queues_.front(key, short_only))
        {
            auto const id = it->id;
            auto* const r = find(id);
            if (r == nullptr)
            {
                queues_.remove(id);
                continue;
            }
            auto const slow = queues_.is_long(*it);
            auto const to = router_.choose(view_, r->route(slow), now,
                                           random_bits{next_random(seed_)});
            if (to.has_error())
            {
                if (!slow || short_only)
                {
                    return;
                }
                short_only = true;
                continue;
            }
            queues_.remove(id);
            step(id, flow_event::dispatched{to.value()});
        }
    }

    auto on_timer() -> void
    {
        auto const now = clock_.now();
        for (auto const id : queues_.expire(now))
        {
            auto const* const r = find(id);
            auto why = why_expired(
                r == nullptr ? std::nullopt : std::optional{r->route(false)},
                view_, router_, now);
            inbox_.emplace_back(id, flow_event::refused{std::move(why)});
        }
        while (auto const id = dues_.take(now))
        {
            check(*find(*id), now);
        }
        run();
    }

    auto check(request& r, time_point now) -> void
    {
        auto const id = r.flow.facts().id;
        if (r.has_call() && now >= r.silent_at)
        {
            if (!r.caller_has_room())
            {
                // The caller takes nothing; the slot serves others.
                r.exchange->cut();
                inbox_.emplace_back(id, flow_event::caller_gone{});
            }
            else
            {
                inbox_.emplace_back(id, flow_event::silent{r.flow.attempt()});
            }
        }
        else if (now >= r.deadline && !r.flow.is_forwarding())
        {
            inbox_.emplace_back(id, flow_event::deadline_passed{});
        }
        r.due = std::max(r.next_check(), now + config::deadline_check_interval);
        dues_.add(r.due, id);
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
    std::uint64_t last_request_{0};
    std::unordered_map<request_id, std::unique_ptr<request>> requests_;
    due_times<Clock> dues_;
    std::deque<std::pair<request_id, flow_input>> inbox_;
    std::set<service_key> pumps_;
    std::function<void()> ended_;
    bool running_{false};
    bool any_ended_{false};
};

} // namespace apricotlb

#endif
