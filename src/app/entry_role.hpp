/// The entry role: receives requests from callers over HTTP and forwards them
/// to backend servers.
#ifndef APRICOTLB_APP_ENTRY_ROLE_HPP
#define APRICOTLB_APP_ENTRY_ROLE_HPP

#include "app/drain_driver.hpp"
#include "app/problem.hpp"
#include "app/request_driver.hpp"
#include "app/whole_body.hpp"
#include "core/entry/entry_request.hpp"
#include "core/entry/entry_view.hpp"
#include "core/entry/service_path.hpp"
#include "ports/clock.hpp"
#include "ports/http.hpp"
#include "ports/key_log.hpp"
#include "ports/metrics.hpp"

#include <apricotlb/config.hpp>

#include <functional>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Settings of the entry role.
struct entry_options
{
    /// Time between the failing health check and the end of listening.
    duration balancer_wait{seconds{5}};
    duration shutdown_grace{};              ///< see drain_times::within
    request_count queue_per_customer{1024}; ///< maximum of waiting requests
    random_bits seed{1}; ///< of the random choice of backend servers
};

/// Connects admission, routing and idempotency keys to a request source and an
/// upstream. The owner of the view applies the leader's answers to it and calls
/// view_changed() after each. Hash computes the hash of a caller's token.
template <clock_port Clock, request_source_port Source, upstream_port Upstream,
          key_log_port KeyLog, class Hash, metrics_port Metrics>
class entry_role
{
public:
    using exchange = typename Source::exchange;
    using reply = std::function<void(http_answer)>;
    using api_handler = std::function<void(http_request, reply)>;
    using exit_handler = drain_driver<Clock, Source>::exit_handler;

    entry_role(Clock& clock, Source& source, Upstream& upstream, KeyLog& log,
               Metrics& metrics, entry_view& view, entry_options options)
        : clock_(clock), source_(source), metrics_(metrics), view_(view),
          driver_(clock, upstream, log, metrics, view,
                  options.queue_per_customer, options.seed),
          drain_(clock, {&source},
                 drain_times::within(options.balancer_wait,
                                     options.shutdown_grace))
    {
        source_.on_request([this](exchange it) { handle(std::move(it)); });
        drain_.count_requests([this] { return driver_.in_flight(); });
        driver_.on_end([this] { drain_.advance(); });
        source_.on_refused(
            [this](error_kind kind)
            { metrics_.count(metric::refusals, name_of(kind)); });
    }
    entry_role(entry_role const&) = delete;
    auto operator=(entry_role const&) -> entry_role& = delete;

    /// Sets the handler of requests to paths other than /s/ and /healthz. It
    /// receives each request with its complete body.
    auto on_api_request(api_handler handler) -> void
    {
        api_handler_ = std::move(handler);
    }

    /// Handles a new exchange of the source.
    auto handle(exchange request) -> void
    {
        auto const& path = request->head().path;
        if (path == "/healthz")
        {
            answer_health(*request);
        }
        else if (is_service_path(path))
        {
            handle_urgent(std::move(request));
        }
        else if (api_handler_)
        {
            collect_body(std::move(request), api_handler_);
        }
        else
        {
            refuse(*request,
                   {error_kind::not_found,
                    "no such path; this entry serves /s/{service}/{path} "
                    "and /healthz"});
        }
    }

    /// Call after the view has applied an answer of the leader.
    auto view_changed() -> void { driver_.view_changed(); }

    // Content of the next heartbeat.
    [[nodiscard]] auto demand() -> std::vector<service_demand>
    {
        return driver_.demand();
    }
    [[nodiscard]] auto latency() -> std::vector<latency_report>
    {
        return driver_.latency();
    }
    [[nodiscard]] auto in_use() const -> std::vector<share>
    {
        return driver_.in_use();
    }
    [[nodiscard]] auto is_draining() const -> bool
    {
        return drain_.is_draining();
    }
    [[nodiscard]] auto in_flight() const -> request_count
    {
        return driver_.in_flight();
    }
    [[nodiscard]] auto is_healthy() const -> bool
    {
        return view_.has_lease(clock_.now()) && !drain_.is_draining();
    }

    /// Sets the handler that runs once, when the process may exit.
    auto on_exit(exit_handler handler) -> void
    {
        drain_.on_exit(std::move(handler));
    }

    /// Starts the graceful shutdown, or ends it, as drain::signal decides.
    auto begin_drain(stop_signal it) -> void { drain_.signal(it); }

private:
    auto answer_health(typename exchange::element_type& it) -> void
    {
        if (is_healthy())
        {
            send_answer(
                it,
                {http_status{200}, {{"Content-Type", "text/plain"}}, "ok\n"});
            return;
        }
        send_answer(
            it,
            drain_.is_draining()
                ? answer_for(
                      error{error_kind::draining,
                            "this entry is shutting down; use another entry"})
                : answer_for(error{
                      error_kind::lease_lapsed,
                      "this entry holds no lease from the control leader"}));
    }

    auto refuse(typename exchange::element_type& it, error const& reason)
        -> void
    {
        metrics_.count(metric::refusals, name_of(reason.kind));
        send_answer(it, answer_for(reason));
    }

    auto handle_urgent(exchange request) -> void
    {
        if (drain_.phase() == drain_phase::finishing)
        {
            refuse(*request,
                   {error_kind::draining,
                    "this entry is shutting down; use another entry"});
            return;
        }
        auto const parsed = read_entry_request(request->head());
        if (parsed.has_error())
        {
            refuse(*request, parsed.error());
            return;
        }
        auto const customer = view_.customer_of(Hash{}(parsed.value().token));
        auto const* const limits =
            customer ? view_.contract_of(*customer) : nullptr;
        if (limits == nullptr)
        {
            // Without a lease the view may be empty or out of date, so the
            // token may still be valid at another entry.
            refuse(
                *request,
                view_.has_lease(clock_.now())
                    ? error{error_kind::unauthorized,
                            "the bearer token is not listed in any contract"}
                    : error{
                          error_kind::lease_lapsed,
                          "this entry holds no lease from the control leader"});
            return;
        }
        driver_.accept(std::move(request), parsed.value(), *limits);
    }

    Clock& clock_;
    Source& source_;
    Metrics& metrics_;
    entry_view& view_;
    request_driver<Clock, Source, Upstream, KeyLog, Metrics> driver_;
    drain_driver<Clock, Source> drain_;
    api_handler api_handler_;
};

} // namespace apricotlb

#endif
