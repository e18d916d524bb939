/// TCP connections that remember the last bytes received.
#ifndef APRICOTLB_ADAPTERS_TAIL_CONNECTION_HPP
#define APRICOTLB_ADAPTERS_TAIL_CONNECTION_HPP

#include <gio/gio.h>

namespace apricotlb::tail_connection
{

/// Makes every TCP connection keep its last bytes from now on.
///
/// libsoup 3.2 reports a chunked answer as complete when the connection ends
/// between two chunks, and offers no other sign of it. The last bytes tell.
auto install() -> void;

/// True when the last bytes received are those of a last chunk.
[[nodiscard]] auto has_last_chunk(GIOStream* it) -> bool;

} // namespace apricotlb::tail_connection

#endif
