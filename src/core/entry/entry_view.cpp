#include "core/entry/entry_view.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace apricotlb
{

namespace
{

/// Heartbeats whose answer may still count; older ones are forgotten.
constexpr std::size_t max_unanswered = 64;

} // namespace

auto entry_view::make_heartbeat(time_point now,
                                std::vector<service_demand> demand,
                                std::vector<latency_report> latency,
                                std::vector<share> const& in_use, bool draining)
    -> entry_heartbeat
{
    ++last_number_;
    unanswered_.push_back({last_number_, now, applied_of_});
    if (unanswered_.size() > max_unanswered)
    {
        unanswered_.pop_front();
    }
    if (now >= shares_end_)
    {
        // The leader may have granted these slots to another entry by now.
        shares_.clear();
    }
    // Held is the larger of what may be used and what still runs: a reduced
    // share counts until its requests have ended.
    auto held = shares_;
    for (auto const& it : in_use)
    {
        auto& entry = held[it.backend];
        entry.backend = it.backend;
        entry.slots = std::max(entry.slots, it.slots);
        entry.connections = std::max(entry.connections, it.connections);
    }
    entry_heartbeat out;
    out.session = session_;
    out.number = last_number_;
    out.zone = zone_;
    out.contracts = contracts_;
    out.backends = backends_;
    out.backends_of = backends_of_;
    for (auto const& [id, it] : held)
    {
        out.held.push_back(it);
    }
    out.demand = std::move(demand);
    out.latency = std::move(latency);
    out.draining = draining;
    out.applied = applied_;
    out.applied_term = applied_of_;
    return out;
}

auto entry_view::take(entry_heartbeat_answer const& it) -> bool
{
    if (it.session != session_.run || it.leader_term < leader_term_)
    {
        return false;
    }
    if (!take_contracts(it))
    {
        return false;
    }
    leader_term_ = it.leader_term;
    take_backends(it);
    if (it.number)
    {
        take_lease_and_shares(it);
    }
    return true;
}

auto entry_view::take_contracts(entry_heartbeat_answer const& it) -> bool
{
    if (it.contracts_from > contracts_)
    {
        return false;
    }
    for (auto const& change : it.contracts)
    {
        take_contract(change);
    }
    contracts_ = std::max(contracts_, it.contracts_to);
    return true;
}

auto entry_view::take_contract(contract_change const& it) -> void
{
    auto const& id = it.value.customer;
    auto const old = contracts_by_customer_.find(id);
    if (old != contracts_by_customer_.end())
    {
        if (old->second.at >= it.at)
        {
            return;
        }
        for (auto const& hash : old->second.value.tokens)
        {
            customers_by_token_.erase(hash);
        }
        contracts_by_customer_.erase(old);
    }
    else if (it.at <= contracts_)
    {
        // A change that this entry already holds: the contract was removed.
        return;
    }
    if (it.removed)
    {
        return;
    }
    for (auto const& hash : it.value.tokens)
    {
        customers_by_token_.emplace(hash, id);
    }
    contracts_by_customer_.emplace(id, held_contract{it.value, it.at});
}

auto entry_view::take_backends(entry_heartbeat_answer const& it) -> void
{
    auto const same_leader = it.leader_term == backends_of_;
    if (same_leader && it.backends_to <= backends_)
    {
        return;
    }
    if (same_leader && it.backends_from > backends_)
    {
        return;
    }
    auto const whole = it.backends_from == revision{0};
    if (!whole && !same_leader)
    {
        return;
    }
    if (whole && it.backends_complete)
    {
        backends_by_id_.clear();
        backends_by_service_.clear();
    }
    for (auto const& change : it.backends)
    {
        erase_backend(change.info.id);
        if (!change.removed)
        {
            put_backend(change.info);
        }
    }
    // Until the leader's table is complete, the next heartbeat asks for the
    // whole table again, so that servers it never heard of are dropped then.
    if (it.backends_complete)
    {
        backends_ = it.backends_to;
        backends_of_ = it.leader_term;
    }
}

auto entry_view::put_backend(backend_info const& it) -> void
{
    backends_by_service_[{it.customer, it.service}].insert(it.id);
    backends_by_id_[it.id] = it;
}

auto entry_view::erase_backend(backend_id const& id) -> void
{
    auto const it = backends_by_id_.find(id);
    if (it == backends_by_id_.end())
    {
        return;
    }
    auto const service =
        backends_by_service_.find({it->second.customer, it->second.service});
    service->second.erase(id);
    if (service->second.empty())
    {
        backends_by_service_.erase(service);
    }
    backends_by_id_.erase(it);
}

auto entry_view::take_lease_and_shares(entry_heartbeat_answer const& it) -> void
{
    auto const sent =
        std::ranges::find(unanswered_, *it.number, &sent_heartbeat::number);
    if (sent == unanswered_.end())
    {
        return;
    }
    lease_end_ = std::max(lease_end_, sent->at + config::entry_lease);
    auto const newer = it.leader_term > applied_of_ || *it.number > applied_;
    // The first answer of a new leader may rest on a heartbeat that the former
    // leader also answered; only one that names the new leader decides on
    // shares. A late answer would bring back slots that went elsewhere.
    if (newer && sent->applied_term == it.leader_term)
    {
        shares_end_ = std::max(shares_end_, sent->at + config::entry_lease);
        shares_.clear();
        for (auto const& granted : it.shares)
        {
            shares_[granted.backend] = granted;
        }
    }
    if (newer)
    {
        applied_ = *it.number;
        applied_of_ = it.leader_term;
    }
    unanswered_.erase(unanswered_.begin(), std::next(sent));
}

auto entry_view::has_lease(time_point now) const -> bool
{
    return now < lease_end_;
}

auto entry_view::contract_of(customer_id const& id) const -> contract const*
{
    auto const it = contracts_by_customer_.find(id);
    return it == contracts_by_customer_.end() ? nullptr : &it->second.value;
}

auto entry_view::customer_of(token_hash const& hash) const
    -> std::optional<customer_id>
{
    auto const it = customers_by_token_.find(hash);
    if (it == customers_by_token_.end())
    {
        return std::nullopt;
    }
    return it->second;
}

auto entry_view::backends_of(customer_id const& customer,
                             service_name const& service) const
    -> std::vector<backend_info const*>
{
    std::vector<backend_info const*> out;
    auto const it = backends_by_service_.find({customer, service});
    if (it != backends_by_service_.end())
    {
        for (auto const& id : it->second)
        {
            out.push_back(&backends_by_id_.at(id));
        }
    }
    return out;
}

auto entry_view::backend(backend_id const& id) const -> backend_info const*
{
    auto const it = backends_by_id_.find(id);
    return it == backends_by_id_.end() ? nullptr : &it->second;
}

auto entry_view::share_of(backend_id const& id, time_point now) const -> share
{
    auto const it = shares_.find(id);
    if (it == shares_.end() || now >= shares_end_)
    {
        return {id, {}, {}};
    }
    return it->second;
}

auto entry_view::builder::node(node_id it) -> builder&
{
    session_.entry = std::move(it);
    return *this;
}

auto entry_view::builder::run(incarnation it) -> builder&
{
    session_.run = it;
    return *this;
}

auto entry_view::builder::zone(zone_id it) -> builder&
{
    zone_ = std::move(it);
    return *this;
}

auto entry_view::builder::build() const -> entry_view
{
    entry_view out;
    out.session_ = session_;
    out.zone_ = zone_;
    return out;
}

} // namespace apricotlb
