#include "core/workflow/queue_place.hpp"

#include "core/entry/api_route.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace apricotlb
{

auto canonical_host(host_name const& host) -> host_name
{
    auto text = host.value();
    if (text.ends_with('.'))
    {
        text.pop_back();
    }
    auto const to_lower = [](char c)
    { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    std::ranges::transform(text, text.begin(), to_lower);
    return host_name{std::move(text)};
}

auto queue_place_of(host_name const& host, queue_path const& prefix)
    -> queue_place
{
    return {
        canonical_host(host),
        queue_path{decode_path_part(prefix.value()).value_or(prefix.value())}};
}

auto host_of_authority(std::string_view authority) -> host_name
{
    // Colons before the bracket belong to an IPv6 address.
    auto const bracket = authority.rfind(']');
    auto const port =
        authority.find(':', bracket == std::string_view::npos ? 0 : bracket);
    return host_name{std::string{authority.substr(0, port)}};
}

} // namespace apricotlb
