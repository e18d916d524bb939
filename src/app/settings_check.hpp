/// Validation of the settings of a process for its role.
#ifndef APRICOTLB_APP_SETTINGS_CHECK_HPP
#define APRICOTLB_APP_SETTINGS_CHECK_HPP

#include "app/settings.hpp"

#include <apricotlb/result.hpp>

#include <cstdint>

namespace apricotlb
{

enum class process_role : std::uint8_t
{
    control,
    entry,
    standalone,
};

/// Validates settings for a role. Fails with bad_settings, whose detail names
/// the key, the allowed values and the value found. Accesses no files.
[[nodiscard]] auto check(settings const& it, process_role role) -> result<void>;

/// True for an IPv4 or bracketed IPv6 address followed by a port from 1 to
/// 65535.
[[nodiscard]] auto is_endpoint(endpoint const& it) -> bool;

} // namespace apricotlb

#endif
