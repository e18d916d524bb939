/// Plain state of the stand-ins for workers and for tasks in the log.
#ifndef APRICOTLB_TESTS_FAKE_WORKER_HPP
#define APRICOTLB_TESTS_FAKE_WORKER_HPP

#include "core/messages.hpp"
#include "core/scheduling/scheduler_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace apricotlb
{

/// What the network and the workers do to messages.
struct fault_rates
{
    int lost{0}; ///< percent
    int doubled{0};
    milliseconds longest_delay{20};
};

/// A task as the stand-in of the log has it.
struct logged_task
{
    restored_task record;
    std::optional<place_task> placed;
    int final_states{0};
};

/// How a kind of work behaves on every worker.
struct work_behaviour
{
    duration run_time{seconds{5}}; ///< zero: until it is stopped
    bool fails{false};
    resources used{millicores{1000}, byte_count{1000}, {}};
};

struct run_entry
{
    start_attempt start;
    duration progress{};
    duration lease_left{}; ///< on the worker's own clock
    permille speed{1000};
};

/// A worker that honours leases on a clock of its own.
struct fake_worker
{
    worker_info info;
    permille clock{1000}; ///< speed of its clock
    bool up{true};
    bool fails_all{false};
    time_point cut_until; ///< until then no message passes either way
    duration local{};
    std::uint64_t reports{0};
    std::map<std::uint64_t, duration> sent_at; ///< by report number
    std::map<attempt_id, run_entry> running;
    std::map<attempt_id, ended_report> ended;
    std::set<attempt_id> seen;
};

} // namespace apricotlb

#endif
