/// Workflows, which are jobs of dependent steps, and the contracts of their
/// queues.
#ifndef APRICOTLB_WORKFLOW_HPP
#define APRICOTLB_WORKFLOW_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace apricotlb
{

using workflow_id = strong<struct workflow_tag, std::string>;
using queue_name = strong<struct queue_tag, std::string>;
using pool_name = strong<struct pool_tag, std::string>;
using host_name = strong<struct host_name_tag, std::string>;
using queue_path = strong<struct path_prefix_tag, std::string>;

/// Image that a step's tasks execute. Tasks of one image have similar run times
/// and interference.
using image_name = strong<struct image_tag, std::string>;

/// Property of a worker that a step can require, such as its kind.
using worker_label = strong<struct worker_label_tag, std::string>;

/// Start of a worker's process. A restart under the same id has a higher value.
using worker_incarnation =
    quantity<struct worker_incarnation_tag, std::int64_t>;

using step_index = quantity<struct step_tag, std::uint32_t>;
using occurrence_index = quantity<struct occurrence_tag, std::uint32_t>;

/// Number of a run among the runs of its task. A worker rejects a run with a
/// lower number than one that it has received.
using run_number = quantity<struct run_tag, std::uint32_t>;

/// Terms below 2^33 keep the tokens exact as JSON numbers. From the millionth
/// life of all workers in a term on, lives share a token.
inline constexpr unsigned fence_life_bits = 20;
inline constexpr std::uint64_t max_fenced_life =
    (std::uint64_t{1} << fence_life_bits) - 1;

/// Fencing token; a worker rejects orders with a lower one than it has seen.
using fence_token = quantity<struct fence_tag, std::uint64_t>;

/// Numbers the lives of workers that a leader has met; a worker's next life has
/// a higher one.
using life_number = quantity<struct life_tag, std::uint64_t>;

/// The token of the orders to one life of a worker. It rises with each change
/// of leader and, for each worker, with each of its lives: a worker that was
/// restarted under its id rejects what was sent to its former life.
[[nodiscard]] constexpr auto make_fence(term leader, life_number life)
    -> fence_token
{
    return fence_token{(leader.value() << fence_life_bits) |
                       std::min(life.value(), max_fenced_life)};
}

/// The term of the leader that gave the orders with a token.
[[nodiscard]] constexpr auto leader_of(fence_token it) -> term
{
    return term{it.value() >> fence_life_bits};
}

/// Priority of a queue. Tasks of priority 0 start first and may preempt others.
using queue_priority = quantity<struct queue_priority_tag, std::int32_t>;
using contract_set_version =
    quantity<struct contract_set_version_tag, std::uint64_t>;

/// A step of tasks with the same properties. Sizes and run times are hints.
struct step_spec
{
    task_count tasks{1};
    resources each;                        ///< of one task
    milliseconds estimate{};               ///< declared run time of one task
    std::vector<step_index> prerequisites; ///< steps that must finish first
    image_name image;
    worker_label requires_label; ///< empty: any worker
    rack_id data_rack;           ///< empty: the data is available in every rack
    task_count max_per_worker;   ///< 0: no limit
    /// Tasks that the scheduler may keep stopped at a time.
    task_count max_unavailable;
    milliseconds latency_target{}; ///< of a serving task; 0: not a serving task
    bool checkpoints{false};
    bool gang{false}; ///< the tasks make progress only while all of them run
    bool one_rack{false}; ///< the tasks are slower when spread over racks
    /// A task may have two runs; the first one that finishes counts.
    bool allows_copies{false};
    bool permanent{false}; ///< runs until cancelled and is always restarted
    bool scavenges{false}; ///< uses only processors that other tasks leave idle

    auto operator==(step_spec const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("tasks", &step_spec::tasks),
                          field("each", &step_spec::each),
                          field("estimate", &step_spec::estimate),
                          field("after", &step_spec::prerequisites),
                          field("image", &step_spec::image),
                          field("requires_label", &step_spec::requires_label),
                          field("data_rack", &step_spec::data_rack),
                          field("most_per_worker", &step_spec::max_per_worker),
                          field("may_be_absent", &step_spec::max_unavailable),
                          field("latency_target", &step_spec::latency_target),
                          field("checkpoints", &step_spec::checkpoints),
                          field("gang", &step_spec::gang),
                          field("one_rack", &step_spec::one_rack),
                          field("copies", &step_spec::allows_copies),
                          field("permanent", &step_spec::permanent),
                          field("scavenges", &step_spec::scavenges));
    }
};

/// Runs all steps several times, each occurrence at its own time.
struct repetition
{
    occurrence_index times; ///< 0: once, when submitted
    milliseconds first{};   ///< Unix time of the first occurrence
    milliseconds interval{};

    auto operator==(repetition const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("times", &repetition::times),
                          field("first", &repetition::first),
                          field("interval", &repetition::interval));
    }
};

/// A workflow as submitted to a queue.
struct workflow_spec
{
    workflow_id id;      ///< chosen by the caller; a resend has the same id
    std::string payload; ///< passed to each task unchanged
    std::vector<step_spec> steps;
    repetition repeats;

    auto operator==(workflow_spec const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("id", &workflow_spec::id),
                          field("payload", &workflow_spec::payload),
                          field("steps", &workflow_spec::steps),
                          field("repeats", &workflow_spec::repeats));
    }
};

/// Checks a decoded workflow.
[[nodiscard]] auto check(workflow_spec const& it) -> result<void>;

/// Contract of a queue: the terms under which its workflows run.
struct queue_contract
{
    queue_name name;
    host_name host;
    queue_path prefix; ///< of the paths of requests to the queue
    pool_name pool;    ///< workers that run its tasks
    queue_priority priority;
    /// Failed runs of a task after which its workflow fails.
    std::uint32_t max_failures{1};
    /// Allowed run time, as a ratio to the run time of the longest chain of
    /// steps.
    permille stretch{1000};
    milliseconds target{};  ///< added to the allowed run time
    milliseconds timeout{}; ///< of one request to the queue

    auto operator==(queue_contract const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("name", &queue_contract::name),
                          field("host", &queue_contract::host),
                          field("prefix", &queue_contract::prefix),
                          field("pool", &queue_contract::pool),
                          field("priority", &queue_contract::priority),
                          field("max_failures", &queue_contract::max_failures),
                          field("stretch", &queue_contract::stretch),
                          field("target", &queue_contract::target),
                          field("timeout", &queue_contract::timeout));
    }
};

/// Contract of a pool: a set of workers that serve the same queues.
struct pool_contract
{
    pool_name name;
    bool guarded{false}; ///< its workers reject runs above their capacity
    bool standby{false}; ///< its workers are switched off

    auto operator==(pool_contract const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("name", &pool_contract::name),
                          field("guarded", &pool_contract::guarded),
                          field("standby", &pool_contract::standby));
    }
};

/// All queues and pools at one version. A higher version replaces the set.
struct contract_set
{
    contract_set_version version;
    std::vector<queue_contract> queues;
    std::vector<pool_contract> pools;
    std::string document; ///< as the operator sent it; returned unchanged

    auto operator==(contract_set const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("version", &contract_set::version),
                          field("queues", &contract_set::queues),
                          field("pools", &contract_set::pools),
                          field("document", &contract_set::document));
    }
};

/// Checks a decoded set: the pools of all queues exist, each pair of host and
/// prefix has one queue, and each queue has a timeout.
[[nodiscard]] auto check(contract_set const& it) -> result<void>;

/// Identifies a task of one occurrence of a workflow.
struct workflow_task
{
    workflow_id workflow;
    occurrence_index occurrence;
    step_index step;
    task_index index;

    auto operator<=>(workflow_task const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("workflow", &workflow_task::workflow),
                          field("occurrence", &workflow_task::occurrence),
                          field("step", &workflow_task::step),
                          field("index", &workflow_task::index));
    }
};

/// Identifies a run of a task.
struct task_run
{
    workflow_task task;
    run_number number;

    auto operator<=>(task_run const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("task", &task_run::task),
                          field("number", &task_run::number));
    }
};

/// Hashes of ids for look-ups; ordered containers compare whole texts in each
/// step.
struct workflow_task_hash
{
    auto operator()(workflow_task const& it) const noexcept -> std::size_t
    {
        auto const place = (std::uint64_t{it.occurrence.value()} << 48U) ^
                           (std::uint64_t{it.step.value()} << 32U) ^
                           it.index.value();
        constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15U;
        return std::hash<workflow_id>{}(it.workflow) ^
               static_cast<std::size_t>((place + 1) * multiplier);
    }
};

struct task_run_hash
{
    auto operator()(task_run const& it) const noexcept -> std::size_t
    {
        return workflow_task_hash{}(it.task) + it.number.value();
    }
};

/// One incarnation of a worker.
struct worker_instance
{
    worker_id id;
    worker_incarnation incarnation;

    auto operator<=>(worker_instance const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("id", &worker_instance::id),
                          field("born", &worker_instance::incarnation));
    }
};

/// How a run ended. Only `failed` counts towards max_failures, and only
/// `crashed` towards config::max_task_crashes. Stored in the log: new values go
/// to the end.
enum class run_end : std::uint8_t
{
    finished,
    failed,
    stopped,
    lapsed,      ///< its lease ended on the worker
    broken,      ///< another task of its gang ended
    alone,       ///< the other tasks of its gang did not start
    lost,        ///< its worker left or is unreachable
    not_started, ///< the worker rejected it and ran nothing
    crashed,     ///< its worker crashed soon after the run had started
};

template <>
inline constexpr auto last_enumerator<run_end> = run_end::crashed;

/// State of a workflow as reported to callers.
enum class workflow_state : std::uint8_t
{
    queued, ///< no task has started yet
    running,
    completed,
    failed,
    cancelled,
};

template <>
inline constexpr auto last_enumerator<workflow_state> =
    workflow_state::cancelled;

} // namespace apricotlb

#endif
