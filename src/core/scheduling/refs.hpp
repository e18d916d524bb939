/// Dense integer references that replace string ids inside the scheduler.
#ifndef APRICOTLB_CORE_SCHEDULING_REFS_HPP
#define APRICOTLB_CORE_SCHEDULING_REFS_HPP

#include "core/random.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/strong.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace apricotlb
{

using customer_ref = strong<struct customer_ref_tag, std::uint32_t>;
using worker_ref = strong<struct worker_ref_tag, std::uint32_t>;
using rack_ref = strong<struct rack_ref_tag, std::uint32_t>;
using zone_ref = strong<struct zone_ref_tag, std::uint32_t>;
using job_ref = strong<struct job_ref_tag, std::uint32_t>;
using kind_ref = strong<struct kind_ref_tag, std::uint32_t>;
using service_ref = strong<struct service_ref_tag, std::uint32_t>;

/// Reference to one task of one job.
struct task_ref
{
    job_ref job;
    task_index index;

    auto operator<=>(task_ref const&) const = default;
};

/// Packs a task_ref into one integer, for use as a hash key.
[[nodiscard]] inline auto to_key(task_ref it) -> std::uint64_t
{
    return (std::uint64_t{it.job.value()} << 32U) | it.index.value();
}

[[nodiscard]] inline auto from_key(std::uint64_t key) -> task_ref
{
    return {job_ref{static_cast<std::uint32_t>(key >> 32U)},
            task_index{static_cast<std::uint32_t>(key)}};
}

/// Index of a reference in a vector.
template <class Ref>
[[nodiscard]] constexpr auto pos(Ref it) -> std::size_t
{
    return it.value();
}

/// Maps ids to dense references and back. A reference is never removed or
/// reused.
template <class Id, class Ref>
class interner
{
public:
    /// Returns the reference of an id; adds the id if it is new.
    auto ref(Id const& id) -> Ref
    {
        auto const [it, added] =
            refs_.try_emplace(id, Ref{static_cast<std::uint32_t>(ids_.size())});
        if (added)
        {
            ids_.push_back(id);
        }
        return it->second;
    }

    [[nodiscard]] auto find(Id const& id) const -> std::optional<Ref>
    {
        auto const it = refs_.find(id);
        return it == refs_.end() ? std::nullopt : std::optional{it->second};
    }

    [[nodiscard]] auto id(Ref it) const -> Id const& { return ids_[pos(it)]; }
    [[nodiscard]] auto size() const -> std::size_t { return ids_.size(); }

private:
    std::unordered_map<Id, Ref> refs_;
    std::vector<Id> ids_;
};

/// Returns the element at a reference; grows the vector if necessary.
template <class T, class Ref>
auto get_or_grow(std::vector<T>& all, Ref it) -> T&
{
    if (all.size() <= pos(it))
    {
        all.resize(pos(it) + 1);
    }
    return all[pos(it)];
}

} // namespace apricotlb

#endif
