/// Paths of urgent requests.
#ifndef APRICOTLB_CORE_ENTRY_SERVICE_PATH_HPP
#define APRICOTLB_CORE_ENTRY_SERVICE_PATH_HPP

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <string>
#include <string_view>

namespace apricotlb
{

/// Path of an urgent request, split into the service and the path on the
/// backend server.
struct service_path
{
    service_name service;
    std::string backend_path;
};

/// Splits /s/{service}/{path}; not_found for any other path.
[[nodiscard]] auto split_service_path(std::string_view path)
    -> result<service_path>;

/// True for paths of urgent requests.
[[nodiscard]] auto is_service_path(std::string_view path) -> bool;

/// The first segment of a path on a backend server. Requests of a service that
/// share it are assumed to have similar service times.
[[nodiscard]] auto path_prefix(std::string_view backend_path)
    -> std::string_view;

} // namespace apricotlb

#endif
