/// The replicated state, to which the commands of the log are applied in order.
#ifndef APRICOTLB_CORE_STATE_STATE_MACHINE_HPP
#define APRICOTLB_CORE_STATE_STATE_MACHINE_HPP

#include "core/state/commands.hpp"
#include "core/state/contract_registry.hpp"
#include "core/state/contract_set_registry.hpp"
#include "core/state/evacuation_registry.hpp"
#include "core/state/job_table.hpp"
#include "core/state/key_registry.hpp"
#include "core/state/worker_registry.hpp"
#include "core/state/workflow_table.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace apricotlb
{

/// The state as plain data. Commitments, lists of waiting work and lists of
/// keys are left out, because they follow from the rest.
struct state_snapshot
{
    log_index applied;
    contracts_snapshot contracts;
    std::vector<worker_info> workers;
    jobs_snapshot jobs;
    std::vector<key_record> keys;
    std::vector<interference_entry> interference;
    std::optional<contract_set> contract_sets; ///< the current one, if any
    workflows_snapshot workflows;
    std::vector<zone_id> evacuated; ///< data centres, in order

    static constexpr auto fields()
    {
        return field_list(
            field("applied", &state_snapshot::applied),
            field("contracts", &state_snapshot::contracts),
            field("workers", &state_snapshot::workers),
            field("jobs", &state_snapshot::jobs),
            field("keys", &state_snapshot::keys),
            field("interference", &state_snapshot::interference),
            field("contract_sets", &state_snapshot::contract_sets),
            field("workflows", &state_snapshot::workflows),
            field("evacuated", &state_snapshot::evacuated));
    }
};

template <>
inline constexpr std::size_t optional_fields<state_snapshot> = 1;

/// Applies commands deterministically: the same commands at the same indices
/// give the same state and answers on every replica. The revision of a change
/// is its log index.
class state_machine
{
public:
    state_machine() = default;
    explicit state_machine(state_snapshot from);

    /// Applies the command at the given index. A refused command changes
    /// nothing but the recorded change ids.
    auto apply(command const& entry, log_index index) -> apply_result;

    [[nodiscard]] auto snapshot() const -> state_snapshot;

    /// Index of the last applied command.
    [[nodiscard]] auto applied() const -> log_index { return applied_; }

    [[nodiscard]] auto contracts() const -> contract_registry const&
    {
        return contracts_;
    }
    [[nodiscard]] auto workers() const -> worker_registry const&
    {
        return workers_;
    }
    [[nodiscard]] auto jobs() const -> job_table const& { return jobs_; }
    [[nodiscard]] auto keys() const -> key_registry const& { return keys_; }
    [[nodiscard]] auto contract_sets() const -> contract_set_registry const&
    {
        return contract_sets_;
    }
    [[nodiscard]] auto workflows() const -> workflow_table const&
    {
        return workflows_;
    }
    [[nodiscard]] auto evacuations() const -> evacuation_registry const&
    {
        return evacuations_;
    }
    [[nodiscard]] auto interference() const
        -> std::vector<interference_entry> const&
    {
        return interference_;
    }

private:
    log_index applied_;
    contract_registry contracts_;
    worker_registry workers_;
    job_table jobs_;
    key_registry keys_;
    std::vector<interference_entry> interference_;
    contract_set_registry contract_sets_;
    workflow_table workflows_;
    evacuation_registry evacuations_;
};

} // namespace apricotlb

#endif
