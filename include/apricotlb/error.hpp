/// Error kinds, and the table of the answer to each.
#ifndef APRICOTLB_ERROR_HPP
#define APRICOTLB_ERROR_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricotlb
{

/// Refusals and failures that are reported to callers, operators and peers.
enum class error_kind : std::uint8_t
{
    bad_request,
    bad_settings,
    bad_contract,
    unauthorized,
    forbidden,
    not_found,
    method_not_allowed,
    unknown_customer,
    unknown_service,
    unknown_worker,
    unknown_job,
    body_too_large,
    header_too_large,
    length_required,
    version_conflict,
    change_reused,
    key_reused,
    request_in_progress,
    outcome_unknown,
    outcome_too_large,
    job_too_large,
    job_conflict,
    quota_exceeded,
    queue_full,
    deadline_unmeetable,
    deadline_exceeded,
    no_backend,
    backend_refused,
    backend_failed,
    backend_timeout,
    backend_cut_answer,
    retry_budget_spent,
    lease_lapsed,
    draining,
    not_leader,
    no_leader,
    region_unreachable,
    membership_busy,
    not_caught_up,
    too_many_connections,
    request_timeout,
    disk_full,
    disk_failed,
    log_damaged,
    data_folder_locked,
    message_malformed,
    message_unauthentic,
    version_unsupported,
    stale_attempt,
    worker_busy,
    unknown_queue,
    unknown_workflow,
    no_contracts,
    overloaded,
    internal,
};

inline constexpr std::size_t error_kind_count =
    static_cast<std::size_t>(error_kind::internal) + 1;

/// Whether a failed request was executed.
enum class work_ran : std::uint8_t
{
    no,
    unknown,
    yes,
};

/// Whether the same request may succeed when it is sent again.
enum class retry_advice : std::uint8_t
{
    never,
    later,
    elsewhere,
};

enum class http_status : std::uint16_t
{
};

/// Exit code of the command-line client.
enum class exit_code : std::uint8_t
{
    ok = 0,
    usage = 2,
    refused = 3,
    conflict = 4,
    unavailable = 5,
    not_found = 6,
    unauthorized = 7,
    failed = 8,
};

/// How a kind of error is reported: one row of the table.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    http_status status;
    exit_code exit;
    retry_advice retry;
    work_ran ran;
};

[[nodiscard]] auto answer_of(error_kind kind) -> error_answer const&;

/// Finds a kind by the name that it has in problem bodies.
[[nodiscard]] auto error_kind_of(std::string_view name)
    -> std::optional<error_kind>;

[[nodiscard]] auto name_of(error_kind kind) -> std::string_view;
[[nodiscard]] auto name_of(work_ran ran) -> std::string_view;
[[nodiscard]] auto name_of(retry_advice retry) -> std::string_view;

/// A failure and its description for people.
struct error
{
    error_kind kind{error_kind::internal};
    std::string detail;
    /// When the caller may try again, if that is known.
    std::optional<std::chrono::seconds> retry_after{};

    auto operator==(error const&) const -> bool = default;
};

} // namespace apricotlb

#endif
