/// Passes orders of the leader on to workers, and their answers back.
#ifndef APRICOTLB_APP_ORDER_RELAY_HPP
#define APRICOTLB_APP_ORDER_RELAY_HPP

#include "app/peer_message.hpp"
#include "core/fleet/relay_messages.hpp"
#include "ports/clock.hpp"
#include "ports/metrics.hpp"
#include "ports/run_worker.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

namespace apricotlb
{

/// Passes each order on and returns exactly one answer for it. Answers within
/// config::answer_batch_delay go back as one message, and messages follow each
/// other at config::answer_interval at least. It refuses orders that are past
/// their validity or for an earlier life of this process, as they are after it
/// was frozen: the fencing token, the run number and the end of the lease in an
/// order do not protect a worker that was restarted meanwhile.
template <clock_port Clock, class Transport, run_worker_port Workers,
          metrics_port Metrics>
class order_relay
{
public:
    order_relay(Clock& clock, Transport& peers, Workers& workers,
                Metrics& metrics, incarnation life)
        : clock_(clock), transport_(peers), workers_(workers),
          metrics_(metrics), life_(life)
    {
    }
    order_relay(order_relay const&) = delete;
    auto operator=(order_relay const&) -> order_relay& = delete;
    ~order_relay()
    {
        if (timer_)
        {
            clock_.cancel_timer(*timer_);
        }
    }

    auto take(node_id const& from, order_batch const& it) -> void
    {
        for (auto const& order : it.orders)
        {
            auto const is_expired =
                order.valid_until &&
                is_past({it.life.value_or(incarnation{}), *order.valid_until},
                        reading());
            std::visit(
                [&](auto const& value)
                {
                    origin const leader{from, it.leader_term};
                    if (is_expired)
                    {
                        metrics_.count(metric::order_routes, "expired");
                        refuse(leader, order.number, value);
                        return;
                    }
                    pass_on(leader, order.number, value);
                },
                order.value);
        }
    }

    /// What the leader has to know to limit the age of its orders.
    [[nodiscard]] auto reading() const -> clock_reading
    {
        return {life_, to_process_clock(clock_.now())};
    }

private:
    /// The process to answer, and the term of its leadership.
    using origin = std::pair<node_id, term>;

    template <class Order>
    auto refuse(origin const& from, sequence number, Order const& /*order*/)
        -> void
    {
        answer_to<Order> refused;
        refused.outcome = order_outcome::not_sent;
        add(from, {number, std::move(refused)});
    }

    template <class Order>
    auto pass_on(origin const& from, sequence number, Order const& order)
        -> void
    {
        using answer = answer_to<Order>;
        if (in_flight_ >= config::max_relayed_orders)
        {
            refuse(from, number, order);
            return;
        }
        ++in_flight_;
        std::function<void(answer)> done = [this, from, number](answer got)
        {
            --in_flight_;
            add(from, {number, std::move(got)});
        };
        workers_.send(order, std::move(done));
    }

    /// Answers to return, and about how large they are.
    struct collected_answers
    {
        answer_batch batch;
        std::size_t bytes{0};
    };

    /// An eighth of the largest message leaves room for one more answer, since
    /// a batch is sent once it is larger, and for the envelope.
    static constexpr std::size_t max_batch_bytes =
        config::max_message_bytes / 8;

    auto add(origin const& to, relayed_answer it) -> void
    {
        auto& collected = batches_[to];
        collected.batch.leader_term = to.second;
        collected.bytes += approximate_size(it);
        collected.batch.answers.push_back(std::move(it));
        if (collected.bytes >= max_batch_bytes)
        {
            auto const full = batches_.extract(to);
            transport_.send(to.first, peer_message{full.mapped().batch});
            return;
        }
        if (!timer_)
        {
            auto const now = clock_.now();
            auto const next = std::max(now + config::answer_batch_delay,
                                       last_flush_ + config::answer_interval);
            timer_ = clock_.start_timer(next - now,
                                        [this]
                                        {
                                            timer_.reset();
                                            flush();
                                        });
        }
    }

    auto flush() -> void
    {
        last_flush_ = clock_.now();
        for (auto& [to, collected] : std::exchange(batches_, {}))
        {
            transport_.send(to.first, peer_message{std::move(collected.batch)});
        }
    }

    Clock& clock_;
    Transport& transport_;
    Workers& workers_;
    Metrics& metrics_;
    incarnation life_;
    std::size_t in_flight_{0};
    std::map<origin, collected_answers> batches_;
    std::optional<timer_id> timer_;
    time_point last_flush_{time_point{} - config::answer_interval};
};

} // namespace apricotlb

#endif
