// Structured logging in logfmt on standard output, based on Boost.Log: one line
// for each decision on a request or change of the known fleet state. Writing
// never blocks. Lines are rate-limited per event; the next line that is written
// reports the number of suppressed lines in its field `left_out`.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace baobabloft::router
{

/// One "name=value" field of a log line.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// Severity of a log line, lowest first.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Starts logging to standard output. Lines below `level` ("debug", "info",
/// "warning" or "error") are discarded; other texts mean "info".
void start_logging(std::string_view level);

/// Returns the number of lines that were dropped because standard output was
/// not writable at once.
std::uint64_t lost_log_lines();

/// Writes one line with the name of the event and its fields.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace baobabloft::router
