/// Entry points of the roles with the native interface. Each runs the main loop
/// until the process receives a stop signal or fails.
#ifndef APRICOTLB_APP_ROLES_HPP
#define APRICOTLB_APP_ROLES_HPP

#include "adapters/glib_clock.hpp"
#include "app/settings.hpp"

#include <apricotlb/error.hpp>

namespace apricotlb
{

/// Settings of a process, the file that they are reloaded from, and its clock.
struct process_start
{
    settings own;
    file_path file;
    glib_clock& clock;
};

[[nodiscard]] auto run_control(process_start const& start) -> exit_code;
[[nodiscard]] auto run_entry(process_start const& start) -> exit_code;
[[nodiscard]] auto run_standalone(process_start const& start) -> exit_code;

} // namespace apricotlb

#endif
