#include "app/settings_check.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>

namespace apricotlb
{

namespace
{

constexpr std::size_t hash_digits = 64;

auto invalid_setting(std::string const& key, std::string_view expected,
                     std::string_view actual) -> outcome::failure_type<error>
{
    return fail(error_kind::bad_settings,
                key + ": must be " + std::string{expected} + ", got \"" +
                    std::string{actual.substr(0, 60)} + "\"");
}

template <class Id>
auto check_name(std::string const& key, Id const& id) -> result<void>
{
    auto const is_plain = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    auto const& text = id.value();
    if (text.empty() || text.size() > config::max_name_length ||
        !std::ranges::all_of(text, is_plain))
    {
        return invalid_setting(key, "1 to 128 letters, digits, '-', '_' or '.'",
                               text);
    }
    return outcome::success();
}

auto check_endpoint(std::string const& key, endpoint const& address)
    -> result<void>
{
    if (!is_endpoint(address))
    {
        return invalid_setting(key, "<ip>:<port> such as 127.0.0.1:7400",
                               address.value());
    }
    return outcome::success();
}

auto check_path(std::string const& key, file_path const& path) -> result<void>
{
    if (path.value().empty())
    {
        return invalid_setting(key, "a path", path.value());
    }
    return outcome::success();
}

auto check_hash(std::string const& key, token_hash const& hash) -> result<void>
{
    auto const is_hex = [](char c)
    { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    auto const& text = hash.value();
    if (text.size() != hash_digits || !std::ranges::all_of(text, is_hex))
    {
        return invalid_setting(key, "a SHA-256 hash as printed by hash-token",
                               text);
    }
    return outcome::success();
}

/// Checks the settings of a process that has seeds. It finds the control
/// processes through them, so `control` must be empty.
auto check_discovery(settings const& it, process_role role) -> result<void>
{
    if (it.discovery.seeds.size() > config::max_members)
    {
        return invalid_setting("discovery.seeds", "at most 16 addresses",
                               std::to_string(it.discovery.seeds.size()));
    }
    for (auto const& seed : it.discovery.seeds)
    {
        BOOST_OUTCOME_TRYV(check_endpoint("discovery.seeds", seed));
    }
    constexpr std::uint32_t max_losses = 3;
    if (it.discovery.tolerated_losses > max_losses)
    {
        return invalid_setting("discovery.tolerated_losses", "0 to 3",
                               std::to_string(it.discovery.tolerated_losses));
    }
    if (!it.control.empty())
    {
        return invalid_setting("control", "left out beside discovery.seeds",
                               std::to_string(it.control.size()) +
                                   " processes");
    }
    return role == process_role::control ? check_endpoint("http_at", it.http_at)
                                         : result<void>{outcome::success()};
}

auto check_platform(settings const& it, process_role role) -> result<void>
{
    if (it.discovery.seeds.empty())
    {
        return invalid_setting("discovery.seeds",
                               "a list of addresses for interface: platform",
                               "");
    }
    if (it.run_lease < seconds{1} || it.run_lease > seconds{60})
    {
        return invalid_setting("run_lease", "1s to 60s",
                               std::to_string(it.run_lease.count()) + "us");
    }
    auto const takes_announcements = !it.announcements_at.value().empty();
    if (role != process_role::entry)
    {
        return takes_announcements
                   ? invalid_setting("announcements_at",
                                     "left out for a control process, which "
                                     "takes announcements at http_at",
                                     it.announcements_at.value())
                   : result<void>{outcome::success()};
    }
    if (takes_announcements)
    {
        BOOST_OUTCOME_TRYV(
            check_endpoint("announcements_at", it.announcements_at));
    }
    return check_endpoint("health_at", it.health_at);
}

/// Checks a group listed in `control`. Even sizes are refused because an even
/// number of voters tolerates no more failures than one voter fewer.
auto check_group(settings const& it, process_role role) -> result<void>
{
    auto const group_size = it.control.size();
    if (group_size != 1 && group_size != 3 && group_size != 5)
    {
        return invalid_setting("control", "a map of 1, 3 or 5 processes",
                               std::to_string(group_size));
    }
    for (auto const& [id, address] : it.control)
    {
        BOOST_OUTCOME_TRYV(check_name("control", id));
        BOOST_OUTCOME_TRYV(check_endpoint("control." + id.value(), address));
    }
    auto const is_member = it.control.contains(it.node);
    if (role == process_role::control && !it.joins && !is_member)
    {
        return invalid_setting("control",
                               "a map that contains this node unless "
                               "joins is true",
                               it.node.value());
    }
    if (role == process_role::entry && is_member)
    {
        return invalid_setting("node", "an id that no control process has",
                               it.node.value());
    }
    return outcome::success();
}

template <class Quantity>
auto check_minimum(std::string const& key, Quantity value, Quantity minimum)
    -> result<void>
{
    if (value < minimum)
    {
        return invalid_setting(key,
                               "at least " + std::to_string(minimum.value()),
                               std::to_string(value.value()));
    }
    return outcome::success();
}

} // namespace

auto is_endpoint(endpoint const& it) -> bool
{
    auto const& text = it.value();
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    auto host = text.substr(0, colon);
    unsigned port{0};
    auto const* const end = text.data() + text.size();
    auto const [parsed_end, ec] =
        std::from_chars(text.data() + colon + 1, end, port);
    constexpr unsigned max_port = 65'535;
    if (ec != std::errc{} || parsed_end != end || port == 0 || port > max_port)
    {
        return false;
    }
    auto const is_v6 =
        host.size() > 2 && host.starts_with('[') && host.ends_with(']');
    if (is_v6)
    {
        host = host.substr(1, host.size() - 2);
    }
    in6_addr parsed_address{};
    return ::inet_pton(is_v6 ? AF_INET6 : AF_INET, host.c_str(),
                       &parsed_address) == 1;
}

auto check(settings const& it, process_role role) -> result<void>
{
    BOOST_OUTCOME_TRYV(check_name("node", it.node));
    BOOST_OUTCOME_TRYV(check_name("region", it.region));
    BOOST_OUTCOME_TRYV(check_name("zone", it.zone));
    if (role != process_role::standalone)
    {
        BOOST_OUTCOME_TRYV(it.discovery.seeds.empty()
                               ? check_group(it, role)
                               : check_discovery(it, role));
        BOOST_OUTCOME_TRYV(check_endpoint("peers_at", it.peers_at));
        if (it.trust == peer_trust::key)
        {
            BOOST_OUTCOME_TRYV(check_path("key_file", it.key_file));
        }
    }
    if (it.interface == front_interface::platform)
    {
        BOOST_OUTCOME_TRYV(check_platform(it, role));
    }
    constexpr std::uint32_t max_ports = 64;
    if (it.peer_ports < 1 || it.peer_ports > max_ports)
    {
        return invalid_setting("peer_ports", "1 to 64",
                               std::to_string(it.peer_ports));
    }
    if (role != process_role::entry)
    {
        BOOST_OUTCOME_TRYV(check_path("data", it.data));
    }
    if (role != process_role::control)
    {
        BOOST_OUTCOME_TRYV(check_endpoint("http_at", it.http_at));
    }
    for (auto const& credential : it.operators)
    {
        BOOST_OUTCOME_TRYV(check_name("operators", credential.name));
        BOOST_OUTCOME_TRYV(check_hash("operators", credential.hash));
    }
    for (auto const& hash : it.platform_tokens)
    {
        BOOST_OUTCOME_TRYV(check_hash("platform_tokens", hash));
    }
    if (it.balancer_wait < duration{0} ||
        it.balancer_wait > std::chrono::minutes{10})
    {
        return invalid_setting("balancer_wait", "0s to 10m",
                               std::to_string(it.balancer_wait.count()) + "us");
    }
    if (it.shutdown_grace < duration{0} ||
        it.shutdown_grace > std::chrono::hours{1})
    {
        return invalid_setting("shutdown_grace", "0s to 1h",
                               std::to_string(it.shutdown_grace.count()) +
                                   "us");
    }
    if (it.sync_delay < duration{0} || it.sync_delay > seconds{10})
    {
        return invalid_setting("sync_delay", "0s to 10s",
                               std::to_string(it.sync_delay.count()) + "us");
    }
    constexpr duration max_offset = std::chrono::hours{1000};
    if (auto const offset = it.clock_offset.value();
        offset < -max_offset || offset > max_offset)
    {
        return invalid_setting("clock_offset", "-1000h to 1000h",
                               std::to_string(offset.count()) + "us");
    }
    if (it.max_body > config::max_body)
    {
        return invalid_setting("max_body", "at most 256MiB",
                               std::to_string(it.max_body.value()));
    }
    BOOST_OUTCOME_TRYV(
        check_minimum("max_body", it.max_body, byte_count{1024}));
    BOOST_OUTCOME_TRYV(check_minimum("queue_per_customer",
                                     it.queue_per_customer, request_count{1}));
    BOOST_OUTCOME_TRYV(check_minimum("max_connections", it.max_connections,
                                     connection_count{1}));
    return check_minimum("disk_limit", it.disk_limit, byte_count{64 << 20});
}

} // namespace apricotlb
