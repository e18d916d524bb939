/// Operators: send configurations one after the other and at the same time,
/// race each other, and read back.
#ifndef APRICOTLB_SOAK_OPERATORS_HPP
#define APRICOTLB_SOAK_OPERATORS_HPP

#include "soak/clients.hpp"
#include "soak/config_ledger.hpp"
#include "soak/http.hpp"
#include "soak/processes.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricotlb::soak
{

class operators
{
public:
    operators(glib_clock& clock, processes& system, config_ledger& configs,
              clients& callers, std::uint64_t seed);
    operators(operators const&) = delete;
    auto operator=(operators const&) -> operators& = delete;

    /// Sends the first configuration until it is acknowledged.
    auto start(std::function<void()> configured) -> void;
    /// Sends no new configuration; those under way go on.
    auto stop() -> void { stopped_ = true; }
    [[nodiscard]] auto has_open_changes() const -> bool { return open_ > 0; }
    /// Nodes that have answered a read since the last call.
    auto take_answering() { return std::exchange(answering_, {}); }

private:
    using json = nlohmann::json;

    [[nodiscard]] auto document(std::int64_t version) const -> json;
    auto change_routes() -> void;
    auto next_round() -> void;
    auto change() -> void;
    auto send_change(json const& document) -> void;
    auto send(std::shared_ptr<std::string const> body, std::int64_t version,
              bool is_valid, int attempts_left, std::function<void()> done)
        -> void;
    auto send_invalid() -> void;
    auto read_all() -> void;
    auto read_later(std::string const& node) -> void;

    glib_clock& clock_;
    processes& system_;
    config_ledger& configs_;
    clients& clients_;
    std::mt19937_64 random_;
    std::int64_t version_{0};
    std::int64_t last_route_{0};
    std::vector<std::string> routes_; ///< beside those of the queues in use
    std::map<std::string, std::unique_ptr<http_connection>> readers_;
    std::set<std::string> answering_;
    int open_{0};
    bool stopped_{false};
};

} // namespace apricotlb::soak

#endif
