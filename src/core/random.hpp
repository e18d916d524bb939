/// Random numbers that the callers of the core pass to its decisions.
#ifndef APRICOTLB_CORE_RANDOM_HPP
#define APRICOTLB_CORE_RANDOM_HPP

#include <apricotlb/strong.hpp>

#include <cstdint>

namespace apricotlb
{

/// Uniformly distributed bits that the caller draws for one decision.
using random_bits = strong<struct random_bits_tag, std::uint64_t>;

/// Returns the next number of the splitmix64 generator. Used to spread load and
/// timeouts; not suitable for secrets.
[[nodiscard]] inline auto next_random(std::uint64_t& state) -> std::uint64_t
{
    state += 0x9e3779b97f4a7c15U;
    auto z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

} // namespace apricotlb

#endif
