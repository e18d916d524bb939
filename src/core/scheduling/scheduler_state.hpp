/// Records that the scheduler keeps for jobs, tasks, attempts and workers.
#ifndef APRICOTLB_CORE_SCHEDULING_SCHEDULER_STATE_HPP
#define APRICOTLB_CORE_SCHEDULING_SCHEDULER_STATE_HPP

#include "core/scheduling/explain.hpp"
#include "core/scheduling/placement.hpp"
#include "core/scheduling/refs.hpp"
#include "core/scheduling/task_queue.hpp"
#include "core/scheduling/worker_commands.hpp"
#include "core/state/commands.hpp"

#include <apricotlb/contract.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/time.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Action: append a command to the log.
struct propose
{
    command value;
};

/// Action: send a command to a worker.
struct send_command
{
    worker_id worker;
    url to;
    worker_command value;
};

using scheduler_action = std::variant<propose, send_command>;

/// State of a task according to the log, for the scheduler of a new leader.
struct restored_task
{
    customer_id customer;
    task_id task;
    task_state state{task_state::waiting};
    attempt_number attempts; ///< number of the latest attempt; 0: none
    std::optional<checkpoint_id> checkpoint;
};

namespace scheduler_detail
{

/// Position in the pool of running attempts.
using attempt_slot = strong<struct attempt_slot_tag, std::uint32_t>;
inline constexpr attempt_slot no_slot{UINT32_MAX};
inline constexpr worker_ref no_worker{UINT32_MAX};

/// Progress of an attempt towards running on its worker.
enum class attempt_phase : std::uint8_t
{
    proposed, ///< not yet recorded in the log
    placed,   ///< recorded in the log, not yet confirmed by a report
    running,  ///< confirmed by a report of the worker
};

/// How the leader has asked an attempt to end. A request replaces only a weaker
/// one: stop replaces checkpoint.
enum class end_request : std::uint8_t
{
    none,
    checkpoint,
    stop,
};

struct attempt_entry
{
    task_ref task;
    attempt_number number;
    worker_ref worker{no_worker};
    resources committed;
    attempt_phase phase{attempt_phase::proposed};
    end_request requested_end{end_request::none};
    move_reason end_reason{move_reason::none};
    bool end_proposed{false};
    bool proposed_here{false};       ///< no earlier leader sent a start
    bool start_sent{false};          ///< by this leader
    bool is_repeat_scheduled{false}; ///< is in repeats_
    permille requested_throttle{1000};
    permille reported_throttle{1000};
    permille slowdown;
    std::uint32_t candidates{0}; ///< workers compared for the placement
    time_point start_first_sent;
    time_point started;
};

struct task_entry
{
    task_state state{task_state::waiting};
    bool demoted{false};
    move_reason moved{move_reason::none};
    attempt_number attempt;
    attempt_slot slot{no_slot};
    worker_ref moved_from{no_worker};
    std::uint32_t moved_measured_ms{0}; ///< what caused the move
    std::uint32_t moved_limit_ms{0};    ///< bound that applied to it
    duration attained{};                ///< run time saved in the checkpoint
    std::optional<time_point> last_eviction;
    std::unique_ptr<checkpoint_id> checkpoint;
};

struct job_entry
{
    job_spec spec;
    customer_ref customer;
    kind_ref kind;
    std::uint64_t order{0}; ///< sequence number of the submission
    bool cancelled{false};
    std::uint32_t open_tasks{0};    ///< without a final state
    std::uint32_t running_tasks{0}; ///< with a current attempt
    task_reason reason{task_reason::waiting_for_turn};
    std::vector<task_entry> tasks;
    std::array<std::vector<task_index>, 2> waiting; ///< by queue_item::demoted
    std::vector<rack_use> racks;
};

struct customer_entry
{
    std::optional<contract> terms;
    std::unordered_map<job_id, job_ref> jobs;
};

/// A service whose backend server runs on a worker.
struct hosted_service
{
    service_ref service;
    customer_ref customer;
    time_point last_report;
};

struct worker_entry
{
    worker_info info;
    bool registered{false};
    bool has_reported{false}; ///< since this leader was elected
    time_point last_report;
    sequence last_report_number;
    resources pinned; ///< committed by services and watches
    std::vector<attempt_slot> attempts;
    std::vector<hosted_service> services;
};

/// A worker that is kept free for an item that has waited longer than
/// hold_delay.
struct hold_entry
{
    worker_ref worker;
    time_point until;
};

} // namespace scheduler_detail

} // namespace apricotlb

#endif
