/// Units of resources, counts and shares.
#ifndef APRICOTLB_UNITS_HPP
#define APRICOTLB_UNITS_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/strong.hpp>

#include <cstdint>

namespace apricotlb
{

/// Thousandths of one core.
using millicores = quantity<struct millicores_tag, std::int64_t>;
using byte_count = quantity<struct byte_count_tag, std::int64_t>;
using accelerators = quantity<struct accelerators_tag, std::int32_t>;
using slot_count = quantity<struct slot_tag, std::int32_t>;
using connection_count = quantity<struct connection_tag, std::int32_t>;
using task_count = quantity<struct task_count_tag, std::int64_t>;
using request_count = quantity<struct request_count_tag, std::int64_t>;

/// Work: one core for one millisecond.
using core_time = quantity<struct core_time_tag, std::int64_t>;

/// Thousandths. A share is 0 to 1000; other ratios may exceed 1000.
using permille = quantity<struct permille_tag, std::int32_t>;

/// Resources of a VM or a task.
struct resources
{
    millicores cores{};
    byte_count memory{};
    accelerators accels{};

    auto operator==(resources const&) const -> bool = default;

    auto operator+=(resources const& other) -> resources&
    {
        cores += other.cores;
        memory += other.memory;
        accels += other.accels;
        return *this;
    }
    auto operator-=(resources const& other) -> resources&
    {
        cores -= other.cores;
        memory -= other.memory;
        accels -= other.accels;
        return *this;
    }

    /// True if no resource exceeds its free amount.
    [[nodiscard]] auto fits_into(resources const& free) const -> bool
    {
        return cores <= free.cores && memory <= free.memory &&
               accels <= free.accels;
    }

    static constexpr auto fields()
    {
        return field_list(field("cores", &resources::cores),
                          field("memory", &resources::memory),
                          field("accelerators", &resources::accels));
    }
};

/// The given share of each resource, rounded down.
[[nodiscard]] constexpr auto share_of(resources const& total, permille share)
    -> resources
{
    auto const scaled = [share](auto amount)
    {
        return decltype(amount){static_cast<typename decltype(amount)::rep>(
            amount.value() * share.value() / 1000)};
    };
    return {scaled(total.cores), scaled(total.memory), scaled(total.accels)};
}

} // namespace apricotlb

#endif
