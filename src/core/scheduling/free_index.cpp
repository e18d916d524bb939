#include "core/scheduling/free_index.hpp"

#include <algorithm>
#include <bit>

namespace apricotlb
{

namespace
{

// Less than any need, so that no need fits into an unusable position.
constexpr resources unusable{millicores{-1}, byte_count{-1}, accelerators{-1}};

} // namespace

auto free_index::reset(std::size_t positions) -> void
{
    size_ = positions;
    leaves_ = std::bit_ceil(std::max<std::size_t>(positions, 1));
    nodes_.assign(2 * leaves_, unusable);
}

auto free_index::set(std::size_t position, std::optional<resources> const& free)
    -> void
{
    auto node = leaves_ + position;
    nodes_[node] = free.value_or(unusable);
    while (node > 1)
    {
        node /= 2;
        auto const& left = nodes_[2 * node];
        auto const& right = nodes_[2 * node + 1];
        resources const larger{std::max(left.cores, right.cores),
                               std::max(left.memory, right.memory),
                               std::max(left.accels, right.accels)};
        if (larger == nodes_[node])
        {
            return;
        }
        nodes_[node] = larger;
    }
}

auto free_index::find_next(std::size_t from, resources const& need,
                           std::size_t& visits) const
    -> std::optional<std::size_t>
{
    return size_ == 0 ? std::nullopt
                      : search(1, 0, leaves_, from, need, visits);
}

auto free_index::search(std::size_t node, std::size_t low, std::size_t high,
                        std::size_t from, resources const& need,
                        std::size_t& visits) const -> std::optional<std::size_t>
{
    if (high <= from || visits == 0)
    {
        return std::nullopt;
    }
    --visits;
    if (!need.fits_into(nodes_[node]))
    {
        return std::nullopt;
    }
    if (high - low == 1)
    {
        return low;
    }
    auto const middle = low + (high - low) / 2;
    auto const left = search(2 * node, low, middle, from, need, visits);
    return left ? left : search(2 * node + 1, middle, high, from, need, visits);
}

} // namespace apricotlb
