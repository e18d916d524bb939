#include "adapters/sha256.hpp"

#include <glib.h>

#include <cstddef>
#include <memory>

namespace apricotlb
{

namespace
{

auto bytes_of(std::string_view it) -> guchar const*
{
    // NOLINTNEXTLINE(*-reinterpret-cast): GLib takes unsigned bytes.
    return reinterpret_cast<guchar const*>(it.data());
}

} // namespace

auto sha256_hex(std::string_view bytes) -> std::string
{
    std::unique_ptr<GChecksum, decltype(&g_checksum_free)> const sum{
        g_checksum_new(G_CHECKSUM_SHA256), &g_checksum_free};
    g_checksum_update(sum.get(), bytes_of(bytes),
                      static_cast<gssize>(bytes.size()));
    return g_checksum_get_string(sum.get());
}

auto hash_token(std::string_view token) -> token_hash
{
    return token_hash{sha256_hex(token)};
}

auto hmac_sha256(shared_key const& key, std::string_view bytes) -> sha256_digest
{
    std::unique_ptr<GHmac, decltype(&g_hmac_unref)> const hmac{
        g_hmac_new(G_CHECKSUM_SHA256, bytes_of(key.value()),
                   key.value().size()),
        &g_hmac_unref};
    g_hmac_update(hmac.get(), bytes_of(bytes),
                  static_cast<gssize>(bytes.size()));
    sha256_digest digest{};
    gsize size = digest.size();
    g_hmac_get_digest(hmac.get(), digest.data(), &size);
    return digest;
}

auto equal_constant_time(std::string_view a, std::string_view b) -> bool
{
    if (a.size() != b.size())
    {
        return false;
    }
    // Written through volatile: the compiler must not end the loop early.
    unsigned char volatile differ = 0;
    for (std::size_t n = 0; n < a.size(); ++n)
    {
        differ = static_cast<unsigned char>(
            differ | static_cast<unsigned char>(a[n] ^ b[n]));
    }
    return differ == 0;
}

} // namespace apricotlb
