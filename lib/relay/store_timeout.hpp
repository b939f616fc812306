// The deadline of calls to the store, shared by the relay's sources.
#pragma once

#include "baobabloft/support/time.hpp"

namespace baobabloft::relay
{

/// Answers of the store take milliseconds; a slow store takes a few hundred.
inline constexpr duration store_timeout = 700ms;

} // namespace baobabloft::relay
