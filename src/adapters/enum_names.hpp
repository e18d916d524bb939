/// Names of enumerators in JSON bodies and YAML files, in the order of the
/// enumerators.
#ifndef APRICOTLB_ADAPTERS_ENUM_NAMES_HPP
#define APRICOTLB_ADAPTERS_ENUM_NAMES_HPP

#include "app/settings.hpp"
#include "core/messages.hpp"

#include <apricotlb/contract.hpp>
#include <apricotlb/job.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace apricotlb
{

/// The names of an enum; specialised for each enum that people or other
/// programs read.
template <class Enum>
inline constexpr std::array<std::string_view, 0> enum_names{};

template <>
inline constexpr std::array<std::string_view, 3> enum_names<job_class>{
    "batch", "watch", "service"};
template <>
inline constexpr std::array<std::string_view, 6> enum_names<attempt_end>{
    "finished", "failed", "checkpointed", "stopped", "lost", "not_started"};
template <>
inline constexpr std::array<std::string_view, 5> enum_names<task_state>{
    "waiting", "placed", "finished", "failed", "cancelled"};
template <>
inline constexpr std::array<std::string_view, 2> enum_names<region_loss_policy>{
    "hold", "stop"};
template <>
inline constexpr std::array<std::string_view, 2> enum_names<member_action>{
    "add", "remove"};
template <>
inline constexpr std::array<std::string_view, 4> enum_names<log_level>{
    "debug", "info", "warning", "error"};
template <>
inline constexpr std::array<std::string_view, 2> enum_names<log_format>{"text",
                                                                        "json"};
template <>
inline constexpr std::array<std::string_view, 2> enum_names<guard_mode>{
    "enabled", "disabled"};
template <>
inline constexpr std::array<std::string_view, 2> enum_names<front_interface>{
    "native", "platform"};
template <>
inline constexpr std::array<std::string_view, 2> enum_names<late_work_policy>{
    "accept", "refuse"};
template <>
inline constexpr std::array<std::string_view, 2> enum_names<peer_trust>{
    "key", "network"};

/// Matches enums with names.
template <class Enum>
concept named_enum = !enum_names<Enum>.empty();

template <named_enum Enum>
[[nodiscard]] constexpr auto enum_name(Enum it) -> std::string_view
{
    auto const n = static_cast<std::size_t>(it);
    return n < enum_names<Enum>.size() ? enum_names<Enum>[n] : "?";
}

template <named_enum Enum>
[[nodiscard]] constexpr auto enum_value(std::string_view name)
    -> std::optional<Enum>
{
    auto const& names = enum_names<Enum>;
    auto const it = std::ranges::find(names, name);
    if (it == names.end())
    {
        return std::nullopt;
    }
    return static_cast<Enum>(it - names.begin());
}

/// All names, for messages about what is allowed.
template <named_enum Enum>
[[nodiscard]] auto allowed_names() -> std::string
{
    std::string out;
    for (auto const& it : enum_names<Enum>)
    {
        out += out.empty() ? "" : ", ";
        out += it;
    }
    return out;
}

} // namespace apricotlb

#endif
