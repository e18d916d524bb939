#include "core/entry/entry_request.hpp"

#include "core/entry/service_path.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace apricotlb
{

namespace
{

constexpr std::string_view authorization_header = "Authorization";
constexpr std::string_view timeout_header = "Apricotlb-Timeout-Ms";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view bearer_scheme = "Bearer ";

auto read_timeout(std::string_view text) -> result<milliseconds>
{
    std::int64_t value{0};
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr std::int64_t max_timeout_ms = 86'400'000;
    if (ec != std::errc{} || end != text.data() + text.size() || value <= 0 ||
        value > max_timeout_ms)
    {
        return fail(error_kind::bad_request,
                    "Apricotlb-Timeout-Ms is not a number from 1 to 86400000");
    }
    return milliseconds{value};
}

auto read_key(std::string const& text) -> result<idempotency_key>
{
    auto const is_printable = [](char c) { return c > ' ' && c < '\x7f'; };
    if (text.empty() || text.size() > config::max_key_length ||
        !std::ranges::all_of(text, is_printable))
    {
        return fail(error_kind::bad_request,
                    "Idempotency-Key is not 1 to 128 printable characters");
    }
    return idempotency_key{text};
}

} // namespace

auto is_entry_header(std::string_view name) -> bool
{
    return equal_names(name, authorization_header) ||
           equal_names(name, timeout_header);
}

auto bearer_token(std::vector<header> const& headers)
    -> std::optional<std::string>
{
    auto const* const bearer = find_header(headers, authorization_header);
    if (bearer == nullptr || !bearer->starts_with(bearer_scheme))
    {
        return std::nullopt;
    }
    return bearer->substr(bearer_scheme.size());
}

auto read_entry_request(request_head const& it) -> result<entry_request>
{
    entry_request out;
    auto path = split_service_path(it.path);
    if (path.has_error())
    {
        return outcome::failure(path.error());
    }
    out.service = std::move(path.value().service);
    out.backend_path = std::move(path.value().backend_path);
    auto token = bearer_token(it.headers);
    if (!token)
    {
        return fail(error_kind::unauthorized,
                    "the request has no bearer token");
    }
    out.token = std::move(*token);
    if (auto const* const text = find_header(it.headers, timeout_header);
        text != nullptr)
    {
        auto const timeout = read_timeout(*text);
        if (timeout.has_error())
        {
            return outcome::failure(timeout.error());
        }
        out.timeout = timeout.value();
    }
    if (auto const* const text = find_header(it.headers, key_header);
        text != nullptr)
    {
        auto key = read_key(*text);
        if (key.has_error())
        {
            return outcome::failure(key.error());
        }
        out.key = std::move(key).value();
    }
    return out;
}

} // namespace apricotlb
