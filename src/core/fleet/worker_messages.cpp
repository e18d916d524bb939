#include "core/fleet/worker_messages.hpp"

#include <array>
#include <cstddef>

namespace apricotlb
{

namespace
{

constexpr std::array<std::string_view, 9> outcomes{
    "done",      "fenced",    "superseded", "late",      "no_room",
    "unhealthy", "malformed", "other_life", "no_answer",
};

constexpr std::array<std::string_view, 8> ends{
    "finished", "failed", "stopped", "lapsed",
    "broken",   "alone",  "lost",    "not_started",
};

static_assert(outcomes.size() ==
              static_cast<std::size_t>(order_outcome::no_answer) + 1);
static_assert(ends.size() ==
              static_cast<std::size_t>(run_end::not_started) + 1);

} // namespace

auto name_of(order_outcome it) -> std::string_view
{
    return outcomes[static_cast<std::size_t>(it)];
}

auto name_of(run_end it) -> std::string_view
{
    return ends[static_cast<std::size_t>(it)];
}

} // namespace apricotlb
