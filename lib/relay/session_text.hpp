// Helpers of a session's sources: response statuses, header fields, and the
// formatting of values for logs.
#pragma once

#include "baobabloft/http/message.hpp"
#include "baobabloft/support/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::relay
{

/// Longest response that is buffered.
inline constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;

/// Longest event of a stream.
inline constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

/// Returns true if callers take `status` as a promise that the request has not
/// run and will not run.
bool promises_not_run(unsigned status);

/// Returns `value` as text, in milliseconds without decimals.
std::string format_ms(duration value);

/// Returns `value` as text, cut off after the first decimal.
std::string format_one_decimal(double value);

/// Returns true if `names` contains `target`, ignoring case.
bool contains_field_name(const std::vector<std::string>& names,
                         std::string_view target);

/// Copies the fields of `from` that a proxy forwards: all but hop-by-hop fields
/// and those in `excluded`.
void copy_forwarded_fields(const http::fields& from, http::fields& to,
                           const std::vector<std::string>& excluded);

} // namespace baobabloft::relay
