/// One urgent request with its exchange, its call and its time limits.
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

/// The head as it is sent to the backend server: without the headers meant for
/// the entry and without the token, with which any server could act for the
/// customer.
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

/// State that the driver keeps for a request between events.
template <class Exchange, class Call>
struct live_request
{
    live_request(Exchange from, request_facts facts)
        : exchange(from), flow(std::move(facts)), relay(std::move(from))
    {
    }

    /// Session of the entry and time at which a request arrived, by the
    /// monotonic and the wall clock.
    struct arrival
    {
        entry_session session;
        time_point time;
        wall_time wall;
    };

    /// Creates a request from its parsed head and its customer's contract.
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
    request_head forwarded; ///< head for the backend server
    waiting_request ticket;
    permille vm_share{};
    time_point deadline;
    duration deadline_length{};
    /// Body bytes sent when the deadline was extended last.
    std::size_t bytes_at_extension{0};
    /// When the attempt or its last body bytes were sent.
    time_point sent_at;
    /// When the attempt times out because the backend server sent no data.
    time_point silence_deadline;
    /// Next check of the deadline and the silence deadline.
    time_point scheduled_check;

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

    /// True while an attempt is open at a backend server.
    [[nodiscard]] auto has_call() const -> bool
    {
        return flow.phase() == flow_phase::sent ||
               flow.phase() == flow_phase::answering;
    }

    /// The next time at which a deadline of this request may pass.
    [[nodiscard]] auto next_check() const -> time_point
    {
        if (flow.is_forwarding())
        {
            return silence_deadline;
        }
        return has_call() ? std::min(deadline, silence_deadline) : deadline;
    }

    /// Call when bytes of the request body were received or sent. A backend
    /// server can answer only once it has the body, so its latency counts from
    /// the last bytes.
    auto on_body_progress(time_point now) -> void
    {
        if (call)
        {
            sent_at = now;
        }
        extend_deadline(now);
    }

    /// Reads more of the answer if the caller's buffer has free space.
    auto resume_answer(time_point now) -> void
    {
        if (!call || !flow.may_read_answer() || !can_write_to_caller())
        {
            return;
        }
        if (flow.phase() == flow_phase::answering)
        {
            silence_deadline = now + config::answer_idle_timeout;
        }
        call->resume();
    }

    /// True when the caller's buffer has free space for more of the answer.
    [[nodiscard]] auto can_write_to_caller() const -> bool
    {
        return exchange->unwritten() < config::body_buffer_bytes;
    }

    /// How long an attempt may take to answer before it times out. For a
    /// request that can be repeated, the limit is long enough for the slowest
    /// percent of its kind and short enough to leave time for another server.
    /// `expected` is the expected service time.
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

    /// Extends the deadline whenever another 64 KiB of the request body were
    /// forwarded, so that a long upload that makes progress does not time out.
    /// A slower body, with less than 64 KiB per deadline_length, does.
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
