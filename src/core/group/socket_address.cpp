#include "core/group/socket_address.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

namespace apricotlb
{

namespace
{

constexpr std::size_t max_host_length = 253;
constexpr std::uint32_t max_port = 65'535;

auto is_digit(char c) -> bool
{
    return c >= '0' && c <= '9';
}

/// The value of a decimal number without sign; none above `max`.
auto to_number(std::string_view text, std::uint32_t max)
    -> std::optional<std::uint32_t>
{
    std::uint32_t n{0};
    auto const* const end = text.data() + text.size();
    auto const [parsed_end, ec] = std::from_chars(text.data(), end, n);
    if (text.empty() || ec != std::errc{} || parsed_end != end || n > max)
    {
        return std::nullopt;
    }
    return n;
}

auto is_v6_host(std::string_view host) -> bool
{
    auto const is_allowed = [](char c)
    {
        return is_digit(c) || (c >= 'a' && c <= 'f') ||
               (c >= 'A' && c <= 'F') || c == ':' || c == '.';
    };
    return std::ranges::count(host, ':') >= 2 &&
           std::ranges::all_of(host, is_allowed);
}

/// True for an IPv4 address or a host name. A name whose last label is a number
/// is an address.
auto is_plain_host(std::string_view host) -> bool
{
    auto const is_allowed = [](char c)
    {
        return is_digit(c) || (c >= 'a' && c <= 'z') ||
               (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
    };
    constexpr std::uint32_t max_octet = 255;
    auto labels = 0;
    auto octets = 0;
    auto is_last_numeric = false;
    for (auto rest = host;;)
    {
        auto const dot = std::min(rest.find('.'), rest.size());
        auto const label = rest.substr(0, dot);
        if (label.empty() || !std::ranges::all_of(label, is_allowed))
        {
            return false;
        }
        ++labels;
        octets += to_number(label, max_octet) ? 1 : 0;
        is_last_numeric = std::ranges::all_of(label, is_digit);
        if (dot == rest.size())
        {
            break;
        }
        rest.remove_prefix(dot + 1);
    }
    constexpr auto v4_octets = 4;
    return !is_last_numeric || (labels == v4_octets && octets == v4_octets);
}

} // namespace

auto is_socket_address(std::string_view text) -> bool
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    auto const port = to_number(text.substr(colon + 1), max_port);
    auto const host = text.substr(0, colon);
    if (!port || *port == 0 || host.empty() || host.size() > max_host_length)
    {
        return false;
    }
    if (host.front() == '[')
    {
        return host.back() == ']' &&
               is_v6_host(host.substr(1, host.size() - 2));
    }
    return is_plain_host(host);
}

auto is_tcp_url(std::string_view text) -> bool
{
    constexpr std::string_view scheme = "tcp://";
    return text.starts_with(scheme) &&
           is_socket_address(text.substr(scheme.size()));
}

auto with_port_offset(std::string_view address, std::uint32_t offset)
    -> std::optional<std::string>
{
    auto const colon = address.rfind(':');
    auto const port = colon == std::string_view::npos
                          ? std::nullopt
                          : to_number(address.substr(colon + 1), max_port);
    if (!port || offset > max_port - *port)
    {
        return std::nullopt;
    }
    return std::string{address.substr(0, colon + 1)} +
           std::to_string(*port + offset);
}

} // namespace apricotlb
