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
                                         std::string const& backend_path)
    -> request_head
{
    auto out = it;
    out.path = backend_path;
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
        time_point time;
        wall_time wall;
    };

    /// A request as its caller and its customer's contract describe it.
    static auto make(Exchange from, request_id id, entry_request const& it,
                     contract const& limits, arrival const& arrived)
        -> std::unique_ptr<live_request>
    {
        request_facts facts{.id = id,
                            .customer = limits.customer,
                            .method = from->head().method,
                            .key = {},
                            .digest = digest_of(from->head()),
                            .session = arrived.session,
                            .arrived = arrived.wall};
        if (it.key)
        {
            facts.key = key_name{limits.customer, *it.key};
        }
        auto out = std::make_unique<live_request>(from, std::move(facts));
        out->forwarded = forwarded_head(from->head(), it.backend_path);
        out->vm_share = limits.vm_share;
        out->deadline = deadline_of(limits, it.timeout, arrived.time);
        out->deadline_length = out->deadline - arrived.time;
        out->scheduled_check = out->deadline;
        out->ticket = {.id = id,
                       .work = {limits.customer, it.service,
                                std::string{path_prefix(it.backend_path)}},
                       .arrived = arrived.time,
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
    std::size_t bytes_at_extension{
        0};                      ///< bytes sent when the deadline last moved
    time_point sent_at;          ///< of the attempt, or of its last body byte
    time_point silence_deadline; ///< when the attempt counts as silent
    time_point scheduled_check;  ///< next check of the times above

    [[nodiscard]] auto service() const -> service_key
    {
        return {ticket.work.customer, ticket.work.service};
    }

    [[nodiscard]] auto make_route_query(bool is_long) const -> route_query
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
            return silence_deadline;
        }
        return has_call() ? std::min(deadline, silence_deadline) : deadline;
    }

    /// Call when bytes of the request body have moved. A backend server can
    /// answer only once it has the body.
    auto on_body_progress(time_point now) -> void
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
        if (!call || !flow.may_read_answer() || !can_write_to_caller())
        {
            return;
        }
        if (flow.phase() == flow_phase::answering)
        {
            silence_deadline = now + config::answer_silence;
        }
        call->resume();
    }

    [[nodiscard]] auto can_write_to_caller() const -> bool
    {
        return exchange->unwritten() < config::body_buffer_bytes;
    }

    /// How long an attempt may be silent: long enough for the slowest
    /// percent of its kind, short enough to leave time for another server.
    [[nodiscard]] auto silence_limit(duration expected, time_point now) const
        -> duration
    {
        auto const time_left = deadline - now;
        auto const can_repeat = !flow.facts().key &&
                                is_idempotent(flow.facts().method) &&
                                flow.attempt().value() < config::max_attempts;
        if (!can_repeat)
        {
            return time_left;
        }
        constexpr int slack_factor = 4;
        auto const typical_latency =
            std::max<duration>(ticket.urgent_latency, expected);
        return std::min<duration>(time_left / 2,
                                  slack_factor * typical_latency);
    }

    /// A body that moves is not late: the deadline counts from the last
    /// 64 KiB handed on. A slower body than that per deadline is cut.
    auto extend_deadline(time_point now) -> void
    {
        if (relay.sent_bytes() >=
            bytes_at_extension + config::body_buffer_bytes)
        {
            bytes_at_extension = relay.sent_bytes();
            deadline = std::max(deadline, now + deadline_length);
            silence_deadline =
                std::max(silence_deadline, now + deadline_length);
        }
    }
};

} // namespace apricotlb

#endif
