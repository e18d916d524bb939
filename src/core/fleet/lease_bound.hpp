/// What a leader knows about the lease of a worker whose runs it ends as lost.
#ifndef APRICOTLB_CORE_FLEET_LEASE_BOUND_HPP
#define APRICOTLB_CORE_FLEET_LEASE_BOUND_HPP

#include <apricotlb/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace apricotlb
{

/// What the upper bound for the end of a worker's lease rests on.
enum class lease_bound_cause : std::uint8_t
{
    none,
    granted,    ///< an order or poll of this leader
    inherited,  ///< the longest lease that an earlier leader may have granted
    late_order, ///< a recent start that a later life of the worker may have got
    /// Any order to a former life that this one may have got before its first
    /// lists.
    former_life,
};

[[nodiscard]] inline auto name_of(lease_bound_cause it) -> std::string_view
{
    constexpr std::array<std::string_view, 5> names{
        "none", "granted", "inherited", "late_order", "former_life"};
    return names.at(static_cast<std::size_t>(it));
}

/// The bound when a leader ended a run by it, and what it had from the worker.
struct lease_report
{
    lease_bound_cause cause{lease_bound_cause::none};
    std::optional<duration> bound_age; ///< since the bound; none without one
    /// Since the last lists and the last announcement of this life of the
    /// worker were received; none if there were none. An announcement that is
    /// newer than the lists by seconds tells a worker that polls do not reach.
    std::optional<duration> list_age;
    std::optional<duration> announced_age;
};

} // namespace apricotlb

#endif
