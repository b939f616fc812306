// The timeout of calls to the store, shared by the relay's sources.
#pragma once

#include "baobabloft/support/time.hpp"

namespace baobabloft::relay
{

/// The store normally responds within milliseconds, and within a few hundred
/// milliseconds when it is slow.
inline constexpr duration store_timeout = 700ms;

} // namespace baobabloft::relay
