/// Checks the commands that other processes send.
#ifndef APRICOTLB_APP_COMMAND_CHECK_HPP
#define APRICOTLB_APP_COMMAND_CHECK_HPP

#include "core/state/commands.hpp"

#include <apricotlb/result.hpp>

namespace apricotlb
{

/// Validates a command again, since the entry that sent it may run another
/// version.
[[nodiscard]] auto check_command(command const& it) -> result<void>;

} // namespace apricotlb

#endif
