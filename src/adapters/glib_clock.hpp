/// Clock port over the GLib main loop.
#ifndef APRICOTLB_ADAPTERS_GLIB_CLOCK_HPP
#define APRICOTLB_ADAPTERS_GLIB_CLOCK_HPP

#include "ports/clock.hpp"

#include <apricotlb/wall_offset.hpp>

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace apricotlb
{

/// Steady time that goes on while the machine is suspended. Leases that others
/// count on must not last longer than that.
[[nodiscard]] auto boot_time() -> time_point;

/// Timers run in the default main context of the process.
class glib_clock
{
public:
    explicit glib_clock(wall_offset offset = {}) : offset_(offset) {}
    glib_clock(glib_clock const&) = delete;
    auto operator=(glib_clock const&) -> glib_clock& = delete;
    ~glib_clock();

    [[nodiscard]] auto now() const -> time_point;
    /// Time of day of the machine with the offset.
    [[nodiscard]] auto wall_now() const -> wall_time;
    [[nodiscard]] auto exact_wall_now() const -> exact_wall_time;
    auto set_wall_offset(wall_offset to) -> void { offset_ = to; }
    auto start_timer(duration after, std::function<void()> run) -> timer_id;
    auto cancel_timer(timer_id timer) -> void;

private:
    struct pending
    {
        glib_clock* owner;
        timer_id id;
        std::function<void()> run;
    };

    wall_offset offset_;
    std::uint64_t last_timer_{0};
    std::unordered_map<timer_id, unsigned> sources_;
};

static_assert(clock_port<glib_clock>);

} // namespace apricotlb

#endif
