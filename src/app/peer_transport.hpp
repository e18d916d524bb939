/// Transport between the system's processes over a peer link: envelopes,
/// authentication, duplicate detection, lives of peers, keepalives and
/// reconnection.
#ifndef APRICOTLB_APP_PEER_TRANSPORT_HPP
#define APRICOTLB_APP_PEER_TRANSPORT_HPP

#include "core/group/peer_lives.hpp"
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
#include <optional>
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

/// Version of an envelope whose body is a list of message bodies.
inline constexpr std::uint32_t batch_version = config::protocol_version + 1;
/// Envelopes of a process that reads batches have numbers above this one.
/// Earlier programs number from 1, drop batches and accept any number.
inline constexpr sequence batch_numbers_begin{std::uint64_t{1} << 62U};
/// Version of an envelope whose body is an acknowledgement.
inline constexpr std::uint32_t acknowledgement_version =
    config::protocol_version + 2;
/// Envelopes of a process that reads acknowledgements have numbers above this
/// one, which is above batch_numbers_begin.
inline constexpr sequence acknowledgement_numbers_begin{
    batch_numbers_begin.value() + (std::uint64_t{1} << 61U)};
/// Version of an envelope whose body is a challenge.
inline constexpr std::uint32_t challenge_version = config::protocol_version + 3;
/// Version of an envelope whose body is the answer to a challenge.
inline constexpr std::uint32_t challenge_answer_version =
    config::protocol_version + 4;
/// Envelopes of a process that answers challenges have numbers above this one,
/// which is above acknowledgement_numbers_begin.
inline constexpr sequence challenge_numbers_begin{
    acknowledgement_numbers_begin.value() + (std::uint64_t{1} << 60U)};
/// Received messages are acknowledged at least this often.
inline constexpr duration acknowledgement_interval = milliseconds{500};
/// Time without an acknowledgement after which the connection to a peer that
/// is heard from is opened again: each direction has a connection of its own,
/// and one that ends in a proxy takes all that is written.
inline constexpr duration acknowledgement_timeout =
    config::peer_timeout + acknowledgement_interval;

/// The highest number that was received from one life of a process.
struct acknowledgement
{
    incarnation run;
    sequence number;

    static constexpr auto fields()
    {
        return field_list(field("run", &acknowledgement::run),
                          field("number", &acknowledgement::number));
    }
};

/// Asks the process at an address which life it is; the answer has the same
/// nonce. The life is the one of the answer's envelope.
struct life_challenge
{
    challenge_nonce nonce;

    static constexpr auto fields()
    {
        return field_list(field("nonce", &life_challenge::nonce));
    }
};

/// Age of the oldest message that a peer has not acknowledged.
struct peer_lag
{
    node_id id;
    duration age{};
};

/// Bytes of message bodies in one batch; a larger body is sent by itself.
inline constexpr std::size_t max_batch_bytes = 64 * config::kib;

/// A life of a peer whose messages are dropped, beside the one that is heard.
struct refused_life
{
    node_id peer;
    incarnation refused;
    incarnation known;
    refusal_cause cause{refusal_cause::former};
};

/// Sends Message to peers by node id. Senders are added as peers from their
/// envelopes; the connection to a silent peer is opened again. What is sent to
/// a peer within one turn of the loop leaves in one envelope.
template <class Message, clock_port Clock, peer_link_port Link, class Codec,
          message_auth_port Auth, metrics_port Metrics>
class peer_transport
{
public:
    using receiver = std::function<void(node_id const&, Message)>;
    using refused_life_observer = std::function<void(refused_life const&)>;

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
          metrics_(metrics), nonces_(self_.run.value())
    {
        link_.on_bytes([this](std::string_view bytes) { receive(bytes); });
        schedule();
    }
    peer_transport(peer_transport const&) = delete;
    auto operator=(peer_transport const&) -> peer_transport& = delete;
    ~peer_transport()
    {
        flush_all();
        clock_.cancel_timer(timer_);
        clock_.cancel_timer(flush_timer_);
    }

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

    /// Called once for each life that is refused, and for each one that was
    /// replaced or kept without an answer.
    auto on_life_refused(refused_life_observer callback) -> void
    {
        life_refused_ = std::move(callback);
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
        add_body(to, Codec::encode(message));
    }

    /// Sends now what this turn has for peers. To be called before the loop
    /// blocks, so that messages do not wait meanwhile.
    auto flush() -> void
    {
        if (is_flush_due_)
        {
            clock_.cancel_timer(flush_timer_);
            flush_all();
        }
    }

    /// Sends a message to every peer.
    auto send_to_all(Message const& message) -> void
    {
        auto const body = Codec::encode(message);
        for (auto const& [id, it] : peers_)
        {
            add_body(id, body);
        }
    }

    /// The peers that have not acknowledged a message of at least this age.
    [[nodiscard]] auto lags(duration at_least) const -> std::vector<peer_lag>
    {
        std::vector<peer_lag> out;
        auto const now = clock_.now();
        for (auto const& [id, it] : peers_)
        {
            if (it.awaited && now - it.awaited_since >= at_least)
            {
                out.push_back({id, now - it.awaited_since});
            }
        }
        return out;
    }

    [[nodiscard]] auto address() const -> url const& { return self_.address; }

private:
    struct peer
    {
        sequence last_number; ///< of the messages to the peer
        url address;
        peer_lives lives;
        std::vector<envelope> held; ///< until it is known which life answers
        /// Second connection, to the address of a claim; empty if none.
        url claim_address;
        time_point claim_heard{};
        bool is_opened_for_claim{false}; ///< the connection to `address`
        time_point opened{};
        time_point last_contact{};
        time_point last_sent{};
        std::vector<std::string> waiting; ///< bodies that this turn sends
        std::size_t waiting_bytes{0};
        bool reads_batches{false};
        bool reads_acknowledgements{false};
        /// The oldest message without an acknowledgement, none if all have one.
        std::optional<sequence> awaited;
        time_point awaited_since{};
        sequence acknowledged; ///< number that the peer was told last
        time_point last_acknowledgement{}; ///< sent to the peer
        bool permanent{false};
    };

    /// Silent period after which a peer that is not permanent is removed.
    static constexpr duration removal_delay = std::chrono::seconds{30};
    /// Keepalives are late by this at most.
    static constexpr duration check_interval = peer_lives::challenge_interval;

    auto schedule() -> void
    {
        timer_ = clock_.start_timer(check_interval, [this] { check_peers(); });
    }

    /// Adds the peer if it is new.
    auto peer_of(node_id const& id) -> peer&
    {
        auto const [it, is_new] = peers_.try_emplace(id);
        if (is_new)
        {
            it->second.last_number = highest_number_;
        }
        return it->second;
    }

    auto dial(node_id const& id, url const& at) -> void
    {
        auto& it = peer_of(id);
        it.address = at;
        it.opened = clock_.now();
        link_.open(id, at);
    }

    auto add_body(node_id const& to, std::string body) -> void
    {
        auto const it = peers_.find(to);
        if (it == peers_.end())
        {
            metrics_.count("apricotlb_peer_drops_total", "unknown_peer");
            return;
        }
        auto& target = it->second;
        if (target.waiting_bytes + body.size() > max_batch_bytes)
        {
            flush(to, target);
        }
        if (target.waiting.empty())
        {
            to_flush_.push_back(to);
        }
        target.waiting_bytes += body.size();
        target.waiting.push_back(std::move(body));
        if (!is_flush_due_)
        {
            is_flush_due_ = true;
            flush_timer_ =
                clock_.start_timer(duration{0}, [this] { flush_all(); });
        }
    }

    auto flush_all() -> void
    {
        is_flush_due_ = false;
        for (auto const& id : std::exchange(to_flush_, {}))
        {
            if (auto const it = peers_.find(id); it != peers_.end())
            {
                flush(id, it->second);
            }
        }
    }

    auto flush(node_id const& to, peer& it) -> void
    {
        auto bodies = std::exchange(it.waiting, {});
        it.waiting_bytes = 0;
        if (bodies.size() > 1 && it.reads_batches)
        {
            send_envelope(to, it, batch_version, Codec::encode(bodies),
                          bodies.size());
            return;
        }
        for (auto& body : bodies)
        {
            send_envelope(to, it, config::protocol_version, std::move(body), 1);
        }
    }

    /// The bytes of the next envelope to a peer.
    auto seal(node_id const& to, peer& it, std::uint32_t version,
              std::string body) -> std::string
    {
        envelope out;
        out.version = version;
        out.from = self_.node;
        out.to = to;
        out.run = self_.run;
        out.number = ++it.last_number;
        highest_number_ = std::max(highest_number_, it.last_number);
        out.reply_to = self_.address;
        out.body = std::move(body);
        auto const bytes = Codec::encode(out);
        return auth_.compute_mac(bytes) + bytes;
    }

    auto send_envelope(node_id const& to, peer& it, std::uint32_t version,
                       std::string body, std::size_t messages) -> void
    {
        auto const is_keepalive =
            body.empty() || version == acknowledgement_version;
        auto const bytes = seal(to, it, version, std::move(body));
        it.last_sent = clock_.now();
        if (it.reads_acknowledgements && !it.awaited)
        {
            it.awaited = it.last_number;
            it.awaited_since = it.last_sent;
        }
        auto const is_sent = link_.send(to, bytes);
        for (std::size_t n = 0; n < messages; ++n)
        {
            if (!is_sent)
            {
                metrics_.count("apricotlb_peer_drops_total", "queue_full");
                continue;
            }
            metrics_.count(metric::peer_messages,
                           is_keepalive ? "keepalive_sent" : "sent");
        }
    }

    /// Tells the peer what has arrived, if its program reads that.
    auto send_keepalive(node_id const& to, peer& it) -> void
    {
        if (!it.reads_acknowledgements)
        {
            send_envelope(to, it, config::protocol_version, {}, 1);
            return;
        }
        it.acknowledged = it.lives.newest_number();
        it.last_acknowledgement = clock_.now();
        send_envelope(
            to, it, acknowledgement_version,
            Codec::encode(acknowledgement{
                it.lives.known().value_or(incarnation{}), it.acknowledged}),
            1);
    }

    auto take_acknowledgement(envelope const& from) -> void
    {
        auto const got = Codec::template decode<acknowledgement>(from.body);
        if (got.has_error())
        {
            metrics_.count("apricotlb_peer_drops_total", "malformed");
            return;
        }
        metrics_.count(metric::peer_messages, "keepalive_received");
        auto& it = peers_[from.from];
        if (it.awaited && got.value().run == self_.run &&
            got.value().number >= *it.awaited)
        {
            it.awaited.reset();
        }
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
        auto const it = std::move(got).value();
        if (it.version < config::protocol_version ||
            it.version > challenge_answer_version)
        {
            metrics_.count("apricotlb_peer_drops_total", "version");
            return;
        }
        if (it.version == challenge_answer_version)
        {
            take_answer(it);
        }
        take(it);
        if (it.version == challenge_version)
        {
            answer_challenge(it);
        }
    }

    /// Delivers a message of the living life, and holds or drops others.
    auto take(envelope const& it) -> void
    {
        auto& from = peer_of(it.from);
        auto const former = from.lives.known();
        auto const answers = it.number > challenge_numbers_begin;
        auto const [verdict, event] = from.lives.hear(
            {it.run, it.number, it.body.size(), answers}, clock_.now());
        if (event != life_event::none)
        {
            report_event(it.from, event, it.run, former);
        }
        if (former && from.lives.known() != former)
        {
            follow_life(it.from, from, it.reply_to);
        }
        switch (verdict)
        {
        case life_verdict::taken:
            note_contact(from, it);
            deliver(it);
            return;
        case life_verdict::duplicate:
            metrics_.count("apricotlb_peer_drops_total", "duplicate");
            return;
        case life_verdict::held:
            from.held.push_back(it);
            break;
        case life_verdict::hold_full:
            metrics_.count("apricotlb_peer_drops_total", "hold_full");
            break;
        case life_verdict::refused:
            drop_refused(from, it);
            break;
        }
        if (answers)
        {
            open_for_claim(it.from, from, it.reply_to,
                           verdict != life_verdict::refused);
            challenge(it.from, from);
        }
    }

    auto deliver(envelope const& it) -> void
    {
        switch (it.version)
        {
        case acknowledgement_version:
            take_acknowledgement(it);
            return;
        case challenge_version:
        case challenge_answer_version:
            return;
        case batch_version:
            break;
        default:
            take_body(it.from, it.body);
            return;
        }
        auto const bodies =
            Codec::template decode<std::vector<std::string>>(it.body);
        if (bodies.has_error())
        {
            metrics_.count("apricotlb_peer_drops_total", "malformed");
            return;
        }
        for (auto const& body : bodies.value())
        {
            take_body(it.from, body);
        }
    }

    auto take_body(node_id const& from, std::string const& body) -> void
    {
        // An empty body is a keepalive.
        metrics_.count(metric::peer_messages,
                       body.empty() ? "keepalive_received" : "received");
        if (body.empty())
        {
            return;
        }
        auto message = Codec::template decode<Message>(body);
        if (message.has_error())
        {
            metrics_.count("apricotlb_peer_drops_total", "malformed");
            return;
        }
        if (receiver_)
        {
            receiver_(from, std::move(message).value());
        }
    }

    /// Records what an envelope of the living life shows of its sender.
    auto note_contact(peer& from, envelope const& it) -> void
    {
        from.reads_batches = it.number > batch_numbers_begin;
        from.reads_acknowledgements = it.number > acknowledgement_numbers_begin;
        if (!from.reads_acknowledgements)
        {
            from.awaited.reset();
        }
        from.last_contact = clock_.now();
        if (from.address != it.reply_to)
        {
            dial(it.from, it.reply_to);
        }
    }

    /// Key of the second connection to a peer, which the link opens beside the
    /// first one.
    static auto claim_link(node_id const& id) -> node_id
    {
        return node_id{id.value() + " claim"};
    }

    /// Opens a connection to the process that sends as another life of a peer:
    /// the present one may be to a process that has ended. At another address
    /// it is a second one, so that a late message does not take the first one
    /// away from the living process.
    auto open_for_claim(node_id const& id, peer& it, url const& at,
                        bool is_new_life) -> void
    {
        it.claim_heard = clock_.now();
        if (at != it.address)
        {
            open_claim_link(id, it, at);
        }
        else if (is_new_life && !it.is_opened_for_claim)
        {
            it.is_opened_for_claim = true;
            dial(id, at);
        }
    }

    auto open_claim_link(node_id const& id, peer& it, url const& at) -> void
    {
        if (it.claim_address != at)
        {
            it.claim_address = at;
            link_.open(claim_link(id), at);
        }
    }

    auto challenge(node_id const& id, peer& it) -> void
    {
        auto const nonce = it.lives.take_due_challenge(clock_.now(), nonces_);
        if (!nonce)
        {
            return;
        }
        auto const body = Codec::encode(life_challenge{*nonce});
        send_control(id, id, it, challenge_version, body);
        if (it.claim_address != url{})
        {
            send_control(claim_link(id), id, it, challenge_version, body);
        }
    }

    /// Answers whatever life of the sender is known, as the sender may know
    /// none of this process.
    auto answer_challenge(envelope const& it) -> void
    {
        auto const got = Codec::template decode<life_challenge>(it.body);
        if (got.has_error())
        {
            metrics_.count("apricotlb_peer_drops_total", "malformed");
            return;
        }
        auto& to = peer_of(it.from);
        auto const is_known_address = to.address == it.reply_to;
        if (!is_known_address)
        {
            to.claim_heard = clock_.now();
            open_claim_link(it.from, to, it.reply_to);
        }
        send_control(is_known_address ? it.from : claim_link(it.from), it.from,
                     to, challenge_answer_version, it.body);
    }

    /// A challenge or an answer, on the given connection.
    auto send_control(node_id const& link, node_id const& to, peer& it,
                      std::uint32_t version, std::string const& body) -> void
    {
        if (!link_.send(link, seal(to, it, version, body)))
        {
            metrics_.count("apricotlb_peer_drops_total", "queue_full");
            return;
        }
        metrics_.count(metric::peer_messages, version == challenge_version
                                                  ? "challenge_sent"
                                                  : "challenge_answered");
    }

    auto take_answer(envelope const& it) -> void
    {
        auto const got = Codec::template decode<life_challenge>(it.body);
        if (got.has_error())
        {
            metrics_.count("apricotlb_peer_drops_total", "malformed");
            return;
        }
        auto const found = peers_.find(it.from);
        if (found == peers_.end())
        {
            return;
        }
        auto& from = found->second;
        auto const former = from.lives.known();
        auto const event =
            from.lives.take_answer(it.run, got.value().nonce, clock_.now());
        if (event == life_event::none)
        {
            return;
        }
        report_event(it.from, event, it.run, former);
        if (event == life_event::confirmed)
        {
            follow_life(it.from, from, it.reply_to);
        }
        else
        {
            end_claim(from);
        }
    }

    /// Dials the life that has replaced the known one, and delivers what was
    /// held of it.
    auto follow_life(node_id const& id, peer& it, url const& at) -> void
    {
        if (it.address != at || !it.is_opened_for_claim)
        {
            dial(id, at);
        }
        it.awaited.reset(); // the former life acknowledges nothing any more
        end_claim(it);
    }

    /// Delivers what was held of the known life, in order, and drops the rest.
    auto end_claim(peer& from) -> void
    {
        from.is_opened_for_claim = false;
        for (auto const& it : std::exchange(from.held, {}))
        {
            if (it.run == from.lives.known())
            {
                take(it);
            }
            else
            {
                drop_refused(from, it);
            }
        }
    }

    auto drop_refused(peer& from, envelope const& it) -> void
    {
        metrics_.count("apricotlb_peer_drops_total", "former_life");
        if (from.lives.note_refusal(it.run) && life_refused_)
        {
            life_refused_(
                {it.from, it.run, *from.lives.known(), refusal_cause::former});
        }
    }

    auto report_event(node_id const& id, life_event event, incarnation heard,
                      std::optional<incarnation> former) -> void
    {
        metrics_.count("apricotlb_peer_lives_total", name_of(event));
        if (!life_refused_ || !former)
        {
            return;
        }
        if (event == life_event::unconfirmed)
        {
            life_refused_({id, *former, heard, refusal_cause::silent});
        }
        else if (event == life_event::unanswered)
        {
            life_refused_({id, heard, *former, refusal_cause::unanswered});
        }
    }

    /// Repeats challenges, and ends claims of lives that are silent.
    auto check_lives() -> void
    {
        auto const now = clock_.now();
        for (auto& [id, it] : peers_)
        {
            if (it.lives.expire(now))
            {
                end_claim(it);
            }
            challenge(id, it);
            if (it.claim_address != url{} &&
                now - it.claim_heard > config::peer_timeout)
            {
                it.claim_address = {};
                link_.close(claim_link(id));
            }
        }
    }

    static auto is_acknowledgement_due(peer const& it, time_point now) -> bool
    {
        return it.reads_acknowledgements &&
               it.acknowledged != it.lives.newest_number() &&
               now - it.last_acknowledgement >= acknowledgement_interval;
    }

    auto check_peers() -> void
    {
        check_lives();
        auto const now = clock_.now();
        std::vector<node_id> expired;
        std::vector<node_id> silent;
        std::vector<node_id> unacknowledged;
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
            else if (it.awaited && now - std::max(it.awaited_since, it.opened) >
                                       acknowledgement_timeout)
            {
                unacknowledged.push_back(id);
            }
            if (now - it.last_sent >= config::keepalive_interval ||
                is_acknowledgement_due(it, now))
            {
                idle.push_back(id);
            }
        }
        for (auto const& id : silent)
        {
            metrics_.count("apricotlb_peer_reconnects_total", "silent");
            dial(id, url{peers_[id].address});
        }
        for (auto const& id : unacknowledged)
        {
            metrics_.count("apricotlb_peer_reconnects_total", "unacknowledged");
            dial(id, url{peers_[id].address});
        }
        for (auto const& id : idle)
        {
            auto& it = peers_[id];
            // With a message waiting for this turn's end it is not idle.
            if (it.waiting.empty() || is_acknowledgement_due(it, now))
            {
                send_keepalive(id, it);
            }
        }
        for (auto const& id : expired)
        {
            link_.close(id);
            link_.close(claim_link(id));
            peers_.erase(id);
        }
        schedule();
    }

    identity self_;
    Clock& clock_;
    Link& link_;
    Auth const& auth_;
    Metrics& metrics_;
    std::uint64_t nonces_; ///< state of the generator of nonces
    receiver receiver_;
    refused_life_observer life_refused_;
    std::unordered_map<node_id, peer> peers_;
    /// Peers for which messages wait.
    std::vector<node_id> to_flush_;
    bool is_flush_due_{false};
    /// Numbers to a new peer follow the highest one to any, so that they stay
    /// unique for a peer that is removed and added again.
    sequence highest_number_{challenge_numbers_begin};
    timer_id timer_;
    timer_id flush_timer_;
};

} // namespace apricotlb

#endif
