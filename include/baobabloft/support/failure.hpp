// Typed failures. Functions that can fail return std::optional and write the
// last reason, with the remedy, into a failure that the caller passes in.
#pragma once

#include "baobabloft/support/enum_names.hpp"

#include <string>

namespace baobabloft
{

/// What went wrong, coarse enough to count by.
enum class failure_kind
{
    none,
    invalid_setting,
    invalid_preset,
    conflict,
    kv_unavailable,
    peer_unavailable,
    malformed_message,
    wrong_key,
    io
};

inline constexpr std::array failure_kind_names{
    enum_name<failure_kind>{failure_kind::none, "none"},
    enum_name<failure_kind>{failure_kind::invalid_setting, "invalid_setting"},
    enum_name<failure_kind>{failure_kind::invalid_preset, "invalid_preset"},
    enum_name<failure_kind>{failure_kind::conflict, "conflict"},
    enum_name<failure_kind>{failure_kind::kv_unavailable, "kv_unavailable"},
    enum_name<failure_kind>{failure_kind::peer_unavailable, "peer_unavailable"},
    enum_name<failure_kind>{failure_kind::malformed_message,
                            "malformed_message"},
    enum_name<failure_kind>{failure_kind::wrong_key, "wrong_key"},
    enum_name<failure_kind>{failure_kind::io, "io"},
};

/// The last reason why an operation returned nothing.
struct failure
{
    failure_kind kind = failure_kind::none;
    /// What happened, and where.
    std::string message;
    /// What the reader can do about it.
    std::string remedy;

    /// Returns "kind: message (remedy)" for logs and terminals.
    [[nodiscard]] std::string text() const;
};

} // namespace baobabloft
