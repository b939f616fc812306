// Unpredictable seeds for random number generators.
#pragma once

#include <cstdint>

namespace baobabloft::net
{

/// Returns 64 bits from the system's source of randomness.
std::uint64_t random_seed();

} // namespace baobabloft::net
