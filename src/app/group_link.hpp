/// Link of a process to the leader of a control group found by discovery.
#ifndef APRICOTLB_APP_GROUP_LINK_HPP
#define APRICOTLB_APP_GROUP_LINK_HPP

#include "app/control_link.hpp"
#include "app/group_discovery.hpp"
#include "app/peer_message.hpp"
#include "ports/clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Discovers the control processes, and pings the leader every
/// config::leader_ping_interval. `ping_body` tells the leader what this process
/// does for workers. Fetch is callable with (url, callback of
/// result<std::string>).
template <clock_port Clock, class Transport, class Fetch, class Json>
class group_link
{
public:
    group_link(Clock& clock, Transport& transport, Fetch fetch,
               std::vector<endpoint> const& seeds, incarnation life,
               leader_ping ping_body = {})
        : clock_(clock), transport_(transport),
          ping_body_(std::move(ping_body)),
          link_(clock, send_call{transport}, {}, life),
          discovery_(clock, std::move(fetch), introduce{transport}, seeds)
    {
        discovery_.on_found([this](std::vector<node_id> const& nodes)
                            { link_.set_control(nodes); });
        ping();
    }
    group_link(group_link const&) = delete;
    auto operator=(group_link const&) -> group_link& = delete;
    ~group_link() { clock_.cancel_timer(timer_); }

    auto take(node_id const& from, call_answer it) -> void
    {
        link_.take(from, std::move(it));
    }

    /// Pings a new leader at once.
    auto take(node_id const& from, leader_notice const& /*it*/) -> void
    {
        link_.set_leader(from);
        send_ping();
    }

    /// Called before each regular ping; what it sends leaves with the ping.
    auto before_ping(std::function<void()> callback) -> void
    {
        before_ping_ = std::move(callback);
    }

    /// Called before each ping, regular or not, with the process to ping; what
    /// it sends there leaves with the ping.
    auto with_ping(std::function<void(node_id const&)> callback) -> void
    {
        with_ping_ = std::move(callback);
    }

    /// Tells the leader to send no more orders through this process.
    auto stop_relaying() -> void
    {
        ping_body_ = {};
        send_ping();
    }

    /// True if a ping sent within config::leader_timeout was answered.
    [[nodiscard]] auto has_leader() const -> bool
    {
        return last_answered_ping_ &&
               clock_.now() - *last_answered_ping_ < config::leader_timeout;
    }
    [[nodiscard]] auto leader() const -> node_id const&
    {
        return link_.leader();
    }
    [[nodiscard]] auto calls() -> auto& { return link_; }
    [[nodiscard]] auto discovery() -> auto& { return discovery_; }

private:
    struct send_call
    {
        Transport& transport;

        auto operator()(node_id const& to, call const& it) const -> void
        {
            transport.send(to, peer_message{it});
        }
    };

    struct introduce
    {
        Transport& transport;

        auto operator()(node_id const& id, url const& at) const -> void
        {
            transport.introduce(id, at);
        }
    };

    auto ping() -> void
    {
        timer_ = clock_.start_timer(config::leader_ping_interval,
                                    [this] { ping(); });
        discovery_.set_settled(has_leader());
        if (before_ping_)
        {
            before_ping_();
        }
        send_ping();
    }

    auto send_ping() -> void
    {
        if (with_ping_ && link_.is_connected())
        {
            with_ping_(link_.leader());
        }
        link_.start(
            ping_body_,
            [this, sent = clock_.now()](auto const& got)
            {
                if (!got.has_error())
                {
                    last_answered_ping_ = sent;
                }
            },
            config::leader_timeout);
    }

    Clock& clock_;
    Transport& transport_;
    leader_ping ping_body_;
    std::function<void()> before_ping_;
    std::function<void(node_id const&)> with_ping_;
    control_link<Clock, send_call> link_;
    group_discovery<Clock, Fetch, introduce, Json> discovery_;
    std::optional<time_point> last_answered_ping_;
    timer_id timer_;
};

} // namespace apricotlb

#endif
