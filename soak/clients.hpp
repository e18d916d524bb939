/// Callers: submit, cancel and read workflows, on connections that they use
/// until the process is gone.
#ifndef APRICOTLB_SOAK_CLIENTS_HPP
#define APRICOTLB_SOAK_CLIENTS_HPP

#include "soak/config_ledger.hpp"
#include "soak/http.hpp"
#include "soak/ledger.hpp"
#include "soak/processes.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricotlb::soak
{

/// A submission that the leader refuses for want of room is served.
[[nodiscard]] auto service_of(call_result const& it) -> call_service;

/// What the platform's balancer does: entries whose readiness check fails twice
/// get no new connections.
class balancer
{
public:
    balancer(glib_clock& clock, processes& system);

    /// The entry for a new connection of a caller in a zone.
    [[nodiscard]] auto entry_for(std::string const& zone,
                                 std::uint64_t hash) const -> std::string;

private:
    struct checked
    {
        std::unique_ptr<http_connection> connection;
        int misses{2};
    };

    auto check() -> void;

    glib_clock& clock_;
    processes& system_;
    std::map<std::string, checked> entries_;
};

struct traffic
{
    double submissions_per_s{6};
    std::size_t callers_per_entry{8};
    double cancelled{0.15}; ///< share of the workflows
    double kept{0.5};       ///< share of permanent ones that stay to the end
};

class clients
{
public:
    clients(glib_clock& clock, processes& system, balancer& entries,
            ledger& seen, config_ledger& configs, std::uint64_t seed,
            traffic rate);
    clients(clients const&) = delete;
    auto operator=(clients const&) -> clients& = delete;

    auto start() -> void;
    /// Submits and cancels no more; calls under way go on.
    auto stop() -> void { stopped_ = true; }
    /// Cancels many workflows at once.
    auto cancel_wave(std::uint64_t seed) -> void;
    /// Asks for the state of all accepted workflows until each is answered.
    auto ask_for_all() -> void;
    [[nodiscard]] auto unanswered() const -> std::vector<std::string>;

    [[nodiscard]] auto calls() const -> auto const& { return calls_; }

private:
    /// One connection, which takes the next call that is due.
    struct caller
    {
        std::string zone;
        std::uint64_t hash{0};
        std::string entry;
        std::unique_ptr<http_connection> connection;
    };
    using callback =
        std::function<void(std::string const&, call_result const&)>;

    auto call(http_call const& it, callback done) -> void;
    auto idle_caller() -> caller*;
    /// Until the callers stop, with a new gap each time.
    auto repeat(std::function<duration()> gap, std::function<void()> run)
        -> void;
    auto submit(workflow_plan const& plan, int attempts_left) -> void;
    auto cancel_later(workflow_plan const& plan) -> void;
    /// Repeats it until it is answered.
    auto cancel(std::string const& id) -> void;
    auto read() -> void;
    auto ask_for(std::string const& id) -> void;
    auto count() -> void;
    auto take_state(std::string const& id, std::string const& node,
                    call_result const& it) -> void;
    [[nodiscard]] auto new_plan() -> workflow_plan;

    glib_clock& clock_;
    processes& system_;
    balancer& entries_;
    ledger& ledger_;
    config_ledger& configs_;
    std::mt19937_64 random_;
    traffic rate_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::map<std::string, std::unique_ptr<http_connection>> counts_;
    std::vector<std::string> submitted_;
    std::set<std::string> unanswered_;
    std::map<std::string, std::size_t> calls_;
    bool stopped_{false};

public:
    /// Prefixes that operators have added, removed or never had.
    std::vector<std::string> counted_prefixes;
};

} // namespace apricotlb::soak

#endif
