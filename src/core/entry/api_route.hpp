/// Routes of the HTTP API: the action for a method and path, and the roles that
/// may take it.
#ifndef APRICOTLB_CORE_ENTRY_API_ROUTE_HPP
#define APRICOTLB_CORE_ENTRY_API_ROUTE_HPP

#include <apricotlb/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// Action requested from the API.
enum class api_action : std::uint8_t
{
    health,
    metrics,
    apply_contract,
    remove_contract,
    list_contracts,
    show_contract,
    submit_job,
    list_jobs,
    show_job,
    cancel_job,
    explain_task,
    show_status,
    list_workers,
    list_backends,
    list_members,
    add_member,
    remove_member,
    announce_backend,
    withdraw_backend,
    register_worker,
    report_worker,
    list_data_centres,
    evacuate_data_centre,
    return_data_centre,
};

/// Role of a caller, decided by the token that it sent.
enum class api_role : std::uint8_t
{
    anyone, ///< no token, or an unknown one
    customer,
    system_operator,
    platform, ///< workers and backend servers
};

/// A matched route with the variable parts of its path.
struct api_route
{
    api_action action{};
    std::vector<std::string> parameters;
};

/// Finds the route of a request; not_found or method_not_allowed otherwise.
[[nodiscard]] auto find_route(std::string_view method, std::string_view path)
    -> result<api_route>;

/// True when the role may take the action.
[[nodiscard]] auto is_allowed(api_role role, api_action action) -> bool;

/// Decodes the percent-encoding of one part of a path; none if it is malformed.
[[nodiscard]] auto decode_path_part(std::string_view part)
    -> std::optional<std::string>;

/// The value of a query parameter, still percent-encoded.
[[nodiscard]] auto query_parameter(std::string_view query,
                                   std::string_view name)
    -> std::optional<std::string>;

} // namespace apricotlb

#endif
