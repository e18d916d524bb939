/// Time of day of a process that differs from that of its machine.
#ifndef APRICOTLB_WALL_OFFSET_HPP
#define APRICOTLB_WALL_OFFSET_HPP

#include <apricotlb/strong.hpp>
#include <apricotlb/time.hpp>

#include <chrono>

namespace apricotlb
{

/// Wall time as exact as the system clock gives it.
using exact_wall_time =
    std::chrono::time_point<std::chrono::system_clock, microseconds>;

/// What a process adds to the time of day of its machine; may be negative.
using wall_offset = strong<struct wall_offset_tag, duration>;

} // namespace apricotlb

#endif
