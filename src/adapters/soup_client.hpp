/// Upstream port by libsoup's session.
#ifndef APRICOTLB_ADAPTERS_SOUP_CLIENT_HPP
#define APRICOTLB_ADAPTERS_SOUP_CLIENT_HPP

#include "adapters/soup_call.hpp"
#include "ports/http.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace apricotlb
{

/// Keeps connections of each backend server in a session of its own, so that
/// the connections to one are bounded apart from the others.
class soup_client
{
public:
    using call = std::shared_ptr<soup_call>;

    soup_client() = default;
    soup_client(soup_client const&) = delete;
    auto operator=(soup_client const&) -> soup_client& = delete;
    ~soup_client();

    [[nodiscard]] auto open(upstream_request const& request,
                            upstream_events events) -> call;

    /// Most connections that may be open to a backend server.
    [[nodiscard]] auto connections(backend_id const& id) const
        -> connection_count;

private:
    auto session_for(upstream_request const& it) -> std::shared_ptr<session>;
    auto drop_unused() -> void;

    std::unordered_map<backend_id, std::shared_ptr<session>> sessions_;
    std::uint64_t opened_{0};
};

static_assert(upstream_port<soup_client>);

} // namespace apricotlb

#endif
