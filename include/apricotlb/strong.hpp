/// Strong types for ids and units.
#ifndef APRICOTLB_STRONG_HPP
#define APRICOTLB_STRONG_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <type_traits>
#include <utility>

namespace apricotlb
{

/// A value of type Rep without implicit conversions. Each Tag makes a distinct
/// type.
template <class Tag, class Rep>
class strong
{
public:
    using rep = Rep;

    constexpr strong() = default;
    constexpr explicit strong(Rep value) : value_(std::move(value)) {}

    [[nodiscard]] constexpr auto value() const noexcept -> Rep const&
    {
        return value_;
    }

    auto operator<=>(strong const&) const = default;

private:
    Rep value_{};
};

/// A number that can be added to and subtracted from numbers of its own type
/// only.
template <class Tag, class Rep>
class quantity
{
public:
    using rep = Rep;

    constexpr quantity() = default;
    constexpr explicit quantity(Rep value) : value_(value) {}

    [[nodiscard]] constexpr auto value() const noexcept -> Rep
    {
        return value_;
    }

    auto operator<=>(quantity const&) const = default;

    constexpr auto operator+=(quantity other) -> quantity&
    {
        value_ += other.value_;
        return *this;
    }
    constexpr auto operator-=(quantity other) -> quantity&
    {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr auto operator+(quantity a, quantity b) -> quantity
    {
        return a += b;
    }
    friend constexpr auto operator-(quantity a, quantity b) -> quantity
    {
        return a -= b;
    }
    constexpr auto operator++() -> quantity&
    {
        ++value_;
        return *this;
    }

private:
    Rep value_{};
};

template <class T>
inline constexpr bool is_strong_v = false;
template <class Tag, class Rep>
inline constexpr bool is_strong_v<strong<Tag, Rep>> = true;
template <class Tag, class Rep>
inline constexpr bool is_strong_v<quantity<Tag, Rep>> = true;

/// A strong id or quantity. Codecs encode its value.
template <class T>
concept strong_type = is_strong_v<std::remove_cvref_t<T>>;

} // namespace apricotlb

template <class Tag, class Rep>
struct std::hash<apricotlb::strong<Tag, Rep>>
{
    auto operator()(apricotlb::strong<Tag, Rep> const& it) const noexcept
        -> std::size_t
    {
        return std::hash<Rep>{}(it.value());
    }
};

template <class Tag, class Rep>
struct std::hash<apricotlb::quantity<Tag, Rep>>
{
    auto operator()(apricotlb::quantity<Tag, Rep> const& it) const noexcept
        -> std::size_t
    {
        return std::hash<Rep>{}(it.value());
    }
};

#endif
