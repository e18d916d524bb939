/// Routes of the HTTP API: what a method and a path ask for, and who may ask.
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

/// What a request to the API asks for.
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
};

/// Who asks, by the token that was sent.
enum class api_role : std::uint8_t
{
    anyone,
    customer,
    system_operator,
    platform, ///< workers and backend servers
};

/// A route that was found, with the variable parts of its path.
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

/// The value of a query parameter, not decoded further.
[[nodiscard]] auto query_parameter(std::string_view query,
                                   std::string_view name)
    -> std::optional<std::string>;

} // namespace apricotlb

#endif
