/// One urgent request with its connections and times.
#ifndef APRICOTLB_APP_LIVE_REQUEST_HPP
#define APRICOTLB_APP_LIVE_REQUEST_HPP

#include "app/body_relay.hpp"
#include "core/entry/admission.hpp"
#include "core/entry/entry_request.hpp"
#include "core/entry/http.hpp"
#include "core/entry/request_flow.hpp"
#include "core/entry/router.hpp"
#include "core/entry/service_path.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/contract.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace apricotlb
{

/// What goes to the backend server: not the entry's own headers, and not the
/// token, which would act for the customer anywhere.
[[nodiscard]] inline auto forwarded_head(request_head const& it,
                                         std::string const& rest)
    -> request_head
{
    auto out = it;
    out.path = rest;
    std::erase_if(out.headers,
                  [](header const& h) { return is_entry_header(h.name); });
    return out;
}

/// What the driver keeps of a request between events.
template <class Exchange, class Call>
struct live_request
{
    live_request(Exchange from, request_facts facts)
        : exchange(from), flow(std::move(facts)), relay(std::move(from))
    {
    }

    /// Identifies the session and the times at which a request arrives.
    struct arrival
    {
        entry_session session;
        time_point at;
        wall_time wall;
    };

    /// A request as its caller and its customer's contract describe it.
    static auto make(Exchange from, request_id id, entry_request const& it,
                     contract const& limits, arrival const& when)
        -> std::unique_ptr<live_request>
    {
        request_facts facts{.id = id,
                            .customer = limits.customer,
                            .method = from->head().method,
                            .key = {},
                            .digest = digest_of(from->head()),
                            .session = when.session,
                            .arrived = when.wall};
        if (it.key)
        {
            facts.key = key_name{limits.customer, *it.key};
        }
        auto out = std::make_unique<live_request>(from, std::move(facts));
        out->forwarded = forwarded_head(from->head(), it.rest);
        out->vm_share = limits.vm_share;
        out->deadline = deadline_of(limits, it.timeout, when.at);
        out->deadline_length = out->deadline - when.at;
        out->due = out->deadline;
        out->ticket = {.id = id,
                       .work = {limits.customer, it.service,
                                std::string{path_prefix(it.rest)}},
                       .arrived = when.at,
                       .deadline = out->deadline,
                       .urgent_latency = limits.urgent_latency};
        return out;
    }

    Exchange exchange;
    Call call{};
    request_flow flow;
    body_relay<Exchange, Call> relay;
    request_head forwarded; ///< as the backend server gets it
    waiting_request ticket;
    permille vm_share{};
    time_point deadline;
    duration deadline_length{};
    std::size_t extended_at{0}; ///< bytes sent when the deadline last moved
    time_point sent_at;         ///< of the attempt, or of its last body byte
    time_point silent_at;       ///< when the attempt counts as silent
    time_point due;             ///< next check of the times above

    [[nodiscard]] auto key() const -> service_key
    {
        return {ticket.work.customer, ticket.work.service};
    }

    [[nodiscard]] auto route(bool is_long) const -> route_query
    {
        return {ticket.work.customer,
                ticket.work.service,
                vm_share,
                ticket.urgent_latency,
                is_long,
                flow.tried()};
    }

    [[nodiscard]] auto has_call() const -> bool
    {
        return flow.phase() == flow_phase::sent ||
               flow.phase() == flow_phase::answering;
    }

    /// When to look at this request again.
    [[nodiscard]] auto next_check() const -> time_point
    {
        if (flow.is_forwarding())
        {
            return silent_at;
        }
        return has_call() ? std::min(deadline, silent_at) : deadline;
    }

    /// Call when bytes of the request body have moved. A backend server can
    /// answer only once it has the body.
    auto body_moved(time_point now) -> void
    {
        if (call)
        {
            sent_at = now;
        }
        extend_deadline(now);
    }

    /// Lets the answer go on if the caller has room for more of it.
    auto resume_answer(time_point now) -> void
    {
        if (!call || !flow.wants_answer() || !caller_has_room())
        {
            return;
        }
        if (flow.phase() == flow_phase::answering)
        {
            silent_at = now + config::answer_idle_timeout;
        }
        call->resume();
    }

    [[nodiscard]] auto caller_has_room() const -> bool
    {
        return exchange->unwritten() < config::body_buffer_bytes;
    }

    /// How long an attempt may be silent: long enough for the slowest
    /// percent of its kind, short enough to leave time for another server.
    [[nodiscard]] auto silence_limit(duration expected, time_point now) const
        -> duration
    {
        auto const left = deadline - now;
        auto const can_repeat = !flow.facts().key &&
                                is_idempotent(flow.facts().method) &&
                                flow.attempt().value() < config::max_attempts;
        if (!can_repeat)
        {
            return left;
        }
        constexpr int slack = 4;
        auto const usual = std::max<duration>(ticket.urgent_latency, expected);
        return std::min<duration>(left / 2, slack * usual);
    }

    /// A body that moves is not late: the deadline counts from the last
    /// 64 KiB handed on. A slower body than that per deadline is cut.
    auto extend_deadline(time_point now) -> void
    {
        if (relay.sent() >= extended_at + config::body_buffer_bytes)
        {
            extended_at = relay.sent();
            deadline = std::max(deadline, now + deadline_length);
            silent_at = std::max(silent_at, now + deadline_length);
        }
    }
};

} // namespace apricotlb

#endif
