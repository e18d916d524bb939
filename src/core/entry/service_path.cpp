#include "core/entry/service_path.hpp"

namespace apricotlb
{

namespace
{

constexpr std::string_view prefix = "/s/";

} // namespace

auto is_service_path(std::string_view path) -> bool
{
    return path.starts_with(prefix);
}

auto split_service_path(std::string_view path) -> result<service_path>
{
    if (!is_service_path(path))
    {
        return fail(error_kind::not_found,
                    "no such path; urgent requests go to /s/{service}/{path}");
    }
    path.remove_prefix(prefix.size());
    auto const service_end = path.find('/');
    auto const service = path.substr(0, service_end);
    if (service.empty())
    {
        return fail(error_kind::not_found, "the path names no service");
    }
    auto const backend_path =
        service_end == std::string_view::npos ? "/" : path.substr(service_end);
    return service_path{service_name{std::string{service}},
                        std::string{backend_path}};
}

auto path_prefix(std::string_view backend_path) -> std::string_view
{
    return backend_path.substr(0, backend_path.find('/', 1));
}

} // namespace apricotlb
