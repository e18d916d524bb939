/// Port: the replicated state machine.
#ifndef APRICOTLB_PORTS_STATE_MACHINE_HPP
#define APRICOTLB_PORTS_STATE_MACHINE_HPP

#include "ports/codec.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <concepts>
#include <string_view>

namespace apricotlb
{

/// Applies committed commands in order. The same commands produce the same
/// state on every replica.
template <class T>
concept state_machine_port =
    requires(T& it, term in_term, log_index index, std::string_view command,
             encoded const& state) {
        it.apply(in_term, index, command);
        {
            it.snapshot()
        } -> std::same_as<encoded>;
        // Replaces the complete state by that of a snapshot.
        {
            it.restore(state)
        } -> std::same_as<result<void>>;
    };

} // namespace apricotlb

#endif
