/// Request source port by libsoup's server.
#ifndef APRICOTLB_ADAPTERS_SOUP_SERVER_HPP
#define APRICOTLB_ADAPTERS_SOUP_SERVER_HPP

#include "adapters/soup_exchange.hpp"
#include "ports/http.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/units.hpp>

#include <functional>
#include <memory>
#include <string>

namespace apricotlb
{

/// Limits on callers' connections.
struct server_limits
{
    connection_count connections{4096};
    byte_count body{config::max_body};
};

/// Listens on one address and hands on requests once their head is read.
class soup_server
{
public:
    using exchange = std::shared_ptr<soup_exchange>;
    using handler = std::function<void(exchange)>;

    explicit soup_server(server_limits limits = {});
    soup_server(soup_server const&) = delete;
    auto operator=(soup_server const&) -> soup_server& = delete;
    ~soup_server();

    auto on_request(handler run) -> void;

    /// Listens on "ip:port"; port 0 takes a free one. Returns the address.
    [[nodiscard]] auto listen(std::string const& at) -> result<std::string>;

    /// Every open and later connection closes after its next answer.
    auto close_after_answers() -> void;

    /// Accepts no new connection; open ones close after their next answer.
    auto stop_listening() -> void;

    /// Closes the connections on which nothing has arrived since their last
    /// answer. A request that has arrived but is not read keeps its connection.
    auto close_idle() -> void;

    /// Exchanges whose answer is not written yet.
    [[nodiscard]] auto open() const -> request_count;

    /// Called when the last open exchange has ended.
    auto on_idle(std::function<void()> run) -> void;

    /// Called for each request that is refused before it is handed on.
    auto on_refused(std::function<void(error_kind)> run) -> void;

    /// Open connections, with or without a request; those that wait to be
    /// accepted count as one.
    [[nodiscard]] auto connections() const -> connection_count;

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(request_source_port<soup_server>);

} // namespace apricotlb

#endif
