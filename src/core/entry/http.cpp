#include "core/entry/http.hpp"

#include <algorithm>
#include <array>

namespace apricotlb
{

namespace
{

auto to_lower(char c) -> char
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

auto equal_names(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() &&
           std::ranges::equal(a, b, {}, to_lower, to_lower);
}

auto find_header(std::vector<header> const& headers, std::string_view name)
    -> std::string const*
{
    auto const it = std::ranges::find_if(headers, [name](auto const& h)
                                         { return equal_names(h.name, name); });
    return it == headers.end() ? nullptr : &it->value;
}

auto is_hop_by_hop(std::string_view name) -> bool
{
    constexpr std::array<std::string_view, 12> names{"Connection",
                                                     "Keep-Alive",
                                                     "Transfer-Encoding",
                                                     "Host",
                                                     "Content-Length",
                                                     "Upgrade",
                                                     "TE",
                                                     "Trailer",
                                                     "Expect",
                                                     "Proxy-Connection",
                                                     "Proxy-Authorization",
                                                     "Proxy-Authenticate"};
    return std::ranges::any_of(names, [name](auto it)
                               { return equal_names(it, name); });
}

auto is_idempotent(std::string_view method) -> bool
{
    return method == "GET" || method == "HEAD" || method == "PUT" ||
           method == "DELETE" || method == "OPTIONS";
}

} // namespace apricotlb
