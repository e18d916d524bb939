/// Port: commands to workers.
#ifndef APRICOTLB_PORTS_WORKER_CLIENT_HPP
#define APRICOTLB_PORTS_WORKER_CLIENT_HPP

#include "core/scheduling/worker_commands.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <concepts>
#include <functional>

namespace apricotlb
{

/// Sends a command asynchronously. The callback receives the worker's answer or
/// the failure. Neither confirms that the command took effect; only a report of
/// the worker does.
template <class T>
concept worker_client_port =
    requires(T& it, url const& to, worker_command const& command,
             std::function<void(result<void>)> done) {
        {
            it.send(to, command, std::move(done))
        } -> std::same_as<void>;
    };

} // namespace apricotlb

#endif
