/// State of the control leader that is not in the log: entry leases, backend
/// servers, shares and the scheduler, driven by one sequence of events.
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

/// An answer to an entry without a heartbeat, sent when a contract has changed.
struct push_contracts
{
    node_id entry;
    entry_heartbeat_answer answer;
};

/// Exists while this process is the leader. It is built from the applied state
/// of the log. Entry leases, backend servers and shares start empty after an
/// election and are safe to use in that state.
class leader_state
{
public:
    leader_state(state_machine const& state, term leader_term,
                 time_point elected, scheduler_policy policy);

    /// The answer to a heartbeat; none if the heartbeat is a duplicate, out of
    /// order or of a former incarnation.
    [[nodiscard]] auto on_heartbeat(entry_heartbeat const& heartbeat,
                                    time_point now)
        -> std::optional<entry_heartbeat_answer>;

    auto on_announce(backend_announcement const& it, time_point now) -> void;

    /// Renews a worker's leases. Fails with unknown_worker if the worker is not
    /// registered; it then has to register again.
    [[nodiscard]] auto on_report(worker_report const& it, time_point now)
        -> result<worker_report_answer>;

    /// Updates the scheduler after the log has applied or refused a command.
    auto on_applied(command const& it, apply_result const& result,
                    time_point now) -> void;

    /// Reports that a proposal of take_actions() was not applied.
    auto on_not_applied(command const& it, time_point now) -> void;

    auto tick(time_point now, random_bits random) -> void;
    /// To be called when the lease returns after a while without it.
    auto resume(time_point now) -> void;

    /// Returns and clears the commands to propose and the messages to send to
    /// workers.
    [[nodiscard]] auto take_actions() -> std::vector<scheduler_action>;

    /// Contract changes for each entry that has not confirmed the newest ones.
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
    auto record_latency(entry_heartbeat const& it, time_point now) -> void;

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
