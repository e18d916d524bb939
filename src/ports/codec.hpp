/// Port: encoding of plain structs for messages and for disk.
#ifndef APRICOTLB_PORTS_CODEC_HPP
#define APRICOTLB_PORTS_CODEC_HPP

#include <apricotlb/result.hpp>

#include <concepts>
#include <string>
#include <string_view>

namespace apricotlb
{

/// Encoded bytes, opaque to the core.
using encoded = std::string;

/// Encodes and decodes one type.
template <class T, class Value>
concept codec_port = requires(Value const& value, std::string_view bytes) {
    {
        T::template encode<Value>(value)
    } -> std::same_as<encoded>;
    {
        T::template decode<Value>(bytes)
    } -> std::same_as<result<Value>>;
};

} // namespace apricotlb

#endif
