/// A replica of the state: drives the Raft core over its ports.
#ifndef APRICOTLB_APP_REPLICA_HPP
#define APRICOTLB_APP_REPLICA_HPP

#include "core/log/office_meter.hpp"
#include "core/log/raft.hpp"
#include "ports/clock.hpp"
#include "ports/codec.hpp"
#include "ports/log_store.hpp"
#include "ports/state_machine.hpp"
#include "ports/transport.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/units.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Longest time from the end of a sync to the next one that is due. It bounds
/// the delay after a sync that took seconds.
inline constexpr duration max_flush_delay = milliseconds{100};

/// Settings of a replica.
struct replica_options
{
    node_id self;
    /// Members of a new group, the same list on each of them. The list is used
    /// only while the store is empty. It is empty on a VM that joins an
    /// existing group, for instance under a new id after the loss of its disk.
    raft_members bootstrap;
    std::uint64_t seed{0}; ///< differs between replicas and between starts
    /// Minimum number of voters that store an entry before it is committed, so
    /// that the entry survives the loss of all but one of them.
    std::size_t copies{1};
    std::size_t max_voters{config::max_members};
    std::size_t snapshot_entries{config::snapshot_entries};
    std::size_t snapshot_bytes{config::snapshot_entry_bytes};

    class builder;
};

/// Builds and validates the settings.
class replica_options::builder
{
public:
    auto self(node_id it) -> builder&
    {
        built_.self = std::move(it);
        return *this;
    }
    auto bootstrap(raft_members it) -> builder&
    {
        built_.bootstrap = std::move(it);
        return *this;
    }
    auto seed(random_bits it) -> builder&
    {
        built_.seed = it.value();
        return *this;
    }
    auto copies(std::size_t n) -> builder&
    {
        built_.copies = n;
        return *this;
    }
    auto max_voters(std::size_t n) -> builder&
    {
        built_.max_voters = n;
        return *this;
    }
    auto snapshot_after(std::size_t entries, byte_count bytes) -> builder&
    {
        built_.snapshot_entries = entries;
        built_.snapshot_bytes = static_cast<std::size_t>(bytes.value());
        return *this;
    }
    [[nodiscard]] auto build() const -> result<replica_options>;

private:
    replica_options built_;
};

struct replica_status
{
    raft_status log;
    log_index applied;
    log_index snapshot; ///< last entry of the newest snapshot
    byte_count disk;
    std::optional<error> failure;
};

/// Work of a replica since the last reading.
struct replica_load
{
    std::int64_t syncs{0};
    duration sync_time{};    ///< sum; the loop goes on meanwhile
    duration longest_sync{}; ///< one in progress included
    /// Largest delay of a heartbeat or of an election timeout.
    duration longest_delay{};
    office_load office;
};

/// Whose command a proposal is.
enum class proposal_origin : std::uint8_t
{
    caller,
    system_operator, ///< may use the reserved places of the queue
    leader,          ///< waits for its outcome while this replica leads
};

/// What a replica does because its disk is full, or nearly so.
enum class disk_event : std::uint8_t
{
    full,             ///< it accepts nothing from now on
    writable,         ///< it writes again
    entries_dropped,  ///< a message of the leader with entries
    snapshot_dropped, ///< a message of the leader with a part of a snapshot
    proposal_refused,
    snapshot_postponed, ///< an own snapshot found no space
};

[[nodiscard]] auto name_of(disk_event it) -> std::string_view;

/// A change of the role, the term or the leader that this replica knows.
struct role_change
{
    raft_role role{raft_role::follower};
    term in_term;
    std::optional<node_id> leader;
    duration leader_silence{}; ///< time since the last message of a leader
    std::optional<ended_office> office; ///< of this replica, if it has ended
};

/// One member of the group with its store and its state.
template <clock_port Clock, class Transport, log_store_port LogStore,
          state_machine_port Machine>
    requires transport_port<Transport, raft_message>
class replica
{
public:
    using completion = std::function<void(result<log_index>)>;

    replica(Clock& clock, Transport& transport, LogStore& store,
            Machine& machine, replica_options options)
        : clock_(clock), transport_(transport), store_(store),
          machine_(machine), options_(std::move(options))
    {
    }
    replica(replica const&) = delete;
    auto operator=(replica const&) -> replica& = delete;
    ~replica();

    /// Called with true once this replica is the leader, holds the lease and
    /// has applied all entries committed before, and with false when it has
    /// stepped down or failed.
    auto on_leadership(std::function<void(bool, term)> callback) -> void
    {
        on_leadership_ = std::move(callback);
    }
    /// Called after each change of the role, the term or the known leader.
    auto on_role(std::function<void(role_change const&)> callback) -> void
    {
        on_role_ = std::move(callback);
    }
    /// Called with each event and its cause.
    auto
    on_disk_event(std::function<void(disk_event, std::string const&)> callback)
        -> void
    {
        on_disk_event_ = std::move(callback);
    }
    /// Called once when the store has failed. The process must then exit: the
    /// replica no longer processes messages or proposals. A full disk is no
    /// failure: the replica accepts nothing until it can write again.
    auto on_failure(std::function<void(error const&)> callback) -> void
    {
        on_failure_ = std::move(callback);
    }

    /// Loads the store and joins the group; later, if the disk is full.
    auto start() -> result<void>;

    /// Proposes a command. The callback runs once: with the index after the
    /// command was applied on this replica; with no_leader if the outcome is
    /// unknown, for a caller or an operator once the lease is over; or
    /// immediately with another error if the command was not
    /// proposed.
    auto propose(encoded payload, completion callback,
                 proposal_origin origin = proposal_origin::caller) -> void;
    /// Adds, promotes or removes a member; the callback runs as for propose().
    /// A learner that has caught up is promoted automatically.
    auto change_member(member_change const& change, completion callback)
        -> void;

    /// Ends the leadership of this replica, if it leads.
    auto resign() -> void;

    /// True while the leader lease is valid. The applied state is current then,
    /// once on_leadership() has reported the leadership: later entries are
    /// acknowledged when they are applied, or before the lease returns.
    [[nodiscard]] auto is_leader() const -> bool
    {
        return core_ && !failure_ && core_->has_lease(clock_.now()) &&
               applied_ >= last_unknown_;
    }
    /// The leader of the current term, if this replica has received its id.
    [[nodiscard]] auto leader() const -> std::optional<node_id>
    {
        return core_ ? core_->leader() : std::nullopt;
    }
    /// False while the disk is full.
    [[nodiscard]] auto is_writable() const -> bool { return !disk_full_; }
    [[nodiscard]] auto status() const -> replica_status;
    /// Returns the load since the last call.
    [[nodiscard]] auto take_load() -> replica_load;

private:
    struct pending
    {
        term in_term;
        std::size_t bytes{0};
        completion callback;
        proposal_origin origin{proposal_origin::caller};
    };

    auto open() -> result<void>;
    auto receive(node_id const& from, raft_message message) -> void;
    auto perform(raft_actions actions) -> void;
    auto install(raft_snapshot const& it) -> void;
    /// Applies committed entries for config::max_apply_time, and the others in
    /// later turns of the loop.
    auto apply_committed() -> void;
    auto apply(log_entry const& entry) -> void;
    auto add_pending(result<log_index> index, std::size_t bytes,
                     completion callback, proposal_origin origin) -> void;
    auto schedule_flush() -> void;
    auto arm_flush(time_point at) -> void;
    [[nodiscard]] auto next_flush() const -> time_point;
    [[nodiscard]] auto next_sync() const -> time_point;
    auto flush() -> void;
    auto send_held() -> void;
    auto take_snapshot_if_due() -> void;
    auto schedule_piece() -> void;
    auto save_piece() -> void;
    auto end_piece(result<bool> const& done) -> void;
    auto update_leadership() -> void;
    auto report_role() -> void;
    auto update_meter() -> void;
    /// Starts to make all writes so far durable.
    auto start_sync() -> void;
    auto end_sync(result<void> done) -> void;
    /// Goes on with what a sync or its end has kept back.
    auto go_on() -> void;
    auto finish_install() -> result<void>;
    auto fail_pending(error const& it) -> void;
    /// Tells callers that the outcome of their proposals is unknown.
    auto fail_callers() -> void;
    auto arm_timer() -> void;
    auto stop(error const& it) -> void;
    /// Stops the replica unless the disk is only full.
    auto handle_failure(error const& it) -> void;
    auto wait_for_space(error const& it) -> void;
    auto arm_retry() -> void;
    auto retry() -> void;
    auto keep_waiting_or_fail(error const& it) -> void;
    auto postpone_snapshot(error const& it) -> void;
    auto report(disk_event it, std::string const& cause) -> void;
    auto next_random() -> random_bits;
    [[nodiscard]] auto is_space_low() const -> bool;
    /// The reason to drop a message, if there is one.
    [[nodiscard]] auto refusal(raft_message const& it) const
        -> std::optional<disk_event>;

    Clock& clock_;
    Transport& transport_;
    LogStore& store_;
    Machine& machine_;
    replica_options options_;
    std::function<void(bool, term)> on_leadership_;
    std::function<void(error const&)> on_failure_;
    std::function<void(role_change const&)> on_role_;
    std::function<void(disk_event, std::string const&)> on_disk_event_;
    role_change reported_role_;
    replica_load load_;
    office_meter office_;
    std::optional<raft> core_;
    std::map<log_index, pending> pending_;
    std::size_t pending_bytes_{0};
    /// Last proposal of this office whose caller was told that its outcome is
    /// unknown. What is answered later has to show the outcome.
    log_index last_unknown_;
    std::deque<log_entry> committed_;              ///< not applied yet
    std::vector<addressed_message> held_messages_; ///< sent after the next sync
    /// Sent when the sync in progress has ended.
    std::vector<addressed_message> syncing_messages_;
    /// Received while a snapshot waits for the sync in progress.
    std::vector<std::pair<node_id, raft_message>> waiting_messages_;
    bool is_syncing_{false};
    time_point sync_start_{};
    bool unsynced_{false}; ///< written since the start of the last sync
    bool term_unsynced_{false};
    std::optional<timer_id> flush_timer_;
    time_point flush_due_{}; ///< of flush_timer_
    std::optional<timer_id> apply_timer_;
    std::optional<timer_id> piece_timer_;
    std::optional<timer_id> tick_timer_;
    std::optional<timer_id> retry_timer_;
    time_point next_tick_{};
    time_point last_flush_{}; ///< start of the last flush
    duration last_sync_time_{};
    log_index applied_;
    log_index snapshot_;
    std::optional<raft_snapshot> saving_;
    bool is_saving_piece_{false}; ///< the store saves a part of a snapshot
    std::size_t bytes_since_snapshot_{0};
    bool is_snapshot_postponed_{false};
    time_point next_snapshot_{};              ///< not before
    time_point next_freeing_snapshot_{};      ///< the same while space is low
    std::optional<raft_snapshot> installing_; ///< received, not yet durable
    std::optional<term> leading_term_;
    std::optional<error> failure_;
    std::optional<error> disk_full_; ///< while the disk is full
    /// Expires with the replica, which the store may outlive.
    std::shared_ptr<bool> lifetime_{std::make_shared<bool>(true)};
};

} // namespace apricotlb

#include "app/replica_disk.hpp"
#include "app/replica_impl.hpp"

#endif
