#include "app/cli_table.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

namespace
{

using row = std::vector<std::string>;

/// Text of a value for one cell: "-" if it is null or empty, with '?' in place
/// of control characters.
auto cell_of(json_value const& value) -> std::string
{
    auto const* text = value.get<std::string>();
    auto out = text != nullptr ? *text : print_json(value);
    if (value.get<std::nullptr_t>() != nullptr || out.empty())
    {
        out = "-";
    }
    for (auto& c : out)
    {
        auto const code = static_cast<unsigned char>(c);
        c = code < ' ' || code == 0x7f ? '?' : c;
    }
    return out;
}

auto heading(std::string_view text, text_style style) -> std::string
{
    if (style == text_style::plain)
    {
        return std::string{text};
    }
    return "\x1b[1m" + std::string{text} + "\x1b[0m";
}

/// Prints rows in aligned columns; the first row holds the headings.
auto print_rows(std::ostream& out, std::vector<row> const& rows,
                text_style style) -> void
{
    std::vector<std::size_t> widths(rows.front().size());
    for (auto const& cells : rows)
    {
        for (std::size_t column = 0; column < cells.size(); ++column)
        {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    for (auto const& cells : rows)
    {
        auto const is_heading = &cells == rows.data();
        for (std::size_t column = 0; column < cells.size(); ++column)
        {
            out << (column == 0 ? "" : "  ")
                << heading(cells[column],
                           is_heading ? style : text_style::plain);
            if (column + 1 < cells.size())
            {
                out << std::string(widths[column] - cells[column].size(), ' ');
            }
        }
        out << '\n';
    }
}

/// Prints an array of objects as a table with a column for every name found in
/// them, and any other array as one value per line.
auto print_array(std::ostream& out, json_value::array const& array,
                 text_style style) -> void
{
    row names;
    for (auto const& element : array)
    {
        if (auto const* object = element.get<json_value::object>())
        {
            for (auto const& member : *object)
            {
                if (std::ranges::find(names, member.name) == names.end())
                {
                    names.push_back(member.name);
                }
            }
        }
    }
    if (names.empty())
    {
        for (auto const& element : array)
        {
            out << cell_of(element) << '\n';
        }
        out << (array.empty() ? "none\n" : "");
        return;
    }
    std::vector<row> rows{names};
    for (auto const& element : array)
    {
        row cells;
        for (auto const& name : names)
        {
            auto const* value = element.find(name);
            cells.push_back(value == nullptr ? "-" : cell_of(*value));
        }
        rows.push_back(std::move(cells));
    }
    print_rows(out, rows, style);
}

auto is_table(json_value const& it) -> bool
{
    auto const* array = it.get<json_value::array>();
    return array != nullptr && !array->empty() &&
           array->front().get<json_value::object>() != nullptr;
}

} // namespace

auto print_text(std::ostream& out, json_value const& value, text_style style)
    -> void
{
    if (auto const* array = value.get<json_value::array>())
    {
        print_array(out, *array, style);
        return;
    }
    auto const* object = value.get<json_value::object>();
    if (object == nullptr)
    {
        out << cell_of(value) << '\n';
        return;
    }
    std::size_t name_width{0};
    for (auto const& member : *object)
    {
        name_width = std::max(name_width, member.name.size());
    }
    for (auto const& member : *object)
    {
        if (!is_table(member.value))
        {
            out << heading(member.name, style)
                << std::string(name_width - member.name.size(), ' ') << "  "
                << cell_of(member.value) << '\n';
        }
    }
    for (auto const& member : *object)
    {
        if (is_table(member.value))
        {
            out << '\n' << heading(member.name, style) << '\n';
            print_array(out, *member.value.get<json_value::array>(), style);
        }
    }
}

} // namespace apricotlb
