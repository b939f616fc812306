#include "baobabloft/support/hash.hpp"

#include <cmath>
#include <xxhash.h>

namespace baobabloft
{

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right)
{
    return XXH3_64bits_withSeed(&left, sizeof left, right);
}

double weighted_rendezvous_score(std::uint64_t key, std::uint64_t node,
                                 double weight)
{
    // The upper 53 bits as a number in (0, 1).
    constexpr int unused_bits = 11;
    constexpr double scale = 0x1p-53;
    const auto bits = rendezvous_score(key, node) >> unused_bits;
    const double uniform = (static_cast<double>(bits) + 0.5) * scale;
    return -weight / std::log(uniform);
}

} // namespace baobabloft
