#include "app/version.hpp"

namespace apricotlb
{

auto version() -> std::string_view
{
    return APRICOTLB_VERSION;
}

} // namespace apricotlb
