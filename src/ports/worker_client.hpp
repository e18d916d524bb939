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

/// Sends a command without waiting. The callback gets the worker's answer or
/// the failure; neither confirms the command, only a report does.
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
