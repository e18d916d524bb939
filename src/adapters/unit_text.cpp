#include "adapters/unit_text.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace apricotlb
{

namespace
{

struct unit
{
    std::string_view suffix;
    std::int64_t factor; ///< in thousandths of the smallest unit
};

/// Digits after the point that are read. A thousandth of the smallest unit
/// is the finest step, so that 12.5% and 1.5 cores are exact.
constexpr int decimals = 3;

/// Reads a decimal number in thousandths, and the rest as the suffix.
auto split(std::string_view text, std::string_view& suffix)
    -> std::optional<std::int64_t>
{
    std::int64_t whole{0};
    auto const* const end = text.data() + text.size();
    auto [at, ec] = std::from_chars(text.data(), end, whole);
    constexpr std::int64_t scale = 1000;
    if (ec != std::errc{} || whole < 0 || text.front() == '-' ||
        whole > std::numeric_limits<std::int64_t>::max() / scale)
    {
        return std::nullopt;
    }
    auto thousandths = whole * scale;
    if (at != end && *at == '.')
    {
        auto digit = scale / 10;
        auto const* const first = ++at;
        for (; at != end && *at >= '0' && *at <= '9'; ++at)
        {
            if (at - first >= decimals)
            {
                return std::nullopt;
            }
            thousandths += (*at - '0') * digit;
            digit /= 10;
        }
        if (at == first)
        {
            return std::nullopt;
        }
    }
    suffix = {at, static_cast<std::size_t>(end - at)};
    return thousandths;
}

/// The number in the smallest unit; none when the suffix is unknown, the
/// number is out of range or a part of the smallest unit would be lost.
template <std::size_t N>
auto parse(std::string_view text, std::array<unit, N> const& units)
    -> std::optional<std::int64_t>
{
    if (text.empty())
    {
        return std::nullopt;
    }
    std::string_view suffix;
    auto const n = split(text, suffix);
    auto const it = std::ranges::find(units, suffix, &unit::suffix);
    std::int64_t product{0};
    if (!n || it == units.end() ||
        __builtin_mul_overflow(*n, it->factor, &product) || product % 1000 != 0)
    {
        return std::nullopt;
    }
    return product / 1000;
}

constexpr std::int64_t thousand = 1000;
constexpr std::int64_t kib = 1024;

auto refuse(std::string_view text, std::string_view forms)
    -> outcome::failure_type<error>
{
    return fail(error_kind::bad_request,
                "must be " + std::string{forms} + ", got \"" +
                    std::string{text.substr(0, 40)} + "\"");
}

} // namespace

auto parse_duration(std::string_view text) -> result<duration>
{
    constexpr std::int64_t second = 1'000'000;
    constexpr std::array<unit, 6> units{{{"us", 1},
                                         {"ms", thousand},
                                         {"s", second},
                                         {"m", 60 * second},
                                         {"h", 3600 * second},
                                         {"d", 86'400 * second}}};
    auto const n = parse(text, units);
    return n ? result<duration>{duration{*n}} : refuse(text, duration_forms);
}

auto parse_offset(std::string_view text) -> result<wall_offset>
{
    auto const is_negative = text.starts_with('-');
    auto const size = parse_duration(text.substr(is_negative ? 1 : 0));
    if (size.has_error())
    {
        return refuse(text, offset_forms);
    }
    return wall_offset{is_negative ? -size.value() : size.value()};
}

auto parse_bytes(std::string_view text) -> result<byte_count>
{
    constexpr auto mb = thousand * thousand;
    constexpr auto mib = kib * kib;
    constexpr std::array<unit, 10> units{{{"", 1},
                                          {"B", 1},
                                          {"kB", thousand},
                                          {"MB", mb},
                                          {"GB", mb * thousand},
                                          {"TB", mb * mb},
                                          {"KiB", kib},
                                          {"MiB", mib},
                                          {"GiB", mib * kib},
                                          {"TiB", mib * mib}}};
    auto const n = parse(text, units);
    return n ? result<byte_count>{byte_count{*n}} : refuse(text, bytes_forms);
}

auto parse_cores(std::string_view text) -> result<millicores>
{
    constexpr std::array<unit, 2> units{{{"", thousand}, {"m", 1}}};
    auto const n = parse(text, units);
    return n ? result<millicores>{millicores{*n}} : refuse(text, cores_forms);
}

auto parse_share(std::string_view text) -> result<permille>
{
    constexpr std::array<unit, 1> units{{{"%", 10}}};
    auto const n = parse(text, units);
    return n && *n <= thousand
               ? result<permille>{permille{static_cast<std::int32_t>(*n)}}
               : refuse(text, share_forms);
}

} // namespace apricotlb
