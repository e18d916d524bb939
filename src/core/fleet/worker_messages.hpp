/// What the leader and the workers that take pushed orders tell each other.
#ifndef APRICOTLB_CORE_FLEET_WORKER_MESSAGES_HPP
#define APRICOTLB_CORE_FLEET_WORKER_MESSAGES_HPP

#include "core/state/commands.hpp"

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// A worker's steady clock in milliseconds. Times of different lives of a
/// worker do not compare.
using worker_clock = quantity<struct worker_clock_tag, std::int64_t>;

/// Numbers the ends that a worker lists, from 1 in each life.
using end_number = quantity<struct end_number_tag, std::uint64_t>;

enum class worker_phase : std::uint8_t
{
    ready,
    draining, ///< serves what it has and takes no new work
    left,     ///< has ended on purpose; nothing runs there any more
};

template <>
inline constexpr auto last_enumerator<worker_phase> = worker_phase::left;

/// What a worker says of itself.
struct worker_announcement
{
    worker_instance life;
    url address;
    pool_name pool;
    zone_id zone;
    rack_id rack;
    std::vector<worker_label> labels;
    resources capacity;
    worker_phase phase{worker_phase::ready};
    worker_clock clock;
    sequence number; ///< grows, so that a late announcement is recognised

    static constexpr auto fields()
    {
        return field_list(field("life", &worker_announcement::life),
                          field("address", &worker_announcement::address),
                          field("pool", &worker_announcement::pool),
                          field("zone", &worker_announcement::zone),
                          field("rack", &worker_announcement::rack),
                          field("labels", &worker_announcement::labels),
                          field("capacity", &worker_announcement::capacity),
                          field("phase", &worker_announcement::phase),
                          field("clock", &worker_announcement::clock),
                          field("number", &worker_announcement::number));
    }
};

/// Where an order goes and under which leadership it was given.
struct order_target
{
    worker_instance life;
    url address;
    fence_token fence;
};

/// Starts a run; the lease of everything on the worker lasts until then.
struct start_order
{
    order_target to;
    task_run run;
    std::string payload;
    checkpoint_id checkpoint; ///< empty: from the beginning
    worker_clock lease_end;
};

struct stop_order
{
    order_target to;
    task_run run;
};

/// Limits the work of a run to a share of what it could use.
struct pace_order
{
    order_target to;
    task_run run;
    permille pace;
};

/// Asks for the lists of runs, renews the lease and releases recorded ends.
struct poll_order
{
    order_target to;
    end_number recorded; ///< ends up to here are on record for good
    std::optional<worker_clock> lease_end; ///< none: the lease stays as it is
    milliseconds wait{}; ///< the answer waits for an end up to this long
};

/// A worker's answer to an order.
enum class order_outcome : std::uint8_t
{
    done,       ///< also when it was carried out before
    fenced,     ///< a later leader has given orders there
    superseded, ///< a run of the task that is not lower has ended there
    late,       ///< the lease would have ended already
    no_room,
    unhealthy, ///< refused without doing anything
    malformed,
    other_life, ///< another life of a worker answers at this address
    no_answer,  ///< it may be carried out later
};

/// Names for logs and metrics.
[[nodiscard]] auto name_of(order_outcome it) -> std::string_view;
[[nodiscard]] auto name_of(run_end it) -> std::string_view;

struct order_answer
{
    order_outcome outcome{order_outcome::no_answer};
    std::optional<worker_clock> clock;
};

struct running_row
{
    task_run run;
    checkpoint_id checkpoint;
    std::int32_t percent{0};
    /// Latency tail in ms for a task that serves, millicores for others.
    std::int64_t load{0};
};

struct ended_row
{
    end_number number;
    ended_run run;
};

/// A worker's lists of runs.
struct worker_lists
{
    worker_incarnation incarnation;
    worker_clock clock;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

struct poll_answer
{
    order_outcome outcome{order_outcome::no_answer};
    worker_lists lists; ///< when the outcome is done
};

} // namespace apricotlb

#endif
