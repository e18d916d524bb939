/// Message authentication port by HMAC-SHA256.
#ifndef APRICOTLB_ADAPTERS_MESSAGE_AUTH_HPP
#define APRICOTLB_ADAPTERS_MESSAGE_AUTH_HPP

#include "adapters/sha256.hpp"
#include "ports/peer_link.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace apricotlb
{

/// Holds the secret that the deployment's processes share.
class message_auth
{
public:
    explicit message_auth(shared_key key) : key_(std::move(key)) {}

    [[nodiscard]] auto compute_mac(std::string_view bytes) const -> std::string
    {
        auto const code = hmac_sha256(key_, bytes);
        return {code.begin(), code.end()};
    }

    [[nodiscard]] auto is_valid_mac(std::string_view code,
                                    std::string_view bytes) const -> bool
    {
        return equal_constant_time(code, compute_mac(bytes));
    }

private:
    shared_key key_;
};

static_assert(message_auth_port<message_auth>);

} // namespace apricotlb

#endif
