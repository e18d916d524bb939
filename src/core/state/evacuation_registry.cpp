#include "core/state/evacuation_registry.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace apricotlb
{

namespace
{

auto is_control_character(char c) -> bool
{
    auto const code = static_cast<unsigned char>(c);
    return code < ' ' || code == 0x7f;
}

} // namespace

auto check_data_centre(zone_id const& name) -> result<void>
{
    auto const& text = name.value();
    auto const is_valid = !text.empty() &&
                          text.size() <= config::max_data_centre_name &&
                          text.find('/') == std::string::npos &&
                          std::ranges::none_of(text, is_control_character);
    if (!is_valid)
    {
        return fail(error_kind::bad_request,
                    "data centre: the name must be 1 to " +
                        std::to_string(config::max_data_centre_name) +
                        " bytes without slashes and control characters, got " +
                        std::to_string(text.size()) + " bytes");
    }
    return outcome::success();
}

evacuation_registry::evacuation_registry(std::vector<zone_id> evacuated)
{
    for (auto& zone : evacuated)
    {
        zones_.insert(std::move(zone));
    }
}

auto evacuation_registry::apply(evacuate_data_centre const& it, revision at)
    -> apply_result
{
    if (!zones_.contains(it.zone) && zones_.size() >= config::max_evacuations)
    {
        return apply_result::refuse(
            error_kind::quota_exceeded,
            "evacuated data centres: at most " +
                std::to_string(config::max_evacuations) +
                " at a time; return one before " + it.zone.value());
    }
    zones_.insert(it.zone);
    apply_result answer;
    answer.at = at;
    return answer;
}

auto evacuation_registry::apply(return_data_centre const& it, revision at)
    -> apply_result
{
    zones_.erase(it.zone);
    apply_result answer;
    answer.at = at;
    return answer;
}

auto evacuation_registry::is_in_effect(command const& it) const -> bool
{
    if (auto const* const evacuation = std::get_if<evacuate_data_centre>(&it))
    {
        return zones_.contains(evacuation->zone);
    }
    auto const* const withdrawal = std::get_if<return_data_centre>(&it);
    return withdrawal != nullptr && !zones_.contains(withdrawal->zone);
}

auto evacuation_registry::snapshot() const -> std::vector<zone_id>
{
    return {zones_.begin(), zones_.end()};
}

} // namespace apricotlb
