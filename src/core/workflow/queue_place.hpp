/// The place of a queue in the form in which places are compared.
#ifndef APRICOTLB_CORE_WORKFLOW_QUEUE_PLACE_HPP
#define APRICOTLB_CORE_WORKFLOW_QUEUE_PLACE_HPP

#include <apricotlb/workflow.hpp>

#include <string_view>

namespace apricotlb
{

/// Host in canonical form, and prefix without percent-encoding.
struct queue_place
{
    host_name host;
    queue_path prefix;

    auto operator<=>(queue_place const&) const = default;
};

/// The host in lower case and without the dot that ends a fully qualified name
/// (RFC 3986, 3.2.2).
[[nodiscard]] auto canonical_host(host_name const& host) -> host_name;

/// The place of a queue. Requests come with decoded paths, so the prefix is
/// decoded too; malformed encoding is kept.
[[nodiscard]] auto queue_place_of(host_name const& host,
                                  queue_path const& prefix) -> queue_place;

/// The host of a Host header, without its port.
[[nodiscard]] auto host_of_authority(std::string_view authority) -> host_name;

} // namespace apricotlb

#endif
