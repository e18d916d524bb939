#include "adapters/body_stream.hpp"

#include <algorithm>
#include <cstring>
#include <memory>
#include <string>
#include <utility>

namespace apricotlb::body_stream
{

namespace
{

/// The stream's C++ part; the GObject holds one pointer to it.
struct state
{
    std::string held;
    std::size_t taken{0}; ///< bytes of `held` that were read
    bool ended{false};
    bool abandoned{false};
    std::function<void()> drained;
    GTask* waiting{nullptr};
    void* into{nullptr};
    gsize room{0};

    [[nodiscard]] auto size() const -> std::size_t
    {
        return held.size() - taken;
    }

    auto take(void* to, gsize most) -> gssize
    {
        auto const n = std::min(size(), static_cast<std::size_t>(most));
        std::memcpy(to, held.data() + taken, n);
        taken += n;
        if (taken == held.size())
        {
            held.clear();
            taken = 0;
        }
        return static_cast<gssize>(n);
    }

    /// Completes a waiting read when there is something to report.
    auto serve() -> void
    {
        if (waiting == nullptr || (size() == 0 && !ended && !abandoned))
        {
            return;
        }
        auto* const task = std::exchange(waiting, nullptr);
        if (abandoned)
        {
            g_task_return_new_error(task, G_IO_ERROR, G_IO_ERROR_CANCELLED,
                                    "the request was abandoned");
            g_object_unref(task);
            return;
        }
        auto const n = take(into, room);
        g_task_return_int(task, n);
        g_object_unref(task);
        if (n > 0 && drained)
        {
            drained();
        }
    }
};

struct object
{
    GInputStream parent;
    state* self;
};

struct object_class
{
    GInputStreamClass parent;
};

auto state_of(gpointer stream) -> state&
{
    return *static_cast<object*>(stream)->self;
}

GObjectClass* parent_class{nullptr};

auto finalize(GObject* it) -> void
{
    std::default_delete<state>{}(reinterpret_cast<object*>(it)->self);
    parent_class->finalize(it);
}

auto read_async(GInputStream* stream, void* into, gsize room, int /*priority*/,
                GCancellable* cancellable, GAsyncReadyCallback done,
                gpointer data) -> void
{
    auto& self = state_of(stream);
    self.waiting = g_task_new(stream, cancellable, done, data);
    self.into = into;
    self.room = room;
    self.serve();
}

auto read_finish(GInputStream* /*stream*/, GAsyncResult* it, GError** ec)
    -> gssize
{
    return g_task_propagate_int(G_TASK(it), ec);
}

/// libsoup reads asynchronously; a blocking read would stop the loop.
auto read_now(GInputStream* stream, void* into, gsize room,
              GCancellable* /*cancellable*/, GError** ec) -> gssize
{
    auto& self = state_of(stream);
    if (self.size() == 0 && !self.ended)
    {
        g_set_error_literal(ec, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "empty");
        return -1;
    }
    return self.take(into, room);
}

/// The default closes on a thread of GLib's pool.
auto close_async(GInputStream* stream, int /*priority*/,
                 GCancellable* cancellable, GAsyncReadyCallback done,
                 gpointer data) -> void
{
    auto* const task = g_task_new(stream, cancellable, done, data);
    g_task_return_boolean(task, TRUE);
    g_object_unref(task);
}

auto close_finish(GInputStream* /*stream*/, GAsyncResult* it, GError** ec)
    -> gboolean
{
    return g_task_propagate_boolean(G_TASK(it), ec);
}

auto type() -> GType
{
    static auto const it = []
    {
        auto const init_class = [](gpointer base, gpointer)
        {
            parent_class =
                static_cast<GObjectClass*>(g_type_class_peek_parent(base));
            G_OBJECT_CLASS(base)->finalize = finalize;
            auto* const streams = G_INPUT_STREAM_CLASS(base);
            streams->read_fn = read_now;
            streams->read_async = read_async;
            streams->read_finish = read_finish;
            streams->close_async = close_async;
            streams->close_finish = close_finish;
        };
        auto const init = [](GTypeInstance* made, gpointer)
        { reinterpret_cast<object*>(made)->self = new state; };
        return g_type_register_static_simple(
            G_TYPE_INPUT_STREAM, "ApricotlbBodyStream", sizeof(object_class),
            init_class, sizeof(object), init, GTypeFlags{});
    }();
    return it;
}

} // namespace

auto make(std::function<void()> drained) -> GInputStream*
{
    auto* const it = static_cast<GInputStream*>(g_object_new(type(), nullptr));
    state_of(it).drained = std::move(drained);
    return it;
}

auto write(GInputStream* stream, std::string_view bytes) -> void
{
    auto& self = state_of(stream);
    if (self.taken > 0)
    {
        self.held.erase(0, self.taken);
        self.taken = 0;
    }
    self.held.append(bytes);
    self.serve();
}

auto end(GInputStream* stream) -> void
{
    state_of(stream).ended = true;
    state_of(stream).serve();
}

auto abandon(GInputStream* stream) -> void
{
    auto& self = state_of(stream);
    self.abandoned = true;
    self.drained = {};
    self.serve();
}

auto size(GInputStream* stream) -> std::size_t
{
    return state_of(stream).size();
}

} // namespace apricotlb::body_stream
