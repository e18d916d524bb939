/// An entry's copy of what the control leader decides: its lease, contracts,
/// backend servers and shares.
#ifndef APRICOTLB_CORE_ENTRY_ENTRY_VIEW_HPP
#define APRICOTLB_CORE_ENTRY_ENTRY_VIEW_HPP

#include "core/messages.hpp"

#include <apricotlb/time.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Follows the leader by heartbeats. Nothing is valid without a lease.
class entry_view
{
public:
    class builder;

    /// The next heartbeat. Demand, latency and what is in use come from the
    /// entry; unused slots beyond a reduced share are dropped at once.
    [[nodiscard]] auto make_heartbeat(time_point now,
                                      std::vector<service_demand> demand,
                                      std::vector<latency_report> latency,
                                      std::vector<share> const& in_use,
                                      bool draining) -> entry_heartbeat;

    /// Takes an answer; false when it is for another run, older than what is
    /// held, or has a gap, and was ignored.
    auto take(entry_heartbeat_answer const& it) -> bool;

    /// True while the entry may admit work.
    [[nodiscard]] auto has_lease(time_point now) const -> bool;
    [[nodiscard]] auto lease_end() const -> time_point { return lease_end_; }

    [[nodiscard]] auto contract_of(customer_id const& id) const
        -> contract const*;

    /// The customer that a caller's token acts for.
    [[nodiscard]] auto customer_of(token_hash const& hash) const
        -> std::optional<customer_id>;

    /// The backend servers of one customer's service.
    [[nodiscard]] auto backends_of(customer_id const& customer,
                                   service_name const& service) const
        -> std::vector<backend_info const*>;

    [[nodiscard]] auto backend(backend_id const& id) const
        -> backend_info const*;

    /// What the entry may use of a backend server; zero without a lease.
    [[nodiscard]] auto share_of(backend_id const& id, time_point now) const
        -> share;

    [[nodiscard]] auto session() const -> entry_session const&
    {
        return session_;
    }
    [[nodiscard]] auto zone() const -> zone_id const& { return zone_; }
    [[nodiscard]] auto contracts_at() const -> revision { return contracts_; }
    [[nodiscard]] auto leader_term() const -> term { return leader_term_; }

private:
    using service_key = std::pair<customer_id, service_name>;

    struct sent_heartbeat
    {
        sequence number;
        time_point at;
        term applied_term; ///< the leader named in it
    };

    struct held_contract
    {
        contract value;
        revision at;
    };

    entry_view() = default;
    auto take_contracts(entry_heartbeat_answer const& it) -> bool;
    auto take_contract(contract_change const& it) -> void;
    auto take_backends(entry_heartbeat_answer const& it) -> void;
    auto put_backend(backend_info const& it) -> void;
    auto erase_backend(backend_id const& id) -> void;
    auto take_lease_and_shares(entry_heartbeat_answer const& it) -> void;

    entry_session session_;
    zone_id zone_;
    sequence last_number_{};
    std::deque<sent_heartbeat> unanswered_;
    time_point lease_end_{};
    time_point shares_end_{};
    sequence applied_{};
    term applied_of_{};
    term leader_term_{};
    revision contracts_{};
    revision backends_{};
    term backends_of_{};
    std::map<customer_id, held_contract> contracts_by_customer_;
    std::unordered_map<token_hash, customer_id> customers_by_token_;
    std::unordered_map<backend_id, backend_info> backends_by_id_;
    std::map<service_key, std::set<backend_id>> backends_by_service_;
    std::unordered_map<backend_id, share> shares_;
};

/// Builds the view of one run of an entry process.
class entry_view::builder
{
public:
    auto node(node_id it) -> builder&;
    auto run(incarnation it) -> builder&;
    auto zone(zone_id it) -> builder&;
    [[nodiscard]] auto build() const -> entry_view;

private:
    entry_session session_;
    zone_id zone_;
};

} // namespace apricotlb

#endif
