/// Codec port by msgpack-cxx: structs with fields() become arrays.
#ifndef APRICOTLB_ADAPTERS_MSGPACK_CODEC_HPP
#define APRICOTLB_ADAPTERS_MSGPACK_CODEC_HPP

#include "ports/codec.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/strong.hpp>

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <limits>
#include <map>
#include <new>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

namespace msgpack_detail
{

template <class T>
inline constexpr bool is_vector_v = false;
template <class T>
inline constexpr bool is_vector_v<std::vector<T>> = true;
template <class T>
inline constexpr bool is_map_v = false;
template <class K, class V>
inline constexpr bool is_map_v<std::map<K, V>> = true;
template <class T>
inline constexpr bool is_optional_v = false;
template <class T>
inline constexpr bool is_optional_v<std::optional<T>> = true;
template <class T>
inline constexpr bool is_variant_v = false;
template <class... T>
inline constexpr bool is_variant_v<std::variant<T...>> = true;
template <class T>
inline constexpr bool is_duration_v = false;
template <class R, class P>
inline constexpr bool is_duration_v<std::chrono::duration<R, P>> = true;
template <class T>
inline constexpr bool is_time_point_v = false;
template <class C, class D>
inline constexpr bool is_time_point_v<std::chrono::time_point<C, D>> = true;

using packer = msgpack::packer<msgpack::sbuffer>;

/// Fields of a struct to encode. Empty ones at the end that a reader may miss
/// are left out, since programs of earlier versions refuse fields that they do
/// not know.
template <class T>
auto count_fields(T const& value) -> std::size_t
{
    constexpr auto count = std::tuple_size_v<decltype(T::fields())>;
    std::size_t n{0};
    std::size_t used{count - optional_fields<T>};
    for_each_field(
        value,
        [&](auto, auto const& it)
        {
            ++n;
            if constexpr (is_optional_v<std::remove_cvref_t<decltype(it)>>)
            {
                used = it ? std::max(used, n) : used;
            }
            else
            {
                used = std::max(used, n);
            }
        });
    return used;
}

template <class T>
auto pack(packer& out, T const& value) -> void
{
    if constexpr (strong_type<T>)
    {
        pack(out, value.value());
    }
    else if constexpr (std::is_enum_v<T>)
    {
        pack(out, static_cast<std::underlying_type_t<T>>(value));
    }
    else if constexpr (is_duration_v<T>)
    {
        pack(out, value.count());
    }
    else if constexpr (is_time_point_v<T>)
    {
        pack(out, value.time_since_epoch().count());
    }
    else if constexpr (std::is_same_v<T, std::string>)
    {
        out.pack_bin(static_cast<std::uint32_t>(value.size()));
        out.pack_bin_body(value.data(),
                          static_cast<std::uint32_t>(value.size()));
    }
    else if constexpr (std::is_arithmetic_v<T>)
    {
        out.pack(value);
    }
    else if constexpr (is_vector_v<T>)
    {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (auto const& it : value)
        {
            pack(out, it);
        }
    }
    else if constexpr (is_map_v<T>)
    {
        out.pack_map(static_cast<std::uint32_t>(value.size()));
        for (auto const& [key, it] : value)
        {
            pack(out, key);
            pack(out, it);
        }
    }
    else if constexpr (is_optional_v<T>)
    {
        if (value)
        {
            pack(out, *value);
        }
        else
        {
            out.pack_nil();
        }
    }
    else if constexpr (is_variant_v<T>)
    {
        out.pack_array(2);
        out.pack(static_cast<std::uint32_t>(value.index()));
        std::visit([&out](auto const& it) { pack(out, it); }, value);
    }
    else
    {
        static_assert(reflected<T>, "type has no fields()");
        auto left = count_fields(value);
        out.pack_array(static_cast<std::uint32_t>(left));
        for_each_field(value,
                       [&](auto, auto const& it)
                       {
                           if (left > 0)
                           {
                               --left;
                               pack(out, it);
                           }
                       });
    }
}

template <class T>
auto unpack(msgpack::object const& from, T& to) -> bool;

template <class T>
auto unpack_number(msgpack::object const& from, T& to) -> bool
{
    if constexpr (std::is_same_v<T, bool>)
    {
        to = from.type == msgpack::type::BOOLEAN && from.via.boolean;
        return from.type == msgpack::type::BOOLEAN;
    }
    else if constexpr (std::is_floating_point_v<T>)
    {
        to = static_cast<T>(from.via.f64);
        return from.type == msgpack::type::FLOAT64;
    }
    else if (from.type == msgpack::type::POSITIVE_INTEGER)
    {
        to = static_cast<T>(from.via.u64);
        return from.via.u64 <=
               static_cast<std::uint64_t>(std::numeric_limits<T>::max());
    }
    else if (from.type == msgpack::type::NEGATIVE_INTEGER &&
             std::is_signed_v<T>)
    {
        to = static_cast<T>(from.via.i64);
        return from.via.i64 >=
               static_cast<std::int64_t>(std::numeric_limits<T>::min());
    }
    return false;
}

template <class Variant, std::size_t... Index>
auto unpack_variant(std::size_t index, msgpack::object const& from, Variant& to,
                    std::index_sequence<Index...>) -> bool
{
    auto done = false;
    auto const alternative = [&]<std::size_t N>()
    {
        if (N == index)
        {
            done = unpack(from, to.template emplace<N>());
        }
    };
    (alternative.template operator()<Index>(), ...);
    return done;
}

template <class T>
auto unpack(msgpack::object const& from, T& to) -> bool
{
    using msgpack::type::ARRAY;
    if constexpr (strong_type<T>)
    {
        typename T::rep value{};
        auto const ok = unpack(from, value);
        to = T{std::move(value)};
        return ok;
    }
    else if constexpr (std::is_enum_v<T>)
    {
        using rep = std::underlying_type_t<T>;
        rep value{};
        auto const ok = unpack_number(from, value) &&
                        value <= static_cast<rep>(last_enumerator<T>);
        to = static_cast<T>(value);
        return ok;
    }
    else if constexpr (is_duration_v<T>)
    {
        typename T::rep value{};
        auto const ok = unpack_number(from, value);
        to = T{value};
        return ok;
    }
    else if constexpr (is_time_point_v<T>)
    {
        typename T::duration value{};
        auto const ok = unpack(from, value);
        to = T{value};
        return ok;
    }
    else if constexpr (std::is_same_v<T, std::string>)
    {
        if (from.type != msgpack::type::BIN)
        {
            return false;
        }
        to.assign(from.via.bin.ptr, from.via.bin.size);
        return true;
    }
    else if constexpr (std::is_arithmetic_v<T>)
    {
        return unpack_number(from, to);
    }
    else if constexpr (is_vector_v<T>)
    {
        if (from.type != ARRAY)
        {
            return false;
        }
        // Grown step by step, so that elements of the wrong type cost no memory
        // for those after them.
        for (std::size_t n = 0; n < from.via.array.size; ++n)
        {
            if (!unpack(from.via.array.ptr[n], to.emplace_back()))
            {
                return false;
            }
        }
        return true;
    }
    else if constexpr (is_map_v<T>)
    {
        if (from.type != msgpack::type::MAP)
        {
            return false;
        }
        for (std::size_t n = 0; n < from.via.map.size; ++n)
        {
            std::pair<typename T::key_type, typename T::mapped_type> it;
            if (!unpack(from.via.map.ptr[n].key, it.first) ||
                !unpack(from.via.map.ptr[n].val, it.second))
            {
                return false;
            }
            to.insert(std::move(it));
        }
        return true;
    }
    else if constexpr (is_optional_v<T>)
    {
        if (from.type == msgpack::type::NIL)
        {
            to.reset();
            return true;
        }
        return unpack(from, to.emplace());
    }
    else if constexpr (is_variant_v<T>)
    {
        std::uint32_t index{};
        return from.type == ARRAY && from.via.array.size == 2 &&
               unpack_number(from.via.array.ptr[0], index) &&
               unpack_variant(
                   index, from.via.array.ptr[1], to,
                   std::make_index_sequence<std::variant_size_v<T>>{});
    }
    else
    {
        static_assert(reflected<T>, "type has no fields()");
        constexpr auto count = std::tuple_size_v<decltype(T::fields())>;
        static_assert(optional_fields<T> < count);
        if (from.type != ARRAY || from.via.array.size > count ||
            from.via.array.size < count - optional_fields<T>)
        {
            return false;
        }
        std::size_t n{0};
        auto ok = true;
        for_each_field(to,
                       [&](auto, auto& it)
                       {
                           ok = ok && (n >= from.via.array.size ||
                                       unpack(from.via.array.ptr[n], it));
                           ++n;
                       });
        return ok;
    }
}

} // namespace msgpack_detail

/// Encodes and decodes every reflected type; decoding trusts nothing and
/// refuses more than MaxBytes.
template <std::size_t MaxBytes>
class basic_msgpack_codec
{
public:
    template <class Value>
    [[nodiscard]] static auto encode(Value const& value) -> encoded
    {
        msgpack::sbuffer buf;
        msgpack_detail::packer out{buf};
        msgpack_detail::pack(out, value);
        return {buf.data(), buf.size()};
    }

    template <class Value>
    [[nodiscard]] static auto decode(std::string_view bytes) -> result<Value>
    {
        if (bytes.size() > max_bytes)
        {
            return fail(error_kind::message_malformed, "message too large");
        }
        // msgpack-cxx reports bad input by exceptions; they end here.
        try
        {
            // The library allocates the items that a header announces before
            // it reads them; each takes at least one byte.
            auto const items = std::min(bytes.size(), max_items);
            msgpack::unpack_limit const limits{items,     items,     max_bytes,
                                               max_bytes, max_bytes, max_depth};
            std::size_t end{0};
            auto const handle = msgpack::unpack(bytes.data(), bytes.size(), end,
                                                nullptr, nullptr, limits);
            Value value{};
            if (end != bytes.size() ||
                !msgpack_detail::unpack(handle.get(), value))
            {
                return fail(error_kind::message_malformed,
                            "bytes do not match the expected structure");
            }
            return value;
        }
        catch (std::bad_alloc const&)
        {
            return fail(error_kind::message_malformed, "out of memory");
        }
        catch (msgpack::unpack_error const& it)
        {
            return fail(error_kind::message_malformed, it.what());
        }
    }

private:
    static constexpr std::size_t max_bytes = MaxBytes;
    static constexpr std::size_t max_items = MaxBytes / 4;
    static constexpr std::size_t max_depth = 32;
};

/// For messages and log entries.
using msgpack_codec = basic_msgpack_codec<config::max_message_bytes>;

/// For the whole state.
using snapshot_codec = basic_msgpack_codec<config::max_snapshot_bytes>;

} // namespace apricotlb

#endif
