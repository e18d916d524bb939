/// Prints JSON values as text tables.
#ifndef APRICOTLB_APP_CLI_TABLE_HPP
#define APRICOTLB_APP_CLI_TABLE_HPP

#include "adapters/json_codec.hpp"

#include <iosfwd>

namespace apricotlb
{

enum class text_style : std::uint8_t
{
    plain,
    coloured, ///< bold headings; for terminals only
};

/// Prints an array of objects as a table, and an object as a list of keys and
/// values followed by a table for each array of objects in it. Control
/// characters are replaced by '?', because names from outside could otherwise
/// send escape sequences to the operator's terminal.
auto print_text(std::ostream& out, json_value const& value, text_style style)
    -> void;

} // namespace apricotlb

#endif
