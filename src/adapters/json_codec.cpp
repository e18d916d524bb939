#include "adapters/json_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

namespace
{

/// Receives nlohmann's parse events and builds the value; an event that
/// returns false ends the parse.
class tree_builder
{
public:
    using number_integer_t = nlohmann::json::number_integer_t;
    using number_unsigned_t = nlohmann::json::number_unsigned_t;
    using number_float_t = nlohmann::json::number_float_t;
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    auto null() -> bool { return add({nullptr}); }
    auto boolean(bool it) -> bool { return add({it}); }
    auto number_integer(number_integer_t it) -> bool
    {
        return add({std::int64_t{it}});
    }
    auto number_unsigned(number_unsigned_t it) -> bool
    {
        return add({std::uint64_t{it}});
    }
    auto number_float(number_float_t it, string_t const&) -> bool
    {
        return add({it});
    }
    auto string(string_t& it) -> bool { return add({std::move(it)}); }
    auto binary(binary_t&) -> bool { return false; }

    auto start_object(std::size_t) -> bool
    {
        return open({json_value::object{}});
    }
    auto start_array(std::size_t) -> bool
    {
        return open({json_value::array{}});
    }
    auto key(string_t& it) -> bool
    {
        keys_.back() = std::move(it);
        return true;
    }
    auto end_object() -> bool
    {
        auto const& object = std::get<json_value::object>(open_.back().data);
        std::vector<std::string_view> names;
        names.reserve(object.size());
        for (auto const& it : object)
        {
            names.emplace_back(it.name);
        }
        std::ranges::sort(names);
        if (auto const it = std::ranges::adjacent_find(names);
            it != names.end())
        {
            why_ = "duplicate key \"" + std::string{it->substr(0, 40)} + "\"";
            return false;
        }
        return close();
    }
    auto end_array() -> bool { return close(); }

    auto parse_error(std::size_t at, std::string const&,
                     nlohmann::detail::exception const&) -> bool
    {
        why_ = "not JSON at byte " + std::to_string(at);
        return false;
    }

    [[nodiscard]] auto why() const -> std::string const& { return why_; }
    [[nodiscard]] auto take() -> json_value { return std::move(root_); }

private:
    auto add(json_value value) -> bool
    {
        if (open_.empty())
        {
            root_ = std::move(value);
        }
        else if (auto* array =
                     std::get_if<json_value::array>(&open_.back().data))
        {
            array->push_back(std::move(value));
        }
        else
        {
            std::get<json_value::object>(open_.back().data)
                .push_back({std::move(keys_.back()), std::move(value)});
        }
        return true;
    }

    auto open(json_value value) -> bool
    {
        if (open_.size() >= max_json_depth)
        {
            why_ = "nested deeper than " + std::to_string(max_json_depth);
            return false;
        }
        open_.push_back(std::move(value));
        keys_.emplace_back();
        return true;
    }

    auto close() -> bool
    {
        auto value = std::move(open_.back());
        open_.pop_back();
        keys_.pop_back();
        return add(std::move(value));
    }

    json_value root_;
    std::vector<json_value> open_;
    std::vector<std::string> keys_;
    std::string why_{"not JSON"};
};

auto to_library(json_value const& value) -> nlohmann::ordered_json
{
    auto const convert = []<class T>(T const& it) -> nlohmann::ordered_json
    {
        if constexpr (std::is_same_v<T, json_value::array>)
        {
            auto out = nlohmann::ordered_json::array();
            for (auto const& element : it)
            {
                out.push_back(to_library(element));
            }
            return out;
        }
        else if constexpr (std::is_same_v<T, json_value::object>)
        {
            auto out = nlohmann::ordered_json::object();
            for (auto const& member : it)
            {
                out.push_back({member.name, to_library(member.value)});
            }
            return out;
        }
        else
        {
            return it;
        }
    };
    return std::visit(convert, value.data);
}

} // namespace

json_value::json_value() = default;
json_value::json_value(json_value const& other) = default;
json_value::json_value(json_value&& other) noexcept = default;
auto json_value::operator=(json_value const& other) -> json_value& = default;
auto json_value::operator=(json_value&& other) noexcept
    -> json_value& = default;
json_value::~json_value() = default;

auto json_value::find(std::string_view name) const -> json_value const*
{
    auto const* members = get<object>();
    if (members == nullptr)
    {
        return nullptr;
    }
    auto const it = std::ranges::find(*members, name, &json_member::name);
    return it == members->end() ? nullptr : &it->value;
}

auto parse_json(std::string_view text) -> result<json_value>
{
    if (text.size() > max_json_bytes)
    {
        return fail(error_kind::body_too_large,
                    "JSON body: at most " + std::to_string(max_json_bytes) +
                        " bytes, got " + std::to_string(text.size()));
    }
    // The library takes a NUL byte for the end of its input; JSON allows none.
    if (auto const nul = text.find('\0'); nul != std::string_view::npos)
    {
        return fail(error_kind::bad_request,
                    "body: not JSON at byte " + std::to_string(nul + 1));
    }
    // The library skips a byte order mark, which senders must not add.
    if (text.starts_with("\xEF\xBB\xBF"))
    {
        return fail(error_kind::bad_request, "body: not JSON at byte 1");
    }
    tree_builder builder;
    // The library reports some faults by exceptions; they end here.
    try
    {
        if (!nlohmann::json::sax_parse(text, &builder))
        {
            return fail(error_kind::bad_request, "body: " + builder.why());
        }
    }
    catch (nlohmann::json::exception const& it)
    {
        return fail(error_kind::bad_request, std::string{"body: "} + it.what());
    }
    return builder.take();
}

auto print_json(json_value const& value) -> std::string
{
    return to_library(value).dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

auto json_detail::mismatch(std::string const& path, std::string_view want)
    -> outcome::failure_type<error>
{
    return fail(error_kind::bad_request,
                path + ": must be " + std::string{want});
}

auto problem_of(error it) -> problem
{
    auto const& row = answer_of(it.kind);
    return {std::move(it), row.ran, row.retry};
}

auto encode_problem(problem const& it) -> std::string
{
    auto const& row = answer_of(it.what.kind);
    std::string title{row.name};
    std::ranges::replace(title, '_', ' ');
    auto const text = [](std::string_view from)
    { return json_value{std::string{from}}; };
    return print_json({json_value::object{
        {"type", text("about:blank")},
        {"title", text(title)},
        {"status", {static_cast<std::uint64_t>(row.status)}},
        {"kind", text(row.name)},
        {"ran", text(name_of(it.ran))},
        {"retry", text(name_of(it.retry))},
        {"detail", text(it.what.detail)},
    }});
}

auto decode_problem(std::string_view text) -> result<problem>
{
    BOOST_OUTCOME_TRY(tree, parse_json(text));
    auto const member = [&tree](std::string_view name) -> std::string
    {
        auto const* it = tree.find(name);
        auto const* value = it == nullptr ? nullptr : it->get<std::string>();
        return value == nullptr ? std::string{} : *value;
    };
    auto const kind = error_kind_of(member("kind"));
    if (!kind)
    {
        return fail(error_kind::message_malformed,
                    "problem body without a known kind");
    }
    auto it = problem_of({*kind, member("detail")});
    for (auto const ran : {work_ran::no, work_ran::unknown, work_ran::yes})
    {
        it.ran = member("ran") == name_of(ran) ? ran : it.ran;
    }
    for (auto const retry :
         {retry_advice::never, retry_advice::later, retry_advice::elsewhere})
    {
        it.retry = member("retry") == name_of(retry) ? retry : it.retry;
    }
    return it;
}

} // namespace apricotlb
