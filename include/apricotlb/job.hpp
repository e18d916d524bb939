/// Jobs and their tasks.
#ifndef APRICOTLB_JOB_HPP
#define APRICOTLB_JOB_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace apricotlb
{

/// Class of a job, which decides how its tasks run.
enum class job_class : std::uint8_t
{
    batch,   ///< runs until it finishes
    watch,   ///< batch work that runs until it is cancelled
    service, ///< latency-critical; runs until it is cancelled
};

template <>
inline constexpr auto last_enumerator<job_class> = job_class::service;

/// Identifies a task of a job.
struct task_id
{
    job_id job;
    task_index index;

    auto operator<=>(task_id const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("job", &task_id::job),
                          field("index", &task_id::index));
    }
};

/// Identifies an attempt to run a task. A later attempt fences earlier ones.
struct attempt_id
{
    task_id task;
    attempt_number number;

    auto operator<=>(attempt_id const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("task", &attempt_id::task),
                          field("number", &attempt_id::number));
    }
};

/// A job as submitted by a customer. Declared sizes and run times are hints.
struct job_spec
{
    job_id id; ///< unique for the customer; a resend has the same id
    customer_id customer;
    job_class kind{job_class::batch};
    work_kind work; ///< groups tasks of similar behaviour
    task_count tasks{1};
    resources each; ///< declared size of one task
    seconds declared_run_time{};
    std::string payload; ///< passed to the worker unchanged

    auto operator==(job_spec const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(
            field("id", &job_spec::id), field("customer", &job_spec::customer),
            field("class", &job_spec::kind), field("work", &job_spec::work),
            field("tasks", &job_spec::tasks), field("each", &job_spec::each),
            field("declared_run_time", &job_spec::declared_run_time),
            field("payload", &job_spec::payload));
    }

    class builder;
};

/// Builds a job and checks its limits.
class job_spec::builder
{
public:
    auto id(job_id it) -> builder&;
    auto customer(customer_id it) -> builder&;
    auto kind(job_class it) -> builder&;
    auto work(work_kind it) -> builder&;
    auto tasks(task_count it) -> builder&;
    auto each(resources const& it) -> builder&;
    auto declared_run_time(seconds it) -> builder&;
    auto payload(std::string it) -> builder&;

    [[nodiscard]] auto build() const -> result<job_spec>;

private:
    job_spec built_;
};

/// Checks a decoded job by the builder's rules.
[[nodiscard]] auto check(job_spec const& it) -> result<void>;

/// How an attempt ended.
enum class attempt_end : std::uint8_t
{
    finished,
    failed,
    checkpointed, ///< evicted; the next attempt resumes from the checkpoint
    stopped,      ///< cancelled, or evicted without a checkpoint
    lost,         ///< its lease ended without a report of its end
    not_started,  ///< the worker refused the start and ran nothing
};

template <>
inline constexpr auto last_enumerator<attempt_end> = attempt_end::not_started;

/// State of a task as recorded in the log.
enum class task_state : std::uint8_t
{
    waiting,
    placed,
    finished,
    failed,
    cancelled,
};

template <>
inline constexpr auto last_enumerator<task_state> = task_state::cancelled;

/// A worker as registered by the platform.
struct worker_info
{
    worker_id id;
    url address;
    region_id region;
    zone_id zone;
    rack_id rack;
    resources capacity;
    slot_count slots;
    connection_count connections;

    auto operator==(worker_info const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("id", &worker_info::id),
                          field("address", &worker_info::address),
                          field("region", &worker_info::region),
                          field("zone", &worker_info::zone),
                          field("rack", &worker_info::rack),
                          field("capacity", &worker_info::capacity),
                          field("slots", &worker_info::slots),
                          field("connections", &worker_info::connections));
    }
};

/// Checks a decoded worker.
[[nodiscard]] auto check(worker_info const& it) -> result<void>;

/// A backend server as it announces itself.
struct backend_info
{
    backend_id id;
    customer_id customer;
    service_name service;
    url address;
    zone_id zone;
    std::optional<worker_id> worker; ///< on which it runs, if on one
    slot_count slots;
    connection_count connections;

    auto operator==(backend_info const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("id", &backend_info::id),
                          field("customer", &backend_info::customer),
                          field("service", &backend_info::service),
                          field("address", &backend_info::address),
                          field("zone", &backend_info::zone),
                          field("worker", &backend_info::worker),
                          field("slots", &backend_info::slots),
                          field("connections", &backend_info::connections));
    }
};

/// Checks a decoded backend server.
[[nodiscard]] auto check(backend_info const& it) -> result<void>;

} // namespace apricotlb

#endif
