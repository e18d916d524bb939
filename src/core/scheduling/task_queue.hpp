/// Queue of waiting work in the order in which it is offered for placement.
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
inline constexpr queue_level short_batch_level{3}; ///< up to 8 s of run time
inline constexpr queue_level demoted_level{12};

/// The level of batch work with this expected run time.
[[nodiscard]] auto level_of(duration run_time) -> queue_level;

/// The waiting tasks of one job. Demoted tasks (stragglers) form an item of
/// their own.
struct queue_item
{
    job_ref job;
    bool demoted{false};

    auto operator<=>(queue_item const&) const = default;
};

/// An item that is offered for placement.
struct queue_pick
{
    customer_ref customer;
    queue_item item;
    time_point since;      ///< start of the wait or last placement
    bool is_oldest{false}; ///< offered as the customer's oldest batch item
};

/// Weighted fair queueing among customers: the customer with the smallest share
/// of resources relative to its weight comes next. Within a customer services
/// come first, then short work. An item that cannot be placed is deferred until
/// the next resume_deferred(), so that it does not block other items.
class task_queue
{
public:
    /// Sets the customer's weight; the work of a customer without a weight is
    /// not offered.
    auto set_weight(customer_ref customer, std::optional<permille> weight)
        -> void;

    /// Adds an item, or moves it to another level. `order` is the sequence
    /// number of the job.
    auto put(customer_ref customer, queue_item item, queue_level level,
             std::uint64_t order, time_point since) -> void;
    auto remove(queue_item item) -> void;

    /// Restarts the wait of an item after one of its tasks was placed.
    auto reset_wait(queue_item item, time_point now) -> void;
    /// Excludes an item from offers until the next resume_deferred().
    auto defer(queue_item item) -> void;

    /// Makes all deferred items available again.
    auto resume_deferred() -> void;

    [[nodiscard]] auto contains(queue_item item) const -> bool
    {
        return entries_.contains(key_of(item));
    }
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    [[nodiscard]] auto deferred_count() const -> std::size_t
    {
        return deferred_.size();
    }

    /// The next item to place. held_share(customer) returns the fraction of all
    /// resources that the customer holds.
    template <class Held>
    [[nodiscard]] auto next(Held&& held_share) -> std::optional<queue_pick>
    {
        // Short work releases its resources soon, so it is offered before the
        // long work of other customers. Every fourth decision ignores this, so
        // that a customer gains no lasting advantage by splitting its work.
        auto const level_limit = ++decisions_ % config::fair_share_interval != 0
                                     ? short_batch_level
                                     : demoted_level;
        for (auto const limit : {service_level, level_limit, demoted_level})
        {
            if (auto const best = least_served_customer(held_share, limit))
            {
                return pick_item(*best, limit == service_level);
            }
        }
        return std::nullopt;
    }

private:
    struct sort_key
    {
        queue_level level;
        std::uint64_t order{0};
        queue_item item;

        auto operator<=>(sort_key const&) const = default;
    };
    struct entry
    {
        customer_ref customer;
        sort_key key;
        time_point since;
        bool is_deferred{false};
    };
    struct customer_entry
    {
        std::optional<permille> weight;
        std::set<sort_key> services;
        std::set<sort_key> batch;
        std::set<std::pair<std::uint64_t, queue_item>>
            by_age; ///< batch items by job order
        std::uint32_t batch_picks{0};
    };

    static auto key_of(queue_item it) -> std::uint64_t
    {
        return (std::uint64_t{it.job.value()} << 1U) | (it.demoted ? 1U : 0U);
    }
    auto insert(entry const& it) -> void;
    auto erase(entry const& it) -> void;
    auto pick_item(customer_ref customer, bool is_service) -> queue_pick;

    /// The customer with the smallest weighted share of those with waiting work
    /// up to the given level.
    template <class Held>
    auto least_served_customer(Held&& held_share, queue_level limit) const
        -> std::optional<customer_ref>
    {
        std::optional<customer_ref> best;
        auto lowest_share = 0.0;
        for (auto const customer : customers_with_work_)
        {
            auto const& it = customers_[customer];
            auto const& waiting =
                limit == service_level ? it.services : it.batch;
            if (waiting.empty() || waiting.begin()->level > limit || !it.weight)
            {
                continue;
            }
            auto const weighted_share = held_share(customer_ref{customer}) /
                                        static_cast<double>(it.weight->value());
            if (!best || weighted_share < lowest_share)
            {
                best = customer_ref{customer};
                lowest_share = weighted_share;
            }
        }
        return best;
    }

    std::uint64_t decisions_{0};
    std::vector<customer_entry> customers_;
    std::set<std::uint32_t> customers_with_work_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::vector<queue_item> deferred_;
};

} // namespace apricotlb

#endif
