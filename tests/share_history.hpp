/// Entries that follow the rules of the share ledger, and random histories.
#ifndef APRICOTLB_TESTS_SHARE_HISTORY_HPP
#define APRICOTLB_TESTS_SHARE_HISTORY_HPP

#include "core/leader/share_ledger.hpp"
#include "property.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb::share_history
{

using namespace std::chrono_literals;

inline constexpr auto lease = config::with_drift(config::entry_lease);
inline constexpr time_point elected{10s};
inline constexpr auto settled = elected + lease;
inline auto const customer = customer_id{"survey"};
inline auto const orders = service_name{"orders"};

inline auto backend_of(std::string id, std::int32_t slots,
                       std::string zone = "z0") -> backend_info
{
    backend_info it;
    it.id = backend_id{std::move(id)};
    it.customer = customer;
    it.service = orders;
    it.zone = zone_id{std::move(zone)};
    it.slots = slot_count{slots};
    it.connections = connection_count{slots * 8};
    return it;
}

inline auto total(std::vector<share> const& shares) -> std::int32_t
{
    std::int32_t n{0};
    for (auto const& it : shares)
    {
        n += it.slots.value();
    }
    return n;
}

/// An entry that follows the rules of the ledger's page. Its clock may run
/// slow within the drift, so that its leases last longer.
class model_entry
{
public:
    model_entry(std::string id, duration lasts, bool careful = true)
        : id_(std::move(id)), lasts_(lasts), careful_(careful)
    {
    }

    auto restart() -> void
    {
        ++run_;
        shares_.clear();
        in_use.clear();
        applied_ = sequence{0};
        applied_of_ = term{0};
    }

    auto beat(time_point now, std::int64_t demand) -> entry_heartbeat
    {
        lapse(now);
        entry_heartbeat it;
        it.session = {node_id{id_}, incarnation{run_}};
        it.number = ++number_;
        it.zone = zone_id{"z0"};
        it.applied = applied_;
        it.applied_term = applied_of_;
        for (auto const& [backend, n] : holds(now))
        {
            it.held.push_back(
                {backend, slot_count{n}, connection_count{n * 8}});
        }
        it.demand.push_back(
            {customer, orders, request_count{demand}, request_count{0}});
        sent_[number_] = {now, applied_of_};
        return it;
    }

    auto apply(term of, incarnation run, sequence number,
               std::vector<share> const& shares, time_point now) -> void
    {
        lapse(now);
        if (run != incarnation{run_} || of < applied_of_ ||
            (of == applied_of_ && number <= applied_))
        {
            return;
        }
        applied_of_ = of;
        applied_ = number;
        auto const& [sent, leader] = sent_[number];
        if (careful_ && leader != of)
        {
            return; // sent before this entry knew the leader
        }
        shares_.clear();
        for (auto const& it : shares)
        {
            shares_[it.backend] = it.slots.value();
        }
        ends_ = sent + lasts_;
    }

    /// Slots that it may use, or still uses after they were taken back.
    auto holds(time_point now) -> std::map<backend_id, std::int32_t>
    {
        lapse(now);
        auto held = shares_;
        for (auto const& [backend, n] : in_use)
        {
            held[backend] = std::max(held[backend], n);
        }
        return held;
    }

    auto use(backend_id const& backend, std::int32_t n, time_point now) -> void
    {
        lapse(now);
        auto const mine = shares_.find(backend);
        auto const most = mine == shares_.end() ? 0 : mine->second;
        auto& used = in_use[backend];
        used = n > used ? std::max(used, std::min(n, most)) : n;
    }

    std::map<backend_id, std::int32_t> in_use;

private:
    auto lapse(time_point now) -> void
    {
        if (now >= ends_)
        {
            shares_.clear();
            in_use.clear();
        }
    }

    std::string id_;
    duration lasts_;
    bool careful_; // follows the rule on answers of a new leader
    std::uint64_t run_{1};
    sequence number_;
    sequence applied_;
    term applied_of_;
    time_point ends_;
    std::map<sequence, std::pair<time_point, term>> sent_;
    std::map<backend_id, std::int32_t> shares_;
};

/// Runs one random history of entries, lost, repeated and reordered
/// messages, restarts and changes of leader. Returns what was broken.
template <class Ledger>
inline auto run_history(steps const& drawn, bool careful = true) -> std::string
{
    struct flying
    {
        std::size_t entry{0};
        entry_heartbeat beat;
        std::optional<std::vector<share>> answer;
        term of;
    };
    constexpr std::int32_t size = 4;
    std::array<model_entry, 3> entries{
        model_entry{"e0", config::entry_lease, careful},
        model_entry{"e1", lease, careful},
        model_entry{"e2", config::entry_lease - 100ms, careful}};
    std::array<backend_id, 2> const backends{backend_id{"b0"},
                                             backend_id{"b1"}};
    auto now = elected;
    term of{1};
    std::optional<Ledger> ledger{std::in_place, of, now};
    std::vector<flying> link;
    for (auto const step : drawn)
    {
        choices pick{step};
        now += milliseconds{pick.below(8) == 0 ? pick.below(1500)
                                               : pick.below(40)};
        auto const n = pick.below(3);
        auto const& backend = backends[pick.below(2)];
        auto const kind = pick.below(40);
        if (kind < 10)
        {
            link.push_back({n, entries[n].beat(now, pick.below(10)), {}, {}});
        }
        else if (kind < 30 && !link.empty())
        {
            // Mostly the newest message; at times any, again or never.
            auto const newest = static_cast<std::uint32_t>(link.size()) - 1;
            auto const at =
                pick.below(4) == 0 ? pick.below(newest + 1) : newest;
            auto it = link[at];
            if (pick.below(8) != 0)
            {
                link.erase(link.begin() + at);
            }
            if (it.answer)
            {
                entries[it.entry].apply(it.of, it.beat.session.run,
                                        it.beat.number, *it.answer, now);
            }
            else if (it.answer = ledger->on_heartbeat(it.beat, now);
                     it.answer && pick.below(8) != 0)
            {
                it.of = of;
                link.push_back(it);
            }
        }
        else if (kind < 36)
        {
            entries[n].use(
                backend, static_cast<std::int32_t>(pick.below(size + 1)), now);
        }
        else if (kind < 38)
        {
            ledger->set_backend(backend_of(backend.value(), size));
        }
        else if (kind == 38 && pick.below(4) == 0)
        {
            ++of;
            ledger.emplace(of, now);
        }
        else if (kind == 39 && pick.below(4) == 0)
        {
            entries[n].restart();
        }
        for (auto const& id : backends)
        {
            std::int32_t sum{0};
            for (auto& it : entries)
            {
                auto const held = it.holds(now);
                auto const found = held.find(id);
                sum += found == held.end() ? 0 : found->second;
            }
            if (sum > size)
            {
                return id.value() + ": " + std::to_string(sum) +
                       " slots held of " + std::to_string(size);
            }
        }
    }
    return {};
}

} // namespace apricotlb::share_history

#endif
