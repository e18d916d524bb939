/// Messages between the leader and the workers that take pushed orders.
#ifndef APRICOTLB_CORE_FLEET_WORKER_MESSAGES_HPP
#define APRICOTLB_CORE_FLEET_WORKER_MESSAGES_HPP

#include "core/state/commands.hpp"

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// A worker's steady clock in milliseconds. Values of different incarnations of
/// a worker are not comparable.
using worker_clock = quantity<struct worker_clock_tag, std::int64_t>;

/// Number of an ended run in a worker's list, from 1 in each incarnation.
using end_number = quantity<struct end_number_tag, std::uint64_t>;

enum class worker_phase : std::uint8_t
{
    ready,
    draining, ///< keeps its runs and takes no new ones
    left,     ///< has shut down in an orderly way; nothing runs there any more
};

template <>
inline constexpr auto last_enumerator<worker_phase> = worker_phase::left;

/// Periodic announcement of a worker: its address, properties and state. Of
/// one that says `left`, only the instance counts; its incarnation is 0 if the
/// process that took it does not know which life has drained.
struct worker_announcement
{
    worker_instance instance;
    url address;
    pool_name pool;
    zone_id zone;
    rack_id rack;
    std::vector<worker_label> labels;
    resources capacity;
    worker_phase phase{worker_phase::ready};
    worker_clock clock;
    sequence number; ///< rises, so that a late announcement is recognised
    /// How much longer the worker is slow because it is cold; zero if it is
    /// warm.
    milliseconds warm_up{};

    static constexpr auto fields()
    {
        return field_list(field("life", &worker_announcement::instance),
                          field("address", &worker_announcement::address),
                          field("pool", &worker_announcement::pool),
                          field("zone", &worker_announcement::zone),
                          field("rack", &worker_announcement::rack),
                          field("labels", &worker_announcement::labels),
                          field("capacity", &worker_announcement::capacity),
                          field("phase", &worker_announcement::phase),
                          field("clock", &worker_announcement::clock),
                          field("number", &worker_announcement::number),
                          field("warm_up", &worker_announcement::warm_up));
    }
};

template <>
inline constexpr std::size_t optional_fields<worker_announcement> = 1;

/// The worker that an order is for, and the fencing token of the leader.
struct order_target
{
    worker_instance instance;
    url address;
    zone_id zone;
    fence_token fence;
    time_point given{}; ///< on the leader's clock, which others do not share

    static constexpr auto fields()
    {
        return field_list(field("instance", &order_target::instance),
                          field("address", &order_target::address),
                          field("zone", &order_target::zone),
                          field("fence", &order_target::fence));
    }
};

/// Starts a run. `lease_end` is the new end of the worker's lease, which covers
/// all its runs.
struct start_order
{
    order_target to;
    task_run run;
    std::string payload;
    checkpoint_id checkpoint; ///< empty: start from the beginning
    worker_clock lease_end;

    static constexpr auto fields()
    {
        return field_list(field("to", &start_order::to),
                          field("run", &start_order::run),
                          field("payload", &start_order::payload),
                          field("checkpoint", &start_order::checkpoint),
                          field("lease_end", &start_order::lease_end));
    }
};

struct stop_order
{
    order_target to;
    task_run run;

    static constexpr auto fields()
    {
        return field_list(field("to", &stop_order::to),
                          field("run", &stop_order::run));
    }
};

/// Limits a run to a share of its full speed; 1000 permille is no limit.
struct pace_order
{
    order_target to;
    task_run run;
    permille pace;

    static constexpr auto fields()
    {
        return field_list(field("to", &pace_order::to),
                          field("run", &pace_order::run),
                          field("pace", &pace_order::pace));
    }
};

/// Requests the lists of runs, renews the lease and acknowledges recorded ends,
/// which the worker then no longer lists.
struct poll_order
{
    order_target to;
    end_number recorded; ///< ends up to this number are committed in the log
    std::optional<worker_clock> lease_end; ///< none: the lease is not renewed
    milliseconds wait{}; ///< how long the worker waits for an end to report

    static constexpr auto fields()
    {
        return field_list(field("to", &poll_order::to),
                          field("recorded", &poll_order::recorded),
                          field("lease_end", &poll_order::lease_end),
                          field("wait", &poll_order::wait));
    }
};

/// A worker's answer to an order.
enum class order_outcome : std::uint8_t
{
    done,       ///< executed now or by an earlier send
    fenced,     ///< rejected: the worker has seen a higher token
    superseded, ///< a run of the task with this number or a higher one has
                ///< ended
    late,       ///< rejected: `lease_end` has passed on the worker's clock
    insufficient_capacity, ///< rejected: too few free resources
    unhealthy,             ///< rejected without any effect
    malformed,             ///< rejected as not valid
    other_incarnation, ///< the address belongs to a different worker instance
    no_answer,         ///< unknown; the order may still be executed later
    not_sent,          ///< the relay was busy; the worker received nothing
};

template <>
inline constexpr auto last_enumerator<order_outcome> = order_outcome::not_sent;

/// Names for logs and metrics; they stay when an enumerator is renamed.
[[nodiscard]] auto name_of(order_outcome it) -> std::string_view;
[[nodiscard]] auto name_of(run_end it) -> std::string_view;

using try_count = quantity<struct try_count_tag, std::uint32_t>;

struct order_answer
{
    order_outcome outcome{order_outcome::no_answer};
    std::optional<worker_clock> clock;
    /// Further tries of a start order that may still be carried out; absent if
    /// there is none.
    std::optional<try_count> unanswered_tries{std::nullopt};

    static constexpr auto fields()
    {
        return field_list(
            field("outcome", &order_answer::outcome),
            field("clock", &order_answer::clock),
            field("unanswered_tries", &order_answer::unanswered_tries));
    }
};

/// Relays of earlier versions send each order once.
template <>
inline constexpr std::size_t optional_fields<order_answer> = 1;

/// A run that a worker lists as running.
struct running_row
{
    task_run run;
    checkpoint_id checkpoint; ///< newest; empty if there is none
    std::int32_t percent{0};  ///< progress
    /// Tail latency in ms of a serving task; processor use of other tasks in
    /// millicores.
    std::int64_t load{0};

    static constexpr auto fields()
    {
        return field_list(field("run", &running_row::run),
                          field("checkpoint", &running_row::checkpoint),
                          field("percent", &running_row::percent),
                          field("load", &running_row::load));
    }
};

/// A run that a worker lists as ended.
struct ended_row
{
    end_number number;
    ended_run run;

    static constexpr auto fields()
    {
        return field_list(field("number", &ended_row::number),
                          field("run", &ended_row::run));
    }
};

/// A worker's lists of its running and its ended runs.
struct worker_lists
{
    worker_incarnation incarnation;
    worker_clock clock;
    std::vector<running_row> running;
    std::vector<ended_row> ended;

    static constexpr auto fields()
    {
        return field_list(field("incarnation", &worker_lists::incarnation),
                          field("clock", &worker_lists::clock),
                          field("running", &worker_lists::running),
                          field("ended", &worker_lists::ended));
    }
};

struct poll_answer
{
    order_outcome outcome{order_outcome::no_answer};
    worker_lists lists; ///< valid only if the outcome is done

    static constexpr auto fields()
    {
        return field_list(field("outcome", &poll_answer::outcome),
                          field("lists", &poll_answer::lists));
    }
};

} // namespace apricotlb

#endif
