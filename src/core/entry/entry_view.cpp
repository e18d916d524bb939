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

/// Heartbeats whose answer is still accepted; older ones are discarded.
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
    // Held is the larger of the share and the slots in use: slots taken away
    // by a reduced share stay held until the requests on them have ended.
    auto held = shares_;
    for (auto const& used : in_use)
    {
        auto& reported = held[used.backend];
        reported.backend = used.backend;
        reported.slots = std::max(reported.slots, used.slots);
        reported.connections = std::max(reported.connections, used.connections);
    }
    entry_heartbeat out;
    out.session = session_;
    out.number = last_number_;
    out.zone = zone_;
    out.contracts = contracts_;
    out.backends = backends_;
    out.backends_of = backends_of_;
    for (auto const& [id, reported] : held)
    {
        out.held.push_back(reported);
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
    if (!apply_contracts(it))
    {
        return false;
    }
    leader_term_ = it.leader_term;
    apply_backends(it);
    if (it.number)
    {
        apply_lease_and_shares(it);
    }
    return true;
}

auto entry_view::apply_contracts(entry_heartbeat_answer const& it) -> bool
{
    if (it.contracts_from > contracts_)
    {
        return false;
    }
    for (auto const& change : it.contracts)
    {
        apply_contract(change);
    }
    contracts_ = std::max(contracts_, it.contracts_to);
    return true;
}

auto entry_view::apply_contract(contract_change const& it) -> void
{
    auto const& id = it.value.customer;
    auto const previous = contracts_by_customer_.find(id);
    if (previous != contracts_by_customer_.end())
    {
        if (previous->second.changed_at >= it.at)
        {
            return;
        }
        for (auto const& hash : previous->second.value.tokens)
        {
            customers_by_token_.erase(hash);
        }
        contracts_by_customer_.erase(previous);
    }
    else if (it.at <= contracts_)
    {
        // The contracts held already include this change and the later removal
        // of the contract.
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

auto entry_view::apply_backends(entry_heartbeat_answer const& it) -> void
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
    auto const is_full_table = it.backends_from == revision{0};
    if (!is_full_table && !same_leader)
    {
        return;
    }
    if (is_full_table && it.backends_complete)
    {
        backends_by_id_.clear();
        backends_by_service_.clear();
    }
    for (auto const& change : it.backends)
    {
        remove_backend(change.info.id);
        if (!change.removed)
        {
            add_backend(change.info);
        }
    }
    // While the leader's table is incomplete, the next heartbeat requests the
    // full table again. The complete table then removes the servers that are
    // not announced to this leader.
    if (it.backends_complete)
    {
        backends_ = it.backends_to;
        backends_of_ = it.leader_term;
    }
}

auto entry_view::add_backend(backend_info const& it) -> void
{
    backends_by_service_[{it.customer, it.service}].insert(it.id);
    backends_by_id_[it.id] = it;
}

auto entry_view::remove_backend(backend_id const& id) -> void
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

auto entry_view::apply_lease_and_shares(entry_heartbeat_answer const& it)
    -> void
{
    auto const sent =
        std::ranges::find(unanswered_, *it.number, &sent_heartbeat::number);
    if (sent == unanswered_.end())
    {
        return;
    }
    lease_end_ = std::max(lease_end_, sent->sent_at + config::entry_lease);
    auto const is_newer = it.leader_term > applied_of_ || *it.number > applied_;
    // The first answer of a new leader may be for a heartbeat that the former
    // leader answered too. Only the answer to a heartbeat that names the new
    // leader changes the shares. A late answer is not applied, since it could
    // return slots that another entry has been granted in the meantime.
    if (is_newer && sent->applied_term == it.leader_term)
    {
        shares_end_ =
            std::max(shares_end_, sent->sent_at + config::entry_lease);
        shares_.clear();
        for (auto const& granted : it.shares)
        {
            shares_[granted.backend] = granted;
        }
    }
    if (is_newer)
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
