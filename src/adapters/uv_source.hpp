/// A libuv loop as a source of the default GLib main context.
#ifndef APRICOTLB_ADAPTERS_UV_SOURCE_HPP
#define APRICOTLB_ADAPTERS_UV_SOURCE_HPP

#include <apricotlb/result.hpp>

#include <memory>

struct uv_loop_s;

namespace apricotlb
{

/// libuv performs file operations on a thread of its own; their callbacks run
/// on the thread of the GLib loop.
class uv_source
{
public:
    uv_source();
    uv_source(uv_source const&) = delete;
    auto operator=(uv_source const&) -> uv_source& = delete;
    /// Waits for the operations that were started; their callbacks run.
    ~uv_source();

    /// Limits the library to one thread, which bounds its memory. Called before
    /// the process has other threads, since it changes the environment.
    static auto limit_threads() -> void;
    /// Called once, before any operation.
    auto open() -> result<void>;
    [[nodiscard]] auto loop() -> uv_loop_s*;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace apricotlb

#endif
