/// The version of the program, as set by the build.
#ifndef APRICOTLB_APP_VERSION_HPP
#define APRICOTLB_APP_VERSION_HPP

#include <string_view>

namespace apricotlb
{

[[nodiscard]] auto version() -> std::string_view;

} // namespace apricotlb

#endif
