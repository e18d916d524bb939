/// An entry's copy of the control leader's decisions: lease, contracts, backend
/// servers and shares.
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

/// Follows the leader by heartbeats. Without a lease the entry may admit no
/// work and use no share.
class entry_view
{
public:
    class builder;

    /// Builds the next heartbeat from the state of this view and the given load
    /// of the entry. When a share is reduced, the heartbeat at once stops
    /// reporting the slots beyond the share that no request uses.
    [[nodiscard]] auto make_heartbeat(time_point now,
                                      std::vector<service_demand> demand,
                                      std::vector<latency_report> latency,
                                      std::vector<share> const& in_use,
                                      bool draining) -> entry_heartbeat;

    /// Applies an answer. Returns false and ignores it if it is for another run
    /// of this entry, comes from an earlier leader or skips contract changes.
    auto take(entry_heartbeat_answer const& it) -> bool;

    /// True while the entry may admit work.
    [[nodiscard]] auto has_lease(time_point now) const -> bool;
    [[nodiscard]] auto lease_end() const -> time_point { return lease_end_; }

    [[nodiscard]] auto contract_of(customer_id const& id) const
        -> contract const*;

    /// The customer whose contract lists the hash of a caller's token.
    [[nodiscard]] auto customer_of(token_hash const& hash) const
        -> std::optional<customer_id>;

    /// The backend servers of one customer's service.
    [[nodiscard]] auto backends_of(customer_id const& customer,
                                   service_name const& service) const
        -> std::vector<backend_info const*>;

    [[nodiscard]] auto backend(backend_id const& id) const
        -> backend_info const*;

    /// Slots and connections of a backend server that this entry may use; zero
    /// without a lease.
    [[nodiscard]] auto share_of(backend_id const& id, time_point now) const
        -> share;

    [[nodiscard]] auto session() const -> entry_session const&
    {
        return session_;
    }
    [[nodiscard]] auto zone() const -> zone_id const& { return zone_; }
    [[nodiscard]] auto contracts_revision() const -> revision
    {
        return contracts_;
    }
    [[nodiscard]] auto leader_term() const -> term { return leader_term_; }

private:
    using service_key = std::pair<customer_id, service_name>;

    struct sent_heartbeat
    {
        sequence number;
        time_point sent_at;
        term applied_term; ///< leader whose answer was applied last by then
    };

    struct held_contract
    {
        contract value;
        revision changed_at;
    };

    entry_view() = default;
    auto apply_contracts(entry_heartbeat_answer const& it) -> bool;
    auto apply_contract(contract_change const& it) -> void;
    auto apply_backends(entry_heartbeat_answer const& it) -> void;
    auto add_backend(backend_info const& it) -> void;
    auto remove_backend(backend_id const& id) -> void;
    auto apply_lease_and_shares(entry_heartbeat_answer const& it) -> void;

    entry_session session_;
    zone_id zone_;
    sequence last_number_{};
    std::deque<sent_heartbeat> unanswered_; ///< oldest first
    time_point lease_end_{};
    time_point shares_end_{};
    sequence applied_{}; ///< heartbeat whose answer was applied last
    term applied_of_{};  ///< leader that sent that answer
    term leader_term_{};
    revision contracts_{}; ///< of the contracts held
    revision backends_{};  ///< of the backend servers held
    term backends_of_{};   ///< leader that `backends_` belongs to
    std::map<customer_id, held_contract> contracts_by_customer_;
    std::unordered_map<token_hash, customer_id> customers_by_token_;
    std::unordered_map<backend_id, backend_info> backends_by_id_;
    std::map<service_key, std::set<backend_id>> backends_by_service_;
    std::unordered_map<backend_id, share> shares_;
};

/// Builds the empty view of one run of an entry process.
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
