/// Index over workers by free capacity.
#ifndef APRICOTLB_CORE_SCHEDULING_FREE_INDEX_HPP
#define APRICOTLB_CORE_SCHEDULING_FREE_INDEX_HPP

#include <apricotlb/units.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace apricotlb
{

/// A binary tree whose nodes hold the largest free amount below them in each
/// dimension, so that a search skips every group without room.
class free_index
{
public:
    /// Starts over with n positions, none of them usable.
    auto reset(std::size_t positions) -> void;

    /// Sets what is free at a position; nothing makes it unusable.
    auto set(std::size_t position, std::optional<resources> const& free)
        -> void;

    /// The first position from `from` to the end that has room. Gives up when
    /// the visits are used up, because maxima of different workers can make a
    /// node look usable that is not.
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
