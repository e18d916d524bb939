/// What the entry reads from the head of an urgent request.
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

/// An urgent request as read from its head.
struct entry_request
{
    service_name service;
    std::string backend_path; ///< path on the backend server
    std::string token;
    std::optional<idempotency_key> key;
    std::optional<milliseconds> timeout;
};

/// The token of an Authorization header with the scheme Bearer.
[[nodiscard]] auto bearer_token(std::vector<header> const& headers)
    -> std::optional<std::string>;

/// Reads path, token, key and timeout, or says what is wrong.
[[nodiscard]] auto read_entry_request(request_head const& it)
    -> result<entry_request>;

/// True for headers that are meant for the entry and not forwarded.
[[nodiscard]] auto is_entry_header(std::string_view name) -> bool;

} // namespace apricotlb

#endif
