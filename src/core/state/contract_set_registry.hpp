/// The set of queues and pools in force.
#ifndef APRICOTLB_CORE_STATE_CONTRACT_SET_REGISTRY_HPP
#define APRICOTLB_CORE_STATE_CONTRACT_SET_REGISTRY_HPP

#include "core/state/commands.hpp"

#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace apricotlb
{

/// A queue and the part of a path behind its prefix.
struct queue_match
{
    queue_contract const* queue;
    std::string_view rest;
};

/// Holds the set with the highest version.
class contract_set_registry
{
public:
    contract_set_registry() = default;
    explicit contract_set_registry(std::optional<contract_set> current);

    /// A version that is not higher than the held one is acknowledged and
    /// changes nothing, so that an operator may repeat any order.
    auto apply(apply_contract_set const& it, revision at) -> apply_result;

    /// The set in force; none before the first one.
    [[nodiscard]] auto current() const -> std::optional<contract_set> const&
    {
        return current_;
    }
    [[nodiscard]] auto queue(queue_name const& name) const
        -> queue_contract const*;
    [[nodiscard]] auto pool(pool_name const& name) const
        -> pool_contract const*;
    /// The queue with the longest prefix of a path at a host.
    [[nodiscard]] auto match(host_name const& host, std::string_view path) const
        -> std::optional<queue_match>;

private:
    auto rebuild_index() -> void;

    std::optional<contract_set> current_;
    std::map<queue_name, std::size_t> queue_by_name_;
    std::map<std::pair<host_name, queue_path>, std::size_t> queue_by_prefix_;
};

} // namespace apricotlb

#endif
