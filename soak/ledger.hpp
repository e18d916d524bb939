/// What callers, workers and operators have seen, checked against the promises
/// of the system. No I/O: times come in as arguments.
#ifndef APRICOTLB_SOAK_LEDGER_HPP
#define APRICOTLB_SOAK_LEDGER_HPP

#include "soak/disturbances.hpp"

#include <apricotlb/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb::soak
{

/// Times that the deployment allows.
struct bounds
{
    duration contact{std::chrono::milliseconds{3000}};
    duration config_apply{std::chrono::milliseconds{2000}};
    duration cancel{std::chrono::milliseconds{3000}};
    duration acknowledge{std::chrono::milliseconds{4000}};
    /// Calls of an entry this far apart don't show what it did between.
    duration call_gap{std::chrono::milliseconds{1000}};
    duration stop{std::chrono::milliseconds{400}};
    duration visible{std::chrono::milliseconds{3000}};
    duration drain{std::chrono::milliseconds{2000}};
    duration loss_slack{std::chrono::milliseconds{200}};
    duration grace{std::chrono::milliseconds{6000}};
    duration stand{std::chrono::milliseconds{3000}};
    duration calm_before{std::chrono::milliseconds{4000}};
    duration after_last_run{std::chrono::milliseconds{6000}};
    int attempts{4}; ///< of the queues that operators configure
};

enum class promise : std::uint8_t
{
    unasked,        ///< a worker is told to start what no caller sent
    twice,          ///< a task runs in two places, or again after its end
    order,          ///< a step starts before its prerequisites
    refused,        ///< a workflow that was refused runs
    drain,          ///< a start on a worker that is leaving
    lost,           ///< an accepted workflow is unknown, or wrongly ended
    cut,            ///< a request ends without an answer
    shown,          ///< a state is shown that does not hold
    config_order,   ///< an older configuration is read or obeyed
    config_refused, ///< a valid configuration is refused
    config_invalid, ///< an invalid one is acknowledged or in force
    config_missing, ///< no configuration can be read in the end
    unacknowledged, ///< a cancel or a configuration, although nothing is wrong
    unserved,       ///< an entry serves no call, although nothing is wrong
    process,        ///< a process ends by itself
};

[[nodiscard]] auto name_of(promise it) -> std::string_view;

struct finding
{
    promise broken;
    time_point at{};
    std::string text;
};

struct step_plan
{
    int tasks{1};
    std::int64_t cpu{1000};
    std::int64_t mem_mb{256};
    duration run_time{};
    std::vector<int> prerequisites;
    bool permanent{false};
    bool scavenges{false};
    bool checkpoints{false};
    std::string image;
    std::int64_t target_ms{0};
    int max_unavailable{0};
    int anti_affinity{0}; ///< 0: any number of tasks on a worker
    bool allow_duplicates{false};
};

struct workflow_plan
{
    std::string id;
    std::string queue_path; ///< with the slash at its end
    std::string spec;
    std::vector<step_plan> steps;
    bool is_kept{false}; ///< never cancelled
};

/// What is not reserved on a worker that takes starts.
struct worker_room
{
    std::string worker;
    std::int64_t cpu{0};
    std::int64_t mem_mb{0};
    std::int64_t cpu_free{0};
    std::int64_t mem_free_mb{0};
    bool takes_starts{true};
};

/// Waiting work is a fault only while most of the room is free.
[[nodiscard]] auto is_half_free(std::vector<worker_room> const& rooms) -> bool;

/// How the order of a start came.
struct order_origin
{
    std::string relay; ///< peer of the connection
    std::optional<time_point> sent_at;
};

/// Name of a task as on the wire: ID.OCCURRENCE.STEP.INDEX.
struct task_name
{
    std::string workflow;
    int occurrence{0};
    int step{0};
    int index{0};

    [[nodiscard]] static auto parse(std::string const& text)
        -> std::optional<task_name>;
};

/// One start of a task on one life of a worker.
struct run_key
{
    std::string task;
    std::int64_t number{0};
    std::string worker;
    int life{0};

    auto operator<=>(run_key const&) const = default;
};
[[nodiscard]] auto text_of(run_key const& it) -> std::string;

enum class submission_answer : std::uint8_t
{
    accepted,
    refused,
    unknown,
};

/// How a call ended that an entry forwards to the leader.
enum class call_service : std::uint8_t
{
    served,  ///< the leader has answered, if only with a proper refusal
    refused, ///< with 503 or 504
    unanswered,
};

class ledger
{
public:
    ledger(bounds limits, disturbances const& disturbed)
        : limits_(limits), disturbed_(disturbed)
    {
    }

    // Workflows, as callers see them.
    auto on_submission(workflow_plan const& plan) -> void;
    auto on_submission_answer(std::string const& id, submission_answer it,
                              time_point now) -> void;
    auto on_cancel_sent(std::string const& id, time_point now) -> void;
    /// `is_known` is false for a workflow that no longer exists (410).
    auto on_cancel_answer(std::string const& id, time_point now,
                          bool is_known = true) -> void;
    /// A state as shown by a node; "unknown" for a workflow that it doesn't
    /// know.
    auto on_state(std::string const& id, std::string const& state,
                  std::string const& node, time_point sent_at, time_point now)
        -> void;
    /// A request whose connection ended without an answer.
    auto on_cut(std::string const& node, std::string const& what,
                time_point sent_at, time_point now) -> void;
    /// Reports an entry that serves no call of a method for longer than
    /// bounds::acknowledge in steady state. Silence before a disturbance, or
    /// across a gap between calls, doesn't count.
    auto on_call(std::string const& node, std::string const& method,
                 call_service how, time_point sent_at, time_point now) -> void;

    // Runs, as workers see them. `is_late`: the worker held the order back.
    /// `held_since`: when the order was sent, if the worker held it back or was
    /// frozen.
    auto on_start(run_key const& run, std::string const& spec,
                  std::string const& checkpoint, bool is_late, time_point now,
                  std::optional<time_point> held_since = {},
                  order_origin const& origin = {}) -> void;
    auto on_checkpoint(std::string const& task, std::string const& it) -> void;
    auto on_end(run_key const& run, std::string const& how, time_point now)
        -> void;
    /// The system has taken note of an end.
    auto on_end_recorded(run_key const& run, time_point now = {}) -> void;
    auto on_drain_acknowledged(std::string const& worker, int life,
                               time_point now) -> void;
    /// Checks what holds at a point of time after a cancel.
    auto check_cancelled(time_point now) -> void;
    /// Reports work that could run and stands still. By day, all has to be calm
    /// for the time that it stands and a while before; after the end of the
    /// traffic it counts from that end on.
    auto check_standing(time_point now, std::vector<worker_room> const& rooms,
                        std::optional<time_point> traffic_end = {}) -> void;

    /// From the first request of each cancel to its answer, in ms; up to now
    /// for those without one.
    [[nodiscard]] auto cancel_times(time_point now) const -> std::string;

    /// How long work that could run stood after the loss of a worker or of
    /// control processes, in ms; with what still stands.
    [[nodiscard]] auto recovery(time_point now) const -> std::string;

    /// True if nothing has harmed a node, or the control processes, for long
    /// enough before a request.
    [[nodiscard]] auto is_undisturbed(std::string const& node,
                                      time_point sent_at) const -> bool;

    /// The same for all control and entry processes since a point of time.
    [[nodiscard]] auto is_calm(time_point since) const -> bool;

    auto on_process_end(std::string const& node, std::string const& how,
                        time_point now) -> void;

    // The end of a soak.
    /// Accepted workflows that nobody has cancelled.
    [[nodiscard]] auto accepted() const -> std::vector<std::string>;
    [[nodiscard]] auto plan_of(std::string const& id) const
        -> workflow_plan const*;
    [[nodiscard]] auto is_permanent(std::string const& id) const -> bool;
    /// True if none of its runs has been at work since a point of time.
    [[nodiscard]] auto is_idle_since(std::string const& id,
                                     time_point since) const -> bool;
    /// The last state that was shown, and the ends of the runs so far.
    [[nodiscard]] auto describe(std::string const& id) const -> std::string;
    [[nodiscard]] auto is_shown_as_ended(std::string const& id) const -> bool;
    auto report(promise broken, std::string text, time_point now) -> void;
    /// How cases that were reported went on. No findings of their own.
    auto note(std::string text) -> void;
    [[nodiscard]] auto notes() const -> auto const& { return notes_; }
    /// Called with each finding and note.
    std::function<void(std::string const&)> on_line;
    /// The process at the other end of a connection, asked for findings only.
    std::function<std::string(std::string const&)> name_of_peer{
        [](std::string const& it) { return it; }};
    /// Times in texts count from here.
    auto set_origin(time_point it) -> void { origin_ = it; }
    [[nodiscard]] auto time_of(time_point it) const -> std::string;
    auto check_refused(time_point now) -> void;

    [[nodiscard]] auto findings() const -> auto const& { return findings_; }
    [[nodiscard]] auto starts() const -> std::size_t { return starts_; }
    [[nodiscard]] auto cancels() const -> std::size_t { return cancels_; }
    [[nodiscard]] auto accepted_count() const { return accepted_count_; }

private:
    struct run
    {
        explicit run(run_key of) : key(std::move(of)) {}

        run_key key;
        bool at_work{true};
        bool recorded{false};
        time_point recorded_at{};
        std::string how;
        std::optional<time_point> late_start; ///< of an order held back
        time_point started{};
        order_origin origin;
        bool reported{false}; ///< at work after its cancel
    };
    /// Since when a task that could run stands still.
    struct stand
    {
        std::optional<time_point> fits_since;
        std::optional<time_point> could_since; ///< with room as for a finding
        bool is_lost{false}; ///< its last run ended with the worker
        bool reported{false};
    };
    struct task
    {
        std::vector<run> runs;
        int at_work{0};
        time_point last_end{};
        stand standing;
        std::set<std::string> checkpoints;
        int failures{0};
        bool done{false};
        bool is_lost{false}; ///< the last run, with its worker
    };
    struct workflow
    {
        workflow_plan plan;
        std::map<std::string, task> tasks;
        std::size_t refused{0};
        std::size_t attempts{0};
        std::optional<time_point> accepted_at;
        /// Acknowledged, or waited for that in steady state for long enough.
        std::optional<time_point> cancelled_at;
        std::optional<time_point> cancel_sent;
        std::optional<time_point> cancel_answered;
        bool cancel_acknowledged{false};
        time_point last_run_end{};
        int at_work{0};
        bool is_lost{false}; ///< the last run, with its worker
        bool over{false};    ///< has ended, or can't be done
        std::string shown;   ///< the last state that was answered
    };
    /// Calls without service on end, of one entry and method.
    struct silence
    {
        time_point from{};
        time_point to{};
        time_point served_at{}; ///< last
        std::size_t refused{0};
        std::size_t unanswered{0};
        bool reported{false};
    };
    using named_time = std::pair<duration, std::string>; ///< and whose it is
    struct standing_task
    {
        std::string name;
        int step{0};
        time_point since{};
        bool is_permanent{false};
    };

    /// The workflow of a task; null if no caller sent it.
    auto owner_of(std::string const& of) -> workflow*;
    [[nodiscard]] auto is_step_done(workflow const& it, int occurrence,
                                    int step) const -> bool;

    [[nodiscard]] static auto percentiles(std::string name,
                                          std::vector<named_time> all)
        -> std::string;
    [[nodiscard]] auto is_core_calm(time_point since) const -> bool;
    /// The core is stable and no link is disrupted.
    [[nodiscard]] auto is_steady(time_point since) const -> bool;
    /// The sender of an order was in touch.
    [[nodiscard]] auto was_in_touch(order_origin const& from,
                                    time_point now) const -> bool;
    [[nodiscard]] auto is_over(workflow const& it) const -> bool;
    /// The time that work stood, if a loss is the cause.
    [[nodiscard]] auto recovery_of(std::string const& name, stand const& it,
                                   time_point now) const
        -> std::optional<named_time>;
    [[nodiscard]] auto is_turn_of(workflow const& it, int step) const -> bool;
    /// Tasks whose turn has come and that hold their workflow up.
    [[nodiscard]] auto standing_of(workflow const& it) const
        -> std::vector<standing_task>;
    [[nodiscard]] auto fits_twice(workflow const& it, int step,
                                  std::vector<worker_room> const& rooms) const
        -> bool;

    bounds limits_;
    disturbances const& disturbed_;
    time_point origin_{};
    std::optional<time_point> half_free_since_;
    std::vector<named_time> recoveries_;
    std::vector<std::string> notes_;
    std::map<std::string, workflow> workflows_;
    std::map<std::string, time_point> draining_; ///< worker and life
    std::map<std::string, silence> silences_;    ///< by entry and method
    std::vector<finding> findings_;
    std::set<std::string> reported_; ///< texts of the findings
    std::size_t starts_{0};
    std::size_t cancels_{0};
    std::size_t accepted_count_{0};
};

} // namespace apricotlb::soak

#endif
