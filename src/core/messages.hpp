/// Messages between entry and control processes.
#ifndef APRICOTLB_CORE_MESSAGES_HPP
#define APRICOTLB_CORE_MESSAGES_HPP

#include "core/fleet/contact_messages.hpp"
#include "core/fleet/worker_messages.hpp"
#include "core/state/commands.hpp"

#include <apricotlb/contract.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Slots and connections of one backend server that one entry may use at once.
struct share
{
    backend_id backend;
    slot_count slots;
    connection_count connections;

    auto operator==(share const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("backend", &share::backend),
                          field("slots", &share::slots),
                          field("connections", &share::connections));
    }
};

/// Number of requests of one service that an entry forwards or queues.
struct service_demand
{
    customer_id customer;
    service_name service;
    request_count running;
    request_count queued;

    static constexpr auto fields()
    {
        return field_list(field("customer", &service_demand::customer),
                          field("service", &service_demand::service),
                          field("running", &service_demand::running),
                          field("queued", &service_demand::queued));
    }
};

/// Latency of urgent requests to one backend server, measured by one entry.
struct latency_report
{
    backend_id backend;
    milliseconds p50{};
    milliseconds p99{};
    request_count requests; ///< number of samples
    milliseconds age{};     ///< mean age of the samples

    static constexpr auto fields()
    {
        return field_list(field("backend", &latency_report::backend),
                          field("p50", &latency_report::p50),
                          field("p99", &latency_report::p99),
                          field("requests", &latency_report::requests),
                          field("age", &latency_report::age));
    }
};

/// Renews an entry's lease and requests all changes of contracts, backend
/// servers and shares.
struct entry_heartbeat
{
    entry_session session;
    /// The answer repeats it, so that the entry can look up the send time.
    sequence number;
    zone_id zone;
    revision contracts;      ///< newest contract revision in force on the entry
    revision backends;       ///< newest backend table revision received
    term backends_of;        ///< term of the leader that assigned it
    std::vector<share> held; ///< all shares of the entry, in use or not
    std::vector<service_demand> demand;
    std::vector<latency_report> latency;
    bool draining{false};

    /// Number of the newest answer applied, and the term of the leader that
    /// sent it. An answer changes the shares and their lease only if its
    /// heartbeat contained the term of that same leader here.
    sequence applied;
    term applied_term;

    static constexpr auto fields()
    {
        return field_list(field("session", &entry_heartbeat::session),
                          field("number", &entry_heartbeat::number),
                          field("zone", &entry_heartbeat::zone),
                          field("contracts", &entry_heartbeat::contracts),
                          field("backends", &entry_heartbeat::backends),
                          field("backends_of", &entry_heartbeat::backends_of),
                          field("held", &entry_heartbeat::held),
                          field("demand", &entry_heartbeat::demand),
                          field("latency", &entry_heartbeat::latency),
                          field("draining", &entry_heartbeat::draining),
                          field("applied", &entry_heartbeat::applied),
                          field("applied_of", &entry_heartbeat::applied_term));
    }
};

/// A change of a contract, sent to entries. A removed contract keeps a
/// tombstone.
struct contract_change
{
    contract value;
    revision at; ///< contract revision of the change
    bool removed{false};

    static constexpr auto fields()
    {
        return field_list(field("value", &contract_change::value),
                          field("at", &contract_change::at),
                          field("removed", &contract_change::removed));
    }
};

/// A change of a backend server, sent to entries.
struct backend_change
{
    backend_info info;
    bool removed{false};

    static constexpr auto fields()
    {
        return field_list(field("info", &backend_change::info),
                          field("gone", &backend_change::removed));
    }
};

/// The leader's answer to a heartbeat. Also sent without a heartbeat when a
/// contract changes.
struct entry_heartbeat_answer
{
    /// Number of the heartbeat; none if sent without one.
    std::optional<sequence> number;
    term leader_term;
    incarnation session; ///< incarnation of the entry that is addressed

    /// Contracts changed after `contracts_from`, complete up to
    /// `contracts_to`.
    revision contracts_from;
    revision contracts_to;
    std::vector<contract_change> contracts;

    /// Backend servers changed after `backends_from`, or the complete table if
    /// `backends_from` is 0. While a new leader has not yet received the
    /// announcements of all servers, `backends_complete` is false and entries
    /// keep servers that are not listed.
    revision backends_from;
    revision backends_to;
    bool backends_complete{false};
    std::vector<backend_change> backends;

    /// All shares of the entry from now on. A backend server that is not listed
    /// has none.
    std::vector<share> shares;

    static constexpr auto fields()
    {
        return field_list(
            field("number", &entry_heartbeat_answer::number),
            field("leader_term", &entry_heartbeat_answer::leader_term),
            field("session", &entry_heartbeat_answer::session),
            field("contracts_from", &entry_heartbeat_answer::contracts_from),
            field("contracts_to", &entry_heartbeat_answer::contracts_to),
            field("contracts", &entry_heartbeat_answer::contracts),
            field("backends_from", &entry_heartbeat_answer::backends_from),
            field("backends_to", &entry_heartbeat_answer::backends_to),
            field("backends_complete",
                  &entry_heartbeat_answer::backends_complete),
            field("backends", &entry_heartbeat_answer::backends),
            field("shares", &entry_heartbeat_answer::shares));
    }
};

/// The announcement of a backend server, relayed by an entry.
struct backend_announcement
{
    backend_info info;
    bool leaving{false};

    static constexpr auto fields()
    {
        return field_list(field("info", &backend_announcement::info),
                          field("leaving", &backend_announcement::leaving));
    }
};

/// Measurements of one running attempt, reported by its worker.
struct attempt_report
{
    customer_id customer;
    attempt_id attempt;
    resources used;          ///< measured, not declared
    milliseconds age{};      ///< time since the measurement
    permille throttled_to{}; ///< limit as share of its cores; 1000: none

    static constexpr auto fields()
    {
        return field_list(field("customer", &attempt_report::customer),
                          field("attempt", &attempt_report::attempt),
                          field("used", &attempt_report::used),
                          field("age", &attempt_report::age),
                          field("throttled_to", &attempt_report::throttled_to));
    }
};

/// An attempt that ended on its worker. Reported until the answer acknowledges
/// it.
struct ended_report
{
    customer_id customer;
    attempt_id attempt;
    attempt_end how{attempt_end::finished};
    std::optional<checkpoint_id> checkpoint;

    static constexpr auto fields()
    {
        return field_list(field("customer", &ended_report::customer),
                          field("attempt", &ended_report::attempt),
                          field("how", &ended_report::how),
                          field("checkpoint", &ended_report::checkpoint));
    }
};

/// A report of a worker. The answer renews the leases of its running attempts.
struct worker_report
{
    worker_id worker;
    std::vector<attempt_report> running;
    std::vector<ended_report> ended;

    /// Increases with every report, also across restarts of the worker. A start
    /// command contains the number of the report from whose time its lease
    /// counts.
    sequence number;

    static constexpr auto fields()
    {
        return field_list(field("worker", &worker_report::worker),
                          field("running", &worker_report::running),
                          field("ended", &worker_report::ended),
                          field("number", &worker_report::number));
    }
};

/// Answer to a worker's report.
struct worker_report_answer
{
    /// Length of the renewed leases, from the time the report was sent.
    milliseconds lease{};
    std::vector<customer_attempt> renewed;
    std::vector<customer_attempt> stop; ///< unknown or stale; must be stopped
    /// Ends that are committed and need not be reported again.
    std::vector<customer_attempt> recorded;

    static constexpr auto fields()
    {
        return field_list(field("lease", &worker_report_answer::lease),
                          field("renewed", &worker_report_answer::renewed),
                          field("stop", &worker_report_answer::stop),
                          field("recorded", &worker_report_answer::recorded));
    }
};

/// The views of the leader's state that can be read.
enum class query_kind : std::uint8_t
{
    status,
    contracts,
    workers,
    backends,
    jobs,
    job,
    explain_task,
    members,
    metrics,
    contract_set, ///< document of the contract set in force
    data_centres,
};

template <>
inline constexpr auto last_enumerator<query_kind> = query_kind::data_centres;

/// A read of the leader's state; the answer is text in JSON.
struct query
{
    query_kind kind{query_kind::status};
    customer_id customer;
    job_id job;
    std::optional<task_index> task;

    static constexpr auto fields()
    {
        return field_list(
            field("kind", &query::kind), field("customer", &query::customer),
            field("job", &query::job), field("task", &query::task));
    }
};

enum class member_action : std::uint8_t
{
    add, ///< joins as a learner, becomes a voter once it has caught up
    remove,
};

template <>
inline constexpr auto last_enumerator<member_action> = member_action::remove;

/// Adds or removes a member of the control group.
struct change_member
{
    member_action action{member_action::add};
    node_id id;
    url address; ///< for add only

    static constexpr auto fields()
    {
        return field_list(field("action", &change_member::action),
                          field("id", &change_member::id),
                          field("address", &change_member::address));
    }
};

/// Waits until the contract change with a revision is in force on every live
/// entry.
struct await_in_force
{
    revision at;

    static constexpr auto fields()
    {
        return field_list(field("at", &await_in_force::at));
    }
};

/// The operations on the workflows of a queue.
enum class workflow_action : std::uint8_t
{
    submit,
    cancel,
    state,
};

template <>
inline constexpr auto last_enumerator<workflow_action> = workflow_action::state;

/// A request to a queue. The leader finds the queue by host and path prefix;
/// the rest of the path is the id of the workflow. If it is empty, the request
/// reads the state of the queue.
struct workflow_call
{
    workflow_action action{workflow_action::state};
    host_name host;
    std::string path;
    std::optional<workflow_spec> spec; ///< for submit only

    static constexpr auto fields()
    {
        return field_list(field("action", &workflow_call::action),
                          field("host", &workflow_call::host),
                          field("path", &workflow_call::path),
                          field("spec", &workflow_call::spec));
    }
};

struct workflow_answer
{
    workflow_state state{workflow_state::queued};
    bool is_count{false}; ///< the answer is `waiting`, not `state`
    task_count waiting;   ///< number of workflows that wait in the queue

    static constexpr auto fields()
    {
        return field_list(field("state", &workflow_answer::state),
                          field("counted", &workflow_answer::is_count),
                          field("waiting", &workflow_answer::waiting));
    }
};

/// Checks whether the receiver is the leader: only the leader answers.
struct leader_ping
{
    /// Zone of a process that passes orders on to workers; none for others.
    std::optional<zone_id> relays_in;
    /// Where such a process takes announcements of the workers of its zone.
    std::optional<intake_address> announcements_at;

    static constexpr auto fields()
    {
        return field_list(
            field("relays_in", &leader_ping::relays_in),
            field("announcements_at", &leader_ping::announcements_at));
    }
};

/// Processes of earlier versions take no announcements.
template <>
inline constexpr std::size_t optional_fields<leader_ping> = 1;

/// A request to the leader. A command is replicated through the log before it
/// is answered.
struct call
{
    call_id id;
    std::variant<command, backend_announcement, worker_report, query,
                 change_member, await_in_force, worker_announcement,
                 workflow_call, leader_ping, contact_batch>
        body;

    static constexpr auto fields()
    {
        return field_list(field("id", &call::id), field("body", &call::body));
    }
};

/// The answer to await_in_force: the change is in force on every live entry.
struct in_force
{
    revision at;

    static constexpr auto fields()
    {
        return field_list(field("at", &in_force::at));
    }
};

/// The answer to a query.
struct query_answer
{
    std::string json;

    static constexpr auto fields()
    {
        return field_list(field("json", &query_answer::json));
    }
};

/// A call that was not applied, or whose outcome is unknown; kind says which.
struct call_failure
{
    error_kind kind{error_kind::internal};
    std::string detail;
    std::optional<node_id> leader; ///< to which the call may be sent next
    /// When the call may be sent again, if that is known.
    std::optional<seconds> retry_after{};

    static constexpr auto fields()
    {
        return field_list(field("kind", &call_failure::kind),
                          field("detail", &call_failure::detail),
                          field("leader", &call_failure::leader),
                          field("retry_after", &call_failure::retry_after));
    }
};

template <>
inline constexpr std::size_t optional_fields<call_failure> = 1;

struct call_answer
{
    call_id id;
    std::variant<call_failure, apply_result, worker_report_answer, query_answer,
                 in_force, workflow_answer, contact_answer>
        body;

    static constexpr auto fields()
    {
        return field_list(field("id", &call_answer::id),
                          field("body", &call_answer::body));
    }
};

/// Keeps a connection alive when no other message is sent.
struct keepalive
{
    static constexpr auto fields() { return field_list(); }
};

} // namespace apricotlb

#endif
