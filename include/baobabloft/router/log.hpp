// Structured log lines in logfmt on standard output, by Boost.Log: one for each
// decision on a request or change of belief. Bounded by kind and never
// blocking: lines beyond the bound are counted in the next line's `left_out`.
#pragma once

#include <cstdint>
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
/// standard output.
void start_logging(std::string_view level);

/// Returns the lines that standard output did not take at once.
std::uint64_t lost_log_lines();

/// Writes one line about the event `what`.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace baobabloft::router
