// Structured log lines in logfmt, by Boost.Log. Counters come first: a line is
// written only when a state changes.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace baobabloft::router
{

/// One "name=value" of a line.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// How important a line is.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Sends lines of `level` ("debug", "info", "warning", "error") and above to
/// standard error.
void start_logging(std::string_view level);

/// Writes one line about the event `what`.
void log_event(log_level level, std::string_view what,
               std::initializer_list<log_field> fields = {});

} // namespace baobabloft::router
