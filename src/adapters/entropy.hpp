/// Random numbers of the system.
#ifndef APRICOTLB_ADAPTERS_ENTROPY_HPP
#define APRICOTLB_ADAPTERS_ENTROPY_HPP

#include "core/random.hpp"

namespace apricotlb
{

/// Bits from the system's source of entropy, fit for ids, seeds and secrets.
/// Ends the process if there is no such source: a seed from the clock gives two
/// processes that start at the same instant the same ids.
[[nodiscard]] auto random_seed() -> random_bits;

} // namespace apricotlb

#endif
