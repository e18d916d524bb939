/// Run worker port of the leader: passes orders through relays.
#ifndef APRICOTLB_APP_RELAYED_WORKERS_HPP
#define APRICOTLB_APP_RELAYED_WORKERS_HPP

#include "app/peer_message.hpp"
#include "core/fleet/relay_messages.hpp"
#include "core/fleet/relay_table.hpp"
#include "ports/clock.hpp"
#include "ports/metrics.hpp"
#include "ports/run_worker.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Sends the orders of one turn of the loop to each relay as one message.
/// Without a live relay, orders go to the workers directly. So do those whose
/// relay has told no clock, as it could not refuse them once they are old.
template <clock_port Clock, class Transport, run_worker_port Direct,
          metrics_port Metrics>
class relayed_workers
{
public:
    relayed_workers(Clock& clock, Transport& peers, Direct& direct,
                    Metrics& metrics)
        : clock_(clock), transport_(peers), direct_(direct), metrics_(metrics)
    {
    }
    relayed_workers(relayed_workers const&) = delete;
    auto operator=(relayed_workers const&) -> relayed_workers& = delete;
    ~relayed_workers()
    {
        for (auto const& timer : {flush_timer_, expiry_timer_})
        {
            if (timer)
            {
                clock_.cancel_timer(*timer);
            }
        }
    }

    template <class Order>
    auto send(Order const& it, std::function<void(answer_to<Order>)> done)
        -> void
    {
        pass_on(it, std::move(done), answer_time(it));
    }

    /// Records that a process passes orders on, or does so no longer. Orders
    /// that it has already are still answered.
    auto on_ping(node_id const& from, leader_ping const& it) -> void
    {
        if (it.relays_in)
        {
            relays_.on_contact(from, *it.relays_in, clock_.now(),
                               it.announcements_at);
        }
        else
        {
            relays_.remove(from);
        }
    }

    auto on_clock(node_id const& from, clock_reading const& it) -> void
    {
        relays_.on_clock(from, it, clock_.now());
    }

    /// Where a worker should announce itself, which has done so to `from`; none
    /// if it need not change, or if no process of its zone takes announcements.
    [[nodiscard]] auto intake_for(node_id const& from, worker_id const& worker,
                                  zone_id const& zone) const
        -> std::optional<intake_address>
    {
        return relays_.is_intake(from)
                   ? std::nullopt
                   : relays_.intake_for(worker, zone, clock_.now());
    }

    auto take(node_id const& from, answer_batch it) -> void
    {
        for (auto& answer : it.answers)
        {
            auto const found = pending_.find(answer.number);
            if (found == pending_.end() || found->second.relay != from ||
                found->second.in_term != it.leader_term)
            {
                continue;
            }
            auto const node = pending_.extract(found);
            auto const& order = node.mapped();
            if (outcome_of(answer) == order_outcome::no_answer)
            {
                relays_.on_no_answer(order.worker, order.zone, from,
                                     clock_.now());
            }
            std::visit(
                [&answer](auto const& done)
                {
                    using expected = typename answer_of<
                        std::remove_cvref_t<decltype(done)>>::type;
                    if (auto* const got = std::get_if<expected>(&answer.value))
                    {
                        done(std::move(*got));
                    }
                    else
                    {
                        done(expected{});
                    }
                },
                order.done);
        }
    }

private:
    using callback = std::variant<std::function<void(order_answer)>,
                                  std::function<void(poll_answer)>>;

    template <class Callback>
    struct answer_of;
    template <class Answer>
    struct answer_of<std::function<void(Answer)>>
    {
        using type = Answer;
    };

    /// An order whose answer has not come back.
    struct pending
    {
        worker_id worker;
        zone_id zone;
        node_id relay;
        term in_term;
        time_point deadline{};
        callback done;
    };

    [[nodiscard]] static auto outcome_of(relayed_answer const& it)
        -> order_outcome
    {
        return std::visit([](auto const& got) { return got.outcome; },
                          it.value);
    }

    template <class Order, class Answer>
    auto pass_on(Order const& it, std::function<void(Answer)> done,
                 duration timeout) -> void
    {
        auto const now = clock_.now();
        auto const relay =
            relays_.relay_for(it.to.instance.id, it.to.zone, now);
        auto const deadline =
            relay ? relays_.deadline_for(*relay, it.to.given) : std::nullopt;
        if (!deadline)
        {
            metrics_.count(metric::order_routes, "direct");
            direct_.send(it, std::move(done));
            return;
        }
        metrics_.count(metric::order_routes, "relay");
        auto const number = ++last_number_;
        auto const in_term = leader_of(it.to.fence);
        pending_.emplace(number,
                         pending{it.to.instance.id, it.to.zone, *relay, in_term,
                                 now + timeout + config::relay_answer_margin,
                                 std::move(done)});
        auto& batch = batches_[{*relay, in_term}];
        if (batch.life != deadline->life && !batch.orders.empty())
        {
            transport_.send(*relay, peer_message{std::exchange(batch, {})});
        }
        batch.leader_term = in_term;
        batch.life = deadline->life;
        batch.orders.push_back({number, it, deadline->clock});
        if (batch.orders.size() >= config::max_orders_per_batch)
        {
            transport_.send(*relay, peer_message{std::exchange(batch, {})});
        }
        arm();
    }

    auto arm() -> void
    {
        if (!flush_timer_)
        {
            flush_timer_ = clock_.start_timer(duration{0},
                                              [this]
                                              {
                                                  flush_timer_.reset();
                                                  flush();
                                              });
        }
        if (!expiry_timer_)
        {
            expiry_due_ = clock_.now() + config::relay_check_interval;
            expiry_timer_ = clock_.start_timer(config::relay_check_interval,
                                               [this]
                                               {
                                                   expiry_timer_.reset();
                                                   expire();
                                               });
        }
    }

    auto flush() -> void
    {
        for (auto& [to, batch] : std::exchange(batches_, {}))
        {
            if (!batch.orders.empty())
            {
                transport_.send(to.first, peer_message{std::move(batch)});
            }
        }
    }

    /// Answers the orders whose relay did not return an answer in time, or is
    /// not in contact any more. A relay returns one for each order, also if the
    /// worker gave none.
    auto expire() -> void
    {
        auto const now = clock_.now();
        // After a long turn of the loop, answers and pings wait in the sockets.
        // One check is left out, so that they are taken first.
        auto const is_late = now - expiry_due_ >= config::relay_check_interval;
        skipped_check_ = is_late && !skipped_check_;
        if (skipped_check_)
        {
            arm();
            return;
        }
        std::vector<callback> expired;
        std::set<node_id> silent;
        std::set<node_id> overdue;
        for (auto it = pending_.begin(); it != pending_.end();)
        {
            auto& order = it->second;
            auto const is_over = now >= order.deadline;
            if (!is_over && !relays_.is_silent(order.relay, now))
            {
                ++it;
                continue;
            }
            silent.insert(order.relay);
            if (is_over)
            {
                overdue.insert(order.relay);
            }
            expired.push_back(std::move(order.done));
            it = pending_.erase(it);
        }
        for (auto n = silent.size(); n > 0; --n)
        {
            metrics_.count(metric::order_routes, "relay_silent");
        }
        for (auto const& relay : overdue)
        {
            relays_.suspend(relay, now);
        }
        for (auto const& it : expired)
        {
            std::visit([](auto const& done) { done({}); }, it);
        }
        if (!pending_.empty())
        {
            arm();
        }
    }

    Clock& clock_;
    Transport& transport_;
    Direct& direct_;
    Metrics& metrics_;
    relay_table relays_;
    sequence last_number_;
    std::map<sequence, pending> pending_;
    std::map<std::pair<node_id, term>, order_batch> batches_;
    std::optional<timer_id> flush_timer_;
    std::optional<timer_id> expiry_timer_;
    time_point expiry_due_{};
    bool skipped_check_{false};
};

} // namespace apricotlb

#endif
