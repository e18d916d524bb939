/// Member lists of plain structs. Codecs iterate over them, so that the types
/// need no encoding of their own.
#ifndef APRICOTLB_FIELDS_HPP
#define APRICOTLB_FIELDS_HPP

#include <cstddef>
#include <string_view>
#include <tuple>
#include <type_traits>

namespace apricotlb
{

/// A member and its name in encoded data.
template <class Class, class Member>
struct field_of
{
    std::string_view name;
    Member Class::*member;
};

template <class Class, class Member>
constexpr auto field(std::string_view name, Member Class::*member)
    -> field_of<Class, Member>
{
    return {name, member};
}

template <class... Fields>
constexpr auto field_list(Fields... fields) -> std::tuple<Fields...>
{
    return std::tuple<Fields...>{fields...};
}

/// A struct that lists its members through a static fields().
template <class T>
concept reflected = requires { T::fields(); };

/// Members at the end of fields() that data written by an earlier version may
/// lack. They then keep their default values.
template <class T>
inline constexpr std::size_t optional_fields = 0;

/// The last enumerator of an enum that is sent or stored. A codec refuses any
/// value above it. It is specialised next to each such enum.
template <class Enum>
inline constexpr Enum last_enumerator = Enum::missing_last_enumerator;

/// Calls visit(name, member) for each member in the order of fields().
template <class T, class Visit>
constexpr auto for_each_field(T& object, Visit&& visit) -> void
{
    std::apply([&](auto const&... it)
               { (visit(it.name, object.*(it.member)), ...); },
               std::remove_cvref_t<T>::fields());
}

} // namespace apricotlb

#endif
