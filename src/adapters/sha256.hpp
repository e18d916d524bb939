/// SHA-256 hashes, HMAC and comparison by GLib.
#ifndef APRICOTLB_ADAPTERS_SHA256_HPP
#define APRICOTLB_ADAPTERS_SHA256_HPP

#include <apricotlb/ids.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace apricotlb
{

using sha256_digest = std::array<std::uint8_t, 32>;

/// Secret shared by the processes of a deployment.
using shared_key = strong<struct shared_key_tag, std::string>;

/// SHA-256 in 64 lower-case hexadecimal digits.
[[nodiscard]] auto sha256_hex(std::string_view bytes) -> std::string;

/// The hash under which a contract or the settings list a caller's token.
[[nodiscard]] auto hash_token(std::string_view token) -> token_hash;

/// hash_token as a type, for templates that take a hasher.
struct token_hasher
{
    auto operator()(std::string_view token) const -> token_hash
    {
        return hash_token(token);
    }
};

/// HMAC-SHA256 of the bytes.
[[nodiscard]] auto hmac_sha256(shared_key const& key, std::string_view bytes)
    -> sha256_digest;

/// Compares in a time that depends on the lengths only, so that response
/// times tell nothing about a secret.
[[nodiscard]] auto equal_constant_time(std::string_view a, std::string_view b)
    -> bool;

} // namespace apricotlb

#endif
