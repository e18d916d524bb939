/// The leader's record of one worker: its clock, its lease and its runs.
#ifndef APRICOTLB_CORE_FLEET_WORKER_ENTRY_HPP
#define APRICOTLB_CORE_FLEET_WORKER_ENTRY_HPP

#include "core/fleet/disturbance.hpp"
#include "core/fleet/lease_bound.hpp"
#include "core/fleet/release_interlock.hpp"
#include "core/fleet/worker_messages.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Numbers the events after which a worker may take runs that it could not take
/// before.
using room_change = quantity<struct room_change_tag, std::uint64_t>;

/// State of a run that reserves resources on a worker, as far as the leader has
/// recorded it.
enum class run_phase : std::uint8_t
{
    proposed,  ///< its start is proposed and not yet committed in the log
    inherited, ///< committed under an earlier leader; not yet seen on the
               ///< worker
    ordered,   ///< the start order was sent and is not confirmed
    running,
    stopping, ///< has to stop; the stop order is not confirmed
    closed,   ///< cannot start any more; the next lists show whether it ran
    ending,   ///< its end is proposed
};

/// True if the worker may not have got the start order yet, or if this leader
/// does not know yet whether the run is there.
[[nodiscard]] constexpr auto is_unconfirmed(run_phase it) -> bool
{
    return it == run_phase::proposed || it == run_phase::inherited ||
           it == run_phase::ordered;
}

/// Resources that a task of a step reserves on a worker. Scavenging tasks
/// reserve no processors.
[[nodiscard]] inline auto reservation_of(step_spec const& step) -> resources
{
    auto reserved = step.each;
    if (step.scavenges)
    {
        reserved.cores = millicores{0};
    }
    return reserved;
}

/// A run and its reservation, from its placement until its end is recorded.
struct held_run
{
    run_phase phase{run_phase::proposed};
    resources reservation;
    millicores scavenged_cores; ///< processors it may use without reservation
    image_ref image;
    milliseconds latency_target{};
    bool permanent{false};
    bool scavenges{false};
    bool is_copy{false}; ///< another run of its task was active at its start
    /// A scavenging task that was placed although a serving task of the worker
    /// was expected above its headroom.
    bool exceeds_headroom{false};
    /// A try of a start order has no answer, so that it may still be executed
    /// later.
    bool start_unconfirmed{false};
    bool order_in_flight{false};
    /// A worker has crashed soon after the start of a run of its task.
    bool suspect{false};
    /// First start order of this leader; none for a run of an earlier leader.
    std::optional<time_point> ordered_at;
    /// When it was first confirmed as running; none for a run of an earlier
    /// leader, which may have started at any time before.
    std::optional<time_point> started_at;
    time_point start_sent{}; ///< last start order of this leader
    /// Its worker's leases were halted under an earlier leader, when no start
    /// order could be on its way any more.
    bool has_halted_lease{false};
    std::int64_t starts_sent{0}; ///< start orders of this leader
    time_point stopping_since{}; ///< when it was last decided to stop it
    std::int64_t stops_sent{0};  ///< stop orders since then
    run_end closed_as{run_end::not_started}; ///< end to record once closed
    time_point sent{};                       ///< when the last order was sent
    time_point settled_at{}; ///< when it was confirmed as running, or closed
    sequence last_list;      ///< worker_entry::last_list when it was listed
    checkpoint_id checkpoint;
    std::int64_t load{0}; ///< as reported; see running_row::load
    /// Smoothed tail latency of a serving task, as a share of its target.
    permille latency_ratio{};
    permille pace{1000}; ///< as confirmed by the worker
    /// The lowest pace that the worker may have instead, after orders without
    /// an answer or orders of an earlier leader.
    std::optional<permille> possible_pace;
    time_point pace_changed_at{};          ///< when the pace was last changed
    std::optional<time_point> measured_at; ///< when latency_ratio was
    /// Since when latency_ratio has been above config::pace_cut_above, but for
    /// values of at least config::pace_raise_below in between: the reported
    /// latencies scatter.
    std::optional<time_point> over_target_since;

    /// True for a task with a latency target.
    [[nodiscard]] auto is_serving() const -> bool
    {
        return latency_target > milliseconds{0};
    }

    /// True for a scavenging task of which the worker has confirmed a pace of
    /// 0.
    [[nodiscard]] auto is_paused() const -> bool
    {
        return phase == run_phase::running && pace == permille{0} &&
               !possible_pace;
    }
    [[nodiscard]] auto is_over_target() const -> bool
    {
        return latency_ratio > config::pace_cut_above;
    }
    /// True once every scavenging task beside it has to slow down, whatever
    /// its image.
    [[nodiscard]] auto is_long_over_target(time_point now) const -> bool
    {
        return over_target_since &&
               now - *over_target_since >= config::max_time_over_target;
    }

    /// Steps start from the lowest pace that the worker may have, so that a
    /// raise never goes too far.
    [[nodiscard]] auto lowest_pace() const -> permille
    {
        return std::min(pace, possible_pace.value_or(pace));
    }

    /// True if its start has been ordered for longer than config::reported_wait
    /// and is not confirmed.
    [[nodiscard]] auto is_start_overdue(time_point now) const -> bool
    {
        return phase == run_phase::ordered && ordered_at &&
               now - *ordered_at > config::reported_wait;
    }

    /// True if it has been in phase `stopping` for longer than
    /// config::reported_wait.
    [[nodiscard]] auto is_stop_overdue(time_point now) const -> bool
    {
        return phase == run_phase::stopping &&
               now - stopping_since > config::reported_wait;
    }

    /// True while a crash of its worker would count as caused by it and another
    /// worker has crashed under its task before.
    [[nodiscard]] auto is_unproven_suspect(time_point now) const -> bool
    {
        return suspect && (phase != run_phase::running ||
                           now - settled_at < config::crash_blame_time);
    }

    /// Weight of a tail latency that is reported now. Latencies cover the last
    /// half second, so those that follow each other faster repeat themselves.
    /// Values that are config::poll_wait_shared apart have the weight
    /// config::latency_smoothing.
    [[nodiscard]] auto weight_of_next(time_point now) const -> double
    {
        constexpr auto kept = 1 - config::latency_smoothing.value() / 1000.0;
        using fraction = std::chrono::duration<double>;
        return measured_at ? 1 - std::pow(kept, fraction{now - *measured_at} /
                                                    config::poll_wait_shared)
                           : 1;
    }

    /// Records the load that the worker reported, as in running_row::load.
    auto record_measurement(std::int64_t reported_load, time_point now) -> void
    {
        load = reported_load;
        if (is_serving())
        {
            constexpr std::int64_t max_ratio = 1'000'000;
            auto const ratio =
                permille{static_cast<std::int32_t>(std::clamp<std::int64_t>(
                    reported_load * 1000 / latency_target.count(), 0,
                    max_ratio))};
            auto const change =
                static_cast<double>((ratio - latency_ratio).value()) *
                weight_of_next(now);
            latency_ratio +=
                permille{static_cast<std::int32_t>(std::lround(change))};
            measured_at = now;
            if (latency_ratio < config::pace_raise_below)
            {
                over_target_since.reset();
            }
            else if (is_over_target() && !over_target_since)
            {
                over_target_since = now;
            }
        }
    }
};

/// True if the run uses its reservation on the worker, or if a start order that
/// was sent may still be carried out.
[[nodiscard]] inline auto may_be_on_worker(held_run const& it) -> bool
{
    switch (it.phase)
    {
    case run_phase::proposed:
    case run_phase::ending:
        return false;
    case run_phase::ordered:
        return it.order_in_flight || it.start_unconfirmed;
    default:
        return true;
    }
}

/// Converts between a worker's clock and the leader's, and gives an upper bound
/// for the end of the worker's lease on the leader's clock. The worker's clock
/// may run slow by config::worker_clock_drift.
class worker_lease
{
public:
    /// Longest duration of a lease on the leader's clock, if the worker's clock
    /// runs at the slowest allowed rate.
    [[nodiscard]] static auto max_duration(duration lease) -> duration
    {
        return lease * 1000 / slowest_rate + config::lease_margin;
    }

    /// A lease whose longest duration is at least `left`. A millisecond makes
    /// up for the fractions that max_duration drops.
    [[nodiscard]] static auto lease_covering(duration left) -> milliseconds
    {
        return std::chrono::ceil<milliseconds>((left - config::lease_margin) *
                                               slowest_rate / 1000) +
               milliseconds{1};
    }

    /// Raises the bound to `end`: the lease may have been granted until then.
    auto assume_until(time_point end, lease_bound_cause cause) -> void
    {
        if (end > latest_end_)
        {
            latest_end_ = end;
            cause_ = cause;
        }
    }

    /// Sets the bound: nothing that was granted before counts any more.
    auto replace_bound(time_point end, lease_bound_cause cause) -> void
    {
        latest_end_ = end;
        cause_ = cause;
    }

    /// Adds a reading: at `now` the worker's clock showed at least `clock`.
    auto sample(worker_clock clock, time_point now) -> void
    {
        if (!sampled_ || worker_now(now) <= clock)
        {
            clock_ = clock;
            sampled_at_ = now;
            sampled_ = true;
        }
    }
    [[nodiscard]] auto is_sampled() const -> bool { return sampled_; }

    /// Adds a reading from the answer to an order that was sent at `sent`.
    auto sample_answer(worker_clock clock, time_point sent, time_point now)
        -> void
    {
        sample(clock, now);
        answered_clock_ = clock;
        answer_asked_at_ = sent;
    }

    /// Returns the end of a lease granted now, on the worker's clock, and
    /// raises latest_end() to cover it.
    auto grant(time_point now, duration length) -> worker_clock
    {
        auto const end = worker_now(now) + to_worker_clock(length);
        auto const left = milliseconds{(end - clock_).value()};
        assume_until(sampled_at_ + max_duration(left),
                     lease_bound_cause::granted);
        return end;
    }

    /// True if a reading that was taken after `since` cannot be of the same
    /// incarnation: clocks begin anew with each one.
    [[nodiscard]] auto is_of_other_life(worker_clock reading,
                                        time_point since) const -> bool
    {
        constexpr worker_clock rounding{10};
        // The worker's clock does not run fast: it showed at least this before
        // the sample.
        auto const least = since < sampled_at_
                               ? clock_ - to_worker_clock(sampled_at_ - since)
                               : worker_now(since);
        return sampled_ && reading + rounding < least;
    }

    /// True if a reading that was taken before `now` is too high for the same
    /// incarnation.
    [[nodiscard]] auto is_ahead(worker_clock reading, time_point now) const
        -> bool
    {
        // Small differences tell nothing: the leader's clock may run slow too.
        constexpr duration tolerance{seconds{1}};
        auto const passed = now - answer_asked_at_;
        return answered_clock_ &&
               reading > *answered_clock_ +
                             to_worker_clock(passed * 1000 / slowest_rate +
                                             tolerance);
    }

    /// From this time on every granted lease has ended on the worker's clock.
    [[nodiscard]] auto latest_end() const -> time_point { return latest_end_; }
    /// What latest_end() rests on.
    [[nodiscard]] auto cause() const -> lease_bound_cause { return cause_; }

private:
    /// Permille of the leader's clock rate.
    static constexpr std::int64_t slowest_rate =
        1000 - config::worker_clock_drift.value();

    static auto to_worker_clock(duration d) -> worker_clock
    {
        return worker_clock{
            std::chrono::duration_cast<milliseconds>(d).count()};
    }
    /// Lower bound of the worker's clock: assumes the slowest rate since the
    /// sample.
    [[nodiscard]] auto worker_now(time_point now) const -> worker_clock
    {
        return clock_ +
               to_worker_clock((now - sampled_at_) * slowest_rate / 1000);
    }

    worker_clock clock_;
    time_point sampled_at_{};
    std::optional<worker_clock> answered_clock_; ///< in the last answer
    time_point answer_asked_at_{};               ///< when its order was sent
    time_point latest_end_{};
    lease_bound_cause cause_{lease_bound_cause::none};
    bool sampled_{false};
};

/// Follows the time for which a worker is slow because it is cold.
class warm_up_progress
{
public:
    /// Records that `remaining` of the warm-up was left at `at`.
    auto announce(milliseconds remaining, time_point at) -> void
    {
        auto const end = at + remaining;
        // An end later than announced before belongs to another warm-up.
        if (at >= end_ || end > end_ + config::warm_up_tolerance)
        {
            begin_ = at;
            step_ = 0;
        }
        end_ = end;
    }
    [[nodiscard]] auto is_cold(time_point now) const -> bool
    {
        return now < end_;
    }
    /// The elapsed share of the warm-up, in steps of config::warm_up_step.
    [[nodiscard]] auto elapsed(time_point now) const -> permille
    {
        if (!is_cold(now))
        {
            return permille{1000};
        }
        auto const share =
            std::max(now - begin_, duration{}) * 1000 / (end_ - begin_);
        auto const step = std::int64_t{config::warm_up_step.value()};
        return permille{static_cast<std::int32_t>(share / step * step)};
    }
    /// True if elapsed() has risen since the last call.
    auto take_step(time_point now) -> bool
    {
        auto const share = elapsed(now).value();
        return std::exchange(step_, share) < share;
    }

private:
    time_point begin_{};
    time_point end_{};
    std::int32_t step_{1000}; ///< elapsed() at the last call of take_step()
};

/// What the tasks of one serving image on a worker can bear.
struct serving_share
{
    image_ref image;
    /// Largest expected tail latency of these tasks, as a share of the target,
    /// with the scavenging tasks that are placed there already.
    permille expected;
};

/// Stop of a run that a worker lists and the log does not have. It is owed
/// until lists show the run gone.
struct pending_stop
{
    time_point since{};
    time_point sent{}; ///< when the last order was sent, or its answer came
    std::int64_t orders{0}; ///< that were sent
    bool order_in_flight{false};
    bool is_confirmed{false}; ///< the last order was carried out
    sequence last_list;       ///< worker_entry::last_list when it was listed
};

/// Whether a worker is granted leases, by the log; see lease_halt.
enum class lease_grants : std::uint8_t
{
    open,
    halting,   ///< a halt is proposed
    halted,    ///< a halt is recorded
    reopening, ///< its end is proposed
};

/// Another life of a worker has announced itself, and nothing shows yet which
/// of the two came later. The one that answers at its address did.
struct life_claim
{
    worker_announcement value; ///< its newest announcement
    time_point made_at{};      ///< when the first one arrived
    time_point heard_at{};     ///< when the newest one was received
    time_point asked_at{};     ///< the last poll for it
    bool is_asked{false};      ///< that poll is open
};

/// A worker with its current incarnation, lease and runs.
struct worker_entry
{
    /// Longest usual time between two contacts of a worker that is up.
    static constexpr duration usual_contact_interval = milliseconds{1500};
    /// How long an acknowledgement waits, since the starts on the room of the
    /// runs that have ended follow within the time of a pass and a commit.
    static constexpr duration min_release_delay = milliseconds{25};
    /// From then on starts wait for it: a worker that always has an open one
    /// would never forget its ends.
    static constexpr duration max_release_delay = milliseconds{100};

    std::optional<worker_announcement> info; ///< none before the first one
    /// Where its orders go: from the log until this leader has heard of it.
    std::optional<worker_place> place;
    /// The longest lease of its place in the log, which bounds what a later
    /// leader assumes. Leases are not granted for longer.
    std::optional<milliseconds> recorded_lease;
    lease_grants grants{lease_grants::open};
    time_point halted_at{}; ///< when its halt was proposed, or inherited
    worker_incarnation incarnation;
    life_number life; ///< of this incarnation, for its fencing token
    /// Orders to a former life may have reached this one before it refused
    /// them.
    bool follows_former_life{false};
    sequence described; ///< number of the announcement in `info`
    worker_lease lease;
    warm_up_progress warm_up;
    std::map<task_run, held_run> runs;
    std::map<task_run, pending_stop> unrecorded; ///< runs that the log has not
    /// Runs that this leader ended as lease_over and when, until lists show
    /// what became of them. A worker without lists gets few other runs;
    /// config::max_listed_ends bounds them in any case.
    std::map<task_run, time_point> ended_by_lease;
    resources reserved;         ///< by all runs
    resources finite_reserved;  ///< by runs that end by themselves
    millicores scavenged_cores; ///< by all scavenging runs
    /// Runs with a latency target, by image.
    std::map<image_ref, std::int64_t> serving;
    /// By image, as of the last change of runs or measurements; brought up to
    /// date by each pass of the planner.
    std::vector<serving_share> serving_shares;
    bool are_shares_stale{true};
    /// When the measurements show the next scavenging task that is added to
    /// the shares now.
    time_point shares_valid_until{time_point::max()};
    /// Set when an order to a run is due or under way; reset by the review of
    /// orders that finds none.
    bool has_open_orders{true};
    std::size_t unconfirmed{0}; ///< runs, as of the last review of orders
    end_number recorded;     ///< ends up to this number are recorded in the log
    end_number released;     ///< the highest number that was acknowledged
    end_number acknowledged; ///< ends up to this number are not listed any more
    /// Since when it lists an end that must not be acknowledged while its lease
    /// may have lasted since then: its task has started again.
    std::optional<time_point> withheld_since;
    std::size_t listed_ends{0}; ///< in the last lists
    /// Runs that this leader ended without lists that show how, until lists do.
    /// Lists show config::max_listed_ends at a time.
    std::set<task_run> written_off;
    /// Since when there are ends to acknowledge, or the last acknowledgement.
    time_point release_due_since{};
    release_interlock interlock;
    time_point last_contact{};
    /// Leases count from then: the last answer of this incarnation to an order
    /// or poll, or the last contact before a start on a worker where nothing
    /// ran. A worker that no order reaches still announces itself, so that
    /// announcements must not prolong the time for which its tasks are held.
    time_point leased_from{};
    time_point announced_at{}; ///< when its newest announcement was received
    time_point paused_until{}; ///< no new runs until then, after a rejection
    /// Runs that ended as lost because the worker was silent, and that are to
    /// blame if it turns out to have crashed.
    std::vector<task_run> possible_crashes;
    time_point poll_sent_at{}; ///< the last poll
    /// When the open poll was sent that the last one repeats.
    std::optional<time_point> repeated_poll_at;
    /// When the open poll was sent whose answer does not count any more.
    std::optional<time_point> outdated_poll_at;
    /// An earlier leader granted its lease, which may be about to end: it has
    /// answered no poll with a lease of this leader.
    bool has_inherited_lease{false};
    sequence last_list; ///< number of the last lists from the worker
    /// This leader has lists of this incarnation, which refuses orders of
    /// earlier leaders since then.
    bool is_listed{false};
    time_point listed_at{};    ///< when they were received
    time_point next_poll_at{}; ///< earliest time of the next poll
    /// A suspect task waits until then for a recent contact of the worker.
    time_point contact_wanted_until{};
    bool poll_in_flight{false};
    bool has_lost_poll{false}; ///< the last poll got no answer
    /// Since when orders and polls got no answer, or one of a worker that does
    /// not carry them out; announcements prove nothing of the kind.
    std::optional<time_point> unanswered_since;
    bool recording_ends{false}; ///< the ends that it listed are proposed
    /// The last order was answered, so that ends may be acknowledged: a worker
    /// that was restarted under its id numbers its ends anew.
    bool is_answering{false};
    /// Another incarnation answers, whose announcement has not arrived yet. It
    /// gets no orders until then.
    bool is_replaced{false};
    /// That incarnation, if its lists have named it.
    std::optional<worker_incarnation> answering_life;
    std::optional<life_claim> claim;
    /// Lives that others replaced by their numbers alone. They have ended if
    /// they are not the one that answers.
    std::vector<worker_incarnation> unproven_lives;
    /// This incarnation has refused the leader's fencing token. It gets no
    /// orders and no polls with that token any more, so that its lease ends.
    bool is_fenced{false};
    /// Nothing of this incarnation runs any more.
    bool incarnation_ended{false};
    room_change gained_room; ///< the last one of this worker
    bool was_usable{false};  ///< for new runs, in the last pass of plan()
    /// Its lease may last longer than one that is granted now, as of the last
    /// pass of plan().
    bool has_long_lease{false};
    bool held_for_restart{false}; ///< in the current pass

    /// True if this leader has got an announcement or a list of it.
    [[nodiscard]] auto is_contacted() const -> bool
    {
        return info || last_list > sequence{};
    }
    /// True if it has carried out no order for config::lease_extension_timeout.
    /// Its lease is not extended then, so that its runs end with it.
    [[nodiscard]] auto is_unresponsive(time_point now) const -> bool
    {
        return unanswered_since &&
               now - *unanswered_since >= config::lease_extension_timeout;
    }
    /// True if its lease may be extended.
    [[nodiscard]] auto may_extend_lease(time_point now) const -> bool
    {
        return grants == lease_grants::open && is_reached(now);
    }
    /// True if it was heard from lately, and carries out orders.
    [[nodiscard]] auto is_reached(time_point now) const -> bool
    {
        return now - last_contact < config::lease_extension_timeout &&
               !is_unresponsive(now);
    }
    /// What the leader knows about its lease when it ends runs by that.
    [[nodiscard]] auto report_lease(time_point now) const -> lease_report
    {
        auto const since = [now](bool is_known, time_point at)
        { return is_known ? std::optional{now - at} : std::nullopt; };
        auto const has_bound = lease.cause() != lease_bound_cause::none;
        return {lease.cause(), since(has_bound, lease.latest_end()),
                since(is_listed, listed_at),
                since(info.has_value(), announced_at)};
    }
    /// Records whether it has carried out an order or poll, or has rejected it
    /// for good reason.
    auto record_response(bool is_response, time_point now) -> void
    {
        unanswered_since = is_response
                               ? std::nullopt
                               : std::optional{unanswered_since.value_or(now)};
    }
    /// Records that a poll was answered or is lost. Returns false if that does
    /// not count, since the other one of two polls is open or was answered.
    auto end_poll(time_point sent, order_outcome outcome, time_point now)
        -> bool
    {
        if (outdated_poll_at == sent)
        {
            outdated_poll_at.reset();
            return false;
        }
        if (auto const first = std::exchange(repeated_poll_at, std::nullopt))
        {
            auto const is_first = sent == *first;
            auto const other = is_first ? poll_sent_at : *first;
            if (outcome == order_outcome::no_answer ||
                outcome == order_outcome::not_sent)
            {
                poll_sent_at = other;
                next_poll_at = now + config::poll_retry_delay;
                if (outcome == order_outcome::no_answer)
                {
                    record_response(false, now);
                }
                return false;
            }
            poll_sent_at = is_first ? *first : poll_sent_at;
            outdated_poll_at = other;
        }
        poll_in_flight = false;
        return true;
    }
    /// True if it has sent no lists since its lease ended, and no poll is open
    /// that might bring them: polls are held back or not sent.
    [[nodiscard]] auto is_unpolled_after_lease(time_point now) const -> bool
    {
        return lease.cause() != lease_bound_cause::none && may_have_runs() &&
               !poll_in_flight && now >= lease.latest_end() &&
               listed_at < lease.latest_end();
    }
    /// True if its last announcement said that it drains.
    [[nodiscard]] auto is_leaving() const -> bool
    {
        return info && info->phase != worker_phase::ready;
    }
    /// Records that this incarnation was alive at a time.
    auto record_life_sign(time_point at) -> void
    {
        // A late announcement from before the crash clears nobody.
        if (at > last_contact)
        {
            last_contact = at;
            possible_crashes.clear();
        }
    }
    /// True if its lease was over when the last lists were asked for, and it
    /// had listed an end before that is withheld. Leases of earlier leaders
    /// last until `inherited_end`.
    [[nodiscard]] auto has_lapsed_since_withheld(time_point inherited_end) const
        -> bool
    {
        return withheld_since && poll_sent_at >= *withheld_since &&
               poll_sent_at >= std::max(lease.latest_end(), inherited_end);
    }
    /// True if it has to get rid of an end that is withheld before it takes
    /// more runs: those that are there will end, so that its lease does, or it
    /// lists so many ends that later ones would soon be left out.
    [[nodiscard]] auto is_closed_by_end() const -> bool
    {
        return withheld_since &&
               (listed_ends >= config::max_listed_ends / 2 ||
                std::ranges::none_of(runs, [](auto const& each)
                                     { return each.second.permanent; }));
    }
    /// True if it lists ends that it may forget.
    [[nodiscard]] auto is_release_due() const -> bool
    {
        return acknowledged < recorded;
    }
    /// True if nothing but starts, open ones and those that follow at once,
    /// keeps the worker from being told which ends it may forget.
    [[nodiscard]] auto is_release_pending(time_point now) const -> bool
    {
        return is_release_due() && is_answering && !recording_ends &&
               !interlock.may_start_late(now);
    }
    [[nodiscard]] auto may_release(time_point now) const -> bool
    {
        return is_release_pending(now) && interlock.may_release(now) &&
               now - release_due_since >= min_release_delay;
    }
    /// True if starts have to wait for an acknowledgement.
    [[nodiscard]] auto holds_starts(time_point now) const -> bool
    {
        return !interlock.may_start(now) ||
               (is_release_pending(now) &&
                now - release_due_since >= max_release_delay);
    }
    /// True if the run may have caused a crash of the worker that ended its
    /// contact: it had started for config::crash_blame_time at most. An order
    /// that was sent to a worker after a long silence found it down already.
    [[nodiscard]] auto may_blame(held_run const& run) const -> bool
    {
        if (run.phase == run_phase::proposed ||
            run.phase == run_phase::closed || run.phase == run_phase::ending ||
            !run.ordered_at)
        {
            return false;
        }
        auto const since = run.started_at.value_or(*run.ordered_at);
        // An order without an answer may have been carried out at its end.
        auto const limit =
            config::crash_blame_time +
            (run.started_at ? duration{} : duration{config::order_timeout});
        return last_contact - since < limit &&
               since - last_contact < usual_contact_interval;
    }

    /// True if the run has gone on for config::crash_blame_time.
    [[nodiscard]] auto has_lasted(held_run const& run) const -> bool
    {
        return run.phase == run_phase::running &&
               last_contact - run.settled_at >= config::crash_blame_time;
    }

    /// Forgets what is true of the present incarnation only. Its runs stay, and
    /// so does the bound on its lease.
    auto begin_incarnation(worker_incarnation next, life_number number) -> void
    {
        incarnation = next;
        life = number;
        follows_former_life = false;
        info.reset();
        place.reset();
        recorded_lease.reset();
        grants = lease_grants::open;
        auto const former = std::exchange(lease, {});
        lease.assume_until(former.latest_end(), former.cause());
        leased_from = {};
        warm_up = {};
        unrecorded.clear();
        ended_by_lease.clear();
        recorded = {};
        withheld_since.reset();
        listed_ends = 0;
        written_off.clear();
        released = {};
        acknowledged = {};
        // Later lives may still get what was sent to this one.
        interlock.on_release_unproven();
        unanswered_since.reset();
        poll_in_flight = false;
        repeated_poll_at.reset();
        outdated_poll_at.reset();
        has_inherited_lease = false;
        has_lost_poll = false;
        recording_ends = false;
        is_answering = false;
        is_listed = false;
        is_replaced = false;
        answering_life.reset();
        claim.reset();
        is_fenced = false;
        incarnation_ended = false;
    }

    /// True if a run that holds a reservation may be on the worker.
    [[nodiscard]] auto may_have_runs() const -> bool
    {
        return std::ranges::any_of(runs, [](auto const& each)
                                   { return may_be_on_worker(each.second); });
    }
    auto add(task_run const& name, held_run run) -> void
    {
        are_shares_stale = true;
        has_open_orders = true;
        reserved += run.reservation;
        if (!run.permanent)
        {
            finite_reserved += run.reservation;
        }
        scavenged_cores += run.scavenged_cores;
        if (run.is_serving())
        {
            ++serving[run.image];
        }
        runs.emplace(name, std::move(run));
    }
    auto remove(task_run const& name) -> void
    {
        auto const it = runs.find(name);
        if (it != runs.end())
        {
            are_shares_stale = true;
            reserved -= it->second.reservation;
            if (!it->second.permanent)
            {
                finite_reserved -= it->second.reservation;
            }
            scavenged_cores -= it->second.scavenged_cores;
            auto const same = serving.find(it->second.image);
            if (it->second.is_serving() && --same->second == 0)
            {
                serving.erase(same);
            }
            runs.erase(it);
        }
    }
    /// True if a run with a latency target holds a reservation.
    [[nodiscard]] auto is_serving() const -> bool { return !serving.empty(); }
    /// True if the state of the worker allows new runs.
    [[nodiscard]] auto is_usable(time_point now) const -> bool
    {
        return info && !incarnation_ended && !is_replaced && !is_fenced &&
               grants == lease_grants::open &&
               info->phase == worker_phase::ready &&
               now - last_contact < config::worker_contact_timeout &&
               now >= paused_until && lease.is_sampled() &&
               !is_unresponsive(now) && !is_closed_by_end();
    }
    /// True if its incarnation is up as far as known, whether it takes new runs
    /// or not.
    [[nodiscard]] auto is_up(time_point now) const -> bool
    {
        return info && !incarnation_ended &&
               (!runs.empty() ||
                now - last_contact < config::worker_contact_timeout);
    }
    /// True if a serving task is over its latency target.
    [[nodiscard]] auto is_strained() const -> bool
    {
        return std::ranges::any_of(runs,
                                   [](auto const& each) {
                                       return each.second.is_serving() &&
                                              each.second.is_over_target();
                                   });
    }
    /// True if a serving task is over its target although all scavenging tasks
    /// have been paused for config::pause_evaluation_time.
    [[nodiscard]] auto is_strained_by_itself(time_point now) const -> bool
    {
        return is_strained() &&
               std::ranges::all_of(
                   runs,
                   [now](auto const& each)
                   {
                       auto const& it = each.second;
                       return !it.scavenges ||
                              (it.is_paused() &&
                               now - it.pace_changed_at >=
                                   config::pause_evaluation_time);
                   });
    }
    /// Resources that are not reserved; none before the first announcement.
    [[nodiscard]] auto free() const -> resources
    {
        auto left = info ? info->capacity : resources{};
        left -= reserved;
        return left;
    }
    /// Processors that runs may use. A cold worker gets a share that grows
    /// during its warm-up, since it is slow.
    [[nodiscard]] auto usable_cores(time_point now) const -> millicores
    {
        auto const all = info ? info->capacity.cores : millicores{};
        return millicores{all.value() * warm_up.elapsed(now).value() / 1000};
    }
    /// Resources for new runs. An empty worker takes at least one.
    [[nodiscard]] auto free_for_new(time_point now) const -> resources
    {
        auto left = free();
        if (warm_up.is_cold(now) && !runs.empty())
        {
            left.cores =
                std::min(left.cores, usable_cores(now) - reserved.cores);
        }
        return left;
    }
    /// True if a run that holds a reservation fits beside all others that may
    /// be on the worker, with the capacity that it announced last.
    [[nodiscard]] auto has_room_for(task_run const& name) const -> bool
    {
        auto left = info ? info->capacity : resources{};
        for (auto const& [other, held] : runs)
        {
            if (other != name && may_be_on_worker(held))
            {
                left -= held.reservation;
            }
        }
        return runs.at(name).reservation.fits_into(left);
    }
};

} // namespace apricotlb

#endif
