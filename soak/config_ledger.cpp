#include "soak/config_ledger.hpp"

#include <algorithm>
#include <utility>

namespace apricotlb::soak
{

auto config_ledger::on_sent(std::int64_t number, nlohmann::json document,
                            time_point now) -> void
{
    auto& it = sent_[number];
    it.sent_at = it.documents.empty() ? now : it.sent_at;
    if (std::ranges::find(it.documents, document) != it.documents.end())
    {
        return;
    }
    std::set<std::string> prefixes;
    for (auto const& route : document["routes"])
    {
        prefixes.insert(route["path_prefix"].get<std::string>());
    }
    it.documents.push_back(std::move(document));
    it.prefixes.push_back(std::move(prefixes));
}

auto config_ledger::on_answer(std::int64_t number, bool is_valid, int status,
                              std::string const& node, time_point now) -> void
{
    auto const what = "version " + std::to_string(number) + " at " + node;
    auto const is_refusal =
        status >= 400 && status < 500 && status != 408 && status != 429;
    if (status == 200 && !is_valid)
    {
        all_.report(promise::config_invalid, what + " is acknowledged", now);
    }
    else if (status == 200)
    {
        acknowledged_.try_emplace(number, now);
    }
    else if (is_refusal && is_valid)
    {
        all_.report(promise::config_refused,
                    what + " is refused with " + std::to_string(status), now);
    }
}

auto config_ledger::check(time_point now) -> void
{
    if (!all_.is_calm(now - limits_.acknowledge - limits_.contact))
    {
        return;
    }
    for (auto const& [number, it] : sent_)
    {
        if (!acknowledged_.contains(number) &&
            now > it.sent_at + limits_.acknowledge)
        {
            all_.report(promise::unacknowledged,
                        "version " + std::to_string(number), now);
        }
    }
}

/// The version that must be in force for what is sent at a point of time.
auto config_ledger::required_at(time_point sent_at) const -> std::int64_t
{
    std::int64_t out{0};
    for (auto const& [number, at] : acknowledged_)
    {
        if (at + limits_.config_apply < sent_at)
        {
            out = number;
        }
    }
    return out;
}

auto config_ledger::on_read(std::string const& node, std::string const& body,
                            time_point sent_at, time_point now) -> void
{
    ++reads_;
    auto const document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        all_.report(promise::config_invalid,
                    "what " + node + " reads back is no JSON", now);
        return;
    }
    auto const number = document.value("version", std::int64_t{0});
    auto const what =
        "version " + std::to_string(number) + " read from " + node;
    if (auto const needed = required_at(sent_at); number < needed)
    {
        all_.report(promise::config_order,
                    what + ", version " + std::to_string(needed) +
                        " was acknowledged",
                    now);
    }
    auto const found = sent_.find(number);
    if (found == sent_.end() ||
        std::ranges::find(found->second.documents, document) ==
            found->second.documents.end())
    {
        all_.report(promise::config_invalid, what + " was never sent so", now);
    }
}

auto config_ledger::on_count(std::string const& node, std::string const& prefix,
                             int status, time_point sent_at, time_point now)
    -> void
{
    ++counts_;
    if ((status != 200 && status != 404) || !all_.is_undisturbed(node, sent_at))
    {
        return;
    }
    auto const needed = required_at(sent_at);
    auto is_allowed = needed == 0;
    for (auto it = sent_.lower_bound(needed); it != sent_.end(); ++it)
    {
        is_allowed =
            is_allowed ||
            std::ranges::any_of(
                it->second.prefixes, [&](auto const& prefixes)
                { return prefixes.contains(prefix) == (status == 200); });
    }
    if (!is_allowed)
    {
        all_.report(promise::config_order,
                    "queue " + prefix + " is answered with " +
                        std::to_string(status) + " by " + node +
                        ", not so since version " + std::to_string(needed),
                    now);
    }
}

} // namespace apricotlb::soak
