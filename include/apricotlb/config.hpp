/// Limits and timings of all processes.
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

// Leases. A holder counts a lease from the time at which it sent the renewal.
// A grantor counts it from the time at which it sent the answer, and adds the
// clock drift, so that the lease ends at the holder first.
inline constexpr duration heartbeat_interval = 250ms;
inline constexpr duration entry_lease = 2s;
inline constexpr duration task_lease = 10s;
/// Largest assumed difference in rate between two clocks.
inline constexpr permille clock_drift{50};
/// Interval between the announcements of a backend server.
inline constexpr duration announce_interval = 500ms;
inline constexpr duration announce_lifetime = 1500ms;
/// Interval between the reports of a worker.
inline constexpr duration report_interval = 1s;

/// Time after which the grantor of a lease may treat it as ended.
[[nodiscard]] constexpr auto with_drift(duration lease) -> duration
{
    return lease + lease * clock_drift.value() / 1000;
}

// Replicated log.
/// An office of a leader that ends within this time counts as short: a series
/// of them shows elections that follow each other.
inline constexpr duration short_office = 1s;
inline constexpr duration election_timeout_min = 400ms;
inline constexpr duration election_timeout_max = 800ms;
inline constexpr duration raft_heartbeat = 100ms;
/// Least time between two flushes of a leader. Each flush costs a message to
/// and from each member and a sync, however many entries it carries.
inline constexpr duration group_commit_interval = 15ms;
/// Time in which committed entries are applied before the loop gets a turn. Far
/// less than the shortest time without a heartbeat that ends a leadership.
inline constexpr duration max_apply_time = 20ms;
/// Largest share of the time that the syncs of a replica may take. The loop
/// goes on during a sync, but each costs wake-ups and processor time.
inline constexpr permille max_sync_share{300};
inline constexpr std::size_t max_append_bytes = 256 * kib;
inline constexpr std::size_t snapshot_chunk_bytes = 256 * kib;
/// Large enough for the largest set of contracts: its document of 256 KiB
/// together with its decoded form.
inline constexpr std::size_t max_entry_bytes = 640 * kib;
/// Shorter than election_timeout_min by the drift between the clocks of the
/// leader and of the voters that wait for it.
inline constexpr duration leader_lease =
    election_timeout_min * 1000 / (1000 + clock_drift.value());
/// Appends to one member that may be unanswered at a time.
inline constexpr std::size_t max_inflight_appends = 16;
/// Bytes of entries per round trip to a member that catches up: 12 MB/s at a
/// round trip of 10 ms. The bound leaves most of the loop's time for commits.
inline constexpr std::size_t catch_up_bytes = 128 * kib;
/// Entries by which a learner may lag when it is promoted to a voter.
inline constexpr std::uint64_t max_promotion_lag = 64;
inline constexpr std::size_t max_snapshot_bytes = 1024 * mib;
inline constexpr std::size_t max_members = 16;
/// Proposals waiting for their commit; further ones are refused with
/// queue_full.
inline constexpr std::size_t max_pending_proposals = 16 * kib;
inline constexpr std::size_t max_pending_bytes = 16 * mib;
/// Proposals of operators beyond these limits, so that the work of callers does
/// not keep a configuration or an evacuation out of a full queue.
inline constexpr std::size_t reserved_proposals = 64;
inline constexpr std::size_t reserved_proposal_bytes = 2 * mib;
/// A snapshot is taken after this many entries or bytes of entries, whichever
/// is reached first.
inline constexpr std::size_t snapshot_entries = 100'000;
inline constexpr std::size_t snapshot_entry_bytes = 64 * mib;
/// Entries kept in the log although a snapshot covers them, so that a member
/// that was disconnected for a short time needs no snapshot.
inline constexpr std::size_t log_tail_entries = 20'000;
inline constexpr std::size_t log_tail_bytes = 16 * mib;

// Files of the log.
inline constexpr std::size_t segment_bytes = 16 * mib;
/// A snapshot is written and synced in pieces, one per turn of the loop. A
/// leader that wrote 100 MB at once would send its heartbeats too late.
inline constexpr std::size_t snapshot_piece_bytes = mib;
/// Default limit for the data folder.
inline constexpr byte_count max_disk{4096 * std::int64_t{mib}};
/// Free space below which no proposals are accepted. It remains for what a
/// process must still write: terms, votes, membership and snapshots.
inline constexpr byte_count disk_reserve{64 * std::int64_t{mib}};
/// Interval at which a replica whose disk is full tries to write again.
inline constexpr duration disk_retry_interval = 250ms;
/// Least time between snapshots that are taken to free space, and before a
/// snapshot that found no space is tried again.
inline constexpr duration low_disk_snapshot_interval = 2s;

// Messages between processes.
inline constexpr std::uint32_t protocol_version = 1;
inline constexpr std::size_t max_message_bytes = 4 * mib;
/// Time since last contact after which a peer counts as disconnected.
inline constexpr duration peer_timeout = 1s;
inline constexpr std::size_t peer_queue_messages = 1024;
/// A peer that nothing else was sent to for this long gets a keepalive. Two of
/// them may be lost before the peer counts as silent.
inline constexpr duration keepalive_interval = 330ms;
/// Sockets that are served, and messages that are taken, in one turn of the
/// loop. The bounds keep a turn short, so that heartbeats are sent in time.
inline constexpr int max_events_per_turn = 32;
inline constexpr int max_messages_per_turn = 128;

// Periodic work of the control leader.
inline constexpr duration scheduler_tick = 50ms;
/// First polls of a new leader in one tick, to workers that have not announced
/// themselves yet: 1,800 workers are polled within 400 ms, in short turns.
inline constexpr int max_first_polls_per_tick = 256;
inline constexpr duration key_expiry_interval = 60s;
/// A leader whose periodic work is late by the first time refuses new
/// workflows, until it has been on time, to within the second, for the third.
inline constexpr duration overload_delay = 300ms;
inline constexpr duration on_time_delay = 60ms;
inline constexpr duration overload_recovery_time = 500ms;
/// Interval of the log lines on the load of a control process.
inline constexpr duration load_report_interval = 1s;

// Calls to the control leader.
inline constexpr duration call_retry_interval = 400ms;
inline constexpr duration call_timeout = 5s;
/// Time without an answer of a leader from which new submissions are refused.
/// Two elections in a row fit into it: with 800 ms, submissions were refused
/// that the next leader would have taken well within their callers' timeouts.
inline constexpr duration leader_silence = 2s;
/// How long a read looks for the leader. An answer from a leader that is
/// elected later shows a later state than the answers to reads sent meanwhile.
inline constexpr duration read_search_time = 200ms;
/// How long a read waits for a leader that answers other calls. Messages of one
/// process are handled in order, so the read or its answer is lost then.
inline constexpr duration max_read_wait = 800ms;

// Requests.
inline constexpr byte_count max_body{256 * mib};
/// A larger body is left out of the outcome recorded for an idempotency key.
inline constexpr byte_count max_recorded_body{64 * kib};
inline constexpr std::size_t max_key_length = 128; ///< in bytes
/// Bounds of the replicated set of evacuated data centres. Workers announce
/// names of up to the same length.
inline constexpr std::size_t max_data_centre_name = 128; ///< in bytes
inline constexpr std::size_t max_evacuations = 64;

/// Buffered bytes of a body per direction above which reading stops.
inline constexpr std::size_t body_buffer_bytes = 64 * kib;
/// A request body up to this size is kept so that it can be sent again. It
/// exceeds body_buffer_bytes by one chunk, so that an attempt of which no body
/// bytes were read can always be repeated.
inline constexpr std::size_t replay_body_bytes = 96 * kib;
/// Bodies of requests from operators and workers, which are read completely
/// before they are handled.
inline constexpr std::size_t max_api_body_bytes = 4 * mib;
inline constexpr std::size_t max_header_bytes = 32 * kib;
inline constexpr duration caller_idle_timeout = 30s; ///< between requests
/// Longest pause within the body of a request.
inline constexpr duration caller_body_timeout = 10s;
/// How long the rest of a request body is read and discarded once its answer
/// has started.
inline constexpr duration body_discard_timeout = 5s;
/// Interval at which idle and disconnected callers are looked for.
inline constexpr duration caller_check_interval = 250ms;
inline constexpr duration backend_idle_timeout = 10s;

// Shutdown of a process that serves callers.
/// How long connections without a request are kept after the end of listening,
/// so that callers that pause learn with their next answer to move.
inline constexpr duration drain_idle_wait = 1500ms;
/// Interval at which a draining process looks at its open connections.
inline constexpr duration drain_check_interval = 50ms;
/// A process ends itself this part of the grace time before it is killed. The
/// reserve covers timers that fire late on a machine that has become slow.
inline constexpr int drain_reserve_divisor = 6;

/// Multiple of the contract's urgent latency within which a request must end.
/// A request waits in a queue for at most one urgent latency.
inline constexpr int deadline_factor = 20;
/// Least time between two checks of a request's deadline.
inline constexpr duration deadline_check_interval = 5ms;
/// How long requests wait for the renewal of a lapsed entry lease.
inline constexpr duration lease_renewal_wait = 500ms;
/// Longest pause of a backend server within an answer.
inline constexpr duration answer_idle_timeout = 10s;
/// Delay before a command on an idempotency key is resent without a leader.
inline constexpr duration key_resend_interval = 250ms;
/// How long an entry keeps resending the outcome or the release of a key.
inline constexpr duration key_close_timeout = 30s;

// Routing.
/// Half-life of a latency in the smoothed latency of a backend server.
inline constexpr duration latency_half_life = 10s;
/// Time in which a new backend server reaches its full share of requests.
inline constexpr duration slow_start = 5s;
inline constexpr duration ejection_min = 1s;
inline constexpr duration ejection_max = 30s;
/// Failures in a row; a time-out counts twice.
inline constexpr int ejection_failures = 3;
inline constexpr int probation_successes = 3; ///< after an ejection

// Retry budget: each request adds a tenth of a retry to its customer's bucket.
// The bucket is refilled up to the minimum over time, so that a customer with
// few requests can still retry.
inline constexpr permille retry_ratio{100};
inline constexpr int min_retry_credit = 10;  ///< retries
inline constexpr int max_retry_credit = 100; ///< retries
inline constexpr int max_attempts = 3;       ///< of one request

/// Kinds of requests whose service times an entry learns.
inline constexpr std::size_t max_work_classes = 16384;

// Latency samples of a backend server that an entry reports.
inline constexpr duration load_window = 5s;
inline constexpr std::size_t load_samples = 512;

// Sizes of contracts, jobs and workflows.
inline constexpr std::size_t max_name_length = 128; ///< in bytes
inline constexpr std::size_t max_payload_bytes = 16 * kib;
inline constexpr std::size_t max_tokens = 16; ///< of one customer
inline constexpr std::size_t max_workflow_steps = 64;
/// Cancellings of workflows that have not arrived, kept as long as ended ones.
/// 3 MB with the longest ids.
inline constexpr std::size_t max_early_cancellations = 16 * kib;
/// Tasks of a workflow over all its steps and occurrences.
inline constexpr std::int64_t max_workflow_tasks = 100'000;
inline constexpr task_count max_tasks_per_job{10'000};
inline constexpr seconds default_key_retention = 24h;
inline constexpr seconds max_key_retention = 24h * 7;

// Scheduler: learned run times and sizes. The sample counts are those from
// which a learned value replaces the declared one.
inline constexpr float min_run_time_samples = 5;
inline constexpr std::uint32_t min_size_samples = 20;
inline constexpr permille size_margin{150}; ///< added to the measured peak
inline constexpr std::int64_t max_size_growth = 4; ///< times the declared size

// Scheduler: queue.
/// Every eighth batch decision for a customer takes its longest waiting task,
/// so that a steady flow of short work cannot starve long work.
inline constexpr std::uint32_t oldest_first_interval = 8;
/// Every fourth decision ignores the preference for short work and considers
/// the customers' shares only, so that splitting work brings no lasting
/// advantage.
inline constexpr std::uint64_t fair_share_interval = 4;
/// How long a task waits before a worker is held for it alone.
inline constexpr duration hold_delay = 30s;
/// How long a worker is held for one task at most.
inline constexpr duration max_hold_time = 600s;
/// Tasks that found no worker are considered again after the first interval if
/// resources were freed, and after the second in any case.
inline constexpr duration min_wake_interval = 100ms;
inline constexpr duration max_wake_interval = 1s;
/// Assumed for a kind of work without a learned run time.
inline constexpr duration default_run_time = 30s;
inline constexpr std::size_t max_placements_per_tick = 1000;

// Scheduler: stragglers. A task is a straggler after this multiple of the 90th
// percentile of the run times of its kind.
inline constexpr std::int64_t straggler_factor = 4;
/// Share of a worker that must remain free beside a straggler.
inline constexpr permille straggler_reserve{250};

// Scheduler: placement. A search ends when it has enough candidates, or after
// the tries or visits to the index of free resources.
inline constexpr std::size_t placement_candidates = 12;
inline constexpr std::size_t placement_tries = 36;
inline constexpr std::size_t index_visits = 96;

// Scheduler: interference.
/// How long an ended task is kept, to attribute late measurements to it.
inline constexpr duration measurement_history = 20s;
/// Older latency measurements of a service are ignored.
inline constexpr duration max_measurement_age = 10s;
/// Samples from which an estimate counts as reliable.
inline constexpr std::uint32_t min_reliable_samples = 8;
/// Assumed slowdown by a kind of work without measurements.
inline constexpr permille default_slowdown{200};
/// Natural logarithm, in thousandths, of the factor by which a task of an image
/// without measurements is assumed to raise a tail latency. About one in ten of
/// the traced pairs of images exceeds it (docs/MEASUREMENTS.md).
inline constexpr permille default_effect{200};
/// Expected latency, as a share of the contract's urgent latency, up to which
/// batch work is placed beside a service; the second for short work.
inline constexpr permille placement_headroom{800};
inline constexpr permille short_work_headroom{1000};
inline constexpr duration max_short_run_time = 8s;
/// Work with at most this slowdown is placed in spite of the headroom.
inline constexpr permille negligible_slowdown{10};
/// Work from this slowdown on is harmful: it is throttled or moved.
inline constexpr permille harmful_slowdown{40};
/// Without new measurements, the variance of an estimate grows by that of a
/// reliable one over this time.
inline constexpr seconds interference_half_life = 2h;
inline constexpr duration interference_save_interval = 30s;

// Scheduler: interference guard. Batch work is throttled while a latency is
// above the first share of the contract's urgent latency, and released below
// the second.
inline constexpr permille throttle_above{800};
inline constexpr permille release_below{600};
inline constexpr permille throttle_level{500}; ///< of a task's processors
/// Time until a throttle or eviction shows its effect in the measurements.
inline constexpr duration throttle_settling_time = 2s;
/// Least time between throttling a worker and releasing it, either way.
inline constexpr duration min_throttle_change_interval = 60s;
inline constexpr duration eviction_window = 60s;
inline constexpr std::uint32_t max_evictions_per_window = 6; ///< per customer
/// A watch task that was evicted is not evicted again for this long.
inline constexpr duration min_watch_eviction_interval = 600s;

// Scheduler: health of workers and jobs.
/// Distinct jobs that fail on a worker before it is quarantined.
inline constexpr std::size_t failed_jobs_limit = 3;
/// Distinct workers on which a job fails before the job is blamed instead of
/// them, and on which a task fails before it is given up.
inline constexpr std::size_t failed_workers_limit = 3;
/// Failures after which a task is given up, whichever workers it ran on.
inline constexpr std::uint32_t failed_attempts_limit = 12;
/// The time doubles with each quarantine of the same worker.
inline constexpr duration min_quarantine_time = 60s;
inline constexpr duration max_quarantine_time = 3600s;
inline constexpr permille max_quarantined_workers{100}; ///< of all workers
/// Running tasks of a job that has failed on two workers without a success.
inline constexpr std::int64_t max_suspect_job_tasks = 3;

// Scheduler: commands to workers.
inline constexpr duration command_retry_interval = 1s;
/// Time since its last report after which a worker gets no new tasks.
inline constexpr duration worker_report_timeout = 3s;
inline constexpr duration worker_check_interval = 500ms;
/// Ended jobs whose explanations are kept.
inline constexpr std::size_t max_explained_jobs = 1000;
/// Interference estimates that are saved; they fit into one log entry.
inline constexpr std::size_t max_saved_pairs = 1500;
inline constexpr std::size_t max_failed_tries_per_tick = 500;
/// Share of all workers that may be held for long-waiting tasks at a time.
inline constexpr permille max_held_workers{20};

// State machine. A change id is kept while it is among the last changes of its
// customer and among the last max_changes of all customers.
inline constexpr std::size_t max_changes_per_customer = 64;
inline constexpr std::size_t max_changes = 16'384;

// Above failed_attempts_limit and failed_workers_limit, by which the scheduler
// gives a task up: failures on a faulty worker alone must not end the task.
inline constexpr std::uint32_t max_task_failures = 16;

/// Bounds the time of one expire_keys command: 200,000 keys at once would block
/// the loop for 164 ms.
inline constexpr std::size_t max_keys_expired_at_once = 4'096;

// The oldest ended jobs are removed while the tasks or the payloads of all
// ended jobs exceed these bounds.
inline constexpr std::size_t max_ended_tasks = 100'000;
inline constexpr std::size_t max_ended_payload_bytes = 64 * mib;

// Workers that accept pushed orders.
/// Largest amount by which a worker's steady clock may run slow
/// (docs/platform.md, Clocks).
inline constexpr permille worker_clock_drift{20};
/// Added to the end of a lease before its runs count as ended. It covers the
/// rounding of clocks to milliseconds and the time in which the runs end.
inline constexpr duration lease_margin = 200ms;
/// Time since last contact after which a worker gets no new runs. Workers
/// announce themselves about once a second.
inline constexpr duration worker_contact_timeout = 3500ms;
/// Time since last contact after which a worker's lease is not extended.
inline constexpr duration lease_extension_timeout = 2500ms;
/// Time since last contact after which a worker without runs is removed.
inline constexpr duration worker_removal_delay = 60s;
/// Workers whose refusals of the leader's fencing token make it resign, unless
/// all workers in contact refuse it: a single worker may be wrong.
inline constexpr std::int64_t fenced_workers_to_resign = 2;
/// Time in office before a leader resigns: all workers have announced
/// themselves by then, and their leases outlast the election that follows.
inline constexpr duration min_time_before_resignation = 2s;
/// Least time between two resignations of one process. Workers that refuse
/// every token without reason must not keep the group without a leader: an
/// election takes up to a second, so that a group of five is without one for a
/// tenth of the time at most.
inline constexpr duration resignation_interval = 60s;
/// Time for which a stopped task counts as unavailable to its users, who may
/// need as long to notice that it runs again.
inline constexpr duration relocation_notice = 5500ms;
/// Time that a permanent task has to run before it counts as available.
inline constexpr duration relocation_start_time = 2s;
inline constexpr duration relocation_interval = 500ms;
/// Time for which a worker keeps room for a task that was stopped elsewhere: a
/// stop, the record of its end and the next start take less than this.
inline constexpr duration relocation_hold = 1500ms;
/// Share of a cold worker's warm-up after which its room for new runs grows.
inline constexpr permille warm_up_step{50};
/// Two announcements may differ in the end of the warm-up by this much: the
/// remaining time is rounded and takes a while to arrive.
inline constexpr duration warm_up_tolerance = 1s;
inline constexpr duration fleet_report_interval = 1s;
/// Bound on the age of a workflow by the wall clocks of two machines, which may
/// jump. Older work is late whatever its queue allows.
inline constexpr duration max_recorded_age = 600s;
/// Events of runs that are logged in one report interval. A rack that is lost
/// ends hundreds of runs at once, and each line costs the leader time.
inline constexpr std::size_t max_logged_run_events = 64;
/// Wait of a permanent task for another run, of a step for a first one or of a
/// start for an answer above which it is reported, and the waits in one report.
inline constexpr duration reported_wait = 1s;
inline constexpr std::size_t max_reported_waits = 4;
/// Steps with waiting tasks that a report looks at, in order of acceptance.
inline constexpr std::size_t max_followed_steps = 256;
inline constexpr duration order_timeout = 1s;
/// Age of an order up to which a relay passes it on. Later the worker may have
/// been restarted under its id, and would know neither the fence nor that the
/// run is closed.
inline constexpr duration order_validity = order_timeout;
/// Age of an order from which a worker does not get it any more: the relay
/// gives it up order_timeout after it has taken it.
inline constexpr duration max_order_age = order_validity + order_timeout;
/// Time since its last ping after which a relay gets no more orders.
inline constexpr duration relay_timeout = 1300ms;
/// How long a relay that left an order unanswered gets no more orders.
inline constexpr duration relay_suspension = 3s;
/// Added to the timeout of an order that goes through a relay, which waits for
/// the worker as long as the leader would.
inline constexpr duration relay_answer_margin = 300ms;
inline constexpr duration relay_check_interval = 100ms;
/// Workers of one relay before another one is used: each relay in use costs the
/// leader messages of its own.
inline constexpr std::size_t workers_per_relay = 32;
inline constexpr std::size_t max_orders_per_batch = 64;
/// Orders that a relay has under way; further ones are answered with not_sent.
inline constexpr std::size_t max_relayed_orders = 1024;
/// How long a relay collects answers into one message.
inline constexpr duration answer_batch_delay = 20ms;
/// Least time between two such messages. A turn of the leader's loop takes one
/// message of each peer, and a loaded leader makes some 50 turns a second:
/// faster ones queue up in front of it.
inline constexpr duration answer_interval = 40ms;
/// Interval at which a control process passes on to the leader which workers
/// are in contact.
inline constexpr duration worker_renewal_interval = 200ms;
/// Starts without an answer up to which further runs are placed. A leader that
/// gives orders faster than their answers are handled falls behind for good.
inline constexpr std::size_t max_unconfirmed_starts = 1024;
inline constexpr duration order_retry_interval = 300ms;
inline constexpr duration poll_retry_delay = 200ms; ///< after a failed poll
/// Least time between two polls of a worker. Runs that end within it are
/// reported by one poll.
inline constexpr duration min_poll_interval = 40ms;
/// How long a worker may delay the answer to a poll until a run ends. A worker
/// with both serving and scavenging tasks is polled more often than its lease
/// requires, because its latency figures are needed to set the pace.
inline constexpr milliseconds poll_wait = 1800ms;
inline constexpr milliseconds poll_wait_shared = 500ms;
/// The same for a worker whose recent contact a suspect task waits for, and how
/// long it is polled so: longer than a poll that is under way takes.
inline constexpr milliseconds poll_wait_for_contact = 100ms;
inline constexpr duration contact_request_time = 3s;
/// Age of the last contact of a worker up to which suspect tasks start there. A
/// start on a worker that is down already would count against the task.
inline constexpr duration recent_contact = 300ms;
/// How long a worker gets no new runs after it rejected one for this reason.
inline constexpr duration no_room_pause = 300ms;
inline constexpr duration unhealthy_pause = 1500ms;
/// Delay from an event to the scheduling pass that it causes; the second while
/// ready tasks have found no worker.
inline constexpr duration plan_delay = 2ms;
inline constexpr duration plan_delay_when_behind = 25ms;
/// A workflow that takes longer than this multiple of its allowed time has no
/// value to its caller any more.
inline constexpr std::int64_t max_lateness_factor = 3;
/// How long a failed search for a worker that rests on measurements or on more
/// than one worker is not repeated, while passes are cut. The latencies that
/// decide on scavenging tasks are read twice a second.
inline constexpr duration failed_search_validity = 500ms;
/// Time since its last use after which a failed search is dropped although
/// passes do not reach all steps. It bounds what a leader that is behind for
/// long keeps, and costs one more search of a pool.
inline constexpr duration unused_search_validity = 60s;
/// Share of the workers of a pool that may be held at once for restarts of
/// permanent tasks. A held worker leaves room unused until enough runs there
/// have ended, so most of the pool stays open to other work.
inline constexpr permille max_workers_held_for_restarts{250};
inline constexpr std::size_t max_runs_per_command = 256;
/// A run of a workflow task is a straggler after this multiple of the usual run
/// time of its step. Tasks of one step differ by some tens of percent, so that
/// the slowest ordinary one stays below twice the median.
inline constexpr std::int64_t copy_factor = 2;
/// Least run time of a straggler: a copy costs a log entry and a start order.
inline constexpr duration min_straggler_time = 300ms;
/// Usual length of a straggler, as a multiple of the usual run time. A copy
/// that starts when less than one usual run time is left comes too late.
inline constexpr std::int64_t straggler_slowdown = 7;
inline constexpr duration straggler_check_interval = 100ms;
/// Copies that one pass of the planner starts. Each looks at all workers of its
/// pool.
inline constexpr std::size_t max_copies_per_pass = 8;
/// Newest run times of a step, and newest ratios of seen to declared run times
/// of an image, that are kept.
inline constexpr std::size_t kept_run_times = 32;
/// Ended tasks of the same step that make up its usual run time, and runs of an
/// image that make up its ratio. Tasks of one step are close to each other,
/// whereas the declared run times of steps are off by up to a factor of two.
inline constexpr std::size_t min_step_run_times = 2;
inline constexpr std::size_t min_image_run_times = 8;
/// A worker that crashes within this time of the start of a run counts as
/// crashed by it. Tasks that crash their worker do so at once; with 5 s,
/// ordinary crashes of workers added up and failed accepted workflows.
inline constexpr duration crash_blame_time = 500ms;
/// Workers that crash under a task before it is given up. Fewer could be
/// chance: a task that was just started meets an ordinary crash, or the one of
/// a neighbour. A task may be started five times when each run crashes its
/// worker, and a change of leader hides one crash.
inline constexpr std::uint32_t max_task_crashes = 4;
/// Ended runs in one answer of a worker; a list of this length may be
/// incomplete.
inline constexpr std::size_t max_listed_ends = 500;
/// How long the state of an ended workflow can be read.
inline constexpr seconds workflow_retention = 150s;
/// Accepted workflows that have not ended; further ones are refused.
inline constexpr std::size_t max_live_workflows = 20'000;

// Admission of workflows (core/fleet/admission_forecast.hpp).
/// Time over which the starts of tasks are counted. A new leader refuses
/// nothing until it has seen this much.
inline constexpr duration forecast_window = 2500ms;
/// Time for which tasks have found no worker before new workflows are refused.
/// A pass that finds no worker for a moment is no overload.
inline constexpr duration admission_min_wait = 250ms;
/// How long the room for a crest that found too little of it is held.
inline constexpr duration crest_memory = 20s;
/// Refusals end once the forecast is below this share of the allowed time, so
/// that a crest does not switch them on and off with each end of a task.
inline constexpr permille admission_hysteresis{800};
/// Run times alone are forecast to take this share of the allowed time at most:
/// if tasks are slow but do not wait, a refusal helps nobody.
inline constexpr permille max_forecast_run_share{750};
/// Bounds of the learned ratio of seen to declared run times. Declared run
/// times are off by up to a factor of two; the rest is the effect of
/// neighbours.
inline constexpr permille min_run_time_ratio{500};
inline constexpr permille max_run_time_ratio{4000};
/// Weight of one run in that ratio: a step of a hundred slow tasks does not
/// set it alone.
inline constexpr permille run_time_ratio_weight{10};
/// Longest wait that is forecast, and bounds of the delay that a refusal names
/// before it is spread over callers.
inline constexpr duration max_expected_wait = 60s;
inline constexpr seconds min_admission_retry = 1s;
inline constexpr seconds max_admission_retry = 30s;
/// Least share of the starts that is expected to be left by more urgent work: a
/// burst of it passes.
inline constexpr permille least_start_share{250};
/// How long a count of the free processors is used: it visits all workers.
inline constexpr duration free_room_validity = 250ms;
/// Least time between two log lines on refused submissions.
inline constexpr duration refusal_log_interval = 1s;

// Values that workers and clients report. The bounds keep sums and products of
// them within 64 bits.
inline constexpr millicores max_reported_cores{1'000'000'000};
inline constexpr byte_count max_reported_memory{std::int64_t{1} << 50};
inline constexpr accelerators max_reported_accelerators{1'000'000};
/// Of a worker's clock and of a Unix time: the year 2286.
inline constexpr milliseconds max_reported_time{10'000'000'000'000};
/// Of a sequence number; the largest integer that a double holds exactly.
inline constexpr std::int64_t max_reported_number = std::int64_t{1} << 53;
/// Of a tail latency in ms or of processor use in millicores.
inline constexpr std::int64_t max_reported_load = 1'000'000'000;
inline constexpr std::size_t max_worker_labels = 16;
/// The ends of one list of a worker fit into a log entry. A longer checkpoint
/// is not kept.
inline constexpr std::size_t max_checkpoint_bytes = 1024;
/// Of declared run times and of times in contracts.
inline constexpr milliseconds max_declared_time{1'000'000'000};
inline constexpr permille max_stretch{100'000};

// Pace of scavenging tasks beside serving tasks, which have a latency target.
// The pace is halved while a tail latency is above the first share of its
// target, and raised by a step while all are below the second. The latencies
// that workers report scatter by a half, so their smoothed value is compared.
inline constexpr permille pace_cut_above{1000};
inline constexpr permille pace_raise_below{850};
inline constexpr permille pace_step{250};
/// A pace that would fall below this becomes 0: the task is paused.
inline constexpr permille min_pace{200};
/// Time over its target after which a serving task has all scavenging tasks
/// beside it paused, whatever their image. A serving task may be over its
/// target for 4 s. More than half of that remains for the measurement, which
/// lags by up to 1 s, and for the order to the worker.
inline constexpr duration max_time_over_target = 1500ms;
/// Weight of a new value in the smoothed ratio of latency to target.
inline constexpr permille latency_smoothing{500};
/// Expected latency, as a share of the latency target, up to which a scavenging
/// task is placed; the second for a task that is reliably estimated to have no
/// significant effect.
inline constexpr permille disturbance_headroom{600};
inline constexpr permille harmless_headroom{800};
/// Added to both while ready tasks have found no worker.
inline constexpr permille headroom_when_behind{100};
/// Time for which a step of scavenging tasks of which nothing runs is kept from
/// all workers of a mostly idle pool by the latencies of serving tasks. Then a
/// task of it starts all the same, and its pace follows the measured latencies:
/// estimates only change while tasks run. Callers take 3 s without a start on a
/// free fleet for a loss; a commit, an order and a retry take up to half of
/// that.
inline constexpr duration max_latency_wait = 1s;
/// Searches of one pass for such a worker. Each looks at all workers of a pool.
inline constexpr std::size_t max_latency_wait_searches = 8;
/// Runs on one worker that started so. A further one starts only once the
/// latencies show the effect of those there.
inline constexpr std::int64_t max_latency_wait_runs = 4;
/// Largest reserved share of the processors of a mostly idle pool. In a fuller
/// one the serving tasks keep their headroom.
inline constexpr permille mostly_idle_share{500};
/// Smallest effect that can be distinguished from the scatter of the
/// measurements; a natural logarithm in thousandths, like default_effect.
inline constexpr permille min_significant_effect{100};
/// Tail latency of a serving task at its own peak load, as a share of its
/// baseline latency: the 95th percentile without scavenging tasks beside it
/// (docs/MEASUREMENTS.md).
inline constexpr permille peak_latency_ratio{1700};
/// Time until measurements show the full effect of a scavenging task that has
/// started. They cover the last half second and are read twice a second.
inline constexpr duration effect_delay = 800ms;
/// Time for which all scavenging tasks of a worker are paused until a serving
/// task that is still over its target counts as over it by its own load: the
/// smoothed latency of one that they have slowed down is below it by then.
inline constexpr duration pause_evaluation_time =
    max_time_over_target + effect_delay;
/// A harmful scavenging task that has been paused for this long is moved.
inline constexpr duration max_paused_time = 1s;

// Replicated control group that replaces its members by itself.
/// Time since last contact after which a voter is removed, if a learner can
/// replace it.
inline constexpr duration voter_removal_delay = 2500ms;
/// Time since last contact after which a learner is removed.
inline constexpr duration learner_removal_delay = 10s;
inline constexpr duration join_retry_interval = 500ms;
/// Interval between the pings of a process to the leader, and the time without
/// an answer after which the process reports that it has no leader.
inline constexpr duration leader_ping_interval = 400ms;
inline constexpr duration leader_timeout = 1500ms;
/// Interval at which a process checks its settings file for changes.
inline constexpr duration settings_check_interval = 3s;
/// Interval between searches for other control processes; the second while the
/// leader answers.
inline constexpr duration discovery_interval = 300ms;
inline constexpr duration discovery_interval_settled = 5s;

} // namespace apricotlb::config

#endif
