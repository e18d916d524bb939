/// Acknowledges the announcements of workers and passes on to the leader what
/// it has to know.
#ifndef APRICOTLB_APP_ANNOUNCEMENT_RELAY_HPP
#define APRICOTLB_APP_ANNOUNCEMENT_RELAY_HPP

#include "core/fleet/announcement_intake.hpp"
#include "core/messages.hpp"
#include "ports/clock.hpp"
#include "ports/metrics.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// What starts a round of calls to the leader, beside a new leader.
enum class round_trigger : std::uint8_t
{
    /// config::worker_renewal_interval, for a process with many workers.
    interval,
    /// The ping of the leader, so that both leave in one message; an interval
    /// as above only while an acknowledgement waits. For the many processes
    /// with few workers each.
    ping,
};

/// Drives the intake by rounds of calls to the leader.
template <clock_port Clock, class Group, metrics_port Metrics>
class announcement_relay
{
public:
    using reply = std::function<void(result<void>)>;

    /// Time from an announcement that waited for the leader to its reply: one
    /// interval, and the answer of the leader. Workers that were answered
    /// together, as soon as the leader has answered, would also make their next
    /// calls together, more than the backlog of a listening socket takes.
    static constexpr duration reply_delay =
        config::worker_renewal_interval + milliseconds{50};

    announcement_relay(Clock& clock, Group& group, Metrics& metrics,
                       round_trigger trigger = round_trigger::interval)
        : clock_(clock), group_(group), metrics_(metrics), trigger_(trigger)
    {
        arm();
    }
    announcement_relay(announcement_relay const&) = delete;
    auto operator=(announcement_relay const&) -> announcement_relay& = delete;
    ~announcement_relay()
    {
        clock_.cancel_timer(timer_);
        if (reply_timer_)
        {
            clock_.cancel_timer(*reply_timer_);
        }
    }

    /// Calls done once, with success if the worker may take the announcement
    /// for acknowledged.
    auto announce(worker_announcement it, reply done) -> void
    {
        auto const now = clock_.now();
        auto const decision = intake_.take(std::move(it), now);
        metrics_.count(metric::announcements, name_of(decision.reason));
        if (!decision.ticket)
        {
            done(outcome::success());
            return;
        }
        waiting_.emplace(*decision.ticket, pending{now, std::move(done)});
    }

    /// This process is about to ping the leader.
    auto on_ping() -> void
    {
        if (trigger_ == round_trigger::ping)
        {
            start_round();
        }
    }

    /// Where a worker should announce itself from now on; none if it may stay.
    [[nodiscard]] auto release_moved(worker_id const& worker)
        -> std::optional<intake_address>
    {
        return intake_.release_moved(worker);
    }

    /// A process has become the leader.
    auto on_leader(term in_term) -> void
    {
        if (in_term > intake_.leader_term())
        {
            intake_.on_leader(in_term);
            send_round();
        }
    }

private:
    /// The link would repeat a call after this time, with ages that are wrong
    /// by then; the next round states them anew.
    static constexpr duration call_timeout = config::call_retry_interval;

    struct pending
    {
        time_point received{};
        reply done;
    };

    auto arm() -> void
    {
        timer_ = clock_.start_timer(
            config::worker_renewal_interval,
            [this]
            {
                arm();
                expire();
                if (trigger_ == round_trigger::interval || !waiting_.empty())
                {
                    start_round();
                }
            });
    }

    /// A slow leader gets no second round.
    auto start_round() -> void
    {
        if (calls_in_flight_ == 0)
        {
            send_round();
        }
    }

    auto send_round() -> void
    {
        for (auto& it : intake_.next_calls(clock_.now()))
        {
            ++calls_in_flight_;
            auto batch = it.batch;
            group_.calls().start(
                std::move(batch),
                [this, sent = std::move(it)](auto const& got)
                {
                    --calls_in_flight_;
                    auto const* const answer =
                        got.has_error()
                            ? nullptr
                            : std::get_if<contact_answer>(&got.value());
                    if (answer == nullptr)
                    {
                        intake_.on_no_answer(sent);
                        return;
                    }
                    take(sent, *answer);
                },
                call_timeout);
        }
    }

    auto take(intake_call const& sent, contact_answer const& answer) -> void
    {
        auto const former = intake_.leader_term();
        for (auto const& it : intake_.on_answer(sent, answer))
        {
            acknowledge(it);
        }
        if (intake_.leader_term() != former)
        {
            send_round();
        }
    }

    /// Acknowledges what waits under the ticket or an earlier one of the same
    /// subject.
    auto acknowledge(intake_ticket const& up_to) -> void
    {
        auto const first = waiting_.lower_bound({up_to.subject, {}});
        auto const last = waiting_.upper_bound(up_to);
        for (auto it = first; it != last; ++it)
        {
            replies_.emplace(it->second.received + reply_delay,
                             std::move(it->second.done));
        }
        waiting_.erase(first, last);
        reply_due();
    }

    auto reply_due() -> void
    {
        auto const now = clock_.now();
        while (!replies_.empty() && replies_.begin()->first <= now)
        {
            auto const node = replies_.extract(replies_.begin());
            node.mapped()(outcome::success());
        }
        if (!replies_.empty() && !reply_timer_)
        {
            reply_timer_ = clock_.start_timer(replies_.begin()->first - now,
                                              [this]
                                              {
                                                  reply_timer_.reset();
                                                  reply_due();
                                              });
        }
    }

    /// Refuses what would wait for too long until the next check.
    auto expire() -> void
    {
        auto const end = clock_.now() + config::worker_renewal_interval -
                         announcement_intake::acknowledgement_timeout;
        std::vector<reply> expired;
        std::erase_if(waiting_,
                      [&](auto& each)
                      {
                          if (each.second.received >= end)
                          {
                              return false;
                          }
                          expired.push_back(std::move(each.second.done));
                          return true;
                      });
        for (auto const& it : expired)
        {
            metrics_.count(metric::announcements, "unanswered");
            it(fail(error_kind::no_leader,
                    "the leader has not taken the announcement in time"));
        }
    }

    Clock& clock_;
    Group& group_;
    Metrics& metrics_;
    round_trigger trigger_;
    announcement_intake intake_;
    std::map<intake_ticket, pending> waiting_;
    std::multimap<time_point, reply> replies_; ///< acknowledged, by due time
    std::size_t calls_in_flight_{0};
    timer_id timer_;
    std::optional<timer_id> reply_timer_;
};

} // namespace apricotlb

#endif
