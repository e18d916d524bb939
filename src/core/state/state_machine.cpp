#include "core/state/state_machine.hpp"

#include <type_traits>
#include <utility>
#include <variant>

namespace apricotlb
{

namespace
{

template <class T, class... U>
concept one_of = (std::is_same_v<T, U> || ...);

} // namespace

state_machine::state_machine(state_snapshot from)
    : applied_(from.applied), contracts_(std::move(from.contracts)),
      workers_(from.workers), jobs_(std::move(from.jobs), workers_),
      keys_(std::move(from.keys)), interference_(std::move(from.interference)),
      contract_sets_(std::move(from.contract_sets)),
      workflows_(std::move(from.workflows)),
      evacuations_(std::move(from.evacuated))
{
}

auto state_machine::apply(command const& entry, log_index index) -> apply_result
{
    applied_ = index;
    revision const at{index.value()};
    auto const apply_body = [&]<class T>(T const& body) -> apply_result
    {
        if constexpr (one_of<T, apply_contract, remove_contract>)
        {
            return contracts_.apply(body, at);
        }
        else if constexpr (one_of<T, submit_job, place_task>)
        {
            return jobs_.apply(body, at, contracts_, workers_);
        }
        else if constexpr (one_of<T, cancel_job>)
        {
            return jobs_.apply(body, at);
        }
        else if constexpr (one_of<T, end_attempt>)
        {
            return jobs_.apply(body, at, workers_);
        }
        else if constexpr (one_of<T, expire_keys>)
        {
            return keys_.apply(body, at, contracts_);
        }
        else if constexpr (one_of<T, begin_key, finish_key, release_key,
                                  end_session>)
        {
            return keys_.apply(body, at);
        }
        else if constexpr (one_of<T, register_worker, retire_worker>)
        {
            return workers_.apply(body, at);
        }
        else if constexpr (one_of<T, apply_contract_set>)
        {
            return contract_sets_.apply(body, at);
        }
        else if constexpr (one_of<T, submit_workflow, cancel_workflow,
                                  start_runs, expire_workflows>)
        {
            return workflows_.apply(body, at);
        }
        else if constexpr (one_of<T, end_runs>)
        {
            return workflows_.apply(body, at, contract_sets_);
        }
        else if constexpr (one_of<T, evacuate_data_centre, return_data_centre>)
        {
            return evacuations_.apply(body, at);
        }
        else
        {
            static_assert(one_of<T, save_interference>);
            interference_ = body.entries;
            apply_result answer;
            answer.at = at;
            return answer;
        }
    };
    return std::visit(apply_body, entry);
}

auto state_machine::snapshot() const -> state_snapshot
{
    return {applied_,
            contracts_.snapshot(),
            workers_.snapshot(),
            jobs_.snapshot(),
            keys_.snapshot(),
            interference_,
            contract_sets_.current(),
            workflows_.snapshot(),
            evacuations_.snapshot()};
}

} // namespace apricotlb
