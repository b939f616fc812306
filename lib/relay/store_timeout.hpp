// The timeout of calls to the store, shared by the relay's sources.
#pragma once

#include "baobabloft/support/time.hpp"

namespace baobabloft::relay
{

/// The store responds within milliseconds, a slow one within a few hundred.
inline constexpr duration store_timeout = 700ms;

} // namespace baobabloft::relay
