#include <apricotlb/error.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr auto row(error_kind kind, std::string_view name, int status,
                   exit_code exit, retry_advice retry, work_ran ran)
    -> error_answer
{
    return {kind, name, static_cast<http_status>(status), exit, retry, ran};
}

using enum error_kind;
using ex = exit_code;
using re = retry_advice;
using ran = work_ran;

constexpr std::array<error_answer, error_kind_count> table{{
    // clang-format off
    row(bad_request,          "bad_request",          400, ex::usage,        re::never,     ran::no),
    row(bad_settings,         "bad_settings",         400, ex::usage,        re::never,     ran::no),
    row(bad_contract,         "bad_contract",         422, ex::usage,        re::never,     ran::no),
    row(unauthorized,         "unauthorized",         401, ex::unauthorized, re::never,     ran::no),
    row(forbidden,            "forbidden",            403, ex::unauthorized, re::never,     ran::no),
    row(not_found,            "not_found",            404, ex::not_found,    re::never,     ran::no),
    row(method_not_allowed,   "method_not_allowed",   405, ex::usage,        re::never,     ran::no),
    row(unknown_customer,     "unknown_customer",     404, ex::not_found,    re::never,     ran::no),
    row(unknown_service,      "unknown_service",      404, ex::not_found,    re::later,     ran::no),
    row(unknown_worker,       "unknown_worker",       404, ex::not_found,    re::never,     ran::no),
    row(unknown_job,          "unknown_job",          404, ex::not_found,    re::never,     ran::no),
    row(body_too_large,       "body_too_large",       413, ex::refused,      re::never,     ran::no),
    row(header_too_large,     "header_too_large",     431, ex::refused,      re::never,     ran::no),
    row(length_required,      "length_required",      411, ex::refused,      re::never,     ran::no),
    row(version_conflict,     "version_conflict",     409, ex::conflict,     re::never,     ran::no),
    row(change_reused,        "change_reused",        409, ex::conflict,     re::never,     ran::no),
    row(key_reused,           "key_reused",           422, ex::conflict,     re::never,     ran::no),
    row(request_in_progress,  "request_in_progress",  409, ex::conflict,     re::later,     ran::unknown),
    row(outcome_unknown,      "outcome_unknown",      502, ex::failed,       re::never,     ran::unknown),
    row(outcome_too_large,    "outcome_too_large",    410, ex::failed,       re::never,     ran::yes),
    row(job_too_large,        "job_too_large",        422, ex::refused,      re::never,     ran::no),
    row(job_conflict,         "job_conflict",         409, ex::conflict,     re::never,     ran::no),
    row(quota_exceeded,       "quota_exceeded",       429, ex::refused,      re::later,     ran::no),
    row(queue_full,           "queue_full",           503, ex::unavailable,  re::later,     ran::no),
    row(deadline_unmeetable,  "deadline_unmeetable",  503, ex::unavailable,  re::later,     ran::no),
    row(deadline_exceeded,    "deadline_exceeded",    504, ex::failed,       re::never,     ran::unknown),
    row(no_backend,           "no_backend",           503, ex::unavailable,  re::later,     ran::no),
    row(backend_refused,      "backend_refused",      502, ex::unavailable,  re::elsewhere, ran::no),
    row(backend_failed,       "backend_failed",       502, ex::failed,       re::never,     ran::unknown),
    row(backend_timeout,      "backend_timeout",      504, ex::failed,       re::never,     ran::unknown),
    row(backend_cut_answer,   "backend_cut_answer",   502, ex::failed,       re::never,     ran::unknown),
    row(retry_budget_spent,   "retry_budget_spent",   503, ex::unavailable,  re::later,     ran::no),
    row(lease_lapsed,         "lease_lapsed",         503, ex::unavailable,  re::elsewhere, ran::no),
    row(draining,             "draining",             503, ex::unavailable,  re::elsewhere, ran::no),
    row(not_leader,           "not_leader",           503, ex::unavailable,  re::elsewhere, ran::no),
    row(no_leader,            "no_leader",            503, ex::unavailable,  re::later,     ran::unknown),
    row(region_unreachable,   "region_unreachable",   503, ex::unavailable,  re::later,     ran::no),
    row(membership_busy,      "membership_busy",      409, ex::conflict,     re::later,     ran::no),
    row(not_caught_up,        "not_caught_up",        409, ex::conflict,     re::later,     ran::no),
    row(too_many_connections, "too_many_connections", 503, ex::unavailable,  re::elsewhere, ran::no),
    row(request_timeout,      "request_timeout",      408, ex::failed,       re::later,     ran::no),
    row(disk_full,            "disk_full",            507, ex::unavailable,  re::later,     ran::no),
    row(disk_failed,          "disk_failed",          500, ex::failed,       re::never,     ran::unknown),
    row(log_damaged,          "log_damaged",          500, ex::failed,       re::never,     ran::no),
    row(data_folder_locked,   "data_folder_locked",   500, ex::refused,      re::never,     ran::no),
    row(message_malformed,    "message_malformed",    400, ex::failed,       re::never,     ran::no),
    row(message_unauthentic,  "message_unauthentic",  401, ex::unauthorized, re::never,     ran::no),
    row(version_unsupported,  "version_unsupported",  400, ex::failed,       re::never,     ran::no),
    row(stale_attempt,        "stale_attempt",        409, ex::conflict,     re::never,     ran::no),
    row(worker_busy,          "worker_busy",          409, ex::conflict,     re::later,     ran::no),
    row(unknown_queue,        "unknown_queue",        404, ex::not_found,    re::never,     ran::no),
    row(unknown_workflow,     "unknown_workflow",     410, ex::not_found,    re::never,     ran::no),
    row(no_contracts,         "no_contracts",         503, ex::unavailable,  re::later,     ran::no),
    row(overloaded,           "overloaded",           503, ex::unavailable,  re::later,     ran::no),
    row(internal,             "internal",             500, ex::failed,       re::never,     ran::unknown),
    // clang-format on
}};

static_assert(
    []
    {
        for (std::size_t n = 0; n < table.size(); ++n)
        {
            if (static_cast<std::size_t>(table[n].kind) != n)
            {
                return false;
            }
        }
        return true;
    }(),
    "rows must be in the order of error_kind");

} // namespace

auto answer_of(error_kind kind) -> error_answer const&
{
    return table[static_cast<std::size_t>(kind)];
}

auto error_kind_of(std::string_view name) -> std::optional<error_kind>
{
    auto const it = std::ranges::find(table, name, &error_answer::name);
    if (it == table.end())
    {
        return std::nullopt;
    }
    return it->kind;
}

auto name_of(error_kind kind) -> std::string_view
{
    return answer_of(kind).name;
}

auto name_of(work_ran ran) -> std::string_view
{
    switch (ran)
    {
    case work_ran::no:
        return "no";
    case work_ran::yes:
        return "yes";
    case work_ran::unknown:
        break;
    }
    return "unknown";
}

auto name_of(retry_advice retry) -> std::string_view
{
    switch (retry)
    {
    case retry_advice::later:
        return "later";
    case retry_advice::elsewhere:
        return "elsewhere";
    case retry_advice::never:
        break;
    }
    return "never";
}

} // namespace apricotlb
