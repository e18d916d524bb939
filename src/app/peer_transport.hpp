/// Transport between the system's processes over a peer link: envelopes,
/// authentication, duplicate detection, keepalives and reconnection.
#ifndef APRICOTLB_APP_PEER_TRANSPORT_HPP
#define APRICOTLB_APP_PEER_TRANSPORT_HPP

#include "core/entry/sequence_window.hpp"
#include "ports/clock.hpp"
#include "ports/codec.hpp"
#include "ports/metrics.hpp"
#include "ports/peer_link.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Header and body of every message between processes.
struct envelope
{
    std::uint32_t version{config::protocol_version};
    node_id from;
    node_id to;
    incarnation run;
    sequence number;
    url reply_to; ///< address at which the sender receives messages
    std::string body;

    static constexpr auto fields()
    {
        return field_list(
            field("version", &envelope::version),
            field("from", &envelope::from), field("to", &envelope::to),
            field("run", &envelope::run), field("number", &envelope::number),
            field("reply_to", &envelope::reply_to),
            field("body", &envelope::body));
    }
};

/// Length of the message authentication code in front of every message.
inline constexpr std::size_t message_code_bytes = 32;

/// Sends Message to peers by node id. Senders are added as peers from their
/// envelopes; the connection to a silent peer is opened again.
template <class Message, clock_port Clock, peer_link_port Link, class Codec,
          message_auth_port Auth, metrics_port Metrics>
class peer_transport
{
public:
    using receiver = std::function<void(node_id const&, Message)>;

    /// Identity of this process in its envelopes.
    struct identity
    {
        node_id node;
        incarnation run;
        url address;
    };

    peer_transport(identity self, Clock& clock, Link& link, Auth const& auth,
                   Metrics& metrics)
        : self_(std::move(self)), clock_(clock), link_(link), auth_(auth),
          metrics_(metrics)
    {
        link_.on_bytes([this](std::string_view bytes) { receive(bytes); });
        schedule();
    }
    peer_transport(peer_transport const&) = delete;
    auto operator=(peer_transport const&) -> peer_transport& = delete;
    ~peer_transport() { clock_.cancel_timer(timer_); }

    /// Adds a permanent peer, which is not removed when it is silent.
    auto add_peer(node_id const& id, url const& at) -> void
    {
        auto const it = peers_.find(id);
        if (it == peers_.end())
        {
            dial(id, at);
        }
        peers_[id].permanent = true;
    }

    /// Adds a peer or updates its address. The peer is removed after a silent
    /// period unless it is permanent.
    auto introduce(node_id const& id, url const& at) -> void
    {
        auto const it = peers_.find(id);
        if (id == self_.node ||
            (it != peers_.end() && it->second.address == at))
        {
            return;
        }
        dial(id, at);
        peers_[id].last_contact = clock_.now();
    }

    auto on_message(receiver callback) -> void
    {
        receiver_ = std::move(callback);
    }

    /// A message to this process itself is delivered in a later turn of the
    /// loop.
    auto send(node_id const& to, Message const& message) -> void
    {
        if (to == self_.node)
        {
            clock_.start_timer(duration{0},
                               [this, message]
                               {
                                   if (receiver_)
                                   {
                                       receiver_(self_.node, message);
                                   }
                               });
            return;
        }
        send_body(to, Codec::encode(message));
    }

    /// Sends a message to every peer.
    auto send_to_all(Message const& message) -> void
    {
        auto const body = Codec::encode(message);
        for (auto const& [id, it] : peers_)
        {
            send_body(id, body);
        }
    }

    [[nodiscard]] auto address() const -> url const& { return self_.address; }

private:
    struct peer
    {
        url address;
        incarnation run;
        sequence_window received_numbers;
        time_point opened{};
        time_point last_contact{};
        time_point last_sent{};
        bool permanent{false};
    };

    /// Silent period after which a peer that is not permanent is removed.
    static constexpr duration removal_delay = std::chrono::seconds{30};
    static constexpr duration check_interval = config::heartbeat_interval;

    auto schedule() -> void
    {
        timer_ = clock_.start_timer(check_interval, [this] { check_peers(); });
    }

    auto dial(node_id const& id, url const& at) -> void
    {
        auto& it = peers_[id];
        it.address = at;
        it.opened = clock_.now();
        link_.open(id, at);
    }

    auto send_body(node_id const& to, std::string body) -> void
    {
        auto const it = peers_.find(to);
        if (it == peers_.end())
        {
            metrics_.count("apricotlb_peer_drops_total", "unknown_peer");
            return;
        }
        envelope out;
        out.from = self_.node;
        out.to = to;
        out.run = self_.run;
        out.number = ++last_number_;
        out.reply_to = self_.address;
        out.body = std::move(body);
        auto const bytes = Codec::encode(out);
        it->second.last_sent = clock_.now();
        if (!link_.send(to, auth_.compute_mac(bytes) + bytes))
        {
            metrics_.count("apricotlb_peer_drops_total", "queue_full");
            return;
        }
        metrics_.count(metric::peer_messages,
                       out.body.empty() ? "keepalive_sent" : "sent");
    }

    auto receive(std::string_view bytes) -> void
    {
        if (bytes.size() < message_code_bytes ||
            !auth_.is_valid_mac(bytes.substr(0, message_code_bytes),
                                bytes.substr(message_code_bytes)))
        {
            metrics_.count("apricotlb_peer_drops_total", "unauthentic");
            return;
        }
        auto got =
            Codec::template decode<envelope>(bytes.substr(message_code_bytes));
        if (got.has_error() || got.value().to != self_.node)
        {
            metrics_.count("apricotlb_peer_drops_total", "malformed");
            return;
        }
        auto it = std::move(got).value();
        if (it.version != config::protocol_version)
        {
            metrics_.count("apricotlb_peer_drops_total", "version");
            return;
        }
        if (!accept(it))
        {
            metrics_.count("apricotlb_peer_drops_total", "duplicate");
            return;
        }
        // An empty body is a keepalive.
        metrics_.count(metric::peer_messages,
                       it.body.empty() ? "keepalive_received" : "received");
        if (it.body.empty())
        {
            return;
        }
        auto message = Codec::template decode<Message>(it.body);
        if (message.has_error())
        {
            metrics_.count("apricotlb_peer_drops_total", "malformed");
            return;
        }
        if (receiver_)
        {
            receiver_(it.from, std::move(message).value());
        }
    }

    /// Records the sender and its address. False for a duplicate and for a
    /// message of an earlier incarnation.
    auto accept(envelope const& it) -> bool
    {
        auto& from = peers_[it.from];
        if (it.run < from.run)
        {
            return false;
        }
        if (it.run != from.run)
        {
            from.run = it.run;
            from.received_numbers = {};
        }
        if (!from.received_numbers.accept(it.number))
        {
            return false;
        }
        from.last_contact = clock_.now();
        if (from.address != it.reply_to)
        {
            dial(it.from, it.reply_to);
        }
        return true;
    }

    auto check_peers() -> void
    {
        auto const now = clock_.now();
        std::vector<node_id> expired;
        std::vector<node_id> silent;
        std::vector<node_id> idle;
        for (auto const& [id, it] : peers_)
        {
            auto const silent_period =
                now - std::max(it.last_contact, it.opened);
            if (!it.permanent && now - it.last_contact > removal_delay)
            {
                expired.push_back(id);
            }
            else if (silent_period > config::peer_timeout)
            {
                silent.push_back(id);
            }
            if (now - it.last_sent >= check_interval)
            {
                idle.push_back(id);
            }
        }
        for (auto const& id : silent)
        {
            metrics_.count("apricotlb_peer_reconnects_total", "silent");
            dial(id, url{peers_[id].address});
        }
        for (auto const& id : idle)
        {
            send_body(id, {});
        }
        for (auto const& id : expired)
        {
            link_.close(id);
            peers_.erase(id);
        }
        schedule();
    }

    identity self_;
    Clock& clock_;
    Link& link_;
    Auth const& auth_;
    Metrics& metrics_;
    receiver receiver_;
    std::unordered_map<node_id, peer> peers_;
    /// Shared by all peers, so that numbers stay unique for a peer that is
    /// removed and added again.
    sequence last_number_{};
    timer_id timer_;
};

} // namespace apricotlb

#endif
