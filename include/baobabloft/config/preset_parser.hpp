// Parses, checks, compares and edits presets as JSON text. A check reports all
// errors at once, each with its location and a remedy.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/support/failure.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::config
{

/// An error in the JSON text of a preset.
struct preset_error
{
    /// JSON pointer to the invalid value, for example "/services/0/kind", or
    /// line and column if the text is not JSON.
    std::string location;
    std::string message;
    std::string remedy;
};

/// Parses and checks `text`. If the text has errors, returns nothing and
/// appends all of them to `errors`.
std::optional<preset> parse_preset(std::string_view text,
                                   std::vector<preset_error>& errors);

/// Returns the JSON envelope in which an accepted preset is stored.
std::string to_envelope(const accepted_preset& accepted);

/// Parses a stored envelope and the preset inside it. If either is invalid,
/// returns nothing and sets `reason`.
std::optional<accepted_preset> parse_envelope(std::string_view text,
                                              failure& reason);

/// One difference between two presets.
struct preset_change
{
    /// JSON pointer to the value that differs.
    std::string pointer;
    /// The old value as JSON, empty if it was added.
    std::string before;
    /// The new value as JSON, empty if it was removed.
    std::string after;
};

/// Returns the differences between two preset texts. Both must be valid.
std::vector<preset_change> diff_presets(std::string_view before,
                                        std::string_view after);

/// Returns `text` with data centre `name` marked as in service or out of
/// service. If the preset has no such data centre, returns nothing and sets
/// `reason`.
std::optional<std::string> set_data_centre_in_service(std::string_view text,
                                                      std::string_view name,
                                                      bool in_service,
                                                      failure& reason);

/// Returns `text` with the intent of upstream `name` set to `intent`. If the
/// preset has no such upstream, returns nothing and sets `reason`.
std::optional<std::string> set_upstream_intent(std::string_view text,
                                               std::string_view name,
                                               upstream_intent intent,
                                               failure& reason);

} // namespace baobabloft::config
