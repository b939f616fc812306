// Hashing and rendezvous scores with XXH3.
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
    // Scales the 64-bit score to the range 0 to 1.
    const double score =
        std::ldexp(static_cast<double>(rendezvous_score(key, node)), -64);
    return weight < 1 ? std::pow(score, 1 / weight) : score;
}

} // namespace baobabloft
