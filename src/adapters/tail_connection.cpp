#include "adapters/tail_connection.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>

namespace apricotlb::tail_connection
{

namespace
{

constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";

/// Passes reads on to a socket's stream and keeps the last bytes.
struct tail_stream
{
    GInputStream parent;
    GInputStream* base;
    std::array<char, last_chunk.size()> tail;
};

struct tail_stream_class
{
    GInputStreamClass parent;
};

GObjectClass* stream_parent{nullptr};
using input_getter = GInputStream* (*)(GIOStream*);
input_getter socket_input{nullptr};
constexpr char const* slot = "apricotlb-tail";

auto keep_tail(tail_stream& it, void const* bytes, gssize n) -> gssize
{
    if (n > 0)
    {
        auto const* const data = static_cast<char const*>(bytes);
        auto const size = static_cast<std::size_t>(n);
        auto const fresh = std::min(size, it.tail.size());
        std::shift_left(it.tail.begin(), it.tail.end(),
                        static_cast<std::ptrdiff_t>(fresh));
        std::copy(data + (size - fresh), data + size,
                  it.tail.end() - static_cast<std::ptrdiff_t>(fresh));
    }
    return n;
}

auto read(GInputStream* self, void* into, gsize room, GCancellable* cancellable,
          GError** ec) -> gssize
{
    auto& it = *reinterpret_cast<tail_stream*>(self);
    return keep_tail(it, into,
                     g_input_stream_read(it.base, into, room, cancellable, ec));
}

auto close(GInputStream* self, GCancellable* cancellable, GError** ec)
    -> gboolean
{
    return g_input_stream_close(reinterpret_cast<tail_stream*>(self)->base,
                                cancellable, ec);
}

auto pollable(GPollableInputStream* self) -> GPollableInputStream*
{
    return G_POLLABLE_INPUT_STREAM(reinterpret_cast<tail_stream*>(self)->base);
}

auto can_poll(GPollableInputStream* /*self*/) -> gboolean
{
    return TRUE;
}

auto is_readable(GPollableInputStream* self) -> gboolean
{
    return g_pollable_input_stream_is_readable(pollable(self));
}

auto create_source(GPollableInputStream* self, GCancellable* cancellable)
    -> GSource*
{
    auto* const base =
        g_pollable_input_stream_create_source(pollable(self), nullptr);
    auto* const out = g_pollable_source_new_full(self, base, cancellable);
    g_source_unref(base);
    return out;
}

auto read_nonblocking(GPollableInputStream* self, void* into, gsize room,
                      GError** ec) -> gssize
{
    return keep_tail(*reinterpret_cast<tail_stream*>(self), into,
                     g_pollable_input_stream_read_nonblocking(
                         pollable(self), into, room, nullptr, ec));
}

auto finalize_stream(GObject* self) -> void
{
    g_object_unref(reinterpret_cast<tail_stream*>(self)->base);
    stream_parent->finalize(self);
}

auto stream_type() -> GType
{
    static auto const it = []
    {
        auto const init_class = [](gpointer base, gpointer)
        {
            stream_parent =
                static_cast<GObjectClass*>(g_type_class_peek_parent(base));
            G_OBJECT_CLASS(base)->finalize = finalize_stream;
            G_INPUT_STREAM_CLASS(base)->read_fn = read;
            G_INPUT_STREAM_CLASS(base)->close_fn = close;
        };
        auto const init_poll = [](gpointer base, gpointer)
        {
            auto* const poll =
                static_cast<GPollableInputStreamInterface*>(base);
            poll->can_poll = can_poll;
            poll->is_readable = is_readable;
            poll->create_source = create_source;
            poll->read_nonblocking = read_nonblocking;
        };
        auto const type = g_type_register_static_simple(
            G_TYPE_INPUT_STREAM, "ApricotlbTailStream",
            sizeof(tail_stream_class), init_class, sizeof(tail_stream), nullptr,
            GTypeFlags{});
        GInterfaceInfo const info{init_poll, nullptr, nullptr};
        g_type_add_interface_static(type, G_TYPE_POLLABLE_INPUT_STREAM, &info);
        return type;
    }();
    return it;
}

auto input_of(GIOStream* self) -> GInputStream*
{
    if (auto* const held = g_object_get_data(G_OBJECT(self), slot);
        held != nullptr)
    {
        return static_cast<GInputStream*>(held);
    }
    auto* const it = g_object_new(stream_type(), nullptr);
    static_cast<tail_stream*>(it)->base =
        static_cast<GInputStream*>(g_object_ref(socket_input(self)));
    g_object_set_data_full(G_OBJECT(self), slot, it, g_object_unref);
    return static_cast<GInputStream*>(it);
}

} // namespace

auto install() -> void
{
    if (socket_input != nullptr)
    {
        return;
    }
    // GLib has no safe way to replace the class: registering another one for
    // TCP leaves its table with a freed entry (GLib 2.74).
    auto* const it = g_type_class_ref(G_TYPE_TCP_CONNECTION);
    socket_input = G_IO_STREAM_CLASS(it)->get_input_stream;
    G_IO_STREAM_CLASS(it)->get_input_stream = input_of;
}

auto has_last_chunk(GIOStream* it) -> bool
{
    auto const* const input =
        static_cast<tail_stream const*>(g_object_get_data(G_OBJECT(it), slot));
    return input != nullptr &&
           std::string_view{input->tail.data(), input->tail.size()} ==
               last_chunk;
}

} // namespace apricotlb::tail_connection
