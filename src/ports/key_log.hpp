/// Port: commands that an entry submits to the replicated log.
#ifndef APRICOTLB_PORTS_KEY_LOG_HPP
#define APRICOTLB_PORTS_KEY_LOG_HPP

#include "core/state/commands.hpp"

#include <apricotlb/result.hpp>

#include <concepts>
#include <functional>

namespace apricotlb
{

/// Submits a command to the leader. The callback runs at most once: with the
/// result of applying the command, or with an error when the command was not
/// accepted or its outcome is unknown.
template <class T>
concept key_log_port = requires(
    T& it, command change, std::function<void(result<apply_result>)> done) {
    {
        it.submit(std::move(change), std::move(done))
    } -> std::same_as<void>;
};

} // namespace apricotlb

#endif
