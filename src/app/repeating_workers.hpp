/// Run worker port that repeats orders while they have no answer.
#ifndef APRICOTLB_APP_REPEATING_WORKERS_HPP
#define APRICOTLB_APP_REPEATING_WORKERS_HPP

#include "core/fleet/worker_messages.hpp"
#include "ports/clock.hpp"
#include "ports/metrics.hpp"
#include "ports/run_worker.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace apricotlb
{

/// Sends a start, stop or poll again beside the tries that are still open, so
/// that a lost order or answer costs a fraction of the time limit. Workers
/// recognise a repeated order. Each order has one answer, the first one of its
/// worker; no_answer follows once no try can bring one. No try lasts longer
/// than the time limit of the order, counted from its first try. Paces are sent
/// once: a try that arrives after a later pace would undo it.
template <clock_port Clock, timed_run_worker_port Direct, metrics_port Metrics>
class repeating_workers
{
public:
    /// Time from one try to the next. A worker that is up answers within a few
    /// round trips, so that few orders are repeated without need.
    static constexpr duration repeat_interval = milliseconds{250};
    /// Least time for which a try waits for its answer.
    static constexpr duration min_answer_time = milliseconds{100};
    /// Open repetitions of orders to one worker. Each try uses a connection,
    /// and curl_requests has some more for the first tries of other orders.
    static constexpr std::size_t max_repeats_per_worker = 6;
    /// Open repetitions of this process. Without a bound, a process that is
    /// late itself would send each of its orders several times.
    static constexpr std::size_t max_repeats = 256;

    repeating_workers(Clock& clock, Direct& direct, Metrics& metrics)
        : clock_(clock), direct_(direct), metrics_(metrics)
    {
    }
    repeating_workers(repeating_workers const&) = delete;
    auto operator=(repeating_workers const&) -> repeating_workers& = delete;
    ~repeating_workers()
    {
        if (timer_)
        {
            clock_.cancel_timer(*timer_);
        }
    }

    template <class Order>
    auto send(Order const& it, std::function<void(answer_to<Order>)> done)
        -> void
    {
        end_outdated_repeats(it);
        auto const now = clock_.now();
        auto const number = ++last_number_;
        newest_term_ = std::max(newest_term_, leader_of(it.to.fence));
        pending_.emplace(number, pending{call<Order>{it, std::move(done)},
                                         now + answer_time(it)});
        by_worker_.emplace(it.to.instance.id, number);
        // The worker may take the wait of a poll until it answers.
        repeat_at(number, now + wait_of(it) + repeat_interval);
        arm();
        send_try(number, false);
    }
    auto send(pace_order const& it, std::function<void(order_answer)> done)
        -> void
    {
        direct_.send(it, std::move(done), answer_time(it));
    }

private:
    template <class Order>
    struct call
    {
        Order order;
        std::function<void(answer_to<Order>)> done;
    };

    /// An order that is not answered yet.
    struct pending
    {
        std::variant<call<start_order>, call<stop_order>, call<poll_order>>
            what;
        time_point deadline{};
        std::optional<time_point> repeats_at{}; ///< as in due_
        try_count open{};       ///< tries that may bring an answer
        try_count unanswered{}; ///< tries that have ended without one
    };

    [[nodiscard]] static auto wait_of(poll_order const& it) -> milliseconds
    {
        return it.wait;
    }
    template <class Order>
    [[nodiscard]] static auto wait_of(Order const& /*order*/) -> milliseconds
    {
        return milliseconds{0};
    }

    /// The first poll has waited already. A later one acknowledges no ends:
    /// the next life of the worker numbers its ends anew.
    static auto adapt_repeat(poll_order& it) -> void
    {
        it.wait = {};
        it.recorded = {};
    }
    template <class Order>
    static auto adapt_repeat(Order& /*order*/) -> void
    {
    }

    [[nodiscard]] static auto target_of(pending const& it)
        -> order_target const&
    {
        return std::visit([](auto const& each) -> order_target const&
                          { return each.order.to; },
                          it.what);
    }

    auto send_try(sequence number, bool is_repeat) -> void
    {
        auto& it = pending_.at(number);
        ++it.open;
        auto const time_left = it.deadline - clock_.now();
        std::visit(
            [&]<class Order>(call<Order> const& each)
            {
                auto order = each.order;
                if (is_repeat)
                {
                    adapt_repeat(order);
                    ++repeats_;
                    ++repeats_to_[order.to.instance.id];
                    count("repeated");
                }
                direct_.send(
                    order,
                    [this, number, is_repeat,
                     to = order.to.instance.id](answer_to<Order> got)
                    {
                        if (is_repeat)
                        {
                            end_repeat(to);
                        }
                        take<Order>(number, std::move(got), is_repeat);
                    },
                    time_left);
            },
            it.what);
    }

    template <class Order>
    auto take(sequence number, answer_to<Order> got, bool is_repeat) -> void
    {
        auto const found = pending_.find(number);
        if (found == pending_.end())
        {
            return;
        }
        auto& it = found->second;
        it.open -= try_count{1};
        auto const is_answered = got.outcome != order_outcome::no_answer;
        if (!is_answered && it.open > try_count{0})
        {
            ++it.unanswered;
            return;
        }
        if (is_answered && is_repeat)
        {
            count("repeat_answered");
        }
        if constexpr (std::is_same_v<Order, start_order>)
        {
            if (auto const others = it.open + it.unanswered;
                others > try_count{0})
            {
                got.unanswered_tries = others;
            }
        }
        auto const done = std::get<call<Order>>(it.what).done;
        end_repeats(number, it);
        by_worker_.erase({target_of(it).instance.id, number});
        pending_.erase(found);
        done(std::move(got));
    }

    auto end_repeats(sequence number, pending& it) -> void
    {
        if (auto const at = std::exchange(it.repeats_at, std::nullopt))
        {
            due_.erase({*at, number});
        }
    }

    /// True if `earlier` must not reach the worker after `it`.
    template <class Order>
    [[nodiscard]] static auto is_outdated(pending const& earlier,
                                          Order const& it) -> bool
    {
        auto const& to = target_of(earlier);
        // The next life of a worker would take the lease of a poll for its own.
        // The token rises with each life, which may have a lower number.
        if (std::pair{to.fence, to.instance.incarnation} <
            std::pair{it.to.fence, it.to.instance.incarnation})
        {
            return true;
        }
        if constexpr (std::is_same_v<Order, stop_order>)
        {
            auto const* const start =
                std::get_if<call<start_order>>(&earlier.what);
            return start != nullptr && start->order.run == it.run;
        }
        return false;
    }

    template <class Order>
    auto end_outdated_repeats(Order const& it) -> void
    {
        auto const& to = it.to.instance.id;
        for (auto each = by_worker_.lower_bound({to, sequence{}});
             each != by_worker_.end() && each->first == to; ++each)
        {
            auto& earlier = pending_.at(each->second);
            if (is_outdated(earlier, it))
            {
                end_repeats(each->second, earlier);
            }
        }
    }

    auto repeat_at(sequence number, time_point at) -> void
    {
        auto& it = pending_.at(number);
        if (at + min_answer_time > it.deadline)
        {
            it.repeats_at.reset();
            return;
        }
        it.repeats_at = at;
        due_.emplace(at, number);
    }

    auto arm() -> void
    {
        if (due_.empty())
        {
            return;
        }
        auto const at = due_.begin()->first;
        if (timer_ && timer_at_ <= at)
        {
            return;
        }
        if (timer_)
        {
            clock_.cancel_timer(*timer_);
        }
        start_timer(at);
    }

    auto start_timer(time_point at) -> void
    {
        timer_at_ = at;
        timer_ = clock_.start_timer(at - clock_.now(),
                                    [this]
                                    {
                                        timer_.reset();
                                        repeat_due();
                                    });
    }

    auto repeat_due() -> void
    {
        auto const now = clock_.now();
        // After a long turn of the loop, or a suspension of the process,
        // answers wait in the sockets. They are taken first.
        auto const is_late = now - timer_at_ >= late_timer;
        has_waited_ = is_late && !has_waited_;
        if (has_waited_)
        {
            start_timer(now + late_timer);
            return;
        }
        while (!due_.empty() && due_.begin()->first <= now)
        {
            auto const number = due_.extract(due_.begin()).value().second;
            repeat(number, now);
        }
        arm();
    }

    auto repeat(sequence number, time_point now) -> void
    {
        auto& it = pending_.at(number);
        it.repeats_at.reset();
        auto const& to = target_of(it);
        // The order of an earlier leader would be refused, or carried out
        // beside those of its successor.
        if (leader_of(to.fence) < newest_term_ ||
            it.deadline - now < min_answer_time)
        {
            return;
        }
        auto const known = repeats_to_.find(to.instance.id);
        auto const is_bounded = repeats_ >= max_repeats ||
                                (known != repeats_to_.end() &&
                                 known->second >= max_repeats_per_worker);
        if (is_bounded)
        {
            count("repeat_withheld");
        }
        else
        {
            send_try(number, true);
        }
        if (pending_.contains(number))
        {
            repeat_at(number, now + repeat_interval);
        }
    }

    auto end_repeat(worker_id const& to) -> void
    {
        --repeats_;
        auto const found = repeats_to_.find(to);
        if (--found->second == 0)
        {
            repeats_to_.erase(found);
        }
    }

    auto count(std::string_view label) -> void
    {
        metrics_.count(metric::order_routes, label);
    }

    /// Delay of a timer from which the loop counts as late.
    static constexpr duration late_timer = milliseconds{50};

    Clock& clock_;
    Direct& direct_;
    Metrics& metrics_;
    sequence last_number_;
    term newest_term_; ///< of the leaders that gave orders
    std::map<sequence, pending> pending_;
    std::set<std::pair<worker_id, sequence>> by_worker_; ///< of pending_
    /// When the next try of each order is due.
    std::set<std::pair<time_point, sequence>> due_;
    std::size_t repeats_{0}; ///< open ones
    std::map<worker_id, std::size_t> repeats_to_;
    std::optional<timer_id> timer_;
    time_point timer_at_{};
    bool has_waited_{false}; ///< the last check was put off
};

} // namespace apricotlb

#endif
