#include "core/state/contract_registry.hpp"

#include <apricotlb/config.hpp>

#include <string>
#include <utility>

namespace apricotlb
{

contract_registry::contract_registry(contracts_snapshot from)
{
    for (auto& it : from.contracts)
    {
        auto const customer = it.current.value.customer;
        by_revision_.emplace(it.current.at, customer);
        contracts_.emplace(customer, std::move(it));
    }
    for (auto& it : from.changes)
    {
        record_change(std::move(it));
    }
}

auto contract_registry::apply(apply_contract const& it, revision at)
    -> apply_result
{
    return apply_change({it.value, false, it.change, it.changed_by, {}}, at);
}

auto contract_registry::apply(remove_contract const& it, revision at)
    -> apply_result
{
    contract value;
    value.customer = it.customer;
    value.version = it.version;
    return apply_change({std::move(value), true, it.change, it.changed_by, {}},
                        at);
}

auto contract_registry::apply_change(change_record it, revision at)
    -> apply_result
{
    auto const recorded = change_by_id_.find({it.value.customer, it.change});
    if (recorded != change_by_id_.end())
    {
        auto const& first = *recorded->second;
        if (first.value == it.value && first.removal == it.removal &&
            first.changed_by == it.changed_by)
        {
            return first.answer;
        }
        return apply_result::refuse(
            error_kind::change_reused,
            "change " + it.change.value() + " was used by " +
                first.changed_by.value() + " with other content for version " +
                std::to_string(first.value.version.value()));
    }
    it.answer = apply_new_change(it, at);
    auto answer = it.answer;
    record_change(std::move(it));
    return answer;
}

auto contract_registry::apply_new_change(change_record const& it, revision at)
    -> apply_result
{
    auto const& customer = it.value.customer;
    auto const found = contracts_.find(customer);
    if (it.removal &&
        (found == contracts_.end() || found->second.current.removed))
    {
        return apply_result::refuse(error_kind::unknown_customer,
                                    "no contract for " + customer.value());
    }
    auto const current = found == contracts_.end()
                             ? contract_version{0}
                             : found->second.current.value.version;
    if (it.value.version != current + contract_version{1})
    {
        auto detail = "version " + std::to_string(it.value.version.value()) +
                      " is not the successor of " +
                      std::to_string(current.value());
        if (found != contracts_.end())
        {
            detail += ", set by " + found->second.changed_by.value() +
                      " in change " + found->second.change.value();
        }
        return apply_result::refuse(error_kind::version_conflict,
                                    std::move(detail));
    }
    auto& record = contracts_[customer];
    by_revision_.erase(record.current.at);
    by_revision_.emplace(at, customer);
    if (it.removal)
    {
        record.current.value.version = it.value.version;
    }
    else
    {
        record.current.value = it.value;
    }
    record.current.at = at;
    record.current.removed = it.removal;
    record.change = it.change;
    record.changed_by = it.changed_by;
    apply_result answer;
    answer.at = at;
    answer.version = it.value.version;
    return answer;
}

auto contract_registry::record_change(change_record it) -> void
{
    auto const customer = it.value.customer;
    auto const id = it.change;
    auto const kept = changes_.insert(changes_.end(), std::move(it));
    change_by_id_.emplace(change_key{customer, id}, kept);
    auto& customer_changes = by_customer_[customer];
    customer_changes.push_back(kept);
    if (customer_changes.size() > config::max_changes_per_customer)
    {
        remove_change(customer_changes.front());
    }
    if (changes_.size() > config::max_changes)
    {
        remove_change(changes_.begin());
    }
}

auto contract_registry::remove_change(change_list::iterator it) -> void
{
    // Only the oldest change of a customer is removed: the oldest change of all
    // customers is also the oldest of its customer.
    auto const customer_changes = by_customer_.find(it->value.customer);
    customer_changes->second.pop_front();
    if (customer_changes->second.empty())
    {
        by_customer_.erase(customer_changes);
    }
    change_by_id_.erase({it->value.customer, it->change});
    changes_.erase(it);
}

auto contract_registry::find(customer_id const& customer) const
    -> contract const*
{
    auto const it = contracts_.find(customer);
    return it == contracts_.end() || it->second.current.removed
               ? nullptr
               : &it->second.current.value;
}

auto contract_registry::changes_since(revision since) const
    -> std::vector<contract_change>
{
    std::vector<contract_change> found;
    for (auto it = by_revision_.upper_bound(since); it != by_revision_.end();
         ++it)
    {
        found.push_back(contracts_.at(it->second).current);
    }
    return found;
}

auto contract_registry::newest_revision() const -> revision
{
    return by_revision_.empty() ? revision{0} : by_revision_.rbegin()->first;
}

auto contract_registry::snapshot() const -> contracts_snapshot
{
    contracts_snapshot taken;
    for (auto const& [customer, it] : contracts_)
    {
        taken.contracts.push_back(it);
    }
    taken.changes.assign(changes_.begin(), changes_.end());
    return taken;
}

} // namespace apricotlb
