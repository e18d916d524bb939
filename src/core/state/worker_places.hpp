/// Where the workers of active runs are reached.
#ifndef APRICOTLB_CORE_STATE_WORKER_PLACES_HPP
#define APRICOTLB_CORE_STATE_WORKER_PLACES_HPP

#include "core/state/commands.hpp"

#include <apricotlb/workflow.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace apricotlb
{

/// Keeps the place of each life of a worker for as long as the log has an
/// active run there, so that its size follows from the work and not from the
/// workers that have come and gone.
class worker_places
{
public:
    auto add_run(worker_instance const& worker) -> void;
    auto remove_run(worker_instance const& worker) -> void;
    /// Ignores lives without an active run.
    auto record(std::vector<worker_place> const& places) -> void;

    /// Null if no place is recorded for this life.
    [[nodiscard]] auto find(worker_instance const& worker) const
        -> worker_place const*;
    /// None if no place is recorded, as in logs of earlier versions.
    [[nodiscard]] auto snapshot() const
        -> std::optional<std::vector<worker_place>>;

private:
    struct entry
    {
        std::size_t runs{0};
        std::optional<worker_place> place;
    };

    std::map<worker_instance, entry> entries_;
};

} // namespace apricotlb

#endif
