#include "adapters/unix_signals.hpp"

#include <glib-unix.h>

#include <csignal>
#include <optional>
#include <utility>

namespace apricotlb
{

struct unix_signals::state
{
    GMainLoop* loop{nullptr};
    guint sources[3]{};
    std::function<void(stop_signal)> on_stop;
    std::function<void()> on_reload;
    std::optional<exit_code> code;

    auto stop(stop_signal it) const -> void
    {
        if (on_stop)
        {
            on_stop(it);
        }
    }
};

auto ignore_broken_pipes() -> void
{
    std::signal(SIGPIPE, SIG_IGN);
}

namespace
{

/// Blocks or unblocks SIGHUP, by `how` of sigprocmask.
auto set_reload_mask(int how) -> void
{
    sigset_t reload;
    ::sigemptyset(&reload);
    ::sigaddset(&reload, SIGHUP);
    ::sigprocmask(how, &reload, nullptr);
}

} // namespace

auto hold_reloads() -> void
{
    set_reload_mask(SIG_BLOCK);
}

unix_signals::unix_signals() : state_(std::make_unique<state>())
{
    state_->loop = g_main_loop_new(nullptr, FALSE);
    auto const terminate = [](gpointer data) -> gboolean
    {
        static_cast<state*>(data)->stop(stop_signal::terminate);
        return G_SOURCE_CONTINUE;
    };
    auto const interrupt = [](gpointer data) -> gboolean
    {
        static_cast<state*>(data)->stop(stop_signal::interrupt);
        return G_SOURCE_CONTINUE;
    };
    state_->sources[0] = g_unix_signal_add(SIGTERM, terminate, state_.get());
    state_->sources[1] = g_unix_signal_add(SIGINT, interrupt, state_.get());
    auto const reload = [](gpointer data) -> gboolean
    {
        auto& it = *static_cast<state*>(data);
        if (it.on_reload)
        {
            it.on_reload();
        }
        return G_SOURCE_CONTINUE;
    };
    state_->sources[2] = g_unix_signal_add(SIGHUP, reload, state_.get());
    set_reload_mask(SIG_UNBLOCK);
}

unix_signals::~unix_signals()
{
    for (auto const it : state_->sources)
    {
        g_source_remove(it);
    }
    g_main_loop_unref(state_->loop);
}

auto unix_signals::run(std::function<void(stop_signal)> on_stop) -> exit_code
{
    state_->on_stop = std::move(on_stop);
    if (!state_->code)
    {
        g_main_loop_run(state_->loop);
    }
    return state_->code.value_or(exit_code::ok);
}

auto unix_signals::on_reload(std::function<void()> run) -> void
{
    state_->on_reload = std::move(run);
}

auto unix_signals::quit(exit_code code) -> void
{
    if (!state_->code)
    {
        state_->code = code;
    }
    g_main_loop_quit(state_->loop);
}

} // namespace apricotlb
