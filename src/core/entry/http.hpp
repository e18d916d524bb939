/// HTTP requests and answers as plain data, independent of any HTTP library.
#ifndef APRICOTLB_CORE_ENTRY_HTTP_HPP
#define APRICOTLB_CORE_ENTRY_HTTP_HPP

#include "core/state/commands.hpp"

#include <apricotlb/error.hpp>
#include <apricotlb/units.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// A request without its body.
struct request_head
{
    std::string method;
    std::string path; ///< percent-encoded, as received
    std::string query;
    std::vector<header> headers;
    std::optional<byte_count> length; ///< none when chunked
    bool has_body{false};
};

/// An answer without its body.
struct answer_head
{
    http_status status{};
    std::vector<header> headers;
    std::optional<byte_count> length; ///< none when chunked
};

/// A complete request.
struct http_request
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<header> headers;
    std::string body;
};

/// A complete answer.
struct http_answer
{
    http_status status{};
    std::vector<header> headers;
    std::string body;
};

/// Compares header names without case.
[[nodiscard]] auto equal_names(std::string_view a, std::string_view b) -> bool;

/// The first header with a name, compared without case; null if none.
[[nodiscard]] auto find_header(std::vector<header> const& headers,
                               std::string_view name) -> std::string const*;

/// True for headers that apply to a single connection and are not forwarded.
[[nodiscard]] auto is_hop_by_hop(std::string_view name) -> bool;

/// True for methods whose repetition has no further effect (RFC 9110).
[[nodiscard]] auto is_idempotent(std::string_view method) -> bool;

} // namespace apricotlb

#endif
