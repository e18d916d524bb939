/// Explicit limits and timings, in one place.
#ifndef APRICOTLB_CONFIG_HPP
#define APRICOTLB_CONFIG_HPP

#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstddef>
#include <cstdint>

namespace apricotlb::config
{

inline constexpr std::size_t kib = 1024;
inline constexpr std::size_t mib = kib * kib;

using namespace std::chrono_literals;

// Leases. Every holder counts from the moment it sent the renewal, every
// grantor from the moment it sent the answer, plus drift.
inline constexpr duration heartbeat_interval = 250ms;
inline constexpr duration entry_lease = 2s;
inline constexpr duration task_lease = 10s;
inline constexpr permille clock_drift{50};
inline constexpr duration announce_interval = 500ms;
inline constexpr duration announce_lifetime = 1500ms;
inline constexpr duration report_interval = 1s;

/// How long a grantor waits before it treats a lease as ended.
[[nodiscard]] constexpr auto with_drift(duration lease) -> duration
{
    return lease + lease * clock_drift.value() / 1000;
}

// Replicated log.
inline constexpr duration election_timeout_min = 400ms;
inline constexpr duration election_timeout_max = 800ms;
inline constexpr duration raft_heartbeat = 100ms;
/// Least time between two flushes of a leader. One flush costs a message to and
/// from each member and a sync, whatever it carries.
inline constexpr duration group_commit_interval = 15ms;
inline constexpr std::size_t max_append_bytes = 256 * kib;
inline constexpr std::size_t snapshot_chunk_bytes = 256 * kib;
/// Holds the largest set of contracts, whose document has 256 KiB, beside its
/// decoded form.
inline constexpr std::size_t max_entry_bytes = 640 * kib;
/// Shorter than election_timeout_min by the drift between the clocks of the
/// leader and of the voters that wait for it.
inline constexpr duration leader_lease =
    election_timeout_min * 1000 / (1000 + clock_drift.value());
/// Appends sent to one member before it has answered.
inline constexpr std::size_t max_inflight_appends = 16;
/// Sent per round trip to a member that catches up, so that the loop keeps
/// most of its time for commits: 12 MB/s at a round trip of 10 ms.
inline constexpr std::size_t catch_up_bytes = 128 * kib;
/// A learner this close behind may be promoted by an operator.
inline constexpr std::uint64_t max_promotion_lag = 64;
inline constexpr std::size_t max_snapshot_bytes = 1024 * mib;
inline constexpr std::size_t max_members = 16;
/// Proposals that wait for their commit; more are refused with queue_full.
inline constexpr std::size_t max_pending_proposals = 16 * kib;
inline constexpr std::size_t max_pending_bytes = 16 * mib;
/// A snapshot is taken after this many entries or bytes of entries.
inline constexpr std::size_t snapshot_entries = 100'000;
inline constexpr std::size_t snapshot_entry_bytes = 64 * mib;
/// Entries kept behind a snapshot, so that a member that was away for a short
/// time needs no snapshot.
inline constexpr std::size_t log_tail_entries = 20'000;
inline constexpr std::size_t log_tail_bytes = 16 * mib;

// Files of the log.
inline constexpr std::size_t segment_bytes = 16 * mib;
/// A snapshot is written and synced in pieces, one per turn of the loop. A
/// leader that wrote 100 MB at once would miss its heartbeats.
inline constexpr std::size_t snapshot_piece_bytes = mib;
inline constexpr byte_count max_disk{4096 * std::int64_t{mib}};
/// Kept free of proposals, for what a process must still write when the bound
/// is reached: terms, votes, membership and snapshots.
inline constexpr byte_count disk_reserve{64 * std::int64_t{mib}};

// Messages between processes.
inline constexpr std::uint32_t protocol_version = 1;
inline constexpr std::size_t max_message_bytes = 4 * mib;
inline constexpr duration peer_timeout = 1s;
inline constexpr std::size_t peer_queue_messages = 1024;

// Work of the control leader.
inline constexpr duration scheduler_tick = 50ms;
inline constexpr duration key_expiry_interval = 60s;

// Calls to the control leader.
inline constexpr duration call_retry_interval = 400ms;
inline constexpr duration call_timeout = 5s;

// Requests.
inline constexpr byte_count max_body{256 * mib};
inline constexpr byte_count max_recorded_body{64 * kib};
inline constexpr std::size_t max_key_length = 128;

/// Bytes of one body held per direction; reading stops above it.
inline constexpr std::size_t body_buffer_bytes = 64 * kib;
/// A request body up to this size is kept, so that it can be sent again. It
/// exceeds body_buffer_bytes by a chunk: an attempt that took nothing of its
/// body can always be repeated.
inline constexpr std::size_t replay_body_bytes = 96 * kib;
/// Whole bodies of operators' and workers' requests.
inline constexpr std::size_t max_api_body_bytes = 4 * mib;
inline constexpr std::size_t max_header_bytes = 32 * kib;
inline constexpr duration caller_idle_timeout = 30s; ///< between requests
inline constexpr duration caller_body_timeout = 10s;
/// How long the rest of a body is read after its answer was decided.
inline constexpr duration body_discard_timeout = 5s;
inline constexpr duration caller_check_interval = 250ms;
inline constexpr duration backend_idle_timeout = 10s;

/// A request ends within this multiple of the contract's urgent latency, and
/// waits in a queue for at most one multiple of it.
inline constexpr int deadline_factor = 20;
/// Least time between two checks of one request's deadline.
inline constexpr duration deadline_check_interval = 5ms;
/// Wait for the renewal of a lapsed entry lease.
inline constexpr duration lease_renewal_wait = 500ms;
/// Silence of a backend server in the middle of an answer.
inline constexpr duration answer_idle_timeout = 10s;
inline constexpr duration key_resend_interval = 250ms;
inline constexpr duration key_close_timeout = 30s;

// Routing.
inline constexpr duration latency_half_life = 10s;
inline constexpr duration slow_start = 5s;
inline constexpr duration ejection_min = 1s;
inline constexpr duration ejection_max = 30s;
inline constexpr int ejection_failures = 3;
inline constexpr int probation_successes = 3;

// Retries: a tenth of the requests, from a bucket with a small floor.
inline constexpr permille retry_ratio{100};
inline constexpr int min_retry_credit = 10;
inline constexpr int max_retry_credit = 100;
inline constexpr int max_attempts = 3;

/// Kinds of requests with a learned service time on one entry.
inline constexpr std::size_t max_work_classes = 16384;

inline constexpr duration load_window = 5s;
inline constexpr std::size_t load_samples = 512;
inline constexpr std::size_t max_name_length = 128;
inline constexpr std::size_t max_payload_bytes = 16 * kib;
inline constexpr std::size_t max_tokens = 16;
inline constexpr std::size_t max_workflow_steps = 64;
/// Tasks of a workflow over all its steps and occurrences.
inline constexpr std::int64_t max_workflow_tasks = 100'000;
inline constexpr task_count max_tasks_per_job{10'000};
inline constexpr seconds default_key_retention = 24h;
inline constexpr seconds max_key_retention = 24h * 7;

// Scheduler: learned run times and sizes.
inline constexpr float min_run_time_samples = 5;
inline constexpr std::uint32_t min_size_samples = 20;
inline constexpr permille size_margin{150};        ///< above the measured peak
inline constexpr std::int64_t max_size_growth = 4; ///< times the declared

// Scheduler: queue. Every eighth batch decision goes to the longest waiting
// task, so that a steady flow of short work cannot starve long work.
inline constexpr std::uint32_t oldest_first_interval = 8;
inline constexpr std::uint64_t fair_share_interval = 4;
inline constexpr duration hold_delay = 30s; ///< wait before a worker is held
inline constexpr duration max_hold_time = 600s; ///< longest time it is held
inline constexpr duration min_wake_interval = 100ms;
inline constexpr duration max_wake_interval = 1s;
inline constexpr duration default_run_time = 30s; ///< of a kind never seen
inline constexpr std::size_t max_placements_per_tick = 1000;

// A task is a straggler after this many times the 90% run time of its kind.
inline constexpr std::int64_t straggler_factor = 4;
inline constexpr permille straggler_reserve{250}; ///< of a worker, left free

// Scheduler: placement.
inline constexpr std::size_t placement_candidates = 12;
inline constexpr std::size_t placement_tries = 36;
inline constexpr std::size_t index_visits = 96;

// Scheduler: interference.
inline constexpr duration measurement_history = 20s;
inline constexpr duration max_measurement_age = 10s;
inline constexpr std::uint32_t min_reliable_samples = 8;
inline constexpr permille default_slowdown{200};
/// Logarithm of the factor that a task of an unseen image is taken to put on a
/// tail. About one pair in ten of the traced ones exceeds it
/// (docs/MEASUREMENTS.md).
inline constexpr permille default_effect{200};
inline constexpr permille placement_headroom{800};   ///< of the latency
inline constexpr permille short_work_headroom{1000}; ///< for work under 8 s
inline constexpr duration max_short_run_time = 8s;
inline constexpr permille negligible_slowdown{10};
inline constexpr permille harmful_slowdown{40}; ///< worth throttling
inline constexpr seconds interference_half_life = 2h;
inline constexpr duration interference_save_interval = 30s;

// Scheduler: guard.
inline constexpr permille throttle_above{800}; ///< of the contract's latency
inline constexpr permille release_below{600};
inline constexpr permille throttle_level{500}; ///< of a task's processors
inline constexpr duration throttle_settling_time = 2s;
inline constexpr duration min_throttle_change_interval = 60s;
inline constexpr duration eviction_window = 60s;
inline constexpr std::uint32_t max_evictions_per_window = 6;
inline constexpr duration min_watch_eviction_interval = 600s;

// Scheduler: health of workers and jobs.
inline constexpr std::size_t failed_jobs_limit = 3;
inline constexpr std::size_t failed_workers_limit = 3;
inline constexpr std::uint32_t failed_attempts_limit = 12;
inline constexpr duration min_quarantine_time = 60s;
inline constexpr duration max_quarantine_time = 3600s;
inline constexpr permille max_quarantined_workers{100};
inline constexpr std::int64_t max_suspect_job_tasks = 3;

// Scheduler: commands to workers.
inline constexpr duration command_retry_interval = 1s;
inline constexpr duration worker_report_timeout = 3s;
inline constexpr duration worker_check_interval = 500ms;
inline constexpr std::size_t max_explained_jobs = 1000; ///< ended ones kept
inline constexpr std::size_t max_saved_pairs = 1500;    ///< fit one log entry
inline constexpr std::size_t max_failed_tries_per_tick = 500;
inline constexpr permille max_held_workers{20}; ///< of all, kept for the floor

// State machine. A change id is remembered for the last changes of its
// customer and, over all customers, for the last max_changes.
inline constexpr std::size_t max_changes_per_customer = 64;
inline constexpr std::size_t max_changes = 16'384;

// The scheduler gives a task up earlier, when it failed on distinct healthy
// workers; failures on a bad worker alone must not end the task.
inline constexpr std::uint32_t max_task_failures = 16;

/// Bounds the time that one expire_keys takes: 200,000 keys at once would
/// hold the loop for 164 ms.
inline constexpr std::size_t max_keys_expired_at_once = 4'096;

// Ended jobs are kept while their tasks and payloads are within both bounds.
inline constexpr std::size_t max_ended_tasks = 100'000;
inline constexpr std::size_t max_ended_payload_bytes = 64 * mib;

// Workers that take pushed orders. Their steady clock runs slow by at most
// this (docs/platform.md, Clocks).
inline constexpr permille worker_clock_drift{20};
/// Added to a lease's end before its runs count as over; covers the rounding
/// of clocks to milliseconds and the end of the runs themselves.
inline constexpr duration lease_margin = 200ms;
/// A worker that was not heard of for this long gets no new runs. Workers
/// announce themselves about once a second.
inline constexpr duration worker_contact_timeout = 3500ms;
/// The lease of a worker that was not heard of for this long is not extended.
inline constexpr duration lease_extension_timeout = 2500ms;
/// A worker without runs that stays silent is forgotten after this.
inline constexpr duration worker_removal_delay = 60s;
inline constexpr duration fleet_report_interval = 1s;
inline constexpr duration order_timeout = 1s;
inline constexpr duration order_retry_interval = 300ms;
inline constexpr duration poll_retry_delay = 200ms; ///< after a failure
/// Least time between two polls of a worker; ends within it share one.
inline constexpr duration min_poll_interval = 40ms;
/// How long a poll waits for an end. The lists of a worker with tasks that
/// disturb each other are read more often than the lease needs.
inline constexpr milliseconds poll_wait = 1800ms;
inline constexpr milliseconds poll_wait_shared = 500ms;
inline constexpr duration no_room_pause = 300ms;    ///< after no_room
inline constexpr duration unhealthy_pause = 1500ms; ///< after unhealthy
/// Delay from an event to the plan that it asks for; longer while tasks are
/// left over that found no worker.
inline constexpr duration plan_delay = 2ms;
inline constexpr duration plan_delay_when_behind = 25ms;
/// A workflow that takes more than this many times its allowed time is worth
/// nothing to its caller any more (RULES, Credit).
inline constexpr std::int64_t max_lateness_factor = 3;
/// Ready tasks that are considered in one pass of the scheduler.
inline constexpr std::size_t max_tasks_per_pass = 2000;
inline constexpr std::size_t max_runs_per_command = 256;
/// Ends that a worker lists at once; a longer list is incomplete.
inline constexpr std::size_t max_listed_ends = 500;
/// The state of an ended workflow can be read for this long.
inline constexpr seconds workflow_retention = 150s;
/// Accepted workflows that have not ended; more are refused.
inline constexpr std::size_t max_live_workflows = 20'000;

// Pace of scavenging tasks beside tasks with a latency target: cut to a half
// above the first share of the target, raised by a step below the second.
// The figures that workers report scatter by a half; the smoothed one counts.
inline constexpr permille pace_cut_above{1000};
inline constexpr permille pace_raise_below{850};
inline constexpr permille pace_step{250};
inline constexpr permille min_pace{200}; ///< below it a task stands still
/// A serving task may be over its target for 4 s (RULES, HARM). More than half
/// of that is left for the figures, which lag by up to 1 s, and for the order.
inline constexpr duration max_time_over_target = 1500ms;
/// Weight of a new figure in the smoothed one.
inline constexpr permille latency_smoothing{500};
/// Expected share of a latency target up to which a scavenging task is placed,
/// and up to which one is placed that is known not to disturb.
inline constexpr permille disturbance_headroom{600};
inline constexpr permille harmless_headroom{800};
/// Added to both while tasks are left over that found no worker.
inline constexpr permille headroom_when_behind{100};
/// An effect, as a logarithm, that is told from the scatter of the figures.
inline constexpr permille min_significant_effect{100};
/// Tails at the crest of a serving task's own load, of its usual one: the 95%
/// quantile without scavenging tasks beside it (docs/MEASUREMENTS.md).
inline constexpr permille peak_latency_ratio{1700};
/// Figures cover the last half second and are read twice a second, so they show
/// a scavenging task in full only after this.
inline constexpr duration effect_delay = 800ms;
/// A scavenging task that stands still for this long is moved.
inline constexpr duration max_paused_time = 1s;

// Replicated control group that replaces its members by itself.
/// A voter that was silent for this long is removed when a learner can take
/// its place.
inline constexpr duration voter_removal_delay = 2500ms;
inline constexpr duration learner_removal_delay = 10s;
inline constexpr duration join_retry_interval = 500ms;
/// How often a process asks whether the leader answers, and the silence after
/// which it takes the leader for lost.
inline constexpr duration leader_ping_interval = 400ms;
inline constexpr duration leader_timeout = 1500ms;
/// How often a process looks whether its settings file has changed.
inline constexpr duration settings_check_interval = 3s;
/// Interval between looks for other control processes.
inline constexpr duration discovery_interval = 300ms;
inline constexpr duration discovery_interval_settled = 5s;

} // namespace apricotlb::config

#endif
