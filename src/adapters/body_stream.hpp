/// A bounded input stream that libsoup reads a request body from.
#ifndef APRICOTLB_ADAPTERS_BODY_STREAM_HPP
#define APRICOTLB_ADAPTERS_BODY_STREAM_HPP

#include <gio/gio.h>

#include <cstddef>
#include <functional>
#include <string_view>

namespace apricotlb::body_stream
{

/// An empty stream; `drained` runs whenever bytes were taken out.
[[nodiscard]] auto make(std::function<void()> drained) -> GInputStream*;

auto write(GInputStream* stream, std::string_view bytes) -> void;
/// Marks the end of the body.
auto end(GInputStream* stream) -> void;
/// Fails the reader; nothing is reported afterwards.
auto abandon(GInputStream* stream) -> void;
[[nodiscard]] auto size(GInputStream* stream) -> std::size_t;

} // namespace apricotlb::body_stream

#endif
