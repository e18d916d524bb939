#include "adapters/uv_source.hpp"

#include <glib.h>
#include <uv.h>

#include <string>

namespace apricotlb
{

namespace
{

struct loop_source
{
    GSource base;
    uv_loop_t* loop;
};

auto dispatch(GSource* source, GSourceFunc, gpointer) -> gboolean
{
    uv_run(reinterpret_cast<loop_source*>(source)->loop, UV_RUN_NOWAIT);
    return G_SOURCE_CONTINUE;
}

/// libuv adds the descriptor that reports ended operations to its backend only
/// in a run with something to wait for.
auto watch_operations(uv_loop_t* loop) -> int
{
    uv_async_t handle{};
    if (auto const ec = uv_async_init(loop, &handle, nullptr); ec != 0)
    {
        return ec;
    }
    uv_run(loop, UV_RUN_NOWAIT);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle), nullptr);
    uv_run(loop, UV_RUN_NOWAIT);
    return 0;
}

} // namespace

struct uv_source::state
{
    uv_loop_t loop{};
    GSourceFuncs functions{};
    GSource* source{nullptr};
    bool is_open{false};
};

uv_source::uv_source() : state_(std::make_unique<state>()) {}

uv_source::~uv_source()
{
    if (state_->source != nullptr)
    {
        g_source_destroy(state_->source);
        g_source_unref(state_->source);
    }
    if (state_->is_open)
    {
        uv_run(&state_->loop, UV_RUN_DEFAULT);
        uv_loop_close(&state_->loop);
    }
}

auto uv_source::limit_threads() -> void
{
    uv_os_setenv("UV_THREADPOOL_SIZE", "1");
}

auto uv_source::open() -> result<void>
{
    auto ec = uv_loop_init(&state_->loop);
    state_->is_open = ec == 0;
    ec = ec == 0 ? watch_operations(&state_->loop) : ec;
    if (ec != 0)
    {
        return fail(error_kind::disk_failed,
                    std::string{"start libuv: "} + uv_strerror(ec));
    }
    state_->functions.dispatch = dispatch;
    state_->source = g_source_new(&state_->functions, sizeof(loop_source));
    reinterpret_cast<loop_source*>(state_->source)->loop = &state_->loop;
    // The backend descriptor is one of epoll. Where polling such a descriptor
    // is not supported, it is always readable and the loop never waits. Ended
    // operations are reported by this one alone.
    g_source_add_unix_fd(state_->source, state_->loop.async_io_watcher.fd,
                         G_IO_IN);
    g_source_attach(state_->source, nullptr);
    return outcome::success();
}

auto uv_source::loop() -> uv_loop_s*
{
    return &state_->loop;
}

} // namespace apricotlb
