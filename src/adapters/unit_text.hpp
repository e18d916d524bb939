/// Reads numbers with units as people write them: 250ms, 64MiB, 1.5, 50%.
#ifndef APRICOTLB_ADAPTERS_UNIT_TEXT_HPP
#define APRICOTLB_ADAPTERS_UNIT_TEXT_HPP

#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/wall_offset.hpp>

#include <string_view>

namespace apricotlb
{

inline constexpr std::string_view duration_forms =
    "a duration such as 250ms, 5s, 10m or 24h";
inline constexpr std::string_view offset_forms =
    "a duration with or without a sign such as 250ms, -5s or 24h";
inline constexpr std::string_view bytes_forms =
    "a size in bytes such as 512, 64MiB or 60GB";
inline constexpr std::string_view cores_forms =
    "a number of cores such as 16 or 1.5, or millicores such as 250m";
inline constexpr std::string_view share_forms = "a share such as 50% or 12.5%";

[[nodiscard]] auto parse_duration(std::string_view text) -> result<duration>;
/// A duration with an optional minus sign before it.
[[nodiscard]] auto parse_offset(std::string_view text) -> result<wall_offset>;
[[nodiscard]] auto parse_bytes(std::string_view text) -> result<byte_count>;
[[nodiscard]] auto parse_cores(std::string_view text) -> result<millicores>;
[[nodiscard]] auto parse_share(std::string_view text) -> result<permille>;

} // namespace apricotlb

#endif
