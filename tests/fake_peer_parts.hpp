/// Authentication and metrics for tests of the peer transport.
#ifndef APRICOTLB_TESTS_FAKE_PEER_PARTS_HPP
#define APRICOTLB_TESTS_FAKE_PEER_PARTS_HPP

#include "app/peer_transport.hpp"

#include <map>
#include <string>
#include <string_view>

namespace apricotlb
{

struct fake_auth
{
    [[nodiscard]] auto compute_mac(std::string_view) const -> std::string
    {
        return std::string(message_code_bytes, key);
    }
    [[nodiscard]] auto is_valid_mac(std::string_view code,
                                    std::string_view) const -> bool
    {
        return code == std::string(message_code_bytes, key);
    }

    char key{'k'};
};

struct fake_metrics
{
    auto count(std::string_view, std::string_view label) -> void
    {
        ++counts[std::string{label}];
    }
    auto record(std::string_view, std::string_view, duration) -> void {}

    std::map<std::string, int> counts;
};

} // namespace apricotlb

#endif
