/// Views of the leader's state for operators and customers, as plain structs
/// for a codec.
#ifndef APRICOTLB_APP_CONTROL_VIEWS_HPP
#define APRICOTLB_APP_CONTROL_VIEWS_HPP

#include "app/replica.hpp"
#include "core/fleet/run_scheduler.hpp"
#include "core/leader/leader_state.hpp"
#include "core/state/state_machine.hpp"

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <optional>
#include <string>
#include <vector>

namespace apricotlb
{

/// One entry process according to its lease on the leader.
struct entry_row_view
{
    node_id entry;
    revision contracts;
    bool live{false};
    bool draining{false};

    static constexpr auto fields()
    {
        return field_list(field("entry", &entry_row_view::entry),
                          field("contracts", &entry_row_view::contracts),
                          field("live", &entry_row_view::live),
                          field("draining", &entry_row_view::draining));
    }
};

/// Summary of the deployment.
struct status_view
{
    node_id leader;
    term in_term;
    log_index commit_index;
    log_index applied;
    byte_count disk;
    revision contracts; ///< of the newest change
    bool in_force{false};
    task_count workers;
    task_count backends;
    task_count jobs_waiting;
    task_count keys;
    task_count placements;
    task_count evictions;
    task_count lost_leases;
    task_count quarantines;
    std::vector<entry_row_view> entries;

    static constexpr auto fields()
    {
        return field_list(field("leader", &status_view::leader),
                          field("term", &status_view::in_term),
                          field("commit", &status_view::commit_index),
                          field("applied", &status_view::applied),
                          field("disk_bytes", &status_view::disk),
                          field("contracts_revision", &status_view::contracts),
                          field("contracts_in_force", &status_view::in_force),
                          field("workers", &status_view::workers),
                          field("backends", &status_view::backends),
                          field("jobs_waiting", &status_view::jobs_waiting),
                          field("keys", &status_view::keys),
                          field("placements", &status_view::placements),
                          field("evictions", &status_view::evictions),
                          field("lost_leases", &status_view::lost_leases),
                          field("quarantines", &status_view::quarantines),
                          field("entries", &status_view::entries));
    }
};

/// One worker with the resources committed on it.
struct worker_view
{
    worker_id id;
    zone_id zone;
    rack_id rack;
    resources capacity;
    resources committed;
    task_count attempts;

    static constexpr auto fields()
    {
        return field_list(field("id", &worker_view::id),
                          field("zone", &worker_view::zone),
                          field("rack", &worker_view::rack),
                          field("capacity", &worker_view::capacity),
                          field("committed", &worker_view::committed),
                          field("attempts", &worker_view::attempts));
    }
};

/// One job with the number of its tasks in each state.
struct job_view
{
    job_id id;
    customer_id customer;
    std::string state;
    task_counts tasks;

    static constexpr auto fields()
    {
        return field_list(
            field("id", &job_view::id), field("customer", &job_view::customer),
            field("state", &job_view::state), field("tasks", &job_view::tasks));
    }
};

/// One member of the control group and its progress in the log.
struct member_view
{
    node_id id;
    url address;
    std::string role;
    log_index match;
    log_index lag;

    static constexpr auto fields()
    {
        return field_list(field("id", &member_view::id),
                          field("address", &member_view::address),
                          field("role", &member_view::role),
                          field("match", &member_view::match),
                          field("lag", &member_view::lag));
    }
};

/// The reasons why a task waits, why it runs on its worker, and why it was
/// moved.
struct explanation_view
{
    task_id task;
    std::string reason;
    std::string moved;
    explanation numbers;

    static constexpr auto fields()
    {
        return field_list(field("task", &explanation_view::task),
                          field("reason", &explanation_view::reason),
                          field("moved", &explanation_view::moved),
                          field("numbers", &explanation_view::numbers));
    }
};

/// One data centre that is evacuated or has workers.
struct data_centre_view
{
    zone_id name;
    bool evacuated{false};
    task_count workers;   ///< known to the leader
    task_count runs;      ///< that hold a reservation there
    task_count permanent; ///< of them, runs of permanent tasks

    static constexpr auto fields()
    {
        return field_list(field("name", &data_centre_view::name),
                          field("evacuated", &data_centre_view::evacuated),
                          field("workers", &data_centre_view::workers),
                          field("runs", &data_centre_view::runs),
                          field("permanent", &data_centre_view::permanent));
    }
};

[[nodiscard]] auto make_status(node_id const& self, replica_status const& log,
                               state_machine const& state, leader_state& leader,
                               time_point now) -> status_view;

/// Contracts of one customer, or of all customers for an empty id.
[[nodiscard]] auto make_contracts(state_machine const& state,
                                  customer_id const& customer)
    -> std::vector<contract>;

[[nodiscard]] auto make_workers(state_machine const& state)
    -> std::vector<worker_view>;

[[nodiscard]] auto make_backends(leader_state const& leader)
    -> std::vector<backend_info>;

/// Jobs of one customer, or of all customers for an empty id.
[[nodiscard]] auto make_jobs(state_machine const& state,
                             customer_id const& customer)
    -> std::vector<job_view>;

[[nodiscard]] auto make_job(job_record const& it) -> job_view;

/// By name. Evacuated data centres are listed without known workers too.
[[nodiscard]] auto
make_data_centres(state_machine const& state,
                  std::optional<run_scheduler> const& scheduler)
    -> std::vector<data_centre_view>;

[[nodiscard]] auto make_members(replica_status const& log)
    -> std::vector<member_view>;

} // namespace apricotlb

#endif
