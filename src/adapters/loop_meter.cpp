#include "adapters/loop_meter.hpp"

#include <glib.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace apricotlb
{

struct loop_meter::state
{
    glib_clock const& clock;
    GSource* source{nullptr};
    std::optional<time_point> woken_at; ///< start of the current turn
    loop_usage usage;

    auto end_turn() -> void
    {
        if (!woken_at)
        {
            return;
        }
        auto const turn = clock.now() - *std::exchange(woken_at, std::nullopt);
        ++usage.turns;
        usage.busy += turn;
        usage.longest_turn = std::max(usage.longest_turn, turn);
    }
};

loop_meter::loop_meter(glib_clock const& clock)
    : state_(std::make_unique<state>(clock))
{
    // Never ready: GLib calls prepare before each wait and check after it.
    struct source_with_state
    {
        GSource base;
        state* meter;
    };
    static GSourceFuncs functions{
        [](GSource* source, gint* timeout) -> gboolean
        {
            *timeout = -1;
            reinterpret_cast<source_with_state*>(source)->meter->end_turn();
            return FALSE;
        },
        [](GSource* source) -> gboolean
        {
            auto& it = *reinterpret_cast<source_with_state*>(source)->meter;
            it.woken_at = it.clock.now();
            return FALSE;
        },
        [](GSource*, GSourceFunc, gpointer) -> gboolean
        { return G_SOURCE_CONTINUE; },
        nullptr,
        nullptr,
        nullptr};
    state_->source = g_source_new(&functions, sizeof(source_with_state));
    reinterpret_cast<source_with_state*>(state_->source)->meter = state_.get();
    // GLib visits sources by priority and may skip the later ones in a turn.
    g_source_set_priority(state_->source, G_PRIORITY_HIGH);
    g_source_attach(state_->source, nullptr);
}

loop_meter::~loop_meter()
{
    g_source_destroy(state_->source);
    g_source_unref(state_->source);
}

auto loop_meter::take() -> loop_usage
{
    return std::exchange(state_->usage, {});
}

} // namespace apricotlb
