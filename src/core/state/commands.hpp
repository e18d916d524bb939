/// Commands of the replicated log and the results of applying them.
#ifndef APRICOTLB_CORE_STATE_COMMANDS_HPP
#define APRICOTLB_CORE_STATE_COMMANDS_HPP

#include <apricotlb/contract.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Sets a contract if its version is the successor of the recorded one.
struct apply_contract
{
    contract value;
    change_id change; ///< a resend with this id gets the first answer
    operator_name changed_by;

    static constexpr auto fields()
    {
        return field_list(field("value", &apply_contract::value),
                          field("change", &apply_contract::change),
                          field("by", &apply_contract::changed_by));
    }
};

/// Removes a contract if the version is the successor of the recorded one.
struct remove_contract
{
    customer_id customer;
    contract_version version;
    change_id change;
    operator_name changed_by;

    static constexpr auto fields()
    {
        return field_list(field("customer", &remove_contract::customer),
                          field("version", &remove_contract::version),
                          field("change", &remove_contract::change),
                          field("by", &remove_contract::changed_by));
    }
};

struct submit_job
{
    job_spec spec;

    static constexpr auto fields()
    {
        return field_list(field("spec", &submit_job::spec));
    }
};

struct cancel_job
{
    customer_id customer;
    job_id job;

    static constexpr auto fields()
    {
        return field_list(field("customer", &cancel_job::customer),
                          field("job", &cancel_job::job));
    }
};

/// An attempt and the customer of its job; job ids are unique for their
/// customer only.
struct customer_attempt
{
    customer_id customer;
    attempt_id attempt;

    auto operator<=>(customer_attempt const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("customer", &customer_attempt::customer),
                          field("attempt", &customer_attempt::attempt));
    }
};

/// Starts the next attempt of a waiting task on a worker.
struct place_task
{
    customer_id customer;
    attempt_id attempt;
    worker_id worker;
    resources committed; ///< reserved on the worker

    static constexpr auto fields()
    {
        return field_list(field("customer", &place_task::customer),
                          field("attempt", &place_task::attempt),
                          field("worker", &place_task::worker),
                          field("committed", &place_task::committed));
    }
};

/// Records the confirmed end of an attempt.
struct end_attempt
{
    customer_id customer;
    attempt_id attempt;
    attempt_end how{attempt_end::finished};
    std::optional<checkpoint_id> checkpoint;

    /// The task fails permanently instead of waiting for another attempt.
    bool give_up{false};

    static constexpr auto fields()
    {
        return field_list(field("customer", &end_attempt::customer),
                          field("attempt", &end_attempt::attempt),
                          field("how", &end_attempt::how),
                          field("checkpoint", &end_attempt::checkpoint),
                          field("give_up", &end_attempt::give_up));
    }
};

/// Identifies an idempotency key of a customer.
struct key_name
{
    customer_id customer;
    idempotency_key key;

    auto operator<=>(key_name const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("customer", &key_name::customer),
                          field("key", &key_name::key));
    }
};

/// An entry process between its start and its end.
struct entry_session
{
    node_id entry;
    incarnation run;

    auto operator<=>(entry_session const&) const = default;

    static constexpr auto fields()
    {
        return field_list(field("entry", &entry_session::entry),
                          field("run", &entry_session::run));
    }
};

/// Records a key before the first byte of its request is sent to a backend
/// server.
struct begin_key
{
    key_name name;
    request_digest digest;
    entry_session session;
    request_id request; ///< distinguishes a resend from another request
    wall_time at;

    static constexpr auto fields()
    {
        return field_list(field("name", &begin_key::name),
                          field("digest", &begin_key::digest),
                          field("session", &begin_key::session),
                          field("request", &begin_key::request),
                          field("at", &begin_key::at));
    }
};

/// A header of the answer that is recorded for a key.
struct header
{
    std::string name;
    std::string value;

    auto operator==(header const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("name", &header::name),
                          field("value", &header::value));
    }
};

/// The recorded answer to a request with an idempotency key.
struct key_outcome
{
    http_status status{};
    std::vector<header> headers;
    std::string body;
    bool body_omitted{false}; ///< it exceeded config::max_recorded_body

    auto operator==(key_outcome const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("status", &key_outcome::status),
                          field("headers", &key_outcome::headers),
                          field("body", &key_outcome::body),
                          field("body_omitted", &key_outcome::body_omitted));
    }
};

/// Records the outcome of a request, or that it is unknown.
struct finish_key
{
    key_name name;
    entry_session session;
    request_id request;
    std::optional<key_outcome> outcome;

    static constexpr auto fields()
    {
        return field_list(field("name", &finish_key::name),
                          field("session", &finish_key::session),
                          field("request", &finish_key::request),
                          field("outcome", &finish_key::outcome));
    }
};

/// Removes a key of which no request was sent to a backend server.
struct release_key
{
    key_name name;
    entry_session session;
    request_id request;

    static constexpr auto fields()
    {
        return field_list(field("name", &release_key::name),
                          field("session", &release_key::session),
                          field("request", &release_key::request));
    }
};

/// Ends a session of an entry. The outcomes of its open keys become unknown.
struct end_session
{
    entry_session session;

    static constexpr auto fields()
    {
        return field_list(field("session", &end_session::session));
    }
};

/// Removes keys that are older than the retention of their contract.
struct expire_keys
{
    wall_time now;

    static constexpr auto fields()
    {
        return field_list(field("now", &expire_keys::now));
    }
};

struct register_worker
{
    worker_info info;

    static constexpr auto fields()
    {
        return field_list(field("info", &register_worker::info));
    }
};

struct retire_worker
{
    worker_id id;

    static constexpr auto fields()
    {
        return field_list(field("id", &retire_worker::id));
    }
};

/// Learned slowdown of a service by a task of one kind of batch work.
struct interference_entry
{
    work_kind batch;
    service_name service;
    permille slowdown; ///< added latency, as a share of the baseline
    std::uint32_t samples{0};

    auto operator==(interference_entry const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("batch", &interference_entry::batch),
                          field("service", &interference_entry::service),
                          field("slowdown", &interference_entry::slowdown),
                          field("samples", &interference_entry::samples));
    }
};

struct save_interference
{
    std::vector<interference_entry> entries;

    static constexpr auto fields()
    {
        return field_list(field("entries", &save_interference::entries));
    }
};

/// Replaces all queues and pools if the version is higher than the current one.
struct apply_contract_set
{
    contract_set value;

    static constexpr auto fields()
    {
        return field_list(field("value", &apply_contract_set::value));
    }
};

/// Accepts a workflow under the current contract of its queue.
struct submit_workflow
{
    workflow_spec spec;
    queue_contract terms;
    wall_time submitted{}; ///< 0 if not known

    static constexpr auto fields()
    {
        return field_list(field("spec", &submit_workflow::spec),
                          field("terms", &submit_workflow::terms),
                          field("submitted", &submit_workflow::submitted));
    }
};

/// Entries of earlier versions have no time of submission.
template <>
inline constexpr std::size_t optional_fields<submit_workflow> = 1;

struct cancel_workflow
{
    workflow_id id;
    wall_time at;

    static constexpr auto fields()
    {
        return field_list(field("id", &cancel_workflow::id),
                          field("at", &cancel_workflow::at));
    }
};

/// A run and the incarnation of the worker that is to execute it.
struct placed_run
{
    task_run run;
    worker_instance worker;

    auto operator==(placed_run const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("run", &placed_run::run),
                          field("where", &placed_run::worker));
    }
};

/// Says that a worker gets no leases.
struct lease_halt
{
    /// Covers what was left of all its leases when this was proposed.
    milliseconds left{};
    term in_term;    ///< of the leader that has proposed it
    sequence number; ///< among the halts of that leader

    auto operator==(lease_halt const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("left", &lease_halt::left),
                          field("term", &lease_halt::in_term),
                          field("number", &lease_halt::number));
    }
};

/// Where a life of a worker is reached. A new leader asks there for its runs
/// before the worker has announced itself.
struct worker_place
{
    worker_instance worker;
    url address;
    zone_id zone;
    /// The longest lease that the leader which records the place grants, or one
    /// that covers what is left of a longer one that the worker may have.
    milliseconds longest_lease{};
    /// Set while no leader grants it a lease: not before the place is recorded
    /// without it.
    std::optional<lease_halt> halt{};

    auto operator==(worker_place const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("life", &worker_place::worker),
                          field("address", &worker_place::address),
                          field("zone", &worker_place::zone),
                          field("longest_lease", &worker_place::longest_lease),
                          field("halt", &worker_place::halt));
    }
};

/// Entries of earlier versions have no halt.
template <>
inline constexpr std::size_t optional_fields<worker_place> = 1;

/// Records runs before they are sent to their workers, and places.
struct start_runs
{
    std::vector<placed_run> runs;
    /// Of workers of these or other active runs whose places are not recorded,
    /// or differ.
    std::optional<std::vector<worker_place>> places{};

    static constexpr auto fields()
    {
        return field_list(field("runs", &start_runs::runs),
                          field("places", &start_runs::places));
    }
};

/// Entries of earlier versions have no places.
template <>
inline constexpr std::size_t optional_fields<start_runs> = 1;

struct ended_run
{
    task_run run;
    run_end outcome{run_end::finished};
    checkpoint_id checkpoint; ///< empty: none

    auto operator==(ended_run const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("run", &ended_run::run),
                          field("how", &ended_run::outcome),
                          field("checkpoint", &ended_run::checkpoint));
    }
};

struct end_runs
{
    std::vector<ended_run> runs;
    wall_time at;
    /// Ends as finished that workers have listed of runs whose end was recorded
    /// or proposed before without their word.
    std::optional<std::vector<ended_run>> listed_late{};

    static constexpr auto fields()
    {
        return field_list(field("runs", &end_runs::runs),
                          field("at", &end_runs::at),
                          field("listed_late", &end_runs::listed_late));
    }
};

/// Entries of earlier versions have no late ends.
template <>
inline constexpr std::size_t optional_fields<end_runs> = 1;

/// Removes the records of workflows that ended before a time.
struct expire_workflows
{
    wall_time before;

    static constexpr auto fields()
    {
        return field_list(field("before", &expire_workflows::before));
    }
};

/// Asks that no run starts on the workers of a data centre. Succeeds without a
/// change for one that is evacuated already.
struct evacuate_data_centre
{
    zone_id zone;

    static constexpr auto fields()
    {
        return field_list(field("zone", &evacuate_data_centre::zone));
    }
};

/// Withdraws the evacuation of a data centre. Succeeds without a change for one
/// that is not evacuated.
struct return_data_centre
{
    zone_id zone;

    static constexpr auto fields()
    {
        return field_list(field("zone", &return_data_centre::zone));
    }
};

/// A command in the log. The order of the alternatives is part of the format,
/// so new ones are added at the end.
using command =
    std::variant<apply_contract, remove_contract, submit_job, cancel_job,
                 place_task, end_attempt, begin_key, finish_key, release_key,
                 end_session, expire_keys, register_worker, retire_worker,
                 save_interference, apply_contract_set, submit_workflow,
                 cancel_workflow, start_runs, end_runs, expire_workflows,
                 evacuate_data_centre, return_data_centre>;

/// State of a key, as sent to the entry that began or finished it.
struct key_status
{
    bool begun{false}; ///< this request owns the key and may be sent
    std::optional<key_outcome> outcome;

    static constexpr auto fields()
    {
        return field_list(field("begun", &key_status::begun),
                          field("outcome", &key_status::outcome));
    }
};

/// Result of applying a command: a refusal, or the revision of the change and
/// its payload.
struct apply_result
{
    std::optional<error_kind> refused;
    std::string detail;
    revision at; ///< revision of the change
    std::optional<contract_version>
        version; ///< of the contract, if it was changed
    std::optional<key_status> key;

    static constexpr auto fields()
    {
        return field_list(field("refused", &apply_result::refused),
                          field("detail", &apply_result::detail),
                          field("at", &apply_result::at),
                          field("version", &apply_result::version),
                          field("key", &apply_result::key));
    }

    static auto refuse(error_kind kind, std::string detail) -> apply_result
    {
        apply_result it;
        it.refused = kind;
        it.detail = std::move(detail);
        return it;
    }
};

template <>
inline constexpr auto last_enumerator<error_kind> = error_kind::internal;
template <>
inline constexpr auto last_enumerator<http_status> =
    static_cast<http_status>(999);

} // namespace apricotlb

#endif
