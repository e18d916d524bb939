/// Forecast of how long new work waits, and the decision whether a submission
/// is accepted.
///
/// The leader counts the declared work of accepted tasks without a run and of
/// tasks that were started lately. Their quotient is the expected wait. Both
/// are in declared units, so that an error which all declarations share cancels
/// out. The counts follow the committed commands, and start anew with each
/// leader.
#ifndef APRICOTLB_CORE_FLEET_ADMISSION_FORECAST_HPP
#define APRICOTLB_CORE_FLEET_ADMISSION_FORECAST_HPP

#include "core/state/workflow_table.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Processors that a task uses.
enum class room_kind : std::uint8_t
{
    reserved, ///< of its own
    idle,     ///< those that other tasks leave idle
};

inline constexpr std::size_t room_kind_count = 2;

[[nodiscard]] auto name_of(room_kind it) -> std::string_view;
[[nodiscard]] inline auto room_kind_of(step_spec const& step) -> room_kind
{
    return step.scavenges ? room_kind::idle : room_kind::reserved;
}

/// Declared work of some tasks of a step; none for permanent tasks.
[[nodiscard]] auto declared_work(step_spec const& step, task_count tasks)
    -> core_time;

/// Why a submission is accepted or refused.
enum class admission_reason : std::uint8_t
{
    no_limit,        ///< accepted: this deployment refuses no late work
    room_free,       ///< accepted: nothing waits for such room
    in_time,         ///< accepted: it can end within its allowed time
    new_leader,      ///< accepted: this leader has not seen enough
    own_times,       ///< accepted: its occurrences have times of their own
    room_left,       ///< accepted: permanent tasks that leave enough room
    late,            ///< refused: it would end after its allowed time
    finite_waits,    ///< refused: permanent tasks, while work that ends waits
    permanent_waits, ///< refused: permanent tasks, while others wait
    crest_room, ///< refused: permanent tasks, in the room of the last crest
};

[[nodiscard]] auto name_of(admission_reason it) -> std::string_view;

/// The answer to a submission and the figures behind it.
struct admission_decision
{
    admission_reason reason{admission_reason::no_limit};
    duration wait{}; ///< expected, before its first task starts
    /// Expected from its first start to its end: the time of its longest chain
    /// of steps, or the time in which all its tasks get their turn.
    duration run{};
    duration allowed{}; ///< by the contract
    seconds retry_after{};

    [[nodiscard]] auto is_refused() const -> bool
    {
        return reason >= admission_reason::late;
    }
};

/// The refusal as its caller gets it.
[[nodiscard]] auto refusal_of(admission_decision const& it) -> error;

/// A refused submission, for logs.
struct refused_workflow
{
    workflow_id id;
    queue_name queue;
    admission_decision decided;
    request_count refused; ///< since the last report, this one included
};

/// Amounts of the last `Buckets` intervals.
template <class Amount, std::size_t Buckets>
class sliding_buckets
{
public:
    explicit sliding_buckets(duration width) : width_(width) {}

    /// The amount of the current interval.
    auto current(time_point now) -> Amount&
    {
        advance(now);
        return amounts_[static_cast<std::size_t>(last_) % Buckets];
    }
    [[nodiscard]] auto amounts(time_point now)
        -> std::array<Amount, Buckets> const&
    {
        advance(now);
        return amounts_;
    }

private:
    auto advance(time_point now) -> void
    {
        auto const index = now.time_since_epoch() / width_;
        auto const end =
            std::min(index, last_ + static_cast<duration::rep>(Buckets));
        while (last_ < end)
        {
            ++last_;
            amounts_[static_cast<std::size_t>(last_) % Buckets] = Amount{};
        }
        if (index > last_)
        {
            amounts_ = {};
            last_ = index;
        }
    }

    duration width_;
    duration::rep last_{0};
    std::array<Amount, Buckets> amounts_{};
};

/// Room of one kind in one pool that tasks of the last pass found too little
/// of.
struct room_shortage
{
    bool finite{false};        ///< for tasks that end by themselves
    bool new_permanent{false}; ///< for permanent tasks that have never run
};

using pool_room = std::pair<pool_name, room_kind>;

/// The forecast for one priority, for logs.
struct expected_wait
{
    pool_name pool;
    room_kind kind{room_kind::reserved};
    queue_priority priority;
    duration wait{};
    bool is_refusing{false};
};

class admission_forecast
{
public:
    explicit admission_forecast(time_point leading_since)
        : leading_since_(leading_since)
    {
    }

    // Events. A task counts as waiting, running or done as its record shows, so
    // that an event which is reported twice changes nothing.

    /// A submission is proposed to the log and counts from now on.
    auto on_proposed(workflow_spec const& spec, queue_contract const& terms,
                     admission_decision const& decided, time_point now) -> void;
    /// `terms` is the contract in force; it may differ from the accepted one.
    auto on_accepted(workflow_record const& record, queue_contract const& terms,
                     time_point since) -> void;
    /// The runs of a task have changed.
    auto on_task_changed(workflow_record const& record,
                         workflow_task const& task, time_point now) -> void;
    /// A run has finished `ran` after it was seen to start.
    auto on_run_time(step_spec const& step, duration ran) -> void;
    /// The workflow has ended or is not to be run any more. Returns how much
    /// later than forecast it ends, if this leader has forecast its end.
    auto on_ended(workflow_id const& id, time_point now)
        -> std::optional<duration>;
    /// Another contract applies to the queue of an accepted workflow.
    auto on_terms_changed(workflow_record const& record,
                          queue_contract const& terms, time_point now) -> void;
    /// A pass has tried to place all ready tasks. `short_of` names the rooms of
    /// which some found too little, `ready` the processors that ready tasks in
    /// time need.
    auto on_pass(std::map<pool_room, room_shortage> const& short_of,
                 std::map<pool_name, millicores> const& ready, time_point now)
        -> void;
    /// A pass has ended before it has tried all tasks.
    auto on_cut_pass(std::map<pool_room, room_shortage> const& short_of,
                     time_point now) -> void;
    /// Work that has lost all value leaves the counts: it is placed behind the
    /// rest. Work that is only late stays, since it is placed in the end. When
    /// late work was left out, each workflow that became late let in another
    /// one, and two of five accepted small ones ended late
    /// (tests/admission_overload_test.cpp).
    auto advance(workflow_table const& table, time_point now) -> void;

    // Decisions.

    /// `free` returns the processors of a pool that are not reserved; it is
    /// called only if the answer depends on them.
    template <class Free>
    [[nodiscard]] auto admit(workflow_spec const& spec,
                             queue_contract const& terms, time_point now,
                             Free free) -> admission_decision
    {
        if (spec.repeats.times.value() > 0)
        {
            return {admission_reason::own_times, {}, {}, {}, {}};
        }
        if (now - leading_since_ < config::forecast_window)
        {
            return {admission_reason::new_leader, {}, {}, {}, {}};
        }
        admission_decision out;
        if (has_permanent_step(spec))
        {
            out.reason = finite_work_waits(terms.pool, now)
                             ? admission_reason::finite_waits
                         : permanent_work_waits(spec, terms.pool, now)
                             ? admission_reason::permanent_waits
                         : has_crest(terms.pool, now) &&
                                 !leaves_crest_room(spec, terms.pool,
                                                    free(terms.pool), now)
                             ? admission_reason::crest_room
                             : admission_reason::room_left;
        }
        else
        {
            out = admit_finite(spec, terms, now);
        }
        if (out.is_refused())
        {
            out.retry_after = retry_delay(spec.id, terms, out, now);
        }
        return out;
    }

    /// Wait of new work of a priority before it starts.
    [[nodiscard]] auto wait_for(pool_name const& pool, room_kind kind,
                                queue_priority priority, time_point now)
        -> duration;
    /// True if tasks that end by themselves have found no worker for
    /// config::admission_min_wait.
    [[nodiscard]] auto is_short(pool_name const& pool, room_kind kind,
                                time_point now) const -> bool;
    /// True if work that ends by itself waits for processors of its own.
    [[nodiscard]] auto finite_work_waits(pool_name const& pool,
                                         time_point now) const -> bool;
    /// True if permanent tasks that have never run wait for the same room.
    [[nodiscard]] auto permanent_work_waits(workflow_spec const& spec,
                                            pool_name const& pool,
                                            time_point now) const -> bool;
    /// True if work that ends by itself has found too few processors within
    /// config::crest_memory.
    [[nodiscard]] auto has_crest(pool_name const& pool, time_point now) const
        -> bool;
    /// True if the processors that such work has needed at most within
    /// config::crest_memory remain for it beside the new permanent tasks.
    [[nodiscard]] auto leaves_crest_room(workflow_spec const& spec,
                                         pool_name const& pool, millicores free,
                                         time_point now) -> bool;
    /// Seen to declared run time.
    [[nodiscard]] auto run_time_ratio(room_kind kind) const -> permille;
    [[nodiscard]] auto expected_waits(time_point now)
        -> std::vector<expected_wait>;

private:
    static constexpr std::size_t start_buckets = 5;
    static constexpr std::size_t crest_buckets = 20;
    static constexpr duration start_bucket =
        config::forecast_window / static_cast<duration::rep>(start_buckets);
    static constexpr duration crest_bucket =
        config::crest_memory / static_cast<duration::rep>(crest_buckets);

    enum class task_stage : std::uint8_t
    {
        waiting,
        running,
        done,
    };

    /// State of one kind of room in one pool.
    struct room
    {
        /// Declared work without a run whose completion has some value.
        std::map<queue_priority, core_time> waiting;
        /// Declared work that was started.
        std::map<queue_priority, sliding_buckets<core_time, start_buckets>>
            started;
        /// Processors of tasks that end by themselves.
        std::map<queue_priority, millicores> running;
        millicores permanent_waiting; ///< permanent tasks without a run
        /// Since when passes find too little room.
        std::optional<time_point> finite_short_since;
        std::optional<time_point> permanent_short_since;
        std::optional<time_point> last_shortage; ///< of admission_min_wait
        /// Most processors that work which ends by itself has needed.
        sliding_buckets<millicores, crest_buckets> needed{crest_bucket};
        std::set<queue_priority> refusing;
    };

    struct entry
    {
        std::array<room*, room_kind_count> rooms{};
        queue_priority priority;
        std::array<core_time, room_kind_count> waiting{};
        std::array<millicores, room_kind_count> running{};
        std::array<millicores, room_kind_count> permanent_waiting{};
        bool has_worth{true};
        bool is_counted{false}; ///< false for occurrences with own times
        time_point since{};
        time_point worth_end{}; ///< until when its completion has some value
        std::vector<std::vector<task_stage>> stages; ///< by step
        std::optional<time_point> forecast_end;
    };

    /// Counts work as started; negative for work that has to be done again.
    static auto count_started(room& it, queue_priority priority, core_time work,
                              time_point now) -> void;
    /// Processors that tasks use which end by themselves.
    static auto running_cores(room const& it) -> millicores;
    static auto has_permanent_step(workflow_spec const& spec) -> bool;
    auto find_room(pool_name const& pool, room_kind kind) const -> room const*;
    auto admit_finite(workflow_spec const& spec, queue_contract const& terms,
                      time_point now) -> admission_decision;
    auto retry_delay(workflow_id const& id, queue_contract const& terms,
                     admission_decision const& refused, time_point now)
        -> seconds;
    /// Time until the work that waits, and `own` behind it, has started.
    auto wait_in(room& it, room_kind kind, queue_priority priority,
                 core_time own, time_point now) -> duration;
    auto add_entry(workflow_spec const& spec, queue_contract const& terms,
                   time_point since) -> entry&;
    /// Adds its waiting work to the counts, or removes it.
    static auto count_waiting(entry const& it, int sign) -> void;
    auto set_worth_end(workflow_id const& id, entry& it, time_point end)
        -> void;
    /// Brings the stage of a task and the counts up to date.
    static auto set_stage(entry& it, step_spec const& step, task_stage& stage,
                          task_stage to) -> void;
    static auto stage_of(task_progress const& task) -> task_stage;
    auto read_stages(entry& it, workflow_record const& record) -> void;

    time_point leading_since_;
    std::map<pool_room, room> rooms_;
    std::unordered_map<workflow_id, entry> entries_;
    /// Workflows whose completion has some value, by until when.
    std::set<std::pair<time_point, workflow_id>> by_worth_end_;
    /// In millionths: single runs change them by less than one thousandth.
    std::array<std::int64_t, room_kind_count> ratios_{1'000'000, 1'000'000};
};

} // namespace apricotlb

#endif
