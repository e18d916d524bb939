/// Search index of workers by free resources.
#ifndef APRICOTLB_CORE_SCHEDULING_FREE_INDEX_HPP
#define APRICOTLB_CORE_SCHEDULING_FREE_INDEX_HPP

#include <apricotlb/units.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace apricotlb
{

/// A binary tree whose nodes hold the largest free amount below them of each
/// resource, so that a search skips subtrees in which no worker has enough.
class free_index
{
public:
    /// Replaces the index by one with the given number of positions, all of
    /// them unusable.
    auto reset(std::size_t positions) -> void;

    /// Sets the free resources at a position; nullopt makes it unusable.
    auto set(std::size_t position, std::optional<resources> const& free)
        -> void;

    /// The first position from `from` to the end with enough free resources.
    /// Each visited node is subtracted from `visits`, and the search ends at 0:
    /// the maxima of a node may come from different workers, so a subtree
    /// without a fitting worker may have to be searched.
    [[nodiscard]] auto find_next(std::size_t from, resources const& need,
                                 std::size_t& visits) const
        -> std::optional<std::size_t>;

    [[nodiscard]] auto size() const -> std::size_t { return size_; }

private:
    [[nodiscard]] auto search(std::size_t node, std::size_t low,
                              std::size_t high, std::size_t from,
                              resources const& need, std::size_t& visits) const
        -> std::optional<std::size_t>;

    std::size_t size_{0};
    std::size_t leaves_{0};
    std::vector<resources> nodes_;
};

} // namespace apricotlb

#endif
