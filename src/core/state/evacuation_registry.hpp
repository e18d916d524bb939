/// The evacuated data centres.
#ifndef APRICOTLB_CORE_STATE_EVACUATION_REGISTRY_HPP
#define APRICOTLB_CORE_STATE_EVACUATION_REGISTRY_HPP

#include "core/state/commands.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace apricotlb
{

/// Checks the name of a data centre that an operator has sent. Any well-formed
/// name is valid: a leader does not know the workers of all data centres.
[[nodiscard]] auto check_data_centre(zone_id const& name) -> result<void>;

/// Keeps the data centres whose workers get no new runs.
class evacuation_registry
{
public:
    evacuation_registry() = default;
    explicit evacuation_registry(std::vector<zone_id> evacuated);

    /// Refuses a data centre beyond config::max_evacuations.
    auto apply(evacuate_data_centre const& it, revision at) -> apply_result;
    auto apply(return_data_centre const& it, revision at) -> apply_result;

    [[nodiscard]] auto contains(zone_id const& zone) const -> bool
    {
        return zones_.contains(zone);
    }
    [[nodiscard]] auto size() const -> std::size_t { return zones_.size(); }
    [[nodiscard]] auto all() const -> std::set<zone_id> const&
    {
        return zones_;
    }
    /// True if the command would change nothing.
    [[nodiscard]] auto is_in_effect(command const& it) const -> bool;

    [[nodiscard]] auto snapshot() const -> std::vector<zone_id>;

private:
    std::set<zone_id> zones_;
};

} // namespace apricotlb

#endif
