/// Reads settings, contracts and job specs from YAML. Every error names the
/// file, the line, the key and what is allowed.
#ifndef APRICOTLB_ADAPTERS_YAML_SETTINGS_HPP
#define APRICOTLB_ADAPTERS_YAML_SETTINGS_HPP

#include "app/settings.hpp"

#include <apricotlb/contract.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/result.hpp>

#include <string>
#include <string_view>

namespace apricotlb
{

/// Longest file that is read.
inline constexpr byte_count max_file_bytes{1 << 20};

/// Text of a file, or not_found, or bad_request when it is too long.
[[nodiscard]] auto read_file(file_path const& path) -> result<std::string>;

/// Text of a secret's file without the line end. Refused when group or
/// others may read it.
[[nodiscard]] auto read_secret(file_path const& path) -> result<std::string>;

/// Settings of a process; the role checks what it needs.
[[nodiscard]] auto parse_settings(std::string_view text, file_path const& name)
    -> result<settings>;
[[nodiscard]] auto read_settings(file_path const& path) -> result<settings>;

/// A contract, checked; key_retention is 24h when it is left out.
[[nodiscard]] auto parse_contract(std::string_view text, file_path const& name)
    -> result<contract>;
[[nodiscard]] auto read_contract(file_path const& path) -> result<contract>;

/// A job spec, checked.
[[nodiscard]] auto parse_job(std::string_view text, file_path const& name)
    -> result<job_spec>;
[[nodiscard]] auto read_job(file_path const& path) -> result<job_spec>;

} // namespace apricotlb

#endif
