/// Detects duplicated messages by their sequence numbers.
#ifndef APRICOTLB_CORE_ENTRY_SEQUENCE_WINDOW_HPP
#define APRICOTLB_CORE_ENTRY_SEQUENCE_WINDOW_HPP

#include <apricotlb/ids.hpp>

#include <cstdint>

namespace apricotlb
{

/// Accepts each number once. Numbers that are 64 or more behind the newest are
/// refused.
class sequence_window
{
public:
    auto accept(sequence number) -> bool
    {
        if (number > newest_)
        {
            auto const ahead = number.value() - newest_.value();
            seen_ = ahead < width ? (seen_ << ahead) | 1U : 1U;
            newest_ = number;
            return true;
        }
        auto const behind = newest_.value() - number.value();
        if (behind >= width)
        {
            return false;
        }
        auto const bit = std::uint64_t{1} << behind;
        if ((seen_ & bit) != 0)
        {
            return false;
        }
        seen_ |= bit;
        return true;
    }

private:
    static constexpr std::uint64_t width = 64;

    sequence newest_{};
    std::uint64_t seen_{1}; ///< bit n: number newest_ - n was accepted
};

} // namespace apricotlb

#endif
