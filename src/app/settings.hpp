/// Settings of one process, as read from its YAML file.
#ifndef APRICOTLB_APP_SETTINGS_HPP
#define APRICOTLB_APP_SETTINGS_HPP

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace apricotlb
{

/// An IP address and a port, such as 127.0.0.1:7400.
using endpoint = strong<struct endpoint_tag, std::string>;

/// A path of a file or folder.
using file_path = strong<struct file_path_tag, std::string>;

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

enum class log_format : std::uint8_t
{
    text,
    json,
};

enum class guard_mode : std::uint8_t
{
    enabled,
    disabled,
};

/// Whose protocol callers, workers and operators speak with this process.
enum class front_interface : std::uint8_t
{
    native,
    platform, ///< that of the users' platform (platform/)
};

/// How processes know that they belong to one deployment.
enum class peer_trust : std::uint8_t
{
    key,     ///< messages are sealed with the key of key_file
    network, ///< whoever reaches the peer address belongs to it
};

/// How processes that are told only a few addresses find each other.
struct discovery_settings
{
    /// Addresses of some control processes; empty: `control` lists them all.
    std::vector<endpoint> seeds;
    /// True at the first start of a deployment: the seeds found the group.
    bool found_group{false};
    /// Control processes that may lose their disks at once.
    std::uint32_t tolerated_losses{0};
};

/// An operator and the SHA-256 of the token that operator sends.
struct operator_token
{
    operator_name name;
    token_hash hash;
};

struct settings
{
    node_id node;
    region_id region;
    zone_id zone;
    file_path data;    ///< control only: folder of the log and snapshots
    endpoint peers_at; ///< where this process receives peer messages
    std::uint32_t peer_ports{1}; ///< tried one after the other from peers_at
    endpoint http_at;   ///< where callers connect; control: workers, operators
    endpoint health_at; ///< entry only: a second address for health checks
    discovery_settings discovery;
    front_interface interface {
        front_interface::native
    };
    peer_trust trust{peer_trust::key};
    duration run_lease{std::chrono::seconds{10}}; ///< of pushed runs

    /// Control processes: id and address for peer messages.
    std::map<node_id, endpoint> control;

    /// True for a control process that joins an existing group as a learner
    /// instead of being one of its first voters.
    bool joins{false};

    file_path key_file; ///< secret shared by the deployment's processes
    std::vector<operator_token> operators;
    std::vector<token_hash> platform_tokens; ///< for workers and backends

    guard_mode guards{guard_mode::enabled};
    duration balancer_wait{std::chrono::seconds{5}};
    byte_count max_body{config::max_body};
    request_count queue_per_customer{1024};
    connection_count max_connections{4096};
    byte_count disk_limit{std::int64_t{4} << 30};

    log_level level{log_level::info};
    log_format format{log_format::text};
};

/// The address of a peer as the link takes it; without a scheme it is TCP.
[[nodiscard]] inline auto peer_url(std::string const& text) -> url
{
    return url{text.find("://") == std::string::npos ? "tcp://" + text : text};
}

} // namespace apricotlb

#endif
