#include "adapters/entropy.hpp"

#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace apricotlb
{

auto random_seed() -> random_bits
{
    std::uint64_t out{0};
    if (getentropy(&out, sizeof out) != 0)
    {
        std::abort();
    }
    return random_bits{out};
}

} // namespace apricotlb
