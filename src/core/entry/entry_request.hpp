/// Parses the head of an urgent request.
#ifndef APRICOTLB_CORE_ENTRY_ENTRY_REQUEST_HPP
#define APRICOTLB_CORE_ENTRY_ENTRY_REQUEST_HPP

#include "core/entry/http.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// Fields of an urgent request that decide its routing and admission.
struct entry_request
{
    service_name service;
    std::string backend_path; ///< path on the backend server
    std::string token;
    std::optional<idempotency_key> key;
    std::optional<milliseconds> timeout;
};

/// The token of an Authorization header with the scheme Bearer, if any.
[[nodiscard]] auto bearer_token(std::vector<header> const& headers)
    -> std::optional<std::string>;

/// Reads the path, token, idempotency key and timeout; bad_request,
/// unauthorized or not_found if one is missing or malformed.
[[nodiscard]] auto read_entry_request(request_head const& it)
    -> result<entry_request>;

/// True for headers that the entry consumes and does not forward.
[[nodiscard]] auto is_entry_header(std::string_view name) -> bool;

} // namespace apricotlb

#endif
