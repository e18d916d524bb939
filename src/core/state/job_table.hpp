/// Jobs, their tasks and the attempts of each task.
#ifndef APRICOTLB_CORE_STATE_JOB_TABLE_HPP
#define APRICOTLB_CORE_STATE_JOB_TABLE_HPP

#include "core/state/commands.hpp"
#include "core/state/contract_registry.hpp"
#include "core/state/worker_registry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace apricotlb
{

/// Identifies a job; job ids are unique for their customer only.
struct job_key
{
    customer_id customer;
    job_id job;

    auto operator<=>(job_key const&) const = default;
};

/// A task that has been placed, or whose index is below that of such a task.
struct task_record
{
    task_state state{task_state::waiting};
    attempt_number attempt;    ///< the last one, 0 if none
    std::uint32_t failures{0}; ///< attempts that ended as failed
    std::optional<checkpoint_id> checkpoint;
    worker_id worker;    ///< of the last attempt
    resources committed; ///< while placed

    static constexpr auto fields()
    {
        return field_list(field("state", &task_record::state),
                          field("attempt", &task_record::attempt),
                          field("failures", &task_record::failures),
                          field("checkpoint", &task_record::checkpoint),
                          field("worker", &task_record::worker),
                          field("committed", &task_record::committed));
    }
};

/// Number of tasks of a job in each state.
struct task_counts
{
    task_count waiting;
    task_count placed;
    task_count finished;
    task_count failed;
    task_count cancelled;

    auto operator==(task_counts const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("waiting", &task_counts::waiting),
                          field("placed", &task_counts::placed),
                          field("finished", &task_counts::finished),
                          field("failed", &task_counts::failed),
                          field("cancelled", &task_counts::cancelled));
    }
};

/// State of a job; the last three are final.
enum class job_state : std::uint8_t
{
    active,
    cancelling, ///< cancelled, and tasks are still placed
    finished,
    failed,
    cancelled,
};

/// A job. Tasks beyond the end of `tasks` are waiting and have never been
/// placed, so that the cost of a new job does not depend on its number of
/// tasks. A waiting task of a cancelled job counts as cancelled, so that a
/// cancellation need not visit the tasks.
struct job_record
{
    job_spec spec;
    revision submitted;
    std::optional<revision> cancelled_at;
    task_counts counts;
    std::vector<task_record> tasks;

    static constexpr auto fields()
    {
        return field_list(field("spec", &job_record::spec),
                          field("submitted", &job_record::submitted),
                          field("cancelled_at", &job_record::cancelled_at),
                          field("counts", &job_record::counts),
                          field("tasks", &job_record::tasks));
    }

    [[nodiscard]] auto state() const -> job_state;

    /// Record of a task, with the cancellation of the job applied to its state;
    /// none if the job has no such task.
    [[nodiscard]] auto task(task_index index) const
        -> std::optional<task_record>;
};

struct jobs_snapshot
{
    std::vector<job_record> active; ///< ordered by customer and id
    std::vector<job_record> ended;  ///< in the order in which they ended

    static constexpr auto fields()
    {
        return field_list(field("active", &jobs_snapshot::active),
                          field("ended", &jobs_snapshot::ended));
    }
};

/// Placed batch work of a customer, which counts against its batch allowance.
struct batch_usage
{
    resources total;
    task_count tasks;
};

/// Applies commands on jobs. The oldest ended jobs are removed while all ended
/// jobs exceed config::max_ended_tasks or max_ended_payload_bytes. The id of a
/// removed job may be used again.
class job_table
{
public:
    job_table() = default;
    job_table(jobs_snapshot from, worker_registry& workers);
    job_table(job_table const&) = delete;
    auto operator=(job_table const&) -> job_table& = delete;
    job_table(job_table&&) = default;
    auto operator=(job_table&&) -> job_table& = default;
    ~job_table() = default;

    auto apply(submit_job const& it, revision at,
               contract_registry const& contracts,
               worker_registry const& workers) -> apply_result;

    /// Waiting tasks end immediately, placed ones with their attempts.
    /// Cancelling a cancelled or ended job succeeds without a change.
    auto apply(cancel_job const& it, revision at) -> apply_result;

    auto apply(place_task const& placement, revision at,
               contract_registry const& contracts, worker_registry& workers)
        -> apply_result;

    /// A task of a cancelled job ends as finished if its attempt finished, and
    /// as cancelled otherwise.
    auto apply(end_attempt const& ended, revision at, worker_registry& workers)
        -> apply_result;

    [[nodiscard]] auto find(customer_id const& customer,
                            job_id const& job) const -> job_record const*;

    /// Calls visit(job_record) for each job in the order of customer and id,
    /// including ended jobs that are still kept.
    template <class Visit>
    auto visit(Visit&& visit) const -> void
    {
        for (auto const& [key, it] : jobs_)
        {
            visit(it.record);
        }
    }

    /// Jobs with waiting tasks in the order of their submission.
    [[nodiscard]] auto waiting_jobs() const
        -> std::map<revision, job_key> const&
    {
        return waiting_jobs_;
    }

    /// Calls visit(task_index) for each waiting task of a job, beginning with
    /// those below the end of job_record::tasks, until visit returns false.
    template <class Visit>
    auto visit_waiting(customer_id const& customer, job_id const& job,
                       Visit&& visit) const -> void;

    /// Placed tasks of a job in the order of their indices.
    [[nodiscard]] auto placed(customer_id const& customer,
                              job_id const& job) const
        -> std::vector<task_index>;

    /// Placed batch and watch tasks of a customer.
    [[nodiscard]] auto usage(customer_id const& customer) const -> batch_usage;

    [[nodiscard]] auto snapshot() const -> jobs_snapshot;

private:
    struct job_entry
    {
        job_record record;
        std::set<task_index> requeued; // waiting and below tasks.size()
        std::set<task_index> placed;
    };

    auto restore(job_record record, worker_registry& workers) -> job_entry&;
    auto count_usage(job_record const& job, resources const& amount, int sign)
        -> void;
    auto retain_if_ended(job_key const& key, job_entry& it) -> void;
    auto retain_ended(job_key const& key, job_entry const& it) -> void;

    std::map<job_key, job_entry> jobs_;
    std::map<revision, job_key> waiting_jobs_;
    std::deque<job_key> ended_;
    std::size_t ended_tasks_{0};
    std::size_t ended_payload_{0};
    std::map<customer_id, batch_usage> usage_;
};

template <class Visit>
auto job_table::visit_waiting(customer_id const& customer, job_id const& id,
                              Visit&& visit) const -> void
{
    auto const found = jobs_.find({customer, id});
    if (found == jobs_.end() || found->second.record.cancelled_at)
    {
        return;
    }
    for (auto const index : found->second.requeued)
    {
        if (!visit(index))
        {
            return;
        }
    }
    auto const& record = found->second.record;
    auto const end = static_cast<std::uint32_t>(record.spec.tasks.value());
    for (auto n = static_cast<std::uint32_t>(record.tasks.size()); n < end; ++n)
    {
        if (!visit(task_index{n}))
        {
            return;
        }
    }
}

} // namespace apricotlb

#endif
