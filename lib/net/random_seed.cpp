#include "baobabloft/net/random_seed.hpp"

#include <sodium.h>

namespace baobabloft::net
{

std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

} // namespace baobabloft::net
