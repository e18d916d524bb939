/// Text form of the addresses at which processes and workers listen.
#ifndef APRICOTLB_CORE_GROUP_SOCKET_ADDRESS_HPP
#define APRICOTLB_CORE_GROUP_SOCKET_ADDRESS_HPP

#include <string_view>

namespace apricotlb
{

/// True for HOST:PORT, where HOST is an IPv4 address, an IPv6 address in
/// brackets or a host name, and PORT is 1 to 65535. Host names and the inner
/// structure of IPv6 addresses are checked by their characters only.
[[nodiscard]] auto is_socket_address(std::string_view text) -> bool;

/// True for tcp://HOST:PORT.
[[nodiscard]] auto is_tcp_url(std::string_view text) -> bool;

} // namespace apricotlb

#endif
