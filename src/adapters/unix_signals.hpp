/// The process's main loop and its signals, by GLib.
#ifndef APRICOTLB_ADAPTERS_UNIX_SIGNALS_HPP
#define APRICOTLB_ADAPTERS_UNIX_SIGNALS_HPP

#include "core/entry/drain.hpp"

#include <apricotlb/error.hpp>

#include <functional>
#include <memory>

namespace apricotlb
{

/// Lets writes to a reader that has gone fail, which end the process otherwise.
auto ignore_broken_pipes() -> void;

/// Holds SIGHUP back until there is a loop to take it. Its default action ends
/// a process that is still starting.
auto hold_reloads() -> void;

/// Runs the default main context until quit. SIGTERM and SIGINT call a
/// handler on the loop.
class unix_signals
{
public:
    unix_signals();
    unix_signals(unix_signals const&) = delete;
    auto operator=(unix_signals const&) -> unix_signals& = delete;
    ~unix_signals();

    /// Runs the loop; on_stop is called once for each signal.
    [[nodiscard]] auto run(std::function<void(stop_signal)> on_stop)
        -> exit_code;

    /// Called on the loop for each SIGHUP; without it the signal is ignored.
    auto on_reload(std::function<void()> run) -> void;

    /// Ends the loop. The code of the first call counts; a call before run()
    /// lets it return at once.
    auto quit(exit_code code) -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace apricotlb

#endif
