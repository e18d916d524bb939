/// Measures how busy the main loop of the process is.
#ifndef APRICOTLB_ADAPTERS_LOOP_METER_HPP
#define APRICOTLB_ADAPTERS_LOOP_METER_HPP

#include "adapters/glib_clock.hpp"

#include <apricotlb/time.hpp>

#include <cstdint>
#include <memory>

namespace apricotlb
{

/// Work of the loop since the last reading. A turn is what the loop does
/// between two waits.
struct loop_usage
{
    std::int64_t turns{0};
    duration busy{}; ///< sum of all turns, waits for the disk included
    duration longest_turn{};
};

/// Observes the default main context, at the cost of one more source.
class loop_meter
{
public:
    explicit loop_meter(glib_clock const& clock);
    loop_meter(loop_meter const&) = delete;
    auto operator=(loop_meter const&) -> loop_meter& = delete;
    ~loop_meter();

    /// Returns the usage since the last call.
    [[nodiscard]] auto take() -> loop_usage;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace apricotlb

#endif
