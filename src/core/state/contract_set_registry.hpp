/// The current set of queues and pools.
#ifndef APRICOTLB_CORE_STATE_CONTRACT_SET_REGISTRY_HPP
#define APRICOTLB_CORE_STATE_CONTRACT_SET_REGISTRY_HPP

#include "core/state/commands.hpp"
#include "core/workflow/queue_place.hpp"

#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace apricotlb
{

/// A queue, and the part of a request path that follows its prefix.
struct queue_match
{
    queue_contract const* queue;
    std::string_view rest;
};

/// Keeps the set with the highest version.
class contract_set_registry
{
public:
    contract_set_registry() = default;
    explicit contract_set_registry(std::optional<contract_set> current);

    /// Acknowledges a version that is not higher than the current one without
    /// a change, so that an operator may resend any set.
    auto apply(apply_contract_set const& it, revision at) -> apply_result;

    /// The set with the highest version; none before the first one.
    [[nodiscard]] auto current() const -> std::optional<contract_set> const&
    {
        return current_;
    }
    [[nodiscard]] auto queue(queue_name const& name) const
        -> queue_contract const*;
    [[nodiscard]] auto pool(pool_name const& name) const
        -> pool_contract const*;
    /// The queue of a host that has the longest matching prefix of a path; the
    /// path is not percent-encoded.
    [[nodiscard]] auto match(host_name const& host, std::string_view path) const
        -> std::optional<queue_match>;

private:
    auto rebuild_index() -> void;

    std::optional<contract_set> current_;
    std::map<queue_name, std::size_t> queue_by_name_;
    std::map<queue_place, std::size_t> queue_by_place_;
};

} // namespace apricotlb

#endif
