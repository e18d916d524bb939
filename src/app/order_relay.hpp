/// Passes orders of the leader on to workers, and their answers back.
#ifndef APRICOTLB_APP_ORDER_RELAY_HPP
#define APRICOTLB_APP_ORDER_RELAY_HPP

#include "app/peer_message.hpp"
#include "core/fleet/relay_messages.hpp"
#include "ports/clock.hpp"
#include "ports/run_worker.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

namespace apricotlb
{

/// Sends each order once and returns exactly one answer for it. Answers within
/// config::answer_batch_delay go back as one message. It decides nothing: the
/// fencing token, the run number and the end of the lease in an order protect
/// the worker against one that is late.
template <clock_port Clock, class Transport, run_worker_port Workers>
class order_relay
{
public:
    order_relay(Clock& clock, Transport& peers, Workers& workers)
        : clock_(clock), transport_(peers), workers_(workers)
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
            std::visit(
                [&](auto const& value) {
                    pass_on({from, it.leader_term}, order.number, value);
                },
                order.value);
        }
    }

private:
    /// The process to answer, and the term of its leadership.
    using origin = std::pair<node_id, term>;

    template <class Order>
    auto pass_on(origin const& from, sequence number, Order const& order)
        -> void
    {
        using answer = std::conditional_t<std::is_same_v<Order, poll_order>,
                                          poll_answer, order_answer>;
        if (in_flight_ >= config::max_relayed_orders)
        {
            answer busy;
            busy.outcome = order_outcome::not_sent;
            add(from, {number, std::move(busy)});
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
            timer_ = clock_.start_timer(config::answer_batch_delay,
                                        [this]
                                        {
                                            timer_.reset();
                                            flush();
                                        });
        }
    }

    auto flush() -> void
    {
        for (auto& [to, collected] : std::exchange(batches_, {}))
        {
            transport_.send(to.first, peer_message{std::move(collected.batch)});
        }
    }

    Clock& clock_;
    Transport& transport_;
    Workers& workers_;
    std::size_t in_flight_{0};
    std::map<origin, collected_answers> batches_;
    std::optional<timer_id> timer_;
};

} // namespace apricotlb

#endif
