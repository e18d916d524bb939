#include "core/scheduling/explain.hpp"

#include <array>

namespace apricotlb
{

namespace
{

constexpr std::array<std::string_view, 15> reason_names{
    "waiting_for_turn", "no_contract", "allowance_used", "too_large",
    "no_capacity",      "share_used",  "interference",   "last_capacity",
    "failing_job",      "recording",   "starting",       "running",
    "checkpointing",    "stopping",    "ended"};
static_assert(reason_names.size() ==
              static_cast<std::size_t>(last_enumerator<task_reason>) + 1);

constexpr std::array<std::string_view, 8> move_names{
    "none",          "urgent_latency", "straggler", "worker_retired",
    "lease_expired", "not_started",    "failed",    "cancelled"};
static_assert(move_names.size() ==
              static_cast<std::size_t>(last_enumerator<move_reason>) + 1);

} // namespace

auto name_of(task_reason it) -> std::string_view
{
    return reason_names[static_cast<std::size_t>(it)];
}

auto name_of(move_reason it) -> std::string_view
{
    return move_names[static_cast<std::size_t>(it)];
}

auto contract_line(std::optional<contract> const& it, task_reason reason,
                   move_reason moved) -> std::string
{
    if (!it)
    {
        return "no contract in force";
    }
    auto const text = [](auto n) { return std::to_string(n); };
    auto line = "version " + text(it->version.value()) + ", ";
    if (reason == task_reason::allowance_used)
    {
        return line + "batch: " + text(it->batch.tasks.value()) + " tasks, " +
               text(it->batch.total.cores.value()) + " millicores, " +
               text(it->batch.total.memory.value()) + " bytes, " +
               text(it->batch.total.accels.value()) + " accelerators";
    }
    if (reason == task_reason::interference ||
        moved == move_reason::urgent_latency)
    {
        return line + "urgent_latency: " + text(it->urgent_latency.count()) +
               " ms";
    }
    return line + "vm_share: " + text(it->vm_share.value()) + " permille";
}

} // namespace apricotlb
