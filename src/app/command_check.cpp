#include "app/command_check.hpp"

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
    return outcome::success();
}

} // namespace apricotlb
