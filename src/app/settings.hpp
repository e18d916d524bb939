/// Settings of one process, as read from its YAML file.
#ifndef APRICOTLB_APP_SETTINGS_HPP
#define APRICOTLB_APP_SETTINGS_HPP

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>
#include <apricotlb/wall_offset.hpp>

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

/// What becomes of workflows that cannot end within their allowed time.
enum class late_work_policy : std::uint8_t
{
    accept, ///< they are run, and end late
    refuse, ///< submissions are refused at once
};

/// Protocol that this process serves to callers, workers and operators.
enum class front_interface : std::uint8_t
{
    native,
    platform, ///< protocol of the users' platform, implemented in platform/
};

/// How a process verifies that a peer belongs to its deployment.
enum class peer_trust : std::uint8_t
{
    key,     ///< messages carry a MAC computed with the secret in key_file
    network, ///< every sender that can reach the peer address is accepted
};

/// Settings of processes that find the control processes through a few known
/// addresses.
struct discovery_settings
{
    /// Addresses of some control processes. If empty, discovery is not used
    /// and settings::control lists all control processes.
    std::vector<endpoint> seeds;
    /// Set for the first start of a deployment: the control processes at the
    /// seed addresses create the group as its first voters.
    bool found_group{false};
    /// Number of control processes that may lose their disks at the same time
    /// without loss of committed data.
    std::uint32_t tolerated_losses{0};
};

/// An operator and the SHA-256 hash of the operator's token.
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
    file_path data;    ///< folder of the log and snapshots; unused by entry
    endpoint peers_at; ///< address on which peer messages are received
    std::uint32_t peer_ports{1}; ///< number of ports tried, from peers_at up
    endpoint http_at;   ///< HTTP address; on control for workers and operators
    endpoint health_at; ///< entry only: separate address for health checks
    /// Entry only: address at which it takes announcements of the workers of
    /// its zone; none if empty.
    endpoint announcements_at;
    discovery_settings discovery;
    front_interface interface {
        front_interface::native
    };
    peer_trust trust{peer_trust::key};
    /// Lease of a run that is sent to a worker of the platform interface.
    duration run_lease{std::chrono::seconds{10}};
    /// Control only.
    late_work_policy late_work{late_work_policy::accept};

    /// Ids of all control processes and their addresses for peer messages.
    std::map<node_id, endpoint> control;

    /// True for a control process that joins an existing group as a learner
    /// instead of being one of its first voters.
    bool joins{false};

    file_path key_file; ///< file with the secret shared by all processes
    std::vector<operator_token> operators;
    std::vector<token_hash> platform_tokens; ///< for workers and backends

    guard_mode guards{guard_mode::enabled}; ///< interference guards
    /// Time between the start of a shutdown and the end of listening, in which
    /// load balancers take the process out of their rotation.
    duration balancer_wait{std::chrono::seconds{5}};
    /// Time from SIGTERM until the process is killed; 0 if it is not. It ends
    /// itself a sixth earlier, whatever is in flight.
    duration shutdown_grace{};
    byte_count max_body{config::max_body};
    request_count queue_per_customer{1024};
    connection_count max_connections{4096};
    byte_count disk_limit{std::int64_t{4} << 30};
    /// For tests: mean of the time by which each sync of the log ends later.
    duration sync_delay{};
    /// For tests: added to the time of day of the machine. May change while the
    /// process runs.
    wall_offset clock_offset;

    log_level level{log_level::info};
    log_format format{log_format::text};
};

/// URL of a peer for the peer link. Adds tcp:// if the text has no scheme.
[[nodiscard]] inline auto peer_url(std::string const& text) -> url
{
    return url{text.find("://") == std::string::npos ? "tcp://" + text : text};
}

} // namespace apricotlb

#endif
