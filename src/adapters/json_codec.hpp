/// Codec port for JSON: structs with fields() become objects by field name.
/// A duration's key ends in its unit, such as lease_ms. Every key must be
/// there except for optional members, and no other key is allowed.
#ifndef APRICOTLB_ADAPTERS_JSON_CODEC_HPP
#define APRICOTLB_ADAPTERS_JSON_CODEC_HPP

#include "adapters/enum_names.hpp"
#include "ports/codec.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/error.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/strong.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

struct json_member;

/// The types that a JSON value can hold.
template <class T>
concept json_alternative =
    std::is_same_v<T, std::nullptr_t> || std::is_same_v<T, bool> ||
    std::is_same_v<T, std::int64_t> || std::is_same_v<T, std::uint64_t> ||
    std::is_same_v<T, double> || std::is_same_v<T, std::string> ||
    std::is_same_v<T, std::vector<struct json_value>> ||
    std::is_same_v<T, std::vector<json_member>>;

/// A JSON value as plain data. The type is recursive, so its special members
/// are defined where both types are complete.
struct json_value
{
    using array = std::vector<json_value>;
    using object = std::vector<json_member>;

    std::variant<std::nullptr_t, bool, std::int64_t, std::uint64_t, double,
                 std::string, array, object>
        data;

    json_value();
    json_value(json_value const& other);
    json_value(json_value&& other) noexcept;
    auto operator=(json_value const& other) -> json_value&;
    auto operator=(json_value&& other) noexcept -> json_value&;
    ~json_value();

    /// Not explicit: nested values are written as braced lists.
    template <json_alternative T>
    json_value(T it) : data(std::move(it))
    {
    }

    /// The member with the given name, or none.
    [[nodiscard]] auto find(std::string_view name) const -> json_value const*;

    /// The value when it is of type T, or none.
    template <class T>
    [[nodiscard]] auto get() const -> T const*
    {
        return std::get_if<T>(&data);
    }
};

/// One member of a JSON object.
struct json_member
{
    std::string name;
    json_value value;
};

/// Deepest nesting and longest text that are read.
inline constexpr std::size_t max_json_depth = 16;
inline constexpr std::size_t max_json_bytes = config::max_message_bytes;

/// Parses one value; refuses duplicate keys, deep nesting and long text.
[[nodiscard]] auto parse_json(std::string_view text) -> result<json_value>;

/// Prints a value on one line. Bytes that are not UTF-8 are replaced.
[[nodiscard]] auto print_json(json_value const& value) -> std::string;

/// An error as told to callers in application/problem+json.
struct problem
{
    error what;
    work_ran ran{work_ran::unknown};
    retry_advice retry{retry_advice::never};
};

/// The problem of an error, by the table of kinds.
[[nodiscard]] auto problem_of(error it) -> problem;

[[nodiscard]] auto encode_problem(problem const& it) -> std::string;
[[nodiscard]] auto decode_problem(std::string_view text) -> result<problem>;

namespace json_detail
{

template <class T>
inline constexpr bool is_vector_v = false;
template <class T>
inline constexpr bool is_vector_v<std::vector<T>> = true;
template <class T>
inline constexpr bool is_optional_v = false;
template <class T>
inline constexpr bool is_optional_v<std::optional<T>> = true;
template <class T>
inline constexpr bool is_duration_v = false;
template <class R, class P>
inline constexpr bool is_duration_v<std::chrono::duration<R, P>> = true;

/// The key of a member: its name, with the unit of a duration.
template <class T>
auto key_of(std::string_view name) -> std::string
{
    std::string key{name};
    if constexpr (is_duration_v<T>)
    {
        using period = typename T::period;
        static_assert(period::num == 1 &&
                      (period::den == 1 || period::den == 1000 ||
                       period::den == 1'000'000));
        key += period::den == 1 ? "_s" : period::den == 1000 ? "_ms" : "_us";
    }
    return key;
}

[[nodiscard]] auto mismatch(std::string const& path, std::string_view want)
    -> outcome::failure_type<error>;

template <class T>
auto write(T const& value) -> json_value
{
    if constexpr (strong_type<T>)
    {
        return write(value.value());
    }
    else if constexpr (is_duration_v<T>)
    {
        return write(value.count());
    }
    else if constexpr (std::is_same_v<T, error_kind>)
    {
        return {std::string{name_of(value)}};
    }
    else if constexpr (named_enum<T>)
    {
        return {std::string{enum_name(value)}};
    }
    else if constexpr (std::is_enum_v<T>)
    {
        return write(static_cast<std::underlying_type_t<T>>(value));
    }
    else if constexpr (std::is_same_v<T, bool> ||
                       std::is_same_v<T, std::string>)
    {
        return {value};
    }
    else if constexpr (std::is_floating_point_v<T>)
    {
        return {static_cast<double>(value)};
    }
    else if constexpr (std::is_signed_v<T>)
    {
        return {static_cast<std::int64_t>(value)};
    }
    else if constexpr (std::is_unsigned_v<T>)
    {
        return {static_cast<std::uint64_t>(value)};
    }
    else if constexpr (is_vector_v<T>)
    {
        json_value::array out;
        out.reserve(value.size());
        for (auto const& it : value)
        {
            out.push_back(write(it));
        }
        return {std::move(out)};
    }
    else
    {
        static_assert(reflected<T>, "type has no fields()");
        json_value::object out;
        for_each_field(
            value,
            [&out]<class M>(auto name, M const& it)
            {
                if constexpr (is_optional_v<M>)
                {
                    if (it)
                    {
                        using inner = typename M::value_type;
                        out.push_back({key_of<inner>(name), write(*it)});
                    }
                }
                else
                {
                    out.push_back({key_of<M>(name), write(it)});
                }
            });
        return {std::move(out)};
    }
}

template <class T>
auto read(json_value const& from, T& to, std::string const& path)
    -> result<void>;

template <class T>
auto read_integer(json_value const& from, T& to, std::string const& path)
    -> result<void>
{
    auto const store = [&to](auto n)
    {
        if (!std::in_range<T>(n))
        {
            return false;
        }
        to = static_cast<T>(n);
        return true;
    };
    auto const* low = from.get<std::int64_t>();
    auto const* high = from.get<std::uint64_t>();
    if (!(low != nullptr && store(*low)) && !(high != nullptr && store(*high)))
    {
        return mismatch(
            path, "an integer from " +
                      std::to_string(std::numeric_limits<T>::min()) + " to " +
                      std::to_string(std::numeric_limits<T>::max()));
    }
    return outcome::success();
}

template <class T>
auto read_enum(json_value const& from, T& to, std::string const& path)
    -> result<void>
{
    if constexpr (std::is_same_v<T, error_kind> || named_enum<T>)
    {
        auto const* text = from.get<std::string>();
        std::optional<T> it;
        std::string allowed{"the name of an error kind"};
        if constexpr (named_enum<T>)
        {
            it = text != nullptr ? enum_value<T>(*text) : std::nullopt;
            allowed = "one of " + allowed_names<T>();
        }
        else
        {
            it = text != nullptr ? error_kind_of(*text) : std::nullopt;
        }
        if (!it)
        {
            return mismatch(path, allowed);
        }
        to = *it;
    }
    else
    {
        std::underlying_type_t<T> n{};
        BOOST_OUTCOME_TRYV(read_integer(from, n, path));
        if (static_cast<T>(n) > last_enumerator<T>)
        {
            return mismatch(path, "a known value");
        }
        to = static_cast<T>(n);
    }
    return outcome::success();
}

template <class T>
auto read_object(json_value const& from, T& to, std::string const& path)
    -> result<void>
{
    auto const* object = from.get<json_value::object>();
    if (object == nullptr)
    {
        return mismatch(path, "an object");
    }
    std::vector<std::string> known;
    result<void> done = outcome::success();
    auto const visit = [&]<class M>(auto name, M& member)
    {
        auto const take = [&]<class Inner>(Inner& into)
        {
            known.push_back(key_of<Inner>(name));
            auto const* it = from.find(known.back());
            if (it != nullptr && done)
            {
                done = read(*it, into, path + "." + known.back());
            }
            return it != nullptr;
        };
        if constexpr (is_optional_v<M>)
        {
            typename M::value_type inner{};
            if (take(inner))
            {
                member = std::move(inner);
            }
        }
        else if (!take(member) && done)
        {
            done = mismatch(path + "." + known.back(), "set, it is missing");
        }
    };
    for_each_field(to, visit);
    BOOST_OUTCOME_TRYV(std::move(done));
    for (auto const& it : *object)
    {
        if (std::ranges::find(known, it.name) == known.end())
        {
            std::string allowed{"left out; the known keys are"};
            for (auto const& name : known)
            {
                allowed += (&name == known.data() ? " " : ", ") + name;
            }
            return mismatch(path + "." + it.name.substr(0, 40), allowed);
        }
    }
    return outcome::success();
}

template <class T>
auto read(json_value const& from, T& to, std::string const& path)
    -> result<void>
{
    if constexpr (strong_type<T>)
    {
        typename T::rep value{};
        BOOST_OUTCOME_TRYV(read(from, value, path));
        to = T{std::move(value)};
    }
    else if constexpr (is_duration_v<T>)
    {
        typename T::rep value{};
        BOOST_OUTCOME_TRYV(read_integer(from, value, path));
        to = T{value};
    }
    else if constexpr (std::is_enum_v<T>)
    {
        return read_enum(from, to, path);
    }
    else if constexpr (std::is_same_v<T, bool> ||
                       std::is_same_v<T, std::string>)
    {
        auto const* it = from.get<T>();
        if (it == nullptr)
        {
            return mismatch(path, std::is_same_v<T, bool> ? "true or false"
                                                          : "a string");
        }
        to = *it;
    }
    else if constexpr (std::is_integral_v<T>)
    {
        return read_integer(from, to, path);
    }
    else if constexpr (is_vector_v<T>)
    {
        auto const* array = from.get<json_value::array>();
        if (array == nullptr)
        {
            return mismatch(path, "an array");
        }
        to.resize(array->size());
        for (std::size_t n = 0; n < to.size(); ++n)
        {
            BOOST_OUTCOME_TRYV(
                read((*array)[n], to[n], path + "[" + std::to_string(n) + "]"));
        }
    }
    else
    {
        return read_object(from, to, path);
    }
    return outcome::success();
}

} // namespace json_detail

/// Encodes and decodes reflected types; decoding trusts nothing.
class json_codec
{
public:
    template <class Value>
    [[nodiscard]] static auto encode(Value const& value) -> encoded
    {
        return print_json(json_detail::write(value));
    }

    template <class Value>
    [[nodiscard]] static auto decode(std::string_view bytes) -> result<Value>
    {
        BOOST_OUTCOME_TRY(tree, parse_json(bytes));
        Value value{};
        BOOST_OUTCOME_TRYV(json_detail::read(tree, value, "body"));
        return value;
    }
};

} // namespace apricotlb

#endif
