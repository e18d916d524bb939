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

/// Sends heartbeats, follows their answers and serves callers. Hash turns a
/// caller's token into its hash.
template <clock_port Clock, class Transport, request_source_port Source,
          upstream_port Upstream, class Json, class Hash, class Metrics>
class entry_node
{
public:
    entry_node(Clock& clock, Transport& transport, Source& source,
               Upstream& upstream, Metrics& metrics, settings const& own,
               incarnation run)
        : clock_(clock), transport_(transport), metrics_(metrics),
          control_(members_of(own)), view_(entry_view::builder{}
                                               .node(own.node)
                                               .run(run)
                                               .zone(own.zone)
                                               .build()),
          link_(clock, send_call{transport}, control_),
          role_(clock, source, upstream, link_, metrics, view_,
                {own.balancer_wait, own.queue_per_customer,
                 random_bits{run.value()}}),
          api_(own, view_, link_, metrics)
    {
        role_.on_other([this](http_request it, reply done)
                       { serve(std::move(it), std::move(done)); });
        beat();
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

    static auto members_of(settings const& own) -> std::vector<node_id>
    {
        std::vector<node_id> out;
        out.reserve(own.control.size());
        for (auto const& [id, at] : own.control)
        {
            out.push_back(id);
        }
        return out;
    }

    /// Sends a heartbeat to the presumed leader, or to every control process
    /// while there is no lease, so that a new leader is found at once.
    auto beat() -> void
    {
        timer_ =
            clock_.start_timer(config::heartbeat_interval, [this] { beat(); });
        auto const now = clock_.now();
        auto it = view_.make_heartbeat(now, role_.demand(), role_.latency(),
                                       role_.in_use(), role_.is_draining());
        auto const renewed_lately =
            now + config::entry_lease / 2 < view_.lease_end();
        if (renewed_lately)
        {
            transport_.send(link_.leader(), peer_message{std::move(it)});
            return;
        }
        for (auto const& id : control_)
        {
            transport_.send(id, peer_message{it});
        }
    }

    auto serve(http_request it, reply done) -> void
    {
        api_message message{std::move(it.method), std::move(it.path),
                            std::move(it.query),  std::nullopt,
                            std::nullopt,         std::move(it.body)};
        if (auto token = bearer_token(it.headers))
        {
            message.token = Hash{}(*token);
        }
        if (auto const* const change =
                find_header(it.headers, "Apricotlb-Change-Id"))
        {
            message.change = change_id{*change};
        }
        api_.handle(std::move(message),
                    [this, done = std::move(done)](result<api_response> got)
                    {
                        if (got.has_error())
                        {
                            metrics_.count(metric::refusals,
                                           name_of(got.error().kind));
                            done(answer_for(got.error()));
                            return;
                        }
                        auto& out = got.value();
                        done({out.status,
                              {{"Content-Type", std::move(out.content_type)}},
                              std::move(out.body)});
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
