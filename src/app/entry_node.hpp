/// An entry process: the entry role and the API over one link to the leader.
#ifndef APRICOTLB_APP_ENTRY_NODE_HPP
#define APRICOTLB_APP_ENTRY_NODE_HPP

#include "app/control_link.hpp"
#include "app/entry_api.hpp"
#include "app/entry_role.hpp"
#include "app/peer_message.hpp"
#include "app/settings.hpp"
#include "core/entry/entry_view.hpp"
#include "ports/clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Sends heartbeats to the control leader, applies its answers and serves
/// callers. Hash computes the hash of a caller's token.
template <clock_port Clock, class Transport, request_source_port Source,
          upstream_port Upstream, class Json, class Hash, class Metrics>
class entry_node
{
public:
    entry_node(Clock& clock, Transport& transport, Source& source,
               Upstream& upstream, Metrics& metrics,
               settings const& own_settings, incarnation own_incarnation)
        : clock_(clock), transport_(transport), metrics_(metrics),
          control_(members_of(own_settings)), view_(entry_view::builder{}
                                                        .node(own_settings.node)
                                                        .run(own_incarnation)
                                                        .zone(own_settings.zone)
                                                        .build()),
          link_(clock, send_call{transport}, control_, own_incarnation),
          role_(clock, source, upstream, link_, metrics, view_,
                {own_settings.balancer_wait, own_settings.shutdown_grace,
                 own_settings.queue_per_customer,
                 random_bits{own_incarnation.value()}}),
          api_(own_settings, view_, link_, metrics)
    {
        role_.on_api_request([this](http_request it, reply done)
                             { serve(std::move(it), std::move(done)); });
        send_heartbeat();
    }
    entry_node(entry_node const&) = delete;
    auto operator=(entry_node const&) -> entry_node& = delete;
    ~entry_node() { clock_.cancel_timer(timer_); }

    auto take(node_id const& from, entry_heartbeat_answer const& it) -> void
    {
        if (view_.take(it))
        {
            link_.set_leader(from);
            role_.view_changed();
        }
    }
    auto take(node_id const& from, call_answer it) -> void
    {
        link_.take(from, std::move(it));
    }

    [[nodiscard]] auto role() -> auto& { return role_; }

private:
    using reply = std::function<void(http_answer)>;

    struct send_call
    {
        Transport& transport;

        auto operator()(node_id const& to, call const& it) const -> void
        {
            transport.send(to, peer_message{it});
        }
    };

    static auto members_of(settings const& own_settings) -> std::vector<node_id>
    {
        std::vector<node_id> out;
        out.reserve(own_settings.control.size());
        for (auto const& [id, address] : own_settings.control)
        {
            out.push_back(id);
        }
        return out;
    }

    /// Sends a heartbeat to the presumed leader. If the lease was not renewed
    /// within half its length, every control process receives the heartbeat,
    /// so that a new leader is found at once.
    auto send_heartbeat() -> void
    {
        timer_ = clock_.start_timer(config::heartbeat_interval,
                                    [this] { send_heartbeat(); });
        auto const now = clock_.now();
        auto heartbeat =
            view_.make_heartbeat(now, role_.demand(), role_.latency(),
                                 role_.in_use(), role_.is_draining());
        auto const is_recently_renewed =
            now + config::entry_lease / 2 < view_.lease_end();
        if (is_recently_renewed)
        {
            transport_.send(link_.leader(), peer_message{std::move(heartbeat)});
            return;
        }
        for (auto const& id : control_)
        {
            transport_.send(id, peer_message{heartbeat});
        }
    }

    /// Answers a request to the API.
    auto serve(http_request request, reply done) -> void
    {
        api_message message{std::move(request.method),
                            std::move(request.path),
                            std::move(request.query),
                            std::nullopt,
                            std::nullopt,
                            std::move(request.body)};
        if (auto token = bearer_token(request.headers))
        {
            message.token = Hash{}(*token);
        }
        if (auto const* const change =
                find_header(request.headers, "Apricotlb-Change-Id"))
        {
            message.change = change_id{*change};
        }
        api_.handle(
            std::move(message),
            [this, done = std::move(done)](result<api_response> answer)
            {
                if (answer.has_error())
                {
                    metrics_.count(metric::refusals,
                                   name_of(answer.error().kind));
                    done(answer_for(answer.error()));
                    return;
                }
                auto& response = answer.value();
                done({response.status,
                      {{"Content-Type", std::move(response.content_type)}},
                      std::move(response.body)});
            });
    }

    using link = control_link<Clock, send_call>;

    Clock& clock_;
    Transport& transport_;
    Metrics& metrics_;
    std::vector<node_id> control_;
    entry_view view_;
    link link_;
    entry_role<Clock, Source, Upstream, link, Hash, Metrics> role_;
    entry_api<link, Json, Metrics> api_;
    timer_id timer_;
};

} // namespace apricotlb

#endif
