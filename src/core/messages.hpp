/// Messages between entry and control processes.
#ifndef APRICOTLB_CORE_MESSAGES_HPP
#define APRICOTLB_CORE_MESSAGES_HPP

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

/// Slots and connections of one backend server held by one entry.
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

/// Requests of one service that an entry runs or queues.
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

/// Urgent latency of one backend server as an entry saw it.
struct latency_report
{
    backend_id backend;
    milliseconds p50{};
    milliseconds p99{};
    request_count requests;
    milliseconds age{}; ///< how long ago the middle of the window was

    static constexpr auto fields()
    {
        return field_list(field("backend", &latency_report::backend),
                          field("p50", &latency_report::p50),
                          field("p99", &latency_report::p99),
                          field("requests", &latency_report::requests),
                          field("age", &latency_report::age));
    }
};

/// Renews an entry's lease and asks for what changed.
struct entry_heartbeat
{
    entry_session session;
    sequence number; ///< echoed, so that the entry knows when it was sent
    zone_id zone;
    revision contracts;      ///< newest contract revision in force on the entry
    revision backends;       ///< newest backend table revision held
    term backends_of;        ///< the leader that numbered it
    std::vector<share> held; ///< shares in use or unused, all that it holds
    std::vector<service_demand> demand;
    std::vector<latency_report> latency;
    bool draining{false};

    /// The newest answer received in order, and its leader. An answer changes
    /// the shares and their lease only if its heartbeat named its leader here.
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

/// A contract as followed by entries; removed ones keep a tombstone.
struct contract_change
{
    contract value;
    revision at;
    bool removed{false};

    static constexpr auto fields()
    {
        return field_list(field("value", &contract_change::value),
                          field("at", &contract_change::at),
                          field("removed", &contract_change::removed));
    }
};

/// A backend server as followed by entries.
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

/// The leader's answer to a heartbeat, also sent unasked when a contract
/// changes.
struct entry_heartbeat_answer
{
    std::optional<sequence>
        number; ///< the heartbeat answered; none when unasked
    term leader_term;
    incarnation session; ///< the run of the entry that this is meant for

    /// Contracts changed after `contracts_from`, complete up to
    /// `contracts_to`.
    revision contracts_from;
    revision contracts_to;
    std::vector<contract_change> contracts;

    /// Backend servers changed after `backends_from`; the whole table if
    /// that is 0. An incomplete table of a new leader removes nothing.
    revision backends_from;
    revision backends_to;
    bool backends_complete{false};
    std::vector<backend_change> backends;

    /// All that the entry may hold from now on; unlisted means none.
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

/// Relays the announcement of a backend server.
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

/// What is known of one attempt on its worker.
struct attempt_report
{
    customer_id customer;
    attempt_id attempt;
    resources used;          ///< measured, not declared
    milliseconds age{};      ///< how long ago it was measured
    permille throttled_to{}; ///< 1000 when not throttled

    static constexpr auto fields()
    {
        return field_list(field("customer", &attempt_report::customer),
                          field("attempt", &attempt_report::attempt),
                          field("used", &attempt_report::used),
                          field("age", &attempt_report::age),
                          field("throttled_to", &attempt_report::throttled_to));
    }
};

/// An attempt that ended on its worker, reported until acknowledged.
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

/// A worker's report; its answer renews the leases of what it runs.
struct worker_report
{
    worker_id worker;
    std::vector<attempt_report> running;
    std::vector<ended_report> ended;

    /// Grows with every report, also over restarts of the worker. A start
    /// names the report that its lease counts from.
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
    milliseconds lease{};                  ///< from the moment of the report
    std::vector<customer_attempt> renewed; ///< their leases run on
    std::vector<customer_attempt> stop; ///< unknown or out of date; must stop
    std::vector<customer_attempt> recorded; ///< ends on record; report no more

    static constexpr auto fields()
    {
        return field_list(field("lease", &worker_report_answer::lease),
                          field("renewed", &worker_report_answer::renewed),
                          field("stop", &worker_report_answer::stop),
                          field("recorded", &worker_report_answer::recorded));
    }
};

/// What a reader can ask the leader for.
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
    contract_set, ///< the document of the set in force
};

template <>
inline constexpr auto last_enumerator<query_kind> = query_kind::contract_set;

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
    add, ///< joins as a learner, votes once caught up
    remove,
};

template <>
inline constexpr auto last_enumerator<member_action> = member_action::remove;

/// Changes the voters and learners of the control group.
struct change_member
{
    member_action action{member_action::add};
    node_id id;
    url address;

    static constexpr auto fields()
    {
        return field_list(field("action", &change_member::action),
                          field("id", &change_member::id),
                          field("address", &change_member::address));
    }
};

/// Waits until the change of a revision is in force on every live entry.
struct await_in_force
{
    revision at;

    static constexpr auto fields()
    {
        return field_list(field("at", &await_in_force::at));
    }
};

/// What a caller wants of a queue.
enum class workflow_action : std::uint8_t
{
    submit,
    cancel,
    state,
};

template <>
inline constexpr auto last_enumerator<workflow_action> = workflow_action::state;

/// A request to a queue, which the leader finds by host and path. The rest of
/// the path names the workflow; without one, the state is that of the queue.
struct workflow_call
{
    workflow_action action{workflow_action::state};
    host_name host;
    std::string path;
    std::optional<workflow_spec> spec; ///< to submit

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
    bool is_count{false}; ///< the answer is the number of waiting workflows
    task_count waiting;

    static constexpr auto fields()
    {
        return field_list(field("state", &workflow_answer::state),
                          field("counted", &workflow_answer::is_count),
                          field("waiting", &workflow_answer::waiting));
    }
};

/// Answered by the leader only.
struct leader_ping
{
    static constexpr auto fields() { return field_list(); }
};

/// Asks the leader to carry out one thing. A command goes through the log.
struct call
{
    call_id id;
    std::variant<command, backend_announcement, worker_report, query,
                 change_member, await_in_force, worker_announcement,
                 workflow_call, leader_ping>
        body;

    static constexpr auto fields()
    {
        return field_list(field("id", &call::id), field("body", &call::body));
    }
};

/// Says that a contract is in force on every live entry.
struct in_force
{
    revision at;

    static constexpr auto fields()
    {
        return field_list(field("at", &in_force::at));
    }
};

/// Text of a read, in JSON.
struct query_answer
{
    std::string json;

    static constexpr auto fields()
    {
        return field_list(field("json", &query_answer::json));
    }
};

/// A call that failed without being applied, or with an unknown fate.
struct call_failure
{
    error_kind kind{error_kind::internal};
    std::string detail;
    std::optional<node_id> leader; ///< where to try next

    static constexpr auto fields()
    {
        return field_list(field("kind", &call_failure::kind),
                          field("detail", &call_failure::detail),
                          field("leader", &call_failure::leader));
    }
};

struct call_answer
{
    call_id id;
    std::variant<call_failure, apply_result, worker_report_answer, query_answer,
                 in_force, workflow_answer>
        body;

    static constexpr auto fields()
    {
        return field_list(field("id", &call_answer::id),
                          field("body", &call_answer::body));
    }
};

/// Shows that the connection is alive when nothing else is sent.
struct keepalive
{
    static constexpr auto fields() { return field_list(); }
};

} // namespace apricotlb

#endif
