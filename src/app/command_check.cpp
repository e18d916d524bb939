#include "app/command_check.hpp"

#include "core/state/evacuation_registry.hpp"

#include <variant>

namespace apricotlb
{

auto check_command(command const& it) -> result<void>
{
    if (auto const* const change = std::get_if<apply_contract>(&it))
    {
        return check(change->value);
    }
    if (auto const* const job = std::get_if<submit_job>(&it))
    {
        return check(job->spec);
    }
    if (auto const* const worker = std::get_if<register_worker>(&it))
    {
        return check(worker->info);
    }
    if (auto const* const set = std::get_if<apply_contract_set>(&it))
    {
        return check(set->value);
    }
    if (auto const* const evacuation = std::get_if<evacuate_data_centre>(&it))
    {
        return check_data_centre(evacuation->zone);
    }
    if (auto const* const withdrawal = std::get_if<return_data_centre>(&it))
    {
        return check_data_centre(withdrawal->zone);
    }
    return outcome::success();
}

} // namespace apricotlb
