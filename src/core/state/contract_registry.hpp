/// Contracts by customer, with their revisions and recent change ids.
#ifndef APRICOTLB_CORE_STATE_CONTRACT_REGISTRY_HPP
#define APRICOTLB_CORE_STATE_CONTRACT_REGISTRY_HPP

#include "core/messages.hpp"
#include "core/state/commands.hpp"

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace apricotlb
{

/// The current contract of a customer, or its tombstone, with the operator who
/// set it.
struct contract_record
{
    contract_change current;
    change_id change;
    operator_name changed_by;

    static constexpr auto fields()
    {
        return field_list(field("current", &contract_record::current),
                          field("change", &contract_record::change),
                          field("by", &contract_record::changed_by));
    }
};

/// A change and the first answer to it. For a removal, value has only the
/// customer and the version.
struct change_record
{
    contract value;
    bool removal{false};
    change_id change;
    operator_name changed_by;
    apply_result answer;

    static constexpr auto fields()
    {
        return field_list(field("value", &change_record::value),
                          field("removal", &change_record::removal),
                          field("change", &change_record::change),
                          field("by", &change_record::changed_by),
                          field("answer", &change_record::answer));
    }
};

struct contracts_snapshot
{
    std::vector<contract_record> contracts;
    std::vector<change_record> changes; ///< oldest first

    static constexpr auto fields()
    {
        return field_list(field("contracts", &contracts_snapshot::contracts),
                          field("changes", &contracts_snapshot::changes));
    }
};

/// Applies changes of contracts, which were checked before they entered the
/// log. Tombstones are never removed, because a later contract of the same
/// customer continues their versions.
class contract_registry
{
public:
    contract_registry() = default;
    explicit contract_registry(contracts_snapshot from);
    contract_registry(contract_registry const&) = delete;
    auto operator=(contract_registry const&) -> contract_registry& = delete;
    contract_registry(contract_registry&&) = default;
    auto operator=(contract_registry&&) -> contract_registry& = default;
    ~contract_registry() = default;

    auto apply(apply_contract const& it, revision at) -> apply_result;
    auto apply(remove_contract const& it, revision at) -> apply_result;

    /// The current contract, or null if there is none.
    [[nodiscard]] auto find(customer_id const& customer) const
        -> contract const*;

    /// Changes after the given revision in their order, including tombstones.
    /// The cost is proportional to the number of these changes.
    [[nodiscard]] auto changes_since(revision since) const
        -> std::vector<contract_change>;

    /// Revision of the last change, 0 if there is none.
    [[nodiscard]] auto newest_revision() const -> revision;

    [[nodiscard]] auto snapshot() const -> contracts_snapshot;

private:
    using change_list = std::list<change_record>;
    using change_key = std::pair<customer_id, change_id>;

    auto apply_change(change_record it, revision at) -> apply_result;
    auto apply_new_change(change_record const& it, revision at) -> apply_result;
    auto record_change(change_record it) -> void;
    auto remove_change(change_list::iterator it) -> void;

    std::map<customer_id, contract_record> contracts_;
    std::map<revision, customer_id> by_revision_;
    change_list changes_; // oldest first
    std::map<change_key, change_list::iterator> change_by_id_;
    std::map<customer_id, std::deque<change_list::iterator>> by_customer_;
};

} // namespace apricotlb

#endif
