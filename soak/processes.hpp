/// The processes of a deployment on loopback, each with an address of its own.
#ifndef APRICOTLB_SOAK_PROCESSES_HPP
#define APRICOTLB_SOAK_PROCESSES_HPP

#include "soak/http.hpp"
#include "soak/ledger.hpp"

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb::soak
{

struct machine
{
    std::string name; ///< c0, c1, ... or e0, e1, ...
    std::string ip;
    std::string zone;
    std::filesystem::path data; ///< of a control process
    std::chrono::milliseconds sync_delay{0};
    /// Of its time of day, from the next settings file on.
    std::chrono::milliseconds clock_offset{0};
    pid_t pid{-1};
    unsigned watch{0};
    bool ending{false}; ///< by a signal of the soak
    time_point born{};  ///< start of its present life, by its own time of day
    /// The start of a life below its former one that has answered no read.
    std::optional<time_point> set_back_since;
    bool removed{false};

    [[nodiscard]] auto is_control() const -> bool
    {
        return name.front() == 'c';
    }
    [[nodiscard]] auto is_running() const -> bool { return pid > 0; }
    /// Address at which callers (entry) or operators and workers (control)
    /// are served.
    [[nodiscard]] auto served_at() const
    {
        return ip + (is_control() ? ":8166" : ":8161");
    }
    [[nodiscard]] auto ready_at() const { return ip + ":8167"; }
};

/// Mean time that each sync of the first control processes takes longer.
struct slow_disks
{
    static constexpr auto all = std::numeric_limits<std::size_t>::max();

    std::chrono::milliseconds sync_delay{0};
    std::size_t count{all};
};

struct deployment_options
{
    std::filesystem::path binary;
    /// Folder of control.yaml.in and entry.yaml.in.
    std::filesystem::path templates{"deploy"};
    std::filesystem::path folder;
    int first_octets{10}; ///< addresses are 127.first_octets.zone.number
    std::size_t control{5};
    std::size_t entries{6};
    int cores{0};            ///< of the machine, for all processes; 0: all
    bool unread_logs{false}; ///< logs go to pipes that nobody reads
    slow_disks disks;
};

/// Throws std::runtime_error with the path and the reason if the program can't
/// be run. A soak without its program finds nothing but ended processes.
auto check_program(std::filesystem::path const& program) -> void;

/// Claims a second octet of the loopback addresses until this process ends, so
/// that runs side by side do not meet; tries the one of `hint` first.
[[nodiscard]] auto claim_octet(int hint) -> int;

class processes
{
public:
    processes(glib_clock& clock, ledger& seen, disturbances& disturbed,
              deployment_options options);
    processes(processes const&) = delete;
    auto operator=(processes const&) -> processes& = delete;
    /// Kills what is left, by process id.
    ~processes();

    /// Starts a process; `first` is the first start of the deployment.
    auto start(std::string const& name, bool first = false) -> void;
    auto start_all() -> void;
    auto signal(std::string const& name, int number) -> void;
    /// Adds a control machine with an empty disk, at a new address.
    auto add_control() -> std::string;
    auto remove(std::string const& name) -> void;
    auto wipe(std::string const& name) -> void;
    /// Takes effect with the next settings file.
    auto set_sync_delay(std::string const& name, std::chrono::milliseconds mean)
        -> void;
    /// Replaces the settings file by a new one.
    auto write_settings(machine const& it, bool first = false) -> void;
    /// The same, and tells the process to read it.
    auto reload(std::string const& name) -> void;
    /// A read of the configuration at a control process, which needs the
    /// leader for its answer.
    auto on_read(std::string const& name, call_service how, time_point sent_at)
        -> void;

    [[nodiscard]] auto at(std::string const& name) -> machine&
    {
        return machines_.at(name);
    }
    /// Machines that were not removed; kind is `c` or `e`, or 0 for all.
    [[nodiscard]] auto names(char kind = 0) const -> std::vector<std::string>;
    [[nodiscard]] auto addresses(char kind) const -> std::vector<std::string>;

    /// The machine whose process has a connection from this address, as long as
    /// it is open; the address itself otherwise.
    [[nodiscard]] auto owner_of(std::string const& address) const
        -> std::string;

    /// Called when a process has ended, expected or not.
    std::function<void(std::string const&)> on_end;

private:
    auto add(char kind) -> std::string;
    auto reap(pid_t pid, int status) -> void;

    glib_clock& clock_;
    ledger& ledger_;
    disturbances& disturbed_;
    deployment_options options_;
    std::map<std::string, machine> machines_;
    std::map<char, std::size_t> count_;
    std::string seeds_;
};

} // namespace apricotlb::soak

#endif
