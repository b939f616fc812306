// Reads presets from JSON text with a full check: every mistake is reported at
// once, each with the place and the remedy.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/support/failure.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::config
{

/// A mistake in a preset file.
struct preset_error
{
    /// JSON pointer to the offending value, for example "/services/0/kind".
    std::string location;
    std::string message;
    std::string remedy;
};

/// Parses and checks `text`. On any mistake returns nothing and appends every
/// mistake found to `mistakes`.
std::optional<preset> parse_preset(std::string_view text,
                                   std::vector<preset_error>& mistakes);

/// Returns the JSON envelope under which an accepted preset is stored.
std::string to_envelope(const accepted_preset& accepted);

/// Parses a stored envelope and the preset inside it.
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

/// Returns the differences between two preset texts, both of which parse.
std::vector<preset_change> diff_presets(std::string_view before,
                                        std::string_view after);

/// Returns `text` with data centre `name` marked in service or out of it, or
/// nothing if the preset has no such data centre.
std::optional<std::string> set_data_centre_in_service(std::string_view text,
                                                      std::string_view name,
                                                      bool in_service,
                                                      failure& reason);

/// Returns `text` with the intent of upstream `name` changed.
std::optional<std::string> set_upstream_intent(std::string_view text,
                                               std::string_view name,
                                               upstream_intent intent,
                                               failure& reason);

} // namespace baobabloft::config
