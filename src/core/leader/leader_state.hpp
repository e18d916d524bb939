/// What the control leader does beside the log: entry leases, backend
/// servers, shares and the scheduler, fed by one stream of events.
#ifndef APRICOTLB_CORE_LEADER_LEADER_STATE_HPP
#define APRICOTLB_CORE_LEADER_LEADER_STATE_HPP

#include "core/leader/backend_table.hpp"
#include "core/leader/entry_leases.hpp"
#include "core/leader/share_ledger.hpp"
#include "core/messages.hpp"
#include "core/scheduling/scheduler.hpp"
#include "core/state/commands.hpp"
#include "core/state/state_machine.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <optional>
#include <vector>

namespace apricotlb
{

/// An answer that an entry did not ask for: a contract has changed.
struct push_contracts
{
    node_id entry;
    entry_heartbeat_answer answer;
};

/// Exists while this process leads. It is built from the applied state; the
/// soft state starts empty and is safe from the first moment on.
class leader_state
{
public:
    leader_state(state_machine const& state, term leads, time_point elected,
                 scheduler_policy policy);

    /// The answer to a heartbeat; none for a duplicate.
    [[nodiscard]] auto on_heartbeat(entry_heartbeat const& it, time_point now)
        -> std::optional<entry_heartbeat_answer>;

    auto on_announce(announce const& it, time_point now) -> void;

    /// Renews a worker's leases; unknown_worker asks it to register again.
    [[nodiscard]] auto on_report(worker_report const& it, time_point now)
        -> result<worker_report_answer>;

    /// Follows what the log applied.
    auto on_applied(command const& it, apply_result const& result,
                    time_point now) -> void;

    /// A proposal of take_actions() that was not applied.
    auto on_not_applied(command const& it, time_point now) -> void;

    auto tick(time_point now, random_bits random) -> void;

    /// What is to be proposed or sent to workers; empties the list.
    [[nodiscard]] auto take_actions() -> std::vector<scheduler_action>;

    /// Contract changes for every entry that has not confirmed them.
    [[nodiscard]] auto pending_pushes() const -> std::vector<push_contracts>;

    [[nodiscard]] auto in_force(revision at, time_point now) -> bool
    {
        return leases_.in_force(at, now);
    }

    [[nodiscard]] auto schedule() const -> scheduler const&
    {
        return scheduler_;
    }
    [[nodiscard]] auto leases() const -> entry_leases const& { return leases_; }
    [[nodiscard]] auto backends() const -> backend_table const&
    {
        return backends_;
    }
    [[nodiscard]] auto shares() const -> share_ledger const& { return shares_; }

private:
    auto restore(time_point now) -> void;
    auto restore_tasks(job_record const& job, time_point now) -> void;
    auto end_sessions(time_point now) -> void;
    auto note_latency(entry_heartbeat const& it, time_point now) -> void;

    state_machine const& state_;
    term term_;
    entry_leases leases_;
    backend_table backends_;
    share_ledger shares_;
    scheduler scheduler_;
    std::vector<scheduler_action> actions_;
    time_point sessions_checked_;
};

} // namespace apricotlb

#endif
