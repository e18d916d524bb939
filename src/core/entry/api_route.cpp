#include "core/entry/api_route.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace apricotlb
{

namespace
{

constexpr auto role_bit(api_role role) -> unsigned
{
    return 1U << static_cast<unsigned>(role);
}

constexpr auto anyone = ~0U;
constexpr auto customers =
    role_bit(api_role::customer) | role_bit(api_role::system_operator);
constexpr auto operators = role_bit(api_role::system_operator);
constexpr auto platform = role_bit(api_role::platform);

/// One row of the API; "{}" stands for a variable part of the path.
struct api_rule
{
    api_action action;
    std::string_view method;
    std::string_view pattern;
    unsigned roles;
};

using enum api_action;

constexpr std::array rules{
    // clang-format off
    api_rule{health,           "GET",    "/healthz",               anyone},
    api_rule{metrics,          "GET",    "/metrics",               operators | platform},
    api_rule{apply_contract,   "PUT",    "/v1/contracts/{}",       operators},
    api_rule{remove_contract,  "DELETE", "/v1/contracts/{}",       operators},
    api_rule{list_contracts,   "GET",    "/v1/contracts",          operators},
    api_rule{show_contract,    "GET",    "/v1/contracts/{}",       operators},
    api_rule{submit_job,       "POST",   "/v1/jobs",               customers},
    api_rule{list_jobs,        "GET",    "/v1/jobs",               customers},
    api_rule{show_job,         "GET",    "/v1/jobs/{}",            customers},
    api_rule{cancel_job,       "DELETE", "/v1/jobs/{}",            customers},
    api_rule{explain_task,     "GET",    "/v1/explain/{}/{}",      customers},
    api_rule{show_status,      "GET",    "/v1/status",             operators},
    api_rule{list_workers,     "GET",    "/v1/workers",            operators},
    api_rule{list_backends,    "GET",    "/v1/backends",           operators},
    api_rule{list_members,     "GET",    "/v1/members",            operators},
    api_rule{add_member,       "POST",   "/v1/members",            operators},
    api_rule{remove_member,    "DELETE", "/v1/members/{}",         operators},
    api_rule{announce_backend, "POST",   "/v1/backends",           platform},
    api_rule{withdraw_backend,   "DELETE", "/v1/backends/{}",        platform},
    api_rule{register_worker,  "POST",   "/v1/workers",            platform},
    api_rule{report_worker,    "POST",   "/v1/workers/{}/report",  platform},
    api_rule{list_data_centres,    "GET",    "/v1/evacuation",       operators},
    api_rule{evacuate_data_centre, "POST",   "/v1/evacuation/{}",    operators},
    api_rule{return_data_centre,   "DELETE", "/v1/evacuation/{}",    operators},
    // clang-format on
};

/// Removes the leading slash and the part after it, and returns that part.
auto take_next_part(std::string_view& path) -> std::string_view
{
    path.remove_prefix(1);
    auto const part = path.substr(0, path.find('/'));
    path.remove_prefix(part.size());
    return part;
}

/// The variable parts of the path if it matches the pattern.
auto match(std::string_view pattern, std::string_view path)
    -> std::optional<std::vector<std::string>>
{
    std::vector<std::string> out;
    while (!pattern.empty() && !path.empty())
    {
        if (pattern.front() != '/' || path.front() != '/')
        {
            return std::nullopt;
        }
        auto const expected_part = take_next_part(pattern);
        auto const part = take_next_part(path);
        if (expected_part == "{}" && !part.empty())
        {
            out.emplace_back(part);
        }
        else if (expected_part != part)
        {
            return std::nullopt;
        }
    }
    if (!pattern.empty() || !path.empty())
    {
        return std::nullopt;
    }
    return out;
}

} // namespace

auto find_route(std::string_view method, std::string_view path)
    -> result<api_route>
{
    auto path_exists = false;
    for (auto const& rule : rules)
    {
        auto parameters = match(rule.pattern, path);
        if (!parameters)
        {
            continue;
        }
        path_exists = true;
        if (rule.method == method)
        {
            return api_route{rule.action, std::move(*parameters)};
        }
    }
    if (path_exists)
    {
        return fail(error_kind::method_not_allowed,
                    "this path does not support the method " +
                        std::string{method.substr(0, 20)});
    }
    return fail(error_kind::not_found,
                "no such path; urgent requests go to /s/{service}/{path} and "
                "API requests to paths under /v1/");
}

auto is_allowed(api_role role, api_action action) -> bool
{
    auto const rule = std::ranges::find(rules, action, &api_rule::action);
    return (rule->roles & role_bit(role)) != 0;
}

auto decode_path_part(std::string_view part) -> std::optional<std::string>
{
    std::string out;
    while (!part.empty())
    {
        auto const c = part.front();
        part.remove_prefix(1);
        if (c != '%')
        {
            out += c;
            continue;
        }
        constexpr std::size_t digits = 2;
        constexpr auto base = 16;
        unsigned code{0};
        auto const* const end = part.data() + std::min(digits, part.size());
        auto const [parsed, ec] = std::from_chars(part.data(), end, code, base);
        if (ec != std::errc{} || parsed != part.data() + digits)
        {
            return std::nullopt;
        }
        out += static_cast<char>(code);
        part.remove_prefix(digits);
    }
    return out;
}

auto query_parameter(std::string_view query, std::string_view name)
    -> std::optional<std::string>
{
    while (!query.empty())
    {
        auto const pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        auto const separator = pair.find('=');
        if (pair.substr(0, separator) == name)
        {
            return separator == std::string_view::npos
                       ? std::string{}
                       : std::string{pair.substr(separator + 1)};
        }
    }
    return std::nullopt;
}

} // namespace apricotlb
