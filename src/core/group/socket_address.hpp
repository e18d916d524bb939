/// Text form of the addresses at which processes and workers listen.
#ifndef APRICOTLB_CORE_GROUP_SOCKET_ADDRESS_HPP
#define APRICOTLB_CORE_GROUP_SOCKET_ADDRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricotlb
{

/// True for HOST:PORT, where HOST is an IPv4 address, an IPv6 address in
/// brackets or a host name, and PORT is 1 to 65535. Host names and the inner
/// structure of IPv6 addresses are checked by their characters only.
[[nodiscard]] auto is_socket_address(std::string_view text) -> bool;

/// True for tcp://HOST:PORT.
[[nodiscard]] auto is_tcp_url(std::string_view text) -> bool;

/// An address or URL that ends in a port, with `offset` added to the port; none
/// if there is no such port.
[[nodiscard]] auto with_port_offset(std::string_view address,
                                    std::uint32_t offset)
    -> std::optional<std::string>;

} // namespace apricotlb

#endif
