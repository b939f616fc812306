// Stable hashing (XXH3) and rendezvous scores. The values are sent between
// routers and must therefore be equal on every router.
#pragma once

#include <cstdint>
#include <string_view>

namespace baobabloft
{

/// Returns the 64-bit XXH3 hash of `bytes`.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns a well-mixed hash of two 64-bit values; their order matters.
std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right);

/// Returns the rendezvous score of `node` for `key`; the highest score wins.
/// Removing a node reassigns only the keys that it had won.
inline std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t node)
{
    return hash_combine(key, node);
}

/// Returns a rendezvous score from 0 to 1 with which `node` wins a share of all
/// keys in proportion to `weight`. `weight` must be greater than 0 and at most
/// 1. A change of weight reassigns only keys that `node` loses or gains.
double weighted_rendezvous_score(std::uint64_t key, std::uint64_t node,
                                 double weight);

} // namespace baobabloft
