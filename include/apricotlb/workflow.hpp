/// Workflows: jobs of dependent steps, and the contracts of their queues.
#ifndef APRICOTLB_WORKFLOW_HPP
#define APRICOTLB_WORKFLOW_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace apricotlb
{

using workflow_id = strong<struct workflow_tag, std::string>;
using queue_name = strong<struct queue_tag, std::string>;
using pool_name = strong<struct pool_tag, std::string>;
using host_name = strong<struct host_name_tag, std::string>;
using queue_path = strong<struct path_prefix_tag, std::string>;

/// What a step's tasks execute; tasks of one image behave alike.
using image_name = strong<struct image_tag, std::string>;

/// A property of a worker that a step can require, such as its kind.
using worker_label = strong<struct worker_label_tag, std::string>;

/// One start of a process on a worker; a restart under the same id has a later
/// one.
using worker_incarnation =
    quantity<struct worker_incarnation_tag, std::int64_t>;

using step_index = quantity<struct step_tag, std::uint32_t>;
using occurrence_index = quantity<struct occurrence_tag, std::uint32_t>;

/// Numbers the starts of one task; a worker rejects a lower one.
using run_number = quantity<struct run_tag, std::uint32_t>;

/// Rises with each leadership; a worker ignores a lower one.
using fence_token = quantity<struct fence_tag, std::uint64_t>;

/// 0 starts first and may preempt the others.
using queue_priority = quantity<struct queue_priority_tag, std::int32_t>;
using contract_set_version =
    quantity<struct contract_set_version_tag, std::uint64_t>;

/// Tasks of one step that run alike. Sizes and times are hints.
struct step_spec
{
    task_count tasks{1};
    resources each;
    milliseconds estimate{};
    std::vector<step_index> depends_on; ///< steps that must have finished
    image_name image;
    worker_label requires_label;   ///< empty: any worker
    rack_id data_rack;             ///< empty: the data is everywhere
    task_count max_per_worker;     ///< 0: no limit
    task_count max_unavailable;    ///< at once, by decisions of the scheduler
    milliseconds latency_target{}; ///< of a task that serves users; 0: none
    bool checkpoints{false};
    bool gang{false};     ///< the tasks work only while all of them are there
    bool one_rack{false}; ///< slower when spread over racks
    bool allow_duplicates{
        false};            ///< a task may run twice; the first end counts
    bool permanent{false}; ///< runs until cancelled and is always restarted
    bool scavenges{false}; ///< uses processors that other tasks leave idle

    auto operator==(step_spec const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("tasks", &step_spec::tasks),
                          field("each", &step_spec::each),
                          field("estimate", &step_spec::estimate),
                          field("after", &step_spec::depends_on),
                          field("image", &step_spec::image),
                          field("requires_label", &step_spec::requires_label),
                          field("data_rack", &step_spec::data_rack),
                          field("most_per_worker", &step_spec::max_per_worker),
                          field("may_be_absent", &step_spec::max_unavailable),
                          field("latency_target", &step_spec::latency_target),
                          field("checkpoints", &step_spec::checkpoints),
                          field("gang", &step_spec::gang),
                          field("one_rack", &step_spec::one_rack),
                          field("copies", &step_spec::allow_duplicates),
                          field("permanent", &step_spec::permanent),
                          field("scavenges", &step_spec::scavenges));
    }
};

/// Runs the steps several times, each at its own time.
struct repetition
{
    occurrence_index times; ///< 0: once, at once
    milliseconds first{};   ///< since 1970
    milliseconds interval{};

    auto operator==(repetition const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("times", &repetition::times),
                          field("first", &repetition::first),
                          field("interval", &repetition::interval));
    }
};

/// What a caller submits to a queue.
struct workflow_spec
{
    workflow_id id;      ///< chosen by the caller; a resend names the same one
    std::string payload; ///< handed to each task as it is
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

/// Checks a workflow that came from outside.
[[nodiscard]] auto check(workflow_spec const& it) -> result<void>;

/// Terms under which a client account's workflows run.
struct queue_contract
{
    queue_name name;
    host_name host;
    queue_path prefix; ///< of the requests that belong to the queue
    pool_name pool;    ///< workers that run its tasks
    queue_priority priority;
    std::uint32_t max_failures{1}; ///< failed runs after which a task is lost
    permille stretch{1000};        ///< allowed run time, of the longest chain
    milliseconds target{};         ///< allowed besides
    milliseconds timeout{};        ///< of one request

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

/// A set of workers that run the same queues.
struct pool_contract
{
    pool_name name;
    bool guarded{false}; ///< its workers reject what exceeds their capacity
    bool standby{false}; ///< its workers are switched off

    auto operator==(pool_contract const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("name", &pool_contract::name),
                          field("guarded", &pool_contract::guarded),
                          field("standby", &pool_contract::standby));
    }
};

/// All queues and pools at one version. A higher version replaces the whole.
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

/// Checks a set that came from outside: known pools, one queue for each host
/// and prefix, a timeout for each queue.
[[nodiscard]] auto check(contract_set const& it) -> result<void>;

/// Names one task of one occurrence of a workflow.
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

/// One run of a task.
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

/// One life of a worker.
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

/// How a run ended. Only `failed` counts towards max_failures.
enum class run_end : std::uint8_t
{
    finished,
    failed,
    stopped,
    lapsed,      ///< its lease ended on the worker
    broken,      ///< another member of its gang ended
    alone,       ///< the other members of its gang did not come
    lost,        ///< its worker is gone
    not_started, ///< the worker rejected it; nothing ran
};

template <>
inline constexpr auto last_enumerator<run_end> = run_end::not_started;

/// State of a workflow as shown to callers.
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
