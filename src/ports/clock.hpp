/// Port: the clocks and timers of the event loop.
#ifndef APRICOTLB_PORTS_CLOCK_HPP
#define APRICOTLB_PORTS_CLOCK_HPP

#include <apricotlb/strong.hpp>
#include <apricotlb/time.hpp>

#include <concepts>
#include <cstdint>
#include <functional>

namespace apricotlb
{

using timer_id = strong<struct timer_tag, std::uint64_t>;

/// Reads the monotonic and the wall clock, and runs timers on the thread of the
/// event loop. A timer fires once.
template <class T>
concept clock_port = requires(T& it, duration delay,
                              std::function<void()> callback, timer_id timer) {
    {
        it.now()
    } -> std::same_as<time_point>;
    {
        it.wall_now()
    } -> std::same_as<wall_time>;
    {
        it.start_timer(delay, std::move(callback))
    } -> std::same_as<timer_id>;
    {
        it.cancel_timer(timer)
    } -> std::same_as<void>;
};

} // namespace apricotlb

#endif
