/// Detects duplicated messages by their sequence numbers.
#ifndef APRICOTLB_CORE_ENTRY_SEQUENCE_WINDOW_HPP
#define APRICOTLB_CORE_ENTRY_SEQUENCE_WINDOW_HPP

#include <apricotlb/ids.hpp>

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace apricotlb
{

/// Accepts each number once. Numbers that are `width` or more behind the newest
/// are refused.
class sequence_window
{
public:
    /// Four full queues of a link: a connection that was replaced delivers what
    /// its peer's kernel still held.
    static constexpr std::uint64_t width = 4096;

    sequence_window() { seen_.set(0); }

    auto accept(sequence number) -> bool
    {
        if (number > newest_)
        {
            advance(number);
            return true;
        }
        auto const behind = newest_.value() - number.value();
        auto const bit = position(number.value());
        if (behind >= width || seen_.test(bit))
        {
            return false;
        }
        seen_.set(bit);
        return true;
    }

    /// The highest number that was accepted.
    [[nodiscard]] auto newest() const -> sequence { return newest_; }

private:
    static auto position(std::uint64_t number) -> std::size_t
    {
        return static_cast<std::size_t>(number % width);
    }

    auto advance(sequence to) -> void
    {
        if (to.value() - newest_.value() >= width)
        {
            seen_.reset();
        }
        else
        {
            for (auto n = newest_.value() + 1; n < to.value(); ++n)
            {
                seen_.reset(position(n));
            }
        }
        seen_.set(position(to.value()));
        newest_ = to;
    }

    sequence newest_{};
    std::bitset<width> seen_; ///< by number modulo the width
};

} // namespace apricotlb

#endif
