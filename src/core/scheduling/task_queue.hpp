/// Order in which waiting work is offered for placement.
#ifndef APRICOTLB_CORE_SCHEDULING_TASK_QUEUE_HPP
#define APRICOTLB_CORE_SCHEDULING_TASK_QUEUE_HPP

#include "core/scheduling/refs.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// Rank within a customer's queue; lower ranks are offered first.
using queue_level = strong<struct queue_level_tag, std::uint8_t>;

inline constexpr queue_level service_level{0};
inline constexpr queue_level watch_level{1};
inline constexpr queue_level first_batch_level{2};
inline constexpr queue_level short_batch_level{3}; ///< up to 8 s
inline constexpr queue_level demoted_level{12};

/// The level of work that is expected to run this long.
[[nodiscard]] auto level_of(duration expected) -> queue_level;

/// The waiting tasks of one job; stragglers wait in a lane of their own.
struct queue_item
{
    job_ref job;
    bool demoted{false};

    auto operator<=>(queue_item const&) const = default;
};

/// An offer for placement.
struct queue_pick
{
    customer_ref customer;
    queue_item item;
    time_point since;  ///< when the item began to wait or last progressed
    bool floor{false}; ///< offered because it has waited longest
};

/// Fair among customers: the one that holds least, relative to its contract,
/// is next. Within a customer services come first, then short work. An item
/// that cannot be placed is put aside until the next wake() and blocks nobody.
class task_queue
{
public:
    /// Sets the customer's weight; without one its work is not offered.
    auto set_weight(customer_ref customer, std::optional<permille> weight)
        -> void;

    /// Adds an item, or moves it to another level. Earlier jobs have a lower
    /// order.
    auto put(customer_ref customer, queue_item item, queue_level level,
             std::uint64_t order, time_point since) -> void;
    auto remove(queue_item item) -> void;

    /// Notes that one of the item's tasks was placed; its wait starts over.
    auto progressed(queue_item item, time_point now) -> void;
    auto put_aside(queue_item item) -> void;

    /// Offers everything that was put aside again.
    auto wake() -> void;

    [[nodiscard]] auto contains(queue_item item) const -> bool
    {
        return entries_.contains(key_of(item));
    }
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    [[nodiscard]] auto items_aside() const -> std::size_t
    {
        return aside_.size();
    }

    /// The next offer. held(customer) is what the customer holds, as a
    /// fraction of the whole.
    template <class Held>
    [[nodiscard]] auto next(Held&& held) -> std::optional<queue_pick>
    {
        // Short work holds little for long, so it goes ahead of other
        // customers' long work; every fourth decision ignores this, so that
        // a customer gains no lasting advantage by splitting its work.
        auto const first = ++decisions_ % config::fair_share_interval != 0
                               ? short_batch_level
                               : demoted_level;
        for (auto const limit : {service_level, first, demoted_level})
        {
            if (auto const best = least(held, limit))
            {
                return pick(*best, limit == service_level);
            }
        }
        return std::nullopt;
    }

private:
    struct position
    {
        queue_level level;
        std::uint64_t order{0};
        queue_item item;

        auto operator<=>(position const&) const = default;
    };
    struct entry
    {
        customer_ref customer;
        position at;
        time_point since;
        bool aside{false};
    };
    struct customer_entry
    {
        std::optional<permille> weight;
        std::set<position> services;
        std::set<position> batch;
        std::set<std::pair<std::uint64_t, queue_item>> by_age; ///< batch only
        std::uint32_t turns{0};
    };

    static auto key_of(queue_item it) -> std::uint64_t
    {
        return (std::uint64_t{it.job.value()} << 1U) | (it.demoted ? 1U : 0U);
    }
    auto insert(entry const& it) -> void;
    auto erase(entry const& it) -> void;
    auto pick(customer_ref customer, bool is_service) -> queue_pick;

    /// The customer that holds least of those that wait with work up to the
    /// given level.
    template <class Held>
    auto least(Held&& held, queue_level limit) const
        -> std::optional<customer_ref>
    {
        std::optional<customer_ref> best;
        auto lowest = 0.0;
        for (auto const n : offering_)
        {
            auto const& it = customers_[n];
            auto const& waiting =
                limit == service_level ? it.services : it.batch;
            if (waiting.empty() || waiting.begin()->level > limit || !it.weight)
            {
                continue;
            }
            auto const use =
                held(customer_ref{n}) / static_cast<double>(it.weight->value());
            if (!best || use < lowest)
            {
                best = customer_ref{n};
                lowest = use;
            }
        }
        return best;
    }

    std::uint64_t decisions_{0};
    std::vector<customer_entry> customers_;
    std::set<std::uint32_t> offering_; ///< customers with work to offer
    std::unordered_map<std::uint64_t, entry> entries_;
    std::vector<queue_item> aside_;
};

} // namespace apricotlb

#endif
