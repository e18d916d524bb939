/// What operators sent and read, and what callers saw of it.
#ifndef APRICOTLB_SOAK_CONFIG_LEDGER_HPP
#define APRICOTLB_SOAK_CONFIG_LEDGER_HPP

#include "soak/ledger.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotlb::soak
{

class config_ledger
{
public:
    config_ledger(bounds limits, ledger& all) : limits_(limits), all_(all) {}

    /// Two configurations may be sent under one version by two operators.
    auto on_sent(std::int64_t version, nlohmann::json document, time_point now)
        -> void;
    auto on_answer(std::int64_t version, bool is_valid, int status,
                   std::string const& node, time_point now) -> void;
    auto on_read(std::string const& node, std::string const& body,
                 time_point sent_at, time_point now) -> void;
    /// The answer to a count of the queue at `prefix`.
    auto on_count(std::string const& node, std::string const& prefix,
                  int status, time_point sent_at, time_point now) -> void;

    /// Reports what should have been acknowledged by now.
    auto check(time_point now) -> void;

    [[nodiscard]] auto acknowledged() const { return acknowledged_.size(); }
    [[nodiscard]] auto reads() const -> std::size_t { return reads_; }
    [[nodiscard]] auto counts() const -> std::size_t { return counts_; }

private:
    struct version
    {
        time_point sent_at{}; ///< first
        std::vector<nlohmann::json> documents;
        std::vector<std::set<std::string>> prefixes; ///< of each document
    };

    [[nodiscard]] auto required_at(time_point sent_at) const -> std::int64_t;

    bounds limits_;
    ledger& all_;
    std::map<std::int64_t, version> sent_;
    std::map<std::int64_t, time_point> acknowledged_;
    std::size_t reads_{0};
    std::size_t counts_{0};
};

} // namespace apricotlb::soak

#endif
