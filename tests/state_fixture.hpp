/// Commands and a log for tests of the state machine.
#ifndef APRICOTLB_TESTS_STATE_FIXTURE_HPP
#define APRICOTLB_TESTS_STATE_FIXTURE_HPP

#include "adapters/msgpack_codec.hpp"
#include "core/state/state_machine.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

inline auto const survey = customer_id{"survey"};

inline auto cores(std::int64_t n) -> resources
{
    return {millicores{n}, byte_count{n}, accelerators{0}};
}

inline auto contract_of(customer_id customer, std::uint64_t version,
                        std::int32_t share = 1000) -> contract
{
    return contract::builder{}
        .customer(std::move(customer))
        .version(contract_version{version})
        .vm_share(permille{share})
        .urgent_latency(milliseconds{400})
        .key_retention(seconds{60})
        .token(token_hash{std::string(64, 'a')})
        .build()
        .value();
}

inline auto change_of(std::uint64_t version, std::string change, std::string by,
                      std::int32_t share = 1000) -> apply_contract
{
    return {contract_of(survey, version, share), change_id{std::move(change)},
            operator_name{std::move(by)}};
}

inline auto worker_of(std::string id, std::int64_t size) -> register_worker
{
    worker_info it;
    it.id = worker_id{std::move(id)};
    it.capacity = cores(size);
    return {it};
}

inline auto job_of(std::string id, std::int64_t tasks, std::int64_t size)
    -> submit_job
{
    job_spec it;
    it.id = job_id{std::move(id)};
    it.customer = survey;
    it.work = work_kind{"render"};
    it.tasks = task_count{tasks};
    it.each = cores(size);
    return {it};
}

inline auto attempt_of(std::string job, std::uint32_t task,
                       std::uint32_t number) -> attempt_id
{
    return {{job_id{std::move(job)}, task_index{task}}, attempt_number{number}};
}

inline auto place_of(attempt_id attempt, std::string worker, std::int64_t size)
    -> place_task
{
    return {survey, std::move(attempt), worker_id{std::move(worker)},
            cores(size)};
}

inline auto end_of(attempt_id attempt, attempt_end how,
                   std::optional<checkpoint_id> checkpoint = std::nullopt)
    -> end_attempt
{
    return {survey, std::move(attempt), how, std::move(checkpoint), false};
}

inline auto session_of(std::uint64_t run) -> entry_session
{
    return {node_id{"e1"}, incarnation{run}};
}

inline auto key_of(std::string key) -> key_name
{
    return {survey, idempotency_key{std::move(key)}};
}

inline auto begin_of(std::string key, std::uint64_t run, std::uint64_t request,
                     std::uint64_t digest = 1) -> begin_key
{
    return {key_of(std::move(key)), request_digest{digest}, session_of(run),
            request_id{request}, wall_time{seconds{1000}}};
}

inline auto outcome_of(int status) -> key_outcome
{
    return {static_cast<http_status>(status), {}, "done", false};
}

/// Applies commands at successive indices.
class log_of_commands
{
public:
    auto run(command const& it) -> apply_result
    {
        history.push_back(it);
        return state.apply(it, log_index{history.size()});
    }

    state_machine state;
    std::vector<command> history;
};

inline auto ready() -> log_of_commands
{
    log_of_commands log;
    log.run(change_of(1, "c1", "ann"));
    log.run(worker_of("w1", 100));
    return log;
}

inline auto bytes_of(state_machine const& it) -> std::string
{
    return msgpack_codec::encode(it.snapshot());
}

} // namespace apricotlb

#endif
