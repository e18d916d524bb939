/// Former lives of one process.
#ifndef APRICOTLB_CORE_LEADER_REPLACED_LIVES_HPP
#define APRICOTLB_CORE_LEADER_REPLACED_LIVES_HPP

#include <apricotlb/ids.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace apricotlb
{

/// Lives of one process that others have replaced. The order of their numbers
/// says nothing, since clocks may be set back between two starts.
class replaced_lives
{
public:
    /// Messages of a former life arrive within seconds, in which a process does
    /// not start this often.
    static constexpr std::size_t max_lives = 16;

    [[nodiscard]] auto contains(incarnation it) const -> bool
    {
        return std::ranges::find(lives_, it) != lives_.end();
    }

    auto replace(incarnation former, incarnation next) -> void
    {
        std::erase(lives_, next);
        lives_.push_back(former);
        if (lives_.size() > max_lives)
        {
            lives_.erase(lives_.begin());
        }
    }

private:
    std::vector<incarnation> lives_; ///< in the order of their ends
};

} // namespace apricotlb

#endif
