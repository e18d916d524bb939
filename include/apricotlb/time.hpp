/// Durations and time points of the loop's clock.
#ifndef APRICOTLB_TIME_HPP
#define APRICOTLB_TIME_HPP

#include <chrono>
#include <cstdint>

namespace apricotlb
{

/// The loop's monotonic clock as a type only; the clock port has now().
struct loop_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<loop_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = loop_clock::duration;
using time_point = loop_clock::time_point;

/// Wall time, for data that outlives a process, such as the retention of keys.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace apricotlb

#endif
