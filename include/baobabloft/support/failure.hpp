// Typed failures. A function that can fail returns std::optional and writes the
// reason and a remedy into a failure object that the caller passes in.
#pragma once

#include "baobabloft/support/enum_names.hpp"

#include <string>

namespace baobabloft
{

/// Category of a failure, coarse enough for counting failures by kind.
enum class failure_kind
{
    none,
    invalid_setting,
    invalid_preset,
    conflict,
    kv_unavailable,
    /// A response was still arriving when the time was up.
    incomplete_response,
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
    enum_name<failure_kind>{failure_kind::incomplete_response,
                            "incomplete_response"},
    enum_name<failure_kind>{failure_kind::peer_unavailable, "peer_unavailable"},
    enum_name<failure_kind>{failure_kind::malformed_message,
                            "malformed_message"},
    enum_name<failure_kind>{failure_kind::wrong_key, "wrong_key"},
    enum_name<failure_kind>{failure_kind::io, "io"},
};

/// The reason why an operation failed.
struct failure
{
    failure_kind kind = failure_kind::none;
    /// What failed, and where.
    std::string message;
    /// What an operator can do about the failure; may be empty.
    std::string remedy;

    /// Returns "kind: message (remedy)" for logs and terminals.
    [[nodiscard]] std::string text() const;
};

} // namespace baobabloft
