#include "core/fleet/worker_messages.hpp"

#include <array>
#include <cstddef>

namespace apricotlb
{

namespace
{

constexpr std::array<std::string_view, 10> outcome_names{
    "done",      "fenced",    "superseded", "late",      "no_room",
    "unhealthy", "malformed", "other_life", "no_answer", "not_sent",
};

constexpr std::array<std::string_view, 9> end_names{
    "finished", "failed", "stopped",     "lapsed",  "broken",
    "alone",    "lost",   "not_started", "crashed",
};

static_assert(outcome_names.size() ==
              static_cast<std::size_t>(last_enumerator<order_outcome>) + 1);
static_assert(end_names.size() ==
              static_cast<std::size_t>(last_enumerator<run_end>) + 1);

} // namespace

auto name_of(order_outcome it) -> std::string_view
{
    return outcome_names[static_cast<std::size_t>(it)];
}

auto name_of(run_end it) -> std::string_view
{
    return end_names[static_cast<std::size_t>(it)];
}

} // namespace apricotlb
